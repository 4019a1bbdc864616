"""The assigner's own address: collectors connect, name their zone and send reports; anybody may send a heartbeat.

Admission is decided here. A caller that has not joined may only name a zone that exists or send heartbeats, and only
for a short while: such callers come by hundreds, send nothing, half a message or one without end, and each holds a
descriptor. A caller is sent the reason before it is disconnected.
"""

import socket
from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.telemetry_messages import read_joining, read_report
from kestrelplank.decode import NS_PER_MS, Ids, MalformedError
from kestrelplank.interface import Event, NodeReport
from kestrelplank.sockets import resp
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import Connection, Listener
from kestrelplank.sockets.loop import Loop

HEARTBEAT, HEARTBEAT_ANSWER = b"hb", resp.encode(b"hb_ok")
MOST_UNJOINED = 64  # connections that have not joined; the oldest goes first, as it had its chance
MOST_OF_ZONE = 4  # joined: one reports, the others may be left over from a machine that vanished
MOST_UNJOINED_BYTES = 4096  # of a message, from a caller that has not joined
MOST_UNSENT_BYTES = 1 << 16
MOST_REASON_BYTES = 80
SWEEP_INTERVAL_NS = 200 * NS_PER_MS  # also how long listening pauses when descriptors run out
JOIN_TIMEOUT_NS = 1000 * NS_PER_MS  # kept without joining
IDLE_TIMEOUT_NS = 120_000 * NS_PER_MS  # joined, since the last bytes


class TelemetryServer:
    """Admits callers and takes collectors' reports.

    Callers are held in the order in which their time runs out: those not joined by when they came, collectors
    by when they joined.

    :param slices: how many there are.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        at: tuple[str, int],
        ids: Ids,
        slices: int,
        on_event: Callable[[Event], None],
    ) -> None:
        self.loop, self.pool, self.counters = loop, pool, counters
        self._ids, self._slices, self._on_event = ids, slices, on_event
        self._unjoined: dict[int, Caller] = {}
        self._collectors: dict[int, Caller] = {}
        self._listener = Listener(loop, at, self._accept, self._make_room, SWEEP_INTERVAL_NS)
        self.at = self._listener.at
        self._timer = loop.at(loop.now() + SWEEP_INTERVAL_NS, self._sweep)

    # Called by callers.

    def join(self, caller: "Caller", message: list[bytes]) -> int:
        """Admit a caller as collector of the zone that it names, and return the zone."""
        zone = read_joining(message, self._ids)
        self._unjoined.pop(id(caller), None)
        same_zone = [other for other in self._collectors.values() if other.zone == zone]
        if len(same_zone) >= MOST_OF_ZONE:
            min(same_zone, key=lambda other: other.heard_at).reject("callers_pushed_out", "too many of a zone")
        self._collectors[id(caller)] = caller
        return zone

    def take(self, message: list[bytes], zone: int) -> None:
        """Handle a report; one that can't be used is skipped, and its connection stays."""
        try:
            report = read_report(message, self._ids, self._slices, zone)
        except MalformedError as err:
            self.counters.record_fault("reports_skipped", err)
            return
        if report:
            self.counters.add("tries_in" if isinstance(report, NodeReport) else "heat_in")
            self._on_event(report)

    def caller_gone(self, caller: "Caller") -> None:
        """Forget a caller whose connection is closed."""
        self._unjoined.pop(id(caller), None)
        self._collectors.pop(id(caller), None)

    # Admission.

    def _accept(self, sock: socket.socket) -> None:
        self.counters.add("accepted")
        if len(self._unjoined) >= MOST_UNJOINED:
            self._reject_oldest_unjoined("too many")
        caller = Caller(self, sock, self.loop.now())
        self._unjoined[id(caller)] = caller

    def _reject_oldest_unjoined(self, why: str) -> None:
        next(iter(self._unjoined.values())).reject("callers_pushed_out", why)

    def _make_room(self, why: str) -> bool:
        """Reject a caller that has not joined, as others need its descriptor; return whether there was one."""
        self.counters.record_fault("accept_failed", why)
        if self._unjoined:
            self._reject_oldest_unjoined("short of descriptors")
            return True
        return False

    def _sweep(self) -> None:
        now = self.loop.now()
        for callers, timeout_ns in ((self._unjoined, JOIN_TIMEOUT_NS), (self._collectors, IDLE_TIMEOUT_NS)):
            for caller in list(callers.values()):
                if now - caller.heard_at >= timeout_ns:
                    caller.reject("callers_silent", "has not joined" if caller.zone is None else "says nothing")
        self._timer = self.loop.at(now + SWEEP_INTERVAL_NS, self._sweep)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        self._timer.cancel()
        self._listener.close()
        for caller in [*self._unjoined.values(), *self._collectors.values()]:
            caller.connection.close("we end")


class Caller:
    """One connection to our address. It is written to only to answer `hb`, and when it is rejected."""

    def __init__(self, server: TelemetryServer, sock: socket.socket, now: int) -> None:
        self._server, self._parser = server, resp.Parser(MOST_UNJOINED_BYTES)
        self.heard_at = now  # before it has joined: when it came
        self.zone: int | None = None  # of a collector
        self.connection = Connection(server.loop, server.pool, sock, self, MOST_UNSENT_BYTES)

    def on_data(self, data: memoryview) -> None:
        """Handle received bytes."""
        try:
            for message in self._parser.feed(data):
                if not self.connection.open:  # rejected for what came before
                    return
                self._take(message)
        except MalformedError as err:
            self.reject("callers_malformed", str(err))
        if self.zone is not None:
            self.heard_at = self._server.loop.now()

    def _take(self, message: list[bytes]) -> None:
        if message[0] == HEARTBEAT:
            self._server.counters.add("hb_answered")
            self.connection.write(HEARTBEAT_ANSWER)
        elif self.zone is None:
            self.zone = self._server.join(self, message)
            self._parser.most_bytes = resp.MOST_BYTES
        else:
            self._server.take(message, self.zone)

    def reject(self, counter: str, why: str) -> None:
        """Send the caller the reason, and close the connection."""
        self._server.counters.record_fault(counter, why)
        self.connection.write(resp.encode(b"reject", b"reason", why.encode()[:MOST_REASON_BYTES]))
        self.connection.close(why)

    def on_close(self, why: str) -> None:  # noqa: ARG002  a connection's owner
        """Forget this caller: its connection is closed."""
        self._server.caller_gone(self)
