from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.emulator.node import EmulatedNode, OfferResult
from kestrelplank.emulator.node_faults import NodeFaultKind
from kestrelplank.emulator.script_sections import NodeKind
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S

TAKEN, NOT_STARTED, FAILED = OfferResult


def make_node(**fields):
    runs, falls = Counter(), []
    node = EmulatedNode(
        NodeKind(**{"cores": 2, "slots": 4, "room": 3, "key_gain": 0.0, "connection": 0, **fields}),
        Random(1),
        0,
        lambda number, op_type: runs.update([number]),
        lambda: falls.append(1),
    )
    return node, runs, falls


def offer(node, now, number, work=100 * MS, key=None, new=False):
    return node.offer(now, number, 0, work, number if key is None else key, new_connection=new)


def finish(node, now, until=60 * S):
    """Step the node until then; return the number and end (ns) of each op that has ended."""
    ended = []
    while (due := node.next_step_at(now)) is not None and due <= until:
        now = due
        ended += [(number, now) for number in node.step(now)]
    return ended


def test_ops_share_the_cores_and_are_limited_by_slots_and_queue():
    node, runs, _ = make_node()
    assert [offer(node, 0, number) for number in range(8)] == [TAKEN] * 7 + [NOT_STARTED]
    assert node.load() == (4, 3) and sorted(runs) == [0, 1, 2, 3]
    ended = finish(node, 0)
    assert [number for number, _ in ended] == list(range(7))
    assert [round(at / MS) for _, at in ended] == [200] * 4 + [350] * 3  # 4 on 2 cores, then 3 on 2
    assert runs == dict.fromkeys(range(7), 1)


@pytest.mark.parametrize("kind, strength, end_ms", [("slow", 4.0, 400), ("stall", 1.0, 300), ("silent", 1.0, 300)])
def test_a_fault_delays_ops_while_it_is_active(kind, strength, end_ms):
    node, _, _ = make_node()
    offer(node, 0, 1)
    node.add_fault(0, "f", NodeFaultKind(kind), strength)
    if kind != "slow":
        assert node.next_step_at(0) is None
        node.remove_fault(200 * MS, "f")
        assert [round(at / MS) for _, at in finish(node, 200 * MS)] == [end_ms]
    else:
        assert [round(at / MS) for _, at in finish(node, 0)] == [end_ms]


def test_two_faults_on_a_node_combine_and_are_removed_separately():
    node, _, _ = make_node()
    offer(node, 0, 1, 300 * MS)
    node.add_fault(0, "a", NodeFaultKind("slow"), 2.0)
    node.add_fault(0, "b", NodeFaultKind("slow"), 3.0)  # 6 times slower: 50 ms of work done at 300 ms
    node.add_fault(300 * MS, "c", NodeFaultKind("stall"), 1.0)
    node.remove_fault(400 * MS, "a")  # still stalled
    node.remove_fault(500 * MS, "c")  # 3 times slower
    node.remove_fault(800 * MS, "b")  # 150 ms of work done at 800 ms
    assert [round(at / MS) for _, at in finish(node, 800 * MS)] == [950]


def test_a_stalled_node_queues_ops_and_a_cancellation_removes_one():
    node, runs, _ = make_node(room=1)
    node.add_fault(0, "f", NodeFaultKind("stall"), 1.0)
    assert [offer(node, 0, number) for number in range(6)] == [TAKEN] * 6 and not runs
    node.cancel(10 * MS, 0)
    node.remove_fault(20 * MS, "f")
    assert sorted(runs) == [1, 2, 3, 4]


@pytest.mark.parametrize("cancel, expected_load", [("waiting", (4, 1)), ("all", (4, 0)), ("none", (4, 2))])
def test_a_cancellation_ends_the_ops_that_the_cancel_mode_names(cancel, expected_load):
    node, runs, _ = make_node(cancel=cancel)
    for number in range(6):
        offer(node, 0, number)
    node.cancel(1, 5)
    node.cancel(1, 0)
    assert node.load() == expected_load


def test_an_op_that_fails_at_once_does_not_run():
    node, runs, _ = make_node()
    node.add_fault(0, "f", NodeFaultKind("fail"), 1.0)
    assert offer(node, 0, 1) == FAILED and not runs and node.load() == (0, 0)


def test_an_op_whose_answer_is_lost_has_run():
    node, runs, _ = make_node()
    offer(node, 0, 1)
    node.add_fault(0, "f", NodeFaultKind("mute"), 1.0)
    assert finish(node, 0) == [] and runs[1] == 1 and node.counts["acked"] == 1
    node.kill(S)
    assert node.down and node.load() == (0, 0)


@pytest.mark.parametrize("keeps_queue, expected_runs", [(True, [4, 5]), (False, [])])
def test_a_silent_node_restarts_cold_and_keeps_its_queue_only_if_asked_to(keeps_queue, expected_runs):
    node, runs, _ = make_node()
    for number in range(6):
        offer(node, 0, number)
    node.add_fault(0, "f", NodeFaultKind("silent"), 1.0)
    assert offer(node, 0, 9) == TAKEN and node.silent
    node.remove_fault(5 * S, "f")
    runs.clear()
    node.start(5 * S, keeps_queue=keeps_queue)
    assert node.capacity_share(5 * S) == node.kind.cold_from
    assert sorted(runs) == ([*expected_runs, 9] if keeps_queue else [])


def test_capacity_grows_linearly_in_a_warm_up_by_time_and_a_cold_node_is_slower():
    node, _, _ = make_node(warm_up=10 * S, cold_from=0.2)
    node.kill(0)
    node.start(0)
    assert [round(node.capacity_share(at * S), 2) for at in (0, 5, 10, 11)] == [0.2, 0.6, 1.0, 1.0]
    offer(node, 0, 1, S)
    [(_, at)] = finish(node, 0)
    assert at / S == pytest.approx((-0.2 + (0.04 + 0.16) ** 0.5) / 0.08, abs=0.01)  # 0.2 t + 0.04 t^2 = 1


def test_a_warm_up_by_work_does_not_advance_without_work():
    node, _, _ = make_node(warm_work=S, cold_from=0.5)
    node.kill(0)
    node.start(0)
    assert node.capacity_share(60 * S) == 0.5
    offer(node, 60 * S, 1, 2 * S)
    finish(node, 60 * S, 90 * S)
    assert node.capacity_share(90 * S) == 1.0


@pytest.mark.parametrize("per_s, fails", [(10, False), (60, True)])
def test_a_cold_node_that_is_sent_more_than_its_budget_fails_and_stays_down(per_s, fails):
    node, _, falls = make_node(warm_up=10 * S, cold_from=0.2, fall_multiple=3.0, tip_after=S, room=1000)
    node.kill(0)
    node.start(0)
    for number in range(2 * per_s):
        offer(node, number * S // per_s, number)
    assert bool(falls) == node.fallen == node.down == fails and (node.worst_overload > 1) == fails
    node.start(90 * S)
    assert node.down == fails


def test_overload_by_senders_unaware_of_the_start_fails_the_node_without_breaking_the_rule():
    node, _, falls = make_node(cold_from=0.2, tip_after=S, room=1000)
    node.kill(0)
    node.start(0)
    for number in range(60):
        node.offer(0, number, 0, 100 * MS, number, new_connection=False, start_known=number % 2 == 0)
    assert falls and node.worst_overload < 1


@pytest.mark.parametrize(
    "before, at, key, new, cost_ms",
    [
        ((), 0, 7, False, 100),
        (((0, 7),), 500, 7, False, 50),
        (((0, 7),), 1500, 7, False, 100),
        (((0, 7), (100, 8), (200, 9)), 500, 7, False, 100),
        (((0, 7), (100, 8), (200, 9)), 500, 8, False, 50),
        ((), 0, 7, True, 110),
    ],
)
def test_a_cached_key_costs_less_the_cache_is_limited_and_a_new_connection_costs_more(before, at, key, new, cost_ms):
    node, _, _ = make_node(key_gain=0.5, key_for=S, keys=2, connection=10 * MS)
    for seen_at_ms, seen_key in before:
        offer(node, seen_at_ms * MS, 100 + seen_key, work=1, key=seen_key)
        finish(node, seen_at_ms * MS)
    offer(node, at * MS, 1, key=key, new=new)
    assert [round((ended - at * MS) / MS) for _, ended in finish(node, at * MS)] == [cost_ms]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("offer", "offer", "offer", "cancel", "stall", "slow", "remove", "kill", "start")),
            st.integers(0, 9),
            st.integers(0, 400),
        ),
        max_size=60,
    )
)
def test_work_done_is_at_most_cores_times_time_and_every_acked_op_has_run_once(steps):
    node, runs, _ = make_node(cores=2, slots=3, cold_from=0.5)
    now, acked, number = 0, Counter(), 0
    for action, choice, wait_ms in steps:
        until = now + wait_ms * MS
        while (due := node.next_step_at(now)) is not None and due <= until:
            now = due
            acked.update(node.step(now))
        now = until
        if action == "offer":
            number += 1
            offer(node, now, number, (choice + 1) * 30 * MS)
        elif action == "cancel":
            node.cancel(now, number - choice)
        elif action == "kill":
            node.kill(now)
        elif action == "start":
            node.start(now)
        elif action == "remove":
            node.remove_fault(now, choice % 2)
        else:
            node.add_fault(now, choice % 2, NodeFaultKind(action), 1.0 + choice)
        assert node.work_done <= node.kind.cores * now * (1 + 1e-9) + 1
    assert all(runs[op] == 1 for op in runs) and all(count == runs[op] == 1 for op, count in acked.items())
