"""Parses collectors' messages into events; a message with an invalid figure is rejected completely."""

import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Literal

from kestrelplank.decode import Ids, MalformedError, duration_from_ms, reported_number
from kestrelplank.interface import NodeLoad, NodeReport, SliceReport

LoadName = Literal["in_flight", "queued", "utilization", "service_ms", "acknowledged_per_s", "aborted_per_s"]
LOAD_NAMES: dict[str, LoadName] = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "latency_ms": "service_ms",
    "qps": "acknowledged_per_s",
    "eps": "aborted_per_s",
}
MAX_DIGITS = 8  # of a slice's number; `int` raises on thousands of digits
FIGURE = re.compile(r"-?\d+(\.\d+)?([eE][-+]?\d+)?", re.ASCII)  # stricter than `float`


def read_figure(value: str) -> float:
    """Parse one figure of a report."""
    if not FIGURE.fullmatch(value):
        raise MalformedError(f"expected a number, got {value[:40]!r}")
    return reported_number(float(value))


def read_load(pairs: Iterable[Sequence[str]]) -> NodeLoad:
    """Parse a node's load from pairs of name and value; unknown names are skipped."""
    load = NodeLoad()
    for name, *value in pairs:
        if name in LOAD_NAMES:
            load[LOAD_NAMES[name]] = read_figure(":".join(value))
    return load


def read_message(message: Sequence[bytes]) -> tuple[str, dict[str, str]]:
    """Return the type of a message, and its fields by name."""
    try:
        kind, *words = (word.decode() for word in message)
    except UnicodeDecodeError:
        raise MalformedError("not text") from None
    fields = dict(zip(words[::2], words[1::2]))
    if len(words) != 2 * len(fields):
        raise MalformedError(f"{kind[:40]}: a name without a value, or twice")
    return kind, fields


def read_index(
    kind: str, fields: Mapping[str, str], name: str, indices: Mapping[str, int] | Mapping[str | int, int]
) -> int:
    """Return the index of the zone, node or op type that a field names."""
    value = fields.get(name)
    if value is None or value not in indices:
        raise MalformedError(f"{kind}, field {name}: {value and value[:40]!r} is not known")
    return indices[value]


def read_joining(message: Sequence[bytes], ids: Ids) -> int:
    """Return the zone that a collector names in its first message.

    :raises MalformedError: the message is of another type, or names an unknown zone.
    """
    kind, fields = read_message(message)
    if kind != "telemetry":
        raise MalformedError(f"{kind[:40]!r} from who has not joined")
    return read_index(kind, fields, "locality", ids.zones)


def read_report(message: Sequence[bytes], ids: Ids, slices: int, zone: int) -> NodeReport | SliceReport | None:
    """Parse a message from the collector of a zone; return None for one that is not a report.

    :param slices: number of slices.
    :raises MalformedError: the message is invalid; the text names the message and the field.
    """
    kind, fields = read_message(message)
    if kind == "telemetry":
        return None
    if kind not in ("upstream_stats", "range_stats"):
        raise MalformedError(f"unknown message type {kind[:40]!r}")
    total, errors = _figure_of(kind, fields, "total"), _figure_of(kind, fields, "errors")
    window_ns = duration_from_ms(_figure_of(kind, fields, "interval"))
    if not window_ns:
        raise MalformedError(f"{kind}, field interval: expected a duration above 0")
    if kind == "range_stats":
        return _read_slice_report(fields, ids, slices, total, errors, window_ns)
    return _read_node_report(fields, ids, zone, total, errors, window_ns)


def _figure_of(kind: str, fields: Mapping[str, str], name: str) -> float:
    if name not in fields:
        raise MalformedError(f"{kind}, field {name}: missing")
    try:
        return read_figure(fields[name])
    except MalformedError as err:
        raise MalformedError(f"{kind}, field {name}: {err}") from None


def _read_node_report(
    fields: Mapping[str, str], ids: Ids, zone: int, attempts: float, failures: float, window_ns: int
) -> NodeReport:
    kind = "upstream_stats"
    if failures > attempts:  # for slices this is valid: ops that arrived in earlier windows may abort in this one
        raise MalformedError(f"{kind}, field errors: {failures} is more than the total of {attempts}")
    if read_index(kind, fields, "locality", ids.zones) != zone:
        raise MalformedError(f"{kind}, field locality: expected the zone that the collector joined with")
    timed = attempts > failures or "rtt" in fields
    mean_latency_ns = duration_from_ms(_figure_of(kind, fields, "rtt")) if timed else None
    metrics = (pair.split(":") for pair in fields.get("metrics", "").split(","))
    node = read_index(kind, fields, "endpoint", ids.nodes)
    return NodeReport(node, zone, attempts, failures, mean_latency_ns, window_ns, read_load(metrics))


def _read_slice_report(
    fields: Mapping[str, str], ids: Ids, slices: int, ops: float, aborted: float, window_ns: int
) -> SliceReport:
    kind, shard = "range_stats", fields.get("shard", "")
    if not (shard.isdecimal() and len(shard) <= MAX_DIGITS and int(shard) < slices):
        raise MalformedError(f"{kind}, field shard: {shard[:40]!r} is not known")
    return SliceReport(int(shard), read_index(kind, fields, "route", ids.op_types), ops, aborted, window_ns)
