"""Which of several lines takes an op: by weight, the idler of two, or in turn. No line's weight is 0."""

from collections.abc import Mapping, Sequence
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


def idler(random: Random, lines: Lines, own: Mapping[int, int]) -> int:
    """Of two different nodes drawn by weight, the one with fewer of our own ops out; the first of equals.

    Source: the power of two choices (M. Mitzenmacher, 2001), with own ops for the queue, as nothing else is known."""
    first = weighted(random, lines)
    others = [line for line in lines if line[0] != first]
    if not others:
        return first
    second = weighted(random, others)
    return second if own.get(second, 0) < own.get(first, 0) else first


class Rotation:
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
