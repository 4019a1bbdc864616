"""The gateway's programs: `python -m kestrelplank.gateway COMMAND`.

Usage:
  gateway edge [--settings=FILE] [--level=LEVEL] [--trace=N]
  gateway control [--settings=FILE] [--level=LEVEL]
  gateway rehearse [--requests=N] [--level=LEVEL] [--json]
  gateway status ADDRESS [--json]
  gateway replace ADDRESS FILE [--wait=SECONDS] [--json]
  gateway check (--settings=FILE | --configuration=FILE)
  gateway diff OLD NEW [--json]
  gateway (-h | --help)

Commands:
  edge       Carry the traffic of clients on this edge machine.
  control    Serve control on this core machine.
  rehearse   Play a small gateway on loopback through losses, with stand-ins for all others.
  status     What a control member sees: who counts and leads, how far it is, edges, versions, lines.
  replace    Send a configuration to a control member, and wait until all that are in session have it.
  check      Say whether a file can be used.
  diff       What differs between two configurations, route by route.

Options:
  --settings=FILE       The settings file; else the one that KESTRELPLANK_SETTINGS names.
  --configuration=FILE  A configuration as the operator sends it.
  --level=LEVEL         What is logged [default: INFO].
  --trace=N             Log one request in N with its tries, by X-Attempt-Id; 0 for none [default: 0].
  --wait=SECONDS        How long to wait for the last one [default: 5].
  --requests=N          Requests that clients send [default: 300].
  --json                Print one JSON object.

Exit codes: 0 done; 1 done and found wanting, or an address can't be listened at; 2 what was given can't be used.
"""

import asyncio
import os
import sys
from collections.abc import Mapping

from docopt import DocoptExit, docopt  # type: ignore[import-untyped] # the library has no types

from kestrelplank.command_output import ExitCode, print_error
from kestrelplank.settings import platform
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.json_logging import configure_json_logging
from kestrelplank.settings.platform import PlatformSettings


class Arguments:
    """The command line as docopt has read it against this module's text."""

    def __init__(self, values: Mapping[str, str | bool | None]) -> None:
        self._values = values

    def is_given(self, name: str) -> bool:
        """Whether a command, flag or option is given."""
        return bool(self._values[name])

    def text(self, name: str) -> str:
        """Return the text of an option or argument; empty where it is not given."""
        value = self._values[name]
        return value if isinstance(value, str) else ""

    def count(self, name: str) -> int:
        """Return the whole number that an option holds.

        :raises InvalidSettingsError: it holds none.
        """
        if not self.text(name).isdecimal():
            raise InvalidSettingsError(f"{self.text(name)!r} is no whole number", field=name)
        return int(self.text(name))

    def seconds(self, name: str) -> float:
        """Return the seconds that an option holds.

        :raises InvalidSettingsError: it holds no number.
        """
        try:
            return float(self.text(name))
        except ValueError as err:
            raise InvalidSettingsError(f"{self.text(name)!r} is no number of seconds", field=name) from err


def main(argv: list[str] | None = None) -> int:
    """Run a command, or a program until a signal stops it, and return the exit code."""
    try:
        arguments = Arguments(docopt(__doc__, argv))
    except DocoptExit as err:
        print(err, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    try:
        return run_command(arguments)
    except ValueError as err:  # InvalidSettingsError is one, and so is a level that logging does not know
        print_error(err)
        return ExitCode.INVALID_INPUT
    except (OSError, TimeoutError) as err:
        print_error(f"{arguments.text('ADDRESS')} {err or 'no answer'}".lstrip())
        return ExitCode.PROBLEM_FOUND


def run_command(arguments: Arguments) -> int:
    """Run the command that is given; each imports only what it needs, so that it starts fast."""
    as_json, address = arguments.is_given("--json"), arguments.text("ADDRESS")
    if arguments.is_given("rehearse"):
        return run_rehearsal(arguments)
    if arguments.is_given("status"):
        from kestrelplank.gateway.status import status

        return status(address, as_json=as_json)
    if arguments.is_given("replace"):
        from kestrelplank.gateway.replace import replace

        return replace(address, arguments.text("FILE"), arguments.seconds("--wait"), as_json=as_json)
    if arguments.is_given("diff"):
        from kestrelplank.gateway.diff import diff

        return diff(arguments.text("OLD"), arguments.text("NEW"), as_json=as_json)
    if arguments.is_given("check"):
        return run_check(arguments)
    return run_program(arguments)


def run_rehearsal(arguments: Arguments) -> int:
    """Play a rehearsal; less is logged than of a program, unless a level is asked for."""
    from kestrelplank.gateway.rehearse import rehearse

    level = arguments.text("--level")
    log_level = "WARNING" if level == "INFO" else level.upper()
    return rehearse(arguments.count("--requests"), log_level, as_json=arguments.is_given("--json"))


def run_check(arguments: Arguments) -> int:
    """Check a configuration or a settings file."""
    from kestrelplank.gateway.check import check_configuration, check_settings

    if arguments.is_given("--configuration"):
        return check_configuration(arguments.text("--configuration"))
    return check_settings(arguments.text("--settings"), load_settings(arguments))


def run_program(arguments: Arguments) -> int:
    """Run the edge or the control program until a signal stops it."""
    settings = load_settings(arguments)
    configure_json_logging(settings.local_system.node_name, arguments.text("--level").upper())
    if arguments.is_given("edge"):
        trace = arguments.count("--trace")
        from kestrelplank.edge.program import run as run_edge

        return asyncio.run(run_edge(settings, trace))
    from kestrelplank.control.program import run as run_control

    return asyncio.run(run_control(settings))


def load_settings(arguments: Arguments) -> PlatformSettings:
    """Return the settings in the file that the option or the environment names."""
    if arguments.is_given("--settings"):
        os.environ[platform.SETTINGS_VARIABLE] = arguments.text("--settings")
    return platform.load_from_environment()
