"""The parts of ASGI that stand-ins need."""

from collections.abc import Awaitable, Callable, MutableMapping, Sequence
from typing import Any

Message = MutableMapping[str, Any]  # as ASGI 3.0 defines it
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


async def receive_body(receive: Receive) -> bytes | None:
    """Return the body of a request; None where its client has gone."""
    body: bytes = b""
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        body += message["body"]
        if not message.get("more_body"):
            return body


async def send_answer(send: Send, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
    """Send an answer in full."""
    all_headers = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body})
