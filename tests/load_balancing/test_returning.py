import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.returning import Damping, Flaps, Ramp, Warmth

S = 1_000_000_000
WARMTH = Warmth(0.2, 10 * S, 3.0)


def test_an_allowance_grows_with_the_warm_up_and_is_for_all_feeders_together():
    ramp = Ramp(WARMTH, 0, 0)
    assert [round(ramp.allowance(at * S, 100.0, 1), 3) for at in (0, 5, 10)] == [30.0, 90.0, 100.0]
    for at in range(0, 10):
        together = sum(ramp.allowance(at * S, 100.0, 4) for _ in range(4))
        assert together <= 100.0 * ramp.warmth(at * S) * WARMTH.multiple * WARMTH.part + 1e-9


def test_a_node_whose_answers_are_slow_or_fail_is_held_where_it_is_and_goes_on_when_they_are_good():
    ramp = Ramp(WARMTH, 0, 0)
    ramp.report(2 * S, 50, 0, 40.0, 40.0)
    ramp.report(3 * S, 50, 0, 90.0, 40.0)  # what it shows holds until it shows something else
    assert ramp.age(7 * S) == 3 * S
    ramp.report(7 * S, 0, 0, None, 40.0)  # nothing came: it has shown nothing
    assert ramp.age(8 * S) == 3 * S
    ramp.report(8 * S, 50, 0, 41.0, 40.0)
    assert ramp.age(10 * S) == 5 * S and not ramp.warm(10 * S) and ramp.warm(15 * S)
    ramp.report(11 * S, 50, 20, 41.0, 40.0)
    assert ramp.age(99 * S) == 6 * S


def test_a_conductor_restarted_in_the_middle_of_a_ramp_does_not_start_again_at_full():
    ramp = Ramp(WARMTH, 0, 4 * S)
    assert ramp.warmth(4 * S) == pytest.approx(0.2 + 0.8 * 0.4) and not ramp.warm(4 * S)
    ramp.report(4 * S, 10, 10, None, None)
    assert ramp.warmth(90 * S) == ramp.warmth(4 * S)


def test_both_conductors_that_ramp_one_node_and_do_not_hear_each_other_stay_under_the_multiple():
    """Each believes the other feeds it too, and starts from the boot time that the list tells both."""
    for at in range(0, 120):
        now = at * S // 10
        sent = sum(Ramp(WARMTH, 0, seen).allowance(now, 60.0, 2) for seen in (0, min(now, 3 * S)))
        can = 60.0 * Ramp(WARMTH, 0, 0).warmth(now)
        assert sent < can * WARMTH.multiple


@given(
    some.lists(
        some.tuples(some.integers(0, 2 * S), some.integers(0, 50), some.integers(0, 50), some.floats(1, 500)),
        max_size=30,
    )
)
def test_whatever_is_reported_an_allowance_is_within_the_budget_and_never_of_an_older_node(reports):
    ramp, now = Ramp(WARMTH, 0, 0), 0
    for wait, acked, failed, time in reports:
        now += wait
        ramp.report(now, acked, failed, time, 40.0)
        assert 0 <= ramp.age(now) <= now
        assert ramp.allowance(now, 100.0, 3) * 3 <= min(100.0, 100.0 * min(1, 0.2 + 0.8 * now / 10 / S) * 1.5) + 1e-6


def test_a_zone_that_flaps_three_times_in_a_minute_is_held_down_for_longer_each_time():
    flaps, fed = Flaps(Damping()), []
    for at in (0, 20, 40, 55):
        flaps.lost(at * S)
        flaps.lost(at * S + 1)  # told twice
        fed.append(flaps.back((at + 2) * S) // S)
    assert fed == [2, 25, 50, 75] and not flaps.feeds(74 * S) and flaps.feeds(75 * S)


def test_after_quiet_all_is_forgotten_and_a_hold_has_a_limit():
    flaps = Flaps(Damping(most=8 * S))
    for at in range(0, 50, 10):
        flaps.lost(at * S)
        flaps.back((at + 1) * S)
    assert flaps.held_until == 48 * S
    flaps.lost(300 * S)
    assert flaps.back(301 * S) == 301 * S


def test_a_zone_that_is_gone_is_not_fed_however_long_its_hold_is_over():
    flaps = Flaps(Damping())
    flaps.lost(0)
    assert not flaps.feeds(900 * S)
