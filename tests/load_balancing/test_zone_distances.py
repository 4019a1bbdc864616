from random import Random

from kestrelplank.load_balancing.zone_distances import ZoneDistances, distance_tiers
from kestrelplank.time_units import MILLISECOND as MS


def estimated(periods, stalled=range(0)):
    distances = ZoneDistances()
    random = Random(4)
    for period in range(periods):
        for zone in range(3):
            for other in range(3):
                distance = 0 if zone == other else {1: 2, 2: 5, 3: 3}[zone + other] * MS
                noise = random.expovariate(1 / (2 * MS)) + (900 * MS if period in stalled else 0)
                distances.add(zone, other, 20, 100 * MS + distance + noise)
        distances.close_period()
    return distances


def test_estimated_distances_are_symmetric_and_ordered_and_need_enough_periods():
    distances = estimated(30)
    assert [round(distances.between(*pair) / MS) for pair in ((0, 1), (1, 2), (0, 2))] == sorted(
        round(distances.between(*pair) / MS) for pair in ((0, 1), (1, 2), (0, 2))
    )
    assert distances.between(0, 1) == distances.between(1, 0) and estimated(4).between(0, 1) is None


def test_stall_of_all_zones_does_not_change_estimated_distances():
    undisturbed, stalled = estimated(30), estimated(30, range(8, 20))
    for pair in ((0, 1), (1, 2), (0, 2)):
        assert abs(stalled.between(*pair) - undisturbed.between(*pair)) < 2 * MS


def test_distance_is_correct_if_a_third_of_the_periods_is_undisturbed():
    """Queueing in one zone increases its latency from all zones; the lower quartile of the differences ignores it."""
    distances = ZoneDistances()
    for period in range(30):
        distances.add(0, 0, 10, 100 * MS)
        distances.add(0, 1, 10, 102 * MS + (900 * MS if period < 20 else 0))
        distances.close_period()
    assert distances.between(0, 1) == 2 * MS


def test_tiers_group_zones_of_similar_distance_and_put_unknown_ones_last():
    distances = {(0, 1): 2.0, (0, 2): 2.4, (0, 3): 9.0}
    assert distance_tiers(0, range(5), distances, 0.5) == [[1, 2], [3], [4]]
    assert distance_tiers(0, range(5), {}, 0.5) == [[1, 2, 3, 4]] and distance_tiers(0, [0], {}, 0.5) == []
