"""Merges the node lists of two sources, files and discovery, one of which is the authority.

The authority decides which nodes exist, their zone and their weight. The other source can only make a node's condition
worse (draining or removed); of two start times the later counts. Nodes that the authority does not list are not
reported; nodes that only the authority lists are reported as it lists them.
"""

from collections.abc import Iterable
from enum import StrEnum

from kestrelplank.interface import NodeCondition, NodeEntry, NodeListKind

SEVERITY = {NodeCondition.UP: 0, NodeCondition.DRAINING: 1, NodeCondition.REMOVED: 2}


class NodeSource(StrEnum):
    """A source of node lists; the values are those of `authority` in the operator's file."""

    FILES = "files"
    DISCOVERY = "discovery"


class NodeListMerge:
    """Merges updates of both sources into the changes to report to the policy.

    :param authority: a value of `NodeSource`.
    """

    def __init__(self, authority: str) -> None:
        self._authority = NodeSource(authority)
        self._other = NodeSource.DISCOVERY if self._authority is NodeSource.FILES else NodeSource.FILES
        self._by_source: dict[NodeSource, dict[int, NodeEntry]] = {source: {} for source in NodeSource}
        self._reported: dict[int, NodeEntry] = {}

    def update(self, source: NodeSource, kind: str, entries: Iterable[NodeEntry]) -> tuple[str, list[NodeEntry]]:
        """Update the list of one source; return the kind of list to report, and its entries.

        A complete list of the authority is reported as a complete list, any other update as a delta.

        :param kind: a value of `NodeListKind` other than `FAILED`.
        """
        listed = self._by_source[source]
        updated: dict[int, None] = {}
        if kind != NodeListKind.DELTA:  # nodes that are no longer listed are removed
            for node, entry in listed.items():
                updated[node] = None
                listed[node] = entry._replace(condition=NodeCondition.REMOVED)
        for entry in entries:
            updated[entry.node] = None
            listed[entry.node] = entry
        changed = self._changed(updated)
        if kind != NodeListKind.DELTA and source is self._authority:
            return kind, [entry for entry in self._reported.values() if entry.condition != NodeCondition.REMOVED]
        return NodeListKind.DELTA, changed

    def _changed(self, nodes: Iterable[int]) -> list[NodeEntry]:
        """Return those of these nodes whose merged entry changed, and record it as reported."""
        changed = []
        for node in nodes:
            entry = self._merged(node)
            if entry is not None and entry != self._reported.get(node):
                changed.append(entry)
                self._reported[node] = entry
        return changed

    def _merged(self, node: int) -> NodeEntry | None:
        """Return the merged entry of a node; None if the authority has never listed it."""
        first, second = self._by_source[self._authority].get(node), self._by_source[self._other].get(node)
        if first is None or second is None:
            return first
        condition = max(first.condition, second.condition, key=lambda value: SEVERITY[NodeCondition(value)])
        starts = [entry.started_at for entry in (first, second) if entry.started_at is not None]
        return first._replace(condition=condition, started_at=max(starts, default=None))

    def forget(self, node: int) -> None:
        """Remove a node from both lists and from the reported entries."""
        for listed in (*self._by_source.values(), self._reported):
            listed.pop(node, None)
