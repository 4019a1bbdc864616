import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from kestrelplank.cli import COMMANDS
from kestrelplank.cli.group import group

ROOT = Path(__file__).parents[2]
SCRIPT = """[site]
zones = a, b
nodes = 4
slices = 8
relays = 3
length = 4s
settle = 1s
[op look]
share = 100%
work = 50ms
target = 500ms
timeout = 1s
"""


def run(*words):
    return CliRunner().invoke(group, words)


@pytest.fixture
def path(tmp_path):
    (tmp_path / "s.ini").write_text(SCRIPT)
    return str(tmp_path / "s.ini")


def test_every_command_has_a_line_in_the_help_and_a_module():
    said = run("--help").output
    for name in COMMANDS:
        assert name in said and run(name, "--help").exit_code == 0


def test_a_rehearsal_prints_its_figures_and_writes_them_whole(path, tmp_path):
    done = run("rehearse", path, "--json", str(tmp_path / "r.json"))
    assert done.exit_code == 0, done.output
    assert "all figures are simulated" in done.output and "service 1.0000" in done.output
    found = json.loads((tmp_path / "r.json").read_text())
    assert found["rules"]["queue"]["kept"] and len(found["timelines"]) == 4 and found["form"] == 1


def test_a_script_that_cannot_be_used_is_one_line_and_exit_code_2(path):
    Path(path).write_text(SCRIPT.replace("500ms", "soon"))
    done = run("rehearse", path)
    assert done.exit_code == 2 and done.output.count("\n") == 1 and "line 11, [op look], field target" in done.output


def test_a_report_that_cannot_be_written_is_exit_code_2_and_said(path, tmp_path):
    done = run("rehearse", path, "--json", str(tmp_path / "no" / "r.json"))
    assert done.exit_code == 2 and "can't be written: No such file or directory" in done.output


def test_a_broken_rule_is_exit_code_1(path, monkeypatch):
    from kestrelplank.lab import world

    monkeypatch.setattr(world, "SLACK", -10**12)  # so that no time is short enough
    done = run("rehearse", path)
    assert done.exit_code == 1 and "BROKEN" in done.output


def test_the_platforms_run_imports_nothing_new():
    """Without an operator's file, nothing of the command line, the lab or an extra is loaded."""
    code = "import sys, kestrelplank.__main__; print('\\n'.join(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True,
                            timeout=60, env=os.environ | {"PYTHONPATH": str(ROOT)}).stdout.split()
    ours = {name for name in loaded if name.startswith("kestrelplank.")}
    assert ours <= {"kestrelplank.__main__", "kestrelplank.decode", "kestrelplank.interface", "kestrelplank.policy"} | {
        name for name in ours if name.split(".")[1] == "net"}
    assert not {"click", "hypothesis", "configparser", "h2", "google", "wasmtime", "numpy"} & set(loaded)
