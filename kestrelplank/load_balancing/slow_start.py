"""How a node that has just started is fed: little at first, and more as it proves itself."""

from typing import NamedTuple

SLOW_FACTOR = 1.5  # times the usual latency, from which a node that warms up is given no more than it has
MAX_FAILURE_SHARE = 0.1  # a greater share of failures has the same effect


class WarmUpSettings(NamedTuple):
    """How nodes warm up.

    :param cold_share: the share of its capacity that a node has when it starts.
    :param warm_up_ns: it has all of its capacity after that time.
    :param overload_factor: sent that many times what it can do at the moment, a cold node falls over.
    :param safe_share: how much of that may be used at all.
    """

    cold_share: float
    warm_up_ns: int
    overload_factor: float
    safe_share: float = 0.5


class SlowStart:
    """One node since its start.

    Its age counts only while its answers are good: a node that should be warm and is not yet is given more only as it
    proves itself.

    `allowance` is for one of several feeders that may all send to the node and do not hear each other: each keeps to
    its part, so that all together stay under the overload factor (test
    `test_members_that_feed_one_node_and_do_not_hear_each_other_stay_under_the_overload_factor`). Harm: where the
    others send nothing, the node is filled more slowly than it could be.
    """

    def __init__(self, settings: WarmUpSettings, started_at: int, now: int) -> None:
        self._settings, self.started_at = settings, started_at
        # Who sees the node in the middle of its warm-up has no proof of how it did: it begins anew, never at full.
        self._seen_at, self._uncounted_ns, self._healthy = now, 0, True

    def report(self, now: int, succeeded: int, failed: int, latency: float | None, usual_latency: float | None) -> None:
        """Take note of what a period has shown of the node.

        :param latency: the mean of its answers, in the unit of `usual_latency`, which is that of all nodes.
        """
        self._count_until(now)
        attempts = succeeded + failed
        slow = latency is not None and usual_latency is not None and latency > SLOW_FACTOR * usual_latency
        if attempts:
            self._healthy = not slow and failed <= MAX_FAILURE_SHARE * attempts

    def _count_until(self, now: int) -> None:
        if not self._healthy:
            self._uncounted_ns += max(0, now - self._seen_at)
        self._seen_at = max(self._seen_at, now)

    def age_ns(self, now: int) -> int:
        """Return the node's age as far as it counts."""
        unhealthy_ns = 0 if self._healthy else max(0, now - self._seen_at)
        return max(0, now - self.started_at - self._uncounted_ns - unhealthy_ns)

    def capacity_share(self, now: int) -> float:
        """Return the share of its capacity that the node surely has by now."""
        settings = self._settings
        if not settings.warm_up_ns:
            return 1.0
        return min(1.0, settings.cold_share + (1 - settings.cold_share) * self.age_ns(now) / settings.warm_up_ns)

    def allowance(self, now: int, capacity: float, feeders: int) -> float:
        """Return the work per second that one of so many feeders may send it by now.

        A warm node's is its capacity in parts: the overload factor is for cold ones alone.

        :param capacity: work per second that the node does when warm.
        """
        share, settings = self.capacity_share(now), self._settings
        if share >= 1.0:
            return capacity / max(1, feeders)
        return min(capacity, capacity * share * settings.overload_factor * settings.safe_share) / max(1, feeders)

    def is_warm(self, now: int) -> bool:
        """Whether the node has all of its capacity."""
        return self.capacity_share(now) >= 1.0
