"""The relays of a rehearsal, round the core in `load_balancing/attempts`, and the ops that clients ask of them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kestrelplank.emulator.clock import chance
from kestrelplank.emulator.part import Actor
from kestrelplank.load_balancing.attempts import Attempts, AttemptSettings
from kestrelplank.load_balancing.operations import AttemptOutcome, Op, Send, Step, Verdict, Wait
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.sockets.loop import Timer
from kestrelplank.state.tables import Tables


@dataclass(slots=True)
class ClientOp:
    """One op as its client sees it, over all the client's tries. `work` in ns of one core, `begun` in ns."""

    op_type: int
    table: int
    key: int
    work: float
    begun: int
    tries: int = 0


@dataclass(slots=True)
class InHand:
    """An op in a relay's hand; `timer` ends it at its deadline."""

    op: Op
    asked: ClientOp
    timer: Timer


@dataclass(slots=True)
class Stream:
    """A relay's stream from a conductor. `delivered_at`: when its last message comes (ns)."""

    number: int
    joined_at: int
    next_message: int = 0
    delivered_at: int = 0


class Relay(Actor):
    """A relay stand-in; while it is paused it puts off what comes, and does it afterwards."""

    def __init__(self, world, number: int) -> None:
        super().__init__(world, number)
        self.alive = True
        self.connected: dict[int, int] = {}  # node to the life of its process that the connection is to
        self.ops: dict[int, InHand] = {}  # by number
        self.streams: dict[int, Stream] = {}  # by conductor
        self.ordered_at: dict[int, int] = {}  # conductor to when what was applied last was ordered
        self._begin()

    def _begin(self) -> None:
        script = self.world.script
        self.random = random = chance(self.world.seed, "relay", self.number, self.life)
        self.tables = Tables(script.site.slices, len(script.op_types), 1)
        self.attempts = Attempts(
            random,
            self.tables,
            AttemptSettings(
                [op_type.timeout for op_type in script.op_types.values()],
                SelectionMethod(script.relays.pick),
                script.relays.hold,
                self.world.proofs,
            ),
            OutlierEjection(random, script.relays.strikes, script.relays.avoid),
        )

    def when_awake(self, do: Callable, *arguments: Any) -> None:
        """Does it now, or once the relay is no longer paused; never in another life."""
        if self.clock.now() < self.paused_until:
            self.in_this_life(self.paused_until, self.when_awake, do, *arguments)
        elif self.alive:
            do(*arguments)

    def ask(self, asked: ClientOp, number: int) -> None:
        """A client's op comes in."""
        world, now = self.world, self.clock.now()
        within = world.op_types[asked.op_type].timeout - (now - asked.begun)
        op, step = self.attempts.submit(now, number, asked.op_type, asked.table, within)
        timer = self.clock.at(op.deadline, lambda: self.when_awake(self._late, number))
        self.ops[number] = InHand(op, asked, timer)
        self._act(op, step)

    def ended(self, number: int, node: int, outcome: AttemptOutcome) -> None:
        """A try has ended; what belongs to an op that is over, or to its other try, is late and means nothing."""
        held = self.ops.get(number)
        if held is None or held.op.node != node:
            return
        now = self.clock.now()
        self.world.tried(self, held.asked, node, outcome is AttemptOutcome.SUCCEEDED, now - held.op.sent_at)
        self._act(held.op, self.attempts.attempt_ended(now, held.op, outcome))

    def _act(self, op: Op, step: Step) -> None:
        world = self.world
        if isinstance(step, Send):
            world.network.carry(self, op, self.ops[op.number].asked, step.node)
        elif isinstance(step, Wait):
            self.clock.at(step.until, lambda: self.when_awake(self._expire, op.number))
        else:
            held = self.ops.pop(op.number)
            held.timer.cancel()
            world.clients.answered(held.asked, op, step.verdict, step.reason)

    def _late(self, number: int) -> None:
        held = self.ops.get(number)
        if held is None:
            return
        if held.op.node is not None:
            self.world.tried(self, held.asked, held.op.node, False, 0)
            self.world.network.hang_up(self, number, held.op.node)
        self._act(held.op, self.attempts.abandon(self.clock.now(), held.op))

    def _expire(self, number: int) -> None:
        held = self.ops.get(number)
        if held is not None and held.op.waits_until is not None:
            self._act(held.op, self.attempts.wait_expired(held.op))

    def apply(self, conductor: int, stream: int, number: int, orders: list[tuple], ordered_at: int) -> None:
        """A message from a conductor's channel."""
        held = self.streams.get(conductor)
        if held is None or held.number != stream:
            return
        changed, marks = self.tables.apply(conductor, number, orders)
        self.ordered_at[conductor] = ordered_at
        now = self.clock.now()
        self.tables_changed(changed)
        for mark in marks:
            event = "applied", self.number, mark, now - ordered_at
            self.world.conductors[conductor].tell(event, self.world.network.way(0, 0))

    def tables_changed(self, changed: list[int]) -> None:
        """Ops that wait for a line of these tables may go, and rule 1 is held against them."""
        now, world = self.clock.now(), self.world
        for table in changed:
            world.rules.lines(now, self.number, table, bool(self.tables.open(table)), world.due)
        for op, step in self.attempts.tables_changed(now, changed):
            self._act(op, step)

    def kill(self) -> None:
        self.alive = False
        for number, held in list(self.ops.items()):
            del self.ops[number]
            held.timer.cancel()
            if held.op.node is not None:
                self.world.network.hang_up(self, number, held.op.node)
            self.world.clients.answered(held.asked, held.op, Verdict.ABORTED, "relay lost")
        self.streams.clear()
        self.connected.clear()
        self.world.rules.left(self.number, range(self.world.script.site.slices))

    def start(self) -> None:
        self.alive, self.life = True, self.life + 1
        self._begin()
