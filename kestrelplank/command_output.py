"""Output and exit codes shared by the commands of `kestrelplank` and `kestrelplank.gateway`.

It imports neither click nor docopt.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

import msgspec

from kestrelplank.settings.errors import InvalidSettingsError


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    PROBLEM_FOUND = 1  # completed, but a difference or fault was found, or the queried process did not respond
    INVALID_INPUT = 2  # the input cannot be used; one line on standard error gives the reason


def print_json(value: object) -> None:
    """Print a JSON value on one line, as `--json` requests."""
    print(msgspec.json.encode(value).decode())


def print_error(reason: object) -> None:
    """Print the reason for which the command ends, as one line on standard error."""
    print(f"kestrelplank: {reason}", file=sys.stderr)


@contextmanager
def exit_on_invalid_settings() -> Iterator[None]:
    """Print an InvalidSettingsError raised inside as one line and exit with `INVALID_INPUT`."""
    try:
        yield
    except InvalidSettingsError as err:
        print_error(err)
        sys.exit(ExitCode.INVALID_INPUT)
