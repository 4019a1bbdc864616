"""`kestrelplank nodes list`: every node of the files or of the node set in force."""

import sys

import click

from kestrelplank.cli.nodes.files import (
    exit_on_unusable_files,
    expand_patterns,
    read_node_file_settings,
    read_node_lists,
    read_state,
)
from kestrelplank.cli.options import ini_option, json_option
from kestrelplank.command_output import ExitCode, print_error, print_json
from kestrelplank.state.node_set import NodeSet, assemble


@click.command(name="list")
@ini_option
@json_option
@click.option("--in-force", is_flag=True, help="Read the state file instead of the node lists.")
def list_nodes(path: str | None, as_json: bool, in_force: bool) -> None:
    """Show every node of the files or of the node set in force."""
    with exit_on_unusable_files():
        settings = read_node_file_settings(path)
        if in_force:
            state = read_state(settings)
            node_set = state[0] if state else None
        else:
            node_set = assemble(read_node_lists(expand_patterns(settings), settings))
    if node_set is None:
        print_error("there is no state file yet")
        sys.exit(ExitCode.PROBLEM_FOUND)
    if as_json:
        print_json([{"name": name, **listed._asdict()} for name, listed in node_set.nodes.items()])
    else:
        print_nodes(node_set)


def print_nodes(node_set: NodeSet) -> None:
    """Print a line for each node, and a summary line."""
    for name, listed in node_set.nodes.items():
        print(
            f"{name:<40} {listed.zone:<12} {listed.address:<22} {listed.weight:<8g} "
            f"{'ready' if listed.ready else 'draining'}"
        )
    print(f"{len(node_set)} nodes, {len(node_set.ready_nodes())} ready; hash {node_set.short_hash}")
