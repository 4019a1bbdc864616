"""Socket options, and the creation of listening sockets."""

import asyncio
import contextlib
import select
import socket
import struct

from kestrelplank.http.unread_bytes import USER_TIMEOUT_NS
from kestrelplank.time_units import MILLISECOND

LISTEN_BACKLOG = 512  # connections not accepted yet
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s


def set_connection_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and set the user time-out that closes a connection to an unreachable peer.

    `http.peer_watch` extends the time-out for a peer that is reachable, but reads late.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_user_timeout(sock, USER_TIMEOUT_NS)


def set_user_timeout(sock: socket.socket, timeout_ns: int) -> None:
    """Set how long written bytes may stay unacknowledged until the kernel closes the connection (RFC 5482)."""
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ns // MILLISECOND)


def reset_on_close(sock: socket.socket) -> None:
    """Make closing this socket send a reset and discard unsent bytes, so that none arrives late."""
    with contextlib.suppress(OSError):  # already closed
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the kernel holds bytes or an end of stream not yet read by the loop; True if the socket is closed."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that listens on that address.

    Accepted sockets inherit IPPROTO_TCP, and asyncio sets TCP_NODELAY only on sockets with that protocol. Without it,
    an answer's body would wait for the delayed acknowledgement of its head, 40 ms.

    :raises OSError: the address can't be listened on; the message contains it.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)  # another socket may be bound to the port as well; only one can listen
    except OSError as err:
        sock.close()
        raise OSError(err.errno, f"can't listen on {host}:{port}: {err.strerror}") from err
    sock.setblocking(False)
    return sock
