"""Node selection: weighted random, weighted round robin, power of two choices, and rendezvous hashing."""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from hashlib import blake2b
from math import log
from random import Random

from kestrelplank.load_balancing.weights import WeightedNodes


class SelectionMethod(Enum):
    """How a node is selected. The values are those of the settings files."""

    RANDOM = "random"
    ROUND_ROBIN = "rotate"
    TWO_CHOICES = "two"
    KEY = "key"


def weighted_random(random: Random, candidates: WeightedNodes) -> int:
    """Return a random node by weight, with one draw, or without a draw if there is only one candidate."""
    if len(candidates) == 1:
        return candidates[0][0]
    remaining = random.random() * sum(weight for _, weight in candidates)
    for node, weight in candidates:
        remaining -= weight
        if remaining < 0:
            return node
    return candidates[-1][0]  # reached only if rounding made the sum too large


def less_loaded_of_two(random: Random, candidates: WeightedNodes, in_flight: Mapping[int, int]) -> int:
    """Draw two different nodes by weight; return the one with fewer attempts in flight, of equals the first.

    Source: the power of two choices (M. Mitzenmacher, 2001), with this proxy's own attempts in flight in place of the
    queue length, which it does not know.
    """
    first = weighted_random(random, candidates)
    others = [candidate for candidate in candidates if candidate[0] != first]
    if not others:
        return first
    second = weighted_random(random, others)
    return second if in_flight.get(second, 0) < in_flight.get(first, 0) else first


def rendezvous(key: str, candidates: WeightedNodes) -> int:
    """Return the node of a key by rendezvous hashing: the node with the highest hash score for the key.

    A key always maps to the same node, and each node has a share of the keys by weight. When a weight increases, keys
    move only to that node; when it decreases, only away from it; when a node is removed, only its keys move.

    Source: highest random weight (D. Thaler and C. Ravishankar, 1998), weighted as -w / ln(h).
    """

    def score(candidate: tuple[int, float]) -> float:
        digest = blake2b(f"{key}/{candidate[0]}".encode(), digest_size=8).digest()
        return candidate[1] / -log((int.from_bytes(digest) + 1) / (2**64 + 2))

    return max(candidates, key=score)[0]


def nearest(candidates: WeightedNodes, zone_of: Callable[[int], int], zones: Sequence[int]) -> WeightedNodes:
    """Return the candidates of the first of `zones` that has any, or all candidates if none has."""
    for zone in zones:
        in_zone = [candidate for candidate in candidates if zone_of(candidate[0]) == zone]
        if in_zone:
            return in_zone
    return candidates


class WeightedRoundRobin:
    """Smooth weighted round robin.

    Each selection adds to every node's credit its weight; the node with the most credit is selected and pays the sum
    of all weights. After any number of selections, each node's count differs from its share by less than the number
    of other nodes, or by less than one if it is alone (test
    `test_round_robin_counts_differ_from_shares_by_less_than_the_number_of_other_nodes`).
    """

    def __init__(self) -> None:
        self._credit: dict[int, float] = {}

    def select(self, candidates: WeightedNodes) -> int:
        """Return the next node."""
        total = sum(weight for _, weight in candidates)
        self._credit = {node: self._credit.get(node, 0.0) + weight for node, weight in candidates}
        selected = max(self._credit, key=lambda node: (self._credit[node], -node))
        self._credit[selected] -= total
        return selected
