"""`gateway rehearse`: runs a small gateway on loopback through simulated failures."""

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.rehearsal.gateway_rehearsal import play

# Report fields that count rule violations: a request ran twice, a request ran although the client was promised that it
# had not, a key had two holders.
RULE_VIOLATION_FIELDS = ("run_twice", "promised_and_ran", "held_twice", "wrong_tenant")


def rehearse(requests: int, log_level: str, *, as_json: bool) -> ExitCode:
    """Print the report, and return PROBLEM_FOUND if a rule was violated or the rehearsal did not complete.

    :param requests: how many requests the simulated clients send.
    """
    report = play(requests, log_level=log_level)
    if as_json:
        print_json(report)
    else:
        for name, value in report.items():
            print(f"{name.replace('_', ' ')}: {', '.join(value) if isinstance(value, list) else value}")
    complete = report["ready"] and report["replaced"]
    failed = not complete or any(report[field] for field in RULE_VIOLATION_FIELDS)
    return ExitCode.PROBLEM_FOUND if failed else ExitCode.DONE
