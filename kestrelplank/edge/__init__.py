"""The edge program: takes requests of clients and forwards them to servers.

Read `program` first, which composes the rest: `client_exchange` has a request from its first byte to its answer, as
`forwarding.forwarder` decides; `server_connections` has its attempts; `control_sessions` what
comes from control members; `readiness` the start and the end; `counters` what is counted.
"""
