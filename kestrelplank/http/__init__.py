"""HTTP/1.1 on sockets of our own: calls on single connections (httpcore), and servers (uvicorn).

`connection` sends one request at a time and reads its complete answer over a `stream`; `errors` says what went wrong.
`server` runs an ASGI application, with `client_protocol` for each connection of a client and `client_limits` for what
clients may do. `socket_options` and `critical_tasks` serve both.
"""
