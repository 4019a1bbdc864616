"""The proxies of a simulation, which run the logic of `load_balancing/attempts`."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kestrelplank.emulator.client_op import ClientOp
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.process_actor import ProcessActor
from kestrelplank.load_balancing.attempts import Attempts, AttemptSettings
from kestrelplank.load_balancing.operations import AttemptOutcome, EndReason, Op, Send, Step, Verdict, Wait
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.sockets.loop import Timer
from kestrelplank.state.table_orders import TableOrder
from kestrelplank.state.tables import Tables

EndReasonOrOutcome = EndReason | AttemptOutcome | str


@dataclass(slots=True)
class ProxyOp:
    """An op in progress at a proxy; `timer` ends it at its deadline."""

    op: Op
    client_op: ClientOp
    timer: Timer


@dataclass(slots=True)
class OrderStream:
    """A proxy's stream from an assigner; `delivered_at` is when its latest message arrives."""

    number: int
    joined_at: int
    next_message: int = 0
    delivered_at: int = 0


@dataclass(frozen=True, slots=True)
class OrderMessage:
    """A message of orders in transit from an assigner to a proxy."""

    assigner: int
    stream: int
    number: int
    orders: list[TableOrder]
    ordered_at: int


class ProxyCallbacks(Protocol):
    """The functions of the simulation that a proxy calls."""

    def send_attempt(self, proxy: "EmulatedProxy", op: Op, client_op: ClientOp, node: int) -> None:
        """Send an op to a node; `attempt_ended` of the proxy is called with the outcome."""
        ...

    def cancel_attempt(self, proxy: "EmulatedProxy", number: int, node: int) -> None:
        """Cancel an op at a node."""
        ...

    def record_attempt(
        self, proxy: "EmulatedProxy", client_op: ClientOp, node: int, succeeded: bool, latency_ns: int
    ) -> None:
        """Record an attempt's end."""
        ...

    def answer(self, client_op: ClientOp, op: Op, verdict: Verdict, reason: EndReasonOrOutcome) -> None:
        """Answer a client."""
        ...

    def acknowledge(self, proxy: "EmulatedProxy", assigner: int, watermark: int, latency_ns: int) -> None:
        """Notify an assigner that its orders have been applied up to the watermark."""
        ...

    def slice_needs_node(self, slice_: int) -> bool:
        """Whether the slice's owner is alive and discovery lists a warm node as up."""
        ...


class EmulatedProxy(ProcessActor):
    """A proxy; what arrives while it is paused is handled when the pause ends.

    :param proofs: the outcomes that it accepts as proof that an attempt never ran.
    """

    def __init__(
        self,
        environment: Environment,
        number: int,
        callbacks: ProxyCallbacks,
        proofs: tuple[AttemptOutcome, ...],
    ) -> None:
        super().__init__(environment.clock, number, number % len(environment.script.site.zones))
        self._environment, self._callbacks, self._proofs = environment, callbacks, proofs
        self.alive = True
        self.connected: dict[int, int] = {}  # by node: the generation that this proxy's connection belongs to
        self.ops: dict[int, ProxyOp] = {}  # by number
        self.streams: dict[int, OrderStream] = {}  # by assigner
        self.ordered_at: dict[int, int] = {}  # by assigner: when the orders applied last were issued
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        script = self._environment.script
        self.random = self._environment.random("relay", self.number, self.incarnation)
        self.tables = Tables(script.site.slices, len(script.op_types), 1)
        timeouts_ns = [op_type.timeout for op_type in script.op_types.values()]
        settings = AttemptSettings(timeouts_ns, SelectionMethod(script.proxies.pick), script.proxies.hold, self._proofs)
        ejection = OutlierEjection(self.random, script.proxies.strikes, script.proxies.avoid)
        self.attempts = Attempts(self.random, self.tables, settings, ejection)

    # The process.

    def kill(self) -> None:
        """End the process at once; its clients' ops are aborted."""
        self.alive = False
        for number, proxy_op in list(self.ops.items()):
            del self.ops[number]
            proxy_op.timer.cancel()
            if proxy_op.op.node is not None:
                self._callbacks.cancel_attempt(self, number, proxy_op.op.node)
            self._callbacks.answer(proxy_op.client_op, proxy_op.op, Verdict.ABORTED, "relay lost")
        self.streams.clear()
        self.connected.clear()
        self._environment.rules.proxy_ended(self.number, range(self._environment.script.site.slices))

    def start(self) -> None:
        """Start a new incarnation."""
        self.alive, self.incarnation = True, self.incarnation + 1
        self._begin_incarnation()

    def call_when_resumed(self, callback: Callable[[], None]) -> None:
        """Call the callback once the proxy is not paused, and only in this incarnation."""
        if self.clock.now() < self.paused_until:
            self.call_in_this_incarnation(self.paused_until, lambda: self.call_when_resumed(callback))
        elif self.alive:
            callback()

    # Ops.

    def submit(self, client_op: ClientOp, number: int) -> None:
        """Handle a new op of a client."""
        now = self.clock.now()
        timeout_ns = self._environment.op_types[client_op.op_type].timeout - (now - client_op.requested_at)
        op, step = self.attempts.submit(now, number, client_op.op_type, client_op.slice, timeout_ns)
        timer = self.clock.at(op.deadline, lambda: self.call_when_resumed(lambda: self._time_out(number)))
        self.ops[number] = ProxyOp(op, client_op, timer)
        self._execute_step(op, step)

    def attempt_ended(self, number: int, node: int, outcome: AttemptOutcome) -> None:
        """Handle an attempt's end; it is ignored if the op has ended or is now attempted at another node."""
        proxy_op = self.ops.get(number)
        if proxy_op is None or proxy_op.op.node != node:
            return
        now, op = self.clock.now(), proxy_op.op
        succeeded = outcome is AttemptOutcome.SUCCEEDED
        self._callbacks.record_attempt(self, proxy_op.client_op, node, succeeded, now - op.sent_at)
        self._execute_step(op, self.attempts.attempt_ended(now, op, outcome))

    def _execute_step(self, op: Op, step: Step) -> None:
        if isinstance(step, Send):
            self._callbacks.send_attempt(self, op, self.ops[op.number].client_op, step.node)
        elif isinstance(step, Wait):
            self.clock.at(step.until, lambda: self.call_when_resumed(lambda: self._expire_wait(op.number)))
        else:
            proxy_op = self.ops.pop(op.number)
            proxy_op.timer.cancel()
            self._callbacks.answer(proxy_op.client_op, op, step.verdict, step.reason)

    def _time_out(self, number: int) -> None:
        proxy_op = self.ops.get(number)
        if proxy_op is None:
            return
        node = proxy_op.op.node
        if node is not None:
            self._callbacks.record_attempt(self, proxy_op.client_op, node, succeeded=False, latency_ns=0)
            self._callbacks.cancel_attempt(self, number, node)
        self._execute_step(proxy_op.op, self.attempts.abandon(self.clock.now(), proxy_op.op))

    def _expire_wait(self, number: int) -> None:
        proxy_op = self.ops.get(number)
        if proxy_op is not None and proxy_op.op.waits_until is not None:
            self._execute_step(proxy_op.op, self.attempts.wait_expired(proxy_op.op))

    # Orders.

    def apply(self, message: OrderMessage) -> None:
        """Apply a message of orders, unless its stream has ended."""
        stream = self.streams.get(message.assigner)
        if stream is None or stream.number != message.stream:
            return
        changed, watermarks = self.tables.apply(message.assigner, message.number, message.orders)
        self.ordered_at[message.assigner] = message.ordered_at
        now = self.clock.now()
        self.tables_changed(changed)
        for watermark in watermarks:
            self._callbacks.acknowledge(self, message.assigner, watermark, now - message.ordered_at)

    def tables_changed(self, slices: list[int]) -> None:
        """Resume ops that wait for a node of these slices, and check the rule on slices without a node."""
        now = self.clock.now()
        for slice_ in slices:
            has_node = bool(self.tables.available(slice_))
            self._environment.rules.slice_changed(now, self.number, slice_, has_node, self._callbacks.slice_needs_node)
        for op, step in self.attempts.tables_changed(now, slices):
            self._execute_step(op, step)
