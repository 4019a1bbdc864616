"""The operator's configuration: a document is parsed and validated, and becomes a route table.

Read `parsing` first; `document` has the form that operators send, `validation` what a document must hold beyond
its form, `route_table` what a request is looked up in, `differences` what one configuration changes of another.
"""
