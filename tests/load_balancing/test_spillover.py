from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.spillover import SpilloverSwitch, is_panic, plan_spillover, shed

NIAGARA, WINDSOR, TORONTO = 0, 1, 2
TIERS = {NIAGARA: [[WINDSOR], [TORONTO]], WINDSOR: [[NIAGARA], [TORONTO]], TORONTO: [[NIAGARA, WINDSOR]]}


def test_a_zone_that_is_lost_spills_to_its_nearest_first_and_to_the_next_only_over_that_ones_limit():
    plan = plan_spillover({0: 90.0, 1: 40.0, 2: 40.0}, {0: 0.0, 1: 100.0, 2: 100.0}, TIERS, (0.5, 1.0))
    assert plan.flows[0, 1] == pytest.approx(30) and plan.flows[0, 2] == pytest.approx(60)
    assert plan.unserved == {} and plan.used_shares == {(1, 0): pytest.approx(0.5), (2, 1): pytest.approx(1.0)}


def test_what_is_over_all_limits_is_unserved_and_overloads_no_zone():
    plan = plan_spillover({0: 90.0, 1: 80.0, 2: 95.0}, {0: 0.0, 1: 100.0, 2: 100.0}, TIERS, (0.5, 0.8))
    assert plan.flows[0, 1] == pytest.approx(10) and plan.flows[0, 2] == pytest.approx(4)
    assert plan.unserved == {0: pytest.approx(76)}
    assert shed(76, [(0, 30.0, 2.0), (1, 40.0, 1.0), (2, 20.0, 5.0)]) == [(1, 40.0), (0, 30.0), (2, 6.0)]


def test_a_strained_zone_gets_nothing_and_its_own_overflow_is_named_too():
    plan = plan_spillover({0: 50.0, 1: 120.0}, {0: 100.0, 1: 100.0}, {0: [[1]], 1: [[0]]}, (0.0,))
    assert plan.flows == {(0, 0): 50.0, (1, 1): 100.0} and plan.unserved == {1: pytest.approx(20)}


def test_two_zones_that_are_lost_share_what_is_available_by_what_they_bring():
    plan = plan_spillover({0: 60.0, 1: 30.0, 2: 0.0}, {2: 45.0}, {0: [[2]], 1: [[2]]}, (1.0,))
    assert plan.flows[0, 2] == pytest.approx(30) and plan.flows[1, 2] == pytest.approx(15)
    assert plan.unserved == {0: pytest.approx(30), 1: pytest.approx(15)}


def test_what_one_zone_of_a_tier_rejects_finds_capacity_at_another():
    plan = plan_spillover({0: 50.0, 1: 40.0, 2: 0.0, 3: 0.0}, {2: 40.0, 3: 60.0}, {0: [[2, 3]], 1: [[2]]}, (1.0,))
    assert plan.flows[1, 2] == pytest.approx(40) and plan.flows[0, 3] == pytest.approx(50) and plan.unserved == {}


@given(
    some.lists(some.floats(0, 100), min_size=3, max_size=3),
    some.lists(some.floats(0, 100), min_size=3, max_size=3),
    some.lists(some.sets(some.integers(3, 5)), min_size=3, max_size=3),
)
def test_within_a_tier_as_much_is_served_as_can_be(brings, capacities, choices):
    """Against the least cut, by every subset of the zones that bring something."""
    demand = {zone: amount for zone, amount in enumerate(brings)}
    tiers = {zone: [sorted(choice)] for zone, choice in enumerate(choices)}
    plan = plan_spillover(
        demand, {3 + position: capacity for position, capacity in enumerate(capacities)}, tiers, (1.0,)
    )
    least = min(
        sum(brings[zone] for zone in range(3) if not subset >> zone & 1)
        + sum(
            capacities[other - 3] for other in set().union(*(choices[zone] for zone in range(3) if subset >> zone & 1))
        )
        for subset in range(8)
    )
    assert sum(plan.flows.values()) == pytest.approx(least, abs=1e-5)


def test_all_zones_lost_and_back_in_another_order_give_the_same_plan_as_at_first():
    demand, capacity = {0: 50.0, 1: 50.0, 2: 50.0}, {0: 100.0, 1: 100.0, 2: 100.0}
    first = plan_spillover(demand, capacity, TIERS, (0.5, 0.5))
    assert plan_spillover(demand, {}, TIERS, (0.5, 0.5)) == ({(z, z): 0.0 for z in range(3)}, demand, {})
    for back in ((2, 0, 1), (1, 2, 0)):
        for count in range(1, 4):
            plan = plan_spillover(demand, {zone: 100.0 for zone in back[:count]}, TIERS, (0.5, 0.5))
    assert plan == first and not plan.unserved


amounts = some.dictionaries(some.integers(0, 5), some.floats(0, 1000), min_size=1, max_size=6)


@given(amounts, amounts, some.lists(some.floats(0, 1), max_size=3), some.integers(0, 10**6))
def test_nothing_is_lost_overfilled_or_spilled_past_a_limit_whatever_is_asked(demand, capacity, limits, seed):
    random = Random(seed)
    tiers = {}
    for zone in demand:
        others = [other for other in range(6) if other != zone]
        random.shuffle(others)
        cut = random.randrange(1, 5)
        tiers[zone] = [others[:cut], others[cut:]]
    plan = plan_spillover(demand, capacity, tiers, limits)
    for zone, amount in demand.items():
        sent = sum(flow for (source, _), flow in plan.flows.items() if source == zone)
        assert sent + plan.unserved.get(zone, 0) == pytest.approx(amount, abs=1e-6)
    for zone, most in capacity.items():
        spilled = sum(flow for (source, other), flow in plan.flows.items() if other == zone != source)
        own = plan.flows.get((zone, zone), 0.0)
        limit = max(limits) if limits else 0.0
        assert own + spilled <= most + 1e-6 and spilled <= (most - own) * limit + 1e-6
        assert own == min(demand.get(zone, 0.0), most)
    assert all(flow >= 0 for flow in plan.flows.values())
    assert plan_spillover(dict(reversed(demand.items())), capacity, tiers, limits) == plan


def test_spill_begins_and_ends_at_different_loads():
    switch = SpilloverSwitch(0.9, 0.7)
    assert [switch.update(load, 100.0) for load in (85, 91, 85, 71, 69, 85)] == [False, True, True, True, False, False]
    assert switch.update(1.0, 0.0) and not switch.update(0.0, 0.0)


@pytest.mark.parametrize(
    "ready, known, panic", [(5, 12, True), (6, 12, False), (0, 0, False), (0, 1, True), (1, 1, False)]
)
def test_below_the_panic_level_all_known_nodes_are_used_again(ready, known, panic):
    assert is_panic(ready, known, 0.5) is panic
