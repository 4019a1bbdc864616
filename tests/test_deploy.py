"""What deploy/system.toml says of a clean build: its system packages, and that a build that failed does not pass."""

import os
import re
import subprocess
import tomllib
from pathlib import Path

import pytest

REPOSITORY = Path(__file__).parent.parent
DEPLOY = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
DOCUMENT = REPOSITORY / "docs" / "system.md"
SECTION = "## Packages of a clean build"

# Debian Policy, 5.6.1: two characters or more of these, the first a letter or digit.
DEBIAN_PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


def build_with(folder, python_script):
    """Run the build line in `folder`, with a `python3` that is `python_script`; returns the exit code."""
    programs = folder / "bin"
    programs.mkdir()
    python3 = programs / "python3"
    python3.write_text(f"#!/bin/sh\n{python_script}\n")
    python3.chmod(0o755)
    environment = {"PATH": f"{programs}:{os.environ['PATH']}"}
    return subprocess.run(["sh", "-c", DEPLOY["build"]], cwd=folder, env=environment).returncode


@pytest.fixture
def checkout_built_before(tmp_path):
    """A checkout whose dependencies are older than the list of what is required."""
    dependencies = tmp_path / "target" / "deps"
    dependencies.mkdir(parents=True)
    os.utime(dependencies, (1_000, 1_000))
    requirements = tmp_path / "requirements-system.txt"
    requirements.touch()
    os.utime(requirements, (2_000, 2_000))
    return tmp_path


def test_packages_are_distinct_debian_names():
    packages = DEPLOY["packages"]
    assert packages
    assert all(isinstance(name, str) for name in packages)
    assert [name for name in packages if not DEBIAN_PACKAGE_NAME.fullmatch(name)] == []
    assert packages == sorted(set(packages))


def test_python_and_pip_are_listed_since_the_build_calls_them():
    assert "python3 -m pip" in DEPLOY["build"]
    assert {"python3", "python3-pip"} <= set(DEPLOY["packages"])


def test_each_package_is_explained_and_none_that_is_not_listed():
    section = DOCUMENT.read_text().split(f"{SECTION}\n")[1].split("\n## ")[0]
    explained = re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE)
    assert sorted(explained) == DEPLOY["packages"]


def test_the_build_succeeds_when_each_step_does(checkout_built_before):
    assert build_with(checkout_built_before, "exit 0") == 0


@pytest.mark.parametrize("failing_step", ["pip", "compileall"])
def test_a_failed_step_fails_the_build_and_is_tried_again(checkout_built_before, failing_step):
    dependencies = checkout_built_before / "target" / "deps"
    before = dependencies.stat().st_mtime

    code = build_with(checkout_built_before, f'[ "$2" != {failing_step} ]')

    assert code != 0
    assert dependencies.stat().st_mtime == before
