"""A listening socket handed from a proxy to its successor over a Unix socket.

No connection is refused between them: both hold the same queue of connections until the first has closed it.

The successor connects, gets the descriptor with one byte, and says one byte once it listens; then the first stops.
"""

import errno
import socket
from collections.abc import Callable

from kestrelplank.sockets.loop import READ, Loop
from kestrelplank.sockets.unix_listener import UnixListener

LISTENING = b"1"  # says the successor once it listens
HANDOVER_TIMEOUT_S = 2.0  # for a predecessor, which may be gone, or hang


def receive_socket(path: str) -> tuple[socket.socket, socket.socket] | None:
    """Return the predecessor's listening socket, and the connection over which to say that we listen.

    None where there is no predecessor.

    :raises OSError: where there is one that does not hand over.
    """
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(HANDOVER_TIMEOUT_S)
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
    """Tell the predecessor to stop."""
    link.sendall(LISTENING)
    link.close()


class SuccessorListener:
    """Waits for a successor; who connects and says nothing changes nothing.

    :param path: of the Unix socket.
    :param descriptor: returns the listening socket's.
    :param on_taken: called once a successor listens; then this is closed.
    """

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
        self._loop.watch(link, READ, lambda _events: self._receive(link))

    def _receive(self, link: socket.socket) -> None:
        try:
            data = link.recv(1)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._loop.forget(link)
        self._links.remove(link)
        link.close()
        if data == LISTENING:
            self.close()
            self._on_taken()

    def close(self) -> None:
        """Stop waiting."""
        self._listener.close()
        for link in self._links:
            self._loop.forget(link)
            link.close()
        self._links.clear()
