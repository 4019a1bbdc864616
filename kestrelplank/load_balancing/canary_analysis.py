"""Whether service got worse after a change: a sequential test of ops in time before and after, with stated error rates.

The test is Wald's (A. Wald, Sequential Tests of Statistical Hypotheses, 1945) on the difference of two shares: after
each batch the likelihood of "worse by as much as matters" is held against that of "as before", and it ends as soon as
either is likely enough. So a change that harms is undone early, and one that does not is not undone by chance more
often than `false_undo_rate`. On a day that is bad anyway, proxies without the change show it: they are what "before" is
taken from, as long as there are any.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import log
from typing import NamedTuple

MIN_OPS = 50  # on either side, from which shares are about normally distributed
MIN_SHARE = 1e-3  # a share of ops in time is held between this and 1 less this: nothing is ever certain


class CanaryVerdict(StrEnum):
    """What becomes of the change. The values are shown to operators."""

    KEEP = "keep"
    UNDO = "undo"
    UNDECIDED = "wait"


class CanarySettings(NamedTuple):
    """Error rates of the test.

    :param relevant_loss: by how much a smaller share of ops in time counts as worse.
    :param false_undo_rate: how often a change that harms nothing may be undone.
    :param missed_rate: how often a change that harms by `relevant_loss` may be kept.
    :param max_ops: after so many an undecided change is kept, as it harms by less than that if it harms at all.
    """

    relevant_loss: float = 0.02
    false_undo_rate: float = 0.01
    missed_rate: float = 0.05
    max_ops: int = 50_000


@dataclass(slots=True)
class OpCount:
    """Ops of one side, and how many of them were answered in time."""

    ops: int = 0
    in_time: int = 0

    def add(self, ops: int, in_time: int) -> None:
        """Count a batch."""
        self.ops += ops
        self.in_time += in_time


@dataclass(frozen=True, slots=True)
class CanaryStatus:
    """The state of the test for an operator.

    :param progress: how near either verdict is, from -1 (kept) to 1 (undone); None while too few ops are in.
    :param share_in_time: of ops with the change; None while there are none.
    :param baseline_share: of ops without it, or before it.
    """

    verdict: CanaryVerdict
    ops: int
    baseline_ops: int
    progress: float | None
    share_in_time: float | None
    baseline_share: float


class CanaryAnalysis:
    """The judgement of one change.

    Invariants: a verdict stays (test `test_a_verdict_stays_and_without_ops_there_is_none`); error rates are within what
    the settings state (test `test_errors_stay_within_what_was_stated_and_the_worse_the_earlier`).

    :param share_before: the share of ops in time before the change, used where no proxy is left without it.
    """

    def __init__(self, settings: CanarySettings, share_before: float) -> None:
        self._settings, self._share_before = settings, share_before
        self._baseline = OpCount()  # of proxies without the change, meanwhile
        self._canary = OpCount()
        self._keep_below = log(settings.missed_rate / (1 - settings.false_undo_rate))
        self._undo_above = log((1 - settings.missed_rate) / settings.false_undo_rate)
        self.verdict = CanaryVerdict.UNDECIDED

    def add_baseline(self, ops: int, in_time: int) -> None:
        """Count ops of proxies that do not use the change yet."""
        self._baseline.add(ops, in_time)

    def add_canary(self, ops: int, in_time: int) -> CanaryVerdict:
        """Count ops under the change; return the verdict."""
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
        """Ops under the change so far."""
        return self._canary.ops

    def status(self) -> CanaryStatus:
        """Return the state of the test for an operator."""
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
        """Return the logarithm of how much likelier "worse by what matters" is than "as before".

        It is taken from the difference of the two shares and its variance, which counts both sides. None while too few
        ops are in for either.
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
    """Return the proxies that a change reaches, stage by stage: the canary, then the rest of its zone, then all others.

    Each stage holds only those that are new to it; a canary that is not among the proxies leaves one stage of all.
    """
    if canary not in proxies:
        return [list(proxies)] if proxies else []
    same_zone = [proxy for proxy in proxies if proxy != canary and zones.get(proxy) == zones.get(canary)]
    others = [proxy for proxy in proxies if proxy != canary and proxy not in same_zone]
    return [stage for stage in ([canary], same_zone, others) if stage]
