"""Whether service got worse after a change: a sequential test of ops in time before and after, with stated error rates.

The test is Wald's (A. Wald, 1945) on the difference of two shares: after each batch the likelihood of "worse by as much
as matters" is held against "as before", and it ends as soon as either is likely enough. So a change that harms is
undone early, and one that does not is not undone by chance more often than `false_undo`. On a day that is bad anyway,
relays that do not have the change yet say so: they are what "before" is taken from, as long as there are any.
"""

from math import log
from typing import NamedTuple

KEEP, UNDO, WAIT = "keep", "undo", "wait"
LEAST_OPS = 50  # on either side, from which shares are about normal
LEAST = 1e-3  # a share of ops in time is held between this and 1 less this: nothing is ever certain


class Terms(NamedTuple):
    """`matters`: by how much of the ops in time less counts as worse. `false_undo` and `missed`: how often a change
    that harms nothing may be undone, and one that harms so much be kept. `most`: ops after which an undecided change is
    kept, as it harms less than matters if it harms at all."""

    matters: float = 0.02
    false_undo: float = 0.01
    missed: float = 0.05
    most: int = 50_000


class Gate:
    """One change under watch. Ops without the change go in as `without`, ops with it as `with_it`."""

    def __init__(self, terms: Terms, in_time: float) -> None:
        """`in_time`: the share of ops in time before the change, held against where nobody is left without it."""
        self._terms, self._before = terms, in_time
        self._others = [0, 0]  # ops of relays without the change meanwhile: all, in time
        self._mine = [0, 0]
        self._low = log(terms.missed / (1 - terms.false_undo))
        self._high = log((1 - terms.missed) / terms.false_undo)
        self.verdict = WAIT

    def without(self, ops: int, in_time: int) -> None:
        """So many ops of relays that do not use the change yet, and how many of them were in time."""
        self._others[0] += ops
        self._others[1] += in_time

    def with_it(self, ops: int, in_time: int) -> str:
        """A batch of ops under the change. Returns keep, undo or wait; what was decided stays."""
        if self.verdict != WAIT or not ops:
            return self.verdict
        self._mine[0] += ops
        self._mine[1] += in_time
        ratio = self.ratio()
        if ratio is None:
            return WAIT
        if ratio >= self._high:
            self.verdict = UNDO
        elif ratio <= self._low or self._mine[0] >= self._terms.most:
            self.verdict = KEEP
        return self.verdict

    @property
    def ops(self) -> int:
        return self._mine[0]

    def shown(self) -> dict:
        """What an operator is told: verdict, ops on either side, their shares in time, and how near either end is (from
        -1, kept, to 1, undone; None while too few ops are in)."""
        ratio = self.ratio()
        near = None if ratio is None else max(-1.0, min(1.0, ratio / (self._high if ratio > 0 else -self._low)))
        return {
            "verdict": self.verdict,
            "ops": self._mine[0],
            "others": self._others[0],
            "near": near,
            "in_time": self._mine[1] / self._mine[0] if self._mine[0] else None,
            "usual": self._others[1] / self._others[0] if self._others[0] else self._before,
        }

    def ratio(self) -> float | None:
        """The logarithm of how much likelier "worse by what matters" is than "as before", from the difference of the
        two shares and its variance, which counts both; None while too few ops are in for either."""
        ops, good = self._mine
        others, theirs = self._others
        if ops < LEAST_OPS or 0 < others < LEAST_OPS:
            return None
        usual = theirs / others if others else self._before
        pooled = (good + theirs) / (ops + others) if others else usual
        pooled = min(1 - LEAST, max(LEAST, pooled))
        variance = pooled * (1 - pooled) * (1 / ops + (1 / others if others else 0.0))
        matters = self._terms.matters
        return (matters * (usual - good / ops) - matters * matters / 2) / variance


def steps(relays: list[int], zones: dict[int, int], canary: int) -> list[list[int]]:
    """Whom a change reaches, step by step: one relay, then the rest of its zone, then all; `canary` is the relay that
    goes first. Each step holds only those that are new to it."""
    if canary not in relays:
        return [list(relays)] if relays else []
    zone = [relay for relay in relays if relay != canary and zones.get(relay) == zones.get(canary)]
    rest = [relay for relay in relays if relay != canary and relay not in zone]
    return [step for step in ([canary], zone, rest) if step]
