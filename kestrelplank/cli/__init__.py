"""`kestrelplank COMMAND`: sub-commands, one in each module, which call the other packages.

A command's module is imported only when that command runs, so that no command loads the libraries of another.
"""

import sys
from typing import NamedTuple


class Command(NamedTuple):
    """A sub-command: the name of its module in this package, and its line in the help."""

    module: str
    help_line: str


COMMANDS = {
    "serve": Command("serve", "Run a conductor with the settings file that NODE_CONFIG names."),
    "check": Command("check", "Validate files: an operator's file, a relay's file, node lists, scripts."),
    "config": Command("config", "Show the values of the operator's file and the origin of each."),
    "nodes": Command("nodes", "Show and check node lists in files and the node set in force."),
    "relay": Command("relay", "Run a relay: an HTTP/1.1 proxy that routes by the conductors' tables."),
    "zones": Command("zones", "Show the zones of a running conductor."),
    "rehearse": Command("rehearse", "Rehearse a scripted incident and check the rules of the service."),
}
MISSING_EXTRA = "kestrelplank: this command needs the 'cli' extra: pip install 'kestrelplank[cli]'"


def main() -> int:
    """Run the console script; return a `command_output.ExitCode`."""
    try:
        from kestrelplank.cli.group import group
    except ModuleNotFoundError as err:
        if err.name != "click":
            raise
        print(MISSING_EXTRA, file=sys.stderr)
        return 2
    exit_code: int = group.main(standalone_mode=True)
    return exit_code
