from random import Random

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits, ConcurrencyLimitSettings, GradientLimit
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S


def latencies_at_a_node(limit, seconds, capacity, work, offered, seed=1):
    """Return the latencies (ns) of ops of `work` ns at a node of `capacity` cores, where excess ops queue."""
    random, core_free_at, now, latencies, in_flight = Random(seed), [0] * capacity, 0, [], []
    while now < seconds * S:
        now += round(random.expovariate(offered) * S)
        while in_flight and in_flight[0][0] <= now:
            _, latency = in_flight.pop(0)
            limit.attempt_ended(latency)
        if limit.has_capacity():
            limit.attempt_started()
            begin = max(now, min(core_free_at))
            core_free_at[core_free_at.index(min(core_free_at))] = begin + work
            latencies.append(begin + work - now)
            in_flight.append((begin + work, begin + work - now))
            in_flight.sort()
    return latencies


def test_limit_keeps_latency_low_and_throughput_high_under_overload():
    adaptive, fixed = (
        GradientLimit(ConcurrencyLimitSettings(initial=20, tolerance=2.0)),
        GradientLimit(ConcurrencyLimitSettings(initial=10_000, minimum=10_000, maximum=10_000)),
    )
    limited, unlimited = (sorted(latencies_at_a_node(limit, 20, 4, 50 * MS, 120)) for limit in (adaptive, fixed))
    assert limited[len(limited) // 2] < 250 * MS < S < unlimited[len(unlimited) // 2]
    assert len(limited) > 0.9 * 20 * 4 / 0.05


def test_limit_does_not_restrict_a_node_with_spare_capacity():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20))
    latencies = latencies_at_a_node(limit, 20, 40, 50 * MS, 200)
    assert len(latencies) > 3700 and limit.limit >= 20


def test_unused_limit_does_not_grow():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20, window=1))
    for _ in range(400):
        limit.attempt_started()
        limit.attempt_ended(MS)
    assert limit.limit == 20


def test_limit_shrinks_to_minimum_on_failures_and_recovers_on_success():
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


def test_best_latency_follows_a_permanently_slower_node_after_two_generations():
    limit = GradientLimit(ConcurrencyLimitSettings(initial=20, window=1))
    for latency in [MS] * 50 + [9 * MS] * 3000:
        limit.attempt_started()
        limit.attempt_ended(latency)
    assert limit.best_latency_ns() == 9 * MS


@given(
    some.lists(some.one_of(some.none(), some.integers(1, 10**10)), max_size=80),
    some.integers(1, 9),
    some.integers(10, 50),
)
def test_limit_stays_between_minimum_and_maximum_for_any_latencies(latencies, minimum, maximum):
    limit = GradientLimit(ConcurrencyLimitSettings(initial=10, minimum=minimum, maximum=maximum, window=3))
    for latency in latencies:
        limit.attempt_started()
        limit.attempt_ended(latency)
        assert minimum <= limit.limit <= maximum and limit.in_flight == 0


def test_limits_are_per_node_and_op_type_and_removed_with_the_node():
    limits = ConcurrencyLimits(ConcurrencyLimitSettings(initial=1, minimum=1))
    limits.attempt_started(7, 0)
    assert not limits.has_capacity(7, 0) and limits.has_capacity(7, 1) and limits.has_capacity(8, 0)
    limits.attempt_ended(7, 0, MS)
    limits.forget(7)
    assert [node for node, *_ in limits.snapshot()] == [8]
