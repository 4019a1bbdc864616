import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.waiting_queue import WaitingQueue, retry_after_s
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S


def queue_of(max_length=3, values=(1.0, 5.0), target_share=0.5):
    return WaitingQueue(max_length, (S, 400 * MS), values, target_share)


def test_ops_are_released_by_value_then_by_arrival():
    queue = queue_of()
    for number, op_type in ((1, 0), (2, 1), (3, 1)):
        queue.enqueue(0, number, op_type, 9 * S)
    assert queue.release(lambda number: True) == [2, 3, 1] and len(queue) == 0


def test_op_that_is_not_accepted_blocks_no_other_and_keeps_its_position():
    queue = queue_of()
    for number in (1, 2, 3):
        queue.enqueue(0, number, 0, 9 * S)
    assert queue.release(lambda number: number == 2) == [2] and queue.release(lambda number: True) == [1, 3]


def test_full_queue_displaces_the_latest_op_of_lowest_value():
    queue = queue_of()
    for number in (1, 2, 3):
        queue.enqueue(0, number, 0, 9 * S)
    assert queue.enqueue(0, 4, 0, 9 * S) == (None, [])
    assert queue.enqueue(0, 5, 1, 9 * S) == (200 * MS, [3]) and queue.release(lambda number: True) == [5, 1, 2]


@pytest.mark.parametrize(
    "op_type, deadline, until", [(0, 9 * S, 500 * MS), (1, 9 * S, 200 * MS), (0, 100 * MS, 100 * MS)]
)
def test_wait_is_bounded_by_the_share_of_the_latency_target_and_the_deadline(op_type, deadline, until):
    assert queue_of().enqueue(0, 1, op_type, deadline) == (until, [])


def test_removed_op_is_not_released_and_its_number_can_be_reused():
    queue = queue_of()
    queue.enqueue(0, 1, 1, 9 * S)
    assert queue.remove(1) and not queue.remove(1)
    queue.enqueue(0, 1, 0, 9 * S)
    assert queue.release(lambda number: True) == [1]


def test_retry_after_grows_with_the_queue():
    assert [retry_after_s(wait, queued, 10) for wait, queued in ((0, 0), (2 * S, 0), (2 * S, 10))] == [1, 2, 4]


@given(
    some.lists(
        some.tuples(some.sampled_from(("enqueue", "remove", "release")), some.integers(0, 6), some.integers(0, 1)),
        max_size=60,
    )
)
def test_queue_never_exceeds_its_length_and_loses_no_op(events):
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
