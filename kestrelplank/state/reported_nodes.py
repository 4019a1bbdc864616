"""What the policy is told of a set of nodes over time: drains before nodes go, cold returns, weights in steps."""

from typing import NamedTuple

from kestrelplank.interface import SECOND, NodeCondition
from kestrelplank.state.node_set import ListedNode, NodeSet

WEIGHT_STEP_INTERVAL_NS = SECOND


class ReportedEntry(NamedTuple):
    """One node as it is told.

    :param started_at: None: long ago.
    """

    name: str
    condition: NodeCondition
    zone: str
    cell: int | None
    weight: float
    started_at: int | None


class ReportSettings(NamedTuple):
    """How changes of the set are spread over time.

    :param drain_grace_ns: a node that vanished from the files drains so long before it is gone.
    :param weight_step: the most by which a weight may change in a second, as a share of itself; 0: at once.
    """

    drain_grace_ns: int
    weight_step: float


class _ReportedNode:
    """One node as it was last told, and where it is going."""

    __slots__ = ("listed", "condition", "weight", "started_at", "removed_at")

    def __init__(self, listed: ListedNode, started_at: int | None) -> None:
        self.listed, self.started_at = listed, started_at
        self.condition = NodeCondition.UP if listed.ready else NodeCondition.DRAINING
        self.weight = listed.weight
        self.removed_at: int | None = None  # it has vanished from the files, and is gone then

    def entry(self, name: str) -> ReportedEntry:
        """Return how it is told."""
        # A weight of 0 would read as none given; whoever drains is given no work anyway.
        weight = self.weight or 1.0
        return ReportedEntry(name, self.condition, self.listed.zone, self.listed.cell, weight, self.started_at)

    def is_other_process(self, listed: ListedNode) -> bool:
        """Whether the node is listed as another process under the same name."""
        return (self.listed.zone, self.listed.address) != (listed.zone, listed.address)

    def is_stepping(self) -> bool:
        """Whether its weight is on its way to the listed one."""
        return self.condition is NodeCondition.UP and self.weight != self.listed.weight

    def vanish(self, removed_at: int) -> None:
        """Drain, as the files no longer list it, and be gone then."""
        self.condition, self.removed_at = NodeCondition.DRAINING, removed_at

    def remove(self) -> None:
        """Be gone."""
        self.condition, self.removed_at = NodeCondition.REMOVED, None

    def follow(self, now: int, listed: ListedNode, weight_step: float) -> None:
        """Follow the files, which list it otherwise, or again."""
        returned = self.condition is NodeCondition.DRAINING and listed.ready
        self.listed, self.removed_at = listed, None
        if returned:
            self.started_at, self.weight, self.condition = now, listed.weight, NodeCondition.UP
        elif not listed.ready:
            self.condition = NodeCondition.DRAINING
        elif not weight_step:
            self.weight = listed.weight

    def step_weight(self, factor: float) -> None:
        """Move the weight by one step towards the listed one."""
        wanted = self.listed.weight
        if wanted > self.weight:
            self.weight = min(wanted, self.weight * factor)
        else:
            self.weight = max(wanted, self.weight / factor)


class ReportedNodes:
    """All nodes as they are told.

    Guards against work that is cut off (a vanished node drains first), against a cold node taken for a warm one
    (whoever was away, drained, or has moved comes back with a start of now), and against a typing error in a weight (it
    moves by a step a second, so it is seen before it has done much). Harm: a node that was only renamed away and back
    is warmed up again; a wanted change of weight takes its time. Held by
    `tests/state/test_reported_nodes.py::test_any_sequence_of_sets_keeps_the_invariants`.
    """

    def __init__(self, settings: ReportSettings) -> None:
        self.settings = settings
        self._nodes: dict[str, _ReportedNode] = {}
        self._changed: dict[str, None] = {}  # names, since the last `advance`
        self._is_first_set, self._stepped_at = True, 0

    def accept(self, now: int, node_set: NodeSet) -> None:
        """Take the set that shall hold from now on."""
        if not self._is_stepping():
            self._stepped_at = now
        for name, listed in node_set.nodes.items():
            self._accept_node(now, name, listed)
        for name, node in self._nodes.items():
            if name not in node_set.nodes and node.condition is not NodeCondition.REMOVED and node.removed_at is None:
                node.vanish(now + self.settings.drain_grace_ns)
                self._changed[name] = None
        self._is_first_set = False

    def _accept_node(self, now: int, name: str, listed: ListedNode) -> None:
        node = self._nodes.get(name)
        if node is None or node.condition is NodeCondition.REMOVED or node.is_other_process(listed):
            # The first set of all is of nodes that have long been there.
            self._nodes[name] = _ReportedNode(listed, None if self._is_first_set else now)
            self._changed[name] = None
        elif node.listed != listed or node.removed_at is not None:
            node.follow(now, listed, self.settings.weight_step)
            self._changed[name] = None

    def _is_stepping(self) -> bool:
        return any(node.is_stepping() for node in self._nodes.values())

    def advance(self, now: int) -> list[ReportedEntry]:
        """Return what has changed since it was last asked, in the order of names."""
        for name, node in self._nodes.items():
            if node.removed_at is not None and now >= node.removed_at:
                node.remove()
                self._changed[name] = None
        while now >= self._stepped_at + WEIGHT_STEP_INTERVAL_NS and self._is_stepping():
            self._stepped_at += WEIGHT_STEP_INTERVAL_NS
            self._step_weights()
        changed, self._changed = sorted(self._changed), {}
        entries = [self._nodes[name].entry(name) for name in changed]
        for name in changed:
            if self._nodes[name].condition is NodeCondition.REMOVED:
                del self._nodes[name]
        return entries

    def _step_weights(self) -> None:
        for name, node in self._nodes.items():
            if node.is_stepping():
                node.step_weight(1 + self.settings.weight_step)
                self._changed[name] = None

    def due_at(self, now: int) -> int | None:
        """Return when to advance next; None while nothing is on its way."""
        times = [node.removed_at for node in self._nodes.values() if node.removed_at is not None]
        if self._is_stepping():
            times.append(self._stepped_at + WEIGHT_STEP_INTERVAL_NS)
        return now if self._changed else min(times, default=None)

    def all_entries(self) -> list[ReportedEntry]:
        """Return all that is told now, in the order of names; `advance` then has only what comes later."""
        self._changed.clear()
        return [self._nodes[name].entry(name) for name in sorted(self._nodes)]
