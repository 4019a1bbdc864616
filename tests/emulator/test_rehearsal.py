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
                f"[fault f{place}]\n" + fault.replace(", ", "\n").replace(" & ", ", ")
                for place, fault in enumerate(faults)
            ),
        )
    )


def test_the_same_script_and_seed_give_the_same_bytes_and_another_seed_others():
    made = site_with("kind = lost, who = zone windsor, start = 4s, length = 4s")
    first = encoded_report(play(made, 3))
    assert encoded_report(play(made, 3)) == first and encoded_report(play(made, 4)) != first


def test_the_same_bytes_from_another_folder_and_under_another_hash_seed(tmp_path):
    path = tmp_path / "s.ini"
    path.write_text(SITE + "\n[fault f]\nkind = silent\nwho = nodes 20%\nstart = 4s\nlength = 3s\n")
    found = []
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
        found.append((tmp_path / seed / "r.json").read_bytes())
    assert found[0] == found[1]


@pytest.mark.parametrize("name", sorted(path.name for path in SCRIPTS.glob("*.ini")))
def test_every_script_of_the_repository_can_be_used(name):
    made = read_script(IniFile.load(str(SCRIPTS / name)))
    Simulation(made, 1, VirtualClock(10**12)).start()


def test_a_zone_lost_with_its_proxies_and_an_assigner_keeps_the_rules_and_beats_the_static_policy():
    made, services = read_script(IniFile.load(str(SCRIPTS / "windsor-lost.ini"))), {Policy: [], StaticPolicy: []}
    for policy, found in services.items():
        for seed in range(4):
            played = play(made, seed, policy)
            assert played["broken"] == [] and played["duplicates"]["order-place"] == 0 and rules_kept(played)
            assert [what for _, what, _ in played["events"]] == ["windsor: lost begins", "back"]
            found.append(played["service"])
    assert sum(services[Policy]) > sum(services[StaticPolicy]) and min(services[Policy]) > 0.95


def test_a_stall_that_begins_while_a_retry_is_in_flight_gets_no_third_attempt():
    """Nodes 0 to 2 are gone, so what is sent there is proved not to have run and goes to others, which stall."""
    made = site_with(
        "kind = lost, who = node 0 & node 1 & node 2, start = 3s, length = 8s",
        "kind = stall, who = nodes, start = 3010ms, length = 8s, pause = 1900ms, every = 2s",
        slices="9",
        strikes="0",
        site=SITE + "\n[relays]\nstrikes = 5\n[discovery]\nnotice = 7s\n",
    )
    clock = VirtualClock(10**12)
    simulation = Simulation(made, 5, clock, StaticPolicy)
    simulation.store.weights = [{table % 3: 1.0, 3 + table % 6: 1.0} for table in range(9)]
    simulation.start()
    clock.run(clock.now() + made.site.length)
    assert sum(proxy.attempts.counts["second_tries"] for proxy in simulation.proxies) > 20
    assert (
        simulation.environment.score.lost_by_reason["aborted: op timeout"] > 20
    )  # the second may run yet: nothing more is sent
    simulation.environment.rules.close(clock.now())
    assert simulation.environment.rules.worst[Rule.REPEATED_OP] == 0 and simulation.environment.rules.most_runs() == 1


def test_a_node_that_dies_after_the_work_and_before_the_answer_is_no_proof():
    made = site_with(
        "kind = mute, who = nodes 50%, start = 3s, length = 3s, strength = 1",
        "kind = lost, who = nodes, start = 3050ms, length = 1s",
    )
    found = play(made, 2)
    assert "aborted: reset" in found["lost"] and found["broken"] == [] and found["duplicates"]["order-place"] == 0


@pytest.mark.parametrize("keeps", ["yes", "no"])
def test_a_silent_node_that_comes_back_cold_with_its_queue_runs_what_was_given_up_once(keeps):
    made = site_with(f"kind = silent, who = nodes 34%, start = 3s, length = 4s, keeps_queue = {keeps}")
    found = play(made, 2)
    assert found["lost"]["aborted: op timeout"] > 10 and found["broken"] == []
    assert found["duplicates"] == {"look": 0, "order-place": 0}


def test_two_faults_on_one_node_hold_together():
    made = site_with(
        "kind = slow, who = nodes, start = 3s, length = 9s, strength = 2",
        "kind = fail, who = nodes, start = 3s, length = 9s, strength = 0.2",
    )
    slower = site_with("kind = slow, who = nodes, start = 3s, length = 9s, strength = 2")
    found, slow, calm = (play(one, 2) for one in (made, slower, site_with()))
    assert found["service"] < slow["service"] < calm["service"] and "aborted: failed" in found["lost"]


def test_a_drain_is_kept_within_its_grace_and_the_node_comes_back():
    found = play(site_with("kind = drain, who = node 3 & node 4, start = 4s, length = 5s"), 2)
    assert 0 < found["rules"]["drains"]["worst"] < 1.5 and found["broken"] == []


@pytest.mark.parametrize(
    "proofs, broken",
    [(PROOFS_NOT_EXECUTED, False), ((*PROOFS_NOT_EXECUTED, AttemptOutcome.RESET, AttemptOutcome.TIMED_OUT), True)],
)
def test_a_planted_proxy_that_retries_without_proof_is_caught(proofs, broken):
    """A node that dies may have run what it had; a proxy that sends it again runs it twice."""
    made = site_with("kind = lost, who = nodes 45%, start = 4s, length = 2s", load="90%")
    simulation = Simulation(made, 1, clock := VirtualClock(10**12), StaticPolicy, proofs)
    simulation.store.weights = [{table % 9: 1.0, (table + 1) % 9: 1.0} for table in range(36)]
    simulation.start()
    clock.run(clock.now() + made.site.length)
    assert (
        ("repeats" in simulation.environment.rules.broken())
        == broken
        == bool(simulation.environment.rules.duplicates["order-place"])
    )


def test_a_planted_policy_that_orders_nothing_is_caught_by_the_rules_on_drains_and_slices_without_a_node():
    class OrdersNothing(StaticPolicy):
        def round(self, now, events, out):
            """Orders nothing, so proxies go on as the store has it."""

    made = site_with("kind = drain, who = node 3, start = 3s, length = 8s")
    assert "drains" in play(made, 1, OrdersNothing)["broken"]

    class WithdrawsAllNodes(StaticPolicy):
        def round(self, now, events, out):
            super().round(now, events, out)
            if self.slices and not hasattr(self, "said"):
                self.said = [out.set_withdrawn(index, True) for index in self.nodes]

    assert "bare" in play(site_with(), 1, WithdrawsAllNodes)["broken"]


def test_an_assigner_that_ends_is_followed_by_the_other_and_its_slices_return():
    made = site_with("kind = lost, who = conductor 1, start = 3s, length = 2s")
    simulation = Simulation(made, 1, clock := VirtualClock(10**12))
    simulation.start()
    held = []
    for at in (2, 7, 18):
        clock.run(10**12 + at * 10**9)
        held.append(simulation.store.owner.count(1))
    assert held == [18, 0, 18] and simulation.environment.rules.broken() == []


@pytest.mark.parametrize(
    "fault, says",
    [
        (
            "kind = stall, who = node 1, start = 5s, end = 4s",
            "line 32, [fault f0], field end: the fault ends before it begins",
        ),
        (
            "kind = stall, who = node 1, start = 5s, length = 0",
            "line 32, [fault f0], field length: the fault ends before it begins",
        ),
        ("kind = stall, who = node 1, start = 5s", "line 28, [fault f0]: give either length or end"),
        ("kind = stall, who = node 1, start = 50s, length = 1s", "field start: the rehearsal is over by then"),
        (
            "kind = stall, who = node 9, start = 5s, length = 1s",
            "field who: there is no node 9: there are 9, counted from 0",
        ),
        (
            "kind = stall, who = zone detroit, start = 5s, length = 1s",
            "no zone is called 'detroit'; there are niagara, windsor",
        ),
        ("kind = stall, who = zone, start = 5s, length = 1s", "names no zone"),
        (
            "kind = stall, who = bridges, start = 5s, length = 1s",
            "expected zone, nodes, relays or conductors, got 'bridges'",
        ),
        ("kind = slow, who = relays 10%, start = 5s, length = 1s, strength = 2", "field who: slow is for nodes alone"),
        ("kind = slow, who = nodes, start = 5s, length = 1s", "expected how many times slower, over 1"),
        ("kind = fail, who = nodes, start = 5s, length = 1s, strength = 2", "expected a share over 0 and up to 1"),
        ("kind = stall, who = nodes, start = 5s, length = 1s, pause = 3s", "a pause is shorter than"),
        (
            "kind = quake, who = nodes, start = 5s, length = 1s",
            "line 29, [fault f0], field kind: invalid enum value 'quake'",
        ),
        ("kind = stall, who = , start = 5s, length = 1s", "names nobody"),
    ],
)
def test_a_fault_that_cannot_be_played_is_refused_with_its_line(fault, says):
    with pytest.raises(InvalidSettingsError) as found:
        site_with(fault)
    assert says in str(found.value) and str(found.value).startswith("s.ini")


@pytest.mark.parametrize(
    "old, new, says",
    [
        ("share = 60%", "share = 50%", "do not sum to 100%"),
        ("target = 700ms", "target = 3s", "within the op timeout"),
        ("zones = niagara, windsor, toronto", "zones = a, a", "each once"),
        ("settle = 2s", "settle = 20s", "nothing is left"),
        ("[nodes]", "[node]", "unknown section [node]; did you mean nodes?"),
        ("work = 100ms", "work = 0", "expected some"),
        ("warm_up = 4s", "cancel = some", "expected waiting, all or none"),
        ("nodes = 9", "nodes = 0", "expected `int` >= 1"),
        (
            "load = 50%",
            "load = 50%\n[load b]\nat = 5s\nload = 1\n[load c]\nat = 4s\nload = 1",
            "loads stand in the order of time",
        ),
    ],
)
def test_a_site_that_cannot_be_played_is_refused(old, new, says):
    with pytest.raises(InvalidSettingsError) as found:
        read_script(IniFile("s.ini", SITE.replace(old, new, 1)))
    assert says in str(found.value)


def test_a_midnight_edit_never_empties_a_key_block_and_each_refusal_names_its_line():
    found = play(read_script(IniFile.load(str(SCRIPTS / "midnight-edit.ini"))), 3)
    said = [what for _, what, _ in found["events"] if what.startswith("list")]
    assert [what.split(":")[0] for what in said] == ["list refused"] * 4 + ["list waiting"] + ["list accepted"] * 4
    assert "stands in zone" in said[1] and all("nodes.ini" in what for what in said[:4])
    assert found["broken"] == [] and found["rules"]["bare"]["worst"] == 0 and found["service"] > 0.99


def test_an_edit_needs_node_files():
    with pytest.raises(InvalidSettingsError, match="there are no node files"):
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
        == sum(counts[word] for word in ("acked", "rejected", "aborted"))
        > 500
    )
    assert simulation.environment.score.latest_end_ns <= 0 and not any(proxy.ops for proxy in simulation.proxies)


def test_load_follows_the_script_over_time():
    made = read_script(
        IniFile("s.ini", SITE + "\n[load more]\nat = 5s\nload = 100%\n[load none]\nat = 10s\nload = 0\n")
    )
    simulation = Simulation(made, 1, VirtualClock(10**12))
    rates = [simulation.load.ops_per_s(10**12 + at * 10**9) for at in (0, 5, 10)]
    assert rates[1] == pytest.approx(2 * rates[0]) and rates[2] == 0


def test_the_mean_in_a_nodes_timeline_is_that_of_its_good_attempts():
    score = ServiceScore(site_with(), 0)
    for good, time in ((True, 20), (False, 700), (True, 40)):
        score.attempt_ended(10**9, 2, good, time * 10**6)
    score.attempt_ended(3 * 10**9, 2, False, 10**6)
    assert score.timelines()[2] == [[1, 3, 1, 30.0], [3, 1, 1, None]]
