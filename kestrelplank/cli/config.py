"""`kestrelplank config show`: the values of the operator's file, and the origin of each."""

import click

from kestrelplank.cli.options import ini_option
from kestrelplank.command_output import exit_on_invalid_settings, print_json
from kestrelplank.settings.ini import FieldOrigin, IniFile
from kestrelplank.settings.ini_fields import NS_PER_UNIT
from kestrelplank.settings.operator import read_operator_settings

DURATION_FIELDS = {
    ("[nodes]", "quiet"),
    ("[nodes]", "poll"),
    ("[nodes]", "stand"),
    ("[nodes]", "grace"),
    ("[members]", "every"),
}


@click.group(name="config", help="Show the operator's file.")
def command() -> None:
    """Show the operator's file."""


@command.command()
@ini_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON, with times in ns.")
def show(path: str | None, as_json: bool) -> None:
    """Print every field with its value and its origin: a line of the file, or the default."""
    with exit_on_invalid_settings():
        ini = IniFile.load(path) if path else IniFile("no file", "")
        read_operator_settings(ini)
    if as_json:
        print_json([dict(zip(("section", "field", "value", "from"), origin)) for origin in ini.origins])
        return
    for origin in ini.origins:
        print(f"{origin.section:<10} {origin.field:<16} {format_value(origin):<28} {origin.origin}")


def format_value(origin: FieldOrigin) -> str:
    """Return a field's value in the syntax of the file."""
    value = origin.value
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(map(str, value))
    if isinstance(value, int) and (origin.section, origin.field) in DURATION_FIELDS:
        return format_duration(value)
    return "" if value is None else str(value)


def format_duration(duration_ns: int) -> str:
    """Return a duration in the largest unit that gives a whole number; 0 is in seconds."""
    units = (unit for unit, size in reversed(NS_PER_UNIT.items()) if duration_ns and not duration_ns % size)
    unit = next(units, "s")
    return f"{duration_ns // NS_PER_UNIT[unit]}{unit}"
