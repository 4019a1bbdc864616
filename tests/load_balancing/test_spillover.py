from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.spillover import SpilloverSwitch, is_panic, plan_spillover, shed

NIAGARA, WINDSOR, TORONTO = 0, 1, 2
TIERS = {NIAGARA: [[WINDSOR], [TORONTO]], WINDSOR: [[NIAGARA], [TORONTO]], TORONTO: [[NIAGARA, WINDSOR]]}


def test_lost_zone_spills_to_the_nearest_zone_up_to_its_limit_then_to_the_next():
    plan = plan_spillover({0: 90.0, 1: 40.0, 2: 40.0}, {0: 0.0, 1: 100.0, 2: 100.0}, TIERS, (0.5, 1.0))
    assert plan.flows[0, 1] == pytest.approx(30) and plan.flows[0, 2] == pytest.approx(60)
    assert plan.unserved == {} and plan.used_shares == {(1, 0): pytest.approx(0.5), (2, 1): pytest.approx(1.0)}


def test_work_over_all_limits_is_unserved_and_shed_by_value():
    plan = plan_spillover({0: 90.0, 1: 80.0, 2: 95.0}, {0: 0.0, 1: 100.0, 2: 100.0}, TIERS, (0.5, 0.8))
    assert plan.flows[0, 1] == pytest.approx(10) and plan.flows[0, 2] == pytest.approx(4)
    assert plan.unserved == {0: pytest.approx(76)}
    assert shed(76, [(0, 30.0, 2.0), (1, 40.0, 1.0), (2, 20.0, 5.0)]) == [(1, 40.0), (0, 30.0), (2, 6.0)]


def test_overloaded_zone_gets_no_spill_and_its_excess_is_unserved():
    plan = plan_spillover({0: 50.0, 1: 120.0}, {0: 100.0, 1: 100.0}, {0: [[1]], 1: [[0]]}, (0.0,))
    assert plan.flows == {(0, 0): 50.0, (1, 1): 100.0} and plan.unserved == {1: pytest.approx(20)}


def test_lost_zones_share_available_capacity_in_proportion_to_demand():
    plan = plan_spillover({0: 60.0, 1: 30.0, 2: 0.0}, {2: 45.0}, {0: [[2]], 1: [[2]]}, (1.0,))
    assert plan.flows[0, 2] == pytest.approx(30) and plan.flows[1, 2] == pytest.approx(15)
    assert plan.unserved == {0: pytest.approx(30), 1: pytest.approx(15)}


def test_spill_is_moved_within_a_tier_so_that_all_of_it_is_served():
    plan = plan_spillover({0: 50.0, 1: 40.0, 2: 0.0, 3: 0.0}, {2: 40.0, 3: 60.0}, {0: [[2, 3]], 1: [[2]]}, (1.0,))
    assert plan.flows[1, 2] == pytest.approx(40) and plan.flows[0, 3] == pytest.approx(50) and plan.unserved == {}


@given(
    some.lists(some.floats(0, 100), min_size=3, max_size=3),
    some.lists(some.floats(0, 100), min_size=3, max_size=3),
    some.lists(some.sets(some.integers(3, 5)), min_size=3, max_size=3),
)
def test_one_tier_serves_the_maximum_flow(demands, capacities, choices):
    """The amount served equals the minimum cut over all subsets of the zones with demand."""
    demand = {zone: amount for zone, amount in enumerate(demands)}
    tiers = {zone: [sorted(choice)] for zone, choice in enumerate(choices)}
    plan = plan_spillover(
        demand, {3 + position: capacity for position, capacity in enumerate(capacities)}, tiers, (1.0,)
    )
    minimum_cut = min(
        sum(demands[zone] for zone in range(3) if not subset >> zone & 1)
        + sum(
            capacities[other - 3] for other in set().union(*(choices[zone] for zone in range(3) if subset >> zone & 1))
        )
        for subset in range(8)
    )
    assert sum(plan.flows.values()) == pytest.approx(minimum_cut, abs=1e-5)


def test_plan_is_the_same_after_all_zones_are_lost_and_recover_in_any_order():
    demand, capacity = {0: 50.0, 1: 50.0, 2: 50.0}, {0: 100.0, 1: 100.0, 2: 100.0}
    first = plan_spillover(demand, capacity, TIERS, (0.5, 0.5))
    assert plan_spillover(demand, {}, TIERS, (0.5, 0.5)) == ({(zone, zone): 0.0 for zone in range(3)}, demand, {})
    for recovery_order in ((2, 0, 1), (1, 2, 0)):
        for count in range(1, 4):
            plan = plan_spillover(demand, {zone: 100.0 for zone in recovery_order[:count]}, TIERS, (0.5, 0.5))
    assert plan == first and not plan.unserved


amounts = some.dictionaries(some.integers(0, 5), some.floats(0, 1000), min_size=1, max_size=6)


@given(amounts, amounts, some.lists(some.floats(0, 1), max_size=3), some.integers(0, 10**6))
def test_plan_conserves_work_and_respects_capacities_and_limits(demand, capacity, limits, seed):
    random = Random(seed)
    tiers = {}
    for zone in demand:
        others = [other for other in range(6) if other != zone]
        random.shuffle(others)
        split_at = random.randrange(1, 5)
        tiers[zone] = [others[:split_at], others[split_at:]]
    plan = plan_spillover(demand, capacity, tiers, limits)
    for zone, amount in demand.items():
        sent = sum(flow for (source, _), flow in plan.flows.items() if source == zone)
        assert sent + plan.unserved.get(zone, 0) == pytest.approx(amount, abs=1e-6)
    for zone, zone_capacity in capacity.items():
        spilled = sum(flow for (source, other), flow in plan.flows.items() if other == zone != source)
        own = plan.flows.get((zone, zone), 0.0)
        limit = max(limits) if limits else 0.0
        assert own + spilled <= zone_capacity + 1e-6 and spilled <= (zone_capacity - own) * limit + 1e-6
        assert own == min(demand.get(zone, 0.0), zone_capacity)
    assert all(flow >= 0 for flow in plan.flows.values())
    assert plan_spillover(dict(reversed(demand.items())), capacity, tiers, limits) == plan


def test_spill_switch_has_hysteresis():
    switch = SpilloverSwitch(0.9, 0.7)
    assert [switch.update(load, 100.0) for load in (85, 91, 85, 71, 69, 85)] == [False, True, True, True, False, False]
    assert switch.update(1.0, 0.0) and not switch.update(0.0, 0.0)


@pytest.mark.parametrize(
    "ready, known, panic", [(5, 12, True), (6, 12, False), (0, 0, False), (0, 1, True), (1, 1, False)]
)
def test_panic_mode_applies_below_the_panic_share(ready, known, panic):
    assert is_panic(ready, known, 0.5) is panic
