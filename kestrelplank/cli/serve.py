"""`kestrelplank serve`: the assigner in service, the same as `python -m kestrelplank`."""

import os
import sys

import click

from kestrelplank.settings.operator import INI_VARIABLE


@click.command()
@click.option("--ini", "path", type=click.Path(), help=f"The operator's file; also by {INI_VARIABLE}.")
def command(path: str | None) -> None:
    """Run a conductor, told all it needs by the file that NODE_CONFIG names."""
    from kestrelplank.__main__ import main

    if path:
        os.environ[INI_VARIABLE] = path
    sys.exit(main())
