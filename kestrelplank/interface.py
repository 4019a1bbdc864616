"""What the policy receives and what it may order.

Nodes, zones, slices, proxies and op types are small indices given out by whoever decodes the wire; an absent value is
None. A duration is whole ns and its name ends in `_ns`; an instant of the steady clock ends in `_at`.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol, TypedDict

import msgspec

SECOND = 1_000_000_000  # ns; the program in service has no other module for units of time
ALL_TABLES = -1  # in `set_admission`: not one table, but all that this assigner owns


class NodeCondition(StrEnum):
    """What a node list says of a node."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class NodeListKind(StrEnum):
    """What a node list covers."""

    CACHED = "cached"  # all nodes, as remembered from a former incarnation
    FULL = "full"  # all nodes
    DELTA = "delta"  # nodes that have changed
    FAILED = "failed"  # none: the list could not be had


class HealthVerdict(StrEnum):
    """How a health check ended."""

    OK = "ok"
    FAILED = "failed"
    OVERLOADED = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"  # the simulator's wire has this verdict and the next, and uses neither
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
    """What a node reports of its own load."""

    in_flight: float
    queued: float
    utilization: float  # share of the node in use
    service_ms: float
    acknowledged_per_s: float
    aborted_per_s: float


class NodeListUpdate(msgspec.Struct, frozen=True):
    """A node list, or a change of one."""

    kind: str  # a value of NodeListKind
    entries: Sequence[NodeEntry]


class SliceOwnership(msgspec.Struct, frozen=True):
    """This assigner has become the owner of a slice, or is it no longer."""

    slice: int
    owned: bool


class EndpointStored(msgspec.Struct, frozen=True):
    """The store holds this endpoint for a slice that was just given."""

    slice: int
    node: int
    weight: float


class SliceSplit(msgspec.Struct, frozen=True):
    """A slice was cut in two: `new_slice` takes that share of its load, and has no endpoint yet."""

    slice: int
    new_slice: int
    share: float


class ProxyJoined(msgspec.Struct, frozen=True):
    """A proxy is connected; `fresh`: it holds nothing of earlier streams."""

    proxy: int
    zone: int | None
    ops_per_s: float | None
    fresh: bool


class ProxyLeft(msgspec.Struct, frozen=True):
    """A proxy's stream has ended."""

    proxy: int


class WatermarkAcknowledged(msgspec.Struct, frozen=True):
    """A proxy has applied everything up to a watermark, `latency_ns` after that was ordered."""

    proxy: int
    watermark: int
    latency_ns: int | None


class NodeReport(msgspec.Struct, frozen=True):
    """What proxies of one zone met at a node in a window."""

    node: int
    zone: int | None
    attempts: float
    failures: float
    mean_latency_ns: int | None
    window_ns: int
    load: NodeLoad


class SliceReport(msgspec.Struct, frozen=True):
    """Ops of one type that came for a slice in a window."""

    slice: int
    op_type: int
    ops: float
    aborted: float
    window_ns: int


class ProxyReport(msgspec.Struct, frozen=True):
    """Ops of one type that came to a proxy in a window."""

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
    """A datagram from a peer that does not hold loads."""

    sender: int
    body: bytes | None


class PeerLoads(msgspec.Struct, frozen=True):
    """What the slices of a peer bring to nodes known here: (node, ops a second)."""

    sender: int
    loads: Sequence[tuple[int, float]]


class TimerFired(msgspec.Struct, frozen=True):
    """A timer that was set is due."""

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
)  # all that the policy takes, a round's at once


class OpTypeSettings(msgspec.Struct, frozen=True, rename={"target_latency_ns": "target_latency"}):
    """An op type: its latency target, and its value against that of others."""

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
}  # fields of PolicySettings, and what `kestrelplank.decode.read_settings` calls them where it has another name


class PolicySettings(msgspec.Struct, frozen=True, kw_only=True, rename=SETTING_NAMES):
    """What an assigner is made with.

    :param message_overhead: what a message costs beside its orders, in orders.
    :param queue_limit: orders that may wait in the channel to the proxies, in sum of all proxies.
    :param message_limit: messages to proxies in `message_window_ns`; 0 for no limit.
    :param orders_per_s: orders that leave the channel in a second, in sum of all proxies.
    :param subscribes_to_nodes: node lists come only once asked for.
    :param load_window_ns: how much of the past loads rest on; five report intervals where None.
    :param overload_multiple: a node that gets so many times what it can take fails by overload.
    :param only_draining_binds: a node that a list merely drops may still be sound.
    :param cold_capacity_share: what a node can do right after its start, of all that it can do warm.
    :param exclusive_slices: a slice has one owner at a time, and no write of a slice may go to two.
    :param initial_retry_mode: the retry mode that proxies begin with; `parameters.RETRY_MODE` is what we order.
    :param pick: how proxies pick among endpoints of a table; "two" picks the less loaded of two.
    :param admission: "share" where op types can be admitted in part.
    :param withdrawal_deadline_ns: proxies must have stopped sending to a draining node so long after its list.
    :param write_timeout_ns: the longest that a write may run.
    :param ownership_lease_ns: a proxy that has lost its stream goes on sending writes for so long.
    :param assigners: how many there are, this one included.
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
        """Return the settings that concern decisions out of those that `kestrelplank.decode.read_settings` has read."""
        return msgspec.convert(settings, cls)


class OrderWriter(Protocol):
    """Takes an assigner's orders in the order in which they are to take effect."""

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Set one endpoint of a slice's table; weight 0 removes it."""

    def clear_table(self, table: int) -> None:
        """Remove all endpoints and admission shares of a table."""

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        """Keep joined proxies from a node whatever their tables say, or let them send to it again."""

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        """Set the admitted share and the retry mode; `op_types` is a bit mask, 0 for all."""

    def request_acknowledgement(self, watermark: int, all_proxies: bool, backlog_ns: int = 0) -> None:
        """Ask proxies to acknowledge once they have applied what this round orders.

        :param backlog_ns: time until what waits in the channel before it has left; nobody can answer sooner.
        """

    def bind_proxy(self, proxy: int, table: int, op_types: int) -> None:
        """Put a joined proxy on a table (sites without slices only)."""

    def check_health(self, node: int) -> None:
        """Check a node from this assigner's zone."""

    def send_to_peers(self, peer: int | None, body: bytes) -> None:
        """Send a short message to a peer, or to all of them."""

    def share_loads(self, loads: dict[int, float]) -> None:
        """Send all peers what this assigner's slices bring to each node, ops a second."""

    def watch_nodes(self, enabled: bool) -> None:
        """Ask for changes of the node list from now on, or no longer."""

    def fetch_nodes(self) -> None:
        """Ask for the complete node list once."""

    def set_timer(self, at: int, name: str) -> None:
        """Ask for a `TimerFired` at an instant."""

    def forget_node(self, node: int) -> None:
        """Release a node of which the policy keeps nothing any more; its name may come again with another index."""

    def log(self, text: str) -> None:
        """Leave a line in the log."""
