"""Usage reports at one control member: collecting counts, fixing windows while it leads, reporting them. No I/O.

Every voter collects the counts of all edges, so that any new leader can fix the next window. The leader fixes windows
by log entries; the holder of the role sends what the log has, at most one call at a time. Without the platform's wish
for reports (`MemberProfile.usage`) nothing is done.
"""

from random import Random

from kestrelplank.consensus.log_entries import FixUsage
from kestrelplank.consensus.member_messages import ReleaseReason, UsageReported
from kestrelplank.control.effects import ReportUsage
from kestrelplank.control.replica import Replica
from kestrelplank.control.singleton_roles import SingletonRoles
from kestrelplank.control.usage_status import UsageStatus
from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.time_units import SECOND
from kestrelplank.usage.messages import UsageCounts, UsageCountsReply
from kestrelplank.usage.policy import UsagePolicy
from kestrelplank.usage.true_time import TrueTimeEstimate
from kestrelplank.usage.usage_collector import UsageCollector
from kestrelplank.usage.usage_reporter import CallResult, PlatformCall, UsageReporter
from kestrelplank.usage.window_fixing import WindowFixing, report_content
from kestrelplank.usage.windows import NO_WINDOW, window_end

OWN_CLOCK = ""  # as a peer of `TrueTimeEstimate`
MIN_CLOCKS, CLOCK_SETTLING_NS = 3, 2 * SECOND


class UsageReporting:
    """The member's part in usage reports.

    Invariants, each with its test in `tests/control/test_usage_reporting.py`:

    - A window is reported with one content, whoever sends it
      (`test_a_window_has_one_content_though_leader_and_holder_are_killed_together`).
    - Counts survive the loss of power of all members
      (`test_counts_survive_a_loss_of_power_of_all_members`).
    - A call is made only under a valid token (`test_only_the_holder_of_the_role_reports`).
    """

    def __init__(self, random: Random, policy: UsagePolicy, replica: Replica, roles: SingletonRoles) -> None:
        self._policy, self._replica, self._roles = policy, replica, roles
        self._node = replica.node
        self._time = TrueTimeEstimate(MIN_CLOCKS, CLOCK_SETTLING_NS)
        self._collector = UsageCollector()
        self._fixing = WindowFixing(policy)
        self._reporter = UsageReporter(random, policy)
        self._proposed_window = NO_WINDOW  # in this term
        self._reported_through = NO_WINDOW  # as the holder has told this member

    # Edges.

    def handle_counts(self, now: int, counts: UsageCounts) -> UsageCountsReply:
        """Record an edge's counts and its clock; return the answer."""
        if counts.reply_sent_at:
            round_trip_ns = now - counts.reply_sent_at - counts.reply_held_ns
            self._time.add_reading(now, counts.edge, counts.wall_time_ns, round_trip_ns)
        self._collector.handle_counts(now, counts)
        true_time_ns = self._time.true_time(now) or 0
        return UsageCountsReply(counts.sent_at, now, true_time_ns, self._replica.state.usage.fixed_through)

    # The log.

    def handle_elected(self, now: int) -> None:
        """Begin to fix windows."""
        self._fixing.handle_elected(now)
        self._proposed_window = NO_WINDOW

    def handle_applied(self, dropped: tuple[int, ...]) -> None:
        """Handle a change of the ledger.

        :param dropped: windows that were dropped without a report.
        """
        self._collector.drop_through(self._replica.state.usage.fixed_through)
        for window in dropped:
            self._replica.log(f"usage of window {window} is dropped: too many windows are waiting for the platform")

    def handle_reported(self, message: UsageReported) -> None:
        """Handle the holder's message: the mark is put into the log with the next window."""
        self._reported_through = max(self._reported_through, message.window)

    # Timed work.

    def tick(self, now: int, wall_time_ns: int | None) -> None:
        """Fix the next window if this member leads, and report the next one if it holds the role.

        :param wall_time_ns: this machine's time of day.
        """
        if wall_time_ns is not None:
            self._time.add_reading(now, OWN_CLOCK, wall_time_ns, round_trip_ns=0)
        self._collector.tick(now)
        if self._node.leads(now):
            self._fix_next(now)
        token = self._roles.token(now, USAGE_REPORT)
        if token is not None:
            self._report_next(now, token)

    def _fix_next(self, now: int) -> None:
        ledger = self._replica.state.usage
        if self._proposed_window > ledger.fixed_through:
            return  # not committed yet
        window = self._fixing.next_window(now, self._time.true_time(now), ledger.fixed_through, self._collector)
        if window is None:
            return
        content = report_content(window, self._collector.totals(window))
        if self._replica.propose(now, FixUsage(window, content, self._reported_through)) is not None:
            self._proposed_window = window

    def _report_next(self, now: int, token: int) -> None:
        if self._reporter.should_release(now):
            self._reporter.handle_released()
            self._roles.release(now, USAGE_REPORT, token, ReleaseReason.UNREACHABLE)
            return
        call = self._reporter.next_call(now, token, self._replica.state.usage.unreported)
        if call is not None:
            self._replica.emit(ReportUsage(call))

    def handle_call_ended(self, now: int, call: PlatformCall, result: CallResult) -> None:
        """Handle the end of a call to the platform."""
        self._reporter.handle_result(now, call, result)
        if result is CallResult.REJECTED:
            self._roles.release(now, USAGE_REPORT, call.token, ReleaseReason.REJECTED)
        elif result is CallResult.ACCEPTED:
            self._tell_reported()
        else:
            self._replica.log(f"usage of window {call.window} is not reported yet: {result.value}")

    def _tell_reported(self) -> None:
        """Tell the leader which windows need no further report."""
        through = self._reporter.reported_through(self._replica.state.usage.unreported)
        if through == NO_WINDOW:
            return
        self._reported_through = max(self._reported_through, through)
        if self._node.leader not in ("", self._node.identity):
            self._replica.send(self._node.leader, UsageReported(through))

    # Queries by the program.

    def may_send(self, now: int, call: PlatformCall) -> bool:
        """Whether the call's token is still valid."""
        return self._roles.token(now, USAGE_REPORT) == call.token

    def status(self, now: int) -> UsageStatus:
        """Return the status for operators."""
        ledger, true_time_ns = self._replica.state.usage, self._time.true_time(now)
        oldest = min(ledger.unreported, default=None)
        overdue_s = None
        if oldest is not None and true_time_ns is not None:
            due_at_ns = window_end(oldest, self._policy.interval_ns) + self._policy.delay_ns
            overdue_s = round((true_time_ns - due_at_ns) / SECOND, 3)
        return UsageStatus(
            fixed_through=_known(ledger.fixed_through),
            reported_through=_known(ledger.reported_through),
            unreported=len(ledger.unreported),
            overdue_s=overdue_s,
            edges=self._collector.edge_count,
            true_time_s=None if true_time_ns is None else round(true_time_ns / SECOND, 3),
            late_counts=self._collector.late_counts,
            windows_dropped=self._collector.dropped_windows,
        )


def _known(window: int) -> int | None:
    return None if window == NO_WINDOW else window
