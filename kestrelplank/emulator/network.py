"""The network of a simulation, without sockets: attempts on their way to nodes, and how they end."""

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
    """An attempt on its way to a node.

    :param delay_ns: of the way there.
    :param knowing: whether the proxy could know of the node's last start.
    """

    proxy: EmulatedProxy
    number: int
    client_op: ClientOp
    node: int
    delay_ns: int
    knowing: bool


class EmulatedNetwork:
    """Carries attempts to nodes and their ends back."""

    def __init__(self, environment: Environment, store: SliceStore, clients: EmulatedClients) -> None:
        self._environment, self._store, self._clients = environment, store, clients
        self._clock, self._random = environment.clock, environment.random("network")
        self.first_attempts = self.cross_zone_attempts = 0
        nodes = environment.script.site.nodes
        self.generations = [0] * nodes  # of each node's connections: all of one end together
        self._steps: list[tuple[int, Timer] | None] = [None] * nodes  # when a node is stepped next

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
        knowing = self._check_rules(proxy, op, node)
        self.begin_attempt(AttemptInTransit(proxy, op.number, client_op, node, delay_ns, knowing))

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
        """Dial and send, as far as the node lets either."""
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
            knowing=attempt.knowing,
        )
        self._environment.rules.cold_node_loaded(attempt.node, node.worst_overload)
        if node.silent:
            return
        if result is OfferResult.TAKEN:
            self.schedule_step(attempt.node)
        else:
            self.end_attempt(attempt, OUTCOMES[result], attempt.delay_ns)

    def end_attempt(self, attempt: AttemptInTransit, outcome: AttemptOutcome, after_ns: int) -> None:
        """Let the proxy learn after that time how an attempt has ended."""
        self.notify_proxy(attempt.proxy, attempt.number, attempt.node, outcome, after_ns)

    def notify_proxy(
        self, proxy: EmulatedProxy, number: int, node: int, outcome: AttemptOutcome, after_ns: int
    ) -> None:
        """Let the proxy learn after that time how the attempt of an op at that node has ended."""
        self._clock.at(
            self._clock.now() + after_ns,
            lambda: proxy.when_awake(lambda: proxy.attempt_ended(number, node, outcome)),
        )

    def cancel_attempt(self, proxy: EmulatedProxy, number: int, node: int) -> None:
        """Let the node learn that the proxy no longer wants an attempt."""
        arrives_at = self._clock.now() + self.delay_to_node_ns(proxy, node)
        self._clock.at(arrives_at, lambda: self.cancel_at_node(node, number))

    # Nodes.

    def cancel_at_node(self, node: int, number: int) -> None:
        """Tell a node that nobody waits for an op any more."""
        if not self._environment.nodes[node].silent:
            self._environment.nodes[node].cancel(self._clock.now(), number)
            self.schedule_step(node)

    def schedule_step(self, node: int) -> None:
        """See to it that the node is stepped when its next op ends; never later than was scheduled before."""
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
        """End all connections to a node, and the attempts on them; whether it takes new ones is its own state."""
        self.generations[node] += 1
        for number, proxy in list(self._clients.proxy_of.items()):
            if number in proxy.ops and proxy.ops[number].op.node == node:
                self.notify_proxy(proxy, number, node, AttemptOutcome.RESET, self.delay_to_node_ns(proxy, node))
