"""Where a zone's work goes when its own nodes can't do it: nearer zones before farther ones, under a stated limit of
what spill may use of each, and what is over all limits named as not served. Amounts are work a second, times whole ns.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

MOST_PERIODS = 30  # of which the quartile tells a distance
LEAST_PERIODS = 5  # before which none is told


class Distances:
    """How much longer an answer takes from another zone than from one's own, learned from reports.

    Robust to stalls and strain, which lengthen both: only differences within one period count, and of those the lower
    quartile, as waiting only ever adds. Harm: a way that has really become longer is believed after three quarters of
    `MOST_PERIODS` periods."""

    def __init__(self) -> None:
        self._now: dict[tuple[int, int], list[float]] = {}
        self._past: dict[tuple[int, int], deque[float]] = {}

    def seen(self, zone: int, other: int, tries: int, mean: float) -> None:
        """In this period, so many good tries from `zone` to `other` took so long in the mean."""
        if tries > 0:
            sums = self._now.setdefault((zone, other), [0.0, 0.0])
            sums[0] += tries
            sums[1] += tries * mean

    def close(self) -> None:
        """The period is over."""
        means = {pair: total / tries for pair, (tries, total) in self._now.items()}
        self._now = {}
        for (zone, other), mean in means.items():
            own = means.get((zone, zone))
            if own is not None and other != zone:
                self._past.setdefault((zone, other), deque(maxlen=MOST_PERIODS)).append(mean - own)

    def between(self, zone: int, other: int) -> float | None:
        """Learned in either direction; None while too little is known."""
        found = [
            sorted(past)[len(past) // 4]
            for pair in ((zone, other), (other, zone))
            if len(past := self._past.get(pair, ())) >= LEAST_PERIODS
        ]
        return max(0.0, min(found)) if found else None


def by_distance(
    zone: int, zones: Sequence[int], distances: Mapping[tuple[int, int], float], near: float
) -> list[list[int]]:
    """The other zones in tiers: each begins with the nearest that is left and takes whoever is no more than `near`
    farther than that. Zones without a distance come last, together; ties go by number."""
    known = sorted((distances[zone, other], other) for other in zones if other != zone and (zone, other) in distances)
    tiers: list[list[int]] = []
    begins = 0.0
    for distance, other in known:
        if not tiers or distance > begins + near:
            tiers.append([])
            begins = distance
        tiers[-1].append(other)
    unknown = sorted(other for other in zones if other != zone and (zone, other) not in distances)
    return tiers + [unknown] if unknown else tiers


class Plan(NamedTuple):
    """`flows`: from zone and to zone, the work that goes there, its own zone's included; `unserved`: by zone, what no
    limit has room for; `used`: by zone and tier, the share of its spare capacity that spill of that tier takes."""

    flows: dict[tuple[int, int], float]
    unserved: dict[int, float]
    used: dict[tuple[int, int], float]


def spread(
    demand: Mapping[int, float],
    capacity: Mapping[int, float],
    tiers: Mapping[int, Sequence[Sequence[int]]],
    limits: Sequence[float],
) -> Plan:
    """Each zone's own work first, as far as its capacity goes; what is over spills tier by tier. In a tier a zone takes
    spill up to `limits[tier]` of the capacity that its own work left, less what nearer spill has taken; where more
    comes than that, every source gets its part in the ratio of what it brings, and whoever has another choice of the
    tier makes room for who has none. A zone without spare capacity gets nothing: a strained zone is never piled on.
    Tiers beyond the last limit use that.

    The result depends on nothing but its arguments; zones are taken by number."""
    zones = sorted(demand)
    flows = {(zone, zone): min(demand[zone], capacity.get(zone, 0.0)) for zone in zones}
    left = {zone: demand[zone] - flows[zone, zone] for zone in zones}
    spare = {zone: capacity[zone] - flows.get((zone, zone), 0.0) for zone in sorted(capacity)}
    taken = dict.fromkeys(spare, 0.0)
    used: dict[tuple[int, int], float] = {}
    for tier in range(max((len(tiers.get(zone, ())) for zone in zones), default=0)):
        limit = limits[min(tier, len(limits) - 1)] if limits else 0.0
        room = {zone: max(0.0, spare[zone] * limit - taken[zone]) for zone in spare}
        begun = dict(taken)
        for _ in range(len(zones) + 1):  # what one target turns away may find room at another of the tier
            wanted: dict[tuple[int, int], float] = {}
            for zone in zones:
                held = tiers.get(zone, ())
                targets = [other for other in (held[tier] if tier < len(held) else ()) if room.get(other, 0.0) > 1e-9]
                total = sum(room[other] for other in targets)
                if left[zone] > 1e-9 and total > 0:
                    for other in targets:
                        wanted[zone, other] = left[zone] * room[other] / total
            if not wanted:
                break
            comes: dict[int, float] = {}
            for (_, other), amount in wanted.items():
                comes[other] = comes.get(other, 0.0) + amount
            for (zone, other), amount in wanted.items():
                part = amount * min(1.0, room[other] / comes[other])
                flows[zone, other] = flows.get((zone, other), 0.0) + part
                left[zone] -= part
                taken[other] += part
            for other in comes:
                room[other] = max(0.0, spare[other] * limit - taken[other])
                room[other] = 0.0 if room[other] < 1e-9 else room[other]
        choices = {
            zone: [other for other in tiers[zone][tier] if other in spare]
            for zone in zones
            if tier < len(tiers.get(zone, ()))
        }
        make_room(choices, flows, left, room, taken)
        for zone in spare:
            if taken[zone] > begun[zone]:
                used[zone, tier] = (taken[zone] - begun[zone]) / spare[zone]
    return Plan(flows, {zone: amount for zone, amount in left.items() if amount > 1e-9}, used)


def make_room(
    choices: Mapping[int, Sequence[int]],
    flows: dict[tuple[int, int], float],
    left: dict[int, float],
    room: dict[int, float],
    taken: dict[int, float],
) -> None:
    """Moves spill of one tier among its targets until no more of what is left can be served: along shortest paths from
    a zone with work left over targets and the zones that fill them to a target with room (J. Edmonds and R. Karp,
    1972)."""
    for source in sorted(choices):
        while left[source] > 1e-9:
            came: dict[int, tuple[int, int] | None] = {source: None}  # zone to the zone and target it was reached by
            queue, found = deque([source]), None
            while queue and found is None:
                zone = queue.popleft()
                for other in choices[zone]:
                    if room[other] > 1e-9:
                        found = zone, other
                        break
                    for next_zone in sorted(choices):
                        if (
                            next_zone not in came
                            and other in choices[next_zone]
                            and flows.get((next_zone, other), 0.0) > 1e-9
                        ):
                            came[next_zone] = zone, other
                            queue.append(next_zone)
            if found is None:
                break
            path, zone = [found], found[0]  # what each zone on the way sends more of
            while came[zone] is not None:
                path.append(came[zone])
                zone = came[zone][0]
            path.reverse()
            amount = min(
                left[source],
                room[found[1]],
                *(flows[path[place + 1][0], path[place][1]] for place in range(len(path) - 1)),
            )
            for place, (zone, other) in enumerate(path):
                flows[zone, other] = flows.get((zone, other), 0.0) + amount
                if place + 1 < len(path):
                    flows[path[place + 1][0], other] -= amount
            left[source] -= amount
            room[found[1]] -= amount
            taken[found[1]] += amount


class Switch:
    """Whether a zone spills, with hysteresis: it begins when work is over `begins` of its capacity, and ends when it is
    under `ends`. Guards against spill that goes on and off with every report. Harm: a zone just under its limit keeps
    work that another could do."""

    def __init__(self, begins: float, ends: float) -> None:
        self._begins, self._ends, self.on = begins, ends, False

    def look(self, demand: float, capacity: float) -> bool:
        if capacity <= 0:
            self.on = demand > 0
        else:
            self.on = demand > capacity * (self._ends if self.on else self._begins)
        return self.on


def shed(unserved: float, by_type: Sequence[tuple[int, float, float]]) -> list[tuple[int, float]]:
    """What is not served, by op type, of least value first: (op type, demand, value) in, (op type, amount) out."""
    found = []
    for op_type, demand, _ in sorted(by_type, key=lambda one: (one[2], one[0])):
        amount = min(unserved, demand)
        if amount > 0:
            found.append((op_type, amount))
            unserved -= amount
    return found


def panics(ready: int, known: int, level: float) -> bool:
    """Whether all known nodes are used again, judged healthy or not: so few are ready that the rest can't carry the
    work, and whoever judges may be the one that is cut off. With `level` 0.5 and 12 nodes that is at 5 ready or fewer:
    each of those would get 12/5 of its usual work, while of the other 7 some may well answer."""
    return known > 0 and ready < level * known
