"""The load of each node, and the limits of usable ones."""

from collections.abc import Iterable, Mapping

from kestrelplank.interface import SECOND
from kestrelplank.policy import parameters
from kestrelplank.policy.ejection import median
from kestrelplank.policy.node import Node, ReportSums
from kestrelplank.policy.state import AssignerState


class FleetLoad:
    """Loads and limits by node, which a step of a round updates as it moves slices. Mirador paper: storage model.

    `loads` covers all nodes; `weights` and `limits` only usable ones, which may be given slices. A load is the larger
    of what a node's reports show and what its slices bring: so a moved slice counts on both nodes until the averages
    no longer include the source's old reports.
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
        # Ops a second per unit of weight that don't overload a warming node (rule 4), and that it may get; -1: unknown.
        self.overload_rate = warming_rate = -1.0
        if usable and now >= state.moves_allowed_at:
            weight, total, total_own = sum(node.weight for node in usable), sum(self.loads.values()), sum(own.values())
            acknowledged = sum(sums[node.index].attempts - sums[node.index].failures for node in usable)
            acknowledged = acknowledged / parameters.LOAD_PERIODS / seconds * (total / total_own if total_own else 1.0)
            self.overload_rate = acknowledged * state.settings.overload_multiple * parameters.OVERLOAD_SHARE / weight
            warming_rate = min(self.overload_rate, total / weight)
        self.weights: dict[int, float] = {}  # weight from the node list, scaled by warm-up and speed
        self.limits: dict[int, float] = {}  # ops a second that a node may be given in total
        self._weigh(state, now, usable, relative_speeds(state.nodes, sums), warming_rate)

    def _weigh(
        self, state: AssignerState, now: int, usable: list[Node], speeds: Mapping[int, float], warming_rate: float
    ) -> None:
        """Set weights and limits."""
        for node in usable:
            capacity_share = state.capacity_share(node, now)
            self.weights[node.index] = node.weight * capacity_share * speeds.get(node.index, 1.0)
            warm = capacity_share >= 1.0
            self.limits[node.index] = float("inf") if warm else warming_rate * node.weight * capacity_share
            if now < node.flapping_until:
                self.limits[node.index] = -1.0  # used only where no other node is usable

    def with_capacity(self, load: float) -> list[int]:
        """Return the nodes whose limit allows this additional load."""
        return [index for index in self.weights if self.loads[index] + load <= self.limits[index]]

    def least_loaded(self, nodes: Iterable[int], load: float) -> int:
        """Return the node with the least load for its weight once this load is added."""
        return min(nodes, key=lambda index: (self.loads[index] + load) / self.weights[index])


def relative_speeds(nodes: Mapping[int, Node], sums: Mapping[int, ReportSums]) -> dict[int, float]:
    """Return nodes' speeds relative to the median, bounded and damped, for nodes with enough reports.

    Measured by a node's utilization per op where nodes report it, by latency otherwise. Departure from the paper, whose
    devices are alike: the root and the bounds limit the error where a queue looks like a slow machine.
    """
    costs = {
        index: nodes[index].weight * reports.utilization / reports.acknowledged_per_s
        for index, reports in sums.items()
        if reports.utilization and reports.acknowledged_per_s
    } or {
        index: reports.latency_s / reports.attempts
        for index, reports in sums.items()
        if reports.attempts - reports.failures >= parameters.MIN_ANSWERS and reports.latency_s
    }
    median_cost = median(costs.values()) if costs else 0.0
    return {
        index: min(parameters.MAX_SPEED, max(parameters.MIN_SPEED, median_cost / cost)) ** parameters.SPEED_EXPONENT
        for index, cost in costs.items()
    }
