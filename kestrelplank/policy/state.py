"""What an assigner knows: its nodes and slices, and what decisions on both share."""

from random import Random

from kestrelplank.interface import PolicySettings
from kestrelplank.policy import parameters
from kestrelplank.policy.node import Node
from kestrelplank.policy.slices import Slice


class AssignerState:
    """The state that all steps of a round share; each step is a function or class of its own module."""

    def __init__(self, now: int, seed: int, settings: PolicySettings) -> None:
        self.settings, self.random = settings, Random(seed)
        self.nodes: dict[int, Node] = {}
        self.slices: dict[int, Slice] = {}
        self.period_ns = settings.report_interval_ns
        self.load_window_ns = settings.load_window_ns or parameters.PERIODS * self.period_ns
        self.moves_from_at = now  # loads are not known before: a start or a take-over settles
        self.proxies_left_until = now  # proxies that have left may still send writes
        self.former_incarnation = False  # an earlier incarnation of this assigner had proxies
        self.peers_heard_at: dict[int, int] = {}
        self.share_loads_at = now  # when peers are next told this assigner's loads
        two = settings.pick == "two"
        self.split_threshold = parameters.SPLIT_THRESHOLD_PICK_OF_TWO if two else parameters.SPLIT_THRESHOLD
        self.most_endpoints = parameters.MOST_ENDPOINTS_PICK_OF_TWO if two else parameters.MOST_ENDPOINTS

    def node(self, index: int, now: int) -> Node:
        """Return a node, made where it is new."""
        node = self.nodes.get(index)
        if node is None:
            node = self.nodes[index] = Node(index, now)
            # While this incarnation settles, proxies may hold a former one's withdrawal of it.
            node.joined_order_due = self.former_incarnation and now < self.moves_from_at
        return node

    def capacity_share(self, node: Node, now: int) -> float:
        """Return the share of its capacity that a node surely has by now, as it warms up."""
        warm_up_ns, cold = self.settings.warm_up_ns, self.settings.cold_capacity_share
        if node.started_at is None or not warm_up_ns or now - node.started_at >= warm_up_ns:
            return 1.0
        return cold + (1 - cold) * max(0, now - node.started_at) / warm_up_ns

    def slice_loads(self) -> dict[int, float]:
        """Return the ops a second that this assigner's slices bring to each node."""
        loads = dict.fromkeys(self.nodes, 0.0)
        for owned in self.slices.values():
            for index in owned.desired:
                loads[index] += owned.load(self.period_ns) / len(owned.desired)
        return loads
