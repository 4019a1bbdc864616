"""The world of a rehearsal: nodes, relays, conductors, the hub, discovery, reports, clients and faults put together.

It runs on any clock with `now` and `at`: the virtual one, or the loop's, where `rehearsal/live.py` puts conductors and
nodes behind sockets in place of `LocalConductor` and `Network`. Each party has a chance of its own, so that one more
draw of one leaves the others as they were.
"""

from collections.abc import Callable
from typing import Any

from kestrelplank.emulator.clients import Clients
from kestrelplank.emulator.clock import chance
from kestrelplank.emulator.conductors import LocalConductor
from kestrelplank.emulator.discovery import Discovery, NodeFiles
from kestrelplank.emulator.faults import Faults
from kestrelplank.emulator.hub import Hub
from kestrelplank.emulator.network import Network
from kestrelplank.emulator.node import Node
from kestrelplank.emulator.relays import ClientOp, Relay
from kestrelplank.emulator.reports import Reports
from kestrelplank.emulator.rules import Rules
from kestrelplank.emulator.score import Score
from kestrelplank.emulator.script import MS, Script, most_waiting
from kestrelplank.load_balancing.operations import PROOFS_NOT_EXECUTED, AttemptOutcome
from kestrelplank.policy import Policy

SLACK = 300 * MS  # what the protocol's page grants time limits on sockets


class World:
    """`policy(now, seed, settings)` makes a conductor's module; `proofs` are what its relays take for proof;
    `conductor(world, number)` and `network(world)` make the parties that sockets may stand in for."""

    def __init__(
        self,
        script: Script,
        seed: int,
        clock: Any,
        policy: Callable[..., Any] = Policy,
        proofs: tuple[AttemptOutcome, ...] = PROOFS_NOT_EXECUTED,
        conductor: Callable[..., Any] = LocalConductor,
        network: Callable[..., Network] = Network,
    ) -> None:
        self.script, self.seed, self.clock, self.policy, self.proofs = script, seed, clock, policy, proofs
        self.begun = now = clock.now()
        site, rules = script.site, script.rules
        self.names, self.op_types = list(script.op_types), list(script.op_types.values())
        self.rules = Rules(rules.bare, rules.grace, most_waiting(script), SLACK)
        self.score = Score(script, now)
        self.boots: list[int | None] = [None] * site.nodes  # when its process last started, as discovery tells it
        self.nodes = [
            Node(script.kind, chance(seed, "node", number), now, self._ran, lambda number=number: self._fell(number))
            for number in range(site.nodes)
        ]
        self.hub, self.reports, self.clients, self.faults = Hub(self), Reports(self), Clients(self), Faults(self)
        self.network = network(self)
        self.discovery = NodeFiles(self) if script.files else Discovery(self)
        self.relays = [Relay(self, number) for number in range(site.relays)]
        self.conductors = [conductor(self, number) for number in range(site.conductors)]
        self._draw()

    def _draw(self) -> None:
        """What the day is like: how much each slice is asked for, and where it stands."""
        site, random = self.script.site, chance(self.seed, "site")
        self.clients.draw_slices(random)
        standing = [number % site.nodes for number in range(site.slices)]
        random.shuffle(standing)
        for table, node in enumerate(standing):
            self.hub.lines[table] = {node: 1.0}

    def zone_of(self, node: int) -> int:
        return node % len(self.script.site.zones)

    def due(self, table: int) -> bool:
        """Whether rule 1 binds for a slice: somebody alive owns it, and lists a warm node as up."""
        owner, now, warm_up = self.hub.owner[table], self.clock.now(), self.script.kind.warm_up
        if owner is None or not self.conductors[owner].alive:
            return False
        return any(
            condition == "up" and (boot is None or now - boot >= warm_up) for condition, boot in self.discovery.listed
        )

    def start(self) -> None:
        """All stands: conductors live, relays are joined, faults and clients are on their way."""
        for conductor in self.conductors:
            self.begin(conductor)
        for table, home in enumerate(self.hub.home):
            self.hub.assign(table, home)
        for relay in self.relays:
            for conductor in self.conductors:
                self.hub.join(relay, conductor.number)
        self.faults.plan()
        self.clock.at(self.begun + self.script.reports.every, self.reports.close)
        self.clients.arrive(False)

    @property
    def over(self) -> int:
        """When everything asked for has ended one way or another."""
        return self.begun + self.script.site.length + max(op_type.timeout for op_type in self.op_types)

    def begin(self, conductor: Any) -> None:
        """A life of a conductor begins."""
        conductor.start()
        self.discovery.tell_all(conductor.number, "cached")
        self.discovery.tell_all(conductor.number, "full")

    def tried(self, relay: Relay, asked: ClientOp, node: int, good: bool, time: int) -> None:
        """A try has ended after that time (ns): for the score, and the reports to whoever owns the slice."""
        owner = relay.tables.source(asked.table)
        if owner is not None:
            self.reports.tried(owner, relay.zone, node, good, time)
        self.score.tried(self.clock.now(), node, good, time)

    def _ran(self, number: int, op_type: int) -> None:
        self.rules.ran(number, self.names[op_type], self.op_types[op_type].effect == "once-only")

    def _fell(self, node: int) -> None:
        self.score.falls.append(node)
        self.network.drop(node)
