"""`kestrelplank rehearse SCRIPT`: plays a scripted incident with the real decision code.

Exit 0: all rules were kept; 1: a rule was broken or an op ran twice; 2: the script is invalid.
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
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of all random choices.")
@click.option("--live", is_flag=True, help="Use real sockets on loopback, conductor processes, and real time.")
@click.option("--baseline", is_flag=True, help="Move a slice only when it has lost its node, for comparison.")
@click.option("--knowing", is_flag=True, help="Place slices with perfect knowledge: the upper bound.")
@click.option(
    "--json", "report_path", type=click.Path(), help="Also write the complete report, with each node's timeline, here."
)
def command(path: str, seed: int, live: bool, baseline: bool, knowing: bool, report_path: str | None) -> None:
    """Rehearse a scripted incident with the real decision code, and check the rules of the service."""
    if live + baseline + knowing > 1:
        raise click.UsageError("--live, --baseline and --knowing are mutually exclusive")
    with exit_on_invalid_settings():
        incident = read_script(IniFile.load(path))
    report = (
        play_live(incident, seed) if live else play_emulated(incident, seed, baseline=baseline, ideal_placement=knowing)
    )
    click.echo("\n".join(report_lines(report)))
    if report_path:
        write_report(report_path, report)
    sys.exit(ExitCode.DONE if rules_kept(report) else ExitCode.PROBLEM_FOUND)


def play_live(incident: Script, seed: int) -> Report:
    """Play over real sockets, with conductor processes."""
    from kestrelplank.rehearsal.live_rehearsal import play

    with progress_bar() as progress:
        return play(incident, seed, progress)


def play_emulated(incident: Script, seed: int, *, baseline: bool, ideal_placement: bool) -> Report:
    """Play in simulated time."""
    from kestrelplank.emulator import rehearsal
    from kestrelplank.emulator.baseline_policies import StaticPolicy
    from kestrelplank.policy import Policy

    make_policy = StaticPolicy if baseline else Policy
    with progress_bar() as progress:
        return rehearsal.play(incident, seed, make_policy, on_progress=progress, ideal_placement=ideal_placement)


@contextmanager
def progress_bar() -> Iterator[Callable[[float], None]]:
    """Show a progress bar if standard error is a terminal; yield a callback for the completed fraction."""
    hidden = not sys.stderr.isatty()
    with click.progressbar(length=PROGRESS_STEPS, label="rehearsing", file=sys.stderr, hidden=hidden) as bar:

        def progress(done: float) -> None:
            bar.update(int(done * PROGRESS_STEPS) - bar.pos)

        yield progress


def write_report(path: str, report: Report) -> None:
    """Write the complete report, or end the command with an error."""
    try:
        write_atomically(path, encoded_report(report))
    except OSError as err:
        print_error(f"{path} can't be written: {err.strerror}")
        sys.exit(ExitCode.INVALID_INPUT)
