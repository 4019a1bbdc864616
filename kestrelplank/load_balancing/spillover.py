"""Where a zone's work goes when its own nodes can't do it.

Nearer zones come before farther ones, under a stated limit of what spill may use of each, and what is over all limits
is named as unserved. Amounts are work per second.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

NEGLIGIBLE = 1e-9  # amounts up to that are 0 but for rounding

Flow = tuple[int, int]  # from zone, to zone
Choices = Mapping[int, Sequence[int]]  # zone to the zones that its spill may go to


class SpilloverPlan(NamedTuple):
    """Where work goes.

    :param flows: by zone of origin and zone that serves it, a zone's own work included.
    :param unserved: by zone, what no limit has capacity for.
    :param used_shares: by zone and tier, the share of its spare capacity that spill of that tier takes.
    """

    flows: dict[Flow, float]
    unserved: dict[int, float]
    used_shares: dict[tuple[int, int], float]


@dataclass(slots=True)
class _Spill:
    """Work while it is being planned. `available` is what the present tier may still put on a zone."""

    flows: dict[Flow, float]
    remaining: dict[int, float]
    spare: dict[int, float]
    taken: dict[int, float]
    available: dict[int, float] = field(default_factory=dict)

    def send(self, zone: int, other: int, amount: float) -> None:
        """Serve work of `zone` at `other`."""
        self.flows[zone, other] = self.flows.get((zone, other), 0.0) + amount

    def begin_tier(self, limit: float) -> None:
        """Let spill take up to that share of every zone's spare capacity."""
        self.available = {zone: max(0.0, spare * limit - self.taken[zone]) for zone, spare in self.spare.items()}


def plan_spillover(
    demand: Mapping[int, float],
    capacity: Mapping[int, float],
    tiers: Mapping[int, Sequence[Sequence[int]]],
    limits: Sequence[float],
) -> SpilloverPlan:
    """Return where each zone's work goes: to itself, as far as its capacity goes, and what is over tier by tier.

    In a tier a zone takes spill up to `limits[tier]` of the capacity that its own work left, less what nearer spill has
    taken; tiers beyond the last limit use that one. Where more comes than that, every zone of origin has its share in
    the ratio of what it brings, and who has another choice of the tier makes way for who has none. A zone without spare
    capacity gets nothing: a strained zone is never overloaded further.

    The result depends on nothing but its arguments; zones are taken by number.
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
    for _ in range(len(spill.remaining) + 1):  # what one zone rejects may find capacity at another of the tier
        wanted = _wanted_flows(spill, choices)
        if not wanted:
            break
        _share_out(spill, wanted, limit)
    _reroute(spill, choices)


def _wanted_flows(spill: _Spill, choices: Choices) -> dict[Flow, float]:
    """Return what remains of each zone's work, spread over its choices by what is available there."""
    wanted: dict[Flow, float] = {}
    for zone, others in choices.items():
        targets = [other for other in others if spill.available[other] > NEGLIGIBLE]
        total = sum(spill.available[other] for other in targets)
        if spill.remaining[zone] > NEGLIGIBLE and total > 0:
            for other in targets:
                wanted[zone, other] = spill.remaining[zone] * spill.available[other] / total
    return wanted


def _share_out(spill: _Spill, wanted: Mapping[Flow, float], limit: float) -> None:
    """Serve what is wanted; where that is too much for a zone, each gets its share of what is available there."""
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
    """Move spill of one tier among its targets until no more of what remains can be served.

    Source: a maximum flow by shortest augmenting paths (J. Edmonds and R. Karp, 1972), from a zone with work remaining,
    over zones that serve its choices' other work, to a zone with capacity available.
    """
    for origin in sorted(choices):
        while spill.remaining[origin] > NEGLIGIBLE:
            path = _shortest_path(spill, choices, origin)
            if path is None:
                break
            _augment(spill, path)


def _shortest_path(spill: _Spill, choices: Choices, origin: int) -> list[Flow] | None:
    """Return the flows to enlarge, from the origin's on; None where no zone with capacity can be reached.

    Between two of them, the flow of the second's zone to the first's target is what makes way.
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
    """Send as much as can be along a path: each flow on it grows, and what makes way for it shrinks."""
    origin, last = path[0][0], path[-1][1]
    makes_way = [(next_zone, other) for (_, other), (next_zone, _) in zip(path, path[1:])]
    amount = min(spill.remaining[origin], spill.available[last], *(spill.flows[flow] for flow in makes_way))
    for (zone, other), shrinking in zip(path, [*makes_way, None]):
        spill.send(zone, other, amount)
        if shrinking is not None:
            spill.flows[shrinking] -= amount
    spill.remaining[origin] -= amount
    spill.available[last] -= amount
    spill.taken[last] += amount


class SpilloverSwitch:
    """Whether a zone spills, with hysteresis.

    Guards against spill that goes on and off with every report. Harm: a zone just under its limit keeps work that
    another could do.

    :param begin_share: spill begins when work is over that share of the zone's capacity.
    :param end_share: spill ends when work is under that share.
    """

    def __init__(self, begin_share: float, end_share: float) -> None:
        self._begin_share, self._end_share, self.is_on = begin_share, end_share, False

    def update(self, demand: float, capacity: float) -> bool:
        """Return whether the zone spills, now that its work is known to be so much."""
        if capacity <= 0:
            self.is_on = demand > 0
        else:
            self.is_on = demand > capacity * (self._end_share if self.is_on else self._begin_share)
        return self.is_on


def shed(unserved: float, demands: Sequence[tuple[int, float, float]]) -> list[tuple[int, float]]:
    """Return what is rejected of each op type, those of least value first, until nothing is left unserved.

    :param demands: op type, its work and its value.
    """
    rejected = []
    for op_type, demand, _ in sorted(demands, key=lambda entry: (entry[2], entry[0])):
        amount = min(unserved, demand)
        if amount > 0:
            rejected.append((op_type, amount))
            unserved -= amount
    return rejected


def is_panic(ready: int, known: int, panic_share: float) -> bool:
    """Whether all known nodes are used again, healthy or not.

    So few are ready that they can't carry the work, and who judges may be the one that is partitioned. With a share of
    0.5 and 12 nodes that is at 5 ready or fewer: each of those would get 12/5 of its usual work, while of the other 7
    some may well answer.
    """
    return known > 0 and ready < panic_share * known
