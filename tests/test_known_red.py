"""KNOWN-RED.txt names tests that exist, and each entry is complete."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ENTRIES = [entry.strip().splitlines() for entry in (ROOT / "KNOWN-RED.txt").read_text().split("\n\n")[1:]]
TESTS = [line.removeprefix("test: ") for entry in ENTRIES for line in entry if line.startswith("test: ")]


@pytest.mark.parametrize("name", TESTS or [None])
def test_a_known_failure_names_an_existing_test(name):
    if name is None:
        return
    path, function = name.split("[")[0].split("::")
    tree = ast.parse((ROOT / path).read_text())
    assert function in {part.name for part in tree.body if isinstance(part, ast.FunctionDef)}


def test_each_known_failure_has_test_command_observation_and_issue():
    fields = [[line.split(": ")[0] for line in entry] for entry in ENTRIES]
    assert fields == [["test", "command", "seen", "issue"]] * len(ENTRIES)
