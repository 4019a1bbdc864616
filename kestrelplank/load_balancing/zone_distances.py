"""Distances between zones, estimated from latencies, and the tiers derived from them."""

from collections import deque
from collections.abc import Mapping, Sequence

MAX_PERIODS = 30  # number of recent periods whose lower quartile is the distance
MIN_PERIODS = 5  # number of periods needed for an estimate


class ZoneDistances:
    """Estimates the extra latency of responses from another zone compared with the own zone.

    It is robust to stalls and overload, which affect both latencies: only differences within one period are used, and
    of those the lower quartile, as queueing only adds latency. Drawback: a lasting increase of the distance takes
    three quarters of `MAX_PERIODS` periods to show.
    """

    def __init__(self) -> None:
        self._sums: dict[tuple[int, int], list[float]] = {}  # of the current period: [attempts, sum of latencies]
        self._differences: dict[tuple[int, int], deque[float]] = {}

    def add(self, zone: int, other: int, attempts: int, mean_latency_ns: float) -> None:
        """Add successful attempts from `zone` to `other` to the current period."""
        if attempts > 0:
            sums = self._sums.setdefault((zone, other), [0.0, 0.0])
            sums[0] += attempts
            sums[1] += attempts * mean_latency_ns

    def close_period(self) -> None:
        """End the period and record the difference of mean latencies for each pair of zones."""
        means = {pair: total / attempts for pair, (attempts, total) in self._sums.items()}
        self._sums = {}
        for (zone, other), mean in means.items():
            own = means.get((zone, zone))
            if own is not None and other != zone:
                self._differences.setdefault((zone, other), deque(maxlen=MAX_PERIODS)).append(mean - own)

    def between(self, zone: int, other: int) -> float | None:
        """Return the distance (ns), the smaller of both directions; None while there are too few periods."""
        quartiles = [
            sorted(differences)[len(differences) // 4]
            for pair in ((zone, other), (other, zone))
            if (differences := self._differences.get(pair)) is not None and len(differences) >= MIN_PERIODS
        ]
        return max(0.0, min(quartiles)) if quartiles else None


def distance_tiers(
    zone: int, zones: Sequence[int], distances: Mapping[tuple[int, int], float], tier_width: float
) -> list[list[int]]:
    """Group the other zones into tiers, nearest first.

    Each tier starts with the nearest remaining zone and includes every zone at most `tier_width` farther. Zones
    without a known distance form the last tier; ties are ordered by zone number.
    """
    known = sorted((distances[zone, other], other) for other in zones if other != zone and (zone, other) in distances)
    tiers: list[list[int]] = []
    tier_start = 0.0
    for distance, other in known:
        if not tiers or distance > tier_start + tier_width:
            tiers.append([])
            tier_start = distance
        tiers[-1].append(other)
    unknown = sorted(other for other in zones if other != zone and (zone, other) not in distances)
    return [*tiers, unknown] if unknown else tiers
