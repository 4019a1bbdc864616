"""The slice store: the nodes and the owner of each slice, and the channel of each assigner."""

from collections.abc import Sequence

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.load_profile import LoadProfile
from kestrelplank.emulator.proxies import EmulatedProxy, OrderMessage, OrderStream
from kestrelplank.interface import EndpointStored, ProxyJoined, ProxyLeft, SliceOwnership
from kestrelplank.state.table_orders import ClearTable, SetEndpoint, TableOrder
from kestrelplank.state.tables import with_weight
from kestrelplank.time_units import SECOND


class SliceStore:
    """Stores slices, and sends orders to proxies.

    Invariant: a slice has at most one owner; orders of other assigners for it are ignored.
    """

    def __init__(
        self,
        environment: Environment,
        load: LoadProfile,
        proxies: Sequence[EmulatedProxy],
        assigners: Sequence[Assigner],
    ) -> None:
        self._environment, self._load = environment, load
        self._proxies, self._assigners = proxies, assigners
        self._clock = environment.clock
        self.random = environment.random("hub")
        site = environment.script.site
        self.weights: list[dict[int, float]] = [{} for _ in range(site.slices)]  # by slice: the weights of its nodes
        self.owner: list[int | None] = [None] * site.slices
        self.home = [number % site.conductors for number in range(site.slices)]  # owner while all assigners live
        self.assigned_at = [0] * site.slices
        self._channel_free_at = [0] * site.conductors  # by assigner: when its channel has sent all queued orders
        self.messages = self.orders_sent = self.moves = self._last_stream = 0

    # Orders.

    def execute(self, assigner: int, orders: list[TableOrder]) -> None:
        """Store the orders of one round, and send them as one message to each joined proxy.

        Orders for slices that the assigner does not own are ignored.
        """
        valid = [order for order in orders if self._may_order(assigner, order)]
        for order in valid:
            self._store(order)
        if valid:
            self._send(assigner, valid)

    def _may_order(self, assigner: int, order: TableOrder) -> bool:
        return not isinstance(order, SetEndpoint | ClearTable) or self.owner[order.table] == assigner

    def _store(self, order: TableOrder) -> None:
        match order:
            case SetEndpoint(slice_, node, weight):
                self.moves += bool(weight) and node not in self.weights[slice_]
                self.weights[slice_] = with_weight(self.weights[slice_], node, weight)
            case ClearTable(slice_):
                self.weights[slice_] = {}

    def _send(self, assigner: int, orders: list[TableOrder]) -> None:
        script, now = self._environment.script, self._clock.now()
        channel = script.channel
        cost = len(orders) + channel.envelope
        leaves_at = max(now, self._channel_free_at[assigner])
        self.messages += 1
        for proxy in self._proxies:
            stream = proxy.streams.get(assigner)
            if stream is None:
                continue
            leaves_at += round(cost / channel.lines_per_s * SECOND)
            transit_ns = self.random.randint(*channel.transit) + len(orders) * script.proxies.apply_line
            stream.delivered_at = max(stream.delivered_at, leaves_at + transit_ns)
            self.orders_sent += cost
            self._deliver(proxy, stream, OrderMessage(assigner, stream.number, stream.next_message, orders, now))
            stream.next_message += 1
        self._channel_free_at[assigner] = leaves_at
        self._environment.rules.channel_queued(assigner, (leaves_at - now) / SECOND * channel.lines_per_s)

    def _deliver(self, proxy: EmulatedProxy, stream: OrderStream, message: OrderMessage) -> None:
        self._clock.at(stream.delivered_at, lambda: proxy.call_when_resumed(lambda: proxy.apply(message)))

    # Owners.

    def assign(self, slice_: int, assigner: int) -> None:
        """Make an assigner the owner of a slice; proxies that are joined to it read the slice from the store."""
        now, rules = self._clock.now(), self._environment.rules
        old, self.owner[slice_] = self.owner[slice_], assigner
        if old is not None and self._assigners[old].alive:
            self._assigners[old].notify(SliceOwnership(slice_, False))
        self.assigned_at[slice_] = now
        rules.owner_changed(now, slice_, range(self._environment.script.site.relays))
        self._assigners[assigner].notify(SliceOwnership(slice_, True))
        for node, weight in self.weights[slice_].items():
            self._assigners[assigner].notify(EndpointStored(slice_, node, weight))
        for proxy in self._proxies:
            if assigner in proxy.streams:
                self._read(proxy, assigner, [slice_])

    def take_from(self, assigner: int) -> list[int]:
        """Remove an assigner that has ended as the owner of its slices; return these."""
        now = self._clock.now()
        slices = [slice_ for slice_, owner in enumerate(self.owner) if owner == assigner]
        for slice_ in slices:
            self.owner[slice_] = None
            self._environment.rules.owner_changed(now, slice_, range(len(self._proxies)))
        return slices

    # Streams.

    def join(self, proxy: EmulatedProxy, assigner: int) -> None:
        """Connect a proxy to an assigner's stream, if both are alive and it is not connected yet."""
        if not proxy.alive or not self._assigners[assigner].alive or assigner in proxy.streams:
            return
        self._last_stream += 1
        proxy.streams[assigner] = OrderStream(self._last_stream, self._clock.now())
        proxy.ordered_at[assigner] = 0
        fresh = not proxy.tables.has_assigner(assigner)
        proxy.tables.begin_stream(assigner)
        ops_per_s = self._load.ops_per_s(self._clock.now()) / len(self._proxies)
        self._assigners[assigner].notify(ProxyJoined(proxy.number, proxy.zone, ops_per_s, fresh))
        self._read(proxy, assigner, [slice_ for slice_, owner in enumerate(self.owner) if owner == assigner])

    def leave(self, proxy: EmulatedProxy, assigner: int, notice_ns: int) -> None:
        """End a proxy's stream; the assigner is notified after a delay."""
        proxy.streams.pop(assigner, None)
        self._assigners[assigner].notify(ProxyLeft(proxy.number), notice_ns)

    def _read(self, proxy: EmulatedProxy, assigner: int, slices: list[int]) -> None:
        """Let the proxy read these slices from the store at once, ahead of messages in transit."""
        for slice_ in slices:
            proxy.tables.set_table(slice_, assigner, self.weights[slice_])
        proxy.call_when_resumed(lambda: proxy.tables_changed(slices))
