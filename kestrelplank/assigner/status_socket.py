"""What a running conductor shows of itself over a Unix socket: whoever connects gets one JSON object and the end."""

import socket
from collections.abc import Callable

import msgspec

from kestrelplank.sockets.loop import Loop
from kestrelplank.sockets.unix_listener import UnixListener


class StatusSocket:
    """At `path`. `shown` makes the object, anew for each who asks. Who does not take it at once gets what fits: nobody
    is waited for."""

    def __init__(self, loop: Loop, path: str, shown: Callable[[], dict]) -> None:
        self.shown = shown
        self._listener = UnixListener(loop, path, self._accept)

    def _accept(self, link: socket.socket) -> None:
        try:
            link.send(msgspec.json.encode(self.shown()) + b"\n")
        except OSError:
            pass
        finally:
            link.close()

    def close(self) -> None:
        self._listener.close()


def read_status(path: str, within: float) -> dict:
    """What the conductor at that path shows. Raises OSError, or ValueError where it is not whole."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as link:
        link.settimeout(within)
        link.connect(path)
        data = bytearray()
        while part := link.recv(1 << 16):
            data += part
    return msgspec.json.decode(data)
