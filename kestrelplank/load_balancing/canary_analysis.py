"""Canary analysis: a sequential test of whether a change reduces the share of ops answered in time.

It is the sequential probability ratio test (A. Wald, Sequential Tests of Statistical Hypotheses, 1945) on the
difference of two shares. After each batch it compares the likelihoods of "worse by `relevant_loss`" and of "unchanged",
and ends as soon as one is sufficiently more likely. The error rates are bounded by the settings. The baseline is taken
from proxies that run without the change at the same time, if there are any, so that a general fault is not blamed on
the change.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import log
from typing import NamedTuple

MIN_OPS = 50  # per side; with fewer, a share is not approximately normally distributed
MIN_SHARE = 1e-3  # the pooled share is clamped to MIN_SHARE..1 - MIN_SHARE, as the variance would otherwise be 0


class CanaryVerdict(StrEnum):
    """Whether the change is kept or undone. The values are shown to operators."""

    KEEP = "keep"
    UNDO = "undo"
    UNDECIDED = "wait"


class CanarySettings(NamedTuple):
    """Error rates of the test.

    :param relevant_loss: the decrease in the share of ops in time that counts as a regression.
    :param false_undo_rate: the probability of undoing a harmless change.
    :param missed_rate: the probability of keeping a change that causes a loss of `relevant_loss`.
    :param max_ops: ops under the change after which an undecided change is kept.
    """

    relevant_loss: float = 0.02
    false_undo_rate: float = 0.01
    missed_rate: float = 0.05
    max_ops: int = 50_000


@dataclass(slots=True)
class OpCount:
    """The number of ops on one side of the comparison, and of those answered in time."""

    ops: int = 0
    in_time: int = 0

    def add(self, ops: int, in_time: int) -> None:
        """Add a batch."""
        self.ops += ops
        self.in_time += in_time


@dataclass(frozen=True, slots=True)
class CanaryStatus:
    """The state of the test, for display to operators.

    :param progress: how close the test is to a verdict, from -1 (keep) to 1 (undo); None while there are too few ops.
    :param share_in_time: the share in time of ops with the change; None while there are none.
    :param baseline_share: the share in time of ops without the change, or before it.
    """

    verdict: CanaryVerdict
    ops: int
    baseline_ops: int
    progress: float | None
    share_in_time: float | None
    baseline_share: float


class CanaryAnalysis:
    """The analysis of one change.

    Invariants: a verdict is final (test `test_verdict_is_final_and_undecided_without_ops`); error rates are within the
    settings (test `test_error_rates_are_within_the_settings_and_larger_losses_are_found_earlier`).

    :param share_before: the share of ops in time before the change, the baseline if all proxies have the change.
    """

    def __init__(self, settings: CanarySettings, share_before: float) -> None:
        self._settings, self._share_before = settings, share_before
        self._baseline = OpCount()  # of proxies that run without the change
        self._canary = OpCount()
        self._keep_below = log(settings.missed_rate / (1 - settings.false_undo_rate))
        self._undo_above = log((1 - settings.missed_rate) / settings.false_undo_rate)
        self.verdict = CanaryVerdict.UNDECIDED

    def add_baseline(self, ops: int, in_time: int) -> None:
        """Add ops of proxies that do not have the change yet."""
        self._baseline.add(ops, in_time)

    def add_canary(self, ops: int, in_time: int) -> CanaryVerdict:
        """Add ops under the change; return the verdict."""
        if self.verdict is not CanaryVerdict.UNDECIDED or not ops:
            return self.verdict
        self._canary.add(ops, in_time)
        ratio = self.log_likelihood_ratio()
        if ratio is None:
            return CanaryVerdict.UNDECIDED
        if ratio >= self._undo_above:
            self.verdict = CanaryVerdict.UNDO
        elif ratio <= self._keep_below or self._canary.ops >= self._settings.max_ops:
            self.verdict = CanaryVerdict.KEEP
        return self.verdict

    @property
    def ops(self) -> int:
        """The number of ops under the change so far."""
        return self._canary.ops

    def status(self) -> CanaryStatus:
        """Return the state of the test, for display to operators."""
        ratio = self.log_likelihood_ratio()
        progress = None
        if ratio is not None:
            progress = max(-1.0, min(1.0, ratio / (self._undo_above if ratio > 0 else -self._keep_below)))
        return CanaryStatus(
            verdict=self.verdict,
            ops=self._canary.ops,
            baseline_ops=self._baseline.ops,
            progress=progress,
            share_in_time=self._canary.in_time / self._canary.ops if self._canary.ops else None,
            baseline_share=self._baseline_share(),
        )

    def _baseline_share(self) -> float:
        return self._baseline.in_time / self._baseline.ops if self._baseline.ops else self._share_before

    def log_likelihood_ratio(self) -> float | None:
        """Return the log-likelihood ratio of "worse by `relevant_loss`" to "unchanged".

        It is computed from the difference of the two shares and the variance of that difference. None while there are
        fewer than `MIN_OPS` ops with the change, or fewer in a baseline that has any.
        """
        canary, baseline = self._canary, self._baseline
        if canary.ops < MIN_OPS or 0 < baseline.ops < MIN_OPS:
            return None
        baseline_share = pooled_share = self._baseline_share()
        if baseline.ops:
            pooled_share = (canary.in_time + baseline.in_time) / (canary.ops + baseline.ops)
        pooled_share = min(1 - MIN_SHARE, max(MIN_SHARE, pooled_share))
        inverse_ops = 1 / canary.ops + (1 / baseline.ops if baseline.ops else 0.0)
        variance = pooled_share * (1 - pooled_share) * inverse_ops
        loss, relevant = baseline_share - canary.in_time / canary.ops, self._settings.relevant_loss
        return (relevant * loss - relevant * relevant / 2) / variance


def rollout_stages(proxies: list[int], zones: dict[int, int], canary: int) -> list[list[int]]:
    """Return the stages of a rollout: the canary, then the rest of its zone, then all other proxies.

    Each stage lists only the proxies that it adds. If the canary is not among the proxies, one stage has them all.
    """
    if canary not in proxies:
        return [list(proxies)] if proxies else []
    same_zone = [proxy for proxy in proxies if proxy != canary and zones.get(proxy) == zones.get(canary)]
    others = [proxy for proxy in proxies if proxy != canary and proxy not in same_zone]
    return [stage for stage in ([canary], same_zone, others) if stage]
