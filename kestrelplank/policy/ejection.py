"""Ejection of unhealthy nodes before the node list tells of them.

At most a seventh of the nodes, and no overloaded node, which answers slowly: the rest would be overloaded next. The
price: a node that fails half of its ops keeps them.
"""

from collections.abc import Iterable

from kestrelplank.policy import parameters
from kestrelplank.policy.node import Node, NodeState

PERIODS_JUDGED = 2


def median(values: Iterable[float]) -> float:
    """Return the upper median."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def eject_unhealthy(now: int, nodes: Iterable[Node], strained: bool) -> None:
    """Eject nodes whose share of failures is far above the median; none while the fleet is strained."""
    candidates = [node for node in nodes if node.state in (NodeState.UP, NodeState.DROPPED)]
    reported = [(node, sums) for node in candidates if (sums := node.sums(PERIODS_JUDGED)).attempts]
    if strained or not reported:
        return
    failing = median(sums.failures / sums.attempts for _, sums in reported) + parameters.UNHEALTHY_EXCESS
    slow_s = parameters.SLOW_MULTIPLE * median(sums.latency_s / sums.attempts for _, sums in reported)
    most = max(1, len(candidates) // parameters.EJECTED_DIVISOR)
    ejected = sum(now < node.ejected_until for node in candidates)
    for node, sums in sorted(reported, key=lambda seen: (-seen[1].failures / seen[1].attempts, seen[0].index)):
        unhealthy = sums.failures >= max(parameters.LEAST_FAILURES, sums.attempts * failing)
        if unhealthy and sums.latency_s / sums.attempts <= slow_s and now >= node.ejected_until and ejected < most:
            ejected += 1
            eject(now, node)


def eject(now: int, node: Node) -> None:
    """Eject one node, for twice as long if it was ejected not long ago."""
    recently = now < node.ejected_until + parameters.LONGEST_EJECTION_NS
    node.ejection_ns = min(parameters.LONGEST_EJECTION_NS, 2 * node.ejection_ns) if recently else parameters.EJECTION_NS
    node.ejected_until = now + node.ejection_ns
    node.periods.clear()
