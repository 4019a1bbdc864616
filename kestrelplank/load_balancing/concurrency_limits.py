"""How many ops a proxy keeps in flight at a node at once, learned from how long they take.

The limit of a node and op type follows the gradient between the best latency seen and the present one, as TCP Vegas
judges a path by the gap between expected and actual rate (Brakmo and Peterson, 1995), in the form that was published
for services as adaptive concurrency limits (E. Nawrocki and others, 2018). The best latency is forgotten by
generations, each begun with half the limit, as BBR looks for the shortest round trip (Cardwell and others, 2016): a
best that merely aged would creep up to whatever an overload makes of it.
"""

from math import sqrt
from typing import NamedTuple

GENERATION_SAMPLES = 500  # after which the best latency is sought anew: a node may have become slower for good
SMOOTHING = 0.2  # weight of each new window in the limit
MIN_GRADIENT = 0.5  # one window never takes away more than that


class ConcurrencyLimitSettings(NamedTuple):
    """How a limit moves.

    :param initial: ops in flight at one node at first; `minimum` and `maximum` bound what is learned.
    :param tolerance: how many times the best latency an answer may take before the limit shrinks.
    :param window: samples to a judgement.
    """

    initial: int = 20
    minimum: int = 2
    maximum: int = 1000
    tolerance: float = 2.0
    window: int = 10


class GradientLimit:
    """One node's limit for one op type.

    Guards against a queue that builds up at a node while its answers still come, and against a node that slows down.
    Harm: work that is slow by itself shrinks the limit, until two generations have seen nothing better.

    Invariant: the limit is between `minimum` and `maximum` (test
    `test_a_limit_stays_within_its_settings_whatever_is_met`).
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
        self._best_ns = self._previous_best_ns = 0  # of this generation and of the one before; 0 for none yet
        self._generation_samples = 0
        self._window_sum_ns, self._window_samples, self._window_peak = 0, 0, 0

    def has_capacity(self) -> bool:
        """Whether one more op may be sent."""
        return self.in_flight < int(self.limit)

    def best_latency_ns(self) -> int:
        """Return the shortest latency of this generation and of the one before, 0 where there is none."""
        if self._best_ns and self._previous_best_ns:
            return min(self._best_ns, self._previous_best_ns)
        return self._best_ns or self._previous_best_ns

    def attempt_started(self) -> None:
        """Take note of one more attempt in flight."""
        self.in_flight += 1
        self._window_peak = max(self._window_peak, self.in_flight)

    def attempt_ended(self, latency_ns: int | None) -> None:
        """Take note that an attempt has ended.

        :param latency_ns: None for an attempt without a good answer, which shrinks the limit as a loss does there.
        """
        self.in_flight -= 1
        if latency_ns is None:
            self.limit = max(float(self._settings.minimum), self.limit * (1 - SMOOTHING / 2))
            return
        self._take_sample(latency_ns)
        if self._window_samples >= self._settings.window:
            self._close_window()

    def _take_sample(self, latency_ns: int) -> None:
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
            return  # a limit that was never reached proves nothing about a higher one
        wanted = self.limit * gradient + sqrt(self.limit)
        smoothed = self.limit + SMOOTHING * (wanted - self.limit)
        self.limit = min(float(settings.maximum), max(float(settings.minimum), smoothed))


class ConcurrencyLimits:
    """All limits of a proxy, by node and op type."""

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
        """Take note of one more attempt in flight at the node."""
        self._limit_of(node, op_type).attempt_started()

    def attempt_ended(self, node: int, op_type: int, latency_ns: int | None) -> None:
        """Take note that an attempt at the node has ended; `latency_ns` is None where no good answer came."""
        self._limit_of(node, op_type).attempt_ended(latency_ns)

    def usage(self, node: int, op_types: int) -> tuple[float, int]:
        """Return over all op types how many ops a node may have in flight, and how many it has."""
        limits = [self._limit_of(node, op_type) for op_type in range(op_types)]
        return sum(limit.limit for limit in limits), sum(limit.in_flight for limit in limits)

    def forget(self, node: int) -> None:
        """Drop the limits of a node that is in no table any more, but those with attempts in flight."""
        for key in [key for key in self._limits if key[0] == node and not self._limits[key].in_flight]:
            del self._limits[key]

    def snapshot(self) -> list[tuple[int, int, float, int]]:
        """Return node, op type, limit and ops in flight, in order."""
        return [(*key, round(limit.limit, 1), limit.in_flight) for key, limit in sorted(self._limits.items())]
