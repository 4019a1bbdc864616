from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.picks import WeightedRoundRobin, less_loaded, nearest, rendezvous, weighted

lines = some.lists(some.floats(0.01, 100), min_size=1, max_size=8).map(lambda weights: tuple(enumerate(weights)))


@given(lines, some.integers(0, 10**6), some.dictionaries(some.integers(0, 8), some.integers(0, 5)))
def test_every_pick_is_one_of_the_lines(lines, seed, own):
    random = Random(seed)
    nodes = [node for node, _ in lines]
    assert (
        weighted(random, lines) in nodes
        and less_loaded(random, lines, own) in nodes
        and WeightedRoundRobin().pick(lines) in nodes
    )


@given(lines, some.integers(1, 200))
def test_in_turn_each_line_is_within_a_pick_of_its_part_for_each_other_line(lines, picks):
    rotation, total = WeightedRoundRobin(), sum(weight for _, weight in lines)
    found = Counter(rotation.pick(lines) for _ in range(picks))
    for node, weight in lines:
        assert abs(found[node] - picks * weight / total) < max(1, len(lines) - 1) + 1e-6


def test_in_turn_a_line_that_goes_leaves_no_debt_behind():
    rotation = WeightedRoundRobin()
    for _ in range(7):
        rotation.pick(((1, 1.0), (2, 5.0)))
    assert [rotation.pick(((3, 1.0), (4, 1.0))) for _ in range(4)] == [3, 4, 3, 4]


def test_a_draw_that_rounding_leaves_over_takes_the_last_line():
    class Most(Random):
        def random(self):
            return 1.0 - 2**-53

    assert weighted(Most(), tuple((node, 0.1) for node in range(10))) == 9


def test_a_key_has_its_node_and_each_node_its_part_of_the_keys():
    found = Counter(rendezvous(f"k{number}", ((1, 3.0), (2, 1.0))) for number in range(4000))
    assert abs(found[1] - 3000) < 120 and rendezvous("k", ((1, 1.0), (2, 1.0))) == rendezvous("k", ((2, 1.0), (1, 1.0)))


@given(lines, some.integers(0, 7), some.floats(0.01, 100), some.text(max_size=4))
def test_when_a_weight_changes_keys_move_only_to_that_node_or_only_from_it(lines, place, weight, key):
    place %= len(lines)
    other = tuple((node, weight if node == place else held) for node, held in lines)
    before, after = rendezvous(key, lines), rendezvous(key, other)
    assert before == after or (after if weight > lines[place][1] else before) == place


@given(lines, some.integers(0, 7), some.text(max_size=4))
def test_when_a_line_goes_only_its_keys_move(lines, place, key):
    left = tuple(line for line in lines if line[0] != place)
    if left:
        assert rendezvous(key, lines) in (place, rendezvous(key, left))


def test_the_nearest_zone_that_has_a_line_is_used_and_all_where_none_has():
    lines = ((1, 1.0), (2, 1.0), (5, 1.0))
    assert nearest(lines, lambda node: node % 3, (0, 2, 1)) == [(2, 1.0), (5, 1.0)]
    assert nearest(lines, lambda node: node % 3, (0,)) == lines
