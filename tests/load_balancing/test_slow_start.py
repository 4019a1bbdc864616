import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.slow_start import SlowStart, WarmUpSettings
from kestrelplank.time_units import SECOND as S

SETTINGS = WarmUpSettings(0.2, 10 * S, 3.0)


def test_an_allowance_grows_with_the_warm_up_and_is_for_all_feeders_together():
    slow_start = SlowStart(SETTINGS, 0, 0)
    assert [round(slow_start.allowance(at * S, 100.0, 1), 3) for at in (0, 5, 10)] == [30.0, 90.0, 100.0]
    for at in range(0, 10):
        together = sum(slow_start.allowance(at * S, 100.0, 4) for _ in range(4))
        assert (
            together
            <= 100.0 * slow_start.capacity_share(at * S) * SETTINGS.overload_factor * SETTINGS.safe_share + 1e-9
        )


def test_a_node_whose_answers_are_slow_or_fail_is_held_where_it_is_and_goes_on_when_they_are_good():
    slow_start = SlowStart(SETTINGS, 0, 0)
    slow_start.report(2 * S, 50, 0, 40.0, 40.0)
    slow_start.report(3 * S, 50, 0, 90.0, 40.0)  # what it shows holds until it shows something else
    assert slow_start.age_ns(7 * S) == 3 * S
    slow_start.report(7 * S, 0, 0, None, 40.0)  # nothing came: it has shown nothing
    assert slow_start.age_ns(8 * S) == 3 * S
    slow_start.report(8 * S, 50, 0, 41.0, 40.0)
    assert slow_start.age_ns(10 * S) == 5 * S and not slow_start.is_warm(10 * S) and slow_start.is_warm(15 * S)
    slow_start.report(11 * S, 50, 20, 41.0, 40.0)
    assert slow_start.age_ns(99 * S) == 6 * S


def test_a_member_restarted_in_the_middle_of_a_warm_up_does_not_start_again_at_full():
    slow_start = SlowStart(SETTINGS, 0, 4 * S)
    assert slow_start.capacity_share(4 * S) == pytest.approx(0.2 + 0.8 * 0.4) and not slow_start.is_warm(4 * S)
    slow_start.report(4 * S, 10, 10, None, None)
    assert slow_start.capacity_share(90 * S) == slow_start.capacity_share(4 * S)


def test_members_that_feed_one_node_and_do_not_hear_each_other_stay_under_the_overload_factor():
    """Each believes the other feeds it too, and starts from the boot time that both find in the endpoint list."""
    for at in range(0, 120):
        now = at * S // 10
        sent = sum(SlowStart(SETTINGS, 0, seen).allowance(now, 60.0, 2) for seen in (0, min(now, 3 * S)))
        can = 60.0 * SlowStart(SETTINGS, 0, 0).capacity_share(now)
        assert sent < can * SETTINGS.overload_factor


@given(
    some.lists(
        some.tuples(some.integers(0, 2 * S), some.integers(0, 50), some.integers(0, 50), some.floats(1, 500)),
        max_size=30,
    )
)
def test_whatever_is_reported_an_allowance_is_within_the_budget_and_never_of_an_older_node(reports):
    slow_start, now = SlowStart(SETTINGS, 0, 0), 0
    for wait, acked, failed, time in reports:
        now += wait
        slow_start.report(now, acked, failed, time, 40.0)
        assert 0 <= slow_start.age_ns(now) <= now
        assert (
            slow_start.allowance(now, 100.0, 3) * 3 <= min(100.0, 100.0 * min(1, 0.2 + 0.8 * now / 10 / S) * 1.5) + 1e-6
        )
