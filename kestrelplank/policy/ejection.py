"""Ejection of unhealthy nodes before the node list reports them.

At most a seventh of the nodes are ejected, or one if there are fewer than seven. No slow node is ejected, as it is
overloaded and the others would be next. Cost: a node that fails nearly half of its ops stays in use.
"""

from collections.abc import Iterable

from kestrelplank.policy import parameters
from kestrelplank.policy.node import Node, NodeState

RECENT_PERIODS = 2


def median(values: Iterable[float]) -> float:
    """Return the upper median."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def eject_unhealthy(now: int, nodes: Iterable[Node], fleet_overloaded: bool) -> None:
    """Eject nodes whose share of failures is far above the median; none while the fleet is overloaded."""
    candidates = [node for node in nodes if node.state in (NodeState.UP, NodeState.DROPPED)]
    reported = [(node, sums) for node in candidates if (sums := node.sums(RECENT_PERIODS)).attempts]
    if fleet_overloaded or not reported:
        return
    max_failure_share = median(sums.failures / sums.attempts for _, sums in reported) + parameters.UNHEALTHY_EXCESS
    max_latency_s = parameters.SLOW_MULTIPLE * median(sums.latency_s / sums.attempts for _, sums in reported)
    max_ejected = max(1, len(candidates) // parameters.EJECTED_DIVISOR)
    ejected = sum(now < node.ejected_until for node in candidates)
    for node, sums in sorted(reported, key=lambda entry: (-entry[1].failures / entry[1].attempts, entry[0].index)):
        unhealthy = sums.failures >= max(parameters.MIN_FAILURES, sums.attempts * max_failure_share)
        if (
            unhealthy
            and sums.latency_s / sums.attempts <= max_latency_s
            and now >= node.ejected_until
            and ejected < max_ejected
        ):
            ejected += 1
            eject(now, node)


def eject(now: int, node: Node) -> None:
    """Eject one node, for twice as long if it was ejected recently."""
    recently = now < node.ejected_until + parameters.MAX_EJECTION_NS
    node.ejection_ns = min(parameters.MAX_EJECTION_NS, 2 * node.ejection_ns) if recently else parameters.MIN_EJECTION_NS
    node.ejected_until = now + node.ejection_ns
    node.periods.clear()
