"""The faults of a rehearsal, as its script has them: whom they meet, how they begin, and how they end."""

from dataclasses import dataclass
from typing import Any

from kestrelplank.emulator.clock import chance
from kestrelplank.emulator.part import Part
from kestrelplank.emulator.relays import Relay
from kestrelplank.emulator.script import Fault, Selector


@dataclass(frozen=True, slots=True)
class Targets:
    """The parties that a fault is for, by number, each once and in order."""

    nodes: list[int]
    relays: list[int]
    conductors: list[int]


class Faults(Part):
    """Begins and ends them by the clock."""

    def __init__(self, world) -> None:
        super().__init__(world, "faults")
        self._begins = {
            "lost": self._lose,
            "edit": self._edit,
            "drain": self._drain,
            "silent": self._silence,
            "stall": self._stall,
        }

    def plan(self) -> None:
        """Each begins at its time."""
        world = self.world
        for name, fault, end, selectors in world.script.faults:
            args = name, fault, world.begun + end, selectors
            self.clock.at(world.begun + fault.start, lambda args=args: self._begin(*args))

    def _begin(self, name: str, fault: Fault, end: int, selectors: tuple[Selector, ...]) -> None:
        targets = self._targets(name, selectors)
        self.world.score.event(self.clock.now(), f"{name}: {fault.kind} begins", targets.nodes)
        self._begins.get(fault.kind, self._weaken)(name, fault, end, targets)

    def _targets(self, name: str, selectors: tuple[Selector, ...]) -> Targets:
        world, random = self.world, chance(self.world.seed, "fault", name)
        counts = {"node": len(world.nodes), "relay": len(world.relays), "conductor": len(world.conductors)}
        found: dict[str, dict[int, None]] = {kind: {} for kind in counts}
        for selector in selectors:
            all_of = [
                number for number in range(counts[selector.kind]) if selector.has(number, len(world.script.site.zones))
            ]
            if selector.share < 1:
                all_of = sorted(random.sample(all_of, max(1, round(selector.share * len(all_of)))))
            found[selector.kind].update(dict.fromkeys(all_of))
        return Targets(*map(list, found.values()))

    # Faults of nodes and of their list.

    def _weaken(self, name: str, fault: Fault, end: int, targets: Targets) -> None:
        for node in targets.nodes:
            self.world.nodes[node].fault(self.clock.now(), name, fault.kind, fault.strength or 1.0)
        self.clock.at(end, lambda: self._mend(name, targets.nodes))

    def _mend(self, name: object, nodes: list[int]) -> None:
        for node in nodes:
            self.world.nodes[node].mend(self.clock.now(), name)
            self.world.network.look_at(node)

    def _edit(self, name: str, fault: Fault, end: int, targets: Targets) -> None:
        self.world.discovery.save(fault, targets.nodes)
        self.clock.at(end, self.world.discovery.restore)

    def _drain(self, name: str, fault: Fault, end: int, targets: Targets) -> None:
        self.world.discovery.change(targets.nodes, "draining", None, (0, 0))
        self.clock.at(end, lambda: self._start_nodes(targets.nodes))

    def _silence(self, name: str, fault: Fault, end: int, targets: Targets) -> None:
        world = self.world
        for node in targets.nodes:
            world.nodes[node].fault(self.clock.now(), name, "silent", 1.0)
        world.discovery.change(targets.nodes, "removed", None, world.script.discovery.silent)
        self.clock.at(end, lambda: self._reachable(name, targets.nodes, fault.keeps_queue))

    def _reachable(self, name: str, nodes: list[int], keeps_queue: bool) -> None:
        for node in nodes:
            self.world.nodes[node].mend(self.clock.now(), name)
        self._start_nodes(nodes, keeps_queue)

    def _start_nodes(self, nodes: list[int], keeps_queue: bool = False) -> None:
        """Their processes start: cold, and listed as such a little later."""
        world, now = self.world, self.clock.now()
        for node in nodes:
            world.nodes[node].start(now, keeps_queue)
            world.boots[node] = now
            world.network.drop(node)
            world.network.look_at(node)
        nodes = [node for node in nodes if not world.nodes[node].fallen]
        world.discovery.change(nodes, "up", now, world.script.discovery.add)
        world.score.event(now, "back", nodes)

    # Pauses.

    def _stall(self, name: str, fault: Fault, end: int, targets: Targets) -> None:
        """Each stands still for the pause, again and again, not all at the same moment."""
        random, clock = chance(self.world.seed, "stall", name), self.clock
        for node in targets.nodes:
            for at in range(clock.now() + random.randrange(fault.every), end, fault.every):
                clock.at(at, lambda node=node, at=at: self._pause_node((name, at), node, fault.pause))
        for actor in self._processes(targets):
            for at in range(clock.now() + random.randrange(fault.every), end, fault.every):
                clock.at(at, lambda actor=actor: actor.pause(clock.now() + fault.pause))

    def _pause_node(self, name: object, node: int, pause: int) -> None:
        now = self.clock.now()
        self.world.nodes[node].fault(now, name, "stall", 1.0)
        self.clock.at(now + pause, lambda: self._mend(name, [node]))

    def _processes(self, targets: Targets) -> list[Any]:
        relays = [self.world.relays[number] for number in targets.relays]
        return relays + [self.world.conductors[number] for number in targets.conductors]

    # Lost processes.

    def _lose(self, name: str, fault: Fault, end: int, targets: Targets) -> None:
        world = self.world
        for number in targets.relays:
            self._lose_relay(world.relays[number], end)
        for number in targets.conductors:
            self._lose_conductor(world.conductors[number], end)
        for node in targets.nodes:
            world.nodes[node].kill(self.clock.now())
            world.network.drop(node)
        if targets.nodes:
            world.discovery.change(targets.nodes, "removed", None, world.script.discovery.notice)
            self.clock.at(end, lambda: self._start_nodes(targets.nodes))

    def _lose_relay(self, relay: Relay, end: int) -> None:
        if not relay.alive:
            return
        notice = self.world.clients.random.randint(*self.world.script.relays.notice)
        for conductor in list(relay.streams):
            self.world.hub.leave(relay, conductor, notice)
        relay.kill()
        self.clock.at(end, lambda: self._start_relay(relay))

    def _start_relay(self, relay: Relay) -> None:
        relay.start()
        for conductor in self.world.conductors:
            self._redial(relay, conductor.number)

    def _redial(self, relay: Relay, conductor: int) -> None:
        at = self.clock.now() + relay.random.randint(*self.world.script.relays.redial)
        self.clock.at(at, lambda: self.world.hub.join(relay, conductor))

    def _lose_conductor(self, conductor: Any, end: int) -> None:
        """Its streams break, its slices pass to whoever lives, and go home some time after it is back."""
        world = self.world
        if not conductor.alive:
            return
        conductor.kill()
        world.rules.ended(conductor.number, range(len(world.nodes)))
        for relay in world.relays:
            relay.streams.pop(conductor.number, None)
        orphans = world.hub.orphan(conductor.number)
        after = world.hub.random.randint(*world.script.rules.takeover)
        self.clock.at(self.clock.now() + after, lambda: self._take_over(orphans))
        self.clock.at(end, lambda: self._start_conductor(conductor))

    def _take_over(self, orphans: list[int]) -> None:
        hub = self.world.hub
        living = [conductor.number for conductor in self.world.conductors if conductor.alive]
        for place, table in enumerate(orphans):
            if hub.owner[table] is None and living:
                hub.assign(table, living[place % len(living)])

    def _start_conductor(self, conductor: Any) -> None:
        world = self.world
        world.begin(conductor)
        for relay in world.relays:
            self._redial(relay, conductor.number)
        at = self.clock.now() + world.hub.random.randint(*world.script.rules.rehome)
        self.clock.at(at, lambda: self._rehome(conductor))

    def _rehome(self, conductor: Any) -> None:
        hub = self.world.hub
        for table, home in enumerate(hub.home) if conductor.alive else ():
            if home == conductor.number and hub.owner[table] != conductor.number:
                hub.assign(table, conductor.number)
