"""Membership gossip over the datagrams between assigners, for installations that allow them."""

from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.sockets.loop import Loop
from kestrelplank.state.membership import Membership
from kestrelplank.state.membership_datagram import MalformedDatagramError
from kestrelplank.state.zone_load import ObservedNode, combine_zone_sums, zone_sums

SUMS_VALID_NS = 3_000_000_000  # how long sums of other assigners count in the status


class MembershipGossip:
    """Drives `Membership` with ticks and received datagrams, sends its datagrams, and reports its status.

    :param send: `send(None, body)` sends to all assigners.
    :param nodes: returns the nodes as the policy sees them.
    :param best: returns the highest rate that a node has acknowledged, in operations per second.
    """

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        membership: Membership,
        interval_ns: int,
        send: Callable[[None, bytes], None],
        nodes: Callable[[], list[ObservedNode]],
        best: Callable[[], float],
    ) -> None:
        self._loop, self._counters, self._membership = loop, counters, membership
        self._interval_ns, self._send, self._nodes, self._best = interval_ns, send, nodes, best
        self._timer = loop.at(loop.now(), self._tick)
        self._logged_view = 0

    def _tick(self) -> None:
        now = self._loop.now()
        self._membership.set_zone_sums(zone_sums(self._nodes(), self._best()))
        body = self._membership.tick(now)
        if body is not None:
            self._send(None, body)
        view = self._membership.view(now)
        if view.version != self._logged_view:
            self._logged_view = view.version
            self._counters.info("members", view=view.version, alive=",".join(map(str, view.alive)))
        self._timer = self._loop.at(now + self._interval_ns, self._tick)

    def receive(self, sender: int, body: bytes) -> None:  # noqa: ARG002 - the body names the sender
        """Handle a peer's datagram."""
        try:
            self._counters.add("members_news" if self._membership.receive(self._loop.now(), body) else "members_old")
        except MalformedDatagramError as err:
            self._counters.record_fault("members_unreadable", err)

    def status(self) -> dict[str, object]:
        """Return the live members, and the zones' sums over all assigners."""
        now = self._loop.now()
        view = self._membership.view(now)
        zones = combine_zone_sums(
            zone_sums(self._nodes(), self._best()), self._membership.zone_sums(now, SUMS_VALID_NS)
        )
        return {
            "view": view.version,
            "alive": view.alive,
            "zones": {zone: sums._asdict() for zone, sums in zones.items()},
        }

    def close(self) -> None:
        """Stop ticking."""
        self._timer.cancel()
