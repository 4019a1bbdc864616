"""Guards against changed decisions: the policy's orders must equal, byte for byte, those recorded at 4f929ce.

The recording was made by `benchmarks/record_policy.py record`: simulated days of small sites with drains, restarts,
failures, lost streams, take-overs and hot slices.
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
    """Return the lines of each recorded day, by the day's name."""
    days: dict[str, list[str]] = {}
    for line in lzma.decompress(RECORDING.read_bytes()).decode().splitlines():
        if line.startswith("#"):
            day = days[line.removeprefix("#").split()[0]] = []
        else:
            day.append(line)
    return days


def replies(lines: list[str]) -> list[list[str]]:
    """Split lines into replies."""
    return [list(reply) for ends, reply in groupby(lines, lambda line: line == '["DONE"]') if not ends]


DAYS = recorded_days()


def test_recording_contains_thousands_of_rounds():
    assert sum(day.count('>["GO"]') for day in DAYS.values()) >= 4000


@pytest.mark.parametrize("name", DAYS)
def test_recorded_day_gives_the_recorded_orders(name):
    sent = "".join(line[1:] + "\n" for line in DAYS[name] if line.startswith(">"))
    program = subprocess.run(
        [sys.executable, "-m", "kestrelplank.simulator_protocol"],
        cwd=ROOT,
        input=sent.encode(),
        capture_output=True,
        check=True,
    )
    recorded = "".join(line[1:] + "\n" for line in DAYS[name] if line.startswith("<")).encode()
    for actual, expected in zip(replies(program.stdout.decode().splitlines()), replies(recorded.decode().splitlines())):
        assert actual == expected  # shows the first reply that differs
    assert program.stdout == recorded
    assert program.stderr == b""
