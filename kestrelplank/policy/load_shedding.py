"""Load shedding: the share of each op type to admit while the fleet is strained.

Work that times out crowds out the rest; the price of shedding is that it rejects what might have been served.
"""

from collections import deque
from collections.abc import Collection

from kestrelplank.interface import SECOND, PolicySettings
from kestrelplank.policy import parameters
from kestrelplank.policy.node import Node, NodeState

PERIODS_JUDGED = 2


class LoadShedder:
    """Sheds op types of least value first while the median node answers too slowly, down to what usable nodes ack."""

    def __init__(self, settings: PolicySettings) -> None:
        self.active = settings.admission == "share"
        self._targets_ns = [op_type.target_latency_ns for op_type in settings.op_types]
        self._by_value = sorted(range(len(settings.op_types)), key=lambda index: settings.op_types[index].value)
        self.shed = 0.0  # share of all ops
        self.ops = [0.0] * len(settings.op_types)  # that came before shedding began, by op type, fading
        self.ordered: dict[int, float] = {}  # by op type: the share that proxies were last told to admit
        self.strained = False
        self._recent_shed: deque[float] = deque(maxlen=parameters.PERIODS)
        self.best_acknowledged = 0.0  # ops a period that a usable node was seen to acknowledge at most, fading

    def count(self, op_type: int, ops: float) -> None:
        """Count ops that came; none while shedding, as clients try again what was rejected."""
        self.ops[op_type] += 0 if self.shed else ops

    def close_period(self, nodes: Collection[Node]) -> None:
        """Judge strain by the median node's latency over the target, and decide how much to shed for it."""
        latencies = sorted(latency for node in nodes if (latency := node.zone_latency_s(PERIODS_JUDGED)))
        usable = [node for node in nodes if node.state is NodeState.UP and not node.withdrawn]
        total = sum(self.ops)
        if latencies and total and usable:
            target_s = sum(ops * target for ops, target in zip(self.ops, self._targets_ns)) / total / SECOND
            strain = latencies[len(latencies) // 2] / target_s if target_s else 0.0
            self.strained = strain > (parameters.RELAXED if self.strained else parameters.STRAINED)
            self._adjust(strain, total, usable)
        if not self.shed:
            self.ops = [ops * (1 - 1 / parameters.PERIODS) for ops in self.ops]

    def _adjust(self, strain: float, total: float, usable: list[Node]) -> None:
        sums = [node.sums(PERIODS_JUDGED) for node in usable]
        attempts = sum(reports.attempts for reports in sums) / PERIODS_JUDGED
        failures = sum(reports.failures for reports in sums) / PERIODS_JUDGED
        self.best_acknowledged = max(self.best_acknowledged * parameters.BEST_FADING, (attempts - failures) / len(sums))
        self._recent_shed.append(self.shed)
        demand = max(total / parameters.PERIODS, attempts / (1 - min(self._recent_shed)))
        if strain > parameters.STRAINED:
            excess = parameters.SHED_MARGIN - self.best_acknowledged * len(sums) / demand
            self.shed = min(parameters.MOST_SHED, max(self.shed, excess))
        elif strain < parameters.RELAXED:
            self.shed = max(0.0, self.shed - parameters.SHED_STEP)

    def shares(self) -> dict[int, float]:
        """Return the share of each op type to admit, those of least value first."""
        remaining, shares = self.shed * sum(self.ops), {}
        for op_type in self._by_value:
            cut = min(remaining, self.ops[op_type])
            remaining -= cut
            shares[op_type] = round(1 - cut / self.ops[op_type], 1) if cut else 1.0
        return shares
