"""Checks of the configuration in force: CONFIG and DENIED."""

from collections import defaultdict
from collections.abc import Sequence

from kestrelplank.rehearsal.soak_configurations import Handling, PlannedConfiguration, Ran
from kestrelplank.rehearsal.soak_findings import Findings
from kestrelplank.rehearsal.soak_records import ClientAttempt, ConfigurationRead, Ending, SoakRecords
from kestrelplank.rehearsal.soak_terms import BOUNDS, NOT_COUNTED_AS_DENIED
from kestrelplank.rehearsal.soak_trouble import Trouble

DENIED_ALLOWANCE, DENIED_ONE_IN = 5, 500


class VersionHistory:
    """When each valid version was first sent and first acknowledged, and which versions permit a handling."""

    def __init__(self, records: SoakRecords) -> None:
        self.versions = records.valid_versions()
        self._sent_at: dict[int, float] = {}
        self._acknowledgements: list[tuple[float, int]] = []
        for call in records.valid_calls():
            version = call.planned.version
            self._sent_at[version] = min(call.sent_at, self._sent_at.get(version, call.sent_at))
            if call.acknowledged and call.answered_at is not None:
                self._acknowledgements.append((call.answered_at, version))
        self._permitting: dict[tuple[str, str | None, Handling], list[PlannedConfiguration]] = {}

    def acknowledged_by(self, at: float) -> int:
        """Return the highest version acknowledged before that time, 0 if there is none."""
        return max((version for acknowledged_at, version in self._acknowledgements if acknowledged_at < at), default=0)

    def permitting(self, attempt: ClientAttempt, handling: Handling, at: float) -> list[int]:
        """Return the versions sent before that time that permit this handling of the attempt."""
        case = attempt.path, attempt.api_key, handling
        if case not in self._permitting:
            self._permitting[case] = [version for version in self.versions if version.permits(*case)]
        return [version.version for version in self._permitting[case] if self._sent_at[version.version] <= at]


def check_versions_handled(records: SoakRecords, trouble: Trouble) -> Findings:
    """Check that, after the bound, edges handle requests as the newest acknowledged version or a later one permits."""
    findings, history = Findings("CONFIG"), VersionHistory(records)
    for attempt in records.attempts.values():
        for handling in records.handlings(attempt):
            bound_s = trouble.configuration_bound_s(attempt.edge, attempt.sent_from, attempt.ended_at)
            if bound_s is None:
                continue
            findings.checked += 1
            oldest_allowed = history.acknowledged_by(attempt.sent_from - bound_s)
            permitting = history.permitting(attempt, handling, attempt.ended_at)
            if permitting and max(permitting) < oldest_allowed:
                findings.add_attempt(
                    attempt,
                    f"{handling} as version {max(permitting)} permits, not {oldest_allowed} (bound {bound_s} s)",
                )
    return findings


def check_no_version_goes_back(records: SoakRecords) -> Findings:
    """Check that within one life of its process, an edge does not go back to an older version."""
    findings, history = Findings("CONFIG (back)"), VersionHistory(records)
    by_life: defaultdict[tuple[str, int], list[ClientAttempt]] = defaultdict(list)
    for attempt in records.attempts.values():
        by_life[attempt.edge, _life(records, attempt)].append(attempt)
    for attempts in by_life.values():
        _check_life(records, history, attempts, findings)
    return findings


def _life(records: SoakRecords, attempt: ClientAttempt) -> int:
    """Return the number of the edge's life in which the attempt was sent."""
    ends = [d for d in records.disturbances if d.machine == attempt.edge and d.kind in ("SIGTERM", "SIGKILL", "ended")]
    return sum(disturbance.end <= attempt.sent_from for disturbance in ends)


def _check_life(
    records: SoakRecords, history: VersionHistory, attempts: Sequence[ClientAttempt], findings: Findings
) -> None:
    """Check the attempts of one life of an edge, in the order of time."""
    shown: list[tuple[float, int]] = []  # when a server saw the effect of a version, and the lowest such version
    for attempt in attempts:
        for run in records.runs(attempt.attempt_id):
            permitting = history.permitting(attempt, Ran(run.service, run.tenants[0] if run.tenants else None), run.at)
            if permitting:
                shown.append((run.at, min(permitting)))
    shown.sort()
    highest, index = 0, 0
    for attempt in sorted(attempts, key=lambda attempt: attempt.sent_from):
        while index < len(shown) and shown[index][0] + BOUNDS.downgrade_slack_s < attempt.sent_from:
            highest, index = max(highest, shown[index][1]), index + 1
        for handling in records.handlings(attempt):
            findings.checked += 1
            permitting = history.permitting(attempt, handling, attempt.ended_at)
            if permitting and max(permitting) < highest:
                findings.add_attempt(
                    attempt, f"{handling} as version {max(permitting)} permits, after {highest} was seen"
                )


def check_answers_to_operators(records: SoakRecords, trouble: Trouble) -> Findings:
    """Check that no invalid version is acknowledged, and no valid one refused, or left without an answer in calm."""
    findings = Findings("CONFIG (operator)")
    for call in records.configurations:
        findings.checked += 1
        version, change = call.planned.version, call.planned.change
        if call.planned.defect is not None and call.acknowledged:
            findings.add(call.sent_at, f"{call.member} acknowledged {version}, {call.planned.defect.value}")
        elif call.planned.defect is None and 400 <= call.status < 500:  # noqa: PLR2004 - HTTP status codes
            findings.add(call.sent_at, f"{call.member} refused {version} ({change}) with {call.status}")
    for planned in records.valid_versions():
        calls = [call for call in records.valid_calls() if call.planned.version == planned.version]
        first = min(call.sent_at for call in calls)
        until = min((call.answered_at for call in calls if call.acknowledged and call.answered_at), default=1e9)
        late = first + BOUNDS.ack_s
        if until > late and late < records.ended_at and trouble.is_settled(first, late):
            findings.add(late, f"{planned.version} has no acknowledgement after {BOUNDS.ack_s} s")
    return findings


def check_reads(records: SoakRecords) -> Findings:
    """Check that no member shows a configuration older than the bound allows, or another text than was sent."""
    findings, history = Findings("CONFIG (read)"), VersionHistory(records)
    texts = {version.text(): version.version for version in history.versions}
    for read in [*records.reads, *records.final_reads]:
        findings.checked += 1
        _check_read(read, texts, history.acknowledged_by(read.sent_at - BOUNDS.config_apply_s), findings)
    if records.members and not records.final_reads:
        findings.add(records.now(), "no member shows the configuration at the end")
    return findings


def _check_read(read: ConfigurationRead, texts: dict[bytes, int], oldest_allowed: int, findings: Findings) -> None:
    version = texts.get(read.text)
    if version is None:
        findings.add(read.sent_at, f"{read.member} shows a text that was never sent: {read.text[:80]!r}")
    elif version < oldest_allowed:
        findings.add(read.sent_at, f"{read.member} shows {version}, but {oldest_allowed} was acknowledged")


def check_denied(records: SoakRecords, trouble: Trouble) -> Findings:
    """Check that edges in touch refuse few requests that every configuration in question allows."""
    findings, history = Findings("DENIED"), VersionHistory(records)
    for attempt in records.attempts.values():
        if not trouble.is_in_touch(attempt.edge, attempt.sent_from, attempt.ended_at):
            continue
        findings.checked += 1
        if _is_denied(history, records, attempt):
            findings.add_attempt(attempt, "refused, though every configuration allows it")
    if len(findings.violations) <= DENIED_ALLOWANCE + len(records.attempts) / DENIED_ONE_IN:
        findings.violations.clear()
    return findings


def _is_denied(history: VersionHistory, records: SoakRecords, attempt: ClientAttempt) -> bool:
    """Whether the gateway itself refused a proper request by a 3xx or 4xx."""
    if attempt.ending is not Ending.ANSWERED or attempt.seal is not None:
        return False
    if not 300 <= attempt.status < 500 or attempt.status in NOT_COUNTED_AS_DENIED:  # noqa: PLR2004 - HTTP status codes
        return False
    handlings = records.handlings(attempt)
    return not any(history.permitting(attempt, handling, attempt.ended_at) for handling in handlings)
