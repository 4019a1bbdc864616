"""`kestrelplank relay --config FILE`: the reference proxy."""

import sys

import click


@click.command()
@click.option("--config", "path", required=True, type=click.Path(), help="The relay's file.")
def command(path: str) -> None:
    """Run a relay: an HTTP/1.1 proxy that routes by the conductors' tables."""
    from kestrelplank.reference_proxy.program import main

    sys.exit(main(path))
