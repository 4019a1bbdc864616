"""The world of a rehearsal: nodes, relays, the hub with its store and channels, discovery, reports, clients, faults.

It runs on any clock with `now` and `at`: the virtual one, or the loop's, where `lab/live.py` puts conductors and nodes
behind sockets in place of `Seat` and of what `World` does for tries. Each party has a chance of its own, so that one
more draw of one leaves the others as they were.
"""

from bisect import bisect
from collections.abc import Callable
from itertools import accumulate
from math import log, sqrt
from typing import Any

from kestrelplank.config.ini import Unusable
from kestrelplank.decode import Ids, settings, whole
from kestrelplank.files import nodelist
from kestrelplank.lab.clock import chance
from kestrelplank.lab.node import NOT_STARTED as FULL
from kestrelplank.lab.node import TAKEN, Node
from kestrelplank.lab.rules import Rules
from kestrelplank.lab.score import Score
from kestrelplank.lab.script import MS, Fault, Party, Script, conf, most_waiting
from kestrelplank.plan.attempts import (
    FAILED,
    NOT_STARTED,
    PROOFS,
    REFUSED,
    RESET,
    Attempts,
    Avoidance,
    Op,
    Send,
    Step,
    Wait,
)
from kestrelplank.policy import Conductor as Policy
from kestrelplank.state.guards import Terms
from kestrelplank.state.intake import SETTLED, Intake, Settling
from kestrelplank.state.nodeset import Listed, NodeSet
from kestrelplank.state.roster import Roster
from kestrelplank.state.roster import Terms as Pace
from kestrelplank.state.sealed import digest_of
from kestrelplank.state.tables import Tables

SLACK = 300 * MS  # what the protocol's page grants time limits on sockets
NEVER = 1 << 62


class Ask:
    """One op as its client sees it, over all the client's tries."""

    __slots__ = ("op_type", "table", "key", "work", "begun", "tries")

    def __init__(self, op_type: int, table: int, key: int, work: float, begun: int) -> None:
        self.op_type, self.table, self.key, self.work, self.begun = op_type, table, key, work, begun
        self.tries = 0


class Relay:
    """A relay stand-in round the core in `plan/attempts`; stopped, it does what came meanwhile afterwards."""

    def __init__(self, world: "World", number: int) -> None:
        script = world.script
        self.world, self.number, self.zone = world, number, number % len(script.site.zones)
        self.asleep_until, self.alive, self.life = 0, True, 0
        self.connected: dict[int, int] = {}  # node to the life of its process that the connection is to
        self.ops: dict[int, tuple[Op, Ask, int, Any]] = {}  # the op, its ask, when it was sent, its timer
        self.streams: dict[int, list] = {}  # conductor to [stream's number, next message, last delivery, joined at]
        self.ordered_at: dict[int, int] = {}  # conductor to when what was applied last was ordered
        self._begin()

    def _begin(self) -> None:
        script = self.world.script
        random = chance(self.world.seed, "relay", self.number, self.life)
        self.random = random
        self.tables = Tables(script.site.slices, len(script.op_types), 1)
        avoidance = Avoidance(random, script.relays.strikes, script.relays.avoid)
        self.attempts = Attempts(
            random,
            self.tables,
            [op.timeout for op in script.op_types.values()],
            script.relays.pick,
            script.relays.hold,
            avoidance,
            self.world.proofs,
        )

    def awake(self, do: Callable, *arguments: Any) -> None:
        """Does it now, or once the relay is no longer stopped; never in another life."""
        world, life = self.world, self.life
        if world.clock.now() < self.asleep_until:
            world.clock.at(self.asleep_until, lambda: self.awake(do, *arguments) if self.life == life else None)
        elif self.alive:
            do(*arguments)

    def ask(self, ask: Ask, number: int) -> None:
        world, now = self.world, self.world.clock.now()
        within = world.op_types[ask.op_type].timeout - (now - ask.begun)
        op, step = self.attempts.ask(now, number, ask.op_type, ask.table, within)
        timer = world.clock.at(op.deadline, lambda: self.awake(self.late, number))
        self.ops[number] = op, ask, now, timer
        self.act(op, step)

    def act(self, op: Op, step: Step) -> None:
        world, now = self.world, self.world.clock.now()
        if isinstance(step, Send):
            entry = self.ops[op.number]
            self.ops[op.number] = (*entry[:2], now, entry[3])
            world.carry(self, op, entry[1], step.node)
        elif isinstance(step, Wait):
            world.clock.at(step.until, lambda: self.awake(self.unheld, op.number))
        else:
            _, ask, _, timer = self.ops.pop(op.number)
            timer.cancel()
            world.answered(self, ask, op, step.verdict, step.why)

    def late(self, number: int) -> None:
        if number in self.ops:
            op, ask, sent_at, _ = self.ops[number]
            node = op.node
            if node is not None:
                self.world.tried(self, ask, node, False, 0)
                self.world.hang_up(self, number, node)
            self.act(op, self.attempts.give_up(self.world.clock.now(), op))

    def unheld(self, number: int) -> None:
        if number in self.ops and self.ops[number][0].until is not None:
            op = self.ops[number][0]
            self.act(op, self.attempts.expire(self.world.clock.now(), op))

    def ended(self, number: int, node: int, outcome: str) -> None:
        """A try has ended; what belongs to an op that is over, or to its other try, is late and means nothing."""
        if number not in self.ops or self.ops[number][0].node != node:
            return
        op, ask, sent_at, _ = self.ops[number]
        now = self.world.clock.now()
        self.world.tried(self, ask, node, outcome == "acked", now - sent_at)
        self.act(op, self.attempts.ended(now, op, outcome))

    def take(self, conductor: int, stream: int, number: int, orders: list[tuple], ordered_at: int) -> None:
        """A message from a conductor's channel."""
        held = self.streams.get(conductor)
        if held is None or held[0] != stream:
            return
        changed, marks = self.tables.apply(conductor, number, orders)
        self.ordered_at[conductor] = ordered_at
        now = self.world.clock.now()
        self.look(changed)
        for mark in marks:
            self.world.seats[conductor].tell(("applied", self.number, mark, now - ordered_at), self.world.way(0, 0))

    def look(self, changed: list[int]) -> None:
        """These tables may have changed: ops that wait for a line may go, and rule 1 is held against them."""
        now, world = self.world.clock.now(), self.world
        for table in changed:
            world.rules.lines(now, self.number, table, bool(self.tables.open(table)), world.due)
        for op, step in self.attempts.changed(now, changed):
            self.act(op, step)

    def stand(self, until: int) -> None:
        self.asleep_until = max(self.asleep_until, until)

    def kill(self) -> None:
        self.alive = False
        for number in list(self.ops):
            op, ask, _, timer = self.ops.pop(number)
            timer.cancel()
            if op.node is not None:
                self.world.hang_up(self, number, op.node)
            self.world.answered(self, ask, op, "aborted", "relay lost")
        self.streams.clear()
        self.connected.clear()
        self.world.rules.left(self.number, range(self.world.script.site.slices))

    def start(self) -> None:
        self.alive, self.life = True, self.life + 1
        self._begin()


class Seat:
    """A conductor in this process: the module, and the events of its next round."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.zone = world, number, number % len(world.script.site.zones)
        self.alive, self.life, self.asleep_until = False, 0, 0
        self._events: list[tuple] = []
        self._due = False
        self.rounds = 0

    def start(self) -> None:
        world = self.world
        self.alive, self.life, self._events, self._due = True, self.life + 1, [], False
        self.ids = Ids(whole)
        found = settings(conf(world.script, self.number), self.ids, "script")
        seed = chance(world.seed, "conductor", self.number, self.life).getrandbits(64)
        self.policy = world.policy(world.clock.now(), seed, found)

    def kill(self) -> None:
        self.alive = False

    def stand(self, until: int) -> None:
        self.asleep_until = max(self.asleep_until, until)

    def tell(self, event: tuple, after: int = 0) -> None:
        """An event for the module, in the world's numbers, to arrive after that time; lost if it dies first."""
        life = self.life
        if self.alive:
            self.world.clock.at(
                self.world.clock.now() + after, lambda: self._hear(event) if self.alive and self.life == life else None
            )

    def _hear(self, event: tuple) -> None:
        word, *fields = event
        if word == "roster":
            fields[1] = [(self.ids.node(node), *rest) for node, *rest in fields[1]]
        elif word == "line":
            fields[1] = self.ids.node(fields[1])
        elif word == "tries":
            fields[0] = self.ids.node(fields[0])
        self._events.append((word, *fields))
        self._wake()

    def _wake(self) -> None:
        if not self._due:
            self._due, life = True, self.life
            self.world.clock.at(
                self.world.clock.now() + self.world.script.rules.tick,
                lambda: self._round() if self.alive and self.life == life else None,
            )

    def _round(self) -> None:
        now = self.world.clock.now()
        if now < self.asleep_until:
            life = self.life
            self.world.clock.at(self.asleep_until, lambda: self._round() if self.alive and self.life == life else None)
            return
        events, self._events, self._due, self._orders = self._events, [], False, []
        self.rounds += 1
        self.policy.round(now, events, self)
        if self._orders:
            self.world.hub.call(self.number, self._orders)

    # What the module orders.

    def line(self, table: int, node: int, weight: float) -> None:
        self._orders.append(("line", table, self.ids.node_ids[node], weight))

    def clear(self, table: int) -> None:
        self._orders.append(("clear", table))

    def take_out(self, node: int, out: bool) -> None:
        self._orders.append(("take_out", self.ids.node_ids[node], out))

    def level(self, table: int, op_types: int, share: float, again: int) -> None:
        self._orders.append(("level", table, op_types, share, again))

    def mark(self, number: int, everyone: bool, behind: int = 0) -> None:
        self._orders.append(("mark", number))

    def timer(self, at: int, name: str) -> None:
        life = self.life
        self.world.clock.at(at, lambda: self._hear(("timer", name)) if self.alive and self.life == life else None)

    def forget(self, node: int) -> None:
        self.ids.forget(node)

    def watch(self, on: bool) -> None:
        """All are told of changes."""


class Hub:
    """The store, who has charge of what, and each conductor's channel."""

    def __init__(self, world: "World") -> None:
        self.world = world
        site = world.script.site
        self.lines: list[dict[int, float]] = [{} for _ in range(site.slices)]
        self.charge: list[int | None] = [None] * site.slices
        self.home = [number % site.conductors for number in range(site.slices)]
        self.given_at = [0] * site.slices
        self.free_at = [0] * site.conductors  # when the channel will have sent all that waits
        self.messages, self.line_count, self.moves = 0, 0, 0
        self.random = chance(world.seed, "hub")

    def call(self, conductor: int, orders: list[tuple]) -> int:
        """One call's orders: into the store, and as one message to each joined relay. Returns how many were taken.
        What is for a slice not in its charge counts as taken and changes nothing."""
        world, now = self.world, self.world.clock.now()
        orders = [order for order in orders if order[0] not in ("line", "clear") or self.charge[order[1]] == conductor]
        for word, *fields in orders:
            if word == "line":
                table, node, weight = fields
                lines = dict(self.lines[table])
                self.moves += bool(weight) and node not in lines
                if weight:
                    lines[node] = weight
                else:
                    lines.pop(node, None)
                self.lines[table] = lines
            elif word == "clear":
                self.lines[fields[0]] = {}
        if not orders:
            return 0
        channel = world.script.channel
        cost = len(orders) + channel.envelope
        leaves = max(now, self.free_at[conductor])
        self.messages += 1
        for relay in world.relays:
            held = relay.streams.get(conductor)
            if held is None:
                continue
            leaves += round(cost / channel.lines_per_s * 1e9)
            transit = self.random.randint(*channel.transit) + len(orders) * world.script.relays.apply_line
            held[2] = max(held[2], leaves + transit)
            number, held[1] = held[1], held[1] + 1
            self.line_count += cost
            world.clock.at(
                held[2],
                lambda relay=relay, held=held, number=number: relay.awake(
                    relay.take, conductor, held[0], number, orders, now
                ),
            )
        self.free_at[conductor] = leaves
        world.rules.queue(conductor, (leaves - now) / 1e9 * channel.lines_per_s)
        return len(orders)

    def give(self, table: int, conductor: int | None) -> None:
        """Hands a slice over; its lines go along, and relays joined to the new owner read them from the store."""
        world, now = self.world, self.world.clock.now()
        old, self.charge[table] = self.charge[table], conductor
        if old is not None and world.seats[old].alive:
            world.seats[old].tell(("tenure", table, False))
        self.given_at[table] = now
        world.rules.given(now, table, range(world.script.site.relays))
        if conductor is not None:
            world.seats[conductor].tell(("tenure", table, True))
            for node, weight in self.lines[table].items():
                world.seats[conductor].tell(("line", table, node, weight))
            for relay in world.relays:
                if conductor in relay.streams:
                    self.read(relay, conductor, [table])

    def read(self, relay: Relay, conductor: int, tables: list[int]) -> None:
        """The relay reads these from the store by itself, at once with all that is on its way behind it."""
        for table in tables:
            relay.tables.read(table, conductor, self.lines[table])
        relay.awake(relay.look, tables)

    def join(self, relay: Relay, conductor: int) -> None:
        """The relay's stream to that conductor stands."""
        world = self.world
        if not relay.alive or not world.seats[conductor].alive or conductor in relay.streams:
            return
        world.streams += 1
        relay.streams[conductor] = [world.streams, 0, 0, world.clock.now()]
        relay.ordered_at[conductor] = 0
        fresh = not relay.tables.known(conductor)
        relay.tables.joined(conductor)
        rate = world.rate(world.clock.now()) / len(world.relays)
        world.seats[conductor].tell(("joined", relay.number, relay.zone, rate, fresh))
        self.read(relay, conductor, [table for table, held in enumerate(self.charge) if held == conductor])

    def part(self, relay: Relay, conductor: int, notice: int) -> None:
        relay.streams.pop(conductor, None)
        self.world.seats[conductor].tell(("left", relay.number), notice)


class Discovery:
    """Knows whether processes run, late; each conductor is told in order, a little apart."""

    def __init__(self, world: "World") -> None:
        self.world, self.random = world, chance(world.seed, "discovery")
        self.listed: list[tuple[str, int | None]] = [("up", None)] * world.script.site.nodes
        self._last = [0] * world.script.site.conductors

    def entry(self, node: int) -> tuple:
        condition, boot = self.listed[node]
        return node, condition, self.world.zone_of(node), 0, 1.0, boot

    def whole(self, conductor: int, how: str) -> None:
        seat, now = self.world.seats[conductor], self.world.clock.now()
        seat.tell(("roster", how, [self.entry(node) for node in range(len(self.listed))]))
        for node, (condition, boot) in enumerate(self.listed):
            self.world.rules.told(now, conductor, node, condition, boot is not None)

    def change(self, nodes: list[int], condition: str, boot: int | None, after: tuple[int, int]) -> None:
        """So many nodes are found to be so, after a time drawn from a range."""
        now = self.world.clock.now()
        self.world.clock.at(now + self.random.randint(*after), lambda: self._list(nodes, condition, boot))

    def _list(self, nodes: list[int], condition: str, boot: int | None) -> None:
        world = self.world
        nodes = [
            node
            for node in nodes
            if boot is not None or self.listed[node][1] in (None, world.boots[node]) or condition == "draining"
        ]
        for node in nodes:
            self.listed[node] = condition, boot if boot is not None else self.listed[node][1]
        entries, now = [self.entry(node) for node in nodes], world.clock.now()
        for seat in world.seats:
            self._last[seat.number] = max(
                self._last[seat.number], now + self.random.randint(*world.script.discovery.spread)
            )
            world.clock.at(
                self._last[seat.number],
                lambda seat=seat, life=seat.life: self._tell(seat, life, entries, condition, boot),
            )

    def _tell(self, seat: Seat, life: int, entries: list[tuple], condition: str, boot: int | None) -> None:
        if seat.alive and seat.life == life and entries:
            seat.tell(("roster", "delta", entries))
            for entry in entries:
                self.world.rules.told(self.world.clock.now(), seat.number, entry[0], condition, boot is not None)


class Files(Discovery):
    """Node lists in files in place of discovery, edited by the script: the cores of `state/` over texts, no disk. What
    runs and what does not, nobody tells."""

    def __init__(self, world: "World") -> None:
        super().__init__(world)
        script = world.script
        terms = script.files
        self._nodes = {
            f"n{node}": Listed(script.site.zones[world.zone_of(node)], f"127.0.0.1:{9000 + node}")
            for node in range(script.site.nodes)
        }
        self.intake = Intake(Terms(terms.most_closed, terms.stand, False))
        self._settling, self._roster = Settling(terms.quiet), Roster(Pace(script.rules.grace, terms.weight_step))
        self._text: bytes | None = nodelist.written(NodeSet(self._nodes)).encode()
        self._read_at(world.clock.now())
        self._read_at(world.clock.now() + terms.quiet)
        self._roster.accept(world.clock.now(), self.intake.force)
        self._roster.whole()
        self._weights = [1.0] * len(self._nodes)

    def entry(self, node: int) -> tuple:
        return (*super().entry(node)[:4], self._weights[node], self.listed[node][1])

    def change(self, nodes: list[int], condition: str, boot: int | None, after: tuple[int, int]) -> None:
        """A file does not know of processes."""

    def save(self, fault: Fault, nodes: list[int]) -> None:
        """The file is saved as the script says; with `how` right again at its end."""
        changed = {f"n{node}": self._nodes[f"n{node}"] for node in nodes}
        held = dict(self._nodes)
        if fault.how == "remove":
            held = {name: listed for name, listed in held.items() if name not in changed}
        elif fault.how in ("drain", "weight"):
            held.update(
                {
                    name: listed._replace(
                        **{"draining": True} if fault.how == "drain" else {"weight": listed.weight * fault.strength}
                    )
                    for name, listed in changed.items()
                }
            )
        text = nodelist.written(NodeSet(held))
        if fault.how == "torn":
            text = text[: self.random.randrange(1, len(text) - 1)]
        elif fault.how == "twice":
            first = next(iter(held))
            text = text.replace(f"# end {len(held)}", f"{first} = 127.0.0.1:1\n# end {len(held) + 1}")
        self._put(None if fault.how == "gone" else b"" if fault.how == "empty" else text.encode())

    def right(self) -> None:
        """The whole list again."""
        self._put(nodelist.written(NodeSet(self._nodes)).encode())

    def _put(self, text: bytes | None) -> None:
        self._text = text
        self._read()

    def _read(self) -> None:
        clock = self.world.clock
        outcome = self._read_at(clock.now())
        if isinstance(outcome, int):
            clock.at(outcome, self._read)
        elif outcome is not None:
            self.world.score.event(clock.now(), f"list {outcome.how}: {outcome.why}", [])
            if outcome.how == "accepted":
                self._roster.accept(clock.now(), self.intake.force)
                self._advance()
        if self.intake.due is not None:
            clock.at(self.intake.due, self._read)

    def _read_at(self, now: int) -> Any:
        """When to read again, or what has been decided."""
        step = self._settling.see(now, "nodes.ini", None if self._text is None else digest_of(self._text))
        if isinstance(step, int):
            return step
        if step == SETTLED:
            try:
                found: Any = (
                    "nodes.ini: there is no such file"
                    if self._text is None
                    else nodelist.read("nodes.ini", self._text, 2 * len(self._nodes), True)
                )
            except Unusable as err:
                found = str(err)
            self.intake.take("nodes.ini", found)
        return self.intake.decide(now)

    def _advance(self) -> None:
        now = self.world.clock.now()
        entries = self._roster.advance(now)
        for name, condition, _, _, weight, boot in entries:
            self.listed[int(name[1:])], self._weights[int(name[1:])] = (condition, boot), weight
        for seat in self.world.seats:
            nodes = [(int(name[1:]), condition, boot) for name, condition, *_, boot in entries]
            if seat.alive and nodes:
                seat.tell(("roster", "delta", [self.entry(node) for node, *_ in nodes]))
                for node, condition, boot in nodes:
                    self.world.rules.told(now, seat.number, node, condition, boot is not None)
        due = self._roster.due(now)
        if due is not None:
            self.world.clock.at(due, self._advance)


class Reports:
    """Sums of what relays met, by conductor in charge, zone and node, and of ops by slice; late, and only so many
    lines a second."""

    def __init__(self, world: "World") -> None:
        self.world, self.random = world, chance(world.seed, "reports")
        count = world.script.site.conductors
        self.tries: list[dict] = [{} for _ in range(count)]
        self.heat: list[dict] = [{} for _ in range(count)]
        self._queues: list[list] = [[] for _ in range(count)]

    def close(self) -> None:
        world, script = self.world, self.world.script.reports
        for seat in world.seats:
            tries, self.tries[seat.number] = self.tries[seat.number], {}
            heat, self.heat[seat.number] = self.heat[seat.number], {}
            queue = self._queues[seat.number]
            if not seat.alive:
                queue.clear()
                continue
            for (zone, node), (count, failed, time) in tries.items():
                mean = time / (count - failed) if count > failed else 0
                mean = round(mean * (1 + script.noise * self.random.uniform(-1, 1)))
                queue.append(("tries", node, zone, count, failed, mean or None, script.every, {}))
            queue += [
                ("heat", table, op_type, count, aborted, script.every)
                for (table, op_type), (count, aborted) in heat.items()
            ]
            most = max(1, script.intake_per_s * script.every // 1_000_000_000)
            late = self.random.randint(*script.late)
            for event in queue[:most]:
                seat.tell(event, late)
            del queue[:most]
        world.clock.at(world.clock.now() + script.every, self.close)


class World:
    """`policy(now, seed, settings)` makes a conductor's module; `proofs` are what its relays take for proof."""

    def __init__(
        self,
        script: Script,
        seed: int,
        clock: Any,
        policy: Callable[..., Any] = Policy,
        proofs: tuple[str, ...] = PROOFS,
        seat: Callable[..., Any] = Seat,
    ) -> None:
        self.script, self.seed, self.clock, self.policy, self.proofs = script, seed, clock, policy, proofs
        self.begun = now = clock.now()
        site, rules = script.site, script.rules
        self.names, self.op_types = list(script.op_types), list(script.op_types.values())
        self.rules = Rules(rules.bare, rules.grace, most_waiting(script), SLACK)
        self.score = Score(script, now)
        self.random, self._net = chance(seed, "clients"), chance(seed, "network")
        self._asked = self.streams = self.cross = self.first = 0
        self.boots: list[int | None] = [None] * site.nodes  # when its process last started, as discovery tells it
        self.lives = [0] * site.nodes
        self._node_timers: list[Any] = [None] * site.nodes
        self.nodes = [
            Node(script.kind, chance(seed, "node", number), now, self._ran, lambda number=number: self._fell(number))
            for number in range(site.nodes)
        ]
        self.where: dict[int, Relay] = {}  # op to the relay that waits for it
        self.hub, self.reports = Hub(self), Reports(self)
        self.discovery = Files(self) if script.files else Discovery(self)
        self.relays = [Relay(self, number) for number in range(site.relays)]
        self.seats = [seat(self, number) for number in range(site.conductors)]
        self._draw()

    def _draw(self) -> None:
        """What the day is like: how much each slice is asked for, where it stands, what ops cost."""
        site, random = self.script.site, chance(self.seed, "site")
        spread = self.script.clients.slice_spread
        sigma = sqrt(log(1 + spread * spread))
        self._slices = list(accumulate(random.lognormvariate(0, sigma) for _ in range(site.slices)))
        self._shares = list(accumulate(op.share for op in self.op_types))
        self._draws = []
        for op in self.op_types:
            sigma = sqrt(log(1 + op.spread * op.spread))
            self._draws.append((log(op.work) - sigma * sigma / 2, sigma))
        standing = [number % site.nodes for number in range(site.slices)]
        random.shuffle(standing)
        for table, node in enumerate(standing):
            self.hub.lines[table] = {node: 1.0}
        self._per_load = (
            site.nodes
            * self.script.kind.cores
            * self.script.kind.speed
            * 1e9
            / sum(op.share * op.work for op in self.op_types)
        )

    def zone_of(self, node: int) -> int:
        return node % len(self.script.site.zones)

    def way(self, one: int, other: int) -> int:
        """The time that a message takes from one zone to another (ns)."""
        net = self.script.network
        return self._net.randint(*(net.same if one == other else net.cross))

    def rate(self, now: int) -> float:
        """Ops a second that clients ask for."""
        loads = self.script.loads
        place = bisect(loads, now - self.begun, key=lambda load: load[0]) - 1
        return loads[place][1] * self._per_load

    def heats(self, now: int) -> list[float]:
        """The work a second that clients ask of each slice, as it truly is."""
        sums = self._slices
        work = self.rate(now) * sum(op.share * op.work for op in self.op_types) / 1e9 / sums[-1]
        return [work * (whole - before) for whole, before in zip(sums, [0.0, *sums])]

    def due(self, table: int) -> bool:
        """Whether rule 1 binds for a slice: somebody alive has charge, and lists a warm node as up."""
        charge, now = self.hub.charge[table], self.clock.now()
        warm_up = self.script.kind.warm_up
        return (
            charge is not None
            and self.seats[charge].alive
            and any(
                condition == "up" and (boot is None or now - boot >= warm_up)
                for condition, boot in self.discovery.listed
            )
        )

    # The day.

    def start(self) -> None:
        """All stands: conductors live, relays are joined, faults and clients are on their way."""
        for seat in self.seats:
            self.begin(seat)
        for table, conductor in enumerate(self.hub.home):
            self.hub.give(table, conductor)
        for relay in self.relays:
            for seat in self.seats:
                self.hub.join(relay, seat.number)
        script, now = self.script, self.begun
        for name, fault, end, whom in script.faults:
            self.clock.at(
                now + fault.start,
                lambda name=name, fault=fault, whom=whom, end=end: self._fault(
                    name, fault, end, self.chosen(name, whom)
                ),
            )
        self.clock.at(now + script.reports.every, self.reports.close)
        self._arrive(False)

    @property
    def over(self) -> int:
        """When everything asked for has ended one way or another."""
        return self.begun + self.script.site.length + max(op.timeout for op in self.op_types)

    def begin(self, seat: Any) -> None:
        seat.start()
        self.discovery.whole(seat.number, "cached")
        self.discovery.whole(seat.number, "full")

    def chosen(self, name: str, whom: tuple[Party, ...]) -> dict[str, list[int]]:
        """The parties that a fault is for, each once, in order."""
        random, found = chance(self.seed, "fault", name), {"node": {}, "relay": {}, "conductor": {}}
        counts = {"node": len(self.nodes), "relay": len(self.relays), "conductor": len(self.seats)}
        for one in whom:
            all_of = [
                number
                for number in range(counts[one.kind])
                if one.zone in (None, number % len(self.script.site.zones)) and one.number in (None, number)
            ]
            if one.share < 1:
                all_of = sorted(random.sample(all_of, max(1, round(one.share * len(all_of)))))
            found[one.kind].update(dict.fromkeys(all_of))
        return {kind: list(numbers) for kind, numbers in found.items()}

    def _arrive(self, asks: bool = True) -> None:
        random, now = self.random, self.clock.now()
        if now >= self.begun + self.script.site.length:
            return  # the day is over; what was asked for may end yet
        if asks:
            op_type = min(bisect(self._shares, random.random() * self._shares[-1]), len(self._shares) - 1)
            table = min(bisect(self._slices, random.random() * self._slices[-1]), len(self._slices) - 1)
            keys = self.script.clients.keys
            ask = Ask(
                op_type,
                table,
                table * keys + int(keys ** random.random()) - 1,
                random.lognormvariate(*self._draws[op_type]),
                now,
            )
            self.score.asked(now, op_type)
            self.ask(ask)
        rate = self.rate(now)
        wait = random.expovariate(rate) * 1e9 if rate else 100e6
        self.clock.at(now + max(1, round(wait)), lambda: self._arrive(rate > 0))

    def ask(self, ask: Ask) -> None:
        """A client turns to some relay that lives; with none, nobody answers."""
        relay = self.relays[self.random.randrange(len(self.relays))]
        for _ in range(len(self.relays)):
            if relay.alive:
                break
            relay = self.relays[(relay.number + 1) % len(self.relays)]
        ask.tries += 1
        self._asked += 1
        number = self._asked
        charge = self.hub.charge[ask.table]
        if charge is not None:
            self.reports.heat[charge].setdefault((ask.table, ask.op_type), [0, 0])[0] += 1
        if relay.alive:
            self.where[number] = relay
            relay.awake(relay.ask, ask, number)

    def answered(self, relay: Relay, ask: Ask, op: Op, verdict: str, why: str) -> None:
        """The client hears of its op; it may come again by itself, but not with what may have run and must not
        run again."""
        del self.where[op.number]
        now, clients = self.clock.now(), self.script.clients
        self.score.ended(now - op.deadline)
        kind = self.op_types[ask.op_type]
        if verdict == "acked":
            self.score.acked(now, ask.op_type, ask.begun, self.rules.runs(op.number))
            return
        charge = self.hub.charge[ask.table]
        if verdict == "aborted" and charge is not None:
            self.reports.heat[charge].setdefault((ask.table, ask.op_type), [0, 0])[1] += 1
        again = (
            ask.tries <= clients.retries
            and now + clients.wait - ask.begun < kind.timeout
            and (verdict == "rejected" or kind.effect == "retryable")
        )
        if again:
            self.clock.at(now + clients.wait, lambda: self.ask(ask))
        else:
            self.score.lost(now, ask.op_type, verdict, why)

    # Tries, over a network without sockets.

    def carry(self, relay: Relay, op: Op, ask: Ask, node: int) -> None:
        """A relay sends an op to a node; each end of it is told through `relay.ended`."""
        now, charge = self.clock.now(), relay.tables.source(op.table)
        way = self.way(relay.zone, self.zone_of(node))
        self.first += len(op.tried) == 1
        self.cross += relay.zone != self.zone_of(node)
        since = relay.streams.get(charge, (0, 0, 0, NEVER))[3]
        knowing = False
        if charge == self.hub.charge[op.table] and charge in relay.streams:
            self.rules.sent(now, relay.number, charge, node, max(since, self.hub.given_at[op.table]))
            knowing = self.rules.knowing(now, charge, node, relay.ordered_at[charge])
        self.reach(relay, op.number, ask, node, way, knowing)

    def reach(self, relay: Relay, number: int, ask: Ask, node: int, way: int, knowing: bool) -> None:
        """The network's part: what a dial and a send meet."""
        target, clock = self.nodes[node], self.clock
        known = relay.connected.get(node) == self.lives[node]
        if not known and target.silent:
            clock.at(clock.now() + self.script.relays.dial, lambda: relay.awake(relay.ended, number, node, REFUSED))
        elif target.down and not target.silent:
            clock.at(clock.now() + 2 * way, lambda: relay.awake(relay.ended, number, node, REFUSED))
        else:
            relay.connected[node] = self.lives[node]
            clock.at(clock.now() + way, lambda: self._offer(relay, number, ask, node, way, not known, knowing))

    def _offer(self, relay: Relay, number: int, ask: Ask, node: int, way: int, new: bool, knowing: bool) -> None:
        target, now = self.nodes[node], self.clock.now()
        if target.down and not target.silent:
            self.clock.at(now + way, lambda: relay.awake(relay.ended, number, node, RESET))
            return
        told = target.offer(now, number, ask.op_type, ask.work, ask.key, new, knowing)
        self.rules.pushed(node, target.worst_push)
        if target.silent:
            return
        if told == TAKEN:
            self.look_at(node)
        else:
            outcome = NOT_STARTED if told == FULL else FAILED
            self.clock.at(now + way, lambda: relay.awake(relay.ended, number, node, outcome))

    def hang_up(self, relay: Relay, number: int, node: int) -> None:
        """The relay no longer wants that try."""
        way = self.way(relay.zone, self.zone_of(node))
        self.clock.at(self.clock.now() + way, lambda: self._cancel(node, number))

    def _cancel(self, node: int, number: int) -> None:
        if not self.nodes[node].silent:
            self.nodes[node].cancel(self.clock.now(), number)
            self.look_at(node)

    def look_at(self, node: int) -> None:
        """Sees to it that the node is stepped when its next op ends; never later than was asked before."""
        due, timer = self.nodes[node].due(self.clock.now()), self._node_timers[node]
        if due is None or timer is not None and timer[0] <= due:
            return
        if timer is not None:
            timer[1].cancel()
        self._node_timers[node] = due, self.clock.at(due, lambda: self._step(node))

    def _step(self, node: int) -> None:
        self._node_timers[node] = None
        target, now = self.nodes[node], self.clock.now()
        for number, _ in target.step(now):
            self.done(node, number)
        self.look_at(node)

    def done(self, node: int, number: int) -> None:
        """A node answers an op."""
        relay = self.where.get(number)
        if relay is not None:
            self.clock.at(
                self.clock.now() + self.way(relay.zone, self.zone_of(node)),
                lambda: relay.awake(relay.ended, number, node, "acked"),
            )

    def tried(self, relay: Relay, ask: Ask, node: int, good: bool, time: int) -> None:
        """For the reports of whoever has charge."""
        charge = relay.tables.source(ask.table)
        if charge is not None:
            sums = self.reports.tries[charge].setdefault((relay.zone, node), [0, 0, 0])
            sums[0] += 1
            sums[1] += not good
            sums[2] += time if good else 0
        self.score.tried(self.clock.now(), node, good, time)

    def _ran(self, number: int, op_type: int) -> None:
        self.rules.ran(number, self.names[op_type], self.op_types[op_type].effect == "once-only")

    def _fell(self, node: int) -> None:
        self.score.falls.append(node)
        self.drop(node)

    # Faults.

    def drop(self, node: int) -> None:
        """All connections to a node end, and so do the tries on them; whether it takes new ones is its own state."""
        self.lives[node] += 1
        now = self.clock.now()
        for number, relay in list(self.where.items()):
            if number in relay.ops and relay.ops[number][0].node == node:
                self.clock.at(
                    now + self.way(relay.zone, self.zone_of(node)),
                    lambda relay=relay, number=number: relay.awake(relay.ended, number, node, RESET),
                )

    def _fault(self, name: str, fault: Fault, end: int, whom: dict[str, list[int]]) -> None:
        end += self.begun
        nodes = whom["node"]
        self.score.event(self.clock.now(), f"{name}: {fault.kind} begins", nodes)
        if fault.kind == "lost":
            self._lose(whom, end)
        elif fault.kind == "edit":
            self.discovery.save(fault, nodes)
            self.clock.at(end, self.discovery.right)
        elif fault.kind == "drain":
            self.discovery.change(nodes, "draining", None, (0, 0))
            self.clock.at(end, lambda: self.back(nodes))
        elif fault.kind == "silent":
            for node in nodes:
                self.nodes[node].fault(self.clock.now(), name, "silent", 1.0)
            self.discovery.change(nodes, "removed", None, self.script.discovery.silent)
            self.clock.at(end, lambda: self._reachable(name, nodes, fault.keeps_queue))
        elif fault.kind == "stall":
            self._stall(name, fault, end, whom)
        else:
            for node in nodes:
                self.nodes[node].fault(self.clock.now(), name, fault.kind, fault.strength or 1.0)
            self.clock.at(end, lambda: self._mend(name, nodes))

    def _mend(self, name: object, nodes: list[int]) -> None:
        for node in nodes:
            self.nodes[node].mend(self.clock.now(), name)
            self.look_at(node)

    def _stall(self, name: str, fault: Fault, end: int, whom: dict[str, list[int]]) -> None:
        """Each stands still for the pause, again and again, not all at the same moment."""
        random = chance(self.seed, "stall", name)
        for kind, numbers in whom.items():
            for number in numbers:
                first = self.clock.now() + random.randrange(fault.every)
                for at in range(first, end, fault.every):
                    self.clock.at(
                        at, lambda kind=kind, number=number, at=at: self._stand((name, at), kind, number, fault.pause)
                    )

    def _stand(self, name: object, kind: str, number: int, pause: int) -> None:
        until = self.clock.now() + pause
        if kind == "node":
            self.nodes[number].fault(self.clock.now(), name, "stall", 1.0)
            self.clock.at(until, lambda: self._mend(name, [number]))
        else:
            (self.relays if kind == "relay" else self.seats)[number].stand(until)

    def _lose(self, whom: dict[str, list[int]], end: int) -> None:
        for number in whom["relay"]:
            self._lose_relay(self.relays[number], end)
        for number in whom["conductor"]:
            self._lose_conductor(self.seats[number], end)
        for node in whom["node"]:
            self.nodes[node].kill(self.clock.now())
            self.drop(node)
        if whom["node"]:
            self.discovery.change(whom["node"], "removed", None, self.script.discovery.notice)
            self.clock.at(end, lambda: self.back(whom["node"]))

    def back(self, nodes: list[int], keeps_queue: bool = False) -> None:
        """Their processes start: cold, and listed as such a little later."""
        now = self.clock.now()
        for node in nodes:
            self.nodes[node].start(now, keeps_queue)
            self.boots[node] = now
            self.drop(node)
            self.look_at(node)
        nodes = [node for node in nodes if not self.nodes[node].fallen]
        self.discovery.change(nodes, "up", now, self.script.discovery.add)
        self.score.event(now, "back", nodes)

    def _reachable(self, name: str, nodes: list[int], keeps_queue: bool) -> None:
        for node in nodes:
            self.nodes[node].mend(self.clock.now(), name)
        self.back(nodes, keeps_queue)

    def _lose_relay(self, relay: Relay, end: int) -> None:
        if not relay.alive:
            return
        notice = self.random.randint(*self.script.relays.notice)
        for conductor in list(relay.streams):
            self.hub.part(relay, conductor, notice)
        relay.kill()
        self.clock.at(end, lambda: self._relay_back(relay))

    def _relay_back(self, relay: Relay) -> None:
        relay.start()
        for seat in self.seats:
            self.redial(relay, seat.number)

    def redial(self, relay: Relay, conductor: int) -> None:
        at = self.clock.now() + relay.random.randint(*self.script.relays.redial)
        self.clock.at(at, lambda: self.hub.join(relay, conductor))

    def _lose_conductor(self, seat: Any, end: int) -> None:
        """Its streams break, its slices pass to whoever lives, and go home some time after it is back."""
        if not seat.alive:
            return
        seat.kill()
        self.rules.ended(seat.number, range(len(self.nodes)))
        for relay in self.relays:
            relay.streams.pop(seat.number, None)
        random, now = self.hub.random, self.clock.now()
        orphans = [table for table, charge in enumerate(self.hub.charge) if charge == seat.number]
        for table in orphans:
            self.hub.charge[table] = None
            self.rules.given(now, table, range(len(self.relays)))
        self.clock.at(now + random.randint(*self.script.rules.takeover), lambda: self._take_over(orphans))
        self.clock.at(end, lambda: self._conductor_back(seat))

    def _take_over(self, orphans: list[int]) -> None:
        living = [seat.number for seat in self.seats if seat.alive]
        for place, table in enumerate(orphans):
            if self.hub.charge[table] is None and living:
                self.hub.give(table, living[place % len(living)])

    def _conductor_back(self, seat: Any) -> None:
        self.begin(seat)
        for relay in self.relays:
            self.redial(relay, seat.number)
        at = self.clock.now() + self.hub.random.randint(*self.script.rules.rehome)
        self.clock.at(at, lambda: self._rehome(seat))

    def _rehome(self, seat: Any) -> None:
        if seat.alive:
            for table, home in enumerate(self.hub.home):
                if home == seat.number and self.hub.charge[table] != seat.number:
                    self.hub.give(table, seat.number)


class Standing(Policy):
    """The baseline: every slice stays where it is until it has lost its node. No load move, no bar."""

    def __init__(self, now: int, seed: int, settings: dict) -> None:
        super().__init__(now, seed, settings)
        self.health.judge = lambda *_: None

    def turn(self, now: int) -> None:
        """Nothing moves for its load."""
