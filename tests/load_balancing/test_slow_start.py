import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.slow_start import SlowStart, SlowStartSettings
from kestrelplank.time_units import SECOND as S

SETTINGS = SlowStartSettings(0.2, 10 * S, 3.0)


def test_allowance_grows_during_slow_start_and_is_divided_among_senders():
    slow_start = SlowStart(SETTINGS, 0, 0)
    assert [round(slow_start.allowance(at * S, 100.0, 1), 3) for at in (0, 5, 10)] == [30.0, 90.0, 100.0]
    for at in range(0, 10):
        total = sum(slow_start.allowance(at * S, 100.0, 4) for _ in range(4))
        assert (
            total <= 100.0 * slow_start.capacity_share(at * S) * SETTINGS.overload_factor * SETTINGS.safe_share + 1e-9
        )


def test_slow_start_pauses_while_responses_are_slow_or_fail():
    slow_start = SlowStart(SETTINGS, 0, 0)
    slow_start.report(2 * S, 50, 0, 40.0, 40.0)
    slow_start.report(3 * S, 50, 0, 90.0, 40.0)  # unhealthy until the next report with attempts
    assert slow_start.age_ns(7 * S) == 3 * S
    slow_start.report(7 * S, 0, 0, None, 40.0)  # no attempts: its health does not change
    assert slow_start.age_ns(8 * S) == 3 * S
    slow_start.report(8 * S, 50, 0, 41.0, 40.0)
    assert slow_start.age_ns(10 * S) == 5 * S and not slow_start.is_warm(10 * S) and slow_start.is_warm(15 * S)
    slow_start.report(11 * S, 50, 20, 41.0, 40.0)
    assert slow_start.age_ns(99 * S) == 6 * S


def test_observer_restarted_during_slow_start_continues_at_partial_capacity():
    slow_start = SlowStart(SETTINGS, 0, 4 * S)
    assert slow_start.capacity_share(4 * S) == pytest.approx(0.2 + 0.8 * 0.4) and not slow_start.is_warm(4 * S)
    slow_start.report(4 * S, 10, 10, None, None)
    assert slow_start.capacity_share(90 * S) == slow_start.capacity_share(4 * S)


def test_partitioned_members_sending_to_one_node_stay_under_the_overload_factor():
    """Each assumes that the other sends load too, and uses the start time from the endpoint list."""
    for at in range(0, 120):
        now = at * S // 10
        sent = sum(SlowStart(SETTINGS, 0, seen).allowance(now, 60.0, 2) for seen in (0, min(now, 3 * S)))
        capacity = 60.0 * SlowStart(SETTINGS, 0, 0).capacity_share(now)
        assert sent < capacity * SETTINGS.overload_factor


@given(
    some.lists(
        some.tuples(some.integers(0, 2 * S), some.integers(0, 50), some.integers(0, 50), some.floats(1, 500)),
        max_size=30,
    )
)
def test_allowance_and_age_stay_within_bounds_for_any_reports(reports):
    slow_start, now = SlowStart(SETTINGS, 0, 0), 0
    for wait, acked, failed, latency in reports:
        now += wait
        slow_start.report(now, acked, failed, latency, 40.0)
        assert 0 <= slow_start.age_ns(now) <= now
        assert (
            slow_start.allowance(now, 100.0, 3) * 3 <= min(100.0, 100.0 * min(1, 0.2 + 0.8 * now / 10 / S) * 1.5) + 1e-6
        )
