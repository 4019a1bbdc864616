"""Nodes listed by files and by discovery at once: which of the two holds.

Where files are the authority they say which nodes there are, their zone and weight; discovery may only take away: a
node that it lists as draining or gone is so, and the later of two starts counts. Where discovery is the authority it is
the other way round. What the authority does not list is not told; what the other does not list is as the authority
says.
"""

from collections.abc import Iterable
from enum import StrEnum

from kestrelplank.interface import NodeCondition, NodeEntry, NodeListKind

SEVERITY = {NodeCondition.UP: 0, NodeCondition.DRAINING: 1, NodeCondition.REMOVED: 2}


class NodeSource(StrEnum):
    """Who lists nodes; the values are those of `authority` in the operator's file."""

    FILES = "files"
    DISCOVERY = "discovery"


class NodeListMerge:
    """Takes entries of either source and says what that changes of what was told.

    :param authority: a value of `NodeSource`.
    """

    def __init__(self, authority: str) -> None:
        self._authority = NodeSource(authority)
        self._other = NodeSource.DISCOVERY if self._authority is NodeSource.FILES else NodeSource.FILES
        self._by_source: dict[NodeSource, dict[int, NodeEntry]] = {source: {} for source in NodeSource}
        self._reported: dict[int, NodeEntry] = {}

    def update(self, source: NodeSource, kind: str, entries: Iterable[NodeEntry]) -> tuple[str, list[NodeEntry]]:
        """Take a list of one source; return how to tell the policy, and the entries.

        A complete list of the authority is told completely, anything else as what it changes.

        :param kind: a value of `NodeListKind`, but `FAILED`.
        """
        listed = self._by_source[source]
        touched: dict[int, None] = {}
        if kind != NodeListKind.DELTA:  # whoever is no longer listed is gone
            for node, entry in listed.items():
                touched[node] = None
                listed[node] = entry._replace(condition=NodeCondition.REMOVED)
        for entry in entries:
            touched[entry.node] = None
            listed[entry.node] = entry
        changed = self._changed(touched)
        if kind != NodeListKind.DELTA and source is self._authority:
            return kind, [entry for entry in self._reported.values() if entry.condition != NodeCondition.REMOVED]
        return NodeListKind.DELTA, changed

    def _changed(self, nodes: Iterable[int]) -> list[NodeEntry]:
        """Return what is to be told of these nodes, and take it as told."""
        changed = []
        for node in nodes:
            entry = self._merged(node)
            if entry is not None and entry != self._reported.get(node):
                changed.append(entry)
                self._reported[node] = entry
        return changed

    def _merged(self, node: int) -> NodeEntry | None:
        """Return what holds for a node; None where there is nothing to tell."""
        first, second = self._by_source[self._authority].get(node), self._by_source[self._other].get(node)
        if first is None or second is None:
            return first
        condition = max(first.condition, second.condition, key=lambda each: SEVERITY[NodeCondition(each)])
        starts = [entry.started_at for entry in (first, second) if entry.started_at is not None]
        return first._replace(condition=condition, started_at=max(starts, default=None))

    def forget(self, node: int) -> None:
        """Hold nothing of a node any more."""
        for listed in (*self._by_source.values(), self._reported):
            listed.pop(node, None)
