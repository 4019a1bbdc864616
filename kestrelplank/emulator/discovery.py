"""Node discovery of a simulation: the node list that assigners receive."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.environment import Environment
from kestrelplank.interface import NodeCondition, NodeEntry, NodeListKind, NodeListUpdate


class ListedNode(NamedTuple):
    """A listed node, and when its process last started (None: before the simulation)."""

    condition: str
    started_at: int | None


@dataclass(frozen=True, slots=True)
class NodeChange:
    """A node whose listed condition has changed."""

    node: int
    condition: str
    started_at: int | None


class Discovery:
    """Detects starts and ends of processes after a delay; each assigner receives changes in order, at its own time."""

    def __init__(self, environment: Environment, assigners: Sequence[Assigner]) -> None:
        self.environment, self.assigners, self.clock = environment, assigners, environment.clock
        self.random = environment.random("discovery")
        site = environment.script.site
        self.listed = [ListedNode(NodeCondition.UP, None) for _ in range(site.nodes)]
        self._last_notified_at = [0] * site.conductors

    def entry(self, node: int) -> NodeEntry:
        """Return a node as it is listed to assigners."""
        listed = self.listed[node]
        return NodeEntry(node, listed.condition, self.environment.zone_of_node(node), 0, 1.0, listed.started_at)

    def send_list(self, assigner: Assigner, kind: NodeListKind) -> None:
        """Send an assigner the complete list."""
        now = self.clock.now()
        assigner.notify(NodeListUpdate(kind, [self.entry(node) for node in range(len(self.listed))]))
        for node, listed in enumerate(self.listed):
            started = listed.started_at is not None
            self.environment.rules.assigner_learned(now, assigner.number, node, listed.condition, started)

    def change(
        self, nodes: list[int], condition: NodeCondition, started_at: int | None, delay_range_ns: tuple[int, int]
    ) -> None:
        """List nodes with that condition after a random delay."""
        found_at = self.clock.now() + self.random.randint(*delay_range_ns)
        self.clock.at(found_at, lambda: self._list(nodes, condition, started_at))

    def _list(self, nodes: list[int], condition: NodeCondition, started_at: int | None) -> None:
        changes = [
            NodeChange(node, condition, started_at)
            for node in nodes
            if started_at is not None or condition == NodeCondition.DRAINING or self._describes_last_start(node)
        ]
        for change in changes:
            last_start = started_at if started_at is not None else self.listed[change.node].started_at
            self.listed[change.node] = ListedNode(condition, last_start)
        entries, now = [self.entry(change.node) for change in changes], self.clock.now()
        for assigner in self.assigners:
            delay_ns = self.random.randint(*self.environment.script.discovery.spread)
            notified_at = max(self._last_notified_at[assigner.number], now + delay_ns)
            self._last_notified_at[assigner.number] = notified_at
            self._notify_at(notified_at, assigner, entries, changes)

    def _describes_last_start(self, node: int) -> bool:
        """Whether the listed start is the node's last one, or no start is listed."""
        return self.listed[node].started_at in (None, self.environment.node_started_at[node])

    def _notify_at(self, at: int, assigner: Assigner, entries: list[NodeEntry], changes: list[NodeChange]) -> None:
        incarnation = assigner.incarnation

        def notify() -> None:
            if assigner.incarnation == incarnation:
                self.notify_changes(assigner, entries, changes)

        self.clock.at(at, notify)

    def notify_changes(self, assigner: Assigner, entries: list[NodeEntry], changes: list[NodeChange]) -> None:
        """Notify an assigner of changes, if it is alive."""
        if not assigner.alive or not entries:
            return
        assigner.notify(NodeListUpdate(NodeListKind.DELTA, entries))
        now = self.clock.now()
        for change in changes:
            started = change.started_at is not None
            self.environment.rules.assigner_learned(now, assigner.number, change.node, change.condition, started)
