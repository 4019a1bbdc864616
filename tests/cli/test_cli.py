import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from kestrelplank.cli import COMMANDS
from kestrelplank.cli.group import group
from kestrelplank.file_discovery.node_list import parse_node_list
from kestrelplank.state.change_guard import ChangeLimits
from kestrelplank.state.node_set_in_force import NodeSetInForce

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


def test_every_command_has_a_help_line_and_a_module():
    said = run("--help").output
    for name in COMMANDS:
        assert name in said and run(name, "--help").exit_code == 0


def test_a_rehearsal_prints_its_figures_and_writes_the_complete_report(path, tmp_path):
    done = run("rehearse", path, "--json", str(tmp_path / "r.json"))
    assert done.exit_code == 0, done.output
    assert "all figures are simulated" in done.output and "service 1.0000" in done.output
    found = json.loads((tmp_path / "r.json").read_text())
    assert found["rules"]["queue"]["kept"] and len(found["timelines"]) == 4 and found["form"] == 1


def test_an_invalid_script_is_one_line_and_exit_code_2(path):
    Path(path).write_text(SCRIPT.replace("500ms", "soon"))
    done = run("rehearse", path)
    assert done.exit_code == 2 and done.output.count("\n") == 1 and "line 11, [op look], field target" in done.output


def test_a_report_that_cannot_be_written_is_one_line_and_exit_code_2(path, tmp_path):
    done = run("rehearse", path, "--json", str(tmp_path / "no" / "r.json"))
    assert done.exit_code == 2 and "can't be written: No such file or directory" in done.output


def test_a_broken_rule_is_exit_code_1(path, monkeypatch):
    from kestrelplank.emulator import environment

    monkeypatch.setattr(environment, "TIME_LIMIT_TOLERANCE_NS", -(10**12))  # so that no time is short enough
    done = run("rehearse", path)
    assert done.exit_code == 1 and "BROKEN" in done.output


def test_the_platforms_run_imports_nothing_new():
    """Without an operator's file, nothing of the command line, the emulator or an extra is loaded."""
    code = "import sys, kestrelplank.__main__; print('\\n'.join(sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    ).stdout.split()
    ours = {name for name in loaded if name.startswith("kestrelplank.")}
    assert ours <= {"kestrelplank.__main__", "kestrelplank.decode", "kestrelplank.interface", "kestrelplank.policy"} | {
        name for name in ours if name.split(".")[1] in ("assigner", "sockets", "policy")
    }
    assert not {"click", "hypothesis", "configparser", "h2", "google", "wasmtime", "numpy"} & set(loaded)
    files = [ROOT / (name.replace(".", "/") + ".py") for name in ours]
    sources = [file.read_text() for file in files if file.is_file()]
    assert len(sources) > 20 and not any("import pathlib" in text or "from pathlib" in text for text in sources)


NODES = """[zone a]
n1 = 10.0.0.1:1
n2 = 10.0.0.1:2 weight 2
[zone b]
n3 = 10.0.0.1:3 draining
n4 = 10.0.0.1:4
# end 4 nodes
"""


@pytest.fixture
def site(tmp_path):
    (tmp_path / "nodes").mkdir()
    (tmp_path / "nodes" / "a.ini").write_text(NODES)
    (tmp_path / "k.ini").write_text(
        f"[nodes]\nfiles = {tmp_path}/nodes/*.ini\nquiet = 300ms\nstate = {tmp_path}/state\n"
    )
    return tmp_path


def keep(site):
    """A state file, as a conductor that has read these lists leaves it."""
    node_set_in_force = NodeSetInForce(ChangeLimits(0.25, 0, False))
    node_set_in_force.update_file("a", parse_node_list("a", NODES.encode(), max_nodes=9, trailer_required=True))
    node_set_in_force.decide(0)
    (site / "state").write_bytes(node_set_in_force.encode())
    return node_set_in_force.node_set.short_hash


def test_check_prints_what_each_file_is_and_names_conflicts(site, path):
    done = run("check", str(site / "k.ini"), str(site / "nodes" / "a.ini"), path)
    assert done.exit_code == 0 and "4 nodes, 3 ready, in 2 zones" in done.output
    assert [line.rpartition(": ")[2] for line in done.output.splitlines()[:3]] == [
        "operator's file, good",
        "node list, good",
        "script, good",
    ]
    (site / "nodes" / "b.ini").write_text("[zone a]\nn3 = 10.0.0.9:1\n")
    done = run("check", str(site / "nodes" / "a.ini"), str(site / "nodes" / "b.ini"))
    assert done.exit_code == 2 and "b.ini, line 2: n3 stands in zone a and in zone b" in done.output
    assert run("check", str(site / "none.ini")).exit_code == 2


def test_config_shows_each_value_and_where_it_came_from(site):
    said = run("config", "show", "--ini", str(site / "k.ini")).output
    assert "300ms" in said and "line 3" in said and "stand            1min" in said
    rows = json.loads(run("config", "show", "--ini", str(site / "k.ini"), "--json").output)
    assert {"section": "[nodes]", "field": "quiet", "value": 300_000_000, "from": "line 3"} in rows
    assert {row["from"] for row in json.loads(run("config", "show", "--json").output)} == {"default"}


def test_nodes_are_listed_from_the_files_or_as_they_are_in_force(site):
    ini = ("--ini", str(site / "k.ini"))
    assert "4 nodes, 3 ready; hash" in run("nodes", "list", *ini).output
    assert json.loads(run("nodes", "list", *ini, "--json").output)[2] == {
        "name": "n3",
        "zone": "b",
        "address": "10.0.0.1:3",
        "weight": 1.0,
        "draining": True,
        "cell": None,
    }
    assert run("nodes", "list", *ini, "--in-force").exit_code == 1
    short = keep(site)
    (site / "nodes" / "a.ini").write_text(NODES.replace("n1 = 10.0.0.1:1\n", "").replace("4 nodes", "3 nodes"))
    assert f"4 nodes, 3 ready; hash {short}" in run("nodes", "list", *ini, "--in-force").output
    done = run("nodes", "check", *ini)
    assert done.exit_code == 1 and f"put `confirm = {short}`" in done.output
    assert json.loads(run("nodes", "history", *ini, "--json").output) == [
        {"version": 1, "hash": short, "what": "4 nodes"}
    ]


def test_nodes_diff_prints_each_node_that_differs_and_exits_with_1(site):
    (site / "new.ini").write_text(
        NODES.replace("n2 = 10.0.0.1:2 weight 2", "n2 = 10.0.0.1:2 draining\nn5 = 10.0.0.1:5").replace(
            "n4 = 10.0.0.1:4\n", ""
        )
    )
    done = run("nodes", "diff", str(site / "nodes" / "a.ini"), str(site / "new.ini"))
    assert done.exit_code == 1 and done.output.splitlines() == [
        "+ n5",
        "- n4",
        "~ n2 (closed)",
        "1 added, 1 gone, 1 changed, 1 closed",
    ]
    assert run("nodes", "diff", str(site / "new.ini"), str(site / "new.ini")).exit_code == 0


@pytest.mark.parametrize(
    "words, says",
    [
        (("list",), "no operator's file: name one with --ini or KESTRELPLANK_INI"),
        (("list", "--ini", "none.ini"), "none.ini: can't be read"),
        (("diff", "none", "none"), "none: can't be read"),
    ],
)
def test_a_file_that_the_nodes_commands_cannot_use_is_one_line_and_exit_code_2(words, says, monkeypatch):
    monkeypatch.delenv("KESTRELPLANK_INI", raising=False)
    done = run("nodes", *words)
    assert done.exit_code == 2 and says in done.output and done.output.count("\n") == 1
