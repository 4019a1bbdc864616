"""`kestrelplank zones`: a running conductor's zones, from its status socket."""

import sys

import click
import msgspec

from kestrelplank.settings import operator
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile

WITHIN = 3.0  # s


@click.command()
@click.option("--ini", "path", envvar=operator.INI_VARIABLE, type=click.Path(), help="The operator's file.")
@click.option("--socket", "at", type=click.Path(), help="The status socket, where no file names it.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def command(path: str | None, at: str | None, as_json: bool) -> None:
    """Each zone as a running conductor sees it: nodes, demand, capacity, and who of the others is alive."""
    from kestrelplank.assigner.status_socket import read_status

    try:
        at = at or (operator.read_operator_settings(IniFile.load(path)).status.path if path else "")
    except InvalidSettingsError as err:
        click.echo(f"kestrelplank: {err}", err=True)
        sys.exit(2)
    if not at:
        click.echo("kestrelplank: no status socket: name one with --socket or in the operator's file", err=True)
        sys.exit(2)
    try:
        found = read_status(at, WITHIN)
    except (OSError, ValueError) as err:
        click.echo(f"kestrelplank: {at}: {getattr(err, 'strerror', None) or err}", err=True)
        sys.exit(1)
    if as_json:
        click.echo(msgspec.json.encode(found))
        return
    columns = ("listed", "ready", "withdrawn", "barred", "cold", "demand", "capacity")
    click.echo(f"{'zone':<16}" + "".join(f"{column:>10}" for column in columns))
    for name, zone in found["zones"].items():
        click.echo(f"{name:<16}" + "".join(f"{zone.get(column, 0):>10}" for column in columns))
    if found["members"]:
        alive = ", ".join(map(str, found["members"]["alive"]))
        click.echo(f"view {found['members']['view']}: conductors {alive} alive")
