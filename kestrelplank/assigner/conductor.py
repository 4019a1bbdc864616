"""Gathers what all parties tell, gives it to the decision module once a round, and passes its orders on."""

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.discovery import Discovery
from kestrelplank.assigner.orders import Orders
from kestrelplank.assigner.peers import Peers
from kestrelplank.assigner.probes import Probes
from kestrelplank.interface import Event, NodeReport, ProxyReport, SliceReport, TimerFired
from kestrelplank.policy import Policy
from kestrelplank.sockets.loop import Loop

MOST_EVENTS = 50_000  # gathered while rounds are held up; what comes beyond that is reports, as a rule
REPORTS = (NodeReport, SliceReport, ProxyReport)


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
        self._events: list[Event] = []
        self._due = False
        self.set_endpoint, self.clear_table = orders.set_endpoint, orders.clear_table
        self.set_withdrawn, self.set_admission = orders.set_withdrawn, orders.set_admission
        self.request_acknowledgement = orders.request_acknowledgement
        self.check_health, self.fetch_nodes = probes.probe, discovery.fetch
        self.holders = [orders, discovery, probes]  # whoever holds something of a node, to be forgotten with it

    def on_event(self, event: Event) -> None:
        if len(self._events) >= MOST_EVENTS and isinstance(event, REPORTS):
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

    def bind_proxy(self, proxy: int, table: int, op_types: int) -> None:
        self._counters.trouble("orders_dropped", "the relay has no order that binds a proxy")

    def send_to_peers(self, peer: int | None, body: bytes) -> None:
        if self._peers:
            self._peers.tell(peer, body)
        else:
            self._counters.trouble("datagrams_not_sent", "not allowed")

    def share_loads(self, loads: dict[int, float]) -> None:
        if self._peers:
            self._peers.share(loads)

    def watch_nodes(self, enabled: bool) -> None:
        """Discovery is watched from the start."""

    def set_timer(self, at: int, name: str) -> None:
        self._loop.at(at, lambda: self.on_event(TimerFired(name)))

    def forget_node(self, node: int) -> None:
        for part in self.holders:
            part.forget(node)

    def log(self, text: str) -> None:
        self._counters.info("note", text=text[:200])
