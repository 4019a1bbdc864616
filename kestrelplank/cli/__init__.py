"""`kestrelplank COMMAND`: sub-commands, one a module, each a few lines that call another package.

A command's module is imported once it is asked for, so that none pays for the libraries of another.
"""

import sys
from typing import NamedTuple


class Command(NamedTuple):
    """A sub-command: the name of its module in this package, and the line that the help shows."""

    module: str
    help_line: str


COMMANDS = {
    "serve": Command("serve", "Run a conductor, told all it needs by the file that NODE_CONFIG names."),
    "check": Command("check", "Say whether files can be used: an operator's file, node lists, scripts."),
    "config": Command("config", "What the operator's file says, and where each value came from."),
    "nodes": Command("nodes", "Node lists in files, and the set that is in force."),
    "relay": Command("relay", "Run a relay: an HTTP/1.1 proxy that obeys the conductors' tables."),
    "zones": Command("zones", "Each zone as a running conductor sees it."),
    "rehearse": Command("rehearse", "Play a scripted incident with the real decisions, and hold the rules against it."),
}
MISSING_EXTRA = "kestrelplank: this command needs the 'cli' extra: pip install 'kestrelplank[cli]'"


def main() -> int:
    """Run the console script. Returns the exit code, as `command_output.ExitCode` names them."""
    try:
        from kestrelplank.cli.group import group
    except ModuleNotFoundError as err:
        if err.name != "click":
            raise
        print(MISSING_EXTRA, file=sys.stderr)
        return 2
    exit_code: int = group.main(standalone_mode=True)
    return exit_code
