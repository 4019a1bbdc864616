"""Load shedding: the share of each op type to admit while the fleet is overloaded.

Ops that time out take capacity from the others. Cost of shedding: it may reject ops that would have been served.
"""

from collections import deque
from collections.abc import Collection

from kestrelplank.interface import SECOND, PolicySettings
from kestrelplank.policy import parameters
from kestrelplank.policy.node import Node, NodeState

RECENT_PERIODS = 2


class LoadShedder:
    """Sheds op types of least value first while the median node is too slow, down to what usable nodes acknowledge."""

    def __init__(self, settings: PolicySettings) -> None:
        self.active = settings.admission == "share"
        self._targets_ns = [op_type.target_latency_ns for op_type in settings.op_types]
        self._by_value = sorted(range(len(settings.op_types)), key=lambda index: settings.op_types[index].value)
        self.shed = 0.0  # share of all ops
        self.ops = [0.0] * len(settings.op_types)  # by op type: received while not shedding, decaying
        self.ordered: dict[int, float] = {}  # by op type: the admitted share that was last ordered
        self.overloaded = False
        self._recent_shed: deque[float] = deque(maxlen=parameters.LOAD_PERIODS)
        self.best_acknowledged = 0.0  # highest mean of acknowledged ops per usable node in a period, decaying

    def count(self, op_type: int, ops: float) -> None:
        """Count received ops; none while shedding, as clients retry rejected ones."""
        self.ops[op_type] += 0 if self.shed else ops

    def close_period(self, nodes: Collection[Node]) -> None:
        """Compare the median node's latency with the target, and decide how much to shed."""
        latencies = sorted(latency for node in nodes if (latency := node.zone_latency_s(RECENT_PERIODS)))
        usable = [node for node in nodes if node.state is NodeState.UP and not node.withdrawn]
        total = sum(self.ops)
        if latencies and total and usable:
            target_s = sum(ops * target for ops, target in zip(self.ops, self._targets_ns)) / total / SECOND
            latency_ratio = latencies[len(latencies) // 2] / target_s if target_s else 0.0
            self.overloaded = latency_ratio > (
                parameters.RECOVERED_LATENCY_RATIO if self.overloaded else parameters.OVERLOAD_LATENCY_RATIO
            )
            self._adjust(latency_ratio, total, usable)
        if not self.shed:
            self.ops = [ops * (1 - 1 / parameters.LOAD_PERIODS) for ops in self.ops]

    def _adjust(self, latency_ratio: float, total: float, usable: list[Node]) -> None:
        sums = [node.sums(RECENT_PERIODS) for node in usable]
        attempts = sum(reports.attempts for reports in sums) / RECENT_PERIODS
        failures = sum(reports.failures for reports in sums) / RECENT_PERIODS
        self.best_acknowledged = max(self.best_acknowledged * parameters.BEST_DECAY, (attempts - failures) / len(sums))
        self._recent_shed.append(self.shed)
        demand = max(total / parameters.LOAD_PERIODS, attempts / (1 - min(self._recent_shed)))
        if latency_ratio > parameters.OVERLOAD_LATENCY_RATIO:
            excess = parameters.SHED_MARGIN - self.best_acknowledged * len(sums) / demand
            self.shed = min(parameters.MAX_SHED, max(self.shed, excess))
        elif latency_ratio < parameters.RECOVERED_LATENCY_RATIO:
            self.shed = max(0.0, self.shed - parameters.SHED_STEP)

    def shares(self) -> dict[int, float]:
        """Return the share of each op type to admit, those of least value first."""
        remaining, shares = self.shed * sum(self.ops), {}
        for op_type in self._by_value:
            rejected_ops = min(remaining, self.ops[op_type])
            remaining -= rejected_ops
            shares[op_type] = round(1 - rejected_ops / self.ops[op_type], 1) if rejected_ops else 1.0
        return shares
