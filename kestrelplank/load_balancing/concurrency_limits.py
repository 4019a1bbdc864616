"""Adaptive concurrency limits: how many ops a proxy keeps in flight at a node, learned from their latency.

The limit of a node and op type follows the ratio of the best latency to the current one, as in TCP Vegas (Brakmo and
Peterson, 1995) and in adaptive concurrency limits for services (E. Nawrocki and others, 2018). The best latency is kept
for two generations of samples, and each generation starts with half the limit so that an uncongested latency can be
observed again, as BBR does for the round-trip time (Cardwell and others, 2016). A best latency that only decayed would
drift up to the latency under overload.
"""

from math import sqrt
from typing import NamedTuple

GENERATION_SAMPLES = 500  # after which the best latency is measured again, as a node may have become slower permanently
SMOOTHING = 0.2  # weight of a new window when the limit is updated
MIN_GRADIENT = 0.5  # one window reduces the target limit to no less than this fraction


class ConcurrencyLimitSettings(NamedTuple):
    """Settings of an adaptive limit.

    :param initial: the initial limit, in ops in flight; `minimum` and `maximum` bound the learned limit.
    :param tolerance: the multiple of the best latency above which the limit shrinks.
    :param window: samples for each update of the limit.
    """

    initial: int = 20
    minimum: int = 2
    maximum: int = 1000
    tolerance: float = 2.0
    window: int = 10


class GradientLimit:
    """The limit of one node for one op type.

    Guards against a queue that builds up at a node, and against a node that becomes slower. Drawback: ops that become
    slower for other reasons shrink the limit, until two generations have passed.

    Invariant: the limit is between `minimum` and `maximum` (test
    `test_limit_stays_between_minimum_and_maximum_for_any_latencies`).
    """

    __slots__ = (
        "_settings",
        "limit",
        "in_flight",
        "_best_ns",
        "_previous_best_ns",
        "_generation_samples",
        "_window_sum_ns",
        "_window_samples",
        "_window_peak",
    )

    def __init__(self, settings: ConcurrencyLimitSettings) -> None:
        self._settings, self.limit, self.in_flight = settings, float(settings.initial), 0
        self._best_ns = self._previous_best_ns = 0  # of the current and the previous generation; 0 for none yet
        self._generation_samples = 0
        self._window_sum_ns, self._window_samples, self._window_peak = 0, 0, 0

    def has_capacity(self) -> bool:
        """Whether one more op may be sent."""
        return self.in_flight < int(self.limit)

    def best_latency_ns(self) -> int:
        """Return the shortest latency of the current and previous generations, 0 if there is none."""
        if self._best_ns and self._previous_best_ns:
            return min(self._best_ns, self._previous_best_ns)
        return self._best_ns or self._previous_best_ns

    def attempt_started(self) -> None:
        """Count one more attempt in flight."""
        self.in_flight += 1
        self._window_peak = max(self._window_peak, self.in_flight)

    def attempt_ended(self, latency_ns: int | None) -> None:
        """Record the end of an attempt.

        :param latency_ns: None for an attempt that did not succeed, which shrinks the limit as packet loss does in TCP.
        """
        self.in_flight -= 1
        if latency_ns is None:
            self.limit = max(float(self._settings.minimum), self.limit * (1 - SMOOTHING / 2))
            return
        self._add_sample(latency_ns)
        if self._window_samples >= self._settings.window:
            self._close_window()

    def _add_sample(self, latency_ns: int) -> None:
        self._best_ns = min(self._best_ns, latency_ns) if self._best_ns else latency_ns
        self._generation_samples += 1
        if self._generation_samples == GENERATION_SAMPLES:
            self._generation_samples, self._previous_best_ns, self._best_ns = 0, self._best_ns, 0
            self.limit = max(float(self._settings.minimum), self.limit / 2)
        self._window_sum_ns += latency_ns
        self._window_samples += 1

    def _close_window(self) -> None:
        settings = self._settings
        mean_ns, peak = self._window_sum_ns / self._window_samples, self._window_peak
        self._window_sum_ns, self._window_samples, self._window_peak = 0, 0, self.in_flight
        ratio = settings.tolerance * self.best_latency_ns() / mean_ns if mean_ns else 1.0
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        if gradient == 1.0 and peak * 2 < self.limit:
            return  # the limit was never nearly reached, so the samples say nothing about a higher one
        target = self.limit * gradient + sqrt(self.limit)
        smoothed = self.limit + SMOOTHING * (target - self.limit)
        self.limit = min(float(settings.maximum), max(float(settings.minimum), smoothed))


class ConcurrencyLimits:
    """The limits of a proxy, by node and op type."""

    def __init__(self, settings: ConcurrencyLimitSettings) -> None:
        self._settings = settings
        self._limits: dict[tuple[int, int], GradientLimit] = {}

    def _limit_of(self, node: int, op_type: int) -> GradientLimit:
        limit = self._limits.get((node, op_type))
        if limit is None:
            limit = self._limits[node, op_type] = GradientLimit(self._settings)
        return limit

    def has_capacity(self, node: int, op_type: int) -> bool:
        """Whether one more op of the type may be sent to the node."""
        return self._limit_of(node, op_type).has_capacity()

    def attempt_started(self, node: int, op_type: int) -> None:
        """Count one more attempt in flight at the node."""
        self._limit_of(node, op_type).attempt_started()

    def attempt_ended(self, node: int, op_type: int, latency_ns: int | None) -> None:
        """Record the end of an attempt at the node; `latency_ns` is None if it did not succeed."""
        self._limit_of(node, op_type).attempt_ended(latency_ns)

    def usage(self, node: int, op_types: int) -> tuple[float, int]:
        """Return a node's total limit and total ops in flight over all op types, whose number is `op_types`."""
        limits = [self._limit_of(node, op_type) for op_type in range(op_types)]
        return sum(limit.limit for limit in limits), sum(limit.in_flight for limit in limits)

    def forget(self, node: int) -> None:
        """Remove the limits of a node that is no longer in any table, except those with attempts in flight."""
        for key in [key for key in self._limits if key[0] == node and not self._limits[key].in_flight]:
            del self._limits[key]

    def snapshot(self) -> list[tuple[int, int, float, int]]:
        """Return node, op type, limit and ops in flight, sorted by node and op type."""
        return [(*key, round(limit.limit, 1), limit.in_flight) for key, limit in sorted(self._limits.items())]
