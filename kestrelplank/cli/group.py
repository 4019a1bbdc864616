"""The group of sub-commands, which imports a command's module when that command is asked for."""

from importlib import import_module

import click

from kestrelplank.cli import COMMANDS


class Lazy(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        return import_module(f"kestrelplank.cli.{COMMANDS[name][0]}").command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, line) for name, (_, line) in COMMANDS.items()])


@click.group(cls=Lazy)
def group() -> None:
    """An assigner that tells forwarding proxies where work goes."""
