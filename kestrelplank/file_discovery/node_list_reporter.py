"""From the set of nodes in force to the policy's events: what it comes to over time, together with discovery's word."""

from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids
from kestrelplank.interface import Event, NodeEntry, NodeListKind, NodeListUpdate
from kestrelplank.state import roster, sources
from kestrelplank.state.nodeset import NodeSet
from kestrelplank.state.sources import DISCOVERY, FILES, Blend


class NodeListReporter:
    """Tells the policy of nodes. `Roster` says what a set comes to over time, `Blend` how it goes with discovery.

    :param addresses: discovery's addresses by node index; those of the set in force are added.
    :param terms: how long a node that has vanished is kept, and how fast weights move.
    :param authority: who says which nodes there are, `files` or `discovery`.
    """

    def __init__(
        self,
        counters: Counters,
        ids: Ids,
        addresses: dict[int, str],
        terms: roster.Terms,
        authority: str,
        on_event: Callable[[Event], None],
    ) -> None:
        self._counters, self._ids, self._addresses, self._on_event = counters, ids, addresses, on_event
        self._roster = roster.Roster(terms)
        self._blend = Blend(authority)
        self._node_set: NodeSet | None = None
        self._reported = False

    def set_terms(self, terms: roster.Terms) -> None:
        """Let other terms hold from now on."""
        self._roster.terms = terms

    def accept(self, now: int, node_set: NodeSet) -> None:
        """Take the set that is in force now; `report` tells what follows."""
        self._node_set = node_set
        self._roster.accept(now, node_set)

    def report(self, now: int) -> int | None:
        """Tell the policy what is due, at first everything. Returns the time at which more is due, if any."""
        entries = self._roster.advance(now)
        if self._reported:
            self._report_list(FILES, NodeListKind.DELTA, self._indexed(entries))
        else:
            self._reported = True
            self._report_list(FILES, NodeListKind.FULL, self._indexed(self._roster.whole()))
        return self._roster.due(now)

    def on_discovery_event(self, event: Event) -> None:
        """Pass an event of discovery on; a list of nodes together with what the files say."""
        if isinstance(event, NodeListUpdate) and event.kind != NodeListKind.FAILED:
            self._report_list(DISCOVERY, event.kind, list(event.entries))
        else:
            self._on_event(event)

    def forget(self, node: int) -> None:
        """Forget a node that the policy has forgotten."""
        self._blend.forget(node)

    def _indexed(self, entries: list[roster.Entry]) -> list[sources.Entry]:
        """Return entries with indices in place of names, and note the nodes' addresses."""
        listed = self._node_set.nodes if self._node_set is not None else {}
        indexed: list[sources.Entry] = []
        for name, condition, zone, cell, weight, boot in entries:
            index = self._ids.node(name)
            indexed.append((index, condition, self._ids.zone(zone), cell, weight, boot))
            if name in listed:
                self._addresses[index] = listed[name].address
        return indexed

    def _report_list(self, side: str, kind: str, entries: list[sources.Entry]) -> None:
        """Tell the policy what a list of one side (`kind`: full, delta, cached) changes."""
        kind, entries = self._blend.take(side, kind, entries)
        if entries or kind != NodeListKind.DELTA:
            self._counters.add("files_told")
            self._on_event(NodeListUpdate(kind, [NodeEntry(*entry) for entry in entries]))
