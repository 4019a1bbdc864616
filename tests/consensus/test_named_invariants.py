"""The tests that docstrings of the core name as those that hold an invariant."""

import re
from pathlib import Path

import kestrelplank.consensus

PACKAGE = Path(kestrelplank.consensus.__file__).parent


def test_each_test_that_the_core_names_exists():
    named = {name for module in PACKAGE.glob("*.py") for name in re.findall(r"`(test_\w+)`", module.read_text())}
    tests = "\n".join(module.read_text() for module in Path(__file__).parent.glob("test_*.py"))
    defined = set(re.findall(r"^def (test_\w+)", tests, re.MULTILINE))
    assert len(named) >= 11
    assert named <= defined, sorted(named - defined)
