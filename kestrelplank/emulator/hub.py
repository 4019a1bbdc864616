"""The hub of a rehearsal: the store of lines, which conductor owns which slice, and each conductor's channel."""

from kestrelplank.emulator.part import Part
from kestrelplank.emulator.relays import Relay, Stream
from kestrelplank.state.tables import with_line


class Hub(Part):
    """`owner` and `home` are the conductors that own a slice now (or None) and when all live."""

    def __init__(self, world) -> None:
        super().__init__(world, "hub")
        site = world.script.site
        self.lines: list[dict[int, float]] = [{} for _ in range(site.slices)]
        self.owner: list[int | None] = [None] * site.slices
        self.home = [number % site.conductors for number in range(site.slices)]
        self.assigned_at = [0] * site.slices
        self._free_at = [0] * site.conductors  # when the channel will have sent all that waits
        self.messages = self.line_count = self.moves = self._streams = 0

    def call(self, conductor: int, orders: list[tuple]) -> None:
        """One call's orders: into the store, and as one message to each joined relay. What is for a slice that the
        conductor does not own changes nothing."""
        orders = [order for order in orders if order[0] not in ("line", "clear") or self.owner[order[1]] == conductor]
        for order in orders:
            self._store(*order)
        if orders:
            self._send(conductor, orders)

    def _store(self, word: str, *fields) -> None:
        if word == "line":
            table, node, weight = fields
            self.moves += bool(weight) and node not in self.lines[table]
            self.lines[table] = with_line(self.lines[table], node, weight)
        elif word == "clear":
            self.lines[fields[0]] = {}

    def _send(self, conductor: int, orders: list[tuple]) -> None:
        world, now, channel = self.world, self.clock.now(), self.world.script.channel
        cost = len(orders) + channel.envelope
        leaves = max(now, self._free_at[conductor])
        self.messages += 1
        for relay in world.relays:
            stream = relay.streams.get(conductor)
            if stream is None:
                continue
            leaves += round(cost / channel.lines_per_s * 1e9)
            transit = self.random.randint(*channel.transit) + len(orders) * world.script.relays.apply_line
            stream.delivered_at = max(stream.delivered_at, leaves + transit)
            self.line_count += cost
            message = conductor, stream.number, stream.next_message, orders, now
            stream.next_message += 1
            self.clock.at(
                stream.delivered_at, lambda relay=relay, message=message: relay.when_awake(relay.apply, *message)
            )
        self._free_at[conductor] = leaves
        world.rules.queue(conductor, (leaves - now) / 1e9 * channel.lines_per_s)

    def assign(self, table: int, conductor: int) -> None:
        """Hands a slice over; its lines go along, and relays joined to the new owner read them from the store."""
        world, now = self.world, self.clock.now()
        old, self.owner[table] = self.owner[table], conductor
        if old is not None and world.conductors[old].alive:
            world.conductors[old].tell(("tenure", table, False))
        self.assigned_at[table] = now
        world.rules.given(now, table, range(world.script.site.relays))
        world.conductors[conductor].tell(("tenure", table, True))
        for node, weight in self.lines[table].items():
            world.conductors[conductor].tell(("line", table, node, weight))
        for relay in world.relays:
            if conductor in relay.streams:
                self._read(relay, conductor, [table])

    def orphan(self, conductor: int) -> list[int]:
        """A conductor's life is over: nobody owns its slices, which are returned."""
        world, now = self.world, self.clock.now()
        orphans = [table for table, owner in enumerate(self.owner) if owner == conductor]
        for table in orphans:
            self.owner[table] = None
            world.rules.given(now, table, range(len(world.relays)))
        return orphans

    def _read(self, relay: Relay, conductor: int, tables: list[int]) -> None:
        """The relay reads these from the store by itself, at once with all that is on its way behind it."""
        for table in tables:
            relay.tables.read(table, conductor, self.lines[table])
        relay.when_awake(relay.tables_changed, tables)

    def join(self, relay: Relay, conductor: int) -> None:
        """The relay's stream from that conductor stands."""
        world = self.world
        if not relay.alive or not world.conductors[conductor].alive or conductor in relay.streams:
            return
        self._streams += 1
        relay.streams[conductor] = Stream(self._streams, self.clock.now())
        relay.ordered_at[conductor] = 0
        fresh = not relay.tables.known(conductor)
        relay.tables.joined(conductor)
        rate = world.clients.rate(self.clock.now()) / len(world.relays)
        world.conductors[conductor].tell(("joined", relay.number, relay.zone, rate, fresh))
        self._read(relay, conductor, [table for table, owner in enumerate(self.owner) if owner == conductor])

    def leave(self, relay: Relay, conductor: int, notice: int) -> None:
        """The stream has broken; the conductor hears so after that time (ns)."""
        relay.streams.pop(conductor, None)
        self.world.conductors[conductor].tell(("left", relay.number), notice)
