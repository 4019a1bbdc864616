"""How a request is forwarded by an edge machine: all decisions, without I/O.

Read `forwarder` first: it follows a request from top to bottom. `request` has its states, `steps` what an
adapter is to do, `endpoint` and `endpoints` the servers, `retry_policy` and `retry_budget` what bounds retries,
`errors` what we answer ourselves.
"""
