"""Parses the simulator's events: translates its names, units and order of fields into the policy's events."""

import base64
import binascii
from collections.abc import Callable, Sequence
from typing import Literal, TypeVar

from kestrelplank.decode import (
    Ids,
    MalformedError,
    boolean,
    decode_peer_loads,
    duration_from_ms,
    non_negative,
    non_negative_int,
    number,
    object_value,
    one_of,
    reported_number,
    text,
)
from kestrelplank.interface import (
    EndpointStored,
    Event,
    HealthChecked,
    HealthVerdict,
    NodeCondition,
    NodeEntry,
    NodeListKind,
    NodeListUpdate,
    NodeLoad,
    NodeReport,
    PeerLoads,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    ProxyReport,
    SliceOwnership,
    SliceReport,
    TimerFired,
    WatermarkAcknowledged,
)

NODE_FIELDS = 7  # number of values in a node's entry
LoadName = Literal["in_flight", "queued", "utilization", "service_ms", "acknowledged_per_s", "aborted_per_s"]
LOAD_NAMES: dict[str, LoadName] = {
    "busy_reqs": "in_flight",
    "pending": "queued",
    "cpu_share": "utilization",
    "svc_ms": "service_ms",
    "served_ps": "acknowledged_per_s",
    "failed_ps": "aborted_per_s",
}
read_condition = one_of({condition.value for condition in NodeCondition})
read_list_kind = one_of({kind.value for kind in NodeListKind})
read_verdict = one_of(
    {
        "success": HealthVerdict.OK,
        "failure": HealthVerdict.FAILED,
        "overloaded": HealthVerdict.OVERLOADED,
        "timed_out": HealthVerdict.TIMED_OUT,
        "unreachable": HealthVerdict.UNREACHABLE,
        "broken": HealthVerdict.BROKEN,
        "withdrawn": HealthVerdict.WITHDRAWN,
        "void": HealthVerdict.VOID,
    }
)
T = TypeVar("T")


class FieldReader:
    """Reads an event's fields in the order of the wire, after its name and the instance.

    `ids` assigns indices in the order in which names are read.
    """

    def __init__(self, message: Sequence[object], ids: Ids) -> None:
        self.ids, self._message, self._position = ids, message, 2

    def take(self, name: str, reader: Callable[[object], T]) -> T:
        """Return the next field.

        :raises MalformedError: the reader rejects the value; the text names the event and the field.
        """
        value = self._message[self._position] if self._position < len(self._message) else None
        self._position += 1
        try:
            return reader(value)
        except MalformedError as err:
            raise MalformedError(f"{self._message[0]}, field {name}: {err}") from None

    def take_optional(self, name: str, reader: Callable[[object], T]) -> T | None:
        """Return the next field, or None if it is null or absent."""
        return self.take(name, lambda value: None if value is None else reader(value))


def read_body(value: object) -> bytes:
    """Decode the body of a datagram from base64."""
    try:
        return base64.b64decode(text(value), validate=True)
    except binascii.Error as err:
        raise MalformedError(f"expected base64: {err}") from None


def read_load(value: object) -> NodeLoad:
    """Read the load that a node reports; unknown and null values are skipped."""
    load = NodeLoad()
    for name, figure in object_value(value).items() if value is not None else ():
        if name in LOAD_NAMES and figure is not None:
            load[LOAD_NAMES[name]] = reported_number(figure)
    return load


def read_entries(value: object, ids: Ids) -> list[NodeEntry]:
    """Read the entries of a node list."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise MalformedError(f"expected a list of entries, got {value!r}")
    entries = []
    for position, entry in enumerate(value):
        if not isinstance(entry, list) or len(entry) < NODE_FIELDS:
            raise MalformedError(f"entry {position}: expected at least seven values, got {entry!r}")
        try:
            entries.append(read_entry(entry, ids))
        except MalformedError as err:
            raise MalformedError(f"entry {position}: {err}") from None
    return entries


def read_entry(entry: Sequence[object], ids: Ids) -> NodeEntry:
    """Read one entry of a node list."""
    started, cell, condition, zone, node, _kind, weight = entry[:NODE_FIELDS]
    return NodeEntry(
        node=ids.node(node),
        condition=read_condition(condition),
        zone=None if zone is None else ids.zone(zone),
        cell=None if cell is None else non_negative_int(cell),
        weight=1.0 if weight is None else non_negative(weight),
        started_at=duration_from_ms(started) if started else None,
    )


# One reader per event. The order of the `take` calls is the order of the fields on the wire.


def read_node_list(fields: FieldReader) -> Event:
    """Read ROSTER_CHANGE."""
    fields.take_optional("Version", number)
    kind = fields.take("How", read_list_kind)
    return NodeListUpdate(kind, fields.take("Hosts", lambda value: read_entries(value, fields.ids)))


def read_ownership(fields: FieldReader) -> Event:
    """Read TENURE."""
    return SliceOwnership(fields.take("SetId", non_negative_int), fields.take("Yes", boolean))


def read_stored_endpoint(fields: FieldReader) -> Event:
    """Read CURRENT_OWNER."""
    node, number = fields.take("Node", fields.ids.node), fields.take("SetId", non_negative_int)
    return EndpointStored(number, node, fields.take("Size", non_negative))


def read_joined_proxy(fields: FieldReader) -> Event:
    """Read SUBSCRIBED."""
    proxy, zone = fields.take("Proxy", non_negative_int), fields.take_optional("FailureDomain", fields.ids.zone)
    return ProxyJoined(proxy, zone, fields.take_optional("Size", non_negative), fields.take("Yes", boolean))


def read_left_proxy(fields: FieldReader) -> Event:
    """Read LOST_STREAM."""
    return ProxyLeft(fields.take("Proxy", non_negative_int))


def read_acknowledgement(fields: FieldReader) -> Event:
    """Read INSTALLED."""
    proxy, watermark = fields.take("Proxy", non_negative_int), fields.take("Version", non_negative_int)
    return WatermarkAcknowledged(proxy, watermark, fields.take_optional("WaitTime", duration_from_ms))


def read_node_report(fields: FieldReader) -> Event:
    """Read ROUNDUP."""
    attempts, failures = fields.take("N", reported_number), fields.take("Bad", reported_number)
    mean_latency_ns, window_ns = (
        fields.take_optional("WaitTime", duration_from_ms),
        fields.take("Window", duration_from_ms),
    )
    zone, node = fields.take_optional("FailureDomain", fields.ids.zone), fields.take("Node", fields.ids.node)
    return NodeReport(node, zone, attempts, failures, mean_latency_ns, window_ns, fields.take("Stats", read_load))


def read_slice_report(fields: FieldReader) -> Event:
    """Read WEIGHT_SEEN."""
    window_ns, op_type = fields.take("Window", duration_from_ms), fields.take("Cls", fields.ids.op_type)
    number, aborted = fields.take("SetId", non_negative_int), fields.take("Bad", reported_number)
    return SliceReport(number, op_type, fields.take("N", reported_number), aborted, window_ns)


def read_proxy_report(fields: FieldReader) -> Event:
    """Read DEMAND."""
    ops, op_type = fields.take("N", reported_number), fields.take("Cls", fields.ids.op_type)
    proxy, aborted = fields.take("Proxy", non_negative_int), fields.take("Bad", reported_number)
    return ProxyReport(proxy, op_type, ops, aborted, fields.take("Window", duration_from_ms))


def read_health_check(fields: FieldReader) -> Event:
    """Read ECHO."""
    node, verdict = fields.take("Node", fields.ids.node), fields.take("Verdict", read_verdict)
    duration_ns = fields.take_optional("WaitTime", duration_from_ms)
    return HealthChecked(node, verdict, duration_ns, fields.take("Stats", read_load))


def read_datagram(fields: FieldReader) -> Event:
    """Read DATAGRAM, which may contain loads of a peer."""
    sender, body = fields.take("Sender", non_negative_int), fields.take_optional("Body", read_body)
    loads = decode_peer_loads(body or b"", fields.ids)
    return PeerMessage(sender, body) if loads is None else PeerLoads(sender, loads)


def read_timer(fields: FieldReader) -> Event:
    """Read REMINDER."""
    return TimerFired(fields.take("Name", text))


EVENT_READERS: dict[str, Callable[[FieldReader], Event]] = {
    "ROSTER_CHANGE": read_node_list,
    "TENURE": read_ownership,
    "CURRENT_OWNER": read_stored_endpoint,
    "SUBSCRIBED": read_joined_proxy,
    "LOST_STREAM": read_left_proxy,
    "INSTALLED": read_acknowledgement,
    "ROUNDUP": read_node_report,
    "WEIGHT_SEEN": read_slice_report,
    "DEMAND": read_proxy_report,
    "ECHO": read_health_check,
    "DATAGRAM": read_datagram,
    "REMINDER": read_timer,
}


def read_event(message: Sequence[object], ids: Ids) -> Event:
    """Read one line, whose name and instance have already been checked.

    :raises MalformedError: a field is invalid; the text names the event and the field.
    """
    return EVENT_READERS[str(message[0])](FieldReader(message, ids))
