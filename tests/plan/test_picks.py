from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.plan.picks import Rotation, idler, weighted

lines = some.lists(some.floats(0.01, 100), min_size=1, max_size=8).map(lambda weights: tuple(enumerate(weights)))


@given(lines, some.integers(0, 10**6), some.dictionaries(some.integers(0, 8), some.integers(0, 5)))
def test_every_pick_is_one_of_the_lines(lines, seed, own):
    random = Random(seed)
    nodes = [node for node, _ in lines]
    assert weighted(random, lines) in nodes and idler(random, lines, own) in nodes and Rotation().pick(lines) in nodes


@given(lines, some.integers(1, 200))
def test_in_turn_each_line_is_within_a_pick_of_its_part_for_each_other_line(lines, picks):
    rotation, total = Rotation(), sum(weight for _, weight in lines)
    found = Counter(rotation.pick(lines) for _ in range(picks))
    for node, weight in lines:
        assert abs(found[node] - picks * weight / total) < max(1, len(lines) - 1) + 1e-6


def test_in_turn_a_line_that_goes_leaves_no_debt_behind():
    rotation = Rotation()
    for _ in range(7):
        rotation.pick(((1, 1.0), (2, 5.0)))
    assert [rotation.pick(((3, 1.0), (4, 1.0))) for _ in range(4)] == [3, 4, 3, 4]


def test_a_draw_that_rounding_leaves_over_takes_the_last_line():
    class Most(Random):
        def random(self):
            return 1.0 - 2**-53

    assert weighted(Most(), tuple((node, 0.1) for node in range(10))) == 9
