from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.attempts import Attempts, AttemptSettings, OverloadControl
from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits, ConcurrencyLimitSettings
from kestrelplank.load_balancing.operations import (
    PROOFS_NOT_EXECUTED,
    AttemptOutcome,
    End,
    EndReason,
    Send,
    Verdict,
    Wait,
)
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.retry_budget import RetryBudget
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.load_balancing.waiting_queue import WaitingQueue
from kestrelplank.state.table_orders import SetAdmission, SetEndpoint
from kestrelplank.state.tables import Tables
from kestrelplank.time_units import SECOND as S

SUCCEEDED, FAILED, NOT_STARTED, REFUSED, UNSENT, RESET, TRUNCATED, TIMED_OUT = OUTCOMES = tuple(AttemptOutcome)
ACKED, REJECTED, ABORTED = Verdict


def tables(*weights, again=1, share=None):
    made = Tables(len(weights), 2, again)
    made.begin_stream(0)
    for table, held in enumerate(weights):
        made.set_table(table, 0, held)
    if share is not None:
        made.apply(0, 0, [SetAdmission(-1, 0, share, again)])
    return made


def attempts_for(
    *weights, again=1, max_failures=0, max_wait_ns=S // 2, selection=SelectionMethod.RANDOM, seed=1, share=None
):
    random = Random(seed)
    return Attempts(
        random,
        tables(*weights, again=again, share=share),
        AttemptSettings((4 * S, 2 * S), selection, max_wait_ns),
        OutlierEjection(random, max_failures, (4 * S, 4 * S)),
    )


def other_than(node):
    return 8 - node  # of nodes 1 and 7


@pytest.mark.parametrize(
    "outcome, again, retried",
    [
        (NOT_STARTED, 1, True),
        (REFUSED, 1, True),
        (UNSENT, 1, True),
        (NOT_STARTED, 0, False),
        (FAILED, 1, False),
        (RESET, 1, False),
        (TRUNCATED, 1, False),
        (TIMED_OUT, 1, False),
    ],
)
def test_only_proof_that_the_first_attempt_never_ran_brings_a_retry_elsewhere(outcome, again, retried):
    made = attempts_for({1: 1.0, 7: 1.0}, again=again)
    op, step = made.submit(0, 5, 0, 0)
    node = step.node
    step = made.attempt_ended(10, op, outcome)
    if retried:
        assert step == Send(other_than(node)) and made.counts["second_tries"] == 1
    else:
        assert step == End(REJECTED if outcome in PROOFS_NOT_EXECUTED else ABORTED, outcome) and not made.in_flight


@pytest.mark.parametrize("second", OUTCOMES)
def test_there_is_no_third_attempt(second):
    made = attempts_for({1: 1.0, 7: 1.0, 3: 1.0})
    op, _ = made.submit(0, 5, 0, 0)
    made.attempt_ended(10, op, REFUSED)
    step = made.attempt_ended(20, op, second)
    assert type(step) is End and step.verdict == (
        ACKED if second == SUCCEEDED else REJECTED if second in PROOFS_NOT_EXECUTED else ABORTED
    )


def test_a_stall_that_begins_while_the_retry_is_in_flight_gets_no_third_attempt_as_it_may_run():
    """The first attempt has proof, the second has none: what is rejected for the first is aborted for the second."""
    made = attempts_for({1: 1.0, 7: 1.0})
    op, step = made.submit(0, 5, 1, 0)
    node = step.node
    assert made.attempt_ended(10, op, NOT_STARTED) == Send(other_than(node))
    assert made.abandon(op.deadline, op) == End(ABORTED, "op timeout") and not made.in_flight


def test_an_op_ends_at_its_timeout_or_when_its_caller_stops_waiting_whichever_is_first():
    made = attempts_for({1: 1.0})
    assert made.submit(7, 1, 1, 0)[0].deadline == 7 + 2 * S
    assert made.submit(7, 2, 1, 0, S)[0].deadline == 7 + S
    assert made.submit(7, 3, 1, 0, 9 * S)[0].deadline == 7 + 2 * S


@pytest.mark.parametrize(
    "weights, now, reason", [({1: 1.0}, 10, "no other line"), ({1: 1.0, 7: 1.0}, 4 * S, "op timeout")]
)
def test_a_retry_needs_another_node_and_time(weights, now, reason):
    made = attempts_for(weights)
    op, _ = made.submit(0, 5, 0, 0)
    assert made.attempt_ended(now, op, REFUSED) == End(REJECTED, reason)


def test_an_op_without_a_node_waits_for_one_and_goes_first_come_first_served():
    made = attempts_for({})
    ops = [made.submit(at, 5 + at, 0, 0) for at in range(3)]
    assert [step for _, step in ops] == [Wait(at + S // 2) for at in range(3)] and made.waiting_count() == 3
    assert made.wait_expired(ops[0][0]) == End(REJECTED, "no line")
    made._tables.apply(0, 0, [SetEndpoint(0, 4, 1.0)])
    assert [(op.number, step) for op, step in made.tables_changed(S // 2, [0])] == [(6, Send(4)), (7, Send(4))]
    assert made.tables_changed(S // 2, [0]) == [] and made.waiting_count() == 0 and ops[1][0].waits_until is None


@pytest.mark.parametrize("max_wait_ns, op_type, step", [(0, 0, End(REJECTED, "no line")), (9 * S, 1, Wait(2 * S))])
def test_no_op_waits_for_a_node_past_its_timeout_or_where_none_may_wait(max_wait_ns, op_type, step):
    assert attempts_for({}, max_wait_ns=max_wait_ns).submit(0, 1, op_type, 0)[1] == step


def test_an_op_that_is_abandoned_while_it_waits_has_run_nowhere():
    made = attempts_for({})
    op, _ = made.submit(0, 5, 0, 0)
    assert made.abandon(9, op, EndReason.CALLER_GONE) == End(REJECTED, "caller gone") and made.waiting_count() == 0


def test_what_a_level_rejects_is_answered_at_once_and_sent_nowhere():
    made = attempts_for({1: 1.0}, share=0.25)
    steps = [made.submit(0, number, 0, 0)[1] for number in range(4000)]
    assert {step for step in steps} == {Send(1), End(REJECTED, "level")}
    assert 900 < steps.count(Send(1)) < 1100 and made.in_flight[1] == steps.count(Send(1))


def test_a_node_is_ejected_after_so_many_failures_in_a_row_and_for_so_long():
    made = attempts_for({1: 1.0, 7: 1.0}, max_failures=3)
    failed = 0
    for number in range(200):
        op, step = made.submit(0, number, 0, 0)
        node = step.node
        made.attempt_ended(0, op, FAILED if node == 1 else SUCCEEDED)
        failed += node == 1
    assert failed == 3
    assert {made.submit(4 * S - 1, number, 0, 0)[1].node for number in range(40)} == {7}
    assert {made.submit(4 * S, number, 0, 0)[1].node for number in range(40)} == {1, 7}


@pytest.mark.parametrize(
    "selection", [SelectionMethod.RANDOM, SelectionMethod.ROUND_ROBIN, SelectionMethod.TWO_CHOICES]
)
def test_every_selection_follows_weights_where_all_else_is_equal(selection):
    made, selected = attempts_for({1: 3.0, 7: 1.0}, selection=selection), []
    for number in range(4000):
        op, step = made.submit(0, number, 0, 0)
        node = step.node
        selected.append(node)
        made.attempt_ended(0, op, SUCCEEDED)
    assert selected.count(1) == pytest.approx(3000, abs=120)


def test_of_two_nodes_the_one_with_fewer_own_attempts_in_flight_is_selected():
    made = attempts_for({1: 1.0, 7: 1.0}, selection=SelectionMethod.TWO_CHOICES)
    for number in range(40):
        made.submit(0, number, 0, 0)
    assert made.in_flight == {1: 20, 7: 20}


@given(
    seed=some.integers(0, 10**6),
    outcomes=some.lists(some.sampled_from(OUTCOMES), min_size=3, max_size=3),
    nodes=some.integers(1, 4),
    again=some.sampled_from((0, 1)),
)
def test_no_op_is_sent_after_an_attempt_that_may_have_run_nor_twice_to_one_node(seed, outcomes, nodes, again):
    made = attempts_for({node: 1.0 for node in range(nodes)}, again=again, seed=seed)
    op, step = made.submit(0, 1, 0, 0)
    met = []
    while type(step) is Send:
        assert (
            all(outcome in PROOFS_NOT_EXECUTED for outcome in met)
            and len(set(op.attempted_nodes)) == len(op.attempted_nodes) <= 1 + again
        )
        met.append(outcomes[len(met)])
        step = made.attempt_ended(len(met), op, met[-1])
    assert step.verdict == (ACKED if met[-1] == SUCCEEDED else REJECTED if met[-1] in PROOFS_NOT_EXECUTED else ABORTED)
    assert not made.in_flight and made.counts["asked"] == made.counts[step.verdict] == 1


def limited_attempts(*weights, limit=1, queue_length=2, share=0.5, max_saved=1.0, weight_factor=None):
    random = Random(1)
    overload = OverloadControl(
        RetryBudget(2, share, max_saved),
        ConcurrencyLimits(ConcurrencyLimitSettings(initial=limit, minimum=limit, maximum=limit)),
        WaitingQueue(queue_length, (S, S), (1.0, 5.0), 0.5),
    )
    settings = AttemptSettings((4 * S, 2 * S), SelectionMethod.RANDOM, 0)
    ejection = OutlierEjection(random, 0, (S, S))
    return Attempts(random, tables(*weights), settings, ejection, overload, weight_factor)


def test_an_op_waits_for_capacity_the_one_of_most_value_first_and_that_of_least_is_displaced():
    made = limited_attempts({1: 1.0})
    made.submit(0, 9, 1, 0)
    first, _ = made.submit(0, 0, 0, 0)
    waiting = [made.submit(0, number, 0, 0) for number in (1, 2)]
    assert [step for _, step in waiting] == [Wait(S // 2)] * 2 and made.take_queued_steps(0) == []
    dear, step = made.submit(0, 3, 1, 0)
    assert step == Wait(S // 2) and made.take_queued_steps(0) == [(waiting[1][0], End(REJECTED, "turned away"))]
    assert made.submit(0, 4, 0, 0)[1] == End(REJECTED, "full")
    made.attempt_ended(9, first, SUCCEEDED)
    assert made.take_queued_steps(9) == [(waiting[0][0], Send(1))] and made.waiting_count() == 1 and dear.waits_until


def test_an_op_that_waits_for_capacity_and_is_abandoned_or_out_of_time_has_run_nowhere():
    made = limited_attempts({1: 1.0})
    made.submit(0, 0, 0, 0)
    (first, _), (second, _) = (made.submit(0, number, 0, 0) for number in (1, 2))
    assert made.wait_expired(first) == End(REJECTED, "no room in time")
    assert made.abandon(S // 2, second, EndReason.CALLER_GONE) == End(REJECTED, "caller gone")
    assert made.waiting_count() == 0 and made.take_queued_steps(S) == []


def test_a_full_node_is_passed_over_for_one_with_capacity():
    made = limited_attempts({1: 1.0, 7: 1.0})
    sent = [made.submit(0, number, 0, 0)[1] for number in range(2)]
    assert sorted(sent, key=lambda step: step.node) == [Send(1), Send(7)]


def test_retries_stay_within_their_budget_by_op_type():
    made, retries = limited_attempts({1: 1.0, 7: 1.0}, limit=100, share=0.1, max_saved=2.0), [0, 0]
    for number in range(1000):
        op, _ = made.submit(0, number, number % 2, 0)
        step = made.attempt_ended(0, op, REFUSED)
        retries[number % 2] += type(step) is Send
        if type(step) is Send:
            made.attempt_ended(0, op, SUCCEEDED)
        else:
            assert step == End(REJECTED, "budget")
    assert retries == [51, 51]  # two saved up, and a tenth of 500, less what was full


def test_a_node_that_is_new_here_has_its_share_of_its_weight():
    made = limited_attempts({1: 1.0, 7: 1.0}, limit=10_000, weight_factor=lambda node: 0.25 if node == 7 else 1.0)
    for number in range(4000):
        made.submit(0, number, 0, 0)
    assert made.in_flight[7] == pytest.approx(800, abs=80)
