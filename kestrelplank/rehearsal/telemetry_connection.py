"""A zone's connection to an assigner, over which it reports."""

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
    """Dials again when it ends.

    :param address_of: returns where the assigner listens at present.
    """

    def __init__(self, kit: SocketKit, address_of: Callable[[], tuple[str, int]], zone_name: bytes) -> None:
        self._kit, self._address_of, self._zone_name = kit, address_of, zone_name
        self._is_open = self._closed = False
        self._redial: Timer | None = None
        self._dial()

    def _dial(self) -> None:
        self._is_open = False
        kit = self._kit
        self._connection = OutboundConnection(
            kit.loop, kit.pool, self._address_of(), self, MAX_UNSENT_BYTES, DIAL_TIMEOUT_NS
        )

    def on_open(self) -> None:
        """Say whose connection it is."""
        self._is_open = True
        self.send(b"telemetry", b"locality", self._zone_name)

    def on_data(self, data: memoryview) -> None:
        """Ignore what comes: an assigner writes nothing but why it ends the connection."""

    def on_close(self, why: str) -> None:  # noqa: ARG002 - as the connection calls it
        """Dial again after a while."""
        self._is_open = False
        if not self._closed:
            loop = self._kit.loop
            self._redial = loop.at(loop.now() + REDIAL_INTERVAL_NS, self._dial)

    def send(self, *words: bytes) -> None:
        """Send a command, if the connection is open."""
        if self._is_open:
            self._connection.write(resp.encode(*words))

    def close(self) -> None:
        """End the connection for good."""
        self._closed = True
        if self._redial:
            self._redial.cancel()
        self._connection.close("over")
