"""A listening socket handed from a relay to its successor over a Unix socket, so that no connection is refused between
them: both hold the same queue of connections until the first has let go.

The successor connects, gets the descriptor with one byte, and says one byte once it listens; then the first stops.
"""

import errno
import socket
from collections.abc import Callable

from kestrelplank.sockets.loop import READ, Loop
from kestrelplank.sockets.unix_listener import UnixListener

WITHIN = 2.0  # s for a predecessor to hand over; it may be gone, or hang


def receive_socket(path: str) -> tuple[socket.socket, socket.socket] | None:
    """The predecessor's listening socket, and the connection over which to say that we listen; None where there is no
    predecessor. Raises OSError where there is one that does not hand over."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(WITHIN)
    try:
        link.connect(path)
        _, fds, _, _ = socket.recv_fds(link, 1, 1)
        if not fds:
            raise OSError(errno.EPROTO, "the predecessor sent no socket")
        listening = socket.socket(fileno=fds[0])
        return listening, link
    except (FileNotFoundError, ConnectionRefusedError):  # none, or one that died and left its path behind
        link.close()
        return None
    except OSError:
        link.close()
        raise


def confirm_listening(link: socket.socket) -> None:
    """Tells the predecessor to stop."""
    link.sendall(b"1")
    link.close()


class SuccessorListener:
    """Waits at `path` for a successor. `descriptor` is the listening socket's; `on_taken` is called once a successor
    listens, and this closes. Who connects and says nothing changes nothing."""

    def __init__(self, loop: Loop, path: str, descriptor: Callable[[], int], on_taken: Callable[[], None]) -> None:
        self._loop, self._descriptor, self._on_taken = loop, descriptor, on_taken
        self._links: list[socket.socket] = []
        self._listener = UnixListener(loop, path, self._accept)

    def _accept(self, link: socket.socket) -> None:
        try:
            socket.send_fds(link, [b"0"], [self._descriptor()])
        except OSError:
            link.close()
            return
        self._links.append(link)
        self._loop.watch(link, READ, lambda events: self._said(link))

    def _said(self, link: socket.socket) -> None:
        try:
            data = link.recv(1)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._loop.forget(link)
        self._links.remove(link)
        link.close()
        if data == b"1":
            self.close()
            self._on_taken()

    def close(self) -> None:
        self._listener.close()
        for link in self._links:
            self._loop.forget(link)
            link.close()
        self._links.clear()
