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


def run(*arguments):
    return CliRunner().invoke(group, arguments)


@pytest.fixture
def path(tmp_path):
    (tmp_path / "s.ini").write_text(SCRIPT)
    return str(tmp_path / "s.ini")


def test_every_command_has_a_help_line_and_a_module():
    output = run("--help").output
    for name in COMMANDS:
        assert name in output and run(name, "--help").exit_code == 0


def test_a_rehearsal_prints_its_figures_and_writes_the_complete_report(path, tmp_path):
    result = run("rehearse", path, "--json", str(tmp_path / "r.json"))
    assert result.exit_code == 0, result.output
    assert "all figures are simulated" in result.output and "service 1.0000" in result.output
    report = json.loads((tmp_path / "r.json").read_text())
    assert report["rules"]["queue"]["kept"] and len(report["timelines"]) == 4 and report["form"] == 1


def test_invalid_script_prints_one_line_and_exits_with_2(path):
    Path(path).write_text(SCRIPT.replace("500ms", "soon"))
    result = run("rehearse", path)
    assert (
        result.exit_code == 2 and result.output.count("\n") == 1 and "line 11, [op look], field target" in result.output
    )


def test_unwritable_report_prints_its_reason_and_exits_with_2(path, tmp_path):
    result = run("rehearse", path, "--json", str(tmp_path / "no" / "r.json"))
    assert result.exit_code == 2 and "can't be written: No such file or directory" in result.output


def test_broken_rule_exits_with_1(path, monkeypatch):
    from kestrelplank.emulator import environment

    monkeypatch.setattr(environment, "TIME_LIMIT_TOLERANCE_NS", -(10**12))  # so that every time exceeds its limit
    result = run("rehearse", path)
    assert result.exit_code == 1 and "BROKEN" in result.output


def test_conductor_without_an_operators_file_loads_no_optional_module():
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
    own_modules = {name for name in loaded if name.startswith("kestrelplank.")}
    assert own_modules <= {
        "kestrelplank.__main__",
        "kestrelplank.decode",
        "kestrelplank.interface",
        "kestrelplank.policy",
    } | {name for name in own_modules if name.split(".")[1] in ("assigner", "sockets", "policy")}
    assert not {"click", "hypothesis", "configparser", "h2", "google", "wasmtime", "numpy"} & set(loaded)
    files = [ROOT / (name.replace(".", "/") + ".py") for name in own_modules]
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


def write_state_file(site):
    """Write the state file of a conductor that has read NODES; return the short hash of its node set."""
    node_set_in_force = NodeSetInForce(ChangeLimits(0.25, 0, False))
    node_set_in_force.update_file("a", parse_node_list("a", NODES.encode(), max_nodes=9, trailer_required=True))
    node_set_in_force.decide(0)
    (site / "state").write_bytes(node_set_in_force.encode())
    return node_set_in_force.node_set.short_hash


def test_check_prints_each_files_kind_and_conflicts(site, path):
    result = run("check", str(site / "k.ini"), str(site / "nodes" / "a.ini"), path)
    assert result.exit_code == 0 and "4 nodes, 3 ready, in 2 zones" in result.output
    assert [line.rpartition(": ")[2] for line in result.output.splitlines()[:3]] == [
        "operator's file, good",
        "node list, good",
        "script, good",
    ]
    (site / "nodes" / "b.ini").write_text("[zone a]\nn3 = 10.0.0.9:1\n")
    result = run("check", str(site / "nodes" / "a.ini"), str(site / "nodes" / "b.ini"))
    assert result.exit_code == 2 and "b.ini, line 2: n3 stands in zone a and in zone b" in result.output
    assert run("check", str(site / "none.ini")).exit_code == 2


def test_config_shows_each_value_and_where_it_came_from(site):
    output = run("config", "show", "--ini", str(site / "k.ini")).output
    assert "300ms" in output and "line 3" in output and "stand            1min" in output
    rows = json.loads(run("config", "show", "--ini", str(site / "k.ini"), "--json").output)
    assert {"section": "[nodes]", "field": "quiet", "value": 300_000_000, "from": "line 3"} in rows
    assert {row["from"] for row in json.loads(run("config", "show", "--json").output)} == {"default"}


def test_nodes_are_listed_from_the_files_or_from_the_set_in_force(site):
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
    short_hash = write_state_file(site)
    (site / "nodes" / "a.ini").write_text(NODES.replace("n1 = 10.0.0.1:1\n", "").replace("4 nodes", "3 nodes"))
    assert f"4 nodes, 3 ready; hash {short_hash}" in run("nodes", "list", *ini, "--in-force").output
    result = run("nodes", "check", *ini)
    assert result.exit_code == 1 and f"put `confirm = {short_hash}`" in result.output
    assert json.loads(run("nodes", "history", *ini, "--json").output) == [
        {"version": 1, "hash": short_hash, "what": "4 nodes"}
    ]


def test_nodes_diff_prints_each_node_that_differs_and_exits_with_1(site):
    (site / "new.ini").write_text(
        NODES.replace("n2 = 10.0.0.1:2 weight 2", "n2 = 10.0.0.1:2 draining\nn5 = 10.0.0.1:5").replace(
            "n4 = 10.0.0.1:4\n", ""
        )
    )
    result = run("nodes", "diff", str(site / "nodes" / "a.ini"), str(site / "new.ini"))
    assert result.exit_code == 1 and result.output.splitlines() == [
        "+ n5",
        "- n4",
        "~ n2 (closed)",
        "1 added, 1 gone, 1 changed, 1 closed",
    ]
    assert run("nodes", "diff", str(site / "new.ini"), str(site / "new.ini")).exit_code == 0


@pytest.mark.parametrize(
    "arguments, expected",
    [
        (("list",), "no operator's file: name one with --ini or KESTRELPLANK_INI"),
        (("list", "--ini", "none.ini"), "none.ini: can't be read"),
        (("diff", "none", "none"), "none: can't be read"),
    ],
)
def test_unusable_file_of_a_nodes_command_prints_one_line_and_exits_with_2(arguments, expected, monkeypatch):
    monkeypatch.delenv("KESTRELPLANK_INI", raising=False)
    result = run("nodes", *arguments)
    assert result.exit_code == 2 and expected in result.output and result.output.count("\n") == 1
