"""`kestrelplank serve`: today's program, the same as `python -m kestrelplank`."""

import sys

import click


@click.command()
def command() -> None:
    """Run a conductor, told all it needs by the file that NODE_CONFIG names."""
    from kestrelplank.__main__ import main

    sys.exit(main())
