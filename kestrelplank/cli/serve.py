"""`kestrelplank serve`: runs the assigner, the same as `python -m kestrelplank`."""

import os
import sys

import click

from kestrelplank.settings.operator import INI_VARIABLE


@click.command()
@click.option("--ini", "path", type=click.Path(), help=f"The operator's file; default: {INI_VARIABLE}.")
def command(path: str | None) -> None:
    """Run a conductor with the settings file that NODE_CONFIG names."""
    from kestrelplank.__main__ import main

    if path:
        os.environ[INI_VARIABLE] = path
    sys.exit(main())
