"""Plays the days of benchmarks/days/ on deployments with the bench, and summarizes its reports.

    python benchmarks/play_days.py --bench PATH --why TEXT [--seeds N] [--first SEED] [--jobs N] [--root DIR]
        [--out DIR] --site SITE.toml [--site ...] [DAY.toml ...]

Each day is played once for each seed and site, in a process of its own, at most `--jobs` at a time. Without DAY, all
days of benchmarks/days are played. `--bench` (or the variable DAYS_BENCH) is the path of the bench's program; it
writes its entries to `journal/` of `--root`, the checkout that is measured. Prints one line when a day ends, then a
table by day. Reports are kept in `--out` (`DAY.SITE.SEED.json`); a day whose report exists is not played again.
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
ACKNOWLEDGED = "config acked"  # key in the report's times: [median, 99th percentile], ms
MAX_DAY_SECONDS = 1500  # wall-clock limit of one day


class Report(msgspec.Struct):
    """The fields used from the bench's report of a day."""

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
class Run:
    """One run of a day on one deployment with one seed."""

    day: Path
    site: Path
    seed: int

    @property
    def name(self) -> str:
        return f"{self.day.stem}.{self.site.stem}.{self.seed}"


@dataclass(frozen=True)
class Outcome:
    """A run and its report, or the `error` for which there is none."""

    run: Run
    report: Report | None
    error: str = ""

    @property
    def passed(self) -> bool:
        report = self.report
        return report is not None and not report.breaks and not report.fault and not report.short

    def summary_line(self) -> str:
        report = self.report
        if report is None:
            return f"{self.run.name:<44} NOT PLAYED  {self.error}"
        return (
            f"{self.run.name:<44} {'passed' if self.passed else 'FAILED':<7}"
            f" broken rules {format_broken_rules(report.breaks)}; exits {report.exits_n}; missed {len(report.missed)};"
            f" acknowledged {format_acknowledgement_times(report)} ms; changes {report.configs}; value {report.G:.3f}"
            + (f"; fault {report.fault}" if report.fault else "")
            + (f"; short {report.short}" if report.short else "")
        )


def format_broken_rules(counts: dict[str, int]) -> str:
    """Broken rules and how often each was broken."""
    return ", ".join(f"{rule} {count}" for rule, count in counts.items()) or "none"


def format_acknowledgement_times(report: Report) -> str:
    """Median and 99th percentile of the time to the acknowledgement of a change, in ms."""
    values = report.times.get(ACKNOWLEDGED)
    return "/".join(f"{value:.0f}" for value in values) if values else "-"


def play_day(bench: str, root: Path, out: Path, why: str, run: Run) -> Outcome:
    """Play one day, unless its report exists already."""
    report_path = out / f"{run.name}.json"
    output_end = ""
    if not report_path.exists():
        command = [bench, "run", str(run.site), str(run.day), "--seed", str(run.seed), "--jobs", "1"]
        command += ["--report", str(report_path), "--why", why]
        try:
            process = subprocess.run(
                command, cwd=root, capture_output=True, text=True, timeout=MAX_DAY_SECONDS, check=False
            )
        except subprocess.TimeoutExpired:
            return Outcome(run, None, f"took over {MAX_DAY_SECONDS} s")
        (out / f"{run.name}.txt").write_text(process.stdout + process.stderr)
        output_end = (process.stderr or process.stdout).strip().rsplit("\n", 1)[-1]
    try:
        return Outcome(run, msgspec.json.decode(report_path.read_bytes(), type=Report))
    except (OSError, msgspec.DecodeError) as err:
        return Outcome(run, None, output_end or str(err))


def summary_table(outcomes: Iterable[Outcome]) -> list[str]:
    """One row for each day over all its seeds and sites, and one for all days."""
    by_day: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_day.setdefault(outcome.run.day.stem, []).append(outcome)
    rows = [f"{'day':<24}{'passed':>8}  {'rules broken (days)':<44}{'exits':>6}{'missed':>7}{'acked p50/p99 ms':>18}"]
    for day, day_outcomes in sorted(by_day.items()):
        rows.append(summary_row(day, day_outcomes))
    rows.append(summary_row("all", [outcome for day_outcomes in by_day.values() for outcome in day_outcomes]))
    return rows


def summary_row(title: str, outcomes: list[Outcome]) -> str:
    """A row of the table, with the median of the runs' medians and the highest 99th percentile."""
    reports = [outcome.report for outcome in outcomes if outcome.report]
    runs_by_rule: dict[str, int] = {}
    for report in reports:
        broken_rules = list(report.breaks) + (["fault"] if report.fault else []) + (["gate"] if report.short else [])
        for rule in broken_rules:
            runs_by_rule[rule] = runs_by_rule.get(rule, 0) + 1
    if len(reports) < len(outcomes):
        runs_by_rule["not played"] = len(outcomes) - len(reports)
    ack_times = [times for report in reports if (times := report.times.get(ACKNOWLEDGED))]
    shown = (
        f"{median(pair[0] for pair in ack_times):.0f}/{max(pair[1] for pair in ack_times):.0f}" if ack_times else "-"
    )
    passed_count = sum(outcome.passed for outcome in outcomes)
    return (
        f"{title:<24}{f'{passed_count}/{len(outcomes)}':>8}  {format_broken_rules(runs_by_rule):<44}"
        f"{sum(report.exits_n for report in reports):>6}{sum(len(report.missed) for report in reports):>7}{shown:>18}"
    )


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", default=os.environ.get("DAYS_BENCH"), help="path of the bench's program")
    parser.add_argument("--site", action="append", type=Path, required=True, help="a site file; may be repeated")
    parser.add_argument("--why", required=True, help="a line for the journal, less than 120 characters")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--root", type=Path, default=Path.cwd(), help="the checkout that is measured")
    parser.add_argument("--out", type=Path, help="where reports are kept")
    parser.add_argument("day", nargs="*", type=Path)
    options = parser.parse_args(arguments)
    if not options.bench or not Path(options.bench).is_file():
        parser.error("--bench: no such file; expected the path of the bench's program")
    out = (options.out or Path(tempfile.mkdtemp(prefix="days-"))).resolve()
    out.mkdir(parents=True, exist_ok=True)
    days = options.day or sorted(DAYS.glob("*.toml"))
    for path in [*days, *options.site]:
        if not path.is_file():
            parser.error(f"{path}: no such file")
    seeds = range(options.first, options.first + options.seeds)
    runs = [Run(day.resolve(), site.resolve(), seed) for seed in seeds for day in days for site in options.site]
    outcomes = []
    with ThreadPoolExecutor(max(1, options.jobs)) as pool:
        futures = [pool.submit(play_day, options.bench, options.root, out, options.why, run) for run in runs]
        for future in as_completed(futures):
            outcomes.append(future.result())
            print(outcomes[-1].summary_line(), flush=True)
    print(f"\nreports in {out}", *summary_table(outcomes), sep="\n")
    return 0 if all(outcome.passed for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
