"""The bench's wire: its names and units on one side, our words on the other. Nothing here decides."""

import base64
import binascii
from typing import Any

import msgspec

from kestrelplank.decode import (
    NS_PER_MS,
    Ids,
    Malformed,
    count,
    flag,
    mapping,
    number,
    shares,
    text,
    time,
    told,
    whole,
    word,
)
from kestrelplank.interface import ALL_TABLES

EVERY_TABLE = 65535
CONDITIONS = {"up", "draining", "removed"}
VERDICTS = {
    "success": "ok",
    "failure": "failed",
    "overloaded": "full",
    "timed_out": "timed out",
    "unreachable": "unreachable",
    "broken": "broken",
    "withdrawn": "withdrawn",
    "void": "void",
}
LOADS = {
    "busy_reqs": "inflight",
    "pending": "queued",
    "cpu_share": "util",
    "svc_ms": "service_ms",
    "served_ps": "acked_per_s",
    "failed_ps": "aborted_per_s",
}


def body(value: Any) -> bytes:
    try:
        return base64.b64decode(text(value), validate=True)
    except binascii.Error as err:
        raise Malformed(f"expected base64: {err}") from None


def load(value: Any) -> dict[str, float]:
    if value is None:
        return {}
    return {LOADS[name]: told(v) for name, v in mapping(value).items() if name in LOADS and v is not None}


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
            result.append(
                (
                    ids.node(node),
                    word(CONDITIONS)(condition),
                    None if zone is None else ids.zone(zone),
                    None if cell is None else whole(cell),
                    1.0 if weight is None else count(weight),
                    time(boot) if boot else None,
                )
            )
        except Malformed as err:
            raise Malformed(f"entry {place}: {err}") from None
    return result


# The wire's event, our word for it, and its fields in the wire's order: name, reader, may be null, place
# among our fields. A reader named as text is a method of Ids.
EVENTS: dict[str, tuple[str, tuple]] = {
    "ROSTER_CHANGE": (
        "roster",
        (
            ("Version", number, True, None),
            ("How", word({"delta", "full", "cached", "failed"}), False, 0),
            ("Hosts", entries, True, 1),
        ),
    ),
    "TENURE": ("tenure", (("SetId", whole, False, 0), ("Yes", flag, False, 1))),
    "CURRENT_OWNER": ("line", (("Node", "node", False, 1), ("SetId", whole, False, 0), ("Size", count, False, 2))),
    "SUBSCRIBED": (
        "joined",
        (
            ("Proxy", whole, False, 0),
            ("FailureDomain", "zone", True, 1),
            ("Size", count, True, 2),
            ("Yes", flag, False, 3),
        ),
    ),
    "LOST_STREAM": ("left", (("Proxy", whole, False, 0),)),
    "INSTALLED": ("applied", (("Proxy", whole, False, 0), ("Version", whole, False, 1), ("WaitTime", time, True, 2))),
    "ROUNDUP": (
        "tries",
        (
            ("N", told, False, 2),
            ("Bad", told, False, 3),
            ("WaitTime", time, True, 4),
            ("Window", time, False, 5),
            ("FailureDomain", "zone", True, 1),
            ("Node", "node", False, 0),
            ("Stats", load, True, 6),
        ),
    ),
    "WEIGHT_SEEN": (
        "heat",
        (
            ("Window", time, False, 4),
            ("Cls", "op_type", False, 1),
            ("SetId", whole, False, 0),
            ("Bad", told, False, 3),
            ("N", told, False, 2),
        ),
    ),
    "DEMAND": (
        "demand",
        (
            ("N", told, False, 2),
            ("Cls", "op_type", False, 1),
            ("Proxy", whole, False, 0),
            ("Bad", told, False, 3),
            ("Window", time, False, 4),
        ),
    ),
    "ECHO": (
        "probed",
        (
            ("Node", "node", False, 0),
            ("Verdict", word(VERDICTS), False, 1),
            ("WaitTime", time, True, 2),
            ("Stats", load, True, 3),
        ),
    ),
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

    def mark(self, number: int, everyone: bool, behind: int = 0) -> None:
        self._put("NONCE", number, everyone)

    def bind(self, proxy: int, table: int, op_types: int) -> None:
        self._put("BIND", proxy, table, op_types)

    def probe(self, node: int) -> None:
        self._put("TEST", self._ids.node_ids[node])

    def tell(self, peer: int | None, body: bytes) -> None:
        self._put("BROADCAST_TO", peer, base64.b64encode(body).decode())

    def share(self, parts: dict[int, float]) -> None:
        for datagram in shares(parts, self._ids.node_ids):
            self.tell(None, datagram)

    def watch(self, on: bool) -> None:
        self._put("KEEP_INFORMED", on)

    def fetch(self) -> None:
        self._put("FETCH")

    def timer(self, at: int, name: str) -> None:
        self._put("SET_ALARM", at / NS_PER_MS, name)

    def forget(self, node: int) -> None:
        self._ids.forget(node)

    def note(self, text: str) -> None:
        self._put("TRACE", text)
