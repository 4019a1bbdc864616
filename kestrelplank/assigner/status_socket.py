"""What a running assigner shows of itself over a Unix socket: whoever connects gets one JSON object."""

import socket
from collections.abc import Callable, Mapping
from typing import TypedDict, cast

import msgspec

from kestrelplank.sockets.loop import Loop
from kestrelplank.sockets.unix_listener import UnixListener

READ_BYTES = 1 << 16


class MembersStatus(TypedDict):
    """Which members the assigner that was asked counts as alive."""

    view: int
    alive: list[int]


class AssignerStatus(TypedDict):
    """What an assigner shows: figures of each zone by name, members where they talk to each other."""

    slices: int
    zones: dict[str, dict[str, float]]
    members: MembersStatus | None


class StatusSocket:
    """Sends what `status()` returns, called for each connection, at `path`.

    It is written once without waiting, so a slow reader gets what fits the socket's buffer.
    """

    def __init__(self, loop: Loop, path: str, status: Callable[[], Mapping[str, object]]) -> None:
        self.status = status
        self._listener = UnixListener(loop, path, self._accept)

    def _accept(self, link: socket.socket) -> None:
        try:
            link.send(msgspec.json.encode(self.status()) + b"\n")
        except OSError:
            pass
        finally:
            link.close()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()


def read_status(path: str, timeout_s: float) -> AssignerStatus:
    """Return what the assigner at that path shows.

    :raises OSError: it can't be reached.
    :raises ValueError: what it shows is cut off.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as link:
        link.settimeout(timeout_s)
        link.connect(path)
        data = bytearray()
        while chunk := link.recv(READ_BYTES):
            data += chunk
    return cast(AssignerStatus, msgspec.json.decode(data, type=dict[str, object]))
