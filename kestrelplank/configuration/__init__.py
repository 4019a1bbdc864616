"""The operator's configuration: a document is parsed and validated, and compiled to a route table.

Read `parsing` first; `document` defines the JSON document that operators send, `validation` checks the values of its
fields, `route_table` finds the route of a request, `tenants` the tenant of an
API key, `differences` compares two configurations.
"""
