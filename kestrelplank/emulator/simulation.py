"""The emulated site: clients, proxies, nodes, the network, the store of slices, discovery, and assigners.

Each part has a chance of its own (`Environment.random`), so that a change in one leaves the draws of all others as they
were.
"""

from collections.abc import Callable

from kestrelplank.emulator.assigners import Assigner, LocalAssigner, PolicyFactory
from kestrelplank.emulator.client_op import ClientOp
from kestrelplank.emulator.clients import EmulatedClients
from kestrelplank.emulator.discovery import Discovery
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.fault_injector import FaultInjector
from kestrelplank.emulator.load_profile import LoadProfile
from kestrelplank.emulator.network import EmulatedNetwork
from kestrelplank.emulator.node_files import NodeFiles
from kestrelplank.emulator.process_failures import ProcessFailures
from kestrelplank.emulator.proxies import EmulatedProxy, EndReasonOrOutcome
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.slice_store import SliceStore
from kestrelplank.emulator.usage_reports import UsageReports
from kestrelplank.emulator.virtual_clock import Clock
from kestrelplank.interface import NodeCondition, NodeListKind, WatermarkAcknowledged
from kestrelplank.load_balancing.operations import PROOFS_NOT_EXECUTED, AttemptOutcome, Op, Verdict
from kestrelplank.policy import Policy


class Simulation:
    """All parts of a site; it is what its proxies call `ProxySurroundings`.

    Invariants: the same script and seed give the same report (test
    `test_the_same_script_and_seed_give_the_same_bytes_and_another_seed_others`); every op of every proxy ends once
    (test `test_every_op_of_every_proxy_ends_once_and_none_after_its_time_out`).

    :param make_policy: makes the policy of an assigner's incarnation.
    :param proofs: the outcomes that its proxies take for proof that an attempt never ran.
    """

    def __init__(
        self,
        script: Script,
        seed: int,
        clock: Clock,
        make_policy: PolicyFactory = Policy,
        proofs: tuple[AttemptOutcome, ...] = PROOFS_NOT_EXECUTED,
    ) -> None:
        self.script, self.seed, self.clock = script, seed, clock
        self._make_policy = make_policy
        self.proxies: list[EmulatedProxy] = []
        self.assigners: list[Assigner] = []
        self.environment = environment = Environment(script, seed, clock, self._drop_connections)
        self.load = LoadProfile(script, environment.started_at)
        self.store = SliceStore(environment, self.load, self.proxies, self.assigners)
        self.reports = UsageReports(environment, self.assigners)
        self.clients = EmulatedClients(environment, self.load, self.proxies, self.store, self.reports)
        self.network = self.make_network()
        self.discovery = self._make_discovery()
        self.proxies += [EmulatedProxy(environment, number, self, proofs) for number in range(script.site.relays)]
        self.assigners += [self.make_assigner(number) for number in range(script.site.conductors)]
        self._faults = self._make_fault_injector()
        self._draw_site()

    def make_network(self) -> EmulatedNetwork:
        """Make the network; a rehearsal over sockets has its own."""
        return EmulatedNetwork(self.environment, self.store, self.clients)

    def make_assigner(self, number: int) -> Assigner:
        """Make an assigner; a rehearsal over sockets has its own."""
        return LocalAssigner(self.environment, number, self._make_policy, self.store)

    def _make_discovery(self) -> Discovery:
        if self.script.node_files:
            return NodeFiles(self.environment, self.assigners, self.script.node_files)
        return Discovery(self.environment, self.assigners)

    def _make_fault_injector(self) -> FaultInjector:
        failures = ProcessFailures(
            self.environment, self.proxies, self.assigners, self.store, self.clients, self._begin_assigner
        )
        return FaultInjector(self.environment, self.network, self.discovery, failures, self.proxies, self.assigners)

    def _draw_site(self) -> None:
        """Draw how much each slice is asked for, and which node it has."""
        site, random = self.script.site, self.environment.random("site")
        self.load.draw_slices(random)
        nodes = [number % site.nodes for number in range(site.slices)]
        random.shuffle(nodes)
        for slice_, node in enumerate(nodes):
            self.store.weights[slice_] = {node: 1.0}

    # Playing.

    def start(self) -> None:
        """Start assigners, join proxies to them, and schedule faults, reports and clients."""
        for assigner in self.assigners:
            self._begin_assigner(assigner)
        for slice_, home in enumerate(self.store.home):
            self.store.assign(slice_, home)
        for proxy in self.proxies:
            for assigner in self.assigners:
                self.store.join(proxy, assigner.number)
        self._faults.schedule_all()
        self.clock.at(self.environment.started_at + self.script.reports.every, self.reports.close_window)
        self.clients.begin()

    @property
    def over_at(self) -> int:
        """When everything asked for has ended one way or another."""
        return self.environment.ends_at + max(op_type.timeout for op_type in self.environment.op_types)

    def play(self, run: Callable[[int], None], step_ns: int, on_progress: Callable[[float], None]) -> None:
        """Start, and let time pass until all is over.

        :param run: lets time pass until an instant.
        :param on_progress: called after each step with the share of time that has passed.
        """
        self.start()
        started_at = self.environment.started_at
        while self.clock.now() < self.over_at:
            run(min(self.over_at, self.clock.now() + step_ns))
            on_progress((self.clock.now() - started_at) / (self.over_at - started_at))

    def _begin_assigner(self, assigner: Assigner) -> None:
        assigner.start()
        self.discovery.send_list(assigner, NodeListKind.CACHED)
        self.discovery.send_list(assigner, NodeListKind.FULL)

    def _drop_connections(self, node: int) -> None:
        self.network.drop_connections(node)

    # What proxies call (`ProxySurroundings`).

    def send_attempt(self, proxy: EmulatedProxy, op: Op, client_op: ClientOp, node: int) -> None:
        """Send an op to a node."""
        self.network.send_attempt(proxy, op, client_op, node)

    def cancel_attempt(self, proxy: EmulatedProxy, number: int, node: int) -> None:
        """Let the node know that nobody waits for the op any more."""
        self.network.cancel_attempt(proxy, number, node)

    def record_attempt(
        self, proxy: EmulatedProxy, client_op: ClientOp, node: int, succeeded: bool, latency_ns: int
    ) -> None:
        """Take note of an attempt's end: for the score, and for reports to whoever owns the slice."""
        owner = proxy.tables.owner(client_op.slice)
        if owner is not None:
            self.reports.record_attempt(owner, proxy.zone, node, succeeded, latency_ns)
        self.environment.score.attempt_ended(self.clock.now(), node, succeeded, latency_ns)

    def answer(self, client_op: ClientOp, op: Op, verdict: Verdict, reason: EndReasonOrOutcome) -> None:
        """Answer a client."""
        self.clients.receive_answer(client_op, op, verdict, reason)

    def acknowledge(self, proxy: EmulatedProxy, assigner: int, watermark: int, latency_ns: int) -> None:
        """Let an assigner know that its orders have been applied up to the watermark."""
        event = WatermarkAcknowledged(proxy.number, watermark, latency_ns)
        self.assigners[assigner].notify(event, self.network.delay_ns(0, 0))

    def slice_needs_node(self, slice_: int) -> bool:
        """Whether the slice's owner is alive and lists a warm node as up."""
        owner = self.store.owner[slice_]
        if owner is None or not self.assigners[owner].alive:
            return False
        warm_if_started_by = self.clock.now() - self.script.node_kind.warm_up
        return any(
            listed.condition == NodeCondition.UP
            and (listed.started_at is None or listed.started_at <= warm_if_started_by)
            for listed in self.discovery.listed
        )
