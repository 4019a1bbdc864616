from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.selection import (
    WeightedRoundRobin,
    less_loaded_of_two,
    nearest,
    rendezvous,
    weighted_random,
)

candidate_lists = some.lists(some.floats(0.01, 100), min_size=1, max_size=8).map(
    lambda weights: tuple(enumerate(weights))
)


@given(candidate_lists, some.integers(0, 10**6), some.dictionaries(some.integers(0, 8), some.integers(0, 5)))
def test_selected_node_is_a_candidate(candidates, seed, in_flight):
    random = Random(seed)
    nodes = [node for node, _ in candidates]
    assert (
        weighted_random(random, candidates) in nodes
        and less_loaded_of_two(random, candidates, in_flight) in nodes
        and WeightedRoundRobin().select(candidates) in nodes
    )


@given(candidate_lists, some.integers(1, 200))
def test_round_robin_counts_differ_from_shares_by_less_than_the_number_of_other_nodes(candidates, selections):
    round_robin, total = WeightedRoundRobin(), sum(weight for _, weight in candidates)
    counts = Counter(round_robin.select(candidates) for _ in range(selections))
    for node, weight in candidates:
        assert abs(counts[node] - selections * weight / total) < max(1, len(candidates) - 1) + 1e-6


def test_round_robin_drops_the_credit_of_removed_nodes():
    round_robin = WeightedRoundRobin()
    for _ in range(7):
        round_robin.select(((1, 1.0), (2, 5.0)))
    assert [round_robin.select(((3, 1.0), (4, 1.0))) for _ in range(4)] == [3, 4, 3, 4]


def test_largest_random_draw_selects_the_last_candidate():
    class LargestDraw(Random):
        def random(self):
            return 1.0 - 2**-53

    assert weighted_random(LargestDraw(), tuple((node, 0.1) for node in range(10))) == 9


def test_rendezvous_is_deterministic_and_distributes_keys_by_weight():
    counts = Counter(rendezvous(f"k{number}", ((1, 3.0), (2, 1.0))) for number in range(4000))
    assert abs(counts[1] - 3000) < 120 and rendezvous("k", ((1, 1.0), (2, 1.0))) == rendezvous(
        "k", ((2, 1.0), (1, 1.0))
    )


@given(candidate_lists, some.integers(0, 7), some.floats(0.01, 100), some.text(max_size=4))
def test_weight_change_moves_keys_only_to_or_from_that_node(candidates, position, weight, key):
    position %= len(candidates)
    changed = tuple((node, weight if node == position else old_weight) for node, old_weight in candidates)
    before, after = rendezvous(key, candidates), rendezvous(key, changed)
    assert before == after or (after if weight > candidates[position][1] else before) == position


@given(candidate_lists, some.integers(0, 7), some.text(max_size=4))
def test_node_removal_moves_only_its_keys(candidates, position, key):
    remaining = tuple(candidate for candidate in candidates if candidate[0] != position)
    if remaining:
        assert rendezvous(key, candidates) in (position, rendezvous(key, remaining))


def test_nearest_zone_with_a_candidate_is_used_or_all_if_none_has():
    candidates = ((1, 1.0), (2, 1.0), (5, 1.0))
    assert nearest(candidates, lambda node: node % 3, (0, 2, 1)) == [(2, 1.0), (5, 1.0)]
    assert nearest(candidates, lambda node: node % 3, (0,)) == candidates
