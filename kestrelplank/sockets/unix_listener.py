"""A listening Unix socket that only the owner of the process can connect to."""

import os
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from kestrelplank.sockets.loop import READ, Loop

BACKLOG = 8
OWNER_ONLY = 0o600


class UnixListener:
    """Listens at `path`, which is created by a rename, so that the path always refers to a listening socket.

    `on_accept` receives a non-blocking socket, which it has to close. `close` removes the path, unless another process
    has replaced it.

    :raises OSError: the socket can't be created at that path.
    """

    def __init__(self, loop: Loop, path: str, on_accept: Callable[[socket.socket], None]) -> None:
        self._loop, self._path, self._on_accept = loop, Path(path), on_accept
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        temporary = Path(f"{path}.{os.getpid()}")
        try:
            self._sock.bind(str(temporary))
            temporary.chmod(OWNER_ONLY)
            self._sock.listen(BACKLOG)
            temporary.replace(path)
        except OSError:
            self._sock.close()
            raise
        self._inode = self._path.stat().st_ino
        self._sock.setblocking(False)
        loop.watch(self._sock, READ, self._ready)

    def _ready(self, events: int) -> None:  # noqa: ARG002 - signature of the loop's callbacks
        try:
            link, _ = self._sock.accept()
        except OSError:
            return
        link.setblocking(False)
        self._on_accept(link)

    def close(self) -> None:
        """Stop listening."""
        if self._sock.fileno() < 0:
            return
        self._loop.forget(self._sock)
        self._sock.close()
        with suppress(OSError):
            if self._path.stat().st_ino == self._inode:
                self._path.unlink()
