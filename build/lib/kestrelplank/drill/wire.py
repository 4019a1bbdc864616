"""The bench's wire: its names and units on one side, our words on the other. Nothing here decides."""

import base64
import binascii
from typing import Any, Callable

import msgspec

from kestrelplank.interface import ALL_TABLES

NS_PER_MS = 1_000_000
EVERY_TABLE = 65535
CONDITIONS = {"up", "draining", "removed"}
VERDICTS = {"success": "ok", "failure": "failed", "overloaded": "full", "timed_out": "timed out",
            "unreachable": "unreachable", "broken": "broken", "withdrawn": "withdrawn", "void": "void"}
EFFECTS = {"pure": "retryable", "token": "deduplicated", "side_effect": "once-only"}
PICKS = {"random": "random", "rotate": "rotate", "p2c": "two"}
LEVELS = {"fraction": "share", "per_second": "rate", "none": ""}
LOADS = {"busy_reqs": "inflight", "pending": "queued", "cpu_share": "util", "svc_ms": "service_ms",
         "served_ps": "acked_per_s", "failed_ps": "aborted_per_s"}


class Malformed(ValueError):
    """A line, or one field of it, that the wire does not allow; the text says which and why."""


class Ids:
    """Small indices for one instance's nodes, zones and op types, given out in order of appearance."""

    def __init__(self) -> None:
        self.nodes: dict[int, int] = {}
        self.node_ids: list[int] = []
        self.zones: dict[str, int] = {}
        self.op_types: dict[str, int] = {}

    def node(self, value: Any) -> int:
        index = self.nodes.get(whole(value))
        if index is None:
            index = self.nodes[value] = len(self.node_ids)
            self.node_ids.append(value)
        return index

    def zone(self, value: Any) -> int:
        return self.zones.setdefault(text(value), len(self.zones))

    def op_type(self, value: Any) -> int:
        if text(value) not in self.op_types:
            raise Malformed(f"no op type is called {value!r}")
        return self.op_types[value]


def number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise Malformed(f"expected a number, got {value!r}")
    return value


def whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise Malformed(f"expected a whole number, got {value!r}")
    return value


def count(value: Any) -> float:
    if number(value) < 0:
        raise Malformed(f"expected a number of 0 or more, got {value!r}")
    return value


def time(value: Any) -> int:
    return round(number(value) * NS_PER_MS)


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise Malformed(f"expected text, got {value!r}")
    return value


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise Malformed(f"expected true or false, got {value!r}")
    return value


def body(value: Any) -> bytes:
    try:
        return base64.b64decode(text(value), validate=True)
    except binascii.Error as err:
        raise Malformed(f"expected base64: {err}") from None


def load(value: Any) -> dict[str, float]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise Malformed(f"expected an object, got {value!r}")
    return {LOADS[name]: number(v) for name, v in value.items() if name in LOADS and v is not None}


def word(choices: Any) -> Callable[[Any], str]:
    def read(value: Any) -> str:
        if text(value) not in choices:
            raise Malformed(f"expected one of {', '.join(choices)}, got {value!r}")
        return choices[value] if isinstance(choices, dict) else value
    return read


def entries(value: Any, ids: Ids) -> list[tuple]:
    if value is None:
        return []
    if not isinstance(value, list):
        raise Malformed(f"expected a list of entries, got {value!r}")
    result = []
    for place, entry in enumerate(value):
        if not isinstance(entry, list) or len(entry) < 7:
            raise Malformed(f"entry {place}: expected seven values, got {entry!r}")
        boot, cell, condition, zone, node, _kind, weight = entry[:7]
        try:
            result.append((ids.node(node), word(CONDITIONS)(condition), None if zone is None else ids.zone(zone),
                           None if cell is None else whole(cell), 1.0 if weight is None else count(weight),
                           time(boot) if boot else None))
        except Malformed as err:
            raise Malformed(f"entry {place}: {err}") from None
    return result


# The wire's event, our word for it, and its fields in the wire's order: name, reader, may be null, place
# among our fields. A reader named as text is a method of Ids.
EVENTS: dict[str, tuple[str, tuple]] = {
    "ROSTER_CHANGE": ("roster", (("Version", number, True, None),
                                 ("How", word({"delta", "full", "cached", "failed"}), False, 0),
                                 ("Hosts", entries, True, 1))),
    "TENURE": ("tenure", (("SetId", whole, False, 0), ("Yes", flag, False, 1))),
    "CURRENT_OWNER": ("line", (("Node", "node", False, 1), ("SetId", whole, False, 0), ("Size", count, False, 2))),
    "SUBSCRIBED": ("joined", (("Proxy", whole, False, 0), ("FailureDomain", "zone", True, 1),
                              ("Size", count, True, 2), ("Yes", flag, False, 3))),
    "LOST_STREAM": ("left", (("Proxy", whole, False, 0),)),
    "INSTALLED": ("applied", (("Proxy", whole, False, 0), ("Version", whole, False, 1),
                              ("WaitTime", time, True, 2))),
    "ROUNDUP": ("tries", (("N", count, False, 2), ("Bad", count, False, 3), ("WaitTime", time, True, 4),
                          ("Window", time, False, 5), ("FailureDomain", "zone", True, 1),
                          ("Node", "node", False, 0), ("Stats", load, True, 6))),
    "WEIGHT_SEEN": ("heat", (("Window", time, False, 4), ("Cls", "op_type", False, 1), ("SetId", whole, False, 0),
                             ("Bad", count, False, 3), ("N", count, False, 2))),
    "DEMAND": ("demand", (("N", count, False, 2), ("Cls", "op_type", False, 1), ("Proxy", whole, False, 0),
                          ("Bad", count, False, 3), ("Window", time, False, 4))),
    "ECHO": ("probed", (("Node", "node", False, 0), ("Verdict", word(VERDICTS), False, 1),
                        ("WaitTime", time, True, 2), ("Stats", load, True, 3))),
    "DATAGRAM": ("peer", (("Sender", whole, False, 0), ("Body", body, True, 1))),
    "REMINDER": ("timer", (("Name", text, False, 0),)),
}


def event(message: list, ids: Ids) -> tuple:
    """Decode one event line, the name and the instance already looked at, into a tuple of our words."""
    our_word, fields = EVENTS[message[0]]
    values: list[Any] = [None] * sum(place is not None for *_, place in fields)
    for at, (name, reader, nullable, place) in enumerate(fields, 2):
        value = message[at] if at < len(message) else None
        try:
            if value is None and nullable:
                value = {} if reader is load else [] if reader is entries else None
            elif reader is entries:
                value = entries(value, ids)
            else:
                value = getattr(ids, reader)(value) if isinstance(reader, str) else reader(value)
        except Malformed as err:
            raise Malformed(f"{message[0]}, field {name}: {err}") from None
        if place is not None:
            values[place] = value
    return (our_word, *values)


def settings(conf: Any, ids: Ids) -> dict[str, Any]:
    """The wire's settings as one flat mapping in our words and units; what is not known here is skipped."""
    if not isinstance(conf, dict):
        raise Malformed(f"CREATE, field Conf: expected an object, got {conf!r}")

    def read(path: str, reader: Callable[[Any], Any], absent: Any) -> Any:
        value: Any = conf
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        try:
            return absent if value is None else reader(value)
        except Malformed as err:
            raise Malformed(f"CREATE, field Conf.{path}: {err}") from None

    for zone in conf.get("Areas") or ():
        ids.zone(zone)
    op_types = []
    for place, kind in enumerate(conf.get("Categories") or ()):
        if not isinstance(kind, dict):
            raise Malformed(f"CREATE, field Conf.Categories: entry {place}: expected an object, got {kind!r}")
        ids.op_types[text(kind.get("Name"))] = place
        op_types.append({
            "target_latency": time(kind.get("Target") or 0), "op_timeout": time(kind.get("Deadline") or 0),
            "value": count(kind.get("Importance") or 0), "group": kind.get("Group") or "",
            "effect": EFFECTS.get(kind.get("Effect"), "once-only"),
            "repeat_window": time(kind.get("DedupWindow") or 0)})
    return {
        "op_types": op_types,
        "ordinal": read("Ordinal", whole, 0),
        "conductors": read("Balancers", whole, 1),
        "zone": read("Az", ids.zone, None),
        "zones": len(ids.zones),
        "proxies": read("Specifics.DataPlaneSize", whole, 1),
        "slices": read("Specifics.Shards", whole, 0),
        "exclusive": read("Specifics.Exclusive", flag, False),
        "write_life": read("Specifics.WriteLife", time, 0),
        "lease": read("Specifics.Tenure", time, 0),
        "bare_limit": read("Specifics.Blackhole", time, 0),
        "envelope": read("Specifics.Envelope", count, 0),
        "lines_per_s": read("Specifics.EgressPerS", count, 0),
        "most_waiting": read("Specifics.MostWaiting", count, 0),
        "most_messages": read("Specifics.PushesAllowed", whole, 0),
        "messages_span": read("Specifics.MessagesOver", time, 0),
        "transit": read("Specifics.Transit", time, 0),
        "longest_transit": read("Specifics.WorstTransit", time, 0),
        "report_every": read("Specifics.ReportEvery", time, NS_PER_MS * 1000),
        "strikes": read("Specifics.Strikes", whole, 0),
        "pick": read("Specifics.Pick", lambda v: PICKS.get(v, "random"), "random"),
        "levels": read("Specifics.LevelKind", lambda v: LEVELS.get(v, ""), ""),
        "usual_again": read("Specifics.BaseMode", whole, 0),
        "first_wait": read("Specifics.FirstWait", count, 1.0),
        "warm_keys": read("Specifics.WarmKeys", flag, False),
        "subscribe": read("MembershipMode", text, "automatic") == "subscribe",
        "ask_within": read("Rules.AskWithin", time, 0),
        "cold_from": read("Rules.ColdFrom", count, 1.0),
        "warm_up": read("Rules.WarmUp", time, 0),
        "fall_multiple": read("Rules.FallMultiple", count, 1.0),
        "tip_after": read("Rules.TipAfter", time, 0),
        "grace": read("Rules.StopSendingWithin", time, 0),
        "only_draining_binds": read("Rules.OnlyDrainingBinds", flag, False),
        "weights": read("WeightSource", text, "none"),
        "may_probe": read("Permissions.Probes", flag, False),
        "may_tell": read("Permissions.MayTell", flag, False),
    }


class Lines:
    """The interface's writer for one instance: each order becomes one line of the reply."""

    def __init__(self, instance: int, ids: Ids, reply: list[bytes]) -> None:
        self._instance, self._ids, self._reply = instance, ids, reply

    def _put(self, name: str, *values: Any) -> None:
        self._reply.append(msgspec.json.encode([name, self._instance, *values]))

    def line(self, table: int, node: int, weight: float) -> None:
        self._put("ENDPOINT", self._ids.node_ids[node], weight, table)

    def clear(self, table: int) -> None:
        self._put("DROP_LINES", table)

    def take_out(self, node: int, out: bool) -> None:
        self._put("TAKE_OUT", self._ids.node_ids[node], out)

    def level(self, table: int, op_types: int, share: float, again: int) -> None:
        self._put("ADMIT", EVERY_TABLE if table == ALL_TABLES else table, op_types, share, again)

    def mark(self, number: int, everyone: bool) -> None:
        self._put("NONCE", number, everyone)

    def bind(self, proxy: int, table: int, op_types: int) -> None:
        self._put("BIND", proxy, table, op_types)

    def probe(self, node: int) -> None:
        self._put("TEST", self._ids.node_ids[node])

    def tell(self, peer: int | None, body: bytes) -> None:
        self._put("BROADCAST_TO", peer, base64.b64encode(body).decode())

    def watch(self, on: bool) -> None:
        self._put("KEEP_INFORMED", on)

    def fetch(self) -> None:
        self._put("FETCH")

    def timer(self, at: int, name: str) -> None:
        self._put("SET_ALARM", at / NS_PER_MS, name)

    def note(self, text: str) -> None:
        self._put("TRACE", text)
