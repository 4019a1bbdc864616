"""Spillover: the work of a zone that exceeds its own capacity is sent to other zones.

Nearer zones are used before farther ones, each up to a limit on its spare capacity. Work over all limits is reported as
unserved. Amounts are work per second.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

NEGLIGIBLE = 1e-9  # smaller amounts are rounding errors

Flow = tuple[int, int]  # from zone, to zone
Choices = Mapping[int, Sequence[int]]  # zone to the zones that may serve its spill


class SpilloverPlan(NamedTuple):
    """The assignment of work to zones.

    :param flows: work by zone of origin and serving zone, including work served in its own zone.
    :param unserved: work by zone of origin that exceeds all limits.
    :param used_shares: by serving zone and tier, the share of its spare capacity used by spill of that tier.
    """

    flows: dict[Flow, float]
    unserved: dict[int, float]
    used_shares: dict[tuple[int, int], float]


@dataclass(slots=True)
class _Spill:
    """The state of planning. `available` is the capacity that the current tier may still use in each zone."""

    flows: dict[Flow, float]
    remaining: dict[int, float]
    spare: dict[int, float]
    taken: dict[int, float]
    available: dict[int, float] = field(default_factory=dict)

    def send(self, zone: int, other: int, amount: float) -> None:
        """Serve work of `zone` at `other`."""
        self.flows[zone, other] = self.flows.get((zone, other), 0.0) + amount

    def begin_tier(self, limit: float) -> None:
        """Make up to that share of every zone's spare capacity available to spill."""
        self.available = {zone: max(0.0, spare * limit - self.taken[zone]) for zone, spare in self.spare.items()}


def plan_spillover(
    demand: Mapping[int, float],
    capacity: Mapping[int, float],
    tiers: Mapping[int, Sequence[Sequence[int]]],
    limits: Sequence[float],
) -> SpilloverPlan:
    """Assign each zone's work to itself up to its capacity, and the excess to other zones, tier by tier.

    In each tier, a zone accepts spill up to the share `limits[tier]` of the capacity that its own work leaves, minus
    the spill of earlier tiers; tiers beyond the last limit use the last one. If more is offered, zones of origin are
    served in proportion to what they offer, and those with another choice in the tier yield to those without. A zone
    without spare capacity accepts no spill.

    The result is a function of the arguments only; zones are processed in order of their numbers.
    """
    zones = sorted(demand)
    flows = {(zone, zone): min(demand[zone], capacity.get(zone, 0.0)) for zone in zones}
    spare = {zone: capacity[zone] - flows.get((zone, zone), 0.0) for zone in sorted(capacity)}
    remaining = {zone: demand[zone] - flows[zone, zone] for zone in zones}
    spill = _Spill(flows, remaining, spare, dict.fromkeys(spare, 0.0))
    used_shares: dict[tuple[int, int], float] = {}
    for tier in range(max((len(tiers.get(zone, ())) for zone in zones), default=0)):
        limit = limits[min(tier, len(limits) - 1)] if limits else 0.0
        choices = {
            zone: [other for other in tiers[zone][tier] if other in spare]
            for zone in zones
            if tier < len(tiers.get(zone, ()))
        }
        taken_before = dict(spill.taken)
        _spill_tier(spill, choices, limit)
        for zone in spare:
            if spill.taken[zone] > taken_before[zone]:
                used_shares[zone, tier] = (spill.taken[zone] - taken_before[zone]) / spare[zone]
    unserved = {zone: amount for zone, amount in spill.remaining.items() if amount > NEGLIGIBLE}
    return SpilloverPlan(spill.flows, unserved, used_shares)


def _spill_tier(spill: _Spill, choices: Choices, limit: float) -> None:
    spill.begin_tier(limit)
    for _ in range(len(spill.remaining) + 1):  # work that one zone rejects may fit in another zone of the tier
        wanted = _wanted_flows(spill, choices)
        if not wanted:
            break
        _share_out(spill, wanted, limit)
    _reroute(spill, choices)


def _wanted_flows(spill: _Spill, choices: Choices) -> dict[Flow, float]:
    """Return each zone's remaining work, spread over its choices in proportion to their available capacity."""
    wanted: dict[Flow, float] = {}
    for zone, others in choices.items():
        targets = [other for other in others if spill.available[other] > NEGLIGIBLE]
        total = sum(spill.available[other] for other in targets)
        if spill.remaining[zone] > NEGLIGIBLE and total > 0:
            for other in targets:
                wanted[zone, other] = spill.remaining[zone] * spill.available[other] / total
    return wanted


def _share_out(spill: _Spill, wanted: Mapping[Flow, float], limit: float) -> None:
    """Serve the wanted flows, scaled down in proportion in zones where they exceed the available capacity."""
    totals: dict[int, float] = {}
    for (_, other), amount in wanted.items():
        totals[other] = totals.get(other, 0.0) + amount
    for (zone, other), amount in wanted.items():
        served = amount * min(1.0, spill.available[other] / totals[other])
        spill.send(zone, other, served)
        spill.remaining[zone] -= served
        spill.taken[other] += served
    for other in totals:
        available = max(0.0, spill.spare[other] * limit - spill.taken[other])
        spill.available[other] = 0.0 if available < NEGLIGIBLE else available


def _reroute(spill: _Spill, choices: Choices) -> None:
    """Move spill of one tier between its targets until no more remaining work can be served.

    Source: maximum flow by shortest augmenting paths (J. Edmonds and R. Karp, 1972), from a zone with remaining work,
    through zones whose spill to a shared target can be moved, to a zone with available capacity.
    """
    for origin in sorted(choices):
        while spill.remaining[origin] > NEGLIGIBLE:
            path = _shortest_path(spill, choices, origin)
            if path is None:
                break
            _augment(spill, path)


def _shortest_path(spill: _Spill, choices: Choices, origin: int) -> list[Flow] | None:
    """Return the flows to increase, starting at the origin; None if no zone with available capacity can be reached.

    Between two consecutive flows, the flow from the second one's source to the first one's target is to be decreased.
    """
    reached_by: dict[int, Flow | None] = {origin: None}
    queue = deque([origin])
    while queue:
        zone = queue.popleft()
        for other in choices[zone]:
            if spill.available[other] > NEGLIGIBLE:
                return _path_to((zone, other), reached_by)
            for next_zone in sorted(choices):
                serves = other in choices[next_zone] and spill.flows.get((next_zone, other), 0.0) > NEGLIGIBLE
                if next_zone not in reached_by and serves:
                    reached_by[next_zone] = zone, other
                    queue.append(next_zone)
    return None


def _path_to(last: Flow, reached_by: Mapping[int, Flow | None]) -> list[Flow]:
    path = [last]
    while (previous := reached_by[path[-1][0]]) is not None:
        path.append(previous)
    path.reverse()
    return path


def _augment(spill: _Spill, path: Sequence[Flow]) -> None:
    """Send as much as possible along a path: increase each flow on it and decrease the flows that yield to it."""
    origin, last = path[0][0], path[-1][1]
    yielding_flows = [(next_zone, other) for (_, other), (next_zone, _) in zip(path, path[1:])]
    amount = min(spill.remaining[origin], spill.available[last], *(spill.flows[flow] for flow in yielding_flows))
    for (zone, other), shrinking in zip(path, [*yielding_flows, None]):
        spill.send(zone, other, amount)
        if shrinking is not None:
            spill.flows[shrinking] -= amount
    spill.remaining[origin] -= amount
    spill.available[last] -= amount
    spill.taken[last] += amount


class SpilloverSwitch:
    """Whether a zone spills, with hysteresis.

    Guards against spill that starts and stops with every report. Drawback: a zone just under its limit keeps work that
    another could do.

    :param begin_share: spill begins when demand exceeds this share of the zone's capacity.
    :param end_share: spill ends when demand falls to this share or below.
    """

    def __init__(self, begin_share: float, end_share: float) -> None:
        self._begin_share, self._end_share, self.is_on = begin_share, end_share, False

    def update(self, demand: float, capacity: float) -> bool:
        """Update the switch with the current demand and capacity; return whether the zone spills."""
        if capacity <= 0:
            self.is_on = demand > 0
        else:
            self.is_on = demand > capacity * (self._end_share if self.is_on else self._begin_share)
        return self.is_on


def shed(unserved: float, demands: Sequence[tuple[int, float, float]]) -> list[tuple[int, float]]:
    """Return the amounts to reject by op type, lowest value first, until nothing is left unserved.

    :param demands: (op type, its work, its value) for each op type.
    """
    rejected = []
    for op_type, demand, _ in sorted(demands, key=lambda entry: (entry[2], entry[0])):
        amount = min(unserved, demand)
        if amount > 0:
            rejected.append((op_type, amount))
            unserved -= amount
    return rejected


def is_panic(ready: int, known: int, panic_share: float) -> bool:
    """Whether so few nodes are ready that all known nodes are used, healthy or not (panic mode).

    In that case the ready nodes could not carry the load, and the observer itself may be partitioned. With a share of
    0.5 and 12 nodes, panic mode applies at 5 ready nodes or fewer.
    """
    return known > 0 and ready < panic_share * known
