"""Gathers what all parties tell, gives it to the decision module once a round, and passes its orders on."""

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.discovery import Discovery
from kestrelplank.assigner.orders import Orders
from kestrelplank.assigner.peers import Peers
from kestrelplank.assigner.probes import Probes
from kestrelplank.policy import Conductor as Policy
from kestrelplank.sockets.loop import Loop

MOST_EVENTS = 50_000  # gathered while rounds are held up; what comes beyond that is reports, as a rule
REPORTS = ("tries", "heat", "demand")


class Conductor:
    """The writer that the module orders through, and the events of its next round. A round is held `gather`
    after the first event, so that its cost follows the time and not the reads."""

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        policy: Policy,
        gather: int,
        orders: Orders,
        discovery: Discovery,
        probes: Probes,
        peers: Peers | None,
    ) -> None:
        self._loop, self._counters, self._policy, self._gather = loop, counters, policy, gather
        self._orders, self._discovery, self._probes, self._peers = orders, discovery, probes, peers
        self._events: list[tuple] = []
        self._due = False
        self.line, self.clear, self.take_out = orders.line, orders.clear, orders.take_out
        self.level, self.mark = orders.level, orders.mark
        self.probe, self.fetch = probes.probe, discovery.fetch
        self.holders = [orders, discovery, probes]  # whoever holds something of a node, to be forgotten with it

    def on_event(self, event: tuple) -> None:
        if len(self._events) >= MOST_EVENTS and event[0] in REPORTS:
            self._counters.add("reports_dropped")
            return
        self._events.append(event)
        if not self._due:
            self._due = True
            self._loop.at(self._loop.now() + self._gather, self._round)

    def _round(self) -> None:
        if self._orders.full():
            self._counters.add("rounds_held_up")
            self._loop.at(self._loop.now() + self._gather, self._round)
            return
        events, self._events, self._due = self._events, [], False
        self._counters.add("rounds")
        try:
            self._policy.round(self._loop.now(), events, self)
        finally:
            self._orders.close_round()

    # The orders that go to no relay.

    def bind(self, proxy: int, table: int, op_types: int) -> None:
        self._counters.trouble("orders_dropped", "the relay has no order that binds a proxy")

    def tell(self, peer: int | None, body: bytes) -> None:
        if self._peers:
            self._peers.tell(peer, body)
        else:
            self._counters.trouble("datagrams_not_sent", "not allowed")

    def share(self, parts: dict[int, float]) -> None:
        if self._peers:
            self._peers.share(parts)

    def watch(self, on: bool) -> None:
        """Discovery is watched from the start."""

    def timer(self, at: int, name: str) -> None:
        self._loop.at(at, lambda: self.on_event(("timer", name)))

    def forget(self, node: int) -> None:
        for part in self.holders:
            part.forget(node)

    def note(self, text: str) -> None:
        self._counters.info("note", text=text[:200])
