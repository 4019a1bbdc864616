"""What the commands of `kestrelplank` and those of `kestrelplank.gateway` have in common: exit codes, JSON, refusals.

It imports neither click nor docopt.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

import msgspec

from kestrelplank.settings.errors import InvalidSettingsError


class ExitCode(IntEnum):
    """What a command's exit code means, whichever command it is."""

    DONE = 0
    PROBLEM_FOUND = 1  # done, and a difference or fault was found; or whoever was asked does not answer
    INVALID_INPUT = 2  # what was given cannot be used; one line says why


def print_json(value: object) -> None:
    """Print one JSON object or list on one line, which is what `--json` asks for."""
    print(msgspec.json.encode(value).decode())


def print_error(reason: object) -> None:
    """Print one line on standard error that says why the command ends."""
    print(f"kestrelplank: {reason}", file=sys.stderr)


@contextmanager
def exit_on_invalid_settings() -> Iterator[None]:
    """End the command with the one line of an InvalidSettingsError that is raised inside."""
    try:
        yield
    except InvalidSettingsError as err:
        print_error(err)
        sys.exit(ExitCode.INVALID_INPUT)
