from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.digest import Seen, Zone, together, zone_sums
from kestrelplank.state.membership import Sums


def test_sums_are_by_zone_and_leave_out_whoever_has_none():
    nodes = [
        Seen(1, True, 30.2, 30.0),
        Seen(1, False, 9.0, 0.0),
        Seen(0, True, 20.0, 20.0),
        Seen(None, True, 99.0, 99.0),
    ]
    assert zone_sums(nodes, 40.0) == [Sums(0, 20, 40, 1), Sums(1, 39, 40, 1)]


def test_demand_adds_up_over_members_and_of_capacity_the_least_counts():
    own, others = [Sums(0, 20, 80, 2), Sums(1, 5, 80, 2)], {3: [Sums(0, 30, 40, 1)], 2: [Sums(2, 1, 1, 1)]}
    assert together(own, others) == {0: Zone(50, 40, 1, 2), 1: Zone(5, 80, 2, 1), 2: Zone(1, 1, 1, 1)}
    assert together(own, {}) == {0: Zone(20, 80, 2, 1), 1: Zone(5, 80, 2, 1)}


sums = some.lists(
    some.builds(Sums, some.integers(0, 3), some.integers(0, 99), some.integers(0, 99), some.integers(0, 9)),
    max_size=4,
    unique_by=lambda one: one.zone,
)


@given(some.dictionaries(some.integers(0, 9), sums, max_size=5), sums)
def test_it_does_not_matter_who_was_heard_first(others, own):
    assert together(own, others) == together(own, dict(reversed(others.items())))
