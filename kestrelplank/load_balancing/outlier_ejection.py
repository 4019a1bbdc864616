"""Outlier ejection: nodes at which consecutive attempts of this proxy failed are not used for a while."""

from random import Random

from kestrelplank.load_balancing.weights import WeightedNodes


class OutlierEjection:
    """Ejects a node after a number of consecutive failed attempts.

    Guards against a failed node that the control plane has not detected yet, and against a partition between this proxy
    and the node. Drawback: unrelated consecutive failures eject a healthy node; if all candidates are ejected, all are
    used.

    :param max_consecutive_failures: the number of failures that eject a node; 0 disables ejection.
    :param duration_range_ns: bounds between which the duration of each ejection is drawn.
    """

    def __init__(self, random: Random, max_consecutive_failures: int, duration_range_ns: tuple[int, int]) -> None:
        self._random = random
        self._max_consecutive_failures, self._duration_range_ns = max_consecutive_failures, duration_range_ns
        self._consecutive_failures: dict[int, int] = {}
        self._ejected_until: dict[int, int] = {}

    def record_attempt(self, now: int, node: int, succeeded: bool) -> None:
        """Record the end of an attempt at the node."""
        if succeeded:
            self._consecutive_failures.pop(node, None)
            return
        self._consecutive_failures[node] = self._consecutive_failures.get(node, 0) + 1
        if self._max_consecutive_failures and self._consecutive_failures[node] >= self._max_consecutive_failures:
            del self._consecutive_failures[node]
            self._ejected_until[node] = now + self._random.randint(*self._duration_range_ns)

    def is_ejected(self, now: int, node: int) -> bool:
        """Whether the node is ejected now."""
        return self._ejected_until.get(node, now) > now

    def without_ejected(self, now: int, candidates: WeightedNodes) -> WeightedNodes:
        """Return the candidates that are not ejected now, or all of them if all are ejected."""
        if not self._ejected_until:
            return candidates
        for node in [node for node, until in self._ejected_until.items() if until <= now]:
            del self._ejected_until[node]
        return [candidate for candidate in candidates if candidate[0] not in self._ejected_until] or candidates
