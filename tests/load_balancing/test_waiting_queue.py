import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.waiting_queue import WaitingQueue, retry_after_s
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S


def queue_of(max_length=3, values=(1.0, 5.0), target_share=0.5):
    return WaitingQueue(max_length, (S, 400 * MS), values, target_share)


def test_the_op_of_most_value_goes_first_and_of_equals_the_first():
    queue = queue_of()
    for number, op_type in ((1, 0), (2, 1), (3, 1)):
        queue.enqueue(0, number, op_type, 9 * S)
    assert queue.release(lambda number: True) == [2, 3, 1] and len(queue) == 0


def test_an_op_that_is_not_accepted_holds_back_no_other_and_keeps_its_turn():
    queue = queue_of()
    for number in (1, 2, 3):
        queue.enqueue(0, number, 0, 9 * S)
    assert queue.release(lambda number: number == 2) == [2] and queue.release(lambda number: True) == [1, 3]


def test_of_one_too_many_the_last_of_least_value_is_displaced():
    queue = queue_of()
    for number in (1, 2, 3):
        queue.enqueue(0, number, 0, 9 * S)
    assert queue.enqueue(0, 4, 0, 9 * S) == (None, [])
    assert queue.enqueue(0, 5, 1, 9 * S) == (200 * MS, [3]) and queue.release(lambda number: True) == [5, 1, 2]


@pytest.mark.parametrize(
    "op_type, deadline, until", [(0, 9 * S, 500 * MS), (1, 9 * S, 200 * MS), (0, 100 * MS, 100 * MS)]
)
def test_no_op_waits_past_a_share_of_its_latency_target_or_its_deadline(op_type, deadline, until):
    assert queue_of().enqueue(0, 1, op_type, deadline) == (until, [])


def test_an_op_that_was_removed_is_not_offered_and_its_number_may_come_again():
    queue = queue_of()
    queue.enqueue(0, 1, 1, 9 * S)
    assert queue.remove(1) and not queue.remove(1)
    queue.enqueue(0, 1, 0, 9 * S)
    assert queue.release(lambda number: True) == [1]


def test_the_retry_time_grows_with_the_queue():
    assert [retry_after_s(wait, queued, 10) for wait, queued in ((0, 0), (2 * S, 0), (2 * S, 10))] == [1, 2, 4]


@given(
    some.lists(
        some.tuples(some.sampled_from(("enqueue", "remove", "release")), some.integers(0, 6), some.integers(0, 1)),
        max_size=60,
    )
)
def test_a_queue_is_never_over_its_length_and_loses_nobody(events):
    queue, inside = queue_of(), set()
    for event, number, op_type in events:
        if event == "enqueue" and number not in inside:
            until, displaced = queue.enqueue(0, number, op_type, 9 * S)
            inside -= set(displaced)
            inside |= {number} if until is not None else set()
        elif event == "remove":
            assert queue.remove(number) == (number in inside)
            inside.discard(number)
        elif event == "release":
            released = queue.release(lambda waiting: waiting % 2 == 0)
            assert set(released) == {waiting for waiting in inside if waiting % 2 == 0}
            inside -= set(released)
        assert len(queue) == len(inside) <= 3
