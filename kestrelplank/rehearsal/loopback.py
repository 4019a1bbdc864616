"""Free ports on loopback, and single HTTP calls."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Sequence

from kestrelplank.http.answer import Answer
from kestrelplank.http.connection import dial

HOST_NAME = "shop.example"
CALL_TIMEOUT_S = 2.0
DIAL_TIMEOUT_S = 1.0


def free_port(ips: Sequence[str]) -> int:
    """Return a port that is free at all these addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(socket.socket())
            first.bind((ips[0], 0))
            port: int = first.getsockname()[1]
            try:
                for ip in ips[1:]:
                    stack.enter_context(socket.socket()).bind((ip, port))
            except OSError:
                continue
            return port


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    headers: Iterable[tuple[bytes, bytes]] = (),
) -> Answer | None:
    """Make one call on a new connection; return None if there was no answer."""
    all_headers = [(b"Host", HOST_NAME.encode()), (b"Content-Length", str(len(body)).encode()), *headers]
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            connection = await dial(address, DIAL_TIMEOUT_S)
            try:
                return await connection.call(method.encode(), path.encode(), all_headers, body)
            finally:
                connection.reset()
    except Exception:  # noqa: BLE001 - a client can't tell one failure from another
        return None
