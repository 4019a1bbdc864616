"""`kestrelplank COMMAND`: sub-commands, each a few lines that call a room of the house. A command's module is
imported once it is asked for, so that none pays for the libraries of another."""

import sys

COMMANDS = {  # name to the module's name in this package, and the line that the help shows
    "serve": ("serve", "Run a conductor, told all it needs by the file that NODE_CONFIG names."),
    "check": ("check", "Say whether files can be used: an operator's file, node lists, scripts."),
    "config": ("config", "What the operator's file says, and where each value came from."),
    "nodes": ("nodes", "Node lists in files, and the set that is in force."),
    "relay": ("relay", "Run a relay: an HTTP/1.1 proxy that obeys the conductors' tables."),
    "zones": ("zones", "Each zone as a running conductor sees it."),
    "rehearse": ("rehearse", "Play a scripted incident with the real decisions, and hold the rules against it."),
}
EXTRA = "kestrelplank: this command needs the 'cli' extra: pip install 'kestrelplank[cli]'"


def main() -> int:
    """The console script. Returns the exit code: 0 done, 1 done and found wanting, 2 what was given is unusable."""
    try:
        from kestrelplank.cli.group import group
    except ModuleNotFoundError as err:
        if err.name != "click":
            raise
        print(EXTRA, file=sys.stderr)
        return 2
    return group.main(standalone_mode=True)
