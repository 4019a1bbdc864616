from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.attempts import (
    ABORTED,
    ACKED,
    CUT,
    FAILED,
    GOOD,
    NOT_STARTED,
    PROOFS,
    REFUSED,
    REJECTED,
    RESET,
    SILENT,
    UNSENT,
    Attempts,
    Avoidance,
    Budget,
    End,
    Send,
    Wait,
)
from kestrelplank.load_balancing.limits import Limits, Queue, Terms
from kestrelplank.state.tables import Tables

S = 1_000_000_000
OUTCOMES = (GOOD, FAILED, NOT_STARTED, REFUSED, UNSENT, RESET, CUT, SILENT)


def tables(*lines, again=1, share=None):
    made = Tables(len(lines), 2, again)
    made.joined(0)
    for table, held in enumerate(lines):
        made.read(table, 0, held)
    if share is not None:
        made.apply(0, 0, [("level", -1, 0, share, again)])
    return made


def relay(*lines, again=1, strikes=0, hold=S // 2, pick="random", seed=1, share=None, proofs=PROOFS):
    random = Random(seed)
    return Attempts(
        random,
        tables(*lines, again=again, share=share),
        (4 * S, 2 * S),
        pick,
        hold,
        Avoidance(random, strikes, (4 * S, 4 * S)),
        proofs,
    )


def other(node):
    return 8 - node  # of nodes 1 and 7


@pytest.mark.parametrize(
    "outcome, again, second",
    [
        (NOT_STARTED, 1, True),
        (REFUSED, 1, True),
        (UNSENT, 1, True),
        (NOT_STARTED, 0, False),
        (FAILED, 1, False),
        (RESET, 1, False),
        (CUT, 1, False),
        (SILENT, 1, False),
    ],
)
def test_only_proof_that_the_first_try_never_ran_brings_a_second_elsewhere(outcome, again, second):
    made = relay({1: 1.0, 7: 1.0}, again=again)
    op, step = made.ask(0, 5, 0, 0)
    node = step.node
    step = made.ended(10, op, outcome)
    if second:
        assert step == Send(other(node)) and made.counts["second_tries"] == 1
    else:
        assert step == End(REJECTED if outcome in PROOFS else ABORTED, outcome) and not made.own


@pytest.mark.parametrize("second", OUTCOMES)
def test_there_is_no_third_try(second):
    made = relay({1: 1.0, 7: 1.0, 3: 1.0})
    op, _ = made.ask(0, 5, 0, 0)
    made.ended(10, op, REFUSED)
    step = made.ended(20, op, second)
    assert type(step) is End and step.verdict == (
        ACKED if second == GOOD else REJECTED if second in PROOFS else ABORTED
    )


def test_a_stall_that_begins_while_the_second_try_is_in_flight_gets_no_third_as_it_may_run():
    """The first try has proof, the second has none: what is rejected for the first is aborted for the second."""
    made = relay({1: 1.0, 7: 1.0})
    op, step = made.ask(0, 5, 1, 0)
    node = step.node
    assert made.ended(10, op, NOT_STARTED) == Send(other(node))
    assert made.give_up(op.deadline, op) == End(ABORTED, "op timeout") and not made.own


def test_an_op_ends_at_its_timeout_or_when_its_caller_stops_waiting_whichever_is_first():
    made = relay({1: 1.0})
    assert made.ask(7, 1, 1, 0)[0].deadline == 7 + 2 * S
    assert made.ask(7, 2, 1, 0, S)[0].deadline == 7 + S
    assert made.ask(7, 3, 1, 0, 9 * S)[0].deadline == 7 + 2 * S


@pytest.mark.parametrize("lines, now, why", [({1: 1.0}, 10, "no other line"), ({1: 1.0, 7: 1.0}, 4 * S, "op timeout")])
def test_a_second_try_needs_another_line_and_time(lines, now, why):
    made = relay(lines)
    op, _ = made.ask(0, 5, 0, 0)
    assert made.ended(now, op, REFUSED) == End(REJECTED, why)


def test_an_op_without_a_line_waits_for_one_and_goes_first_come_first_served():
    made = relay({})
    ops = [made.ask(at, 5 + at, 0, 0) for at in range(3)]
    assert [step for _, step in ops] == [Wait(at + S // 2) for at in range(3)] and made.waiting() == 3
    assert made.expire(S // 2, ops[0][0]) == End(REJECTED, "no line")
    made._tables.apply(0, 0, [("line", 0, 4, 1.0)])
    assert [(op.number, step) for op, step in made.changed(S // 2, [0])] == [(6, Send(4)), (7, Send(4))]
    assert made.changed(S // 2, [0]) == [] and made.waiting() == 0 and ops[1][0].until is None


@pytest.mark.parametrize("hold, op_type, step", [(0, 0, End(REJECTED, "no line")), (9 * S, 1, Wait(2 * S))])
def test_nobody_waits_for_a_line_past_the_op_timeout_or_where_none_may_wait(hold, op_type, step):
    assert relay({}, hold=hold).ask(0, 1, op_type, 0)[1] == step


def test_whoever_gives_up_while_it_waits_has_run_nowhere():
    made = relay({})
    op, _ = made.ask(0, 5, 0, 0)
    assert made.give_up(9, op, "caller gone") == End(REJECTED, "caller gone") and made.waiting() == 0


def test_what_a_level_turns_away_is_told_at_once_and_sent_nowhere():
    made = relay({1: 1.0}, share=0.25)
    steps = [made.ask(0, number, 0, 0)[1] for number in range(4000)]
    assert {step for step in steps} == {Send(1), End(REJECTED, "level")}
    assert 900 < steps.count(Send(1)) < 1100 and made.own[1] == steps.count(Send(1))


def test_a_node_is_avoided_after_so_many_failures_in_a_row_and_for_so_long():
    made = relay({1: 1.0, 7: 1.0}, strikes=3)
    failed = 0
    for number in range(200):
        op, step = made.ask(0, number, 0, 0)
        node = step.node
        made.ended(0, op, FAILED if node == 1 else GOOD)
        failed += node == 1
    assert failed == 3
    assert {made.ask(4 * S - 1, number, 0, 0)[1].node for number in range(40)} == {7}
    assert {made.ask(4 * S, number, 0, 0)[1].node for number in range(40)} == {1, 7}


def test_a_good_answer_ends_a_row_of_failures():
    avoidance = Avoidance(Random(1), 2, (S, S))
    for good in (False, True, False, True, False):
        avoidance.ended(0, 1, good)
    assert avoidance.sound(0, ((1, 1.0), (2, 1.0))) == ((1, 1.0), (2, 1.0))


def test_where_all_lines_are_avoided_all_are_used():
    avoidance = Avoidance(Random(1), 1, (S, S))
    avoidance.ended(0, 1, False)
    assert avoidance.sound(0, ((1, 1.0), (2, 1.0))) == [(2, 1.0)]
    avoidance.ended(0, 2, False)
    assert avoidance.sound(0, ((1, 1.0), (2, 1.0))) == ((1, 1.0), (2, 1.0))


@pytest.mark.parametrize("pick", ["random", "rotate", "two"])
def test_every_way_of_picking_follows_weights_where_all_else_is_equal(pick):
    made, found = relay({1: 3.0, 7: 1.0}, pick=pick), []
    for number in range(4000):
        op, step = made.ask(0, number, 0, 0)
        node = step.node
        found.append(node)
        made.ended(0, op, GOOD)
    assert found.count(1) == pytest.approx(3000, abs=120)


def test_of_two_lines_the_one_with_fewer_own_ops_out_is_picked():
    made = relay({1: 1.0, 7: 1.0}, pick="two")
    for number in range(40):
        made.ask(0, number, 0, 0)
    assert made.own == {1: 20, 7: 20}


@given(
    seed=some.integers(0, 10**6),
    outcomes=some.lists(some.sampled_from(OUTCOMES), min_size=3, max_size=3),
    nodes=some.integers(1, 4),
    again=some.sampled_from((0, 1)),
)
def test_no_op_is_sent_after_a_try_that_may_have_run_nor_twice_to_one_node(seed, outcomes, nodes, again):
    made = relay({node: 1.0 for node in range(nodes)}, again=again, seed=seed)
    op, step = made.ask(0, 1, 0, 0)
    met = []
    while type(step) is Send:
        assert all(outcome in PROOFS for outcome in met) and len(set(op.tried)) == len(op.tried) <= 1 + again
        met.append(outcomes[len(met)])
        step = made.ended(len(met), op, met[-1])
    assert step.verdict == (ACKED if met[-1] == GOOD else REJECTED if met[-1] in PROOFS else ABORTED)
    assert not made.own and made.counts["asked"] == made.counts[step.verdict] == 1


def limited(*lines, first=1, queue=2, share=0.5, most=1.0, weigh=None):
    random = Random(1)
    terms = Terms(first=first, least=first, most=first)
    return Attempts(
        random,
        tables(*lines),
        (4 * S, 2 * S),
        "random",
        0,
        Avoidance(random, 0, (S, S)),
        budget=Budget(2, share, most),
        limits=Limits(terms),
        queue=Queue(queue, (S, S), (1.0, 5.0), 0.5),
        weigh=weigh,
    )


def test_an_op_waits_for_room_the_dearest_first_and_the_cheapest_is_turned_away():
    made = limited({1: 1.0})
    made.ask(0, 9, 1, 0)
    first, _ = made.ask(0, 0, 0, 0)
    waiting = [made.ask(0, number, 0, 0) for number in (1, 2)]
    assert [step for _, step in waiting] == [Wait(S // 2)] * 2 and made.settled(0) == []
    dear, step = made.ask(0, 3, 1, 0)
    assert step == Wait(S // 2) and made.settled(0) == [(waiting[1][0], End(REJECTED, "turned away"))]
    assert made.ask(0, 4, 0, 0)[1] == End(REJECTED, "full")
    made.ended(9, first, GOOD)
    assert made.settled(9) == [(waiting[0][0], Send(1))] and made.waiting() == 1 and dear.until


def test_who_waits_for_room_and_gives_up_or_is_out_of_time_has_run_nowhere():
    made = limited({1: 1.0})
    made.ask(0, 0, 0, 0)
    (one, _), (two, _) = (made.ask(0, number, 0, 0) for number in (1, 2))
    assert made.expire(S // 2, one) == End(REJECTED, "no room in time")
    assert made.give_up(S // 2, two, "caller gone") == End(REJECTED, "caller gone")
    assert made.waiting() == 0 and made.settled(S) == []


def test_a_full_node_is_passed_over_for_one_with_room():
    made = limited({1: 1.0, 7: 1.0})
    sent = [made.ask(0, number, 0, 0)[1] for number in range(2)]
    assert sorted(sent, key=lambda step: step.node) == [Send(1), Send(7)]


def test_second_tries_stay_within_their_budget_by_op_type():
    made, second = limited({1: 1.0, 7: 1.0}, first=100, share=0.1, most=2.0), [0, 0]
    for number in range(1000):
        op, _ = made.ask(0, number, number % 2, 0)
        step = made.ended(0, op, REFUSED)
        second[number % 2] += type(step) is Send
        if type(step) is Send:
            made.ended(0, op, GOOD)
        else:
            assert step == End(REJECTED, "budget")
    assert second == [51, 51]  # two saved up, and a tenth of 500, less what was full


def test_a_node_that_is_new_here_is_given_its_share_of_its_weight():
    made = limited({1: 1.0, 7: 1.0}, first=10_000, weigh=lambda node: 0.25 if node == 7 else 1.0)
    for number in range(4000):
        made.ask(0, number, 0, 0)
    assert made.own[7] == pytest.approx(800, abs=80)
