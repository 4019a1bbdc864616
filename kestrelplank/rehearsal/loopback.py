"""Reserved ports on loopback, and single HTTP calls."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Sequence

from kestrelplank.http.answer import Answer
from kestrelplank.http.connection import dial

HOST_NAME = "shop.example"
CALL_TIMEOUT_S = 2.0
DIAL_TIMEOUT_S = 1.0


class PortReservations:
    """Ports that the kernel gives to nobody else until they are released.

    A bound socket that doesn't listen holds each of them. Connections to such a port are refused until a program
    listens on it, as any can that sets SO_REUSEADDR.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> "PortReservations":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()

    def reserve(self, ips: Sequence[str]) -> int:
        """Return a port that is free at all these addresses, and reserved at them from now on."""
        while True:
            sockets = bind_to_one_port(ips)
            if sockets is None:
                continue
            self._sockets.extend(sockets)
            port: int = sockets[0].getsockname()[1]
            return port

    def release(self) -> None:
        """Release all ports."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def bind_to_one_port(ips: Sequence[str]) -> list[socket.socket] | None:
    """Return a socket for each address, all bound to the same port; None if that port is in use at one of them."""
    with contextlib.ExitStack() as unfinished:
        sockets = []
        port = 0  # any, for the first address
        for ip in ips:
            sock = unfinished.enter_context(socket.socket())
            try:
                sock.bind((ip, port))
            except OSError:
                return None
            # Set after the bind, so that the bind fails if another reservation holds the port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            port = sock.getsockname()[1]
            sockets.append(sock)
        unfinished.pop_all()
    return sockets


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
