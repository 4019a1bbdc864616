"""HTTP/1.1: calls on single connections (httpcore), and servers (uvicorn), both on sockets that we open ourselves.

`connection` sends one request at a time and reads its complete answer over a `stream`; `errors` says what went wrong.
`server` runs an ASGI application, with `client_protocol` for each connection of a client and `client_limits` for what
clients may send. `socket_options` serves both sides; `critical_tasks` is for the programs that run them.
"""
