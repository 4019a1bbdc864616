"""Reports node sets to the policy over time: drains before removal, start times for slow start, weights in steps."""

from typing import NamedTuple

from kestrelplank.interface import SECOND, NodeCondition
from kestrelplank.state.node_set import ListedNode, NodeSet

WEIGHT_STEP_INTERVAL_NS = SECOND


class ReportedEntry(NamedTuple):
    """One node as reported to the policy.

    :param started_at: None if the node has been running for long.
    """

    name: str
    condition: NodeCondition
    zone: str
    cell: int | None
    weight: float
    started_at: int | None


class ReportSettings(NamedTuple):
    """How changes of the set are spread over time.

    :param drain_grace_ns: how long a node that is no longer listed drains before it is removed.
    :param weight_step: the largest change of a weight per second, as a fraction of the weight; 0: unlimited.
    """

    drain_grace_ns: int
    weight_step: float


class _ReportedNode:
    """A node's reported state, and the listed state that it moves towards."""

    __slots__ = ("listed", "condition", "weight", "started_at", "removed_at")

    def __init__(self, listed: ListedNode, started_at: int | None) -> None:
        self.listed, self.started_at = listed, started_at
        self.condition = NodeCondition.UP if listed.ready else NodeCondition.DRAINING
        self.weight = listed.weight
        self.removed_at: int | None = None  # set once the node is no longer listed

    def entry(self, name: str) -> ReportedEntry:
        """Return the entry to report."""
        # A weight of 0 would be taken for a missing one; a draining node gets no requests anyway.
        weight = self.weight or 1.0
        return ReportedEntry(name, self.condition, self.listed.zone, self.listed.cell, weight, self.started_at)

    def is_other_process(self, listed: ListedNode) -> bool:
        """Whether the list has another process under the same name."""
        return (self.listed.zone, self.listed.address) != (listed.zone, listed.address)

    def is_stepping(self) -> bool:
        """Whether the weight has not reached the listed one yet."""
        return self.condition is NodeCondition.UP and self.weight != self.listed.weight

    def start_removal(self, removed_at: int) -> None:
        """Drain, as the node is no longer listed, and be removed at that time."""
        self.condition, self.removed_at = NodeCondition.DRAINING, removed_at

    def remove(self) -> None:
        """Mark the node as removed."""
        self.condition, self.removed_at = NodeCondition.REMOVED, None

    def update(self, now: int, listed: ListedNode, weight_step: float) -> None:
        """Update to changed attributes, or to being listed again."""
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
        target = self.listed.weight
        if target > self.weight:
            self.weight = min(target, self.weight * factor)
        else:
            self.weight = max(target, self.weight / factor)


class ReportedNodes:
    """All nodes as reported to the policy.

    A node that is no longer listed drains first, so that its requests are not aborted. A node that was removed, was
    draining or has moved returns with a start time of now, so that it goes through slow start. A weight moves by one
    step per second, so that an error in it can be noticed before its full effect. The cost: a node that was removed and
    added back by mistake goes through slow start again, and intended changes of weight take time. Checked by
    `tests/state/test_reported_nodes.py::test_any_sequence_of_sets_keeps_the_invariants`.
    """

    def __init__(self, settings: ReportSettings) -> None:
        self.settings = settings
        self._nodes: dict[str, _ReportedNode] = {}
        self._changed: dict[str, None] = {}  # names, since the last `advance`
        self._is_first_set, self._stepped_at = True, 0

    def accept(self, now: int, node_set: NodeSet) -> None:
        """Make `node_set` the set to report from now on."""
        if not self._is_stepping():
            self._stepped_at = now
        for name, listed in node_set.nodes.items():
            self._accept_node(now, name, listed)
        for name, node in self._nodes.items():
            if name not in node_set.nodes and node.condition is not NodeCondition.REMOVED and node.removed_at is None:
                node.start_removal(now + self.settings.drain_grace_ns)
                self._changed[name] = None
        self._is_first_set = False

    def _accept_node(self, now: int, name: str, listed: ListedNode) -> None:
        node = self._nodes.get(name)
        if node is None or node.condition is NodeCondition.REMOVED or node.is_other_process(listed):
            # Nodes of the first set count as running for long.
            self._nodes[name] = _ReportedNode(listed, None if self._is_first_set else now)
            self._changed[name] = None
        elif node.listed != listed or node.removed_at is not None:
            node.update(now, listed, self.settings.weight_step)
            self._changed[name] = None

    def _is_stepping(self) -> bool:
        return any(node.is_stepping() for node in self._nodes.values())

    def advance(self, now: int) -> list[ReportedEntry]:
        """Return the entries changed since the last call, in the order of names."""
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
        """Return when to call `advance` next; None if no change is pending."""
        times = [node.removed_at for node in self._nodes.values() if node.removed_at is not None]
        if self._is_stepping():
            times.append(self._stepped_at + WEIGHT_STEP_INTERVAL_NS)
        return now if self._changed else min(times, default=None)

    def all_entries(self) -> list[ReportedEntry]:
        """Return all entries in the order of names; `advance` then returns only later changes."""
        self._changed.clear()
        return [self._nodes[name].entry(name) for name in sorted(self._nodes)]
