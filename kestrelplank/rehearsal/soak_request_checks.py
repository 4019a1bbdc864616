"""Checks of what servers ran and what clients got: MIXED, UNASKED, TWICE, REFUSED and ROUTE."""

from collections.abc import Sequence

from kestrelplank.rehearsal.soak_configurations import PlannedConfiguration
from kestrelplank.rehearsal.soak_findings import Findings
from kestrelplank.rehearsal.soak_records import ClientAttempt, Ending, ServerCall, SoakRecords
from kestrelplank.rehearsal.soak_terms import REJECTIONS, SUCCESSES


def check_mixed(records: SoakRecords) -> Findings:
    """Check that each answer belongs to its request, and is what the server answered."""
    findings = Findings("MIXED")
    for attempt in records.attempts.values():
        if attempt.ending is Ending.MALFORMED:
            findings.add_attempt(attempt, f"bytes that are no answer: {attempt.answer_body[:80]!r}")
        elif attempt.ending is Ending.ANSWERED:
            findings.checked += 1
            seen = _mixed_answer(records, attempt)
            if seen:
                findings.add_attempt(attempt, seen)
    for stray in records.stray_bytes:
        findings.add(stray.at, f"bytes without a request: {stray.data[:80]!r}", edge=stray.edge)
    return findings


def _mixed_answer(records: SoakRecords, attempt: ClientAttempt) -> str | None:
    """Return what is wrong with a complete answer, None if nothing is."""
    if attempt.answered_id not in (None, attempt.attempt_id):
        return f"the answer to {attempt.answered_id}"
    is_success = attempt.status in SUCCESSES
    if attempt.seal is None:
        return "a success without a seal" if is_success else None
    bodies = [call.answer_body for call in records.calls.get(attempt.attempt_id, []) if call.status == attempt.status]
    if attempt.answer_body not in bodies:
        return f"no server gave this request the answer {attempt.answer_body[:80]!r}"
    return None


def check_unasked(records: SoakRecords) -> Findings:
    """Check that servers run only what clients sent, unchanged, under the right tenant and without the key."""
    findings = Findings("UNASKED")
    versions = records.valid_versions()
    for attempt_id, calls in records.calls.items():
        for call in calls:
            if not call.executed:
                continue
            findings.checked += 1
            attempt = records.attempts.get(attempt_id)
            seen = "no client sent it" if attempt is None else _unasked_run(versions, attempt, call)
            if seen:
                findings.add(call.at, f"{call.server} ran {call.method} {call.path}: {seen}", attempt_id)
    return findings


def _unasked_run(versions: Sequence[PlannedConfiguration], attempt: ClientAttempt, call: ServerCall) -> str | None:
    """Return how the request that ran differs from the one that was sent, None if it does not."""
    if (call.method, call.path, call.body_digest) != (attempt.method, attempt.path, attempt.body_digest):
        return f"sent as {attempt.method} {attempt.path}, body {attempt.body_digest}, ran with {call.body_digest}"
    if all(version.tenants is None for version in versions):
        return None
    if call.key_passed_on:
        return "the key was passed on"
    if len(call.tenants) > 1:
        return f"several tenants: {call.tenants}"
    tenant = call.tenants[0] if call.tenants else None
    holders = {version.tenant_of(attempt.api_key) for version in versions} if attempt.api_key else {None}
    if tenant not in holders:
        return f"tenant {tenant}, but the key is held by {sorted(map(str, holders))}"
    return None


def check_twice(records: SoakRecords) -> Findings:
    """Check that a request that is not repeatable runs at most once."""
    findings = Findings("TWICE")
    for attempt in records.attempts.values():
        if attempt.repeatable:
            continue
        findings.checked += 1
        runs = records.runs(attempt.attempt_id)
        if len(runs) > 1:
            findings.add_attempt(attempt, f"ran at {', '.join(f'{run.server} {run.at:.3f} s' for run in runs)}")
    return findings


def check_refused(records: SoakRecords) -> Findings:
    """Check that a request whose answer guarantees that it has not run does not run, before or after it."""
    findings = Findings("REFUSED")
    for attempt in records.attempts.values():
        if attempt.repeatable or attempt.ending is not Ending.ANSWERED or attempt.status not in REJECTIONS:
            continue
        findings.checked += 1
        runs = records.runs(attempt.attempt_id)
        if runs:
            findings.add_attempt(attempt, f"ran at {runs[0].server} {runs[0].at:.3f} s")
    return findings


def check_route(records: SoakRecords) -> Findings:
    """Check that a request runs only at a service, and with a key, that some configuration allows."""
    findings = Findings("ROUTE")
    versions = records.valid_versions()
    for attempt_id, calls in records.calls.items():
        attempt = records.attempts.get(attempt_id)
        for call in calls:
            if attempt is None or not call.executed:
                continue
            findings.checked += 1
            seen = _forbidden_run(versions, attempt, call)
            if seen:
                findings.add(call.at, f"{call.server} ran {call.path}: {seen}", attempt_id, attempt.edge)
    return findings


def _forbidden_run(versions: Sequence[PlannedConfiguration], attempt: ClientAttempt, call: ServerCall) -> str | None:
    """Return why no configuration allows this run, None if one does."""
    routes = [(version, version.route(call.path)) for version in versions]
    allowing = [(version, route) for version, route in routes if route is not None and call.service in route.services]
    if not allowing:
        return f"no configuration sends it to {call.service}"
    if any(version.tenants is None for version in versions):
        return None
    if attempt.api_key is not None:
        known = any(version.tenant_of(attempt.api_key) is not None for version in versions)
        return None if known else "no configuration ever held its key"
    return None if any(route.public_access for _, route in allowing) else "without a key on a route that needs one"
