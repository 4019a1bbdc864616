"""A zone's connection to an assigner, which carries its reports."""

from collections.abc import Callable

from kestrelplank.rehearsal.stub_server import SocketKit
from kestrelplank.sockets import resp
from kestrelplank.sockets.connection import OutboundConnection
from kestrelplank.sockets.loop import Timer
from kestrelplank.time_units import MILLISECOND

DIAL_TIMEOUT_NS = 250 * MILLISECOND
REDIAL_INTERVAL_NS = 200 * MILLISECOND
MAX_UNSENT_BYTES = 1 << 20


class TelemetryConnection:
    """Connects again when the connection ends.

    :param get_address: returns the present address of the assigner.
    """

    def __init__(self, kit: SocketKit, get_address: Callable[[], tuple[str, int]], zone_name: bytes) -> None:
        self._kit, self._get_address, self._zone_name = kit, get_address, zone_name
        self._is_open = self._closed = False
        self._redial: Timer | None = None
        self._dial()

    def _dial(self) -> None:
        self._is_open = False
        kit = self._kit
        self._connection = OutboundConnection(
            kit.loop, kit.pool, self._get_address(), self, MAX_UNSENT_BYTES, DIAL_TIMEOUT_NS
        )

    def on_open(self) -> None:
        """Send the zone's name."""
        self._is_open = True
        self.send(b"telemetry", b"locality", self._zone_name)

    def on_data(self, data: memoryview) -> None:
        """Ignore received data: an assigner only writes the reason before it closes the connection."""

    def on_close(self, why: str) -> None:  # noqa: ARG002 - as the connection calls it
        """Connect again after `REDIAL_INTERVAL_NS`."""
        self._is_open = False
        if not self._closed:
            loop = self._kit.loop
            self._redial = loop.at(loop.now() + REDIAL_INTERVAL_NS, self._dial)

    def send(self, *words: bytes) -> None:
        """Send a command, if the connection is open."""
        if self._is_open:
            self._connection.write(resp.encode(*words))

    def close(self) -> None:
        """Close the connection, and don't connect again."""
        self._closed = True
        if self._redial:
            self._redial.cancel()
        self._connection.close("over")
