"""`kestrelplank nodes list|check|diff|history`: node lists in files, and the node set in force."""

import click

from kestrelplank.cli.nodes.check import check
from kestrelplank.cli.nodes.diff import diff
from kestrelplank.cli.nodes.history import history
from kestrelplank.cli.nodes.list import list_nodes


@click.group(name="nodes")
def command() -> None:
    """Show and check node lists in files and the node set in force."""


for subcommand in (list_nodes, check, diff, history):
    command.add_command(subcommand)
