"""A Unix socket that we listen at, for the owner of the process alone."""

import os
import socket
from collections.abc import Callable

from kestrelplank.sockets.loop import READ, Loop

BACKLOG = 8


class UnixListener:
    """At `path`, put there by a rename: whoever connects finds the one before or this one. `on_accept(link)` owns what
    it is given, which does not block. `close` is the one place where socket and path are given back; a path that
    somebody else has taken meanwhile is left alone. Raises OSError where it can't listen."""

    def __init__(self, loop: Loop, path: str, on_accept: Callable[[socket.socket], None]) -> None:
        self._loop, self._path, self._on_accept = loop, path, on_accept
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        temporary = f"{path}.{os.getpid()}"
        try:
            self._sock.bind(temporary)
            os.chmod(temporary, 0o600)
            self._sock.listen(BACKLOG)
            os.replace(temporary, path)
        except OSError:
            self._sock.close()
            raise
        self._identity = os.stat(path).st_ino
        self._sock.setblocking(False)
        loop.watch(self._sock, READ, self._ready)

    def _ready(self, events: int) -> None:
        try:
            link, _ = self._sock.accept()
        except OSError:
            return
        link.setblocking(False)
        self._on_accept(link)

    def close(self) -> None:
        if self._sock.fileno() < 0:
            return
        self._loop.forget(self._sock)
        self._sock.close()
        try:
            if os.stat(self._path).st_ino == self._identity:
                os.unlink(self._path)
        except OSError:
            pass
