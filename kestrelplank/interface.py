"""The policy's interface: its settings, the events that it receives, and the orders that it writes.

Nodes, zones, slices, proxies and op types are indices assigned by the adapter that decodes the wire; an absent value is
None. Durations are integers in ns with names ending in `_ns`; instants of the monotonic clock have names ending in
`_at`.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol, TypedDict

import msgspec

SECOND = 1_000_000_000  # in ns; defined here, as the assigner program does not import `time_units`
ALL_TABLES = -1  # in `set_admission`: all tables that this assigner owns


class NodeCondition(StrEnum):
    """State of a node in a node list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class NodeListKind(StrEnum):
    """Extent of a node list."""

    CACHED = "cached"  # all nodes, as stored by a former incarnation
    FULL = "full"  # all nodes
    DELTA = "delta"  # only the nodes that have changed
    FAILED = "failed"  # no nodes: the request for the list failed


class HealthVerdict(StrEnum):
    """Result of a health check."""

    OK = "ok"
    FAILED = "failed"
    OVERLOADED = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"  # the simulator's protocol defines WITHDRAWN and VOID, but does not use them
    VOID = "void"


class NodeEntry(NamedTuple):
    """One node of a node list."""

    node: int
    condition: str  # a value of NodeCondition
    zone: int | None
    cell: int | None
    weight: float
    started_at: int | None


class NodeLoad(TypedDict, total=False):
    """Load that a node reports about itself."""

    in_flight: float
    queued: float
    utilization: float  # share of the node's capacity in use
    service_ms: float
    acknowledged_per_s: float
    aborted_per_s: float


class NodeListUpdate(msgspec.Struct, frozen=True):
    """A node list, or a change to one."""

    kind: str  # a value of NodeListKind
    entries: Sequence[NodeEntry]


class SliceOwnership(msgspec.Struct, frozen=True):
    """This assigner has become, or is no longer, the owner of a slice."""

    slice: int
    owned: bool


class EndpointStored(msgspec.Struct, frozen=True):
    """The store contains this endpoint of a slice that was just assigned."""

    slice: int
    node: int
    weight: float


class SliceSplit(msgspec.Struct, frozen=True):
    """A slice was split: `new_slice` takes the given share of its load, and has no endpoint yet."""

    slice: int
    new_slice: int
    share: float


class ProxyJoined(msgspec.Struct, frozen=True):
    """A proxy has connected; if `fresh`, it keeps no state of earlier streams."""

    proxy: int
    zone: int | None
    ops_per_s: float | None
    fresh: bool


class ProxyLeft(msgspec.Struct, frozen=True):
    """A proxy's stream has ended."""

    proxy: int


class WatermarkAcknowledged(msgspec.Struct, frozen=True):
    """A proxy has applied all orders up to a watermark, `latency_ns` after the watermark was ordered."""

    proxy: int
    watermark: int
    latency_ns: int | None


class NodeReport(msgspec.Struct, frozen=True):
    """Attempts, failures and latency at a node that the proxies of one zone observed in a window."""

    node: int
    zone: int | None
    attempts: float
    failures: float
    mean_latency_ns: int | None
    window_ns: int
    load: NodeLoad


class SliceReport(msgspec.Struct, frozen=True):
    """Ops of one type for a slice in a window."""

    slice: int
    op_type: int
    ops: float
    aborted: float
    window_ns: int


class ProxyReport(msgspec.Struct, frozen=True):
    """Ops of one type that arrived at a proxy in a window."""

    proxy: int
    op_type: int
    ops: float
    aborted: float
    window_ns: int


class HealthChecked(msgspec.Struct, frozen=True):
    """A health check has ended."""

    node: int
    verdict: str  # a value of HealthVerdict
    duration_ns: int | None
    load: NodeLoad


class PeerMessage(msgspec.Struct, frozen=True):
    """A datagram from a peer that does not contain loads."""

    sender: int
    body: bytes | None


class PeerLoads(msgspec.Struct, frozen=True):
    """Load that a peer's slices put on known nodes: (node, operations per second)."""

    sender: int
    loads: Sequence[tuple[int, float]]


class TimerFired(msgspec.Struct, frozen=True):
    """A timer has expired."""

    name: str


Event = (
    NodeListUpdate
    | SliceOwnership
    | EndpointStored
    | SliceSplit
    | ProxyJoined
    | ProxyLeft
    | WatermarkAcknowledged
    | NodeReport
    | SliceReport
    | ProxyReport
    | HealthChecked
    | PeerMessage
    | PeerLoads
    | TimerFired
)  # a round of the policy processes all events collected since the last


class OpTypeSettings(msgspec.Struct, frozen=True, rename={"target_latency_ns": "target_latency"}):
    """An op type: its latency target, and its value relative to other op types."""

    target_latency_ns: int
    value: float


SETTING_NAMES = {
    "message_overhead": "envelope",
    "queue_limit": "most_waiting",
    "message_limit": "most_messages",
    "message_window_ns": "messages_span",
    "orders_per_s": "lines_per_s",
    "subscribes_to_nodes": "subscribe",
    "report_interval_ns": "report_every",
    "load_window_ns": "evidence",
    "overload_multiple": "fall_multiple",
    "cold_capacity_share": "cold_from",
    "warm_up_ns": "warm_up",
    "exclusive_slices": "exclusive",
    "initial_retry_mode": "usual_again",
    "admission": "levels",
    "withdrawal_deadline_ns": "grace",
    "write_timeout_ns": "write_life",
    "ownership_lease_ns": "lease",
    "peers_may_talk": "may_tell",
    "assigners": "conductors",
}  # fields of PolicySettings, and their keys in `kestrelplank.decode.read_settings` if different


class PolicySettings(msgspec.Struct, frozen=True, kw_only=True, rename=SETTING_NAMES):
    """Settings of an assigner's policy.

    :param message_overhead: cost of a message in addition to its orders, in orders.
    :param queue_limit: maximum number of orders queued in the channel to the proxies, summed over all proxies.
    :param message_limit: maximum number of messages to proxies in `message_window_ns`; 0 for no limit.
    :param orders_per_s: orders that leave the channel per second, summed over all proxies.
    :param subscribes_to_nodes: node lists are sent only after a request.
    :param load_window_ns: length of the past period on which loads are based; five report intervals if None.
    :param overload_multiple: multiple of its capacity at which a node fails by overload.
    :param only_draining_binds: a node that is merely absent from a list may still be healthy.
    :param cold_capacity_share: capacity of a node right after its start, as a share of its capacity when warm.
    :param exclusive_slices: a slice has one owning node at a time, and its writes must not be sent to two nodes.
    :param initial_retry_mode: the proxies' initial retry mode; the policy orders `parameters.RETRY_MODE`.
    :param pick: how proxies select an endpoint of a table; "two" selects the less loaded of two random ones.
    :param admission: "share" if op types can be admitted partially.
    :param withdrawal_deadline_ns: time from a node list in which proxies must stop sending to a draining node.
    :param write_timeout_ns: maximum duration of a write.
    :param ownership_lease_ns: how long a proxy that has lost its stream continues to send writes.
    :param assigners: number of assigners, including this one.
    """

    message_overhead: float
    queue_limit: float
    message_limit: int
    message_window_ns: int
    orders_per_s: float
    subscribes_to_nodes: bool
    report_interval_ns: int
    overload_multiple: float
    only_draining_binds: bool
    cold_capacity_share: float
    warm_up_ns: int
    exclusive_slices: bool
    initial_retry_mode: int
    pick: str
    admission: str
    op_types: tuple[OpTypeSettings, ...]
    withdrawal_deadline_ns: int
    write_timeout_ns: int
    ownership_lease_ns: int
    peers_may_talk: bool
    assigners: int
    load_window_ns: int | None = None

    @classmethod
    def from_mapping(cls, settings: Mapping[str, object]) -> "PolicySettings":
        """Return the settings that the policy needs from the result of `kestrelplank.decode.read_settings`."""
        return msgspec.convert(settings, cls)


class OrderWriter(Protocol):
    """Receives the policy's orders, in the order in which they take effect."""

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Set one endpoint of a slice's table; weight 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Remove all endpoints and admission shares of a table."""

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        """Stop joined proxies from sending to a node, regardless of their tables, or let them resume."""

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        """Set the admitted share and the retry mode; `op_types` is a bit mask, 0 for all."""

    def request_acknowledgement(self, watermark: int, all_proxies: bool, backlog_ns: int = 0) -> None:
        """Request acknowledgements from proxies once they have applied the orders of this round.

        :param backlog_ns: time until the channel's backlog has been sent; no proxy can acknowledge sooner.
        """

    def bind_proxy(self, proxy: int, table: int, op_types: int) -> None:
        """Assign a joined proxy to a table (only in sites without slices)."""

    def check_health(self, node: int) -> None:
        """Start a health check of a node from this assigner's zone."""

    def send_to_peers(self, peer: int | None, body: bytes) -> None:
        """Send a short message to a peer, or to all peers if `peer` is None."""

    def share_loads(self, loads: dict[int, float]) -> None:
        """Send all peers the load of this assigner's slices on each node, in operations per second."""

    def watch_nodes(self, enabled: bool) -> None:
        """Subscribe to changes of the node list, or unsubscribe."""

    def fetch_nodes(self) -> None:
        """Request the complete node list once."""

    def set_timer(self, at: int, name: str) -> None:
        """Request a `TimerFired` event at an instant."""

    def forget_node(self, node: int) -> None:
        """Remove a node for which the policy keeps no state; if its name appears again, it gets another index."""

    def log(self, text: str) -> None:
        """Write a line to the log."""
