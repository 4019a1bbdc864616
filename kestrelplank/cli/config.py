"""`kestrelplank config show`: what holds of the operator's file, and where each value came from."""

import sys

import click
import msgspec

from kestrelplank.settings import operator
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import NS_PER_UNIT


def shown(value: object, field: str, section: str) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(map(str, value))
    if isinstance(value, int) and field in TIMES and section != "[members]" or field == "every":
        unit = next((unit for unit, size in reversed(NS_PER_UNIT.items()) if value and not value % size), "s")
        return f"{value // NS_PER_UNIT[unit]}{unit}"
    return "" if value is None else str(value)


TIMES = ("quiet", "poll", "stand", "grace", "every")


@click.group(name="config")
def command() -> None:
    """What the operator's file says."""


@command.command()
@click.option("--ini", "path", envvar=operator.INI_VARIABLE, type=click.Path(), help="The operator's file.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, times in ns.")
def show(path: str | None, as_json: bool) -> None:
    """Every field with its value, and the line or default that it came from."""
    try:
        ini = IniFile.load(path) if path else IniFile("no file", "")
        operator.read_operator_settings(ini)
    except InvalidSettingsError as err:
        click.echo(f"kestrelplank: {err}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(msgspec.json.encode([dict(zip(("section", "field", "value", "from"), row)) for row in ini.origins]))
        return
    for section, field, value, where in ini.origins:
        click.echo(f"{section:<10} {field:<16} {shown(value, field, section):<28} {where}")
