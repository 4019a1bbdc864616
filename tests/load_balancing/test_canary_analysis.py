from random import Random

import pytest

from kestrelplank.load_balancing.canary_analysis import (
    CanaryAnalysis,
    CanarySettings,
    CanaryStatus,
    CanaryVerdict,
    rollout_stages,
)

KEEP, UNDO, UNDECIDED = CanaryVerdict


def analyse(seed, before, after, baseline=None, batch=50):
    """Return the verdict and the number of ops needed, for ops that are in time with the given probabilities."""
    random, analysis = Random(seed), CanaryAnalysis(CanarySettings(), before)
    while analysis.verdict == UNDECIDED:
        if baseline is not None:
            analysis.add_baseline(batch, sum(random.random() < baseline for _ in range(batch)))
        analysis.add_canary(batch, sum(random.random() < after for _ in range(batch)))
    return analysis.verdict, analysis.ops


@pytest.mark.parametrize(
    "before, after, verdict, max_error_rate",
    [(0.97, 0.97, KEEP, 0.02), (0.97, 0.95, UNDO, 0.07), (0.97, 0.80, UNDO, 0.0)],
)
def test_error_rates_are_within_the_settings_and_larger_losses_are_found_earlier(
    before, after, verdict, max_error_rate
):
    results = [analyse(seed, before, after) for seed in range(300)]
    assert sum(other != verdict for other, _ in results) <= max_error_rate * 300
    assert sum(ops for _, ops in results) / 300 < (200 if after == 0.80 else 3000)


def test_change_is_not_undone_if_proxies_without_it_are_equally_bad():
    assert sum(analyse(seed, 0.97, 0.80, baseline=0.80)[0] == UNDO for seed in range(100)) <= 2
    assert sum(analyse(seed, 0.97, 0.80)[0] == UNDO for seed in range(20)) == 20


def test_verdict_is_final_and_undecided_without_ops():
    analysis = CanaryAnalysis(CanarySettings(), 0.97)
    assert analysis.status() == CanaryStatus(UNDECIDED, 0, 0, None, None, 0.97)
    assert (
        analysis.add_canary(0, 0) == UNDECIDED
        and analysis.add_canary(400, 200) == UNDO
        and analysis.add_canary(9000, 9000) == UNDO
    )
    assert analysis.status().progress == 1.0 and analysis.status().share_in_time == 0.5


def test_undecided_change_is_kept_after_max_ops():
    analysis = CanaryAnalysis(CanarySettings(relevant_loss=1e-9, max_ops=100), 0.5)
    assert [analysis.add_canary(50, 25), analysis.add_canary(50, 25)] == [UNDECIDED, KEEP]


@pytest.mark.parametrize(
    "proxies, canary, stages",
    [([0, 1, 2, 3], 2, [[2], [0], [1, 3]]), ([2], 2, [[2]]), ([0, 1], 7, [[0, 1]]), ([], 7, [])],
)
def test_rollout_stages_are_canary_then_its_zone_then_the_rest(proxies, canary, stages):
    assert rollout_stages(proxies, {0: 0, 1: 1, 2: 0, 3: 1}, canary) == stages
