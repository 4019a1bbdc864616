"""`gateway diff`: prints the differences between two configurations, route by route."""

from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.configuration.differences import differences
from kestrelplank.gateway.check import read_configuration


def diff(old_path: str, new_path: str, *, as_json: bool) -> ExitCode:
    """Print the changes in the new configuration, and return PROBLEM_FOUND if there are any.

    :raises InvalidSettingsError: one of the files is not a valid configuration.
    """
    changes = differences(read_configuration(old_path), read_configuration(new_path))
    if as_json:
        print_json([difference._asdict() for difference in changes])
    else:
        for difference in changes:
            print(difference)
    return ExitCode.PROBLEM_FOUND if changes else ExitCode.DONE
