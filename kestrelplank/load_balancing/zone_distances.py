"""How far zones are from each other, learned from latencies, and the tiers that follow from that."""

from collections import deque
from collections.abc import Mapping, Sequence

MAX_PERIODS = 30  # whose lower quartile is a distance
MIN_PERIODS = 5  # before which no distance is known


class ZoneDistances:
    """How much longer an answer takes from another zone than from one's own, learned from reports.

    Robust to stalls and to strain, which lengthen both: only differences within one period count, and of those the
    lower quartile, as waiting only ever adds. Harm: a way that has really become longer is believed after three
    quarters of `MAX_PERIODS` periods.
    """

    def __init__(self) -> None:
        self._sums: dict[tuple[int, int], list[float]] = {}  # of this period: attempts, and their latencies' sum
        self._differences: dict[tuple[int, int], deque[float]] = {}

    def add(self, zone: int, other: int, attempts: int, mean_latency_ns: float) -> None:
        """Count good attempts from `zone` to `other` in this period."""
        if attempts > 0:
            sums = self._sums.setdefault((zone, other), [0.0, 0.0])
            sums[0] += attempts
            sums[1] += attempts * mean_latency_ns

    def close_period(self) -> None:
        """End the period: its means become one difference a pair of zones."""
        means = {pair: total / attempts for pair, (attempts, total) in self._sums.items()}
        self._sums = {}
        for (zone, other), mean in means.items():
            own = means.get((zone, zone))
            if own is not None and other != zone:
                self._differences.setdefault((zone, other), deque(maxlen=MAX_PERIODS)).append(mean - own)

    def between(self, zone: int, other: int) -> float | None:
        """Return the distance (ns) as learned in either direction; None while too little is known."""
        quartiles = [
            sorted(differences)[len(differences) // 4]
            for pair in ((zone, other), (other, zone))
            if (differences := self._differences.get(pair)) is not None and len(differences) >= MIN_PERIODS
        ]
        return max(0.0, min(quartiles)) if quartiles else None


def distance_tiers(
    zone: int, zones: Sequence[int], distances: Mapping[tuple[int, int], float], tier_width: float
) -> list[list[int]]:
    """Return the other zones in tiers, nearer ones first.

    Each tier begins with the nearest zone that is left and takes every zone that is no more than `tier_width` farther
    than that. Zones without a distance come last, together; ties go by number.
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
