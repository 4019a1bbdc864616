"""`kestrelplank nodes diff`: the differences between two node lists."""

import sys

import click

from kestrelplank.cli.nodes.files import exit_on_unusable_files, read_node_lists
from kestrelplank.cli.options import json_option
from kestrelplank.command_output import ExitCode, print_json
from kestrelplank.settings.operator import NodeFileSettings
from kestrelplank.state.node_set import assemble, difference


@click.command(help="Show the differences between two node lists. Exit 1: there are differences.")
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
@json_option
def diff(old: str, new: str, as_json: bool) -> None:
    """Print the differences between two node lists."""
    limits = NodeFileSettings()
    with exit_on_unusable_files():
        before, after = (assemble(read_node_lists([path], limits)) for path in (old, new))
    found = difference(before, after)
    if as_json:
        print_json(found._asdict())
    else:
        for sign, names in (("+", found.added), ("-", found.gone), ("~", found.changed)):
            for name in names:
                print(f"{sign} {name}" + (" (closed)" if name in found.closed else ""))
        print(found)
    sys.exit(ExitCode.PROBLEM_FOUND if found.added or found.gone or found.changed else ExitCode.DONE)
