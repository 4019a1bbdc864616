"""Checks of the usage reports at the platform: ONE; and how far they are from what the servers ran."""

from collections import Counter, defaultdict
from itertools import pairwise

import msgspec

from kestrelplank.rehearsal.soak_findings import Findings
from kestrelplank.rehearsal.soak_records import SoakRecords, UsageCall
from kestrelplank.rehearsal.soak_terms import BOUNDS

HTTP_OK = 200


def check_one_text(records: SoakRecords) -> Findings:
    """Check that the platform accepts one text for each window."""
    findings = Findings("ONE (text)")
    first: dict[int, UsageCall] = {}
    for call in _accepted(records):
        findings.checked += 1
        before = first.setdefault(call.window, call)
        if before.counts != call.counts:
            findings.add(call.at, f"window {call.window}: {before.counts} by {before.holder}, {call.counts} now")
    return findings


def check_one_holder(records: SoakRecords) -> Findings:
    """Check that no fence is sent by two holders."""
    findings = Findings("ONE (fence)")
    holders: dict[int, str] = {}
    for call in records.usage_calls:
        findings.checked += 1
        holder = holders.setdefault(call.fence, call.holder)
        if holder != call.holder:
            findings.add(call.at, f"fence {call.fence} sent by {holder} and by {call.holder}")
    return findings


def check_no_return(records: SoakRecords) -> Findings:
    """Check that holders do not act in the order A, B, A inside a lease."""
    findings = Findings("ONE (order)")
    last_act: dict[str, float] = {}
    for before, call in pairwise(_accepted(records)):
        findings.checked += 1
        last_act[before.holder] = before.at
        if call.holder != before.holder and call.at - last_act.get(call.holder, -BOUNDS.lease_s) < BOUNDS.lease_s:
            findings.add(call.at, f"{call.holder} acts {call.at - last_act[call.holder]:.3f} s after it did before")
    return findings


def _accepted(records: SoakRecords) -> list[UsageCall]:
    return [call for call in records.usage_calls if call.status == HTTP_OK]


class WindowFigures(msgspec.Struct):
    """A window that fell due: how many requests of tenants ran, and how many were reported (None: no report)."""

    window: int
    ran: int
    reported: int | None
    within_tolerance: bool


class UsageFigures(msgspec.Struct):
    """The windows that fell due. That each is reported in time, within the tolerance, is a price, not a rule."""

    windows: list[WindowFigures] = msgspec.field(default_factory=list)

    @property
    def summary(self) -> str:
        """The figures in one line."""
        reported = [window for window in self.windows if window.reported is not None]
        counts = ", ".join(f"{window.reported} of {window.ran}" for window in self.windows)
        within = sum(window.within_tolerance for window in reported)
        return (
            f"{len(self.windows)} windows due, {len(reported)} reported in time, {within} within tolerance ({counts})"
        )


def usage_figures(records: SoakRecords, wall_offset_s: float) -> UsageFigures:
    """Compare the reports with the runs of the servers.

    :param wall_offset_s: seconds since 1970 at the start of the soak.
    """
    truth: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for calls in records.calls.values():
        for call in calls:
            if call.executed and call.tenants:
                truth[int((wall_offset_s + call.at) // BOUNDS.report_interval_s)][call.tenants[0]] += 1
    reports = {call.window: call for call in reversed(_accepted(records))}
    figures = UsageFigures()
    for window, counts in sorted(truth.items()):
        due_at = (window + 1) * BOUNDS.report_interval_s - wall_offset_s + BOUNDS.usage_delay_s
        if due_at <= records.ended_at:
            report = reports.get(window)
            counted = report.counts if report is not None and report.at <= due_at else None
            figures.windows.append(_window_figures(window, counts, counted))
    return figures


def _window_figures(window: int, counts: Counter[str], reported: dict[str, int] | None) -> WindowFigures:
    """Compare a report with what ran; None for no report in time."""
    if reported is None:
        return WindowFigures(window, counts.total(), None, within_tolerance=False)
    within = all(
        abs(reported.get(tenant, 0) - counts[tenant]) <= max(1.0, BOUNDS.usage_tolerance * counts[tenant])
        for tenant in sorted({*counts, *reported})
    )
    return WindowFigures(window, counts.total(), sum(reported.values()), within)
