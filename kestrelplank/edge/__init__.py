"""The edge program: accepts client requests and forwards them to servers.

Start with `program`, which composes the other modules. `client_exchange` handles one request from its first byte to its
answer and executes the decisions of `forwarding.forwarder`; `server_connections` makes the attempts at servers;
`control_sessions` keeps the sessions with control members; `readiness` is the state from start to shutdown; `counters`
counts requests and attempts by outcome.
"""
