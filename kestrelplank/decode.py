"""Shared by all adapters: validation of decoded fields, indices for names, and an assigner's settings.

A reader validates one decoded value and returns it in internal units, or raises MalformedError. The settings are the
same object in the simulator's CREATE message and in the configuration file of an assigner. This module imports only
msgspec, to keep the assigner program small.
"""

import struct
from collections.abc import Callable, Mapping, Set
from typing import NoReturn, TypeVar
from zlib import crc32

import msgspec

NS_PER_MS = 1_000_000
MAX_NAMES = 65_536  # of nodes or zones; limits memory if a peer sends ever new names
MAX_NUMBER = 1e300  # exclusive; sums of larger numbers could overflow
MAX_REPORTED_NUMBER = 1e9  # a count or a time in ms; far above real values, and small enough for sums to stay precise
PEER_LOADS = 2  # first byte of datagrams that contain loads; those of membership begin with another byte
PEER_LOAD = struct.Struct("!Ie")  # checksum of a node's name, ops/s as a half-precision float (three digits)
MAX_LOADS_PER_DATAGRAM = (256 - 1) // PEER_LOAD.size
MAX_PEER_LOAD = 65_504.0  # the largest half-precision float
EFFECTS: dict[object, str] = {"pure": "retryable", "token": "deduplicated", "side_effect": "once-only"}
PICKS: dict[object, str] = {"random": "random", "rotate": "rotate", "p2c": "two"}
ADMISSION_KINDS: dict[object, str] = {"fraction": "share", "per_second": "rate", "none": ""}

Value = TypeVar("Value")
Default = TypeVar("Default")
NodeName = str | int  # as it is on the wire


class MalformedError(ValueError):
    """A message or field violates the protocol; the text names it and the reason."""


def checksum(name: NodeName) -> int:
    """Return the checksum that identifies a node in datagrams between assigners, whose indices differ.

    If two nodes share a checksum (probability about 1 in 200,000 for 200 nodes), the loads of one count for the other.
    """
    return crc32(str(name).encode())


class Ids:
    """Indices of the nodes, zones and op types that an assigner knows, assigned in order of appearance.

    Indices are not reused: a late message about a removed node must not be attributed to another node.

    :param read_node: validates the name of a node on the wire, a number or a text.
    """

    def __init__(self, read_node: Callable[[object], NodeName]) -> None:
        self._read_node = read_node
        self.nodes: dict[NodeName, int] = {}
        self.node_ids: dict[int, NodeName] = {}
        self.checksums: dict[int, int] = {}  # index of a node, by the checksum of its name
        self._next_index = 0
        self.zones: dict[str, int] = {}
        self.op_types: dict[str, int] = {}

    def node(self, value: object) -> int:
        """Return the index of a node, a new one if the name is new.

        :raises MalformedError: the value is not a node name, or there are too many names.
        """
        name = self._read_node(value)
        index = self.nodes.get(name)
        if index is None:
            if len(self.node_ids) >= MAX_NAMES:
                raise MalformedError(f"expected at most {MAX_NAMES} node names")
            index = self.nodes[name] = self._next_index
            self.node_ids[index] = name
            self.checksums[checksum(name)] = index
            self._next_index += 1
        return index

    def forget(self, index: int) -> None:
        """Remove a node; its index is not reused."""
        name = self.node_ids.pop(index)
        del self.nodes[name]
        self.checksums.pop(checksum(name), None)

    def zone(self, value: object) -> int:
        """Return the index of a zone, a new one if the name is new.

        :raises MalformedError: the value is not text, or there are too many names.
        """
        name = text(value)
        if name not in self.zones and len(self.zones) >= MAX_NAMES:
            raise MalformedError(f"expected at most {MAX_NAMES} zone names")
        return self.zones.setdefault(name, len(self.zones))

    def op_type(self, value: object) -> int:
        """Return the index of an op type that the settings name.

        :raises MalformedError: the settings do not contain that op type.
        """
        name = text(value)
        if name not in self.op_types:
            raise MalformedError(f"unknown op type {value!r}")
        return self.op_types[name]


def parse_json(data: bytes) -> object:
    """Decode JSON into plain values.

    :raises MalformedError: the data is not JSON, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:  # the latter two are not msgspec's own
        raise MalformedError(f"not JSON: {err}") from None


def number(value: object) -> float:
    """Return a finite number whose magnitude is below `MAX_NUMBER`; a boolean is rejected, and so is NaN."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < MAX_NUMBER:
        reject("a number", value)
    return value


def non_negative_int(value: object) -> int:
    """Return an integer of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        reject("an integer of 0 or more", value)
    return value


def non_negative(value: object) -> float:
    """Return a number of 0 or more."""
    read = number(value)
    if read < 0:
        reject("a number of 0 or more", value)
    return read


def reported_number(value: object) -> float:
    """Return a number from 0 to `MAX_REPORTED_NUMBER`."""
    read = non_negative(value)
    if read > MAX_REPORTED_NUMBER:
        reject("a number within the limit of a report", value)
    return read


def duration_from_ms(value: object) -> int:
    """Return a duration in ns from a number of ms of 0 or more."""
    return round(non_negative(value) * NS_PER_MS)


def text(value: object) -> str:
    """Return a string."""
    if not isinstance(value, str):
        reject("text", value)
    return value


def list_value(value: object) -> list[object]:
    """Return a list."""
    if not isinstance(value, list):
        reject("a list", value)
    return value


def object_value(value: object) -> dict[str, object]:
    """Return a JSON object."""
    if not isinstance(value, dict):
        reject("an object", value)
    return value


def boolean(value: object) -> bool:
    """Return a boolean."""
    if not isinstance(value, bool):
        reject("true or false", value)
    return value


def one_of(choices: Mapping[str, str] | Set[str]) -> Callable[[object], str]:
    """Return a reader that accepts one of a set of strings, or a mapping's keys, which it replaces by their values."""

    def read(value: object) -> str:
        chosen = text(value)
        if chosen not in choices:
            reject(f"one of {', '.join(choices)}", value)
        return choices[chosen] if isinstance(choices, Mapping) else chosen

    return read


def reject(expected: str, value: object) -> NoReturn:
    """Raise MalformedError for a value."""
    raise MalformedError(f"expected {expected}, got {value!r}")


class _SettingsReader:
    """Reads fields of the settings by their dotted paths; errors begin with `where` and the path."""

    def __init__(self, conf: Mapping[str, object], where: str) -> None:
        self._conf, self._where = conf, where

    def __call__(self, path: str, reader: Callable[[object], Value], default: Default) -> Value | Default:
        """Return a field, validated by `reader`; `default` if it is absent or null."""
        value: object = self._conf
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        try:
            return default if value is None else reader(value)
        except MalformedError as err:
            raise MalformedError(f"{self._where}.{path}: {err}") from None


def read_settings(conf: object, ids: Ids, where: str) -> dict[str, object]:
    """Return the settings as one flat mapping with internal names and units; unknown fields are skipped.

    Zones and op types are added to `ids` in the order of the settings.

    :param where: name of the settings in error texts.
    :raises MalformedError: a field is invalid; the text names the first one.
    """
    if not isinstance(conf, dict):
        raise MalformedError(f"{where}: expected an object, got {conf!r}")
    read = _SettingsReader(conf, where)
    for zone in read("Areas", list_value, ()):
        ids.zone(zone)
    categories = read("Categories", list_value, ())
    op_types = [_op_type(op_type, index, ids, where) for index, op_type in enumerate(categories)]
    return {
        "op_types": op_types,
        **_site_settings(read, ids),
        **_channel_settings(read),
        **_load_settings(read),
        **_rule_settings(read),
        **_permissions(read),
    }


def _op_type(value: object, index: int, ids: Ids, where: str) -> dict[str, object]:
    """Return an op type, and add its index to `ids`."""
    if not isinstance(value, dict):
        raise MalformedError(f"{where}.Categories: entry {index}: expected an object, got {value!r}")
    ids.op_types[text(value.get("Name"))] = index
    return {
        "target_latency": duration_from_ms(value.get("Target") or 0),
        "op_timeout": duration_from_ms(value.get("Deadline") or 0),
        "value": non_negative(value.get("Importance") or 0),
        "group": value.get("Group") or "",
        "effect": EFFECTS.get(value.get("Effect"), "once-only"),
        "repeat_window": duration_from_ms(value.get("DedupWindow") or 0),
    }


def _site_settings(read: _SettingsReader, ids: Ids) -> dict[str, object]:
    """Return the identity of this assigner, and the numbers of assigners, zones, proxies and slices."""
    return {
        "ordinal": read("Ordinal", non_negative_int, 0),
        "conductors": read("Balancers", non_negative_int, 1),
        "zone": read("Az", ids.zone, None),
        "zones": len(ids.zones),
        "proxies": read("Specifics.DataPlaneSize", non_negative_int, 1),
        "slices": read("Specifics.Shards", non_negative_int, 0),
        "exclusive": read("Specifics.Exclusive", boolean, False),
        "write_life": read("Specifics.WriteLife", duration_from_ms, 0),
        "lease": read("Specifics.Tenure", duration_from_ms, 0),
        "bare_limit": read("Specifics.Blackhole", duration_from_ms, 0),
    }


def _channel_settings(read: _SettingsReader) -> dict[str, object]:
    """Return limits and transit times of the channel to the proxies."""
    return {
        "envelope": read("Specifics.Envelope", non_negative, 0),
        "lines_per_s": read("Specifics.EgressPerS", non_negative, 0),
        "most_waiting": read("Specifics.MostWaiting", non_negative, 0),
        "most_messages": read("Specifics.PushesAllowed", non_negative_int, 0),
        "messages_span": read("Specifics.MessagesOver", duration_from_ms, 0),
        "transit": read("Specifics.Transit", duration_from_ms, 0),
        "longest_transit": read("Specifics.WorstTransit", duration_from_ms, 0),
    }


def _load_settings(read: _SettingsReader) -> dict[str, object]:
    """Return the settings of reports, of node selection by proxies, and of the node list."""
    return {
        "report_every": read("Specifics.ReportEvery", duration_from_ms, NS_PER_MS * 1000),
        "strikes": read("Specifics.Strikes", non_negative_int, 0),
        "pick": read("Specifics.Pick", _pick, "random"),
        "levels": read("Specifics.LevelKind", _admission_kind, ""),
        "usual_again": read("Specifics.BaseMode", non_negative_int, 0),
        "first_wait": read("Specifics.FirstWait", non_negative, 1.0),
        "warm_keys": read("Specifics.WarmKeys", boolean, False),
        "subscribe": read("MembershipMode", text, "automatic") == "subscribe",
    }


def _rule_settings(read: _SettingsReader) -> dict[str, object]:
    """Return the rules that decisions have to follow."""
    return {
        "ask_within": read("Rules.AskWithin", duration_from_ms, 0),
        "cold_from": read("Rules.ColdFrom", non_negative, 1.0),
        "warm_up": read("Rules.WarmUp", duration_from_ms, 0),
        "fall_multiple": read("Rules.FallMultiple", non_negative, 1.0),
        "tip_after": read("Rules.TipAfter", duration_from_ms, 0),
        "grace": read("Rules.StopSendingWithin", duration_from_ms, 0),
        "only_draining_binds": read("Rules.OnlyDrainingBinds", boolean, False),
    }


def _permissions(read: _SettingsReader) -> dict[str, object]:
    """Return the permissions of this assigner, and the sources of weights and loads."""
    return {
        "weights": read("WeightSource", text, "none"),
        "tick": read("Tick", duration_from_ms, NS_PER_MS),
        "dial_timeout": read("Permissions.DialTimeout", duration_from_ms, 250 * NS_PER_MS),
        "load_by": read("LoadReport.Source", text, "none"),
        "may_probe": read("Permissions.Probes", boolean, False),
        "may_tell": read("Permissions.MayTell", boolean, False),
    }


def _pick(value: object) -> str:
    """Return how proxies select a node; at random for an unknown value."""
    return PICKS.get(value, "random")


def _admission_kind(value: object) -> str:
    """Return how op types can be admitted partially; empty if they can't be or the value is unknown."""
    return ADMISSION_KINDS.get(value, "")


def encode_peer_loads(loads: Mapping[int, float], names: Mapping[int, NodeName]) -> list[bytes]:
    """Encode the loads of nodes for other assigners, as datagrams of at most 256 bytes.

    Each datagram contains some of the nodes and can be decoded without the others, as any may be lost.

    :param loads: operations per second, by node.
    :param names: names of the nodes.
    """
    encoded = [PEER_LOAD.pack(checksum(names[node]), min(load, MAX_PEER_LOAD)) for node, load in loads.items()]
    return [
        bytes([PEER_LOADS]) + b"".join(encoded[start : start + MAX_LOADS_PER_DATAGRAM])
        for start in range(0, len(encoded), MAX_LOADS_PER_DATAGRAM)
    ]


def decode_peer_loads(body: bytes, ids: Ids) -> list[tuple[int, float]] | None:
    """Return the loads in a datagram as (node, operations per second); None for other kinds of datagram.

    Unknown nodes and invalid loads are skipped.
    """
    if body[:1] != bytes([PEER_LOADS]) or (len(body) - 1) % PEER_LOAD.size:
        return None
    loads = ((ids.checksums.get(name), load) for name, load in PEER_LOAD.iter_unpack(body[1:]))
    return [(node, load) for node, load in loads if node is not None and 0.0 <= load <= MAX_PEER_LOAD]
