"""The decision module orders byte for byte what 4f929ce ordered on the same recorded days.

The recording is the project's own: `benchmarks/record_policy.py record` at a checkout of 4f929ce, its days being
small models of a site with drains, restarts, failures, lost streams, take-overs and hot slices.
"""

import lzma
import subprocess
import sys
from itertools import groupby
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RECORDING = Path(__file__).parent / "recordings" / "policy_decisions.txt.xz"


def recorded_days() -> dict[str, list[str]]:
    """The lines of each recorded day, in order, by its name."""
    days: dict[str, list[str]] = {}
    for line in lzma.decompress(RECORDING.read_bytes()).decode().splitlines():
        if line.startswith("#"):
            day = days[line.removeprefix("#").split()[0]] = []
        else:
            day.append(line)
    return days


def replies(lines: list[str]) -> list[list[str]]:
    """The lines of each reply."""
    return [list(reply) for ends, reply in groupby(lines, lambda line: line == '["DONE"]') if not ends]


DAYS = recorded_days()


def test_the_recording_holds_thousands_of_rounds():
    assert sum(day.count('>["GO"]') for day in DAYS.values()) >= 4000


@pytest.mark.parametrize("name", DAYS)
def test_a_recorded_day_gives_the_recorded_orders(name):
    sent = "".join(line[1:] + "\n" for line in DAYS[name] if line.startswith(">"))
    program = subprocess.run(
        [sys.executable, "-m", "kestrelplank.simulator_protocol"],
        cwd=ROOT,
        input=sent.encode(),
        capture_output=True,
        check=True,
    )
    recorded = "".join(line[1:] + "\n" for line in DAYS[name] if line.startswith("<")).encode()
    for ours, theirs in zip(replies(program.stdout.decode().splitlines()), replies(recorded.decode().splitlines())):
        assert ours == theirs  # the first reply that differs, before all bytes are compared
    assert program.stdout == recorded
    assert program.stderr == b""
