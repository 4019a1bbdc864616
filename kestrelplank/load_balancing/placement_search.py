"""Search algorithms for `placement`: branch and bound for small instances, longest load first for large ones."""

from collections.abc import Sequence
from typing import NamedTuple

MAX_SEARCH_STEPS = 400_000  # after which the best placement found so far is returned as not proved optimal
MAX_ROUNDS = 50  # limit on moves and swaps, per node
ROUNDING = 1e-12  # tolerance for rounding errors
IMPROVEMENT = 1e-9  # minimal relative decrease of the peak that counts as an improvement

Assignment = list[int | None]  # the node of each block


class Node(NamedTuple):
    """A node's limits. Capacity 0 accepts no blocks; `max_blocks` None means no limit on their number."""

    capacity: float
    zone: int = 0
    max_blocks: int | None = None


class Rank(NamedTuple):
    """The ranking of a placement, compared field by field."""

    unplaced_load: float
    peak: float
    nodes: tuple[int, ...]  # of blocks in order of decreasing load

    def is_better_than(self, other: "Rank") -> bool:
        """Whether this placement is better, with a tolerance for rounding errors."""
        if abs(self.unplaced_load - other.unplaced_load) > ROUNDING:
            return self.unplaced_load < other.unplaced_load
        if abs(self.peak - other.peak) > IMPROVEMENT * max(1.0, other.peak):
            return self.peak < other.peak
        return self.nodes < other.nodes


def peak_load(loads: Sequence[float], nodes: Sequence[Node], assignment: Sequence[int | None]) -> float:
    """Return the load of the fullest node divided by its capacity."""
    node_loads = [0.0] * len(nodes)
    for block, node in enumerate(assignment):
        if node is not None:
            node_loads[node] += loads[block]
    return max((load / node.capacity for load, node in zip(node_loads, nodes) if node.capacity > 0), default=0.0)


class PartialPlacement:
    """The loads of nodes and zones while blocks are added and removed.

    :param max_fill: the share of its capacity up to which a node may be filled; None for no bound.
    """

    def __init__(
        self, loads: Sequence[float], nodes: Sequence[Node], max_fill: float | None, max_zone_load: float
    ) -> None:
        self.loads, self.nodes, self.max_fill = loads, nodes, max_fill
        self._max_zone_load = max_zone_load
        self.node_loads = [0.0] * len(nodes)
        self.block_counts = [0] * len(nodes)
        self._zone_loads: dict[int, float] = {}

    def fits(self, block: int, node: int) -> bool:
        """Whether all limits allow the block on that node."""
        load, target = self.loads[block], self.nodes[node]
        if target.max_blocks is not None and self.block_counts[node] >= target.max_blocks:
            return False
        if self._zone_loads.get(target.zone, 0.0) + load > self._max_zone_load:
            return False
        if self.max_fill is None:
            return True
        return self.node_loads[node] + load <= self.max_fill * target.capacity * (1 + ROUNDING)

    def add(self, block: int, node: int) -> None:
        """Add the block to the node."""
        self._change(node, self.loads[block], 1)

    def remove(self, block: int, node: int) -> None:
        """Remove the block from the node."""
        self._change(node, self.loads[block] * -1, -1)

    def _change(self, node: int, load: float, blocks: int) -> None:
        zone = self.nodes[node].zone
        self.node_loads[node] += load
        self.block_counts[node] += blocks
        self._zone_loads[zone] = self._zone_loads.get(zone, 0.0) + load
        if not self.block_counts[node]:
            self.node_loads[node] = 0.0  # clears rounding errors of earlier sums

    def fill_with(self, block: int, node: int) -> float:
        """Return the node's load divided by its capacity if the block were added."""
        return (self.node_loads[node] + self.loads[block]) / self.nodes[node].capacity

    def fill(self, node: int) -> float:
        """Return the node's load divided by its capacity."""
        return self.node_loads[node] / self.nodes[node].capacity

    def rank(self, order: Sequence[int], assignment: Sequence[int | None]) -> Rank:
        """Return the rank of the placement."""
        unplaced_load = sum(self.loads[block] for block in order if assignment[block] is None)
        by_block = (assignment[block] for block in order)
        nodes = tuple(len(self.nodes) if node is None else node for node in by_block)
        return Rank(unplaced_load, peak_load(self.loads, self.nodes, assignment), nodes)

    def obstacle(self, block: int) -> str:
        """Return the limit that prevents a block from being placed."""
        full = (
            node.max_blocks is not None and count >= node.max_blocks
            for node, count in zip(self.nodes, self.block_counts)
        )
        if all(full):
            return "all nodes hold as many blocks as they may"
        if self.loads[block] > self._max_zone_load:
            return f"block {block} alone is more than a zone may hold"
        max_fill = self.max_fill
        if max_fill is not None and all(self.loads[block] > max_fill * node.capacity for node in self.nodes):
            return f"block {block} alone is more than any node may hold"
        return "capacity, blocks a node and zone shares together leave no room"


class ExactSearch:
    """Branch and bound over all placements; the lower bound is the mean fill of all nodes.

    :param order: the blocks in the order in which they are placed.
    :param usable: the nodes that accept blocks.
    """

    def __init__(self, partial: PartialPlacement, order: Sequence[int], usable: Sequence[int]) -> None:
        self._partial, self._order, self._usable = partial, order, usable
        self._capacity = sum(partial.nodes[node].capacity for node in usable)
        self._remaining_load = [0.0] * (len(order) + 1)  # load of the blocks from each position on
        for position in reversed(range(len(order))):
            load = partial.loads[order[position]]
            self._remaining_load[position] = self._remaining_load[position + 1] + load
        self._assignment: Assignment = [None] * len(order)
        self.steps = 0

    def run(self) -> Assignment:
        """Return the best placement and apply it to the partial placement; `steps` counts the search steps."""
        self._best = longest_load_first(self._partial, self._order, self._usable)
        self._best_rank = self._partial.rank(self._order, self._best)
        for block, node in enumerate(self._best):
            if node is not None:
                self._partial.remove(block, node)
        self._place_from(0, 0.0, 0.0)
        for block, node in enumerate(self._best):
            if node is not None:
                self._partial.add(block, node)
        return self._best

    def _place_from(self, position: int, unplaced_load: float, peak: float) -> None:
        """Try all placements of the blocks from that position on."""
        self.steps += 1
        if self.steps > MAX_SEARCH_STEPS or not self._can_improve(position, unplaced_load, peak):
            return
        if position == len(self._order):
            rank = self._partial.rank(self._order, self._assignment)
            if rank.is_better_than(self._best_rank):
                self._best_rank, self._best = rank, list(self._assignment)
            return
        tried = self._place_on_each_node(position, unplaced_load, peak)
        if self._partial.max_fill is not None or not tried:
            load = self._partial.loads[self._order[position]]
            self._place_from(position + 1, unplaced_load + load, peak)

    def _can_improve(self, position: int, unplaced_load: float, peak: float) -> bool:
        best = self._best_rank
        if not unplaced_load and self._partial.max_fill is None:
            # Even if the remaining load were spread evenly, the fullest node would be at least this full.
            total = sum(self._partial.node_loads) + self._remaining_load[position]
            peak = max(peak, total / self._capacity)
        if unplaced_load > best.unplaced_load + ROUNDING:
            return False
        return unplaced_load < best.unplaced_load - ROUNDING or peak <= best.peak * (1 + IMPROVEMENT)

    def _place_on_each_node(self, position: int, unplaced_load: float, peak: float) -> bool:
        """Try the block at that position on every node where it fits; return whether it fits on any."""
        partial, block = self._partial, self._order[position]
        tried: set[tuple[float, int, Node]] = set()
        for node in self._usable:
            # Of identical nodes with identical loads, trying one is enough.
            equivalent = (partial.node_loads[node], partial.block_counts[node], partial.nodes[node])
            if equivalent in tried or not partial.fits(block, node):
                continue
            tried.add(equivalent)
            fill = partial.fill_with(block, node)
            partial.add(block, node)
            self._assignment[block] = node
            self._place_from(position + 1, unplaced_load, max(peak, fill))
            self._assignment[block] = None
            partial.remove(block, node)
        return bool(tried)


def longest_load_first(partial: PartialPlacement, order: Sequence[int], usable: Sequence[int]) -> Assignment:
    """Place the blocks in order, each on the node that is least full with it."""
    assignment: Assignment = [None] * len(order)
    for block in order:
        fitting = [node for node in usable if partial.fits(block, node)]
        if fitting:
            _assign_to_least_full(partial, assignment, block, fitting)
    return assignment


def _assign_to_least_full(
    partial: PartialPlacement, assignment: Assignment, block: int, candidates: Sequence[int]
) -> None:
    node = min(candidates, key=lambda candidate: (partial.fill_with(block, candidate), candidate))
    assignment[block] = node
    partial.add(block, node)


def improve(
    partial: PartialPlacement, order: Sequence[int], usable: Sequence[int], assignment: Assignment
) -> Assignment:
    """Move a block off the fullest node, or swap one for a lighter block of another node, until neither helps.

    A change is made only if the other node stays less full than the fullest node was.
    """
    for _ in range(MAX_ROUNDS * len(usable)):
        fullest = max(usable, key=lambda node: (partial.fill(node), -node))
        fill_limit = partial.fill(fullest) * (1 - IMPROVEMENT)
        moved = _move_off(partial, order, usable, assignment, fullest, fill_limit)
        if not (moved or _swap_off(partial, order, assignment, fullest, fill_limit)):
            break
    return assignment


def _move_off(
    partial: PartialPlacement,
    order: Sequence[int],
    usable: Sequence[int],
    assignment: Assignment,
    fullest: int,
    fill_limit: float,
) -> bool:
    """Move one block of the fullest node to a node that stays below `fill_limit`; return whether it was done."""
    for block in order:
        if assignment[block] != fullest:
            continue
        partial.remove(block, fullest)
        targets = [
            node
            for node in usable
            if node != fullest and partial.fits(block, node) and partial.fill_with(block, node) < fill_limit
        ]
        if targets:
            _assign_to_least_full(partial, assignment, block, targets)
            return True
        partial.add(block, fullest)
    return False


def _swap_off(
    partial: PartialPlacement, order: Sequence[int], assignment: Assignment, fullest: int, fill_limit: float
) -> bool:
    """Swap a block of the fullest node for a lighter one of another node; return whether it was done."""
    for block in [block for block in order if assignment[block] == fullest]:
        for lighter in reversed(order):
            node = assignment[lighter]
            if node is None or node == fullest or partial.loads[lighter] >= partial.loads[block]:
                continue
            if _swap(partial, block, fullest, lighter, node, fill_limit):
                assignment[block], assignment[lighter] = node, fullest
                return True
    return False


def _swap(partial: PartialPlacement, block: int, fullest: int, lighter: int, node: int, fill_limit: float) -> bool:
    """Swap two blocks if both fit and `node` stays below `fill_limit`; return whether it was done."""
    partial.remove(block, fullest)
    partial.remove(lighter, node)
    swapped = (
        partial.fits(block, node) and partial.fits(lighter, fullest) and partial.fill_with(block, node) < fill_limit
    )
    partial.add(block, node if swapped else fullest)
    partial.add(lighter, fullest if swapped else node)
    return swapped
