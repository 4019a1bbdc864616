"""What both adapters share: readers of fields, ids, and the settings that a conductor is made with.

A reader takes one decoded value and returns it in our units, or raises Malformed with what was wrong. The
settings are one object in both worlds: the simulator's first message holds it, and so does a real conductor's
configuration.
"""

import struct
from collections.abc import Callable, Mapping
from typing import Any
from zlib import crc32

import msgspec

NS_PER_MS = 1_000_000
MOST_NAMES = 65_536  # of nodes or zones held: against a party that never names the same one twice
LARGEST = 1e300  # what cannot be reckoned with further; no comparison holds for what is not a number
MOST_TOLD = 1e9  # that one report may count, or last in ms: far above any, and sums of it stay sound
SHARES = 2  # the first byte of datagrams that tell loads; membership's begin with another
SHARE = struct.Struct("!Ie")  # checksum of a node's name, ops a second as a half-precision float: three digits
MOST_SHARES = (256 - 1) // SHARE.size  # in a datagram
MOST_OPS = 65_504.0  # the largest of that form
EFFECTS = {"pure": "retryable", "token": "deduplicated", "side_effect": "once-only"}
PICKS = {"random": "random", "rotate": "rotate", "p2c": "two"}
LEVELS = {"fraction": "share", "per_second": "rate", "none": ""}


class Malformed(ValueError):
    """A line, or one field of it, that the wire does not allow; the text says which and why."""


def checksum(name: Any) -> int:
    """What a node goes by between conductors, as each numbers nodes in its own way; `name` is the wire's, a text or
    a number. Two of 200 nodes share one on a day in two hundred thousand: each one's figures pass for the other's."""
    return crc32(str(name).encode())


class Ids:
    """Small indices for one instance's nodes, zones and op types, given out in order of appearance, and never
    twice: what is still under way for a node that was forgotten must not meet another. What a node is called on
    the wire, a number or a text, is for the reader to check."""

    def __init__(self, read_node: Callable[[Any], Any]) -> None:
        self._read_node = read_node
        self.nodes: dict[Any, int] = {}
        self.node_ids: dict[int, Any] = {}
        self.checksums: dict[int, int] = {}  # what nodes go by between conductors, to their indices
        self._given = 0
        self.zones: dict[str, int] = {}
        self.op_types: dict[str, int] = {}

    def node(self, value: Any) -> int:
        index = self.nodes.get(self._read_node(value))
        if index is None:
            if len(self.node_ids) >= MOST_NAMES:
                raise Malformed(f"more than {MOST_NAMES} nodes have been named")
            index = self.nodes[value] = self._given
            self.node_ids[index] = value
            self.checksums[checksum(value)] = index
            self._given += 1
        return index

    def forget(self, index: int) -> None:
        name = self.node_ids.pop(index)
        del self.nodes[name]
        self.checksums.pop(checksum(name), None)

    def zone(self, value: Any) -> int:
        if text(value) not in self.zones and len(self.zones) >= MOST_NAMES:
            raise Malformed(f"more than {MOST_NAMES} zones have been named")
        return self.zones.setdefault(value, len(self.zones))

    def op_type(self, value: Any) -> int:
        if text(value) not in self.op_types:
            raise Malformed(f"no op type is called {value!r}")
        return self.op_types[value]


def parsed(data: bytes) -> Any:
    """JSON as plain values. The library has other words for text that is no UTF-8 and for what is nested too
    deep, either of which a party may send."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise Malformed(f"not JSON: {err}") from None


def number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < LARGEST:
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


def told(value: Any) -> float:
    if count(value) > MOST_TOLD:
        raise Malformed(f"expected a figure of one report, got {value!r}")
    return value


def time(value: Any) -> int:
    return round(count(value) * NS_PER_MS)


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise Malformed(f"expected text, got {value!r}")
    return value


def listed(value: Any) -> list:
    if not isinstance(value, list):
        raise Malformed(f"expected a list, got {value!r}")
    return value


def mapping(value: Any) -> dict:
    if not isinstance(value, dict):
        raise Malformed(f"expected an object, got {value!r}")
    return value


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise Malformed(f"expected true or false, got {value!r}")
    return value


def word(choices: Any) -> Callable[[Any], str]:
    def read(value: Any) -> str:
        if text(value) not in choices:
            raise Malformed(f"expected one of {', '.join(choices)}, got {value!r}")
        return choices[value] if isinstance(choices, dict) else value

    return read


def settings(conf: Any, ids: Ids, where: str) -> dict[str, Any]:
    """The wire's settings as one flat mapping in our words and units; what is not known here is skipped."""
    if not isinstance(conf, dict):
        raise Malformed(f"{where}: expected an object, got {conf!r}")

    def read(path: str, reader: Callable[[Any], Any], absent: Any) -> Any:
        value: Any = conf
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        try:
            return absent if value is None else reader(value)
        except Malformed as err:
            raise Malformed(f"{where}.{path}: {err}") from None

    for zone in read("Areas", listed, ()):
        ids.zone(zone)
    op_types = []
    for place, kind in enumerate(read("Categories", listed, ())):
        if not isinstance(kind, dict):
            raise Malformed(f"{where}.Categories: entry {place}: expected an object, got {kind!r}")
        ids.op_types[text(kind.get("Name"))] = place
        op_types.append(
            {
                "target_latency": time(kind.get("Target") or 0),
                "op_timeout": time(kind.get("Deadline") or 0),
                "value": count(kind.get("Importance") or 0),
                "group": kind.get("Group") or "",
                "effect": EFFECTS.get(kind.get("Effect"), "once-only"),
                "repeat_window": time(kind.get("DedupWindow") or 0),
            }
        )
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
        "tick": read("Tick", time, NS_PER_MS),
        "dial_timeout": read("Permissions.DialTimeout", time, 250 * NS_PER_MS),
        "load_by": read("LoadReport.Source", text, "none"),
        "may_probe": read("Permissions.Probes", flag, False),
        "may_tell": read("Permissions.MayTell", flag, False),
    }


def shares(parts: Mapping[int, float], names: Mapping[int, Any]) -> list[bytes]:
    """Datagrams of at most 256 bytes that tell other conductors `parts`, node to ops a second; `names` has the nodes'
    names. Each stands for itself, as any may be lost: it names some nodes, and says nothing of the others."""
    told = [SHARE.pack(checksum(names[node]), min(ops, MOST_OPS)) for node, ops in parts.items()]
    return [bytes([SHARES]) + b"".join(told[at : at + MOST_SHARES]) for at in range(0, len(told), MOST_SHARES)]


def shared(body: bytes, ids: Ids) -> list[tuple[int, float]] | None:
    """(node, ops a second) of the nodes in such a datagram that are known; None for what is none. A figure that can't
    be is passed over."""
    if body[:1] != bytes([SHARES]) or (len(body) - 1) % SHARE.size:
        return None
    found = ((ids.checksums.get(name), ops) for name, ops in SHARE.iter_unpack(body[1:]))
    return [(node, ops) for node, ops in found if node is not None and 0.0 <= ops <= MOST_OPS]
