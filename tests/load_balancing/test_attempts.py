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


def tables(*weights, retry_mode=1, share=None):
    built_tables = Tables(len(weights), 2, retry_mode)
    built_tables.begin_stream(0)
    for table, table_weights in enumerate(weights):
        built_tables.set_table(table, 0, table_weights)
    if share is not None:
        built_tables.apply(0, 0, [SetAdmission(-1, 0, share, retry_mode)])
    return built_tables


def attempts_for(
    *weights, retry_mode=1, max_failures=0, max_wait_ns=S // 2, selection=SelectionMethod.RANDOM, seed=1, share=None
):
    random = Random(seed)
    return Attempts(
        random,
        tables(*weights, retry_mode=retry_mode, share=share),
        AttemptSettings((4 * S, 2 * S), selection, max_wait_ns),
        OutlierEjection(random, max_failures, (4 * S, 4 * S)),
    )


def other_than(node):
    return 8 - node  # of nodes 1 and 7


@pytest.mark.parametrize(
    "outcome, retry_mode, retried",
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
def test_op_is_retried_at_another_node_only_if_proved_not_executed(outcome, retry_mode, retried):
    attempts = attempts_for({1: 1.0, 7: 1.0}, retry_mode=retry_mode)
    op, step = attempts.submit(0, 5, 0, 0)
    node = step.node
    step = attempts.attempt_ended(10, op, outcome)
    if retried:
        assert step == Send(other_than(node)) and attempts.counts["second_tries"] == 1
    else:
        assert step == End(REJECTED if outcome in PROOFS_NOT_EXECUTED else ABORTED, outcome) and not attempts.in_flight


@pytest.mark.parametrize("second", OUTCOMES)
def test_op_ends_after_its_second_attempt(second):
    attempts = attempts_for({1: 1.0, 7: 1.0, 3: 1.0})
    op, _ = attempts.submit(0, 5, 0, 0)
    attempts.attempt_ended(10, op, REFUSED)
    step = attempts.attempt_ended(20, op, second)
    assert type(step) is End and step.verdict == (
        ACKED if second == SUCCEEDED else REJECTED if second in PROOFS_NOT_EXECUTED else ABORTED
    )


def test_retry_that_times_out_aborts_the_op():
    """There is proof for the first attempt but not for the second, which may still be executed."""
    attempts = attempts_for({1: 1.0, 7: 1.0})
    op, step = attempts.submit(0, 5, 1, 0)
    node = step.node
    assert attempts.attempt_ended(10, op, NOT_STARTED) == Send(other_than(node))
    assert attempts.abandon(op.deadline, op) == End(ABORTED, "op timeout") and not attempts.in_flight


def test_deadline_is_the_earlier_of_op_timeout_and_caller_timeout():
    attempts = attempts_for({1: 1.0})
    assert attempts.submit(7, 1, 1, 0)[0].deadline == 7 + 2 * S
    assert attempts.submit(7, 2, 1, 0, S)[0].deadline == 7 + S
    assert attempts.submit(7, 3, 1, 0, 9 * S)[0].deadline == 7 + 2 * S


@pytest.mark.parametrize(
    "weights, now, reason", [({1: 1.0}, 10, "no other line"), ({1: 1.0, 7: 1.0}, 4 * S, "op timeout")]
)
def test_op_is_rejected_if_no_other_node_or_no_time_is_left_for_a_retry(weights, now, reason):
    attempts = attempts_for(weights)
    op, _ = attempts.submit(0, 5, 0, 0)
    assert attempts.attempt_ended(now, op, REFUSED) == End(REJECTED, reason)


def test_ops_waiting_for_a_node_are_sent_in_order_of_arrival():
    attempts = attempts_for({})
    ops = [attempts.submit(at, 5 + at, 0, 0) for at in range(3)]
    assert [step for _, step in ops] == [Wait(at + S // 2) for at in range(3)] and attempts.waiting_count() == 3
    assert attempts.wait_expired(ops[0][0]) == End(REJECTED, "no line")
    attempts._tables.apply(0, 0, [SetEndpoint(0, 4, 1.0)])
    assert [(op.number, step) for op, step in attempts.tables_changed(S // 2, [0])] == [(6, Send(4)), (7, Send(4))]
    assert (
        attempts.tables_changed(S // 2, [0]) == [] and attempts.waiting_count() == 0 and ops[1][0].waits_until is None
    )


@pytest.mark.parametrize("max_wait_ns, op_type, step", [(0, 0, End(REJECTED, "no line")), (9 * S, 1, Wait(2 * S))])
def test_wait_for_a_node_is_bounded_by_the_op_timeout_and_zero_wait_rejects(max_wait_ns, op_type, step):
    assert attempts_for({}, max_wait_ns=max_wait_ns).submit(0, 1, op_type, 0)[1] == step


def test_op_abandoned_while_waiting_for_a_node_is_rejected():
    attempts = attempts_for({})
    op, _ = attempts.submit(0, 5, 0, 0)
    assert (
        attempts.abandon(9, op, EndReason.CALLER_GONE) == End(REJECTED, "caller gone") and attempts.waiting_count() == 0
    )


def test_op_rejected_by_admission_level_ends_at_once_and_is_not_sent():
    attempts = attempts_for({1: 1.0}, share=0.25)
    steps = [attempts.submit(0, number, 0, 0)[1] for number in range(4000)]
    assert {step for step in steps} == {Send(1), End(REJECTED, "level")}
    assert 900 < steps.count(Send(1)) < 1100 and attempts.in_flight[1] == steps.count(Send(1))


def test_node_is_ejected_after_consecutive_failures_for_the_configured_time():
    attempts = attempts_for({1: 1.0, 7: 1.0}, max_failures=3)
    failed = 0
    for number in range(200):
        op, step = attempts.submit(0, number, 0, 0)
        node = step.node
        attempts.attempt_ended(0, op, FAILED if node == 1 else SUCCEEDED)
        failed += node == 1
    assert failed == 3
    assert {attempts.submit(4 * S - 1, number, 0, 0)[1].node for number in range(40)} == {7}
    assert {attempts.submit(4 * S, number, 0, 0)[1].node for number in range(40)} == {1, 7}


@pytest.mark.parametrize(
    "selection", [SelectionMethod.RANDOM, SelectionMethod.ROUND_ROBIN, SelectionMethod.TWO_CHOICES]
)
def test_selection_follows_weights(selection):
    attempts, selected = attempts_for({1: 3.0, 7: 1.0}, selection=selection), []
    for number in range(4000):
        op, step = attempts.submit(0, number, 0, 0)
        node = step.node
        selected.append(node)
        attempts.attempt_ended(0, op, SUCCEEDED)
    assert selected.count(1) == pytest.approx(3000, abs=120)


def test_two_choices_selects_the_node_with_fewer_attempts_in_flight():
    attempts = attempts_for({1: 1.0, 7: 1.0}, selection=SelectionMethod.TWO_CHOICES)
    for number in range(40):
        attempts.submit(0, number, 0, 0)
    assert attempts.in_flight == {1: 20, 7: 20}


@given(
    seed=some.integers(0, 10**6),
    outcomes=some.lists(some.sampled_from(OUTCOMES), min_size=3, max_size=3),
    nodes=some.integers(1, 4),
    retry_mode=some.sampled_from((0, 1)),
)
def test_op_is_not_resent_after_an_attempt_that_may_have_run_or_to_the_same_node(seed, outcomes, nodes, retry_mode):
    attempts = attempts_for({node: 1.0 for node in range(nodes)}, retry_mode=retry_mode, seed=seed)
    op, step = attempts.submit(0, 1, 0, 0)
    observed = []
    while type(step) is Send:
        assert (
            all(outcome in PROOFS_NOT_EXECUTED for outcome in observed)
            and len(set(op.attempted_nodes)) == len(op.attempted_nodes) <= 1 + retry_mode
        )
        observed.append(outcomes[len(observed)])
        step = attempts.attempt_ended(len(observed), op, observed[-1])
    assert step.verdict == (
        ACKED if observed[-1] == SUCCEEDED else REJECTED if observed[-1] in PROOFS_NOT_EXECUTED else ABORTED
    )
    assert not attempts.in_flight and attempts.counts["asked"] == attempts.counts[step.verdict] == 1


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


def test_queued_ops_are_sent_by_value_and_lowest_value_is_displaced():
    attempts = limited_attempts({1: 1.0})
    attempts.submit(0, 9, 1, 0)
    first, _ = attempts.submit(0, 0, 0, 0)
    waiting = [attempts.submit(0, number, 0, 0) for number in (1, 2)]
    assert [step for _, step in waiting] == [Wait(S // 2)] * 2 and attempts.take_queued_steps(0) == []
    valuable, step = attempts.submit(0, 3, 1, 0)
    assert step == Wait(S // 2) and attempts.take_queued_steps(0) == [(waiting[1][0], End(REJECTED, "turned away"))]
    assert attempts.submit(0, 4, 0, 0)[1] == End(REJECTED, "full")
    attempts.attempt_ended(9, first, SUCCEEDED)
    assert (
        attempts.take_queued_steps(9) == [(waiting[0][0], Send(1))]
        and attempts.waiting_count() == 1
        and valuable.waits_until
    )


def test_queued_op_that_expires_or_is_abandoned_is_rejected():
    attempts = limited_attempts({1: 1.0})
    attempts.submit(0, 0, 0, 0)
    (first, _), (second, _) = (attempts.submit(0, number, 0, 0) for number in (1, 2))
    assert attempts.wait_expired(first) == End(REJECTED, "no room in time")
    assert attempts.abandon(S // 2, second, EndReason.CALLER_GONE) == End(REJECTED, "caller gone")
    assert attempts.waiting_count() == 0 and attempts.take_queued_steps(S) == []


def test_node_at_its_limit_is_skipped():
    attempts = limited_attempts({1: 1.0, 7: 1.0})
    sent = [attempts.submit(0, number, 0, 0)[1] for number in range(2)]
    assert sorted(sent, key=lambda step: step.node) == [Send(1), Send(7)]


def test_retries_stay_within_the_budget_of_each_op_type():
    attempts, retries = limited_attempts({1: 1.0, 7: 1.0}, limit=100, share=0.1, max_saved=2.0), [0, 0]
    for number in range(1000):
        op, _ = attempts.submit(0, number, number % 2, 0)
        step = attempts.attempt_ended(0, op, REFUSED)
        retries[number % 2] += type(step) is Send
        if type(step) is Send:
            attempts.attempt_ended(0, op, SUCCEEDED)
        else:
            assert step == End(REJECTED, "budget")
    assert retries == [51, 51]  # two saved retries, and a tenth of 500 minus those over the limit on saved retries


def test_weight_factor_reduces_the_load_of_a_new_node():
    attempts = limited_attempts({1: 1.0, 7: 1.0}, limit=10_000, weight_factor=lambda node: 0.25 if node == 7 else 1.0)
    for number in range(4000):
        attempts.submit(0, number, 0, 0)
    assert attempts.in_flight[7] == pytest.approx(800, abs=80)
