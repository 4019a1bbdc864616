"""How an edge machine forwards requests: all decisions, without I/O.

Read `forwarder` first: it follows a request from its admission to its answer. `request` has the states of a request,
`steps` the actions that an adapter carries out, `endpoint` and `endpoints` the servers, `retry_policy` and
`retry_budget` the limits on retries, `errors` the answers that the gateway generates itself.
"""
