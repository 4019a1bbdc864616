"""The report of a soak."""

from collections import Counter
from pathlib import Path

import msgspec

from kestrelplank.rehearsal.soak_configuration_checks import (
    check_answers_to_operators,
    check_denied,
    check_no_version_goes_back,
    check_reads,
    check_versions_handled,
)
from kestrelplank.rehearsal.soak_findings import Findings, Violation
from kestrelplank.rehearsal.soak_records import Ending, SoakRecords
from kestrelplank.rehearsal.soak_request_checks import (
    check_mixed,
    check_refused,
    check_route,
    check_twice,
    check_unasked,
)
from kestrelplank.rehearsal.soak_script import Fault, SoakForm, SoakScript
from kestrelplank.rehearsal.soak_secrecy_check import check_logs
from kestrelplank.rehearsal.soak_service_checks import check_lost, check_owner, check_process_ends, check_recover
from kestrelplank.rehearsal.soak_terms import REJECTIONS, SUCCESSES
from kestrelplank.rehearsal.soak_trouble import ALL_MACHINES, Trouble
from kestrelplank.rehearsal.soak_usage_checks import (
    UsageFigures,
    check_no_return,
    check_one_holder,
    check_one_text,
    usage_figures,
)


class SoakReport(msgspec.Struct, kw_only=True):
    """What a soak did and found.

    :param answers: number of attempts by HTTP status, or by how they ended without an answer.
    :param refusals: number of requests that servers refused, of those that they ran and refused all the same, and of
        copies of refusals that they sent.
    :param checked: number of cases that each check applied to.
    :param delays_s: for how long the soak's own loop was late in all; bounds are not checked in that time.
    :param kept_logs: the folder with the processes' logs, if a rule was broken.
    """

    seed: int
    form: SoakForm
    ready: bool
    script: list[Fault]
    played: dict[str, int]
    requests: int
    served: int
    answers: dict[str, int]
    refusals: dict[str, int]
    configurations: int
    acknowledged: int
    usage_reports: int
    usage: UsageFigures
    checked: dict[str, int]
    violations: list[Violation]
    delays_s: float
    left_behind: list[int]
    max_memory_mb: float = 0.0
    kept_logs: str | None = None

    @property
    def failed(self) -> bool:
        """Whether a rule was broken, or the soak did not run as it should."""
        return not self.ready or bool(self.violations) or bool(self.left_behind)


def check_all(records: SoakRecords, script: SoakScript, logs: Path) -> list[Findings]:
    """Check all rules."""
    trouble = Trouble(records)
    return [
        check_mixed(records),
        check_unasked(records),
        check_twice(records),
        check_refused(records),
        check_route(records),
        check_versions_handled(records, trouble),
        check_no_version_goes_back(records),
        check_answers_to_operators(records, trouble),
        check_reads(records),
        check_denied(records, trouble),
        check_lost(records, trouble),
        check_owner(records),
        check_recover(records),
        check_process_ends(records),
        check_one_text(records),
        check_one_holder(records),
        check_no_return(records),
        check_logs(logs, script.configurations),
    ]


def write_report(
    records: SoakRecords, script: SoakScript, form: SoakForm, logs: Path, wall_offset_s: float
) -> SoakReport:
    """Return the report, without what only the processes know."""
    findings = check_all(records, script, logs)
    attempts = records.attempts.values()
    answers = Counter(str(a.status) if a.ending is Ending.ANSWERED else a.ending.value for a in attempts)
    delays = [d.end - d.start for d in records.disturbances if d.machine == ALL_MACHINES]
    return SoakReport(
        seed=script.seed,
        form=form,
        ready=True,
        script=script.faults,
        played={},
        requests=len(attempts),
        served=sum(attempt.status in SUCCESSES for attempt in attempts),
        answers=dict(sorted(answers.items())),
        refusals=_count_refusals(records),
        configurations=len(records.configurations),
        acknowledged=sum(call.acknowledged for call in records.configurations),
        usage_reports=len(records.usage_calls),
        usage=usage_figures(records, wall_offset_s),
        checked={found.rule: found.checked for found in findings},
        violations=[violation for found in findings for violation in found.violations],
        delays_s=round(sum(delays), 3),
        left_behind=[],
    )


def _count_refusals(records: SoakRecords) -> dict[str, int]:
    refused = [call for calls in records.calls.values() for call in calls if call.status in REJECTIONS]
    executed = sum(call.executed for call in refused)
    return {"not_run": len(refused) - executed, "run": executed, "copies": records.refusal_copies}
