"""`gateway diff`: what differs between two configurations, route by route."""

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.configuration.differences import differences
from kestrelplank.gateway.check import read_configuration


def diff(old_path: str, new_path: str, *, as_json: bool) -> ExitCode:
    """Print what the new configuration changes; PROBLEM_FOUND where it changes anything.

    :raises InvalidSettingsError: one of them cannot be used.
    """
    changes = differences(read_configuration(old_path), read_configuration(new_path))
    if as_json:
        print_json([difference._asdict() for difference in changes])
    else:
        for difference in changes:
            print(difference)
    return ExitCode.PROBLEM_FOUND if changes else ExitCode.DONE
