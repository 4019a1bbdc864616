"""Ejection of nodes at which this proxy's own attempts fail in a row."""

from random import Random

from kestrelplank.load_balancing.weights import WeightedNodes


class OutlierEjection:
    """Ejects a node for a while after so many failed attempts in a row.

    Guards against a node that fails before any member of the control side has heard of it, and against a partition
    between this proxy and the node. Harm: chance failures in a row eject a healthy node; so where all nodes are ejected
    none is.

    :param max_consecutive_failures: that many eject the node; with 0 none ever is.
    :param duration_range_ns: the least and the most time for which a node is ejected; each time is drawn between them.
    """

    def __init__(self, random: Random, max_consecutive_failures: int, duration_range_ns: tuple[int, int]) -> None:
        self._random = random
        self._max_consecutive_failures, self._duration_range_ns = max_consecutive_failures, duration_range_ns
        self._consecutive_failures: dict[int, int] = {}
        self._ejected_until: dict[int, int] = {}

    def record_attempt(self, now: int, node: int, succeeded: bool) -> None:
        """Take note that an attempt at the node has ended."""
        if succeeded:
            self._consecutive_failures.pop(node, None)
            return
        self._consecutive_failures[node] = self._consecutive_failures.get(node, 0) + 1
        if self._max_consecutive_failures and self._consecutive_failures[node] >= self._max_consecutive_failures:
            del self._consecutive_failures[node]
            self._ejected_until[node] = now + self._random.randint(*self._duration_range_ns)

    def without_ejected(self, now: int, candidates: WeightedNodes) -> WeightedNodes:
        """Return the candidates that are not ejected now, or all where that leaves none."""
        if not self._ejected_until:
            return candidates
        for node in [node for node, until in self._ejected_until.items() if until <= now]:
            del self._ejected_until[node]
        return [candidate for candidate in candidates if candidate[0] not in self._ejected_until] or candidates
