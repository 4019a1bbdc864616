"""One request's life on an edge machine, without I/O.

Read `forwarder` first: it has the way of a request from top to bottom. `request` has its states, `steps` what an
adapter is to do, `endpoint` and `endpoints` the servers, `retry_policy` and `retry_budget` what bounds retries,
`errors` what we answer ourselves.
"""
