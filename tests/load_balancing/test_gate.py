from random import Random

import pytest

from kestrelplank.load_balancing.gate import KEEP, UNDO, WAIT, Gate, Terms, steps


def play(seed, before, after, others=None, batch=50):
    """The verdict, and after how many ops, on ops in time with those chances."""
    random, gate = Random(seed), Gate(Terms(), before)
    while gate.verdict == WAIT:
        if others is not None:
            gate.without(batch, sum(random.random() < others for _ in range(batch)))
        gate.with_it(batch, sum(random.random() < after for _ in range(batch)))
    return gate.verdict, gate.ops


@pytest.mark.parametrize(
    "before, after, verdict, most", [(0.97, 0.97, KEEP, 0.02), (0.97, 0.95, UNDO, 0.07), (0.97, 0.80, UNDO, 0.0)]
)
def test_errors_stay_within_what_was_stated_and_the_worse_the_earlier(before, after, verdict, most):
    found = [play(seed, before, after) for seed in range(300)]
    assert sum(one != verdict for one, _ in found) <= most * 300
    assert sum(ops for _, ops in found) / 300 < (200 if after == 0.80 else 3000)


def test_a_day_that_is_bad_anyway_is_no_reason_to_undo():
    assert sum(play(seed, 0.97, 0.80, others=0.80)[0] == UNDO for seed in range(100)) <= 2
    assert sum(play(seed, 0.97, 0.80)[0] == UNDO for seed in range(20)) == 20


def test_what_was_decided_stays_and_without_ops_nothing_is():
    gate = Gate(Terms(), 0.97)
    assert gate.shown() == {"verdict": WAIT, "ops": 0, "others": 0, "near": None, "in_time": None, "usual": 0.97}
    assert gate.with_it(0, 0) == WAIT and gate.with_it(400, 200) == UNDO and gate.with_it(9000, 9000) == UNDO
    assert gate.shown()["near"] == 1.0 and gate.shown()["in_time"] == 0.5


def test_the_undecided_is_kept_in_the_end():
    gate = Gate(Terms(matters=1e-9, most=100), 0.5)
    assert [gate.with_it(50, 25), gate.with_it(50, 25)] == [WAIT, KEEP]


@pytest.mark.parametrize(
    "relays, canary, found",
    [([0, 1, 2, 3], 2, [[2], [0], [1, 3]]), ([2], 2, [[2]]), ([0, 1], 7, [[0, 1]]), ([], 7, [])],
)
def test_a_change_reaches_one_relay_then_its_zone_then_all(relays, canary, found):
    assert steps(relays, {0: 0, 1: 1, 2: 0, 3: 1}, canary) == found
