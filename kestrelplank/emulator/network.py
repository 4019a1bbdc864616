"""The network of a simulation, without sockets: attempts in transit to nodes, and their outcomes."""

from dataclasses import dataclass

from kestrelplank.emulator.client_op import ClientOp
from kestrelplank.emulator.clients import EmulatedClients
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.node import OfferResult
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.slice_store import SliceStore
from kestrelplank.load_balancing.operations import AttemptOutcome, Op
from kestrelplank.sockets.loop import Timer

OUTCOMES = {OfferResult.NOT_STARTED: AttemptOutcome.NOT_STARTED, OfferResult.FAILED: AttemptOutcome.FAILED}


@dataclass(frozen=True, slots=True)
class AttemptInTransit:
    """An attempt in transit to a node.

    :param delay_ns: of the message from the proxy to the node.
    :param start_known: whether the proxy could know of the node's last start.
    """

    proxy: EmulatedProxy
    number: int
    client_op: ClientOp
    node: int
    delay_ns: int
    start_known: bool


class EmulatedNetwork:
    """Carries attempts to nodes and their outcomes back to proxies."""

    def __init__(self, environment: Environment, store: SliceStore, clients: EmulatedClients) -> None:
        self._environment, self._store, self._clients = environment, store, clients
        self._clock, self._random = environment.clock, environment.random("network")
        self.first_attempts = self.cross_zone_attempts = 0
        nodes = environment.script.site.nodes
        self.generations = [0] * nodes  # by node, of its connections: all of one generation end together
        self._steps: list[tuple[int, Timer] | None] = [None] * nodes  # by node: when it is stepped next

    # Delays.

    def delay_ns(self, zone: int, other: int) -> int:
        """Draw the time that a message takes from one zone to another."""
        delays = self._environment.script.network
        return self._random.randint(*(delays.same if zone == other else delays.cross))

    def delay_to_node_ns(self, proxy: EmulatedProxy, node: int) -> int:
        """Draw the time that a message takes between a proxy and a node."""
        return self.delay_ns(proxy.zone, self._environment.zone_of_node(node))

    # Attempts.

    def send_attempt(self, proxy: EmulatedProxy, op: Op, client_op: ClientOp, node: int) -> None:
        """Send an op to a node."""
        delay_ns = self.delay_to_node_ns(proxy, node)
        self.first_attempts += len(op.attempted_nodes) == 1
        self.cross_zone_attempts += proxy.zone != self._environment.zone_of_node(node)
        start_known = self._check_rules(proxy, op, node)
        self.begin_attempt(AttemptInTransit(proxy, op.number, client_op, node, delay_ns, start_known))

    def _check_rules(self, proxy: EmulatedProxy, op: Op, node: int) -> bool:
        """Check the rule on drains; return whether the proxy could know of the node's last start."""
        owner = proxy.tables.owner(op.table)
        stream = proxy.streams.get(owner) if owner is not None else None
        if owner is None or stream is None or owner != self._store.owner[op.table]:
            return False
        now, rules = self._clock.now(), self._environment.rules
        rules.attempt_sent(now, proxy.number, owner, node, max(stream.joined_at, self._store.assigned_at[op.table]))
        return rules.knows_last_start(now, owner, node, proxy.ordered_at[owner])

    def begin_attempt(self, attempt: AttemptInTransit) -> None:
        """Connect if necessary and send, or end the attempt if the node can't be reached."""
        node, proxy = self._environment.nodes[attempt.node], attempt.proxy
        connected = proxy.connected.get(attempt.node) == self.generations[attempt.node]
        if not connected and node.silent:
            self.end_attempt(attempt, AttemptOutcome.REFUSED, self._environment.script.proxies.dial)
        elif node.down and not node.silent:
            self.end_attempt(attempt, AttemptOutcome.REFUSED, 2 * attempt.delay_ns)
        else:
            proxy.connected[attempt.node] = self.generations[attempt.node]
            arrives_at = self._clock.now() + attempt.delay_ns
            self._clock.at(arrives_at, lambda: self._offer(attempt, new_connection=not connected))

    def _offer(self, attempt: AttemptInTransit, *, new_connection: bool) -> None:
        node, client_op = self._environment.nodes[attempt.node], attempt.client_op
        if node.down and not node.silent:
            self.end_attempt(attempt, AttemptOutcome.RESET, attempt.delay_ns)
            return
        result = node.offer(
            self._clock.now(),
            attempt.number,
            client_op.op_type,
            client_op.work,
            client_op.key,
            new_connection=new_connection,
            start_known=attempt.start_known,
        )
        self._environment.rules.cold_node_loaded(attempt.node, node.worst_overload)
        if node.silent:
            return
        if result is OfferResult.TAKEN:
            self.schedule_step(attempt.node)
        else:
            self.end_attempt(attempt, OUTCOMES[result], attempt.delay_ns)

    def end_attempt(self, attempt: AttemptInTransit, outcome: AttemptOutcome, after_ns: int) -> None:
        """Notify the proxy after a delay of an attempt's outcome."""
        self.notify_proxy(attempt.proxy, attempt.number, attempt.node, outcome, after_ns)

    def notify_proxy(
        self, proxy: EmulatedProxy, number: int, node: int, outcome: AttemptOutcome, after_ns: int
    ) -> None:
        """Notify the proxy after a delay of the outcome of an op's attempt at that node."""
        self._clock.at(
            self._clock.now() + after_ns,
            lambda: proxy.call_when_resumed(lambda: proxy.attempt_ended(number, node, outcome)),
        )

    def cancel_attempt(self, proxy: EmulatedProxy, number: int, node: int) -> None:
        """Send the node the cancellation of an attempt."""
        arrives_at = self._clock.now() + self.delay_to_node_ns(proxy, node)
        self._clock.at(arrives_at, lambda: self.cancel_at_node(node, number))

    # Nodes.

    def cancel_at_node(self, node: int, number: int) -> None:
        """Cancel an op at a node."""
        if not self._environment.nodes[node].silent:
            self._environment.nodes[node].cancel(self._clock.now(), number)
            self.schedule_step(node)

    def schedule_step(self, node: int) -> None:
        """Schedule the node's step for the end of its next op, unless an earlier step is scheduled."""
        due, scheduled = self._environment.nodes[node].next_step_at(self._clock.now()), self._steps[node]
        if due is None or scheduled is not None and scheduled[0] <= due:
            return
        if scheduled is not None:
            scheduled[1].cancel()
        self._steps[node] = due, self._clock.at(due, lambda: self._step(node))

    def _step(self, node: int) -> None:
        self._steps[node] = None
        for number in self._environment.nodes[node].step(self._clock.now()):
            self.op_done(node, number)
        self.schedule_step(node)

    def op_done(self, node: int, number: int) -> None:
        """Send a node's answer to an op."""
        proxy = self._clients.proxy_of.get(number)
        if proxy is not None:
            delay_ns = self.delay_to_node_ns(proxy, node)
            self.notify_proxy(proxy, number, node, AttemptOutcome.SUCCEEDED, delay_ns)

    def drop_connections(self, node: int) -> None:
        """End all connections to a node and the attempts on them; the node decides whether it accepts new ones."""
        self.generations[node] += 1
        for number, proxy in list(self._clients.proxy_of.items()):
            if number in proxy.ops and proxy.ops[number].op.node == node:
                self.notify_proxy(proxy, number, node, AttemptOutcome.RESET, self.delay_to_node_ns(proxy, node))
