"""A node as far as an assigner knows it."""

from collections import deque
from enum import Enum
from operator import add
from typing import NamedTuple

from kestrelplank.interface import SECOND, NodeReport
from kestrelplank.policy.parameters import EJECTION_NS, LONGEST_EJECTION_NS, PEER_LOADS_VALID_NS, PERIODS


class NodeState(Enum):
    """What lists say of a node."""

    UNLISTED = "unlisted"
    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"
    DROPPED = "dropped"  # as REMOVED, at a site where only draining binds: it works until it fails


TO_EVACUATE = (NodeState.DRAINING, NodeState.REMOVED)


class ReportSums(NamedTuple):
    """Sums of reports on a node; `zone_...` counts those of proxies in the node's own zone only."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_s: float = 0.0  # of all attempts together
    zone_attempts: float = 0.0
    zone_failures: float = 0.0
    zone_latency_s: float = 0.0
    utilization: float = 0.0
    acknowledged_per_s: float = 0.0


NO_REPORTS = ReportSums()


class Node:
    """All that is known of one node.

    Whether proxies are to be kept from it is `withdrawn`; the order that says so is due while `order_due`.
    """

    def __init__(self, index: int, now: int) -> None:
        self.index = index
        self.zone: int | None = None
        self.weight = 1.0
        self.started_at: int | None = None
        self.state = NodeState.UNLISTED
        self.withdrawn, self.withdrawal_changed_at = False, now
        self.order_due = False  # some joined proxy may hold another state of `withdrawn`
        self.joined_order_due = False  # as that, because a proxy has joined: ordered from the next timed round on
        self.ordered_at: int | None = None  # when it was last withdrawn or let in by order
        self.current_period = NO_REPORTS
        self.periods: deque[ReportSums] = deque(maxlen=PERIODS)
        self.ejected_until, self.ejection_ns = -LONGEST_EJECTION_NS, EJECTION_NS
        self.settled_at = 0  # takes part in no move before
        self.peer_loads: dict[int, tuple[float, int]] = {}  # by peer: ops a second of its slices here, heard at
        self.recent_starts: tuple[int, ...] = ()
        self.flapping_until = 0  # given nothing before
        self.filling = False  # new or restarted, and not up to its share of the load yet
        self.emptied = True  # since its last start it has lost every slice that it had before

    def usable(self, now: int) -> bool:
        """Whether slices may be put here."""
        return self.state is NodeState.UP and not self.withdrawn and not self.must_withdraw(now)

    def bound_to_withdraw(self) -> bool:
        """Whether a rule wants it withdrawn: it drains, is gone, or came back cold with all that it had before."""
        return self.state in TO_EVACUATE or not self.emptied

    def must_withdraw(self, now: int) -> bool:
        """Whether it is to be withdrawn, by a rule or as unhealthy."""
        return self.bound_to_withdraw() or now < self.ejected_until

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
        """Begin a report period."""
        self.periods.append(self.current_period)
        self.current_period = NO_REPORTS

    def sums(self, last: int = PERIODS) -> ReportSums:
        """Return the sums over the last so many periods that have ended."""
        recent = list(self.periods)[-last:]
        return ReportSums(*map(sum, zip(*recent))) if recent else NO_REPORTS

    def peer_load(self, now: int) -> float:
        """Return the ops a second that other assigners' slices bring here, as far as they sent it lately."""
        return sum(ops for ops, heard_at in self.peer_loads.values() if now - heard_at < PEER_LOADS_VALID_NS)

    def zone_latency_s(self, last: int) -> float | None:
        """Return its mean latency as its own zone saw it, since a slow way between zones is no strain."""
        sums = self.sums(last)
        return sums.zone_latency_s / sums.zone_attempts if sums.zone_attempts > sums.zone_failures else None
