"""`kestrelplank zones`: a running conductor's zones, from its status socket."""

import sys
from typing import cast

import click

from kestrelplank.cli.options import ini_option, json_option
from kestrelplank.command_output import ExitCode, exit_on_invalid_settings, print_error, print_json
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.operator import read_operator_settings

ANSWER_TIMEOUT_S = 3.0
COLUMNS = ("listed", "ready", "withdrawn", "barred", "cold", "demand", "capacity")


@click.command()
@ini_option
@click.option(
    "--socket", "socket_path", type=click.Path(), help="The status socket; default: the one in the operator's file."
)
@json_option
def command(path: str | None, socket_path: str | None, as_json: bool) -> None:
    """Show the zones of a running conductor: nodes, demand, capacity, and which conductors are alive."""
    from kestrelplank.assigner.status_socket import read_status

    with exit_on_invalid_settings():
        if not socket_path and path:
            socket_path = read_operator_settings(IniFile.load(path)).status.path
    if not socket_path:
        print_error("no status socket: name one with --socket or in the operator's file")
        sys.exit(ExitCode.INVALID_INPUT)
    try:
        status = read_status(socket_path, ANSWER_TIMEOUT_S)
    except (OSError, ValueError) as err:
        print_error(f"{socket_path}: {getattr(err, 'strerror', None) or err}")
        sys.exit(ExitCode.PROBLEM_FOUND)
    if as_json:
        print_json(status)
        return
    print_zones(cast("dict[str, dict[str, object]]", status["zones"]))
    members = cast("dict[str, list[int]] | None", status["members"])
    if members:
        alive = ", ".join(map(str, members["alive"]))
        print(f"view {members['view']}: conductors {alive} alive")


def print_zones(zones: dict[str, dict[str, object]]) -> None:
    """Print a table with a line for each zone."""
    print(f"{'zone':<16}" + "".join(f"{column:>10}" for column in COLUMNS))
    for name, zone in zones.items():
        print(f"{name:<16}" + "".join(f"{zone.get(column, 0):>10}" for column in COLUMNS))
