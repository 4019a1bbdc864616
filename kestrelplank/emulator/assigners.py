"""The assigners of a simulation, each running a policy in this process."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from kestrelplank.decode import Ids, non_negative_int, read_settings
from kestrelplank.emulator.assigner_settings import assigner_settings
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.order_collector import OrderCollector
from kestrelplank.emulator.process_actor import ProcessActor
from kestrelplank.interface import EndpointStored, Event, NodeListUpdate, NodeReport, PolicySettings, TimerFired
from kestrelplank.policy import Policy
from kestrelplank.state.table_orders import TableOrder

PolicyFactory = Callable[[int, int, PolicySettings], Policy]  # now, seed, settings


class OrderReceiver(Protocol):
    """Executes the orders of assigners."""

    def execute(self, assigner: int, orders: list[TableOrder]) -> None:
        """Execute the orders of one round."""
        ...


class Assigner(ProcessActor):
    """An assigner, running in this process or in its own."""

    def __init__(self, environment: Environment, number: int) -> None:
        super().__init__(environment.clock, number, number % len(environment.script.site.zones))
        self.environment = environment

    def start(self) -> None:
        """Start a new incarnation."""
        raise NotImplementedError

    def kill(self) -> None:
        """End the process at once."""
        raise NotImplementedError

    def notify(self, event: Event, after_ns: int = 0) -> None:
        """Deliver an event, in the simulation's node numbers, after a delay; it is lost if the process ends first."""
        if self.alive:
            self.call_in_this_incarnation(self.clock.now() + after_ns, lambda: self.receive(event))

    def receive(self, event: Event) -> None:
        """Handle an event that has arrived."""
        raise NotImplementedError


class LocalAssigner(Assigner):
    """Runs a policy, and collects the events of its next round."""

    def __init__(
        self, environment: Environment, number: int, make_policy: PolicyFactory, order_receiver: OrderReceiver
    ) -> None:
        super().__init__(environment, number)
        self._make_policy, self._order_receiver = make_policy, order_receiver
        self._events: list[Event] = []
        self._round_is_due = False
        self._ids = Ids(non_negative_int)

    def start(self) -> None:
        """Start a new incarnation with a new policy."""
        self.alive, self.incarnation, self._events, self._round_is_due = True, self.incarnation + 1, [], False
        self._ids = Ids(non_negative_int)
        script = self.environment.script
        read = PolicySettings.from_mapping(read_settings(assigner_settings(script, self.number), self._ids, "script"))
        seed = self.environment.random("conductor", self.number, self.incarnation).getrandbits(64)
        self.policy = self._make_policy(self.clock.now(), seed, read)

    def kill(self) -> None:
        """End the process at once."""
        self.alive = False

    def receive(self, event: Event) -> None:
        """Add an event to the next round."""
        self._events.append(self._with_own_numbers(event))
        if not self._round_is_due:
            self._round_is_due = True
            self.call_in_this_incarnation(self.clock.now() + self.environment.script.rules.tick, self._round)

    def _with_own_numbers(self, event: Event) -> Event:
        """Return the event with the node numbers that this incarnation uses."""
        match event:
            case NodeListUpdate(kind, entries):
                return NodeListUpdate(kind, [entry._replace(node=self._ids.node(entry.node)) for entry in entries])
            case EndpointStored() | NodeReport():
                return msgspec.structs.replace(event, node=self._ids.node(event.node))
            case _:
                return event

    def _round(self) -> None:
        now = self.clock.now()
        if now < self.paused_until:
            self.call_in_this_incarnation(self.paused_until, self._round)
            return
        events, self._events, self._round_is_due = self._events, [], False
        collector = OrderCollector(self._ids, self._set_timer)
        self.policy.round(now, events, collector)
        if collector.orders:
            self._order_receiver.execute(self.number, collector.orders)

    def _set_timer(self, at: int, name: str) -> None:
        self.call_in_this_incarnation(at, lambda: self.receive(TimerFired(name)))
