from random import Random

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits, ConcurrencyLimitSettings, GradientLimit
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S


def latencies_at_a_node(limit, seconds, capacity, work, offered, seed=1):
    """Return the latencies (ns) at a node of so many cores, each op `work` ns: what is over the capacity waits there."""
    random, free, now, times, out = Random(seed), [0] * capacity, 0, [], []
    while now < seconds * S:
        now += round(random.expovariate(offered) * S)
        while out and out[0][0] <= now:
            _, time = out.pop(0)
            limit.attempt_ended(time)
        if limit.has_capacity():
            limit.attempt_started()
            begin = max(now, min(free))
            free[free.index(min(free))] = begin + work
            times.append(begin + work - now)
            out.append((begin + work, begin + work - now))
            out.sort()
    return times


def test_under_overload_the_limit_keeps_latencies_near_the_best_and_most_of_the_work():
    bound, free = (
        GradientLimit(ConcurrencyLimitSettings(initial=20, tolerance=2.0)),
        GradientLimit(ConcurrencyLimitSettings(initial=10_000, minimum=10_000, maximum=10_000)),
    )
    limited, unlimited = (sorted(latencies_at_a_node(limit, 20, 4, 50 * MS, 120)) for limit in (bound, free))
    assert limited[len(limited) // 2] < 250 * MS < S < unlimited[len(unlimited) // 2]
    assert len(limited) > 0.9 * 20 * 4 / 0.05


def test_with_capacity_to_spare_the_limit_is_never_reached():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20))
    times = latencies_at_a_node(limit, 20, 40, 50 * MS, 200)
    assert len(times) > 3700 and limit.limit >= 20


def test_a_limit_that_is_not_reached_does_not_grow():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20, window=1))
    for _ in range(400):
        limit.attempt_started()
        limit.attempt_ended(MS)
    assert limit.limit == 20


def test_failures_shrink_the_limit_to_its_minimum_and_good_answers_bring_it_back():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20, minimum=2, window=1))
    for _ in range(100):
        limit.attempt_started()
        limit.attempt_ended(None)
    assert limit.limit == 2
    for _ in range(300):
        for _ in range(int(limit.limit)):
            limit.attempt_started()
        for _ in range(limit.in_flight):
            limit.attempt_ended(MS)
    assert limit.limit > 20


def test_a_node_that_has_become_slower_for_good_is_judged_by_that_after_two_generations():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20, window=1))
    for time in [MS] * 50 + [9 * MS] * 3000:
        limit.attempt_started()
        limit.attempt_ended(time)
    assert limit.best_latency_ns() == 9 * MS


@given(
    some.lists(some.one_of(some.none(), some.integers(1, 10**10)), max_size=80),
    some.integers(1, 9),
    some.integers(10, 50),
)
def test_a_limit_stays_within_its_settings_whatever_is_met(times, least, most):
    limit = GradientLimit(ConcurrencyLimitSettings(initial=10, minimum=least, maximum=most, window=3))
    for time in times:
        limit.attempt_started()
        limit.attempt_ended(time)
        assert least <= limit.limit <= most and limit.in_flight == 0


def test_limits_are_by_node_and_op_type_and_forgotten_with_the_node():
    limits = ConcurrencyLimits(ConcurrencyLimitSettings(initial=1, minimum=1))
    limits.attempt_started(7, 0)
    assert not limits.has_capacity(7, 0) and limits.has_capacity(7, 1) and limits.has_capacity(8, 0)
    limits.attempt_ended(7, 0, MS)
    limits.forget(7)
    assert [node for node, *_ in limits.snapshot()] == [8]
