"""Converts the node set in force into events for the policy over time, merged with the events of discovery."""

from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids
from kestrelplank.interface import Event, NodeEntry, NodeListKind, NodeListUpdate
from kestrelplank.state.node_list_merge import NodeListMerge, NodeSource
from kestrelplank.state.node_set import NodeSet
from kestrelplank.state.reported_nodes import ReportedEntry, ReportedNodes, ReportSettings


class NodeListReporter:
    """Reports nodes to the policy.

    `ReportedNodes` computes the nodes' conditions and weights over time, `NodeListMerge` merges them with discovery.

    :param addresses: discovery's addresses by node index; addresses of the set in force are added.
    :param settings: the grace period of a node that is no longer listed, and the step of weight changes.
    :param authority: the source that decides which nodes exist, `files` or `discovery`.
    """

    def __init__(
        self,
        counters: Counters,
        ids: Ids,
        addresses: dict[int, str],
        settings: ReportSettings,
        authority: str,
        on_event: Callable[[Event], None],
    ) -> None:
        self._counters, self._ids, self._addresses, self._on_event = counters, ids, addresses, on_event
        self._nodes = ReportedNodes(settings)
        self._merge = NodeListMerge(authority)
        self._node_set: NodeSet | None = None
        self._reported = False

    def set_settings(self, settings: ReportSettings) -> None:
        """Use other settings from now on."""
        self._nodes.settings = settings

    def accept(self, now: int, node_set: NodeSet) -> None:
        """Record the set that is in force now; `report` sends the resulting changes."""
        self._node_set = node_set
        self._nodes.accept(now, node_set)

    def report(self, now: int) -> int | None:
        """Report due changes to the policy, on the first call all nodes.

        Return the time at which the next change is due, if any.
        """
        entries = self._nodes.advance(now)
        if self._reported:
            self._report_list(NodeSource.FILES, NodeListKind.DELTA, self._indexed(entries))
        else:
            self._reported = True
            self._report_list(NodeSource.FILES, NodeListKind.FULL, self._indexed(self._nodes.all_entries()))
        return self._nodes.due_at(now)

    def on_discovery_event(self, event: Event) -> None:
        """Pass an event of discovery to the policy; a list of nodes is merged with those from the files first."""
        if isinstance(event, NodeListUpdate) and event.kind != NodeListKind.FAILED:
            self._report_list(NodeSource.DISCOVERY, event.kind, list(event.entries))
        else:
            self._on_event(event)

    def forget(self, node: int) -> None:
        """Forget a node that the policy has forgotten."""
        self._merge.forget(node)

    def _indexed(self, entries: list[ReportedEntry]) -> list[NodeEntry]:
        """Return the entries with indices in place of names, and store the nodes' addresses."""
        listed = self._node_set.nodes if self._node_set is not None else {}
        indexed: list[NodeEntry] = []
        for name, condition, zone, cell, weight, started_at in entries:
            index = self._ids.node(name)
            indexed.append(NodeEntry(index, condition, self._ids.zone(zone), cell, weight, started_at))
            if name in listed:
                self._addresses[index] = listed[name].address
        return indexed

    def _report_list(self, source: NodeSource, kind: str, entries: list[NodeEntry]) -> None:
        """Report the changes due to one source's list to the policy (`kind`: full, delta, cached)."""
        kind, entries = self._merge.update(source, kind, entries)
        if entries or kind != NodeListKind.DELTA:
            self._counters.add("files_told")
            self._on_event(NodeListUpdate(kind, entries))
