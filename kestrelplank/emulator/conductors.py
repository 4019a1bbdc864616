"""The conductors of a rehearsal, as modules in this process."""

from typing import Any

from kestrelplank.decode import Ids, settings, whole
from kestrelplank.emulator.clock import chance
from kestrelplank.emulator.part import Actor
from kestrelplank.emulator.script import conf
from kestrelplank.interface import (
    EndpointStored,
    Event,
    NodeEntry,
    NodeListUpdate,
    NodeReport,
    PolicySettings,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    SliceReport,
    TimerFired,
    WatermarkAcknowledged,
)
from kestrelplank.policy import Policy

EVENT_TYPES = {
    "roster": NodeListUpdate,
    "tenure": SliceOwnership,
    "line": EndpointStored,
    "joined": ProxyJoined,
    "left": ProxyLeft,
    "applied": WatermarkAcknowledged,
    "tries": NodeReport,
    "heat": SliceReport,
    "timer": TimerFired,
}  # the world's events, and those of the module


class Conductor(Actor):
    """What the world tells of, wherever it runs."""

    def tell(self, event: tuple, after: int = 0) -> None:
        """An event, in the world's numbers, to arrive after that time (ns); lost if it dies first."""
        if self.alive:
            self.in_this_life(self.clock.now() + after, self.hear, *event)

    def hear(self, word: str, *fields: Any) -> None:
        """An event has arrived."""
        raise NotImplementedError


class LocalConductor(Conductor):
    """The module, and the events of its next round."""

    def __init__(self, world, number: int) -> None:
        super().__init__(world, number)
        self._events: list[Event] = []
        self._due = False

    def start(self) -> None:
        world = self.world
        self.alive, self.life, self._events, self._due = True, self.life + 1, [], False
        self.ids = Ids(whole)
        found = settings(conf(world.script, self.number), self.ids, "script")
        seed = chance(world.seed, "conductor", self.number, self.life).getrandbits(64)
        self.policy = world.policy(world.clock.now(), seed, PolicySettings.from_mapping(found))

    def kill(self) -> None:
        self.alive = False

    def hear(self, word: str, *fields: Any) -> None:
        fields = list(fields)
        if word == "roster":
            fields[1] = [NodeEntry(self.ids.node(node), *rest) for node, *rest in fields[1]]
        elif word == "line":
            fields[1] = self.ids.node(fields[1])
        elif word == "tries":
            fields[0] = self.ids.node(fields[0])
        self._events.append(EVENT_TYPES[word](*fields))
        if not self._due:
            self._due = True
            self.in_this_life(self.clock.now() + self.world.script.rules.tick, self._round)

    def _round(self) -> None:
        now = self.clock.now()
        if now < self.paused_until:
            self.in_this_life(self.paused_until, self._round)
            return
        events, self._events, self._due, self._orders = self._events, [], False, []
        self.policy.round(now, events, self)
        if self._orders:
            self.world.hub.call(self.number, self._orders)

    # What the module orders.

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        self._orders.append(("line", table, self.ids.node_ids[node], weight))

    def clear_table(self, table: int) -> None:
        self._orders.append(("clear", table))

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        self._orders.append(("take_out", self.ids.node_ids[node], withdrawn))

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        self._orders.append(("level", table, op_types, share, retry_mode))

    def request_acknowledgement(self, watermark: int, everyone: bool, backlog_ns: int = 0) -> None:
        self._orders.append(("mark", watermark))

    def set_timer(self, at: int, name: str) -> None:
        self.in_this_life(at, self.hear, "timer", name)

    def forget_node(self, node: int) -> None:
        self.ids.forget(node)

    def watch_nodes(self, enabled: bool) -> None:
        """All are told of changes."""


class Standing(Policy):
    """The baseline: every slice stays where it is until it has lost its node. No load move, no bar."""

    def eject_unhealthy(self, now: int) -> None:
        """Nothing is ejected."""

    def balance(self, now: int) -> None:
        """Nothing moves for its load."""
