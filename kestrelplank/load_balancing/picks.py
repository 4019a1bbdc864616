"""Which of several lines takes an op: by weight, the less loaded of two, or in turn. No line's weight is 0."""

from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from math import log
from random import Random

Lines = Sequence[tuple[int, float]]


def weighted(random: Random, lines: Lines) -> int:
    """A node at random by weight, in one draw. Of one line no chance is drawn."""
    if len(lines) == 1:
        return lines[0][0]
    left = random.random() * sum(weight for _, weight in lines)
    for node, weight in lines:
        left -= weight
        if left < 0:
            return node
    return lines[-1][0]  # the sum was rounded up


def less_loaded(random: Random, lines: Lines, own: Mapping[int, int]) -> int:
    """Of two different nodes drawn by weight, the one with fewer of our own ops out; the first of equals.

    Source: the power of two choices (M. Mitzenmacher, 2001), with own ops for the queue, as nothing else is known."""
    first = weighted(random, lines)
    others = [line for line in lines if line[0] != first]
    if not others:
        return first
    second = weighted(random, others)
    return second if own.get(second, 0) < own.get(first, 0) else first


def rendezvous(key: str, lines: Lines) -> int:
    """The same node for the same key, each node with its part of the keys by weight: the highest of scores drawn from
    key and node. When a weight grows keys only move to that node, when it shrinks only away from it, and when a line
    goes only its keys move.

    Source: highest random weight (D. Thaler and C. Ravishankar, 1998), weighted as -w / ln(h)."""

    def score(line: tuple[int, float]) -> float:
        digest = blake2b(f"{key}/{line[0]}".encode(), digest_size=8).digest()
        return line[1] / -log((int.from_bytes(digest) + 1) / (2**64 + 2))

    return max(lines, key=score)[0]


def nearest(lines: Lines, zone_of: Callable[[int], int], zones: Sequence[int]) -> Lines:
    """The lines of the first zone, in that order of preference, that has any; all where none of them has."""
    for zone in zones:
        found = [line for line in lines if zone_of(line[0]) == zone]
        if found:
            return found
    return lines


class WeightedRoundRobin:
    """In turn, evenly by weight: each pick adds its weight to every line's credit, and the line with most gives up
    what all got. Over any stretch each line is within one pick of its part."""

    def __init__(self) -> None:
        self._credit: dict[int, float] = {}

    def pick(self, lines: Lines) -> int:
        total = sum(weight for _, weight in lines)
        self._credit = {node: self._credit.get(node, 0.0) + weight for node, weight in lines}
        node = max(self._credit, key=lambda node: (self._credit[node], -node))
        self._credit[node] -= total
        return node
