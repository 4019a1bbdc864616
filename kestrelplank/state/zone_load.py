"""Per-zone sums that assigners exchange, and their combination.

Only sums are exchanged, never single nodes, so that the messages stay small.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from kestrelplank.state.membership_datagram import ZoneSums


class ObservedNode(NamedTuple):
    """One node as observed by an assigner.

    :param ready: whether the node may receive requests.
    :param attempts_per_s: attempts sent to the node.
    :param acknowledged_per_s: of these, the attempts acknowledged.
    """

    zone: int | None
    ready: bool
    attempts_per_s: float
    acknowledged_per_s: float


class ZoneTotals(NamedTuple):
    """A zone's totals over all reporting assigners; the field names appear in the status output.

    :param demand: attempts per second, the sum over assigners, as each sees only its own slices.
    :param capacity: acknowledgements per second, the minimum over assigners: all see the same nodes, some possibly from
        the wrong side of a partition.
    :param ready: ready nodes, the minimum over assigners.
    :param told_by: the number of assigners whose sums are included.
    """

    demand: int
    capacity: int
    ready: int
    told_by: int


def zone_sums(nodes: Iterable[ObservedNode], best_node_per_s: float) -> list[ZoneSums]:
    """Return the sums of each zone, in the order of zones; nodes of unknown zone are left out.

    :param best_node_per_s: the highest observed acknowledgements per second of one node.
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
    """Combine this assigner's sums with those of the other live members, by zone."""
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
