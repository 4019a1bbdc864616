from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.emulator.node import EmulatedNode, OfferResult
from kestrelplank.emulator.node_faults import NodeFaultKind
from kestrelplank.emulator.script_sections import NodeKind
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S

TAKEN, NOT_STARTED, FAILED = OfferResult


def node(**fields):
    runs, falls = Counter(), []
    made = EmulatedNode(
        NodeKind(**{"cores": 2, "slots": 4, "room": 3, "key_gain": 0.0, "connection": 0, **fields}),
        Random(1),
        0,
        lambda number, op_type: runs.update([number]),
        lambda: falls.append(1),
    )
    return made, runs, falls


def offer(made, now, number, work=100 * MS, key=None, new=False):
    return made.offer(now, number, 0, work, number if key is None else key, new_connection=new)


def finish(made, now, until=60 * S):
    """All that ends until then, as (number, ns)."""
    ended = []
    while (due := made.next_step_at(now)) is not None and due <= until:
        now = due
        ended += [(number, now) for number in made.step(now)]
    return ended


def test_ops_share_the_cores_and_slots_and_the_queue_bind():
    made, runs, _ = node()
    assert [offer(made, 0, number) for number in range(8)] == [TAKEN] * 7 + [NOT_STARTED]
    assert made.load() == (4, 3) and sorted(runs) == [0, 1, 2, 3]
    ended = finish(made, 0)
    assert [number for number, _ in ended] == list(range(7))
    assert [round(at / MS) for _, at in ended] == [200] * 4 + [350] * 3  # 4 on 2 cores, then 3 on 2
    assert runs == dict.fromkeys(range(7), 1)


@pytest.mark.parametrize("kind, strength, ends", [("slow", 4.0, 400), ("stall", 1.0, 300), ("silent", 1.0, 300)])
def test_a_fault_takes_pace_and_gives_it_back(kind, strength, ends):
    made, _, _ = node()
    offer(made, 0, 1)
    made.add_fault(0, "f", NodeFaultKind(kind), strength)
    if kind != "slow":
        assert made.next_step_at(0) is None
        made.remove_fault(200 * MS, "f")
        assert [round(at / MS) for _, at in finish(made, 200 * MS)] == [ends]
    else:
        assert [round(at / MS) for _, at in finish(made, 0)] == [ends]


def test_two_faults_on_one_node_hold_together_and_each_ends_by_itself():
    made, _, _ = node()
    offer(made, 0, 1, 300 * MS)
    made.add_fault(0, "a", NodeFaultKind("slow"), 2.0)
    made.add_fault(0, "b", NodeFaultKind("slow"), 3.0)  # six times slower: 50 ms of work by 300 ms
    made.add_fault(300 * MS, "c", NodeFaultKind("stall"), 1.0)
    made.remove_fault(400 * MS, "a")  # still stalled
    made.remove_fault(500 * MS, "c")  # three times slower
    made.remove_fault(800 * MS, "b")  # 150 ms of work done by now
    assert [round(at / MS) for _, at in finish(made, 800 * MS)] == [950]


def test_what_a_stalled_node_is_sent_waits_unread_and_a_cancel_drops_it():
    made, runs, _ = node(room=1)
    made.add_fault(0, "f", NodeFaultKind("stall"), 1.0)
    assert [offer(made, 0, number) for number in range(6)] == [TAKEN] * 6 and not runs
    made.cancel(10 * MS, 0)
    made.remove_fault(20 * MS, "f")
    assert sorted(runs) == [1, 2, 3, 4]


@pytest.mark.parametrize("cancel, left", [("waiting", (4, 1)), ("all", (4, 0)), ("none", (4, 2))])
def test_a_cancel_drops_what_it_is_said_to(cancel, left):
    made, runs, _ = node(cancel=cancel)
    for number in range(6):
        offer(made, 0, number)
    made.cancel(1, 5)
    made.cancel(1, 0)
    assert made.load() == left


def test_failing_at_once_runs_nothing():
    made, runs, _ = node()
    made.add_fault(0, "f", NodeFaultKind("fail"), 1.0)
    assert offer(made, 0, 1) == FAILED and not runs and made.load() == (0, 0)


def test_a_node_that_dies_after_the_work_and_before_the_answer_has_run_it():
    made, runs, _ = node()
    offer(made, 0, 1)
    made.add_fault(0, "f", NodeFaultKind("mute"), 1.0)
    assert finish(made, 0) == [] and runs[1] == 1 and made.counts["acked"] == 1
    made.kill(S)
    assert made.down and made.load() == (0, 0)


@pytest.mark.parametrize("keeps, runs_then", [(True, [4, 5]), (False, [])])
def test_a_silent_node_comes_back_cold_with_its_queue_or_without(keeps, runs_then):
    made, runs, _ = node()
    for number in range(6):
        offer(made, 0, number)
    made.add_fault(0, "f", NodeFaultKind("silent"), 1.0)
    assert offer(made, 0, 9) == TAKEN and made.silent
    made.remove_fault(5 * S, "f")
    runs.clear()
    made.start(5 * S, keeps_queue=keeps)
    assert made.capacity_share(5 * S) == made.kind.cold_from
    assert sorted(runs) == ([*runs_then, 9] if keeps else [])


def test_warm_up_by_time_grows_evenly_and_a_cold_node_is_slower():
    made, _, _ = node(warm_up=10 * S, cold_from=0.2)
    made.kill(0)
    made.start(0)
    assert [round(made.capacity_share(at * S), 2) for at in (0, 5, 10, 11)] == [0.2, 0.6, 1.0, 1.0]
    offer(made, 0, 1, S)
    [(_, at)] = finish(made, 0)
    assert at / S == pytest.approx((-0.2 + (0.04 + 0.16) ** 0.5) / 0.08, abs=0.01)  # 0.2 t + 0.04 t^2 = 1


def test_warm_up_by_work_needs_work():
    made, _, _ = node(warm_work=S, cold_from=0.5)
    made.kill(0)
    made.start(0)
    assert made.capacity_share(60 * S) == 0.5
    offer(made, 60 * S, 1, 2 * S)
    finish(made, 60 * S, 90 * S)
    assert made.capacity_share(90 * S) == 1.0


@pytest.mark.parametrize("per_s, falls", [(10, False), (60, True)])
def test_a_cold_node_sent_more_than_its_multiple_falls_and_stays_down(per_s, falls):
    made, _, fell = node(warm_up=10 * S, cold_from=0.2, fall_multiple=3.0, tip_after=S, room=1000)
    made.kill(0)
    made.start(0)
    for number in range(2 * per_s):
        offer(made, number * S // per_s, number)
    assert bool(fell) == made.fallen == made.down == falls and (made.worst_overload > 1) == falls
    made.start(90 * S)
    assert made.down == falls


def test_work_sent_unknowingly_makes_it_fall_without_breaking_the_rule():
    made, _, fell = node(cold_from=0.2, tip_after=S, room=1000)
    made.kill(0)
    made.start(0)
    for number in range(60):
        made.offer(0, number, 0, 100 * MS, number, new_connection=False, start_known=number % 2 == 0)
    assert fell and made.worst_overload < 1


@pytest.mark.parametrize(
    "before, at, key, new, cost",
    [
        ((), 0, 7, False, 100),
        (((0, 7),), 500, 7, False, 50),
        (((0, 7),), 1500, 7, False, 100),
        (((0, 7), (100, 8), (200, 9)), 500, 7, False, 100),
        (((0, 7), (100, 8), (200, 9)), 500, 8, False, 50),
        ((), 0, 7, True, 110),
    ],
)
def test_a_key_met_lately_costs_less_only_so_many_are_remembered_and_a_connection_costs(before, at, key, new, cost):
    made, _, _ = node(key_gain=0.5, key_for=S, keys=2, connection=10 * MS)
    for met_at, met in before:
        offer(made, met_at * MS, 100 + met, work=1, key=met)
        finish(made, met_at * MS)
    offer(made, at * MS, 1, key=key, new=new)
    assert [round((ended - at * MS) / MS) for _, ended in finish(made, at * MS)] == [cost]


@given(
    some.lists(
        some.tuples(
            some.sampled_from(("offer", "offer", "offer", "cancel", "stall", "slow", "mend", "kill", "start")),
            some.integers(0, 9),
            some.integers(0, 400),
        ),
        max_size=60,
    )
)
def test_work_is_never_over_cores_times_time_and_nothing_acked_has_not_run(steps):
    made, runs, _ = node(cores=2, slots=3, cold_from=0.5)
    now, acked, number = 0, Counter(), 0
    for what, which, wait in steps:
        until = now + wait * MS
        while (due := made.next_step_at(now)) is not None and due <= until:
            now = due
            acked.update(made.step(now))
        now = until
        if what == "offer":
            number += 1
            offer(made, now, number, (which + 1) * 30 * MS)
        elif what == "cancel":
            made.cancel(now, number - which)
        elif what == "kill":
            made.kill(now)
        elif what == "start":
            made.start(now)
        elif what == "mend":
            made.remove_fault(now, which % 2)
        else:
            made.add_fault(now, which % 2, NodeFaultKind(what), 1.0 + which)
        assert made.work_done <= made.kind.cores * now * (1 + 1e-9) + 1
    assert all(runs[one] == 1 for one in runs) and all(count == runs[one] == 1 for one, count in acked.items())
