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


def judge(seed, before, after, others=None, batch=50):
    """The verdict, and after how many ops, on ops in time with those chances."""
    random, analysis = Random(seed), CanaryAnalysis(CanarySettings(), before)
    while analysis.verdict == UNDECIDED:
        if others is not None:
            analysis.add_baseline(batch, sum(random.random() < others for _ in range(batch)))
        analysis.add_canary(batch, sum(random.random() < after for _ in range(batch)))
    return analysis.verdict, analysis.ops


@pytest.mark.parametrize(
    "before, after, verdict, most", [(0.97, 0.97, KEEP, 0.02), (0.97, 0.95, UNDO, 0.07), (0.97, 0.80, UNDO, 0.0)]
)
def test_errors_stay_within_what_was_stated_and_the_worse_the_earlier(before, after, verdict, most):
    judged = [judge(seed, before, after) for seed in range(300)]
    assert sum(other != verdict for other, _ in judged) <= most * 300
    assert sum(ops for _, ops in judged) / 300 < (200 if after == 0.80 else 3000)


def test_a_day_that_is_bad_anyway_is_no_reason_to_undo():
    assert sum(judge(seed, 0.97, 0.80, others=0.80)[0] == UNDO for seed in range(100)) <= 2
    assert sum(judge(seed, 0.97, 0.80)[0] == UNDO for seed in range(20)) == 20


def test_a_verdict_stays_and_without_ops_there_is_none():
    analysis = CanaryAnalysis(CanarySettings(), 0.97)
    assert analysis.status() == CanaryStatus(UNDECIDED, 0, 0, None, None, 0.97)
    assert (
        analysis.add_canary(0, 0) == UNDECIDED
        and analysis.add_canary(400, 200) == UNDO
        and analysis.add_canary(9000, 9000) == UNDO
    )
    assert analysis.status().progress == 1.0 and analysis.status().share_in_time == 0.5


def test_an_undecided_change_is_kept_in_the_end():
    analysis = CanaryAnalysis(CanarySettings(relevant_loss=1e-9, max_ops=100), 0.5)
    assert [analysis.add_canary(50, 25), analysis.add_canary(50, 25)] == [UNDECIDED, KEEP]


@pytest.mark.parametrize(
    "proxies, canary, stages",
    [([0, 1, 2, 3], 2, [[2], [0], [1, 3]]), ([2], 2, [[2]]), ([0, 1], 7, [[0, 1]]), ([], 7, [])],
)
def test_a_change_reaches_one_proxy_then_its_zone_then_all(proxies, canary, stages):
    assert rollout_stages(proxies, {0: 0, 1: 1, 2: 0, 3: 1}, canary) == stages
