"""The gateway's programs: `python -m kestrelplank.gateway COMMAND`.

Usage:
  gateway edge [--settings=FILE] [--level=LEVEL] [--trace=N]
  gateway control [--settings=FILE] [--level=LEVEL]
  gateway rehearse [--requests=N] [--level=LEVEL] [--json]
  gateway soak [--seed=N] [--minutes=M] [--members=N] [--edges=N] [--load=N] [--tenants=CHOICE] [--json]
  gateway status ADDRESS [--json]
  gateway replace ADDRESS FILE [--wait=SECONDS] [--json]
  gateway check (--settings=FILE | --configuration=FILE)
  gateway diff OLD NEW [--json]
  gateway (-h | --help)

Commands:
  edge       Run the edge program, which forwards client requests.
  control    Run the control program on this core machine.
  rehearse   Run a small gateway on loopback through simulated failures, with simulated clients, servers and platform.
  soak       Run processes on loopback through a seeded script of faults that overlap, and check the rules.
  status     Print the state of a control member: voters, leader, log, peers, edges, versions, key ranges.
  replace    Send a configuration to a control member, and wait until all edges and members in session have it.
  check      Validate a configuration or a settings file.
  diff       Print the differences between two configurations, route by route.

Options:
  --settings=FILE       The settings file; without it, the file named by KESTRELPLANK_SETTINGS.
  --configuration=FILE  A configuration file (JSON).
  --level=LEVEL         The minimum level of log messages [default: INFO].
  --trace=N             Log one request in N with its attempts, by X-Attempt-Id; 0 for none [default: 0].
  --wait=SECONDS        How long to wait for all edges and members [default: 5].
  --requests=N          How many requests the simulated clients send [default: 300].
  --seed=N              The seed of the script of faults [default: 1].
  --minutes=M           How long the soak sends requests [default: 1].
  --members=N           How many control members run [default: 3].
  --edges=N             How many edges run [default: 3].
  --load=N              About how many requests all clients send in a second [default: 60].
  --tenants=CHOICE      Whether requests need a key of a tenant, yes or no [default: yes].
  --json                Print JSON.

Exit codes: 0 success; 1 a difference or fault was found, or an address can't be connected to or listened on;
2 invalid input.
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
    """The command line, parsed by docopt according to this module's docstring."""

    def __init__(self, values: Mapping[str, str | bool | None]) -> None:
        self._values = values

    def is_given(self, name: str) -> bool:
        """Whether a command, flag or option was given."""
        return bool(self._values[name])

    def text(self, name: str) -> str:
        """Return the value of an option or argument; empty if it was not given."""
        value = self._values[name]
        return value if isinstance(value, str) else ""

    def whole_number(self, name: str) -> int:
        """Return the value of an option as a whole number.

        :raises InvalidSettingsError: it is not a whole number.
        """
        if not self.text(name).isdecimal():
            raise InvalidSettingsError(f"{self.text(name)!r} is not a whole number", field=name)
        return int(self.text(name))

    def seconds(self, name: str) -> float:
        """Return the value of an option in seconds.

        :raises InvalidSettingsError: it is not a number.
        """
        try:
            return float(self.text(name))
        except ValueError as err:
            raise InvalidSettingsError(f"{self.text(name)!r} is not a number of seconds", field=name) from err


def main(argv: list[str] | None = None) -> int:
    """Run a command, or a program until a signal stops it, and return the exit code."""
    try:
        arguments = Arguments(docopt(__doc__, argv))
    except DocoptExit as err:
        print(err, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    try:
        return run_command(arguments)
    except ValueError as err:  # an InvalidSettingsError, or an unknown log level
        print_error(err)
        return ExitCode.INVALID_INPUT
    except (OSError, TimeoutError) as err:
        print_error(f"{arguments.text('ADDRESS')} {err or 'no answer'}".lstrip())
        return ExitCode.PROBLEM_FOUND


def run_command(arguments: Arguments) -> int:
    """Run the given command; each imports only the modules that it needs, to start fast."""
    as_json, address = arguments.is_given("--json"), arguments.text("ADDRESS")
    if arguments.is_given("rehearse"):
        return run_rehearsal(arguments)
    if arguments.is_given("soak"):
        return run_soak(arguments)
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
    """Run a rehearsal; the default INFO of `--level` means WARNING here."""
    from kestrelplank.gateway.rehearse import rehearse

    level = arguments.text("--level")
    log_level = "WARNING" if level == "INFO" else level.upper()
    return rehearse(arguments.whole_number("--requests"), log_level, as_json=arguments.is_given("--json"))


def run_soak(arguments: Arguments) -> int:
    """Run a soak.

    :raises InvalidSettingsError: an option has no valid value.
    """
    from kestrelplank.gateway.soak import soak
    from kestrelplank.rehearsal.soak_script import SoakForm

    if arguments.text("--tenants") not in ("yes", "no"):
        raise InvalidSettingsError("expected yes or no", field="--tenants")
    form = SoakForm(
        minutes=arguments.seconds("--minutes"),
        members=arguments.whole_number("--members"),
        edges=arguments.whole_number("--edges"),
        load_per_s=arguments.seconds("--load"),
        with_tenants=arguments.text("--tenants") == "yes",
    )
    return soak(arguments.whole_number("--seed"), form, as_json=arguments.is_given("--json"))


def run_check(arguments: Arguments) -> int:
    """Validate a configuration or a settings file."""
    from kestrelplank.gateway.check import check_configuration, check_settings

    if arguments.is_given("--configuration"):
        return check_configuration(arguments.text("--configuration"))
    return check_settings(arguments.text("--settings"), load_settings(arguments))


def run_program(arguments: Arguments) -> int:
    """Run the edge or the control program until a signal stops it."""
    settings = load_settings(arguments)
    configure_json_logging(settings.local_system.node_name, arguments.text("--level").upper())
    if arguments.is_given("edge"):
        trace = arguments.whole_number("--trace")
        from kestrelplank.edge.program import run as run_edge

        return asyncio.run(run_edge(settings, trace))
    from kestrelplank.control.program import run as run_control

    return asyncio.run(run_control(settings))


def load_settings(arguments: Arguments) -> PlatformSettings:
    """Return the settings from the file given by the option or the environment."""
    if arguments.is_given("--settings"):
        os.environ[platform.SETTINGS_VARIABLE] = arguments.text("--settings")
    return platform.load_from_environment()
