"""The emulated site: clients, proxies, nodes, the network, the slice store, discovery, and assigners.

Each component has its own random generator (`Environment.random`), so that a change in one component does not change
the draws of the others.
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
    """All components of a site; implements `ProxyCallbacks` for its proxies.

    Invariants: the same script and seed give the same report (test
    `test_the_same_script_and_seed_give_identical_reports_and_another_seed_a_different_one`); every op of every proxy
    ends once (test `test_every_op_of_every_proxy_ends_once_and_none_after_its_time_out`).

    :param make_policy: creates the policy of an assigner's incarnation.
    :param proofs: the outcomes that its proxies accept as proof that an attempt never ran.
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
        """Create the network; overridden in a rehearsal over sockets."""
        return EmulatedNetwork(self.environment, self.store, self.clients)

    def make_assigner(self, number: int) -> Assigner:
        """Create an assigner; overridden in a rehearsal over sockets."""
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
        """Draw each slice's share of the load, and the node on which it starts."""
        site, random = self.script.site, self.environment.random("site")
        self.load.draw_slices(random)
        nodes = [number % site.nodes for number in range(site.slices)]
        random.shuffle(nodes)
        for slice_, node in enumerate(nodes):
            self.store.weights[slice_] = {node: 1.0}

    # Running.

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
        """When all requested ops have ended."""
        return self.environment.ends_at + max(op_type.timeout for op_type in self.environment.op_types)

    def play(self, run: Callable[[int], None], step_ns: int, on_progress: Callable[[float], None]) -> None:
        """Start the site, and run it until all ops have ended.

        :param run: advances the clock to the given time.
        :param on_progress: called after each step with the share of the time that has passed.
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

    # Callbacks of proxies (`ProxyCallbacks`).

    def send_attempt(self, proxy: EmulatedProxy, op: Op, client_op: ClientOp, node: int) -> None:
        """Send an op to a node."""
        self.network.send_attempt(proxy, op, client_op, node)

    def cancel_attempt(self, proxy: EmulatedProxy, number: int, node: int) -> None:
        """Cancel an op at a node."""
        self.network.cancel_attempt(proxy, number, node)

    def record_attempt(
        self, proxy: EmulatedProxy, client_op: ClientOp, node: int, succeeded: bool, latency_ns: int
    ) -> None:
        """Record an attempt's end in the score, and in the reports to the slice's owner."""
        owner = proxy.tables.owner(client_op.slice)
        if owner is not None:
            self.reports.record_attempt(owner, proxy.zone, node, succeeded, latency_ns)
        self.environment.score.attempt_ended(self.clock.now(), node, succeeded, latency_ns)

    def answer(self, client_op: ClientOp, op: Op, verdict: Verdict, reason: EndReasonOrOutcome) -> None:
        """Answer a client."""
        self.clients.receive_answer(client_op, op, verdict, reason)

    def acknowledge(self, proxy: EmulatedProxy, assigner: int, watermark: int, latency_ns: int) -> None:
        """Notify an assigner that its orders have been applied up to the watermark."""
        event = WatermarkAcknowledged(proxy.number, watermark, latency_ns)
        self.assigners[assigner].notify(event, self.network.delay_ns(0, 0))

    def slice_needs_node(self, slice_: int) -> bool:
        """Whether the slice's owner is alive and discovery lists a warm node as up."""
        owner = self.store.owner[slice_]
        if owner is None or not self.assigners[owner].alive:
            return False
        warm_if_started_by = self.clock.now() - self.script.node_kind.warm_up
        return any(
            listed.condition == NodeCondition.UP
            and (listed.started_at is None or listed.started_at <= warm_if_started_by)
            for listed in self.discovery.listed
        )
