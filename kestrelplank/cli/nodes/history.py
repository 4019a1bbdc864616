"""`kestrelplank nodes history`: the versions of the node set that have been in force."""

import click

from kestrelplank.cli.nodes.files import exit_on_unusable_files, read_node_file_settings, read_state
from kestrelplank.cli.options import ini_option, json_option
from kestrelplank.command_output import print_json


@click.command(help="Show the versions of the node set that have been in force; the last one still is.")
@ini_option
@json_option
def history(path: str | None, as_json: bool) -> None:
    """Print the versions of the node set that have been in force."""
    with exit_on_unusable_files():
        state = read_state(read_node_file_settings(path))
    versions = state[2] if state else ()
    if as_json:
        print_json([dict(zip(("version", "hash", "what"), version)) for version in versions])
        return
    for number, short_hash, what in versions:
        print(f"{number:>6}  {short_hash}  {what}")
