"""Node lists in files instead of discovery, edited by the script: the logic of `state/` on texts, without a disk."""

from collections.abc import Sequence

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.discovery import Discovery, ListedNode, NodeChange
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.script_sections import Fault, NodeFileGuards
from kestrelplank.file_discovery.node_list import format_node_list, parse_node_list
from kestrelplank.interface import NodeCondition, NodeEntry
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.state.change_guard import ChangeLimits
from kestrelplank.state.debounce import Debounce, DebounceResult
from kestrelplank.state.node_set import ListedNode as FileNode
from kestrelplank.state.node_set import NodeList, NodeSet
from kestrelplank.state.node_set_in_force import NodeSetInForce, Outcome
from kestrelplank.state.reported_nodes import ReportedNodes, ReportSettings
from kestrelplank.state.sealed import digest_of

FILE_NAME = "nodes.ini"
FIRST_PORT = 9000


class NodeFiles(Discovery):
    """A node list that the operator edits; starts and ends of processes are not detected."""

    def __init__(self, environment: Environment, assigners: Sequence[Assigner], settings: NodeFileGuards) -> None:
        super().__init__(environment, assigners)
        self._nodes = {f"n{node}": self._file_entry(node) for node in range(environment.script.site.nodes)}
        self._in_force = NodeSetInForce(ChangeLimits(settings.most_closed, settings.stand, False))
        self._debounce = Debounce(settings.quiet)
        self._reported = ReportedNodes(ReportSettings(environment.script.rules.grace, settings.weight_step))
        self._text: bytes | None = self._complete_text()
        self._weights = [1.0] * len(self._nodes)
        self._read_first_list(settings.quiet)

    def _file_entry(self, node: int) -> FileNode:
        zone = self.environment.script.site.zones[self.environment.zone_of_node(node)]
        return FileNode(zone, f"127.0.0.1:{FIRST_PORT + node}")

    def _complete_text(self) -> bytes:
        return format_node_list(NodeSet(self._nodes)).encode()

    def _read_first_list(self, quiet_ns: int) -> None:
        now = self.clock.now()
        self._read_at(now)
        self._read_at(now + quiet_ns)
        self._accept(now)
        self._reported.all_entries()

    def entry(self, node: int) -> NodeEntry:
        """Return a node as it is listed to assigners, with its weight."""
        return super().entry(node)._replace(weight=self._weights[node])

    def change(
        self, nodes: list[int], condition: NodeCondition, started_at: int | None, delay_range_ns: tuple[int, int]
    ) -> None:
        """Do nothing: a file does not change when processes start or end."""

    # Edits.

    def save_edit(self, fault: Fault, nodes: list[int]) -> None:
        """Save the file with the edit that the fault describes."""
        if fault.how == "gone":
            self._save(None)
        elif fault.how == "empty":
            self._save(b"")
        else:
            self._save(self._edited_text(fault, nodes).encode())

    def _edited_text(self, fault: Fault, nodes: list[int]) -> str:
        edited = dict(self._nodes)
        for name in (f"n{node}" for node in nodes):
            if fault.how == "remove":
                del edited[name]
            elif fault.how == "drain":
                edited[name] = edited[name]._replace(draining=True)
            elif fault.how == "weight":
                edited[name] = edited[name]._replace(weight=edited[name].weight * (fault.strength or 0.0))
        text: str = format_node_list(NodeSet(edited))
        if fault.how == "torn":
            return text[: self.random.randrange(1, len(text) - 1)]
        if fault.how == "twice":
            first = next(iter(edited))
            return text.replace(f"# end {len(edited)}", f"{first} = 127.0.0.1:1\n# end {len(edited) + 1}")
        return text

    def restore(self) -> None:
        """Save the complete list again."""
        self._save(self._complete_text())

    def _save(self, text: bytes | None) -> None:
        self._text = text
        self._read()

    # Reading.

    def _read(self) -> None:
        now = self.clock.now()
        outcome = self._read_at(now)
        if isinstance(outcome, int):
            self.clock.at(outcome, self._read)
        elif outcome is not None:
            self.environment.score.event(now, f"list {outcome.decision}: {outcome.reason}", [])
            if outcome.decision == "accepted":
                self._accept(now)
                self._advance()
        if self._in_force.decide_at is not None:
            self.clock.at(self._in_force.decide_at, self._read)

    def _accept(self, now: int) -> None:
        """Make the list that is in force the target of the stepwise changes."""
        accepted = self._in_force.node_set
        assert accepted is not None, "a node set is in force after a decision"
        self._reported.accept(now, accepted)

    def _read_at(self, now: int) -> int | Outcome | None:
        """Return when to read again, or the decision on the list."""
        step = self._debounce.observe(now, FILE_NAME, None if self._text is None else digest_of(self._text))
        if isinstance(step, int):
            return step
        if step == DebounceResult.SETTLED:
            self._in_force.update_file(FILE_NAME, self._parsed())
        decided: Outcome | None = self._in_force.decide(now)
        return decided

    def _parsed(self) -> NodeList | str:
        """Return the list, or the reason why it can't be used."""
        if self._text is None:
            return f"{FILE_NAME}: there is no such file"
        try:
            max_nodes = 2 * len(self._nodes)
            return parse_node_list(FILE_NAME, self._text, max_nodes=max_nodes, trailer_required=True)
        except InvalidSettingsError as err:
            return str(err)

    def _advance(self) -> None:
        """Notify assigners of the next step towards the accepted list."""
        now, changes = self.clock.now(), []
        for name, condition, _, _, weight, started_at in self._reported.advance(now):
            node = int(name[1:])
            self.listed[node], self._weights[node] = ListedNode(condition, started_at), weight
            changes.append(NodeChange(node, condition, started_at))
        entries = [self.entry(change.node) for change in changes]
        for assigner in self.assigners:
            self.notify_changes(assigner, entries, changes)
        due = self._reported.due_at(now)
        if due is not None:
            self.clock.at(due, self._advance)
