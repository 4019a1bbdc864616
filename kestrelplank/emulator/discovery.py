"""What conductors of a rehearsal are told of nodes: by discovery, or from node lists in files."""

from typing import Any

from kestrelplank.emulator.part import Part
from kestrelplank.emulator.script import Fault
from kestrelplank.file_discovery.node_list import format_node_list, parse_node_list
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.state import guards, roster
from kestrelplank.state.intake import SETTLED, Debounce, Intake
from kestrelplank.state.nodeset import Listed, NodeSet
from kestrelplank.state.sealed import digest_of


class Discovery(Part):
    """Knows whether processes run, late; each conductor is told in order, a little apart. `listed` holds by node its
    condition, and when it last started (None: long ago)."""

    def __init__(self, world) -> None:
        super().__init__(world, "discovery")
        self.listed: list[tuple[str, int | None]] = [("up", None)] * world.script.site.nodes
        self._last = [0] * world.script.site.conductors

    def entry(self, node: int) -> tuple:
        """A node as the roster's events have it."""
        condition, boot = self.listed[node]
        return node, condition, self.world.zone_of(node), 0, 1.0, boot

    def tell_all(self, conductor: int, how: str) -> None:
        """Tells a conductor the whole roster."""
        now = self.clock.now()
        self.world.conductors[conductor].tell(("roster", how, [self.entry(node) for node in range(len(self.listed))]))
        for node, (condition, boot) in enumerate(self.listed):
            self.world.rules.told(now, conductor, node, condition, boot is not None)

    def change(self, nodes: list[int], condition: str, boot: int | None, after: tuple[int, int]) -> None:
        """So many nodes are found to be so, after a time drawn from a range."""
        now = self.clock.now()
        self.clock.at(now + self.random.randint(*after), lambda: self._list(nodes, condition, boot))

    def _list(self, nodes: list[int], condition: str, boot: int | None) -> None:
        world = self.world
        nodes = [
            node
            for node in nodes
            if boot is not None or self.listed[node][1] in (None, world.boots[node]) or condition == "draining"
        ]
        for node in nodes:
            self.listed[node] = condition, boot if boot is not None else self.listed[node][1]
        entries, now = [self.entry(node) for node in nodes], self.clock.now()
        told = [(node, condition, boot) for node in nodes]
        for conductor in world.conductors:
            late = self.random.randint(*world.script.discovery.spread)
            self._last[conductor.number] = max(self._last[conductor.number], now + late)
            self.clock.at(
                self._last[conductor.number],
                lambda conductor=conductor, life=conductor.life: self._tell(conductor, life, entries, told),
            )

    def _tell(self, conductor: Any, life: int, entries: list[tuple], told: list[tuple]) -> None:
        """`told`: node, condition and start, as the rules hold them."""
        if conductor.alive and conductor.life == life and entries:
            conductor.tell(("roster", "delta", entries))
            for node, condition, boot in told:
                self.world.rules.told(self.clock.now(), conductor.number, node, condition, boot is not None)


class NodeFiles(Discovery):
    """Node lists in files in place of discovery, edited by the script: the cores of `state/` over texts, no disk. What
    runs and what does not, nobody tells."""

    def __init__(self, world) -> None:
        super().__init__(world)
        script, terms = world.script, world.script.files
        self._nodes = {
            f"n{node}": Listed(script.site.zones[world.zone_of(node)], f"127.0.0.1:{9000 + node}")
            for node in range(script.site.nodes)
        }
        self.intake = Intake(guards.Terms(terms.most_closed, terms.stand, False))
        self._debounce, self._roster = (
            Debounce(terms.quiet),
            roster.Roster(roster.Terms(script.rules.grace, terms.weight_step)),
        )
        self._text: bytes | None = format_node_list(NodeSet(self._nodes)).encode()
        self._read_at(self.clock.now())
        self._read_at(self.clock.now() + terms.quiet)
        self._roster.accept(self.clock.now(), self.intake.force)
        self._roster.whole()
        self._weights = [1.0] * len(self._nodes)

    def entry(self, node: int) -> tuple:
        return (*super().entry(node)[:4], self._weights[node], self.listed[node][1])

    def change(self, nodes: list[int], condition: str, boot: int | None, after: tuple[int, int]) -> None:
        """A file does not know of processes."""

    def save(self, fault: Fault, nodes: list[int]) -> None:
        """The file is saved as the script says."""
        held = dict(self._nodes)
        for name in (f"n{node}" for node in nodes):
            if fault.how == "remove":
                del held[name]
            elif fault.how == "drain":
                held[name] = held[name]._replace(draining=True)
            elif fault.how == "weight":
                held[name] = held[name]._replace(weight=held[name].weight * fault.strength)
        text = format_node_list(NodeSet(held))
        if fault.how == "torn":
            text = text[: self.random.randrange(1, len(text) - 1)]
        elif fault.how == "twice":
            first = next(iter(held))
            text = text.replace(f"# end {len(held)}", f"{first} = 127.0.0.1:1\n# end {len(held) + 1}")
        self._put(None if fault.how == "gone" else b"" if fault.how == "empty" else text.encode())

    def restore(self) -> None:
        """The whole list is saved again."""
        self._put(format_node_list(NodeSet(self._nodes)).encode())

    def _put(self, text: bytes | None) -> None:
        self._text = text
        self._read()

    def _read(self) -> None:
        clock = self.clock
        outcome = self._read_at(clock.now())
        if isinstance(outcome, int):
            clock.at(outcome, self._read)
        elif outcome is not None:
            self.world.score.event(clock.now(), f"list {outcome.how}: {outcome.why}", [])
            if outcome.how == "accepted":
                self._roster.accept(clock.now(), self.intake.force)
                self._advance()
        if self.intake.due is not None:
            clock.at(self.intake.due, self._read)

    def _read_at(self, now: int) -> Any:
        """When to read again, or what has been decided."""
        step = self._debounce.see(now, "nodes.ini", None if self._text is None else digest_of(self._text))
        if isinstance(step, int):
            return step
        if step == SETTLED:
            self.intake.take("nodes.ini", self._parsed())
        return self.intake.decide(now)

    def _parsed(self) -> Any:
        """The list, or why it can't be used."""
        if self._text is None:
            return "nodes.ini: there is no such file"
        try:
            return parse_node_list("nodes.ini", self._text, max_nodes=2 * len(self._nodes), trailer_required=True)
        except InvalidSettingsError as err:
            return str(err)

    def _advance(self) -> None:
        now = self.clock.now()
        told = []
        for name, condition, _, _, weight, boot in self._roster.advance(now):
            node = int(name[1:])
            self.listed[node], self._weights[node] = (condition, boot), weight
            told.append((node, condition, boot))
        entries = [self.entry(node) for node, *_ in told]
        for conductor in self.world.conductors:
            self._tell(conductor, conductor.life, entries, told)
        due = self._roster.due(now)
        if due is not None:
            self.clock.at(due, self._advance)
