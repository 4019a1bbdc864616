"""What a conductor tells others of zones, and what it makes of what they tell: sums, never nodes, in few bytes."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kestrelplank.state.membership import Sums


class Seen(NamedTuple):
    """One node as a conductor sees it: zone, whether it may be sent to, its tries and acks a second here."""

    zone: int | None
    ready: bool
    tries: float
    acked: float


def zone_sums(nodes: Iterable[Seen], best: float) -> list[Sums]:
    """By zone: tries a second that its nodes met, what its ready nodes can ack a second at the best that one was seen
    to do, and how many are ready. Nodes whose zone is unknown are left out. Zones in order."""
    demand: dict[int, float] = {}
    ready: dict[int, int] = {}
    for node in nodes:
        if node.zone is not None:
            demand[node.zone] = demand.get(node.zone, 0.0) + node.tries
            ready[node.zone] = ready.get(node.zone, 0) + node.ready
    return [Sums(zone, round(demand[zone]), round(best * ready[zone]), ready[zone]) for zone in sorted(demand)]


class Zone(NamedTuple):
    """A zone as all that are heard see it: demand adds up, as each conductor sees its own slices' part; of capacity and
    of ready nodes the least counts, as each sees the same nodes, some of them from the wrong side of a cut."""

    demand: int
    capacity: int
    ready: int
    told_by: int


def together(own: Iterable[Sums], others: Mapping[int, Iterable[Sums]]) -> dict[int, Zone]:
    """All zones, from one's own sums and those of members that are alive. With no others it is one's own."""
    found: dict[int, Zone] = {}
    for sums in (own, *(others[number] for number in sorted(others))):
        for one in sums:
            held = found.get(one.zone)
            if held is None:
                found[one.zone] = Zone(one.demand, one.capacity, one.ready, 1)
            else:
                found[one.zone] = Zone(
                    held.demand + one.demand,
                    min(held.capacity, one.capacity),
                    min(held.ready, one.ready),
                    held.told_by + 1,
                )
    return dict(sorted(found.items()))
