"""An assigner's state: its nodes, its slices, and what the steps of a round share."""

from random import Random

from kestrelplank.interface import PolicySettings
from kestrelplank.policy import parameters
from kestrelplank.policy.node import Node
from kestrelplank.policy.slices import Slice


class AssignerState:
    """The state that all steps of a round share; each step is a function or class in its own module."""

    def __init__(self, now: int, seed: int, settings: PolicySettings) -> None:
        self.settings, self.random = settings, Random(seed)
        self.nodes: dict[int, Node] = {}
        self.slices: dict[int, Slice] = {}
        self.period_ns = settings.report_interval_ns
        self.load_window_ns = settings.load_window_ns or parameters.LOAD_PERIODS * self.period_ns
        self.moves_allowed_at = now  # loads are unknown before: the assigner has started or taken slices over
        self.proxies_left_until = now  # until then proxies that have left may still send writes
        self.proxies_from_former_incarnation = False  # an earlier incarnation of this assigner had proxies
        self.peer_loads_received_at: dict[int, int] = {}
        self.share_loads_at = now  # when this assigner's loads are next sent to peers
        pick_of_two = settings.pick == "two"
        self.hot_slice_threshold = (
            parameters.HOT_SLICE_THRESHOLD_PICK_OF_TWO if pick_of_two else parameters.HOT_SLICE_THRESHOLD
        )
        self.max_endpoints = parameters.MAX_ENDPOINTS_PICK_OF_TWO if pick_of_two else parameters.MAX_ENDPOINTS

    def node(self, index: int, now: int) -> Node:
        """Return a node, creating it if it is new."""
        node = self.nodes.get(index)
        if node is None:
            node = self.nodes[index] = Node(index, now)
            # Until loads are known, proxies may still apply a former incarnation's withdrawal of it.
            node.joined_order_due = self.proxies_from_former_incarnation and now < self.moves_allowed_at
        return node

    def capacity_share(self, node: Node, now: int) -> float:
        """Return the share of its capacity that a node can be relied on to have; below 1 while it warms up."""
        warm_up_ns, initial_share = self.settings.warm_up_ns, self.settings.cold_capacity_share
        if node.started_at is None or not warm_up_ns or now - node.started_at >= warm_up_ns:
            return 1.0
        return initial_share + (1 - initial_share) * max(0, now - node.started_at) / warm_up_ns

    def slice_loads(self) -> dict[int, float]:
        """Return the ops a second that this assigner's slices bring to each node."""
        loads = dict.fromkeys(self.nodes, 0.0)
        for owned in self.slices.values():
            for index in owned.desired:
                loads[index] += owned.load(self.period_ns) / len(owned.desired)
        return loads
