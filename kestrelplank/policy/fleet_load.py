"""What each usable node can take, and what it carries."""

from collections.abc import Iterable, Mapping

from kestrelplank.interface import SECOND
from kestrelplank.policy import parameters
from kestrelplank.policy.ejection import median
from kestrelplank.policy.node import Node, ReportSums
from kestrelplank.policy.state import AssignerState


class FleetLoad:
    """Loads and limits by node, as a step of a round changes them. Paper: storage model.

    `loads` covers all nodes; `weights` and `limits` the usable ones, which is where slices may be put. A load is what a
    node's reports show or what its slices bring, whichever is more: so a move weighs on both ends until the reports of
    the source have run out.
    """

    def __init__(self, state: AssignerState, now: int) -> None:
        seconds = state.period_ns / SECOND
        sums = {index: node.sums() for index, node in state.nodes.items()}
        slice_loads = state.slice_loads()
        own = {
            index: max(sums[index].attempts / max(1, len(node.periods)) / seconds, slice_loads[index])
            for index, node in state.nodes.items()
        }
        self.loads = {index: ops + state.nodes[index].peer_load(now) for index, ops in own.items()}
        usable = [node for node in state.nodes.values() if node.usable(now)]
        # Ops a second for each unit of weight: what overloads no cold node (rule 4), what one may get; -1: not known.
        self.overload_rate = cold_rate = -1.0
        if usable and now >= state.moves_from_at:
            weight, total, total_own = sum(node.weight for node in usable), sum(self.loads.values()), sum(own.values())
            acknowledged = sum(sums[node.index].attempts - sums[node.index].failures for node in usable)
            acknowledged = acknowledged / parameters.PERIODS / seconds * (total / total_own if total_own else 1.0)
            self.overload_rate = acknowledged * state.settings.overload_multiple * parameters.OVERLOAD_SHARE / weight
            cold_rate = min(self.overload_rate, total / weight)
        self.weights: dict[int, float] = {}  # listed weight, scaled by warm-up and speed
        self.limits: dict[int, float] = {}  # ops a second that a node may be given in all
        self._weigh(state, now, usable, relative_speeds(state.nodes, sums), cold_rate)

    def _weigh(
        self, state: AssignerState, now: int, usable: list[Node], speeds: Mapping[int, float], cold_rate: float
    ) -> None:
        """Set weights and limits."""
        for node in usable:
            capacity_share = state.capacity_share(node, now)
            self.weights[node.index] = node.weight * capacity_share * speeds.get(node.index, 1.0)
            warm = capacity_share >= 1.0
            self.limits[node.index] = float("inf") if warm else cold_rate * node.weight * capacity_share
            if now < node.flapping_until:
                self.limits[node.index] = -1.0  # only where nothing else is usable

    def with_room(self, load: float) -> list[int]:
        """Return the nodes that may be given this load."""
        return [index for index in self.weights if self.loads[index] + load <= self.limits[index]]

    def least_loaded(self, nodes: Iterable[int], load: float) -> int:
        """Return the node that carries least for its weight with this load added."""
        return min(nodes, key=lambda index: (self.loads[index] + load) / self.weights[index])


def relative_speeds(nodes: Mapping[int, Node], sums: Mapping[int, ReportSums]) -> dict[int, float]:
    """Return nodes' speeds against the median, bounded and damped, of those that have reported enough.

    By what an op uses of a node, where nodes tell that, else by latency. Departure from the paper, whose devices are
    alike: the root and the bounds keep a queue from being taken for a slow machine.
    """
    costs = {
        index: nodes[index].weight * reports.utilization / reports.acknowledged_per_s
        for index, reports in sums.items()
        if reports.utilization and reports.acknowledged_per_s
    } or {
        index: reports.latency_s / reports.attempts
        for index, reports in sums.items()
        if reports.attempts - reports.failures >= parameters.LEAST_ANSWERS and reports.latency_s
    }
    median_cost = median(costs.values()) if costs else 0.0
    return {
        index: min(parameters.FASTEST, max(parameters.SLOWEST, median_cost / cost)) ** parameters.SPEED_EXPONENT
        for index, cost in costs.items()
    }
