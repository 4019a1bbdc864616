"""HTTP/1.1 clients (httpcore) and servers (uvicorn) on sockets opened by this package.

`connection` sends one request at a time over a `stream` and reads its complete answer; `errors` has the errors of a
call. `server` runs an ASGI application, with `client_protocol` for each client connection and `client_limits` for the
limits on clients. `socket_options` is for both sides; `critical_tasks` supervises the main tasks of a program.
"""
