"""The assigner's listening address: collectors join with their zone and send reports; any caller may send heartbeats.

A caller that has not joined may only join with a known zone or send heartbeats, and only for `JOIN_TIMEOUT_NS`: there
may be hundreds of callers that send nothing, or an incomplete or endless message, and each occupies a descriptor. A
caller is sent the reason before it is disconnected.
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
MAX_UNJOINED_CALLERS = 64  # the oldest is rejected first
MAX_COLLECTORS_PER_ZONE = 4  # one reports; others may be stale connections of a machine that vanished
MAX_UNJOINED_BYTES = 4096  # per message of a caller that has not joined
MAX_UNSENT_BYTES = 1 << 16
MAX_REASON_BYTES = 80
SWEEP_INTERVAL_NS = 200 * NS_PER_MS  # also the pause of accepting when descriptors run out
JOIN_TIMEOUT_NS = 1000 * NS_PER_MS
IDLE_TIMEOUT_NS = 120_000 * NS_PER_MS  # of a collector, since its last bytes


class TelemetryServer:
    """Admits callers and processes collectors' reports.

    Unjoined callers are ordered by the time of their connection, collectors by the time they joined.

    :param slices: number of slices.
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
        self._listener = Listener(loop, at, self._accept, self._free_descriptor, SWEEP_INTERVAL_NS)
        self.at = self._listener.at
        self._timer = loop.at(loop.now() + SWEEP_INTERVAL_NS, self._sweep)

    # Called by callers.

    def join(self, caller: "Caller", message: list[bytes]) -> int:
        """Admit a caller as a collector of the zone that it names, and return the zone."""
        zone = read_joining(message, self._ids)
        self._unjoined.pop(id(caller), None)
        same_zone = [other for other in self._collectors.values() if other.zone == zone]
        if len(same_zone) >= MAX_COLLECTORS_PER_ZONE:
            min(same_zone, key=lambda other: other.last_received_at).reject("callers_pushed_out", "too many of a zone")
        self._collectors[id(caller)] = caller
        return zone

    def handle_report(self, message: list[bytes], zone: int) -> None:
        """Process a report; an invalid one is skipped, and its connection stays open."""
        try:
            report = read_report(message, self._ids, self._slices, zone)
        except MalformedError as err:
            self.counters.record_fault("reports_skipped", err)
            return
        if report:
            self.counters.add("tries_in" if isinstance(report, NodeReport) else "heat_in")
            self._on_event(report)

    def caller_closed(self, caller: "Caller") -> None:
        """Remove a caller whose connection is closed."""
        self._unjoined.pop(id(caller), None)
        self._collectors.pop(id(caller), None)

    # Admission.

    def _accept(self, sock: socket.socket) -> None:
        self.counters.add("accepted")
        if len(self._unjoined) >= MAX_UNJOINED_CALLERS:
            self._reject_oldest_unjoined("too many")
        caller = Caller(self, sock, self.loop.now())
        self._unjoined[id(caller)] = caller

    def _reject_oldest_unjoined(self, why: str) -> None:
        next(iter(self._unjoined.values())).reject("callers_pushed_out", why)

    def _free_descriptor(self, why: str) -> bool:
        """Reject the oldest unjoined caller to free its descriptor; return whether there was one."""
        self.counters.record_fault("accept_failed", why)
        if self._unjoined:
            self._reject_oldest_unjoined("short of descriptors")
            return True
        return False

    def _sweep(self) -> None:
        now = self.loop.now()
        for callers, timeout_ns in ((self._unjoined, JOIN_TIMEOUT_NS), (self._collectors, IDLE_TIMEOUT_NS)):
            for caller in list(callers.values()):
                if now - caller.last_received_at >= timeout_ns:
                    caller.reject("callers_silent", "has not joined" if caller.zone is None else "says nothing")
        self._timer = self.loop.at(now + SWEEP_INTERVAL_NS, self._sweep)

    def close(self) -> None:
        """Stop listening, and close all connections."""
        self._timer.cancel()
        self._listener.close()
        for caller in [*self._unjoined.values(), *self._collectors.values()]:
            caller.connection.close("closed locally")


class Caller:
    """An inbound connection; only replies to heartbeats and the reason of a rejection are sent on it."""

    def __init__(self, server: TelemetryServer, sock: socket.socket, now: int) -> None:
        self._server, self._parser = server, resp.Parser(MAX_UNJOINED_BYTES)
        self.last_received_at = now  # until it joins: time of the connection
        self.zone: int | None = None  # of a collector; None before it has joined
        self.connection = Connection(server.loop, server.pool, sock, self, MAX_UNSENT_BYTES)

    def on_data(self, data: memoryview) -> None:
        """Process received bytes."""
        try:
            for message in self._parser.feed(data):
                if not self.connection.open:  # rejected because of an earlier message
                    return
                self._handle_message(message)
        except MalformedError as err:
            self.reject("callers_malformed", str(err))
        if self.zone is not None:
            self.last_received_at = self._server.loop.now()

    def _handle_message(self, message: list[bytes]) -> None:
        if message[0] == HEARTBEAT:
            self._server.counters.add("hb_answered")
            self.connection.write(HEARTBEAT_ANSWER)
        elif self.zone is None:
            self.zone = self._server.join(self, message)
            self._parser.max_message_bytes = resp.MAX_MESSAGE_BYTES
        else:
            self._server.handle_report(message, self.zone)

    def reject(self, counter: str, why: str) -> None:
        """Send the caller the reason, and close the connection."""
        self._server.counters.record_fault(counter, why)
        self.connection.write(resp.encode(b"reject", b"reason", why.encode()[:MAX_REASON_BYTES]))
        self.connection.close(why)

    def on_close(self, why: str) -> None:  # noqa: ARG002 - signature of ConnectionHandler
        """Remove this caller from the server."""
        self._server.caller_closed(self)
