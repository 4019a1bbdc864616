from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.membership_datagram import ZoneSums
from kestrelplank.state.zone_load import ObservedNode, ZoneTotals, combine_zone_sums, zone_sums


def test_sums_are_by_zone_and_omit_nodes_without_a_zone():
    nodes = [
        ObservedNode(1, True, 30.2, 30.0),
        ObservedNode(1, False, 9.0, 0.0),
        ObservedNode(0, True, 20.0, 20.0),
        ObservedNode(None, True, 99.0, 99.0),
    ]
    assert zone_sums(nodes, 40.0) == [ZoneSums(0, 20, 40, 1), ZoneSums(1, 39, 40, 1)]


def test_combined_demand_is_the_sum_and_capacity_the_minimum_over_members():
    own, others = (
        [ZoneSums(0, 20, 80, 2), ZoneSums(1, 5, 80, 2)],
        {3: [ZoneSums(0, 30, 40, 1)], 2: [ZoneSums(2, 1, 1, 1)]},
    )
    assert combine_zone_sums(own, others) == {
        0: ZoneTotals(50, 40, 1, 2),
        1: ZoneTotals(5, 80, 2, 1),
        2: ZoneTotals(1, 1, 1, 1),
    }
    assert combine_zone_sums(own, {}) == {0: ZoneTotals(20, 80, 2, 1), 1: ZoneTotals(5, 80, 2, 1)}


sums = some.lists(
    some.builds(ZoneSums, some.integers(0, 3), some.integers(0, 99), some.integers(0, 99), some.integers(0, 9)),
    max_size=4,
    unique_by=lambda zone_sum: zone_sum.zone,
)


@given(some.dictionaries(some.integers(0, 9), sums, max_size=5), sums)
def test_combination_does_not_depend_on_the_order_of_members(others, own):
    assert combine_zone_sums(own, others) == combine_zone_sums(own, dict(reversed(others.items())))
