"""The decision module's greedy pass (`policy.Policy`) over one service's key ranges.

They are passed to it in its own terms: ranges are its slices, servers its nodes, the leader its only assigner. What
happened is gathered as its events; `run` hands them over, and calls back for each range that it wants elsewhere.
"""

from collections.abc import Callable, Iterable, Mapping

from kestrelplank.interface import (
    EndpointStored,
    Event,
    NodeCondition,
    NodeEntry,
    NodeListKind,
    NodeListUpdate,
    NodeLoad,
    NodeReport,
    OpTypeSettings,
    PolicySettings,
    SliceOwnership,
    SliceReport,
    SliceSplit,
)
from kestrelplank.policy import Policy
from kestrelplank.sharding.key_range import KeyRange, KeyRangeState
from kestrelplank.sharding.request_window import REPORT_PERIOD_NS, WINDOW_NS
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import MILLISECOND, SECOND

IDLE_INTERVAL_NS = 100 * MILLISECOND  # how often the pass looks at what is due, where nothing has happened
WARM_UP_NS = 3 * SECOND  # a server that has just started is slow for so long
WARM_UP_START_SHARE = 0.5  # of its weight, that a server begins with


class PlacementOrders:
    """Takes the pass's orders, of which only the node that each slice is to be at has a meaning here.

    Edge machines get the ranges' record and ask for what they lack, so there is no channel to them, nothing to
    acknowledge and no proxy to bar from a node. `nodes`: the ordered node by slice, since they were last cleared.
    """

    def __init__(self) -> None:
        self.nodes: dict[int, int] = {}

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Keep that the slice `table` goes to a node.

        A weight of 0 takes it from the node: that is skipped, as the order for its next node says the same.
        """
        if weight:
            self.nodes[table] = node

    def ignore(self, *_: object, **__: object) -> None:
        """Do nothing."""

    clear_table = set_withdrawn = set_admission = request_acknowledgement = bind_proxy = check_health = ignore
    send_to_peers = share_loads = watch_nodes = fetch_nodes = set_timer = forget_node = log = ignore


class GreedyPass:
    """One service's pass.

    `slice_numbers`: the slice's number of each range that the pass decides on.

    :param latency_target_ns: within which the service's requests should be answered.
    """

    def __init__(self, seed: int, latency_target_ns: int) -> None:
        self.slice_numbers: dict[KeyRange, int] = {}
        self._seed = seed
        self._latency_target_ns = latency_target_ns
        self._policy: Policy | None = None
        self._orders = PlacementOrders()
        self._events: list[Event] = []
        self._last_number = 0
        self._ranges: dict[int, KeyRange] = {}
        self._node_numbers: dict[str, int] = {}
        self._server_names: dict[int, str] = {}
        self._zones: dict[str, int] = {}
        self._next_run_at = 0

    @property
    def started(self) -> bool:
        """Whether `start` was called."""
        return self._policy is not None

    def start(self, now: int) -> None:
        """Begin: the pass's periods count from now on."""
        self._policy = Policy(now, self._seed, policy_settings(self._latency_target_ns))

    # Events since the last run.

    def set_servers(self, now: int, servers: Mapping[str, ShardServer], slot_weights: Mapping[str, float]) -> None:
        """Take all servers as listed, weighed by what is known of their speed."""
        warming = sum(server.warming_until > now for server in servers.values())
        # Where most are warming up, the service itself has just started: no warm server could take their load.
        only_some_warming = 2 * warming < len(servers)
        entries = []
        for server in servers.values():
            zone = self._zones.setdefault(server.zone, len(self._zones))
            started_at = server.warming_until - WARM_UP_NS if only_some_warming and server.warming_until > now else None
            weight = server.slots * slot_weights.get(server.name, 1.0)
            condition = NodeCondition.UP if server.ready else NodeCondition.DRAINING
            entries.append(NodeEntry(self._node_number(server.name), condition, zone, None, weight, started_at))
        self._events.append(NodeListUpdate(NodeListKind.FULL, entries))

    def add_new_ranges(self, ranges: Iterable[KeyRange], excluded: Mapping[KeyRange, KeyRange]) -> None:
        """Have the pass decide on those of `ranges` that it does not know yet, but for `excluded`."""
        for key_range in ranges:
            if key_range not in self.slice_numbers and key_range not in excluded:
                number = self._assign_number(key_range)
                self._events.append(SliceOwnership(number, True))
                if key_range.server and key_range.state is KeyRangeState.HELD:
                    self._events.append(EndpointStored(number, self._node_number(key_range.server), 1.0))

    def split_range(self, lower: KeyRange, upper: KeyRange, upper_share: float) -> None:
        """Note that `upper` was split off from `lower`, with that share of its requests."""
        number = self._assign_number(upper)
        self._events.append(SliceSplit(self.slice_numbers[lower], number, upper_share))

    def remove_range(self, key_range: KeyRange) -> None:
        """Have the pass no longer decide on this range."""
        number = self.slice_numbers.pop(key_range)
        del self._ranges[number]
        self._events.append(SliceOwnership(number, False))

    def add_requests(self, key_range: KeyRange, requests: float) -> None:
        """Count so many requests for the range's keys in this report period."""
        if key_range in self.slice_numbers:
            self._events.append(SliceReport(self.slice_numbers[key_range], 0, requests, 0, REPORT_PERIOD_NS))

    def add_attempts(self, server: ShardServer, attempts: float, failures: float) -> None:
        """Count so many attempts at the server in this report period."""
        zone = self._zones.get(server.zone)
        node = self._node_number(server.name)
        self._events.append(NodeReport(node, zone, attempts, failures, 0, REPORT_PERIOD_NS, NodeLoad()))

    # Decisions.

    def run(self, now: int, move: Callable[[int, KeyRange, str], None]) -> None:
        """Run the pass if there are events or it is due, and call `move` for each range that is to go elsewhere.

        :param move: called with `now`, the range and the name of its next server.
        """
        assert self._policy is not None
        if not self._events and now < self._next_run_at:
            return
        self._next_run_at = now + IDLE_INTERVAL_NS
        events, self._events = self._events, []
        self._policy.round(now, events, self._orders)
        for number, node in self._orders.nodes.items():
            move(now, self._ranges[number], self._server_names[node])
            self._next_run_at = now  # the pass moves a range in two steps: the next one is due at once
        self._orders.nodes.clear()

    def _assign_number(self, key_range: KeyRange) -> int:
        """Return the new number of a range that the pass does not know yet."""
        self._last_number += 1
        self.slice_numbers[key_range] = self._last_number
        self._ranges[self._last_number] = key_range
        return self._last_number

    def _node_number(self, server: str) -> int:
        """Return the server's number, a new one where it has none."""
        if server not in self._node_numbers:
            self._node_numbers[server] = len(self._node_numbers)
            self._server_names[self._node_numbers[server]] = server
        return self._node_numbers[server]


def policy_settings(latency_target_ns: int) -> PolicySettings:
    """Return what the pass is made with: slices have one owner; limits of messages and admission are off."""
    return PolicySettings(
        message_overhead=0,
        queue_limit=1e9,
        message_limit=0,
        message_window_ns=SECOND,
        orders_per_s=1e9,
        subscribes_to_nodes=False,
        report_interval_ns=REPORT_PERIOD_NS,
        load_window_ns=WINDOW_NS,
        overload_multiple=4.0,
        only_draining_binds=False,
        cold_capacity_share=WARM_UP_START_SHARE,
        warm_up_ns=WARM_UP_NS,
        exclusive_slices=True,
        initial_retry_mode=1,
        pick="random",
        admission="",
        op_types=(OpTypeSettings(latency_target_ns, 1.0),),
        withdrawal_deadline_ns=3 * SECOND,
        write_timeout_ns=0,
        ownership_lease_ns=0,
        peers_may_talk=False,
        assigners=1,
    )
