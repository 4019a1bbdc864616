"""Runs the balancing policy (`policy.Policy`) over one service's key ranges.

Ranges are represented as the policy's slices, servers as its nodes, and the leader as its only assigner. Events are
collected; `run` passes them to the policy and calls back for each range that is to move.
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

IDLE_INTERVAL_NS = 100 * MILLISECOND  # between runs without events
WARM_UP_NS = 3 * SECOND  # how long a server that has just started is slow
WARM_UP_START_SHARE = 0.5  # share of its weight that a server starts with


class PlacementOrders:
    """Receives the policy's orders and keeps only the node that each slice is assigned to.

    Edge machines are sent the recorded ranges and request missing updates, so the policy's messages to proxies, their
    acknowledgements and withdrawals are not used. `nodes`: the ordered node by slice, since it was last cleared.
    """

    def __init__(self) -> None:
        self.nodes: dict[int, int] = {}

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Store the node of the slice `table`.

        A weight of 0 removes the slice from the node; that is skipped, as the order for its next node implies it.
        """
        if weight:
            self.nodes[table] = node

    def ignore(self, *_: object, **__: object) -> None:
        """Ignore the order."""

    clear_table = set_withdrawn = set_admission = request_acknowledgement = bind_proxy = check_health = ignore
    send_to_peers = share_loads = watch_nodes = fetch_nodes = set_timer = forget_node = log = ignore


class GreedyPass:
    """The policy of one service, which other modules of this package call the pass.

    `slice_numbers`: the slice number of each range that the policy places.

    :param latency_target_ns: time within which the service's requests should be answered.
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
        """Whether `start` has been called."""
        return self._policy is not None

    def start(self, now: int) -> None:
        """Create the policy, whose periods start now."""
        self._policy = Policy(now, self._seed, policy_settings(self._latency_target_ns))

    # Events since the last run.

    def set_servers(self, now: int, servers: Mapping[str, ShardServer], slot_weights: Mapping[str, float]) -> None:
        """Pass all listed servers to the policy.

        :param slot_weights: by server, the weight of each of its slots; 1.0 where missing.
        """
        warming = sum(server.warming_until > now for server in servers.values())
        # If most are warming up, the service itself has just started, and the others could not take their load.
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
        """Pass those of `ranges` to the policy that it does not know yet, except for those in `excluded`."""
        for key_range in ranges:
            if key_range not in self.slice_numbers and key_range not in excluded:
                number = self._assign_number(key_range)
                self._events.append(SliceOwnership(number, True))
                if key_range.server and key_range.state is KeyRangeState.HELD:
                    self._events.append(EndpointStored(number, self._node_number(key_range.server), 1.0))

    def split_range(self, lower: KeyRange, upper: KeyRange, upper_share: float) -> None:
        """Tell the policy that `upper` was split off from `lower`.

        :param upper_share: the share of the requests to `lower` that are now for `upper`.
        """
        number = self._assign_number(upper)
        self._events.append(SliceSplit(self.slice_numbers[lower], number, upper_share))

    def remove_range(self, key_range: KeyRange) -> None:
        """Remove the range from the policy, which no longer places it."""
        number = self.slice_numbers.pop(key_range)
        del self._ranges[number]
        self._events.append(SliceOwnership(number, False))

    def add_requests(self, key_range: KeyRange, requests: float) -> None:
        """Report the number of requests for the range's keys in this report period."""
        if key_range in self.slice_numbers:
            self._events.append(SliceReport(self.slice_numbers[key_range], 0, requests, 0, REPORT_PERIOD_NS))

    def add_attempts(self, server: ShardServer, attempts: float, failures: float) -> None:
        """Report the numbers of attempts and failures at the server in this report period."""
        zone = self._zones.get(server.zone)
        node = self._node_number(server.name)
        self._events.append(NodeReport(node, zone, attempts, failures, 0, REPORT_PERIOD_NS, NodeLoad()))

    # Decisions.

    def run(self, now: int, move: Callable[[int, KeyRange, str], None]) -> None:
        """Run the policy if there are events or it is due, and call `move` for each range that is to move.

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
            self._next_run_at = now  # the policy moves a range in two steps, and the second one is due at once
        self._orders.nodes.clear()

    def _assign_number(self, key_range: KeyRange) -> int:
        """Return a new slice number for a range that the policy does not know yet."""
        self._last_number += 1
        self.slice_numbers[key_range] = self._last_number
        self._ranges[self._last_number] = key_range
        return self._last_number

    def _node_number(self, server: str) -> int:
        """Return the server's node number, assigning a new one if it has none."""
        if server not in self._node_numbers:
            self._node_numbers[server] = len(self._node_numbers)
            self._server_names[self._node_numbers[server]] = server
        return self._node_numbers[server]


def policy_settings(latency_target_ns: int) -> PolicySettings:
    """Return the policy's settings: exclusive slices, no message limits, no load shedding."""
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
