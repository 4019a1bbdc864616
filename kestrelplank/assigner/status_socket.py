"""The status of a running assigner over a Unix socket: each connection receives one JSON object."""

import socket
from collections.abc import Callable, Mapping
from typing import TypedDict, cast

import msgspec

from kestrelplank.sockets.loop import Loop
from kestrelplank.sockets.unix_listener import UnixListener

READ_BYTES = 1 << 16


class MembersStatus(TypedDict):
    """The members that the queried assigner regards as alive."""

    view: int
    alive: list[int]


class AssignerStatus(TypedDict):
    """An assigner's status: figures by zone name, and the members if membership is enabled."""

    slices: int
    zones: dict[str, dict[str, float]]
    members: MembersStatus | None


class StatusSocket:
    """Calls `status` for each connection at `path` and sends the result.

    The result is written once without waiting, so a slow reader receives only what fits into the socket's buffer.
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
    """Return the status of the assigner that listens at a path.

    :raises OSError: the socket can't be reached.
    :raises ValueError: the received JSON is truncated.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as link:
        link.settimeout(timeout_s)
        link.connect(path)
        data = bytearray()
        while chunk := link.recv(READ_BYTES):
            data += chunk
    return cast(AssignerStatus, msgspec.json.decode(data, type=dict[str, object]))
