"""The estimate of true time from clocks of which some are seconds off."""

from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.usage.true_time import MAX_ROUND_TRIP_NS, SAMPLE_MAX_AGE_NS, UPDATE_INTERVAL_NS, TrueTimeEstimate

EPOCH = 1_800_000_000 * SECOND  # true time at 0 of the own steady clock


def estimate_of(offsets, now=0, **options):
    """An estimate from one reading of each peer, whose clock is off by that offset."""
    estimate = TrueTimeEstimate(**options)
    for peer, offset in enumerate(offsets):
        estimate.add_reading(now, str(peer), EPOCH + now + offset, 0)
    return estimate


@given(
    st.integers(1, 60).flatmap(
        lambda right: st.tuples(
            st.lists(st.integers(-4, 4).map(lambda ms: ms * MILLISECOND), min_size=right, max_size=right),
            st.lists(st.sampled_from([-2 * SECOND, 2 * SECOND]), max_size=right - 1),
        )
    ),
    st.randoms(use_true_random=False),
)
def test_the_estimate_is_right_while_fewer_than_half_of_the_clocks_are_off(clocks, random):
    offsets = [*clocks[0], *clocks[1]]
    random.shuffle(offsets)
    assert abs(estimate_of(offsets).true_time(0) - EPOCH) <= 4 * MILLISECOND


def test_a_step_of_a_peers_clock_and_back_does_not_move_the_estimate():
    estimate = estimate_of([0, 0, 0])
    for now in range(0, 3 * SECOND, 400 * MILLISECOND):
        for peer in range(3):
            step = 2 * SECOND if peer == 1 and now > SECOND else 0
            estimate.add_reading(now, str(peer), EPOCH + now + step, 0)
        assert estimate.true_time(now) == EPOCH + now


def test_a_reading_with_a_long_round_trip_is_ignored():
    """Guards against: messages that waited in the queue of a frozen process shift the windows of all counts."""
    estimate = estimate_of([0, 0, 0])
    frozen_ns = 3 * SECOND
    for peer in range(3):
        estimate.add_reading(frozen_ns, str(peer), EPOCH, frozen_ns)
        estimate.add_reading(frozen_ns, str(peer), EPOCH, -1)
    assert estimate.true_time(frozen_ns) == EPOCH + frozen_ns


@given(st.integers(0, MAX_ROUND_TRIP_NS), st.floats(0, 1))
def test_the_error_of_a_reading_is_at_most_half_its_round_trip(round_trip_ns, way_back_share):
    estimate = TrueTimeEstimate()
    way_back_ns = int(round_trip_ns * way_back_share)
    estimate.add_reading(SECOND, "a", EPOCH + SECOND - way_back_ns, round_trip_ns)
    assert abs(estimate.true_time(SECOND) - (EPOCH + SECOND)) <= round_trip_ns // 2 + 1


def test_the_estimate_is_kept_while_all_peers_are_silent():
    estimate = estimate_of([0, 0, 2 * SECOND])
    assert estimate.true_time(0) == EPOCH
    assert estimate.true_time(10 * SAMPLE_MAX_AGE_NS) == EPOCH + 10 * SAMPLE_MAX_AGE_NS


def test_a_peer_that_is_gone_has_no_vote():
    estimate = estimate_of([2 * SECOND, 2 * SECOND])
    assert estimate.true_time(0) == EPOCH + 2 * SECOND
    now = SAMPLE_MAX_AGE_NS + UPDATE_INTERVAL_NS
    estimate.add_reading(now, "2", EPOCH + now, 0)
    assert estimate.true_time(now) == EPOCH + now


def test_there_is_no_estimate_from_few_clocks_until_it_has_settled():
    estimate = estimate_of([2 * SECOND], min_samples=3, settling_ns=2 * SECOND)
    assert estimate.true_time(0) is None
    assert estimate.true_time(2 * SECOND) == EPOCH + 4 * SECOND  # a system of one edge
    estimate = estimate_of([2 * SECOND, 0, 0], min_samples=3, settling_ns=2 * SECOND)
    assert estimate.true_time(0) == EPOCH
