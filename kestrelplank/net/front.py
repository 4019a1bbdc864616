"""The conductor's own address: collectors connect, pass on their zone's reports and ask whether we live."""

import socket
from collections.abc import Callable, Iterable

from kestrelplank.decode import NS_PER_MS, Ids, Malformed, count, number, time
from kestrelplank.net import resp
from kestrelplank.net.buffers import Pool
from kestrelplank.net.connection import Connection, Listener
from kestrelplank.net.counters import Counters
from kestrelplank.net.loop import Loop

LOADS = {"inflight": "inflight", "queue": "queued", "util": "util", "latency_ms": "service_ms",
         "qps": "acked_per_s", "eps": "aborted_per_s"}
HB, HB_OK = b"hb", resp.encode(b"hb_ok")
MOST_CALLERS = 64  # connections held: each may hold a message's bytes, and there are few zones
MOST_UNREAD = 1 << 16
MOST_DIGITS = 8  # of a slice's number: thousands of them are more than the language makes a number of
SWEEP = 2000 * NS_PER_MS  # how often silent callers are looked for, and how long listening pauses when short
SILENT, IDLE = 10_000 * NS_PER_MS, 120_000 * NS_PER_MS  # kept without a first message; since the last one


def figure(value: str) -> float:
    try:
        return number(float(value))
    except ValueError:
        raise Malformed(f"expected a number, got {value!r}") from None


def load(pairs: Iterable[list[str]]) -> dict[str, float]:
    """Load report: name to value, from pairs already split; what is not known here is skipped."""
    return {LOADS[pair[0]]: figure(pair[1]) for pair in pairs if len(pair) == 2 and pair[0] in LOADS}


def report(message: list[bytes], ids: Ids, slices: int) -> tuple | None:
    """One message as an event for the module; None where there is nothing to tell it."""
    try:
        kind, *words = (part.decode() for part in message)
    except UnicodeDecodeError:
        raise Malformed("not text") from None
    if len(words) % 2:
        raise Malformed(f"{kind}: a name without a value")
    fields = dict(zip(words[::2], words[1::2]))

    def known(name: str, among: dict) -> int:
        if fields.get(name) not in among:
            raise Malformed(f"{kind}, field {name}: {fields.get(name)!r} is not known")
        return among[fields[name]]

    def read(name: str) -> float:
        if name not in fields:
            raise Malformed(f"{kind}, field {name}: missing")
        return count(figure(fields[name]))

    if kind == "upstream_stats":
        tries, failed = read("total"), read("errors")
        mean_time = time(read("rtt")) if "rtt" in fields else None
        metrics = (pair.split(":") for pair in fields.get("metrics", "").split(","))
        return ("tries", known("endpoint", ids.nodes), known("locality", ids.zones), tries, failed, mean_time,
                time(read("interval")), load(metrics))
    if kind == "range_stats":
        shard = fields.get("shard", "")
        if not (shard.isdecimal() and len(shard) <= MOST_DIGITS and int(shard) < slices):
            raise Malformed(f"{kind}, field shard: {shard[:40]!r} is not known")
        return ("heat", int(shard), known("route", ids.op_types), read("total"), read("errors"),
                time(read("interval")))
    if kind == "telemetry":
        return None
    raise Malformed(f"no message is called {kind[:40]!r}")


class Caller:
    """One connection to our address. It is written to only to answer `hb`."""

    def __init__(self, front: "Front", sock: socket.socket, now: int) -> None:
        self._front, self._parser = front, resp.Parser()
        self.heard_at, self.spoke = now, False
        self.connection = Connection(front.loop, front.pool, sock, self, MOST_UNREAD)

    def on_data(self, data: memoryview) -> None:
        try:
            for message in self._parser.feed(data):
                self.heard_at, self.spoke = self._front.loop.now(), True
                if message[0] == HB:
                    self._front.counters.add("hb_answered")
                    self.connection.write(HB_OK)
                else:
                    self._front.take(message)
        except Malformed as err:
            self._front.counters.trouble("callers_malformed", err)
            self.connection.close("malformed")

    def on_close(self, why: str) -> None:
        self._front.gone(self)


class Front:
    def __init__(self, loop: Loop, pool: Pool, counters: Counters, at: tuple[str, int], ids: Ids, slices: int,
                 on_event: Callable[[tuple], None]) -> None:
        self.loop, self.pool, self.counters = loop, pool, counters
        self._ids, self._slices, self._on_event = ids, slices, on_event
        self._callers: dict[int, Caller] = {}
        self._listener = Listener(loop, at, self._accept, lambda why: counters.trouble("accept_failed", why),
                                  SWEEP)
        self.at = self._listener.at
        self._timer = loop.at(loop.now() + SWEEP, self._sweep)

    def take(self, message: list[bytes]) -> None:
        try:
            event = report(message, self._ids, self._slices)
        except Malformed as err:
            self.counters.trouble("reports_skipped", err)
            return
        if event:
            self.counters.add(event[0] + "_in")
            self._on_event(event)

    def gone(self, caller: Caller) -> None:
        self._callers.pop(id(caller), None)

    def _accept(self, sock: socket.socket) -> None:
        self.counters.add("accepted")
        if len(self._callers) >= MOST_CALLERS:  # strangers first, then whoever has been silent for longest
            oldest = min(self._callers.values(), key=lambda caller: (caller.spoke, caller.heard_at))
            oldest.connection.close("too many")
        caller = Caller(self, sock, self.loop.now())
        self._callers[id(caller)] = caller

    def _sweep(self) -> None:
        now = self.loop.now()
        for caller in list(self._callers.values()):
            if now - caller.heard_at > (IDLE if caller.spoke else SILENT):
                self.counters.add("callers_silent")
                caller.connection.close("silent")
        self._timer = self.loop.at(now + SWEEP, self._sweep)

    def close(self) -> None:
        self._timer.cancel()
        self._listener.close()
        for caller in list(self._callers.values()):
            caller.connection.close("we end")
