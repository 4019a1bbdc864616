"""Membership over the datagrams between conductors, for installations that allow them: ticks, takes and shows."""

from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.sockets.loop import Loop
from kestrelplank.state.digest import Seen, together, zone_sums
from kestrelplank.state.membership import Malformed, Membership

AGE = 3_000_000_000  # of sums that are still shown


class MembershipGossip:
    """`tell(None, body)` sends to all; `seen()` gives the nodes as the module sees them, `best()` what one acks in a
    second."""

    def __init__(
        self,
        loop: Loop,
        counters: Counters,
        membership: Membership,
        every: int,
        tell: Callable[[None, bytes], None],
        seen: Callable[[], list[Seen]],
        best: Callable[[], float],
    ) -> None:
        self._loop, self._counters, self._membership, self._every = loop, counters, membership, every
        self._tell, self._seen, self._best = tell, seen, best
        self._timer = loop.at(loop.now(), self._tick)
        self._view = 0

    def _tick(self) -> None:
        now = self._loop.now()
        self._membership.told(zone_sums(self._seen(), self._best()))
        body = self._membership.tick(now)
        if body is not None:
            self._tell(None, body)
        view = self._membership.view(now)
        if view.version != self._view:
            self._view = view.version
            self._counters.info("members", view=view.version, alive=",".join(map(str, view.alive)))
        self._timer = self._loop.at(now + self._every, self._tick)

    def take(self, sender: int, body: bytes) -> None:
        try:
            self._counters.add("members_news" if self._membership.take(self._loop.now(), body) else "members_old")
        except Malformed as err:
            self._counters.trouble("members_unreadable", err)

    def shown(self) -> dict:
        now = self._loop.now()
        view = self._membership.view(now)
        zones = together(zone_sums(self._seen(), self._best()), self._membership.zones(now, AGE))
        return {
            "view": view.version,
            "alive": view.alive,
            "zones": {zone: found._asdict() for zone, found in zones.items()},
        }

    def close(self) -> None:
        self._timer.cancel()
