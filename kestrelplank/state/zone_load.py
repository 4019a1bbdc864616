"""What an assigner tells others of zones, and what it makes of what they tell: sums, never nodes, in few bytes."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kestrelplank.state.membership_datagram import ZoneSums


class ObservedNode(NamedTuple):
    """One node as an assigner sees it.

    :param ready: whether it may be sent to.
    :param attempts_per_s: that it met.
    :param acknowledged_per_s: of these.
    """

    zone: int | None
    ready: bool
    attempts_per_s: float
    acknowledged_per_s: float


class ZoneTotals(NamedTuple):
    """A zone as all that are heard see it; the fields have their names in the status output too.

    :param demand: attempts a second; they add up, as each assigner sees its own slices' part.
    :param capacity: acknowledgements a second. The least counts, as each sees the same nodes, some of them from the
        wrong side of a partition; of `ready` nodes too.
    :param told_by: assigners whose sums are in it.
    """

    demand: int
    capacity: int
    ready: int
    told_by: int


def zone_sums(nodes: Iterable[ObservedNode], best_node_per_s: float) -> list[ZoneSums]:
    """Return the sums of each zone, in the order of zones; nodes whose zone is unknown are left out.

    :param best_node_per_s: acknowledgements a second that one node was seen to do at its best.
    """
    demand: dict[int, float] = {}
    ready: dict[int, int] = {}
    for node in nodes:
        if node.zone is not None:
            demand[node.zone] = demand.get(node.zone, 0.0) + node.attempts_per_s
            ready[node.zone] = ready.get(node.zone, 0) + node.ready
    return [
        ZoneSums(zone, round(demand[zone]), round(best_node_per_s * ready[zone]), ready[zone])
        for zone in sorted(demand)
    ]


def combine_zone_sums(own: Iterable[ZoneSums], others: Mapping[int, Iterable[ZoneSums]]) -> dict[int, ZoneTotals]:
    """Return all zones, from one's own sums and those of members that are alive; with no others they are one's own."""
    totals: dict[int, ZoneTotals] = {}
    for member_sums in (own, *(others[number] for number in sorted(others))):
        for sums in member_sums:
            former = totals.get(sums.zone)
            if former is None:
                totals[sums.zone] = ZoneTotals(sums.demand, sums.capacity, sums.ready, 1)
            else:
                totals[sums.zone] = ZoneTotals(
                    former.demand + sums.demand,
                    min(former.capacity, sums.capacity),
                    min(former.ready, sums.ready),
                    former.told_by + 1,
                )
    return dict(sorted(totals.items()))
