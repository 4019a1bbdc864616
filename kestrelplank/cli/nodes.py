"""`kestrelplank nodes list|check|diff|history`: node lists in files, and the set that is in force."""

import glob
import sys
from collections.abc import Callable

import click
import msgspec

from kestrelplank.file_discovery import nodelist
from kestrelplank.file_discovery.source import bytes_of, load
from kestrelplank.settings import operator
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.state.guards import ACCEPTED, Terms, judge
from kestrelplank.state.nodeset import NodeSet, Part, Refused, assemble, difference


def guarded(call: Callable, *arguments: object) -> object:
    """What the call returns; what can't be used ends the command with its line and exit code 2."""
    try:
        return call(*arguments)
    except (InvalidSettingsError, Refused) as err:
        for line in getattr(err, "conflicts", [err]):
            click.echo(f"kestrelplank: {line}", err=True)
        sys.exit(2)
    except OSError as err:
        click.echo(f"kestrelplank: {err.filename}: can't be read: {err.strerror}", err=True)
        sys.exit(2)


def settings(path: str | None) -> operator.NodeFileSettings:
    if not path:
        raise InvalidSettingsError(f"no operator's file: name one with --ini or {operator.INI_VARIABLE}")
    return operator.read_operator_settings(IniFile.load(path)).nodes


def parts(paths: list[str] | tuple[str, ...], nodes: operator.NodeFileSettings) -> list[Part]:
    return [
        nodelist.read(path, bytes_of(path, nodes.max_file_bytes), nodes.max_nodes, nodes.trailer_required)
        for path in paths
    ]


def files(nodes: operator.NodeFileSettings) -> list[str]:
    """The files that the operator's patterns name; a path without a pattern must be there."""
    found: dict[str, None] = {}
    for pattern in nodes.files:
        found.update(dict.fromkeys(sorted(glob.glob(pattern)) or ([] if glob.has_magic(pattern) else [pattern])))
    return list(found)


def rows(made: NodeSet) -> list[dict]:
    return [{"name": name, **listed._asdict()} for name, listed in made.nodes.items()]


@click.group(name="nodes")
def command() -> None:
    """Node lists in files, and the set in force."""


INI = click.option("--ini", "path", envvar=operator.INI_VARIABLE, type=click.Path(), help="The operator's file.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@command.command(name="list")
@INI
@JSON
@click.option("--in-force", is_flag=True, help="What stands in the state file instead of what the files say.")
def list_(path: str | None, as_json: bool, in_force: bool) -> None:
    """Every node, as the files have it or as it is in force."""
    nodes = guarded(settings, path)
    if in_force:
        kept = guarded(load, nodes.state_path) if nodes.state_path else None
        if kept is None:
            click.echo("kestrelplank: no state is kept", err=True)
            sys.exit(1)
        made = kept[0]
    else:
        made = guarded(assemble, guarded(parts, files(nodes), nodes))
    if as_json:
        click.echo(msgspec.json.encode(rows(made)))
        return
    for name, listed in made.nodes.items():
        click.echo(
            f"{name:<40} {listed.zone:<12} {listed.address:<22} {listed.weight:<8g} "
            f"{'ready' if listed.ready else 'draining'}"
        )
    click.echo(f"{len(made)} nodes, {len(made.ready())} ready; hash {made.short}")


@command.command()
@INI
def check(path: str | None) -> None:
    """Whether what the files say may follow what is in force. Exit 1: it would wait or be refused."""
    nodes = guarded(settings, path)
    found = guarded(parts, files(nodes), nodes)
    made = guarded(assemble, found)
    kept = guarded(load, nodes.state_path) if nodes.state_path else None
    confirms = tuple(part.confirms for part in found if part.confirms)
    verdict = judge(
        kept[0] if kept else None,
        made,
        confirms,
        0,
        Terms(nodes.max_closed_fraction, nodes.confirmation_period_ns, nodes.zone_may_empty),
    )
    click.echo(f"{verdict.how}: {verdict.why}")
    sys.exit(0 if verdict.how == ACCEPTED else 1)


@command.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
@JSON
def diff(old: str, new: str, as_json: bool) -> None:
    """What one node list changes of another. Exit 1: something."""
    limits = operator.NodeFileSettings()
    before, after = (guarded(assemble, guarded(parts, [path], limits)) for path in (old, new))
    found = difference(before, after)
    if as_json:
        click.echo(msgspec.json.encode(found._asdict()))
    else:
        for sign, names in (("+", found.added), ("-", found.gone), ("~", found.changed)):
            for name in names:
                click.echo(f"{sign} {name}" + (" (closed)" if name in found.closed else ""))
        click.echo(str(found))
    sys.exit(1 if found.added or found.gone or found.changed else 0)


@command.command()
@INI
@JSON
def history(path: str | None, as_json: bool) -> None:
    """The versions that were in force, the last of them now."""
    nodes = guarded(settings, path)
    kept = guarded(load, nodes.state_path) if nodes.state_path else None
    entries = kept[2] if kept else ()
    if as_json:
        click.echo(msgspec.json.encode([dict(zip(("version", "hash", "what"), entry)) for entry in entries]))
        return
    for version, short, what in entries:
        click.echo(f"{version:>6}  {short}  {what}")
