"""Checks of service through faults: LOST, OWNER, RECOVER, and processes that end by themselves."""

from kestrelplank.rehearsal.soak_findings import Findings
from kestrelplank.rehearsal.soak_records import ClientAttempt, Disturbance, Ending, ServerCall, SoakRecords
from kestrelplank.rehearsal.soak_terms import BOUNDS, SUCCESSES
from kestrelplank.rehearsal.soak_trouble import Trouble

AFTER_GRACE_S = 1.0
LAST_PART_OF_GRACE = 5 / 6
LATE_REQUEST_S = 3.0  # after SIGTERM: later requests have no claim to the last part of the grace period
NOTICE_S = 0.1  # between the end of the time that an edge hands to a server and the server's own view of it
MIN_RECOVERED_REQUESTS = 20
MIN_SERVED_SHARE = 0.25


def check_lost(records: SoakRecords, trouble: Trouble) -> Findings:
    """Check that no request ends without an answer because of a signal or a change of configuration."""
    findings = Findings("LOST")
    for attempt in records.attempts.values():
        if attempt.sent_at is None or trouble.has_unplanned(attempt.edge, attempt.sent_from, attempt.ended_at):
            continue
        findings.checked += 1
        stop = _stop_in_progress(trouble, attempt)
        seen = _loss(records, trouble, attempt, stop)
        if seen:
            context = f"SIGTERM at {stop.start:.3f} s" if stop else "no SIGTERM in progress"
            findings.add_attempt(attempt, f"{seen}; {context}")
    return findings


def _stop_in_progress(trouble: Trouble, attempt: ClientAttempt) -> Disturbance | None:
    """Return the SIGTERM of the attempt's edge in whose time the attempt ended."""
    period_s = BOUNDS.grace_s + AFTER_GRACE_S
    stops = trouble.planned(attempt.edge, "SIGTERM")
    return next((stop for stop in stops if stop.start <= attempt.ended_at <= stop.start + period_s), None)


def _loss(records: SoakRecords, trouble: Trouble, attempt: ClientAttempt, stop: Disturbance | None) -> str | None:
    """Return how the attempt was lost, None if it was not."""
    assert attempt.sent_at is not None
    calls = records.calls.get(attempt.attempt_id, [])
    if attempt.ended_at >= attempt.sent_from + attempt.deadline_s or _is_excused(records, attempt, calls, stop):
        return None
    if attempt.ending is Ending.CLOSED:
        if calls:
            return f"passed on to {calls[-1].server}, and the connection ended"
        late = attempt.ended_at > attempt.sent_at + BOUNDS.loss_slack_s
        if late and not trouble.is_loop_late(attempt.sent_at, attempt.ended_at):
            return f"the connection ended {attempt.ended_at - attempt.sent_at:.3f} s after the last byte was sent"
    elif stop is not None and attempt.ending is Ending.ANSWERED and attempt.seal is None:
        at = attempt.ended_at
        running = [call for call in calls if call.runs_at(at) and at + NOTICE_S < call.deadline_at]
        if running:
            since = f"since {running[0].at:.3f} s, handed time until {running[0].deadline_at:.3f} s"
            return f"answered while {running[0].server} was at work on it {since}; {len(calls)} calls in all"
    return None


def _is_excused(
    records: SoakRecords, attempt: ClientAttempt, calls: list[ServerCall], stop: Disturbance | None
) -> bool:
    """Whether a server stopped, or was at work in the last part of the grace period."""
    servers = {call.server for call in calls}
    stopped = [d for d in records.disturbances if d.machine in servers and d.start <= attempt.ended_at <= d.end]
    if stopped:
        return True
    if stop is None or attempt.sent_from > stop.start + LATE_REQUEST_S:
        return False
    last_part = stop.start + BOUNDS.grace_s * LAST_PART_OF_GRACE
    return any(call.runs_at(last_part) for call in calls)


def check_owner(records: SoakRecords) -> Findings:
    """Check that no two servers that hold the same keys both begin requests on them."""
    findings = Findings("OWNER", checked=sum(len(calls) for calls in records.calls.values()))
    for conflict in records.conflicts:
        others = [
            other
            for other in records.conflicts
            if other.server != conflict.server
            and set(other.holders) == set(conflict.holders)
            and 0 <= conflict.at - other.at <= BOUNDS.max_hold_s
        ]
        if others:
            holders = " and ".join(conflict.holders)
            findings.add(conflict.at, f"key {conflict.key} is held by {holders}, which both begin requests")
    return findings


def check_recover(records: SoakRecords) -> Findings:
    """Check that a quarter of the proper requests is served once all machines have been back for `recovery_s`."""
    findings = Findings("RECOVER")
    unplanned = [d for d in records.disturbances if d.machine in (*records.members, *records.edges)]
    ends = sorted({d.end for d in unplanned if d.end <= records.ended_at})
    for start in [0.0, *ends]:
        until = min((d.start for d in unplanned if d.end > start), default=records.ended_at)
        since = start + (BOUNDS.recovery_s if start else 0.0)
        proper = [a for a in _proper(records) if since <= a.sent_from and a.ended_at < until]
        findings.checked += len(proper)
        served = sum(attempt.status in SUCCESSES for attempt in proper)
        if len(proper) >= MIN_RECOVERED_REQUESTS and served < MIN_SERVED_SHARE * len(proper):
            findings.add(since, f"{served} of {len(proper)} requests served from {since:.1f} s to {until:.1f} s")
    return findings


def _proper(records: SoakRecords) -> list[ClientAttempt]:
    """Return the attempts that every configuration ever sent would run."""
    versions = records.valid_versions()
    base = {route.prefix for route in versions[0].routes} if versions else set()
    return [
        attempt
        for attempt in records.attempts.values()
        if any(attempt.path.startswith(prefix) for prefix in base)
        and all(
            version.tenants is None or attempt.api_key is not None and version.tenant_of(attempt.api_key) is not None
            for version in versions
        )
    ]


def check_process_ends(records: SoakRecords) -> Findings:
    """Check that no process ends by itself."""
    findings = Findings("FAULT", checked=len(records.members) + len(records.edges))
    for end in records.process_ends:
        findings.add(end.at, f"{end.machine} ended by itself with exit code {end.exit_code}")
    return findings
