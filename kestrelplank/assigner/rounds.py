"""Collects events, runs the policy once per round, and forwards its orders."""

from typing import Protocol

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.interface import Event, NodeReport, ProxyReport, SliceReport, TimerFired
from kestrelplank.policy import Policy
from kestrelplank.sockets.loop import Loop

MAX_EVENTS = 50_000  # while rounds are delayed; only reports are dropped beyond this
MAX_LOG_TEXT_LENGTH = 200


class NodeHolder(Protocol):
    """A component that keeps state for each node."""

    def forget(self, node: int) -> None:
        """Remove the state of a node."""


class RoundRunner:
    """Writes the policy's orders, and collects the events of its next round.

    A round runs `gather_ns` after its first event, so that the number of rounds does not depend on the number of reads.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        policy: Policy,
        gather_ns: int,
        orders: OrderQueue,
        discovery: NodeDiscovery,
        checks: HealthChecks,
        peers: PeerDatagrams | None,
    ) -> None:
        self._loop, self._counters, self._policy, self._gather_ns = loop, counters, policy, gather_ns
        self._orders, self._peers = orders, peers
        self._events: list[Event] = []
        self._round_due = False
        self.set_endpoint, self.clear_table = orders.set_endpoint, orders.clear_table
        self.set_withdrawn, self.set_admission = orders.set_withdrawn, orders.set_admission
        self.request_acknowledgement = orders.request_acknowledgement
        self.check_health, self.fetch_nodes = checks.check, discovery.fetch
        self.holders: list[NodeHolder] = [orders, discovery, checks]  # notified when a node is forgotten

    def on_event(self, event: Event) -> None:
        """Add an event to the next round."""
        if len(self._events) >= MAX_EVENTS and isinstance(event, NodeReport | SliceReport | ProxyReport):
            self._counters.add("reports_dropped")
            return
        self._events.append(event)
        if not self._round_due:
            self._round_due = True
            self._loop.at(self._loop.now() + self._gather_ns, self._run_round)

    def _run_round(self) -> None:
        if self._orders.is_full():
            self._counters.add("rounds_held_up")
            self._loop.at(self._loop.now() + self._gather_ns, self._run_round)
            return
        events, self._events, self._round_due = self._events, [], False
        self._counters.add("rounds")
        try:
            self._policy.round(self._loop.now(), events, self)
        finally:
            self._orders.close_round()

    # Orders that are not sent to the relay.

    def bind_proxy(self, proxy: int, table: int, op_types: int) -> None:  # noqa: ARG002 - signature of OrderWriter
        """Drop the order: the relay's protocol has no equivalent."""
        self._counters.record_fault("orders_dropped", "the relay has no order that binds a proxy to a table")

    def send_to_peers(self, peer: int | None, body: bytes) -> None:
        """Send a datagram, if the settings allow datagrams between assigners."""
        if self._peers:
            self._peers.send(peer, body)
        else:
            self._counters.record_fault("datagrams_not_sent", "the settings allow no datagrams between assigners")

    def share_loads(self, loads: dict[int, float]) -> None:
        """Send loads to all peers, if the settings allow datagrams between assigners."""
        if self._peers:
            self._peers.share_loads(loads)

    def watch_nodes(self, enabled: bool) -> None:
        """Do nothing: the node list is always watched."""

    def set_timer(self, at: int, name: str) -> None:
        """Add a `TimerFired` event at an instant."""
        self._loop.at(at, lambda: self.on_event(TimerFired(name)))

    def forget_node(self, node: int) -> None:
        """Remove a node's state from every component."""
        for holder in self.holders:
            holder.forget(node)

    def log(self, text: str) -> None:
        """Log a line."""
        self._counters.info("note", text=text[:MAX_LOG_TEXT_LENGTH])
