"""The network of a rehearsal, without sockets: tries on their way to nodes, and how they end."""

from typing import Any

from kestrelplank.emulator.node import NOT_STARTED as FULL
from kestrelplank.emulator.node import TAKEN
from kestrelplank.emulator.part import Part
from kestrelplank.emulator.relays import ClientOp, Relay
from kestrelplank.load_balancing.operations import AttemptOutcome, Op


class Network(Part):
    """`first` counts first tries, `cross` tries to another zone."""

    def __init__(self, world) -> None:
        super().__init__(world, "network")
        self.cross = self.first = 0
        self.lives = [0] * world.script.site.nodes  # of each node's connections
        self._timers: list[Any] = [None] * world.script.site.nodes

    def way(self, one: int, other: int) -> int:
        """The time that a message takes from one zone to another (ns)."""
        net = self.world.script.network
        return self.random.randint(*(net.same if one == other else net.cross))

    def way_to(self, relay: Relay, node: int) -> int:
        """The same between a relay and a node."""
        return self.way(relay.zone, self.world.zone_of(node))

    def carry(self, relay: Relay, op: Op, asked: ClientOp, node: int) -> None:
        """A relay sends an op to a node; each end of it is told through `relay.ended`."""
        world, now, owner = self.world, self.clock.now(), relay.tables.source(op.table)
        way = self.way_to(relay, node)
        self.first += len(op.attempted_nodes) == 1
        self.cross += relay.zone != world.zone_of(node)
        knowing = False
        stream = relay.streams.get(owner)
        if stream is not None and owner == world.hub.owner[op.table]:
            since = max(stream.joined_at, world.hub.assigned_at[op.table])
            world.rules.sent(now, relay.number, owner, node, since)
            knowing = world.rules.knowing(now, owner, node, relay.ordered_at[owner])
        self.reach(relay, op.number, asked, node, way, knowing)

    def end(self, relay: Relay, number: int, node: int, outcome: AttemptOutcome, after: int) -> None:
        """The relay hears after that time (ns) how a try has ended."""
        clock = self.clock
        clock.at(clock.now() + after, lambda: relay.when_awake(relay.ended, number, node, outcome))

    def reach(self, relay: Relay, number: int, asked: ClientOp, node: int, way: int, knowing: bool) -> None:
        """What a dial and a send meet."""
        target, clock = self.world.nodes[node], self.clock
        known = relay.connected.get(node) == self.lives[node]
        if not known and target.silent:
            self.end(relay, number, node, AttemptOutcome.REFUSED, self.world.script.relays.dial)
        elif target.down and not target.silent:
            self.end(relay, number, node, AttemptOutcome.REFUSED, 2 * way)
        else:
            relay.connected[node] = self.lives[node]
            clock.at(clock.now() + way, lambda: self._offer(relay, number, asked, node, way, not known, knowing))

    def _offer(self, relay: Relay, number: int, asked: ClientOp, node: int, way: int, new: bool, knowing: bool) -> None:
        target, now = self.world.nodes[node], self.clock.now()
        if target.down and not target.silent:
            self.end(relay, number, node, AttemptOutcome.RESET, way)
            return
        told = target.offer(now, number, asked.op_type, asked.work, asked.key, new, knowing)
        self.world.rules.pushed(node, target.worst_push)
        if target.silent:
            return
        if told == TAKEN:
            self.look_at(node)
        else:
            self.end(relay, number, node, AttemptOutcome.NOT_STARTED if told == FULL else AttemptOutcome.FAILED, way)

    def hang_up(self, relay: Relay, number: int, node: int) -> None:
        """The relay no longer wants that try."""
        clock = self.clock
        clock.at(clock.now() + self.way_to(relay, node), lambda: self.cancel(node, number))

    def cancel(self, node: int, number: int) -> None:
        """A node hears that nobody waits for an op."""
        if not self.world.nodes[node].silent:
            self.world.nodes[node].cancel(self.clock.now(), number)
            self.look_at(node)

    def look_at(self, node: int) -> None:
        """Sees to it that the node is stepped when its next op ends; never later than was asked before."""
        due, timer = self.world.nodes[node].due(self.clock.now()), self._timers[node]
        if due is None or timer is not None and timer[0] <= due:
            return
        if timer is not None:
            timer[1].cancel()
        self._timers[node] = due, self.clock.at(due, lambda: self._step(node))

    def _step(self, node: int) -> None:
        self._timers[node] = None
        for number, _ in self.world.nodes[node].step(self.clock.now()):
            self.done(node, number)
        self.look_at(node)

    def done(self, node: int, number: int) -> None:
        """A node answers an op."""
        relay = self.world.clients.relay_of.get(number)
        if relay is not None:
            self.end(relay, number, node, AttemptOutcome.SUCCEEDED, self.way_to(relay, node))

    def drop(self, node: int) -> None:
        """All connections to a node end, and so do the tries on them; whether it takes new ones is its own state."""
        self.lives[node] += 1
        for number, relay in list(self.world.clients.relay_of.items()):
            if number in relay.ops and relay.ops[number].op.node == node:
                self.end(relay, number, node, AttemptOutcome.RESET, self.way_to(relay, node))
