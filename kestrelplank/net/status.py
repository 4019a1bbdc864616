"""What a running conductor shows of itself over a Unix socket: whoever connects gets one JSON object and the end."""

import os
import socket
from collections.abc import Callable

import msgspec

from kestrelplank.net.loop import READ, Loop


class Status:
    """At `path`, for the owner of the process alone. `shown` makes the object, anew for each who asks. Who does not
    take it at once gets what fits: nobody is waited for."""

    def __init__(self, loop: Loop, path: str, shown: Callable[[], dict]) -> None:
        self._loop, self._path, self._shown = loop, path, shown
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        temporary = f"{path}.{os.getpid()}"
        try:
            self._sock.bind(temporary)
            os.chmod(temporary, 0o600)
            self._sock.listen(8)
            os.replace(temporary, path)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        loop.watch(self._sock, READ, self._accept)

    def _accept(self, events: int) -> None:
        try:
            link, _ = self._sock.accept()
        except OSError:
            return
        try:
            link.setblocking(False)
            link.send(msgspec.json.encode(self._shown()) + b"\n")
        except OSError:
            pass
        finally:
            link.close()

    def close(self) -> None:
        self._loop.forget(self._sock)
        self._sock.close()
        try:
            os.unlink(self._path)
        except OSError:
            pass


def asked(path: str, within: float) -> dict:
    """What the conductor at that path shows. Raises OSError, or ValueError where it is not whole."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as link:
        link.settimeout(within)
        link.connect(path)
        data = bytearray()
        while part := link.recv(1 << 16):
            data += part
    return msgspec.json.decode(data)
