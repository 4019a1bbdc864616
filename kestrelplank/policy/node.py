"""An assigner's state of one node."""

from collections import deque
from enum import Enum
from operator import add
from typing import NamedTuple

from kestrelplank.interface import SECOND, NodeReport
from kestrelplank.policy.parameters import LOAD_PERIODS, MAX_EJECTION_NS, MIN_EJECTION_NS, PEER_LOADS_VALID_NS


class NodeState(Enum):
    """A node's condition according to the node lists."""

    UNLISTED = "unlisted"
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"
    DROPPED = "dropped"  # absent from or removed by a list, where only draining binds: used until it fails


TO_EVACUATE = (NodeState.DRAINING, NodeState.REMOVED)


class ReportSums(NamedTuple):
    """Sums of reports on a node; `zone_...` covers only proxies in the node's own zone."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_s: float = 0.0  # sum over all attempts
    zone_attempts: float = 0.0
    zone_failures: float = 0.0
    zone_latency_s: float = 0.0
    utilization: float = 0.0
    acknowledged_per_s: float = 0.0


NO_REPORTS = ReportSums()


class Node:
    """An assigner's state of one node.

    `withdrawn`: proxies must not use it. `order_due`: the order for the present value of `withdrawn` is not sent yet.
    """

    def __init__(self, index: int, now: int) -> None:
        self.index = index
        self.zone: int | None = None
        self.weight = 1.0
        self.started_at: int | None = None
        self.state = NodeState.UNLISTED
        self.withdrawn, self.withdrawal_changed_at = False, now
        self.order_due = False  # a joined proxy may have another value of `withdrawn`
        self.joined_order_due = False  # likewise for a proxy that just joined; sets `order_due` in the next timed round
        self.ordered_at: int | None = None  # when a withdrawal or readmission was last ordered
        self.current_period = NO_REPORTS
        self.periods: deque[ReportSums] = deque(maxlen=LOAD_PERIODS)
        self.ejected_until, self.ejection_ns = -MAX_EJECTION_NS, MIN_EJECTION_NS
        self.moves_allowed_at = 0  # `BalancingPass.move_slices` moves none from or to it before
        self.peer_loads: dict[int, tuple[float, int]] = {}  # by peer: ops a second of its slices here, received at
        self.recent_starts: tuple[int, ...] = ()
        self.flapping_until = 0  # until then it gets slices only if no other node is usable
        self.awaiting_load = False  # new or restarted, and below its share of the load
        self.former_slices_removed = True  # all slices that it had before its last start are removed from it

    def usable(self, now: int) -> bool:
        """Whether it may be given slices."""
        return self.state is NodeState.UP and not self.withdrawn and not self.must_withdraw(now)

    def withdrawal_required(self) -> bool:
        """Whether a rule requires its withdrawal: it is draining, gone, or restarted with former slices left."""
        return self.state in TO_EVACUATE or not self.former_slices_removed

    def must_withdraw(self, now: int) -> bool:
        """Whether it must be withdrawn, by a rule or because it is ejected as unhealthy."""
        return self.withdrawal_required() or now < self.ejected_until

    def add_report(self, report: NodeReport) -> None:
        """Count a report in the current period."""
        latency_s = report.attempts * (report.mean_latency_ns or 0) / SECOND
        own_zone = report.zone == self.zone
        counted = (
            report.attempts,
            report.failures,
            latency_s,
            report.attempts if own_zone else 0,
            report.failures if own_zone else 0,
            latency_s if own_zone else 0,
            report.load.get("utilization", 0),
            report.load.get("acknowledged_per_s", 0),
        )
        self.current_period = ReportSums(*map(add, self.current_period, counted))

    def close_period(self) -> None:
        """End the current report period and begin the next."""
        self.periods.append(self.current_period)
        self.current_period = NO_REPORTS

    def sums(self, last: int = LOAD_PERIODS) -> ReportSums:
        """Return the sums over the `last` most recent complete periods."""
        recent = list(self.periods)[-last:]
        return ReportSums(*map(sum, zip(*recent))) if recent else NO_REPORTS

    def peer_load(self, now: int) -> float:
        """Return the ops a second that other assigners' slices bring here, by their messages that are still valid."""
        return sum(ops for ops, received_at in self.peer_loads.values() if now - received_at < PEER_LOADS_VALID_NS)

    def zone_latency_s(self, last: int) -> float | None:
        """Return its mean latency (s) from its own zone, as inter-zone latency is not overload; None if unknown."""
        sums = self.sums(last)
        return sums.zone_latency_s / sums.zone_attempts if sums.zone_attempts > sums.zone_failures else None
