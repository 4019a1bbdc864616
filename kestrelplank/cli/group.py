"""The group of sub-commands, which imports a command's module when that command is called."""

from importlib import import_module

import click

from kestrelplank.cli import COMMANDS


class LazyGroup(click.Group):
    """A group that lists its commands' names and help lines without importing their modules."""

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002 - click's signature
        """Return the names of the commands in the order of the help."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002 - click's signature
        """Import the command of that name."""
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = import_module(f"kestrelplank.cli.{COMMANDS[cmd_name].module}").command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:  # noqa: ARG002 - click's signature
        """Write the help line of each command."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, command.help_line) for name, command in COMMANDS.items()])


@click.group(cls=LazyGroup, help="An assigner that publishes routing tables to forwarding proxies.")
def group() -> None:
    """Run a command of kestrelplank."""
