"""`kestrelplank rehearse SCRIPT`: an incident played with the real decisions. Exit 0: the rules were kept; 1: one was
broken or something ran twice; 2: the script can't be used."""

import sys

import click
import msgspec

from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile


def encoded(found: dict) -> bytes:
    """A report as JSON, one field a line, the same bytes for the same figures."""
    return msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n"


def table(found: dict) -> list[str]:
    """A report as lines for a person."""
    site = found["site"]
    size = ", ".join(f"{site[what]} {what}" for what in ("nodes", "relays", "conductors", "slices"))
    lines = [
        f"{size}; {found['how']}, seed {found['seed']}; all figures are simulated",
        f"service {found['service']:.4f}, worst 5 s {found['worst_5s']:.4f}, "
        f"second tries {found['second_tries']}, slices moved {found['channel']['moves']}",
        "",
        f"{'op type':<18}{'asked':>8}{'in time':>9}{'acked':>8}{'rejected':>10}{'aborted':>9}{'p50':>8}{'p95':>8}"
        f"{'p99 ms':>9}{'twice':>7}",
    ]
    for name, counts in found["op_types"].items():
        widths = ("p50_ms", 8), ("p95_ms", 8), ("p99_ms", 9)
        times = "".join(f"{counts[key] or 0:>{width}.0f}" for key, width in widths)
        lines.append(
            f"{name[:17]:<18}{counts['asked']:>8}{counts['in_time']:>9}{counts['acked']:>8}"
            f"{counts['rejected']:>10}{counts['aborted']:>9}{times}{found['duplicates'][name]:>7}"
        )
    lines += ["", f"{'rule':<10}{'worst':>10}{'limit':>10}{'margin':>9}"]
    units = {"bare": "s", "drains": "s", "cold": "of what it may be sent", "queue": "lines", "repeats": "ops"}
    for rule, held in found["rules"].items():
        said = "" if held["kept"] else f"  BROKEN: {held['where']}"
        figures = f"{held['worst']:>10.4g}{held['limit']:>10.4g}{held['margin']:>8.0%}"
        lines.append(f"{rule:<10}{figures}  {units[rule]}{said}")
    if found["lost"]:
        lines += ["", "lost: " + ", ".join(f"{why} {count}" for why, count in found["lost"].items())]
    if found["fallen_nodes"]:
        lines.append(f"pushed over: nodes {', '.join(map(str, found['fallen_nodes']))}")
    return lines


def kept(found: dict) -> bool:
    """Whether the rules held and no once-only op ran twice, nor was anything acked that never ran."""
    return not found["broken"] and not found["acked_without_a_run"]


@click.command()
@click.argument("path", metavar="SCRIPT", type=click.Path())
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of all chance in it.")
@click.option("--live", is_flag=True, help="Over real sockets on loopback, with conductors as processes, in real time.")
@click.option("--baseline", is_flag=True, help="Conductors that leave each slice until it has lost its node.")
@click.option("--knowing", is_flag=True, help="Slices placed by who knows the truth at once: the upper mark.")
@click.option("--json", "to", type=click.Path(), help="Also write the whole report, with a timeline of each node.")
def command(path: str, seed: int, live: bool, baseline: bool, knowing: bool, to: str | None) -> None:
    """Play a scripted incident with the real decisions, and hold the rules against it."""
    from kestrelplank.emulator import rehearsal
    from kestrelplank.emulator.baseline_policies import StaticPolicy
    from kestrelplank.emulator.script import read_script
    from kestrelplank.policy import Policy

    if live + baseline + knowing > 1:
        raise click.UsageError("--live, --baseline and --knowing exclude each other")
    try:
        read = read_script(IniFile.load(path))
    except InvalidSettingsError as err:
        click.echo(f"kestrelplank: {err}", err=True)
        sys.exit(2)
    with click.progressbar(length=1000, label="rehearsing", file=sys.stderr, hidden=not sys.stderr.isatty()) as bar:

        def progress(done: float) -> None:
            bar.update(int(done * 1000) - bar.pos)

        if live:
            from kestrelplank.rehearsal.live_rehearsal import play as play_live

            found = play_live(read, seed, progress)
        else:
            found = rehearsal.play(
                read, seed, StaticPolicy if baseline else Policy, on_progress=progress, ideal_placement=knowing
            )
    click.echo("\n".join(table(found)))
    if to:
        try:
            write_atomically(to, encoded(found))
        except OSError as err:
            click.echo(f"kestrelplank: {to} can't be written: {err.strerror}", err=True)
            sys.exit(2)
    sys.exit(0 if kept(found) else 1)
