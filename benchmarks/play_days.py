"""Plays days of our own (benchmarks/days/) on deployments, by hand, and sums up what the bench found.

    python benchmarks/play_days.py --bench PATH --why TEXT [--seeds N] [--first SEED] [--jobs N] [--root DIR]
        [--out DIR] --site SITE.toml [--site ...] [DAY.toml ...]

Each day is played once for each seed and site, in a process of its own, at most `--jobs` at a time; without DAY all of
benchmarks/days are played. `--bench` (or the variable DAYS_BENCH) is the bench's program; it leaves its entries in
`journal/` of `--root`, the checkout that is measured. One line a day as it ends, then a table by day. Reports are kept
in `--out` (`DAY.SITE.SEED.json`) and are not played again if they stand there already.
"""

import argparse
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

DAYS = Path(__file__).parent / "days"
ACKNOWLEDGED = "config acked"  # among the report's times: [median, 99th percentile], ms
MOST_SECONDS = 1500  # of real time that one day may take


class Report(msgspec.Struct):
    """What is read of the bench's report of a day."""

    fault: Any = None
    breaks: dict[str, int] = {}
    short: list[Any] = []
    missed: list[Any] = []
    exits_n: int = 0
    configs: int = 0
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    G: float = 0.0
    times: dict[str, list[float] | None] = {}


@dataclass(frozen=True)
class Play:
    """One day, on one deployment, with one seed."""

    day: Path
    site: Path
    seed: int

    @property
    def name(self) -> str:
        return f"{self.day.stem}.{self.site.stem}.{self.seed}"


@dataclass(frozen=True)
class Outcome:
    """A play and its report; `trouble` says why there is no report."""

    play: Play
    report: Report | None
    trouble: str = ""

    @property
    def passed(self) -> bool:
        report = self.report
        return report is not None and not report.breaks and not report.fault and not report.short

    def line(self) -> str:
        report = self.report
        if report is None:
            return f"{self.play.name:<44} NOT PLAYED  {self.trouble}"
        return (
            f"{self.play.name:<44} {'passed' if self.passed else 'FAILED':<7}"
            f" rules {written(report.breaks)}; exits {report.exits_n}; missed {len(report.missed)};"
            f" acknowledged {times(report)} ms; changes {report.configs}; worth {report.G:.3f}"
            + (f"; fault {report.fault}" if report.fault else "")
            + (f"; short {report.short}" if report.short else "")
        )


def written(counts: dict[str, int]) -> str:
    """Rules and how often each was broken."""
    return ", ".join(f"{rule} {count}" for rule, count in counts.items()) or "kept"


def times(report: Report) -> str:
    """Median and 99th percentile until a change was acknowledged, in ms."""
    found = report.times.get(ACKNOWLEDGED)
    return "/".join(f"{value:.0f}" for value in found) if found else "-"


def play(bench: str, root: Path, out: Path, why: str, one: Play) -> Outcome:
    """Plays one day, unless its report stands there already."""
    target = out / f"{one.name}.json"
    trouble = ""
    if not target.exists():
        command = [bench, "run", str(one.site), str(one.day), "--seed", str(one.seed), "--jobs", "1"]
        command += ["--report", str(target), "--why", why]
        try:
            done = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=MOST_SECONDS, check=False)
        except subprocess.TimeoutExpired:
            return Outcome(one, None, f"took over {MOST_SECONDS} s")
        (out / f"{one.name}.txt").write_text(done.stdout + done.stderr)
        trouble = (done.stderr or done.stdout).strip().rsplit("\n", 1)[-1]
    try:
        return Outcome(one, msgspec.json.decode(target.read_bytes(), type=Report))
    except (OSError, msgspec.DecodeError) as err:
        return Outcome(one, None, trouble or str(err))


def table(outcomes: Iterable[Outcome]) -> list[str]:
    """One line for each day, over all its seeds and sites, and one for all days."""
    by_day: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_day.setdefault(outcome.play.day.stem, []).append(outcome)
    lines = [f"{'day':<24}{'passed':>8}  {'rules broken (days)':<44}{'exits':>6}{'missed':>7}{'acked p50/p99 ms':>18}"]
    for day, found in sorted(by_day.items()):
        lines.append(summed(day, found))
    lines.append(summed("all", [outcome for found in by_day.values() for outcome in found]))
    return lines


def summed(title: str, outcomes: list[Outcome]) -> str:
    """A line of the table: medians of the days' medians, and the worst 99th percentile."""
    reports = [outcome.report for outcome in outcomes if outcome.report]
    broken: dict[str, int] = {}
    for report in reports:
        kinds = list(report.breaks) + (["fault"] if report.fault else []) + (["gate"] if report.short else [])
        for rule in kinds:
            broken[rule] = broken.get(rule, 0) + 1
    if len(reports) < len(outcomes):
        broken["not played"] = len(outcomes) - len(reports)
    acked = [found for report in reports if (found := report.times.get(ACKNOWLEDGED))]
    shown = f"{median(pair[0] for pair in acked):.0f}/{max(pair[1] for pair in acked):.0f}" if acked else "-"
    good = sum(outcome.passed for outcome in outcomes)
    return (
        f"{title:<24}{f'{good}/{len(outcomes)}':>8}  {written(broken):<44}"
        f"{sum(report.exits_n for report in reports):>6}{sum(len(report.missed) for report in reports):>7}{shown:>18}"
    )


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", default=os.environ.get("DAYS_BENCH"), help="the bench's program")
    parser.add_argument("--site", action="append", type=Path, required=True, help="a site file; may be repeated")
    parser.add_argument("--why", required=True, help="a line for the journal, under 120 characters")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--root", type=Path, default=Path.cwd(), help="the checkout that is measured")
    parser.add_argument("--out", type=Path, help="where reports are kept")
    parser.add_argument("day", nargs="*", type=Path)
    options = parser.parse_args(arguments)
    if not options.bench or not Path(options.bench).is_file():
        parser.error("--bench: no such program")
    out = (options.out or Path(tempfile.mkdtemp(prefix="days-"))).resolve()
    out.mkdir(parents=True, exist_ok=True)
    days = options.day or sorted(DAYS.glob("*.toml"))
    for path in [*days, *options.site]:
        if not path.is_file():
            parser.error(f"{path}: no such file")
    seeds = range(options.first, options.first + options.seeds)
    plays = [Play(day.resolve(), site.resolve(), seed) for seed in seeds for day in days for site in options.site]
    outcomes = []
    with ThreadPoolExecutor(max(1, options.jobs)) as pool:
        waiting = [pool.submit(play, options.bench, options.root, out, options.why, one) for one in plays]
        for done in as_completed(waiting):
            outcomes.append(done.result())
            print(outcomes[-1].line(), flush=True)
    print(f"\nreports in {out}", *table(outcomes), sep="\n")
    return 0 if all(outcome.passed for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
