"""Every test that a docstring of the consensus core refers to exists."""

import re
from pathlib import Path

import kestrelplank.consensus

PACKAGE = Path(kestrelplank.consensus.__file__).parent


def test_each_test_named_in_a_docstring_exists():
    named = {name for module in PACKAGE.glob("*.py") for name in re.findall(r"`(test_\w+)`", module.read_text())}
    tests = "\n".join(module.read_text() for module in Path(__file__).parent.glob("test_*.py"))
    defined = set(re.findall(r"^def (test_\w+)", tests, re.MULTILINE))
    assert len(named) >= 11
    assert named <= defined, sorted(named - defined)
