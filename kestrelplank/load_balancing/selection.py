"""Which of several candidates takes an op: by weight, the less loaded of two, in turn, or by key."""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from hashlib import blake2b
from math import log
from random import Random

from kestrelplank.load_balancing.weights import WeightedNodes


class SelectionMethod(Enum):
    """How a node is chosen. The values are those of the settings files."""

    RANDOM = "random"
    ROUND_ROBIN = "rotate"
    TWO_CHOICES = "two"
    KEY = "key"


def weighted_random(random: Random, candidates: WeightedNodes) -> int:
    """Return a node at random by weight, in one draw; where there is but one candidate, without a draw."""
    if len(candidates) == 1:
        return candidates[0][0]
    remaining = random.random() * sum(weight for _, weight in candidates)
    for node, weight in candidates:
        remaining -= weight
        if remaining < 0:
            return node
    return candidates[-1][0]  # the sum was rounded up


def less_loaded_of_two(random: Random, candidates: WeightedNodes, in_flight: Mapping[int, int]) -> int:
    """Return of two different nodes drawn by weight the one with fewer of our attempts in flight; of equals the first.

    Source: the power of two choices (M. Mitzenmacher, 2001), with our own attempts in place of the queue's length, as
    nothing else is known.
    """
    first = weighted_random(random, candidates)
    others = [candidate for candidate in candidates if candidate[0] != first]
    if not others:
        return first
    second = weighted_random(random, others)
    return second if in_flight.get(second, 0) < in_flight.get(first, 0) else first


def rendezvous(key: str, candidates: WeightedNodes) -> int:
    """Return the node of a key: the one with the highest of scores drawn from key and node.

    It is the same for the same key, and each node has its share of the keys by weight. When a weight grows, keys only
    move to that node; when it shrinks, only away from it; when a node goes, only its keys move.

    Source: highest random weight (D. Thaler and C. Ravishankar, 1998), weighted as -w / ln(h).
    """

    def score(candidate: tuple[int, float]) -> float:
        digest = blake2b(f"{key}/{candidate[0]}".encode(), digest_size=8).digest()
        return candidate[1] / -log((int.from_bytes(digest) + 1) / (2**64 + 2))

    return max(candidates, key=score)[0]


def nearest(candidates: WeightedNodes, zone_of: Callable[[int], int], zones: Sequence[int]) -> WeightedNodes:
    """Return the candidates in the first zone, in that order of preference, that has any; all where none has."""
    for zone in zones:
        in_zone = [candidate for candidate in candidates if zone_of(candidate[0]) == zone]
        if in_zone:
            return in_zone
    return candidates


class WeightedRoundRobin:
    """Selects nodes in turn, evenly by weight.

    Each selection adds its weight to every node's credit, and the node with most credit gives up what all have got.
    Over any number of selections each node is within one of its share, for each other node (test
    `test_in_turn_each_node_is_within_a_selection_of_its_share_for_each_other_node`).
    """

    def __init__(self) -> None:
        self._credit: dict[int, float] = {}

    def select(self, candidates: WeightedNodes) -> int:
        """Return the node whose turn it is."""
        total = sum(weight for _, weight in candidates)
        self._credit = {node: self._credit.get(node, 0.0) + weight for node, weight in candidates}
        selected = max(self._credit, key=lambda node: (self._credit[node], -node))
        self._credit[selected] -= total
        return selected
