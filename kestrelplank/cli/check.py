"""`kestrelplank check FILE...`: whether an operator's file, node lists (together one set) and scripts can be used."""

import sys

import click

from kestrelplank.settings import operator, reference_proxy
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile


def kind(ini: IniFile) -> str:
    """What a file is, by its sections."""
    kinds = {section.kind for section in ini.sections}
    if "relay" in kinds:
        return "relay's file"
    return "script" if "site" in kinds else "node list" if kinds & {"zone", "list"} else "operator's file"


@click.command()
@click.argument("paths", metavar="FILE...", nargs=-1, required=True, type=click.Path())
def command(paths: tuple[str, ...]) -> None:
    """Say whether files can be used; node lists among them are checked as one set."""
    from kestrelplank.file_discovery import nodelist
    from kestrelplank.file_discovery.source import bytes_of
    from kestrelplank.state.nodeset import Refused, assemble

    bad, parts = False, []
    for path in paths:
        try:
            ini = IniFile.load(path)
            what = kind(ini)
            if what == "script":
                from kestrelplank.emulator.script import read_script

                read_script(ini)
            elif what == "relay's file":
                reference_proxy.read_reference_proxy_settings(ini)
            elif what == "node list":
                limits = operator.NodeFileSettings()
                parts.append(nodelist.read(path, bytes_of(path, limits.max_file_bytes), limits.max_nodes, False))
            else:
                operator.read_operator_settings(ini)
            click.echo(f"{path}: {what}, good")
        except InvalidSettingsError as err:
            bad = True
            click.echo(f"kestrelplank: {err}", err=True)
    if parts and not bad:
        try:
            found = assemble(parts)
            size = f"{len(found)} nodes, {len(found.ready())} ready, in {len(found.zones)} zones"
            click.echo(f"{size}; hash {found.short}")
        except Refused as err:
            bad = True
            for conflict in err.conflicts:
                click.echo(f"kestrelplank: {conflict}", err=True)
    sys.exit(2 if bad else 0)
