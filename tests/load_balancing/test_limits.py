from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.limits import Gradient, Limits, Queue, Terms, comes_back

MS, S = 1_000_000, 1_000_000_000


def play(made, seconds, capacity, work, offered, seed=1):
    """A node of so many cores, each op `work` ns: what is over the capacity waits there. Returns the times seen."""
    random, free, now, times, out = Random(seed), [0] * capacity, 0, [], []
    while now < seconds * S:
        now += round(random.expovariate(offered) * S)
        while out and out[0][0] <= now:
            _, time = out.pop(0)
            made.ended(time)
        if made.room():
            made.began()
            begin = max(now, min(free))
            free[free.index(min(free))] = begin + work
            times.append(begin + work - now)
            out.append((begin + work, begin + work - now))
            out.sort()
    return times


def test_under_overload_the_limit_keeps_times_near_the_best_and_most_of_the_work():
    bound, free = Gradient(Terms(first=20, tolerance=2.0)), Gradient(Terms(first=10_000, least=10_000, most=10_000))
    limited, unlimited = (sorted(play(made, 20, 4, 50 * MS, 120)) for made in (bound, free))
    assert limited[len(limited) // 2] < 250 * MS < S < unlimited[len(unlimited) // 2]
    assert len(limited) > 0.9 * 20 * 4 / 0.05


def test_with_room_to_spare_the_limit_is_never_in_the_way():
    made = Gradient(Terms(first=20))
    times = play(made, 20, 40, 50 * MS, 200)
    assert len(times) > 3700 and made.limit >= 20


def test_a_limit_that_is_not_tried_does_not_grow():
    made = Gradient(Terms(first=20, window=1))
    for _ in range(400):
        made.began()
        made.ended(MS)
    assert made.limit == 20


def test_failures_shrink_the_limit_to_its_least_and_good_answers_bring_it_back():
    made = Gradient(Terms(first=20, least=2, window=1))
    for _ in range(100):
        made.began()
        made.ended(None)
    assert made.limit == 2
    for _ in range(300):
        for _ in range(int(made.limit)):
            made.began()
        for _ in range(made.out):
            made.ended(MS)
    assert made.limit > 20


def test_a_node_that_has_become_slower_for_good_is_judged_by_that_in_time():
    made = Gradient(Terms(first=20, window=1))
    for time in [MS] * 50 + [9 * MS] * 3000:
        made.began()
        made.ended(time)
    assert made.best() == 9 * MS


@given(
    some.lists(some.one_of(some.none(), some.integers(1, 10**10)), max_size=80),
    some.integers(1, 9),
    some.integers(10, 50),
)
def test_a_limit_stays_within_its_terms_whatever_is_met(times, least, most):
    made = Gradient(Terms(first=10, least=least, most=most, window=3))
    for time in times:
        made.began()
        made.ended(time)
        assert least <= made.limit <= most and made.out == 0


def test_limits_are_by_node_and_op_type_and_forgotten_with_the_node():
    limits = Limits(Terms(first=1, least=1))
    limits.began(7, 0)
    assert not limits.room(7, 0) and limits.room(7, 1) and limits.room(8, 0)
    limits.ended(7, 0, MS)
    limits.forget(7)
    assert [node for node, *_ in limits.shown()] == [8]


def queue(most=3, values=(1.0, 5.0), part=0.5):
    return Queue(most, (S, 400 * MS), values, part)


def test_the_dearest_goes_first_and_of_equals_the_first():
    made = queue()
    for number, op_type in ((1, 0), (2, 1), (3, 1)):
        made.put(0, number, op_type, 9 * S)
    assert made.next(lambda number: True) == [2, 3, 1] and len(made) == 0


def test_one_that_does_not_fit_holds_back_nobody_and_keeps_its_turn():
    made = queue()
    for number in (1, 2, 3):
        made.put(0, number, 0, 9 * S)
    assert made.next(lambda number: number == 2) == [2] and made.next(lambda number: True) == [1, 3]


def test_of_one_too_many_the_cheapest_and_youngest_is_turned_away():
    made = queue()
    for number in (1, 2, 3):
        made.put(0, number, 0, 9 * S)
    assert made.put(0, 4, 0, 9 * S) == (None, [])
    assert made.put(0, 5, 1, 9 * S) == (200 * MS, [3]) and made.next(lambda number: True) == [5, 1, 2]


@pytest.mark.parametrize(
    "op_type, deadline, until", [(0, 9 * S, 500 * MS), (1, 9 * S, 200 * MS), (0, 100 * MS, 100 * MS)]
)
def test_nobody_waits_past_a_share_of_its_target_latency_or_its_deadline(op_type, deadline, until):
    assert queue().put(0, 1, op_type, deadline) == (until, [])


def test_who_has_left_is_not_called_and_a_number_may_come_again():
    made = queue()
    made.put(0, 1, 1, 9 * S)
    assert made.drop(1) and not made.drop(1)
    made.put(0, 1, 0, 9 * S)
    assert made.next(lambda number: True) == [1]


def test_when_to_come_back_grows_with_the_queue():
    assert [comes_back(wait, queued, 10) for wait, queued in ((0, 0), (2 * S, 0), (2 * S, 10))] == [1, 2, 4]


@given(
    some.lists(
        some.tuples(some.sampled_from(("put", "drop", "next")), some.integers(0, 6), some.integers(0, 1)), max_size=60
    )
)
def test_a_queue_is_never_over_its_length_and_loses_nobody(steps):
    made, inside = queue(), set()
    for what, number, op_type in steps:
        if what == "put" and number not in inside:
            until, turned = made.put(0, number, op_type, 9 * S)
            inside -= set(turned)
            inside |= {number} if until is not None else set()
        elif what == "drop":
            assert made.drop(number) == (number in inside)
            inside.discard(number)
        elif what == "next":
            taken = made.next(lambda one: one % 2 == 0)
            assert set(taken) == {one for one in inside if one % 2 == 0}
            inside -= set(taken)
        assert len(made) == len(inside) <= 3
