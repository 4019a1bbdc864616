"""Slow start: a node that has just started is sent little load at first, and more as its responses stay healthy."""

from typing import NamedTuple

SLOW_LATENCY_FACTOR = 1.5  # multiple of the usual latency above which the load of a node in slow start is not increased
MAX_FAILURE_SHARE = 0.1  # share of failures above which it is not increased either


class SlowStartSettings(NamedTuple):
    """Settings of slow start.

    :param initial_share: the share of its capacity that a node has when it starts.
    :param duration_ns: the time after which it has its full capacity.
    :param overload_factor: the multiple of its current capacity at which a node in slow start collapses.
    :param safe_share: the share of that multiple that may be used.
    """

    initial_share: float
    duration_ns: int
    overload_factor: float
    safe_share: float = 0.5


class SlowStart:
    """The slow start of one node.

    Its age advances only while it is healthy: a node that warms up more slowly than expected gets more load only as its
    responses improve.

    `allowance` is for one of several senders that may all send to the node without knowing each other's load: each
    keeps to its part, so that together they stay under the overload factor (test
    `test_partitioned_members_sending_to_one_node_stay_under_the_overload_factor`). Drawback: if the other senders are
    idle, the node's load grows more slowly than it could.
    """

    def __init__(self, settings: SlowStartSettings, started_at: int, now: int) -> None:
        self._settings, self.started_at = settings, started_at
        # An observer that first sees the node after its start counts the time until its first report as healthy.
        self._seen_at, self._uncounted_ns, self._healthy = now, 0, True

    def report(self, now: int, succeeded: int, failed: int, latency: float | None, usual_latency: float | None) -> None:
        """Update the node's health from the attempts of one period.

        :param latency: the mean latency of its responses, in the unit of `usual_latency`, the mean of all nodes.
        """
        self._count_until(now)
        attempts = succeeded + failed
        slow = latency is not None and usual_latency is not None and latency > SLOW_LATENCY_FACTOR * usual_latency
        if attempts:
            self._healthy = not slow and failed <= MAX_FAILURE_SHARE * attempts

    def _count_until(self, now: int) -> None:
        if not self._healthy:
            self._uncounted_ns += max(0, now - self._seen_at)
        self._seen_at = max(self._seen_at, now)

    def age_ns(self, now: int) -> int:
        """Return the time for which the node has been healthy since its start."""
        unhealthy_ns = 0 if self._healthy else max(0, now - self._seen_at)
        return max(0, now - self.started_at - self._uncounted_ns - unhealthy_ns)

    def capacity_share(self, now: int) -> float:
        """Return the share of its capacity that the node has now."""
        settings = self._settings
        if not settings.duration_ns:
            return 1.0
        return min(1.0, settings.initial_share + (1 - settings.initial_share) * self.age_ns(now) / settings.duration_ns)

    def allowance(self, now: int, capacity: float, senders: int) -> float:
        """Return the work per second that one of `senders` may send to the node now.

        After slow start this is an equal part of the capacity; the overload factor applies only during slow start.

        :param capacity: the work per second that the node can do after slow start.
        """
        share, settings = self.capacity_share(now), self._settings
        if share >= 1.0:
            return capacity / max(1, senders)
        return min(capacity, capacity * share * settings.overload_factor * settings.safe_share) / max(1, senders)

    def is_warm(self, now: int) -> bool:
        """Whether the node has its full capacity."""
        return self.capacity_share(now) >= 1.0
