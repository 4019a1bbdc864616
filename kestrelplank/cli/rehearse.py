"""`kestrelplank rehearse SCRIPT`: an incident played with the real decisions.

Exit 0: the rules were kept; 1: one was broken or something ran twice; 2: the script can't be used.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import click

from kestrelplank.cli.rehearsal_report import Report, encoded_report, report_lines, rules_kept
from kestrelplank.command_output import ExitCode, exit_on_invalid_settings, print_error
from kestrelplank.emulator.script import Script, read_script
from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.settings.ini import IniFile

PROGRESS_STEPS = 1000


@click.command()
@click.argument("path", metavar="SCRIPT", type=click.Path())
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of all chance in it.")
@click.option("--live", is_flag=True, help="Over real sockets on loopback, with conductors as processes, in real time.")
@click.option("--baseline", is_flag=True, help="Conductors that leave each slice until it has lost its node.")
@click.option("--knowing", is_flag=True, help="Slices placed by who knows the truth at once: the upper mark.")
@click.option(
    "--json", "report_path", type=click.Path(), help="Also write the whole report, with a timeline of each node."
)
def command(path: str, seed: int, live: bool, baseline: bool, knowing: bool, report_path: str | None) -> None:
    """Play a scripted incident with the real decisions, and hold the rules against it."""
    if live + baseline + knowing > 1:
        raise click.UsageError("--live, --baseline and --knowing exclude each other")
    with exit_on_invalid_settings():
        incident = read_script(IniFile.load(path))
    report = play_live(incident, seed) if live else play_emulated(incident, seed, baseline=baseline, knowing=knowing)
    click.echo("\n".join(report_lines(report)))
    if report_path:
        write_report(report_path, report)
    sys.exit(ExitCode.DONE if rules_kept(report) else ExitCode.PROBLEM_FOUND)


def play_live(incident: Script, seed: int) -> Report:
    """Play over real sockets, with conductors as processes."""
    from kestrelplank.rehearsal.live_rehearsal import play

    with progress_bar() as progress:
        return play(incident, seed, progress)


def play_emulated(incident: Script, seed: int, *, baseline: bool, knowing: bool) -> Report:
    """Play in simulated time."""
    from kestrelplank.emulator import rehearsal
    from kestrelplank.emulator.baseline_policies import StaticPolicy
    from kestrelplank.policy import Policy

    make_policy = StaticPolicy if baseline else Policy
    with progress_bar() as progress:
        return rehearsal.play(incident, seed, make_policy, on_progress=progress, ideal_placement=knowing)


@contextmanager
def progress_bar() -> Iterator[Callable[[float], None]]:
    """Show a bar on a terminal; yields what takes the fraction that is done."""
    hidden = not sys.stderr.isatty()
    with click.progressbar(length=PROGRESS_STEPS, label="rehearsing", file=sys.stderr, hidden=hidden) as bar:

        def progress(done: float) -> None:
            bar.update(int(done * PROGRESS_STEPS) - bar.pos)

        yield progress


def write_report(path: str, report: Report) -> None:
    """Write the whole report, or end the command."""
    try:
        write_atomically(path, encoded_report(report))
    except OSError as err:
        print_error(f"{path} can't be written: {err.strerror}")
        sys.exit(ExitCode.INVALID_INPUT)
