"""deploy/system.toml: its system packages are valid and documented, and a failing build step fails the build."""

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

# Debian Policy, 5.6.1: at least two characters, the first a letter or digit.
DEBIAN_PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")


def build_with(folder, python_script):
    """Run the build command in `folder` with `python_script` as `python3`; returns the exit code."""
    programs = folder / "bin"
    programs.mkdir()
    python3 = programs / "python3"
    python3.write_text(f"#!/bin/sh\n{python_script}\n")
    python3.chmod(0o755)
    environment = {"PATH": f"{programs}:{os.environ['PATH']}"}
    return subprocess.run(["sh", "-c", DEPLOY["build"]], cwd=folder, env=environment).returncode


@pytest.fixture
def outdated_checkout(tmp_path):
    """A checkout with installed dependencies older than requirements-system.txt."""
    dependencies = tmp_path / "target" / "deps"
    dependencies.mkdir(parents=True)
    os.utime(dependencies, (1_000, 1_000))
    requirements = tmp_path / "requirements-system.txt"
    requirements.touch()
    os.utime(requirements, (2_000, 2_000))
    return tmp_path


def test_packages_are_sorted_distinct_debian_package_names():
    packages = DEPLOY["packages"]
    assert packages
    assert all(isinstance(name, str) for name in packages)
    assert [name for name in packages if not DEBIAN_PACKAGE_NAME.fullmatch(name)] == []
    assert packages == sorted(set(packages))


def test_packages_include_python_and_pip_which_the_build_runs():
    assert "python3 -m pip" in DEPLOY["build"]
    assert {"python3", "python3-pip"} <= set(DEPLOY["packages"])


def test_documentation_explains_exactly_the_listed_packages():
    section = DOCUMENT.read_text().split(f"{SECTION}\n")[1].split("\n## ")[0]
    explained = re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE)
    assert sorted(explained) == DEPLOY["packages"]


def test_build_succeeds_when_all_steps_succeed(outdated_checkout):
    assert build_with(outdated_checkout, "exit 0") == 0


@pytest.mark.parametrize("failing_step", ["pip", "compileall"])
def test_failing_step_fails_the_build_and_leaves_dependencies_outdated(outdated_checkout, failing_step):
    dependencies = outdated_checkout / "target" / "deps"
    modified_before = dependencies.stat().st_mtime

    exit_code = build_with(outdated_checkout, f'[ "$2" != {failing_step} ]')

    assert exit_code != 0
    assert dependencies.stat().st_mtime == modified_before
