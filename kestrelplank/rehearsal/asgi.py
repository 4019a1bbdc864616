"""Complete ASGI messages, for the servers of a rehearsal."""

from collections.abc import Sequence

from kestrelplank.http.asgi import Receive, Send


async def receive_body(receive: Receive) -> bytes | None:
    """Return the body of a request, None if its client has disconnected."""
    body: bytes = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        body += message["body"]
        if not message.get("more_body"):
            return body


async def send_answer(send: Send, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
    """Send a complete answer."""
    all_headers = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body})
