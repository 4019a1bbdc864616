import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from kestrelplank.cli.rehearsal_report import encoded_report, rules_kept
from kestrelplank.emulator.baseline_policies import StaticPolicy
from kestrelplank.emulator.rehearsal import play
from kestrelplank.emulator.rule_checks import Rule
from kestrelplank.emulator.script import read_script
from kestrelplank.emulator.service_score import ServiceScore
from kestrelplank.emulator.simulation import Simulation
from kestrelplank.emulator.virtual_clock import VirtualClock
from kestrelplank.load_balancing.operations import PROOFS_NOT_EXECUTED, AttemptOutcome
from kestrelplank.policy import Policy
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile

SCRIPTS = Path(__file__).parents[2] / "rehearsals"
SITE = """[site]
zones = niagara, windsor, toronto
nodes = 9
slices = 36
relays = 6
length = 14s
settle = 2s
load = 50%

[nodes]
warm_up = 4s

[op look]
share = 60%
work = 100ms
target = 700ms
timeout = 2s
effect = retryable

[op order-place]
share = 40%
work = 80ms
target = 500ms
timeout = 1500ms
value = 5
effect = once-only
"""


def site_with(*faults, site=SITE, **changes):
    for old, new in changes.items():
        lines = [line for line in site.splitlines() if line.startswith(f"{old} =")]
        site = site.replace(lines[0], f"{old} = {new}", 1)
    return read_script(
        IniFile(
            "s.ini",
            site
            + "\n"
            + "\n\n".join(
                f"[fault f{number}]\n" + fault.replace(", ", "\n").replace(" & ", ", ")
                for number, fault in enumerate(faults)
            ),
        )
    )


def test_the_same_script_and_seed_give_identical_reports_and_another_seed_a_different_one():
    script = site_with("kind = lost, who = zone windsor, start = 4s, length = 4s")
    first = encoded_report(play(script, 3))
    assert encoded_report(play(script, 3)) == first and encoded_report(play(script, 4)) != first


def test_a_report_does_not_depend_on_the_working_directory_or_the_hash_seed(tmp_path):
    path = tmp_path / "s.ini"
    path.write_text(SITE + "\n[fault f]\nkind = silent\nwho = nodes 20%\nstart = 4s\nlength = 3s\n")
    reports = []
    for place, seed in enumerate(("0", "77")):
        (tmp_path / seed).mkdir()
        root = str(Path(__file__).parents[2])
        subprocess.run(
            [
                sys.executable,
                "-c",
                "from kestrelplank.cli import main; main()",
                "rehearse",
                str(path),
                "--json",
                "r.json",
            ],
            cwd=tmp_path / seed,
            check=True,
            timeout=120,
            capture_output=True,
            env=os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": root},
        )
        reports.append((tmp_path / seed / "r.json").read_bytes())
    assert reports[0] == reports[1]


@pytest.mark.parametrize("name", sorted(path.name for path in SCRIPTS.glob("*.ini")))
def test_every_script_in_the_repository_is_valid(name):
    script = read_script(IniFile.load(str(SCRIPTS / name)))
    Simulation(script, 1, VirtualClock(10**12)).start()


def test_loss_of_a_zone_with_proxies_and_an_assigner_keeps_the_rules_and_beats_the_static_policy():
    script, services = read_script(IniFile.load(str(SCRIPTS / "windsor-lost.ini"))), {Policy: [], StaticPolicy: []}
    for policy, values in services.items():
        for seed in range(4):
            report = play(script, seed, policy)
            assert report["broken"] == [] and report["duplicates"]["order-place"] == 0 and rules_kept(report)
            assert [text for _, text, _ in report["events"]] == ["windsor: lost begins", "back"]
            values.append(report["service"])
    assert sum(services[Policy]) > sum(services[StaticPolicy]) and min(services[Policy]) > 0.95


def test_an_op_whose_retry_is_in_flight_when_nodes_stall_gets_no_third_attempt():
    """Attempts at nodes 0 to 2, which are down, provably don't run and are retried at other nodes, which stall."""
    script = site_with(
        "kind = lost, who = node 0 & node 1 & node 2, start = 3s, length = 8s",
        "kind = stall, who = nodes, start = 3010ms, length = 8s, pause = 1900ms, every = 2s",
        slices="9",
        strikes="0",
        site=SITE + "\n[relays]\nstrikes = 5\n[discovery]\nnotice = 7s\n",
    )
    clock = VirtualClock(10**12)
    simulation = Simulation(script, 5, clock, StaticPolicy)
    simulation.store.weights = [{table % 3: 1.0, 3 + table % 6: 1.0} for table in range(9)]
    simulation.start()
    clock.run(clock.now() + script.site.length)
    assert sum(proxy.attempts.counts["second_tries"] for proxy in simulation.proxies) > 20
    assert (
        simulation.environment.score.lost_by_reason["aborted: op timeout"] > 20
    )  # the second attempt may still run, so there is no third
    simulation.environment.rules.close(clock.now())
    assert simulation.environment.rules.worst[Rule.REPEATED_OP] == 0 and simulation.environment.rules.max_runs() == 1


def test_a_reset_after_an_answer_was_lost_is_no_proof_that_the_op_did_not_run():
    script = site_with(
        "kind = mute, who = nodes 50%, start = 3s, length = 3s, strength = 1",
        "kind = lost, who = nodes, start = 3050ms, length = 1s",
    )
    report = play(script, 2)
    assert "aborted: reset" in report["lost"] and report["broken"] == [] and report["duplicates"]["order-place"] == 0


@pytest.mark.parametrize("keeps_queue", ["yes", "no"])
def test_a_silent_node_that_restarts_with_or_without_its_queue_runs_no_op_twice(keeps_queue):
    script = site_with(f"kind = silent, who = nodes 34%, start = 3s, length = 4s, keeps_queue = {keeps_queue}")
    report = play(script, 2)
    assert report["lost"]["aborted: op timeout"] > 10 and report["broken"] == []
    assert report["duplicates"] == {"look": 0, "order-place": 0}


def test_two_faults_on_the_same_nodes_reduce_the_service_more_than_one():
    script = site_with(
        "kind = slow, who = nodes, start = 3s, length = 9s, strength = 2",
        "kind = fail, who = nodes, start = 3s, length = 9s, strength = 0.2",
    )
    slower = site_with("kind = slow, who = nodes, start = 3s, length = 9s, strength = 2")
    both, slow, fault_free = (play(each_script, 2) for each_script in (script, slower, site_with()))
    assert both["service"] < slow["service"] < fault_free["service"] and "aborted: failed" in both["lost"]


def test_a_drain_ends_within_its_grace_period_and_breaks_no_rule():
    report = play(site_with("kind = drain, who = node 3 & node 4, start = 4s, length = 5s"), 2)
    assert 0 < report["rules"]["drains"]["worst"] < 1.5 and report["broken"] == []


@pytest.mark.parametrize(
    "proofs, broken",
    [(PROOFS_NOT_EXECUTED, False), ((*PROOFS_NOT_EXECUTED, AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT), True)],
)
def test_the_rule_on_repeats_detects_a_proxy_that_retries_without_proof(proofs, broken):
    """A node that is lost may have run its ops; a proxy that sends them again runs them twice."""
    script = site_with("kind = lost, who = nodes 45%, start = 4s, length = 2s", load="90%")
    simulation = Simulation(script, 1, clock := VirtualClock(10**12), StaticPolicy, proofs)
    simulation.store.weights = [{table % 9: 1.0, (table + 1) % 9: 1.0} for table in range(36)]
    simulation.start()
    clock.run(clock.now() + script.site.length)
    assert (
        ("repeats" in simulation.environment.rules.broken())
        == broken
        == bool(simulation.environment.rules.duplicates["order-place"])
    )


def test_the_rules_on_drains_and_slices_without_a_node_detect_faulty_policies():
    class OrdersNothing(StaticPolicy):
        def round(self, now, events, out):
            """Issue no orders, so that proxies keep the tables of the store."""

    script = site_with("kind = drain, who = node 3, start = 3s, length = 8s")
    assert "drains" in play(script, 1, OrdersNothing)["broken"]

    class WithdrawsAllNodes(StaticPolicy):
        def round(self, now, events, out):
            super().round(now, events, out)
            if self.slices and not hasattr(self, "has_withdrawn_all_nodes"):
                self.has_withdrawn_all_nodes = [out.set_withdrawn(index, True) for index in self.nodes]

    assert "bare" in play(site_with(), 1, WithdrawsAllNodes)["broken"]


def test_slices_of_a_lost_assigner_pass_to_the_other_and_return():
    script = site_with("kind = lost, who = conductor 1, start = 3s, length = 2s")
    simulation = Simulation(script, 1, clock := VirtualClock(10**12))
    simulation.start()
    owned_slices = []
    for at in (2, 7, 18):
        clock.run(10**12 + at * 10**9)
        owned_slices.append(simulation.store.owner.count(1))
    assert owned_slices == [18, 0, 18] and simulation.environment.rules.broken() == []


@pytest.mark.parametrize(
    "fault, expected_text",
    [
        (
            "kind = stall, who = node 1, start = 5s, end = 4s",
            "line 32, [fault f0], field end: the fault must end after it starts",
        ),
        (
            "kind = stall, who = node 1, start = 5s, length = 0",
            "line 32, [fault f0], field length: the fault must end after it starts",
        ),
        ("kind = stall, who = node 1, start = 5s", "line 28, [fault f0]: expected either length or end"),
        (
            "kind = stall, who = node 1, start = 50s, length = 1s",
            "field start: expected a time before the end of the rehearsal",
        ),
        (
            "kind = stall, who = node 9, start = 5s, length = 1s",
            "field who: there is no node 9: the site has 9, numbered from 0",
        ),
        (
            "kind = stall, who = zone detroit, start = 5s, length = 1s",
            "there is no zone 'detroit'; the site's zones are niagara, windsor",
        ),
        ("kind = stall, who = zone, start = 5s, length = 1s", "expected the name of a zone after 'zone'"),
        (
            "kind = stall, who = bridges, start = 5s, length = 1s",
            "expected zone, nodes, relays or conductors, got 'bridges'",
        ),
        (
            "kind = slow, who = relays 10%, start = 5s, length = 1s, strength = 2",
            "field who: a fault of kind slow can target only nodes",
        ),
        ("kind = slow, who = nodes, start = 5s, length = 1s", "expected a slowdown factor above 1"),
        ("kind = fail, who = nodes, start = 5s, length = 1s, strength = 2", "expected a share above 0 and at most 1"),
        (
            "kind = stall, who = nodes, start = 5s, length = 1s, pause = 3s",
            "field pause: expected a duration above 0 and less than field every",
        ),
        (
            "kind = quake, who = nodes, start = 5s, length = 1s",
            "line 29, [fault f0], field kind: invalid enum value 'quake'",
        ),
        ("kind = stall, who = , start = 5s, length = 1s", "field who: expected at least one target"),
    ],
)
def test_an_invalid_fault_is_rejected_with_its_line_and_reason(fault, expected_text):
    with pytest.raises(InvalidSettingsError) as error:
        site_with(fault)
    assert expected_text in str(error.value) and str(error.value).startswith("s.ini")


@pytest.mark.parametrize(
    "old, new, expected_text",
    [
        ("share = 60%", "share = 50%", "must sum to 100%"),
        ("target = 700ms", "target = 3s", "above 0 and at most the op timeout"),
        ("zones = niagara, windsor, toronto", "zones = a, a", "at least one and without duplicates"),
        ("settle = 2s", "settle = 20s", "must be less than the length of the rehearsal"),
        ("[nodes]", "[node]", "unknown section [node]; did you mean nodes?"),
        ("work = 100ms", "work = 0", "expected a duration above 0"),
        ("warm_up = 4s", "cancel = some", "expected waiting, all or none"),
        ("nodes = 9", "nodes = 0", "expected `int` >= 1"),
        (
            "load = 50%",
            "load = 50%\n[load b]\nat = 5s\nload = 1\n[load c]\nat = 4s\nload = 1",
            "expected a time not before that of the previous section",
        ),
    ],
)
def test_an_invalid_site_is_rejected_with_its_reason(old, new, expected_text):
    with pytest.raises(InvalidSettingsError) as error:
        read_script(IniFile("s.ini", SITE.replace(old, new, 1)))
    assert expected_text in str(error.value)


def test_the_edits_of_midnight_edit_leave_no_slice_without_a_node_and_each_refusal_names_the_file():
    report = play(read_script(IniFile.load(str(SCRIPTS / "midnight-edit.ini"))), 3)
    list_events = [text for _, text, _ in report["events"] if text.startswith("list")]
    assert [text.split(":")[0] for text in list_events] == ["list refused"] * 4 + ["list waiting"] + [
        "list accepted"
    ] * 4
    assert "stands in zone" in list_events[1] and all("nodes.ini" in text for text in list_events[:4])
    assert report["broken"] == [] and report["rules"]["bare"]["worst"] == 0 and report["service"] > 0.99


def test_an_edit_fault_without_node_files_is_rejected():
    with pytest.raises(InvalidSettingsError, match="needs a section \\[files\\]"):
        site_with("kind = edit, who = nodes, start = 3s, length = 3s")


def test_every_op_of_every_proxy_ends_once_and_none_after_its_time_out():
    simulation = Simulation(
        site_with("kind = lost, who = nodes 45%, start = 4s, length = 2s", load="90%"), 1, clock := VirtualClock(10**12)
    )
    simulation.start()
    clock.run(simulation.over_at + 10**9)
    counts = sum((proxy.attempts.counts for proxy in simulation.proxies), start=Counter())
    assert (
        counts["asked"]
        == simulation.environment.score.ended_ops
        == sum(counts[verdict] for verdict in ("acked", "rejected", "aborted"))
        > 500
    )
    assert simulation.environment.score.latest_end_ns <= 0 and not any(proxy.ops for proxy in simulation.proxies)


def test_load_follows_the_script_over_time():
    script = read_script(
        IniFile("s.ini", SITE + "\n[load more]\nat = 5s\nload = 100%\n[load none]\nat = 10s\nload = 0\n")
    )
    simulation = Simulation(script, 1, VirtualClock(10**12))
    rates = [simulation.load.ops_per_s(10**12 + at * 10**9) for at in (0, 5, 10)]
    assert rates[1] == pytest.approx(2 * rates[0]) and rates[2] == 0


def test_a_nodes_timeline_has_the_mean_latency_of_its_successful_attempts():
    score = ServiceScore(site_with(), 0)
    for succeeded, latency_ms in ((True, 20), (False, 700), (True, 40)):
        score.attempt_ended(10**9, 2, succeeded, latency_ms * 10**6)
    score.attempt_ended(3 * 10**9, 2, False, 10**6)
    assert score.timelines()[2] == [[1, 3, 1, 30.0], [3, 1, 1, None]]
