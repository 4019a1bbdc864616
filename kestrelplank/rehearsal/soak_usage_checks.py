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


class UsageFigures(msgspec.Struct):
    """How many windows fell due, and how many were reported in time, within the tolerance; a price, not a rule."""

    due: int = 0
    reported: int = 0
    within_tolerance: int = 0


def usage_figures(records: SoakRecords, wall_offset_s: float) -> UsageFigures:
    """Compare the reports with the runs of the servers.

    :param wall_offset_s: seconds since 1970 at the start of the soak.
    """
    truth: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for calls in records.calls.values():
        for call in calls:
            if call.executed and call.tenants:
                truth[int((wall_offset_s + call.at) // BOUNDS.report_interval_s)][call.tenants[0]] += 1
    reported = {call.window: call for call in reversed(_accepted(records))}
    figures = UsageFigures()
    for window, counts in sorted(truth.items()):
        due_at = (window + 1) * BOUNDS.report_interval_s - wall_offset_s + BOUNDS.usage_delay_s
        if due_at > records.ended_at:
            continue
        figures.due += 1
        report = reported.get(window)
        if report is not None and report.at <= due_at:
            figures.reported += 1
            figures.within_tolerance += all(
                abs(report.counts.get(tenant, 0) - count) <= max(1.0, BOUNDS.usage_tolerance * count)
                for tenant, count in counts.items()
            )
    return figures
