"""Which node holds each key block, ahead of time: the placement whose fullest node is the least full, under limits on
what a node may hold and on each zone's share. Loads and capacities are in one unit, work a second for instance.

Small instances are solved exactly by branch and bound, larger ones by longest load first (R. Graham's bound of 1969 for
equal machines) and then by moves and swaps until none helps. What can't be met is said, never approximated in silence.
"""

from collections.abc import Sequence
from typing import NamedTuple

EXACT = 6**10  # ways to place, up to which the answer is exact
STEPS = 400_000  # of the search, after which the best so far is taken and said not to be proved
ROUNDS = 50  # of moves and swaps
TINY = 1e-12


class Node(NamedTuple):
    """What a node can do, its zone, and the most blocks it may hold (None: any number). Capacity 0 takes nothing."""

    capacity: float
    zone: int = 0
    blocks: int | None = None


class Placement(NamedTuple):
    """`where`: by block its node, None where there is no place for it; `peak`: the load of the fullest node over its
    capacity; `unplaced`: load without a place; `exact`: whether no other placement can be better; `why`: what could not
    be met, empty where all was."""

    where: tuple[int | None, ...]
    peak: float
    unplaced: float
    exact: bool
    why: str


def peak_of(loads: Sequence[float], nodes: Sequence[Node], where: Sequence[int | None]) -> float:
    """The load of the fullest node over its capacity."""
    held = [0.0] * len(nodes)
    for block, node in enumerate(where):
        if node is not None:
            held[node] += loads[block]
    return max((load / node.capacity for load, node in zip(held, nodes) if node.capacity > 0), default=0.0)


def place(
    loads: Sequence[float], nodes: Sequence[Node], most: float | None = None, zone_share: float = 1.0
) -> Placement:
    """Places every block. `most`: no node is filled over that share of its capacity; what does not fit then is left
    without a place, the largest blocks first to find one. `zone_share`: no zone holds more than that share of all load.

    Of equal placements the one whose blocks, the heaviest first, stand on the lowest nodes is taken: the same every
    time, whatever else has been asked before."""
    order = sorted(range(len(loads)), key=lambda block: (-loads[block], block))
    usable = [number for number, node in enumerate(nodes) if node.capacity > 0 and node.blocks != 0]
    total = sum(loads)
    if not usable:
        return Placement((None,) * len(loads), 0.0, total, True, "no node can take anything" if loads else "")
    state = State(loads, nodes, most, zone_share * total + TINY * max(1.0, total))
    if len(usable) ** len(loads) <= EXACT:
        best, steps = state.search(order, usable)
        exact = steps <= STEPS
    else:
        best, exact = state.improve(order, usable, state.greedy(order, usable)), False
    unplaced = sum(loads[block] for block, node in enumerate(best) if node is None)
    why = ""
    if unplaced > 0 or None in best:
        missing = [block for block, node in enumerate(best) if node is None]
        why = f"{len(missing)} of {len(loads)} blocks have no place, {unplaced:g} of {total:g} load: "
        why += state.reason(missing)
    return Placement(tuple(best), peak_of(loads, nodes, best), unplaced, exact, why)


class State:
    """Loads held while blocks are placed and taken away again."""

    def __init__(self, loads: Sequence[float], nodes: Sequence[Node], most: float | None, zone_most: float) -> None:
        self._loads, self._nodes, self._most, self._zone_most = loads, nodes, most, zone_most
        self._held = [0.0] * len(nodes)
        self._blocks = [0] * len(nodes)
        self._zones: dict[int, float] = {}

    def _fits(self, block: int, node: int) -> bool:
        load, kind = self._loads[block], self._nodes[node]
        if kind.blocks is not None and self._blocks[node] >= kind.blocks:
            return False
        if self._zones.get(kind.zone, 0.0) + load > self._zone_most:
            return False
        return self._most is None or self._held[node] + load <= self._most * kind.capacity * (1 + TINY)

    def _put(self, block: int, node: int, sign: int) -> None:
        load, zone = self._loads[block] * sign, self._nodes[node].zone
        self._held[node] += load
        self._blocks[node] += sign
        self._zones[zone] = self._zones.get(zone, 0.0) + load
        if not self._blocks[node]:
            self._held[node] = 0.0  # so that nothing is left of a sum taken away again

    def _fill(self, block: int, node: int) -> float:
        return (self._held[node] + self._loads[block]) / self._nodes[node].capacity

    def reason(self, missing: list[int]) -> str:
        """Which limit stands in the way of the first block without a place."""
        block = missing[0]
        if all(node.blocks is not None and held >= node.blocks for node, held in zip(self._nodes, self._blocks)):
            return "all nodes hold as many blocks as they may"
        if self._loads[block] > self._zone_most:
            return f"block {block} alone is more than a zone may hold"
        if self._most is not None and all(self._loads[block] > self._most * node.capacity for node in self._nodes):
            return f"block {block} alone is more than any node may hold"
        return "capacity, blocks a node and zone shares together leave no room"

    # Exact.

    def search(self, order: list[int], usable: list[int]) -> tuple[list[int | None], int]:
        """The best by (unplaced load, peak, nodes in the order of blocks), and how many steps it took."""
        best_where = self.greedy(order, usable)
        best = self._key(order, best_where)
        for block, node in enumerate(best_where):
            if node is not None:
                self._put(block, node, -1)
        left = [0.0] * (len(order) + 1)
        for place in reversed(range(len(order))):
            left[place] = left[place + 1] + self._loads[order[place]]
        capacity = sum(self._nodes[node].capacity for node in usable)
        where: list[int | None] = [None] * len(order)
        steps = 0

        def go(place: int, unplaced: float, peak: float) -> None:
            nonlocal best, best_where, steps
            steps += 1
            if steps > STEPS:
                return
            # What is left, spread evenly over all, fills nobody less than this.
            whole = not unplaced and self._most is None
            floor = max(peak, (sum(self._held) + left[place]) / capacity) if whole else peak
            if unplaced > best[0] + TINY or unplaced >= best[0] - TINY and floor > best[1] * (1 + 1e-9):
                return
            if place == len(order):
                key = self._key(order, where)
                if self._better(key, best):
                    best, best_where = key, list(where)
                return
            block = order[place]
            seen: dict[tuple, None] = {}
            for node in usable:
                kind = self._nodes[node]
                same = (self._held[node], self._blocks[node], kind)  # of equal nodes with equal loads one is enough
                if same in seen or not self._fits(block, node):
                    continue
                seen[same] = None
                fill = self._fill(block, node)
                self._put(block, node, 1)
                where[block] = node
                go(place + 1, unplaced, max(peak, fill))
                where[block] = None
                self._put(block, node, -1)
            if self._most is not None or not seen:
                go(place + 1, unplaced + self._loads[block], peak)

        go(0, 0.0, 0.0)
        for block, node in enumerate(best_where):
            if node is not None:
                self._put(block, node, 1)
        return best_where, steps

    def _key(self, order: list[int], where: Sequence[int | None]) -> tuple:
        unplaced = sum(self._loads[block] for block in order if where[block] is None)
        nodes = tuple(len(self._nodes) if where[block] is None else where[block] for block in order)
        return unplaced, peak_of(self._loads, self._nodes, where), nodes

    def _better(self, key: tuple, best: tuple) -> bool:
        if abs(key[0] - best[0]) > TINY:
            return key[0] < best[0]
        if abs(key[1] - best[1]) > 1e-9 * max(1.0, best[1]):
            return key[1] < best[1]
        return key[2] < best[2]

    # Larger.

    def greedy(self, order: list[int], usable: list[int]) -> list[int | None]:
        """Heaviest first, each where it leaves its node the least full."""
        where: list[int | None] = [None] * len(order)
        for block in order:
            fits = [node for node in usable if self._fits(block, node)]
            if fits:
                where[block] = min(fits, key=lambda node: (self._fill(block, node), node))
                self._put(block, where[block], 1)
        return where

    def improve(self, order: list[int], usable: list[int], where: list[int | None]) -> list[int | None]:
        """Moves a block off the fullest node, or swaps one of its for a lighter one, as long as that node gets emptier
        and no other as full."""
        for _ in range(ROUNDS * len(usable)):
            fullest = max(usable, key=lambda node: (self._held[node] / self._nodes[node].capacity, -node))
            peak = self._held[fullest] / self._nodes[fullest].capacity
            if not (self._move(order, usable, where, fullest, peak) or self._swap(order, where, fullest, peak)):
                break
        return where

    def _move(self, order: list[int], usable: list[int], where: list[int | None], fullest: int, peak: float) -> bool:
        for block in order:
            if where[block] != fullest:
                continue
            self._put(block, fullest, -1)
            fits = [
                node
                for node in usable
                if node != fullest and self._fits(block, node) and self._fill(block, node) < peak * (1 - 1e-9)
            ]
            if fits:
                where[block] = min(fits, key=lambda node: (self._fill(block, node), node))
                self._put(block, where[block], 1)
                return True
            self._put(block, fullest, 1)
        return False

    def _swap(self, order: list[int], where: list[int | None], fullest: int, peak: float) -> bool:
        mine = [block for block in order if where[block] == fullest]
        for block in mine:
            for other in reversed(order):
                node = where[other]
                if node is None or node == fullest or self._loads[other] >= self._loads[block]:
                    continue
                self._put(block, fullest, -1)
                self._put(other, node, -1)
                if (
                    self._fits(block, node)
                    and self._fits(other, fullest)
                    and self._fill(block, node) < peak * (1 - 1e-9)
                ):
                    self._put(block, node, 1)
                    self._put(other, fullest, 1)
                    where[block], where[other] = node, fullest
                    return True
                self._put(block, fullest, 1)
                self._put(other, node, 1)
        return False
