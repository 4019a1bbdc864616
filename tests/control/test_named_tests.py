"""Docstrings of the control side that say which test holds an invariant name tests that exist."""

import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parents[1]
PROGRAM = TESTS.parent / "kestrelplank"
MODULES = [*sorted((PROGRAM / "control").glob("*.py")), PROGRAM / "state" / "control_state.py"]
DEFINED = {
    name for path in TESTS.rglob("test_*.py") for name in re.findall(r"^def (test_\w+)", path.read_text(), re.MULTILINE)
}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_a_module_names_only_tests_that_exist(path):
    named = re.findall(r"\b(test_\w+)`", path.read_text())
    assert [name for name in named if name not in DEFINED] == []
