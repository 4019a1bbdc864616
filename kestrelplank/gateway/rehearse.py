"""`gateway rehearse`: a small gateway on loopback, played through losses."""

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.rehearsal.gateway_rehearsal import play

# Fields of the report that count violations: a request ran twice, one ran that was promised not to have run, a key had
# two holders.
RULE_VIOLATION_FIELDS = ("run_twice", "promised_and_ran", "held_twice")


def rehearse(requests: int, log_level: str, *, as_json: bool) -> ExitCode:
    """Print what was seen; PROBLEM_FOUND where a rule was broken.

    :param requests: how many the clients send.
    """
    report = play(requests, log_level=log_level)
    if as_json:
        print_json(report)
    else:
        for name, value in report.items():
            print(f"{name.replace('_', ' ')}: {', '.join(value) if isinstance(value, list) else value}")
    complete = report["ready"] and report["replaced"]
    broken = not complete or any(report[field] for field in RULE_VIOLATION_FIELDS)
    return ExitCode.PROBLEM_FOUND if broken else ExitCode.DONE
