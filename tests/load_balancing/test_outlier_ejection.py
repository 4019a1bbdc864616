from random import Random

from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.time_units import SECOND as S


def test_success_resets_the_count_of_consecutive_failures():
    ejection = OutlierEjection(Random(1), 2, (S, S))
    for succeeded in (False, True, False, True, False):
        ejection.record_attempt(0, 1, succeeded)
    assert ejection.without_ejected(0, ((1, 1.0), (2, 1.0))) == ((1, 1.0), (2, 1.0))


def test_a_node_is_ejected_for_the_drawn_time_also_if_it_is_the_only_one():
    ejection = OutlierEjection(Random(1), 1, (S, S))
    ejection.record_attempt(0, 1, False)
    assert [ejection.is_ejected(now, 1) for now in (0, S - 1, S)] == [True, True, False]
    assert not ejection.is_ejected(0, 2)


def test_all_candidates_are_used_if_all_are_ejected():
    ejection = OutlierEjection(Random(1), 1, (S, S))
    ejection.record_attempt(0, 1, False)
    assert ejection.without_ejected(0, ((1, 1.0), (2, 1.0))) == [(2, 1.0)]
    ejection.record_attempt(0, 2, False)
    assert ejection.without_ejected(0, ((1, 1.0), (2, 1.0))) == ((1, 1.0), (2, 1.0))
