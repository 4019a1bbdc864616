"""`gateway soak`: runs the gateway's processes on loopback through a seeded script of faults, and checks the rules."""

import msgspec

from kestrelplank.command_output import ExitCode, print_error, print_json
from kestrelplank.rehearsal.soak import SoakIncompleteError, play
from kestrelplank.rehearsal.soak_report import SoakReport
from kestrelplank.rehearsal.soak_script import SoakForm
from kestrelplank.settings.errors import InvalidSettingsError

MIN_MEMBERS, MAX_MACHINES = 3, 98


def soak(seed: int, form: SoakForm, *, as_json: bool) -> ExitCode:
    """Print the report, and return PROBLEM_FOUND if a rule was broken.

    :raises InvalidSettingsError: the form can't be played.
    """
    check_form(form)
    try:
        report = play(seed, form)
    except SoakIncompleteError as err:
        print_error(err)
        return ExitCode.PROBLEM_FOUND
    if as_json:
        print_json(msgspec.to_builtins(report))
    else:
        print_report(report)
    return ExitCode.PROBLEM_FOUND if report.failed else ExitCode.DONE


def check_form(form: SoakForm) -> None:
    """Raise InvalidSettingsError if the form can't be played."""
    if form.minutes <= 0:
        raise InvalidSettingsError("expected more than 0", field="--minutes")
    if form.members < MIN_MEMBERS:
        raise InvalidSettingsError(f"expected {MIN_MEMBERS} or more", field="--members")
    if form.edges < 1 or form.members + form.edges > MAX_MACHINES:
        raise InvalidSettingsError(f"expected 1 or more, and {MAX_MACHINES} machines at most", field="--edges")


def print_report(report: SoakReport) -> None:
    """Print the script, the figures and the breaches."""
    for fault in report.script:
        version = f" version {fault.version}" if fault.version else ""
        duration = f" {fault.duration_s} s" if fault.duration_s else ""
        print(f"{fault.at_s:8.3f} s {fault.kind.value} {fault.target}{duration}{version}")
    for name in ("seed", "requests", "served", "configurations", "acknowledged", "usage_reports"):
        print(f"{name.replace('_', ' ')}: {getattr(report, name)}")
    print(f"usage: {report.usage.summary}")
    counted = {
        "played": report.played,
        "answers": report.answers,
        "refusals": report.refusals,
        "checked": report.checked,
    }
    for title, counts in counted.items():
        print(f"{title}: {', '.join(f'{name} {count}' for name, count in counts.items())}")
    print(f"delays of the soak itself: {report.delays_s} s; memory of the processes: {report.max_memory_mb} MB")
    for violation in report.violations:
        where = " ".join(filter(None, (violation.edge, violation.attempt_id)))
        print(f"BROKEN {violation.rule} seed {report.seed} at {violation.at_s} s {where}: {violation.seen}")
    if report.left_behind:
        print(f"processes left behind: {report.left_behind}")
    if report.kept_logs:
        print(f"logs: {report.kept_logs}")
