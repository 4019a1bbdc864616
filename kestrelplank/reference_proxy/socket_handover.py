"""Passes a listening socket from a proxy to its successor over a Unix socket.

No connection is refused during the handover, since both processes share the socket's accept queue.

The successor connects, receives the descriptor with one byte, and sends one byte once it listens; then the predecessor
stops.
"""

import errno
import socket
from collections.abc import Callable

from kestrelplank.sockets.loop import READ, Loop
from kestrelplank.sockets.unix_listener import UnixListener

LISTENING = b"1"  # sent by the successor once it listens
HANDOVER_TIMEOUT_S = 2.0  # the predecessor may hang


def receive_socket(path: str) -> tuple[socket.socket, socket.socket] | None:
    """Return the predecessor's listening socket, and the connection on which to confirm that this process listens.

    None if there is no predecessor.

    :raises OSError: the predecessor did not pass its socket.
    """
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(HANDOVER_TIMEOUT_S)
    try:
        link.connect(path)
        _, fds, _, _ = socket.recv_fds(link, 1, 1)
        if not fds:
            raise OSError(errno.EPROTO, "the predecessor sent no listening socket")
        listening = socket.socket(fileno=fds[0])
        return listening, link
    except (FileNotFoundError, ConnectionRefusedError):  # no predecessor, or one that left a stale socket file
        link.close()
        return None
    except OSError:
        link.close()
        raise


def confirm_listening(link: socket.socket) -> None:
    """Notify the predecessor that this process listens, so that it stops."""
    link.sendall(LISTENING)
    link.close()


class SuccessorListener:
    """Waits for a successor; a connection without its confirmation has no effect.

    :param path: path of the Unix socket.
    :param descriptor: returns the listening socket's file descriptor.
    :param on_successor_listening: called once a successor has confirmed that it listens; this listener is closed by
        then.
    """

    def __init__(
        self, loop: Loop, path: str, descriptor: Callable[[], int], on_successor_listening: Callable[[], None]
    ) -> None:
        self._loop, self._descriptor, self._on_successor_listening = loop, descriptor, on_successor_listening
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
            self._on_successor_listening()

    def close(self) -> None:
        """Stop waiting for a successor."""
        self._listener.close()
        for link in self._links:
            self._loop.forget(link)
            link.close()
        self._links.clear()
