"""Injection of a script's faults: their targets, how they begin, and how they end."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.discovery import Discovery
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.network import EmulatedNetwork
from kestrelplank.emulator.node_faults import NodeFaultKind
from kestrelplank.emulator.node_files import NodeFiles
from kestrelplank.emulator.process_actor import ProcessActor
from kestrelplank.emulator.process_failures import ProcessFailures
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.script import ScheduledFault
from kestrelplank.emulator.script_sections import Fault
from kestrelplank.interface import NodeCondition


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """Numbers of the nodes, proxies and assigners that a fault affects, without duplicates and in order."""

    nodes: list[int]
    proxies: list[int]
    assigners: list[int]


@dataclass(frozen=True, slots=True)
class ActiveFault:
    """A fault that has begun, and when it ends."""

    name: str
    fault: Fault
    ends_at: int
    targets: FaultTargets


class FaultInjector:
    """Begins and ends faults at their scheduled times."""

    def __init__(
        self,
        environment: Environment,
        network: EmulatedNetwork,
        discovery: Discovery,
        failures: ProcessFailures,
        proxies: Sequence[EmulatedProxy],
        assigners: Sequence[Assigner],
    ) -> None:
        self._environment, self._clock = environment, environment.clock
        self._network, self._discovery, self._failures = network, discovery, failures
        self._proxies, self._assigners = proxies, assigners
        self._begin_by_kind: dict[str, Callable[[ActiveFault], None]] = {
            "lost": self._lose,
            "edit": self._edit,
            "drain": self._drain,
            "silent": self._isolate,
            "stall": self._stall,
        }

    def schedule_all(self) -> None:
        """Schedule the start of each fault in the script."""
        started_at = self._environment.started_at
        for scheduled in self._environment.script.faults:
            self._schedule(scheduled, started_at)

    def _schedule(self, scheduled: ScheduledFault, started_at: int) -> None:
        self._clock.at(started_at + scheduled.fault.start, lambda: self._begin(scheduled, started_at))

    def _begin(self, scheduled: ScheduledFault, started_at: int) -> None:
        targets, fault = self._targets(scheduled), scheduled.fault
        text = f"{scheduled.name}: {fault.kind} begins"
        self._environment.score.event(self._clock.now(), text, targets.nodes)
        begin = self._begin_by_kind.get(fault.kind, self._degrade)
        begin(ActiveFault(scheduled.name, fault, started_at + scheduled.end_ns, targets))

    def _targets(self, scheduled: ScheduledFault) -> FaultTargets:
        environment, random = self._environment, self._environment.random("fault", scheduled.name)
        counts = {"node": len(environment.nodes), "relay": len(self._proxies), "conductor": len(self._assigners)}
        zones = len(environment.script.site.zones)
        targets: dict[str, dict[int, None]] = {kind: {} for kind in counts}
        for selector in scheduled.selectors:
            matching = [number for number in range(counts[selector.kind]) if selector.matches(number, zones)]
            if selector.share < 1:
                matching = sorted(random.sample(matching, max(1, round(selector.share * len(matching)))))
            targets[selector.kind].update(dict.fromkeys(matching))
        return FaultTargets(*map(list, targets.values()))

    # Faults of nodes and of the node list.

    def _degrade(self, active: ActiveFault) -> None:
        kind, strength = NodeFaultKind(active.fault.kind), active.fault.strength or 1.0
        for node in active.targets.nodes:
            self._environment.nodes[node].add_fault(self._clock.now(), active.name, kind, strength)
        self._clock.at(active.ends_at, lambda: self._remove_fault(active.name, active.targets.nodes))

    def _remove_fault(self, name: object, nodes: list[int]) -> None:
        for node in nodes:
            self._environment.nodes[node].remove_fault(self._clock.now(), name)
            self._network.schedule_step(node)

    def _edit(self, active: ActiveFault) -> None:
        files = self._discovery
        assert isinstance(files, NodeFiles), "an edit fault requires node files, checked when the script is read"
        files.save_edit(active.fault, active.targets.nodes)
        self._clock.at(active.ends_at, files.restore)

    def _drain(self, active: ActiveFault) -> None:
        nodes = active.targets.nodes
        self._discovery.change(nodes, NodeCondition.DRAINING, None, (0, 0))
        self._clock.at(active.ends_at, lambda: self._start_nodes(nodes))

    def _isolate(self, active: ActiveFault) -> None:
        nodes = active.targets.nodes
        for node in nodes:
            self._environment.nodes[node].add_fault(self._clock.now(), active.name, NodeFaultKind.SILENT, 1.0)
        self._discovery.change(nodes, NodeCondition.REMOVED, None, self._environment.script.discovery.silent)
        self._clock.at(active.ends_at, lambda: self._reconnect(active))

    def _reconnect(self, active: ActiveFault) -> None:
        for node in active.targets.nodes:
            self._environment.nodes[node].remove_fault(self._clock.now(), active.name)
        self._start_nodes(active.targets.nodes, keeps_queue=active.fault.keeps_queue)

    def _start_nodes(self, nodes: list[int], *, keeps_queue: bool = False) -> None:
        """Start nodes' processes, which are cold; discovery lists the new starts after its delay."""
        environment, now = self._environment, self._clock.now()
        for node in nodes:
            environment.nodes[node].start(now, keeps_queue=keeps_queue)
            environment.node_started_at[node] = now
            self._network.drop_connections(node)
            self._network.schedule_step(node)
        started = [node for node in nodes if not environment.nodes[node].fallen]
        self._discovery.change(started, NodeCondition.UP, now, environment.script.discovery.add)
        environment.score.event(now, "back", started)

    # Pauses.

    def _stall(self, active: ActiveFault) -> None:
        """Pause each target once per interval `every`, at a random offset of its own."""
        random, fault, now = self._environment.random("stall", active.name), active.fault, self._clock.now()
        for node in active.targets.nodes:
            for at in range(now + random.randrange(fault.every), active.ends_at, fault.every):
                self._pause_node_at(at, active, node)
        for actor in self._processes(active.targets):
            for at in range(now + random.randrange(fault.every), active.ends_at, fault.every):
                self._pause_process_at(at, actor, fault.pause)

    def _pause_node_at(self, at: int, active: ActiveFault, node: int) -> None:
        name = active.name, at

        def pause() -> None:
            now = self._clock.now()
            self._environment.nodes[node].add_fault(now, name, NodeFaultKind.STALL, 1.0)
            self._clock.at(now + active.fault.pause, lambda: self._remove_fault(name, [node]))

        self._clock.at(at, pause)

    def _pause_process_at(self, at: int, actor: ProcessActor, pause_ns: int) -> None:
        self._clock.at(at, lambda: actor.pause(self._clock.now() + pause_ns))

    def _processes(self, targets: FaultTargets) -> list[ProcessActor]:
        proxies = [self._proxies[number] for number in targets.proxies]
        return [*proxies, *(self._assigners[number] for number in targets.assigners)]

    # Lost processes.

    def _lose(self, active: ActiveFault) -> None:
        environment, targets = self._environment, active.targets
        for number in targets.proxies:
            self._failures.lose_proxy(number, active.ends_at)
        for number in targets.assigners:
            self._failures.lose_assigner(number, active.ends_at)
        for node in targets.nodes:
            environment.nodes[node].kill(self._clock.now())
            self._network.drop_connections(node)
        if targets.nodes:
            notice = environment.script.discovery.notice
            self._discovery.change(targets.nodes, NodeCondition.REMOVED, None, notice)
            self._clock.at(active.ends_at, lambda: self._start_nodes(targets.nodes))
