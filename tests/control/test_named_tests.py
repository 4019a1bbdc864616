"""Docstrings of the control program that cite the test of an invariant cite existing tests."""

import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parents[1]
PACKAGE = TESTS.parent / "kestrelplank"
MODULES = [*sorted((PACKAGE / "control").glob("*.py")), PACKAGE / "state" / "control_state.py"]
DEFINED_TESTS = {
    name for path in TESTS.rglob("test_*.py") for name in re.findall(r"^def (test_\w+)", path.read_text(), re.MULTILINE)
}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_docstrings_cite_only_existing_tests(path):
    cited = re.findall(r"\b(test_\w+)`", path.read_text())
    assert [name for name in cited if name not in DEFINED_TESTS] == []
