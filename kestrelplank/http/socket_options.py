"""Options of our sockets, and opening one to listen."""

import asyncio
import contextlib
import select
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s
# Bytes that nobody acknowledges for so long end the connection: a machine that is up acknowledges at once. RFC 5482.
USER_TIMEOUT_MS = 1000


def set_connection_options(sock: socket.socket) -> None:
    """Set the options of every connection: small writes are not delayed, and a peer that is gone ends it."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_on_close(sock: socket.socket) -> None:
    """Make the close of this socket a reset: bytes that are still on their way are dropped, and never arrive late."""
    with contextlib.suppress(OSError):  # it is closed already
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the kernel has bytes or an end of stream that the loop has not read; True where there is no socket."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to that address, for a server to listen on.

    IPPROTO_TCP is given, as accepted sockets inherit it and asyncio sets TCP_NODELAY on those alone that have it. Else
    an answer's body waits for the acknowledgement of its head, 40 ms.

    :raises OSError: it can't be bound; the message names the address.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as err:
        sock.close()
        raise OSError(err.errno, f"can't listen at {host}:{port}: {err.strerror}") from err
    sock.setblocking(False)
    return sock
