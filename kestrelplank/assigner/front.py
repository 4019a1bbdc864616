"""The conductor's own address: collectors connect, name their zone and pass on its reports; anybody may ask
whether we live.

Admission is decided here. Who has not named a zone that exists may do nothing but that and ask for a sign of life,
and only for a short while: strangers come by hundreds, say nothing, half a message or one without end, and each
holds a descriptor. Whoever is let go is told `reject` first.
"""

import re
import socket
from collections.abc import Callable, Iterable
from typing import Any

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import NS_PER_MS, Ids, Malformed, time, told
from kestrelplank.interface import Event, NodeReport, SliceReport
from kestrelplank.sockets import resp
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.connection import Connection, Listener
from kestrelplank.sockets.loop import Loop

LOADS = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "latency_ms": "service_ms",
    "qps": "acknowledged_per_s",
    "eps": "aborted_per_s",
}
HB, HB_OK = b"hb", resp.encode(b"hb_ok")
MOST_STRANGERS = 64  # connections that have not joined; the oldest goes first, as it had its chance
MOST_OF_ZONE = 4  # joined: one reports; those of a machine that vanished are held until found out
MOST_FIRST = 4096  # bytes held of whoever has not joined
MOST_UNREAD = 1 << 16
MOST_DIGITS = 8  # of a slice's number: thousands of them are more than the language makes a number of
SWEEP = 200 * NS_PER_MS  # how often those whose time is over are looked for; how long listening pauses when short
JOIN_WITHIN, IDLE = 1000 * NS_PER_MS, 120_000 * NS_PER_MS  # kept without joining; joined, since the last bytes
FIGURE = re.compile(r"-?\d+(\.\d+)?([eE][-+]?\d+)?", re.ASCII)  # the language reads more than that as a number


def figure(value: str) -> float:
    if not FIGURE.fullmatch(value):
        raise Malformed(f"expected a number, got {value[:40]!r}")
    return told(float(value))


def load(pairs: Iterable[list[str]]) -> dict[str, float]:
    """Load report: name to value, from pairs already split; what is not known here is skipped."""
    return {LOADS[pair[0]]: figure(":".join(pair[1:])) for pair in pairs if pair[0] in LOADS}


def decoded(message: list[bytes]) -> tuple[str, dict[str, str]]:
    """A message's kind, and its fields by name."""
    try:
        kind, *words = (part.decode() for part in message)
    except UnicodeDecodeError:
        raise Malformed("not text") from None
    fields = dict(zip(words[::2], words[1::2]))
    if len(words) != 2 * len(fields):
        raise Malformed(f"{kind[:40]}: a name without a value, or twice")
    return kind, fields


def known(kind: str, fields: dict[str, str], name: str, among: dict[Any, int]) -> int:
    value = fields.get(name)
    if value not in among:
        raise Malformed(f"{kind}, field {name}: {value and value[:40]!r} is not known")
    return among[value]


def joining(message: list[bytes], ids: Ids) -> int:
    """The zone that a collector names; whoever says anything else first is none."""
    kind, fields = decoded(message)
    if kind != "telemetry":
        raise Malformed(f"{kind[:40]!r} from who has not joined")
    return known(kind, fields, "locality", ids.zones)


def report(message: list[bytes], ids: Ids, slices: int, zone: int) -> NodeReport | SliceReport | None:
    """One message from the collector of a zone as an event for the module; None where there is nothing to tell.
    A figure that can't be is not cut to one that can: all the message is worth is then in doubt."""
    kind, fields = decoded(message)

    def read(name: str) -> float:
        if name not in fields:
            raise Malformed(f"{kind}, field {name}: missing")
        try:
            return figure(fields[name])
        except Malformed as err:
            raise Malformed(f"{kind}, field {name}: {err}") from None

    if kind == "telemetry":
        return None
    if kind not in ("upstream_stats", "range_stats"):
        raise Malformed(f"no message is called {kind[:40]!r}")
    tries, failed, window = read("total"), read("errors"), time(read("interval"))
    if not window:
        raise Malformed(f"{kind}: in no time")
    if kind == "upstream_stats":
        if failed > tries:  # of a slice's ops, those that came earlier may end now
            raise Malformed(f"{kind}: {failed} of {tries} failed")
        if known(kind, fields, "locality", ids.zones) != zone:
            raise Malformed(f"{kind}, field locality: not this collector's")
        mean_time = time(read("rtt")) if tries > failed or "rtt" in fields else None
        metrics = (pair.split(":") for pair in fields.get("metrics", "").split(","))
        return NodeReport(
            known(kind, fields, "endpoint", ids.nodes),
            zone,
            tries,
            failed,
            mean_time,
            window,
            load(metrics),
        )
    shard = fields.get("shard", "")
    if not (shard.isdecimal() and len(shard) <= MOST_DIGITS and int(shard) < slices):
        raise Malformed(f"{kind}, field shard: {shard[:40]!r} is not known")
    return SliceReport(int(shard), known(kind, fields, "route", ids.op_types), tries, failed, window)


class Caller:
    """One connection to our address. It is written to only to answer `hb`, and when it is let go."""

    def __init__(self, front: "Front", sock: socket.socket, now: int) -> None:
        self._front, self._parser = front, resp.Parser(MOST_FIRST)
        self.heard_at, self.zone = now, None
        self.connection = Connection(front.loop, front.pool, sock, self, MOST_UNREAD)

    def on_data(self, data: memoryview) -> None:
        try:
            for message in self._parser.feed(data):
                if not self.connection.open:  # let go for what came before
                    return
                if message[0] == HB:
                    self._front.counters.add("hb_answered")
                    self.connection.write(HB_OK)
                elif self.zone is None:
                    self._front.join(self, message)
                    self._parser.most = resp.MOST_BYTES
                else:
                    self._front.take(message, self.zone)
        except Malformed as err:
            self.reject("callers_malformed", str(err))
        if self.zone is not None:
            self.heard_at = self._front.loop.now()

    def reject(self, name: str, why: str) -> None:
        self._front.counters.trouble(name, why)
        self.connection.write(resp.encode(b"reject", b"reason", why.encode()[:80]))
        self.connection.close(why)

    def on_close(self, why: str) -> None:
        self._front.gone(self)


class Front:
    """Callers stand in the order in which their time runs out: strangers by when they came, collectors of a zone
    by when they joined."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        counters: Counters,
        at: tuple[str, int],
        ids: Ids,
        slices: int,
        on_event: Callable[[Event], None],
    ) -> None:
        self.loop, self.pool, self.counters = loop, pool, counters
        self._ids, self._slices, self._on_event = ids, slices, on_event
        self._strangers: dict[int, Caller] = {}
        self._collectors: dict[int, Caller] = {}
        self._listener = Listener(loop, at, self._accept, self._short, SWEEP)
        self.at = self._listener.at
        self._timer = loop.at(loop.now() + SWEEP, self._sweep)

    def join(self, caller: Caller, message: list[bytes]) -> None:
        caller.zone = joining(message, self._ids)
        self._strangers.pop(id(caller), None)
        same = [other for other in self._collectors.values() if other.zone == caller.zone]
        if len(same) >= MOST_OF_ZONE:
            min(same, key=lambda other: other.heard_at).reject("callers_pushed_out", "too many of a zone")
        self._collectors[id(caller)] = caller

    def take(self, message: list[bytes], zone: int) -> None:
        try:
            event = report(message, self._ids, self._slices, zone)
        except Malformed as err:
            self.counters.trouble("reports_skipped", err)
            return
        if event:
            self.counters.add("tries_in" if isinstance(event, NodeReport) else "heat_in")
            self._on_event(event)

    def gone(self, caller: Caller) -> None:
        self._strangers.pop(id(caller), None)
        self._collectors.pop(id(caller), None)

    def _accept(self, sock: socket.socket) -> None:
        self.counters.add("accepted")
        if len(self._strangers) >= MOST_STRANGERS:
            self._push_out("too many")
        caller = Caller(self, sock, self.loop.now())
        self._strangers[id(caller)] = caller

    def _push_out(self, why: str) -> None:
        next(iter(self._strangers.values())).reject("callers_pushed_out", why)

    def _short(self, why: str) -> bool:
        """Strangers make room: a collector that comes, and our own calls, must find a descriptor."""
        self.counters.trouble("accept_failed", why)
        if self._strangers:
            self._push_out("short of descriptors")
            return True
        return False

    def _sweep(self) -> None:
        now = self.loop.now()
        for held, most in ((self._strangers, JOIN_WITHIN), (self._collectors, IDLE)):
            for caller in list(held.values()):
                if now - caller.heard_at >= most:
                    caller.reject("callers_silent", "has not joined" if caller.zone is None else "says nothing")
        self._timer = self.loop.at(now + SWEEP, self._sweep)

    def close(self) -> None:
        self._timer.cancel()
        self._listener.close()
        for caller in [*self._strangers.values(), *self._collectors.values()]:
            caller.connection.close("we end")
