"""Placement of key blocks on nodes that minimises the load of the fullest node relative to its capacity.

Limits apply to each node's load and number of blocks and to each zone's share of the load. Loads and capacities are in
the same unit, for instance work per second. Small instances are solved exactly by branch and bound, larger ones by
longest load first (R. Graham, 1969) followed by moves and swaps until none improves the result (`placement_search`).
Blocks that the limits leave unplaced are reported in `Placement.unmet`.
"""

from collections.abc import Sequence
from typing import NamedTuple

from kestrelplank.load_balancing.placement_search import (
    MAX_SEARCH_STEPS,
    ROUNDING,
    ExactSearch,
    Node,
    PartialPlacement,
    improve,
    longest_load_first,
    peak_load,
)

MAX_EXACT_PLACEMENTS = 6**10  # up to this number of possible placements the search is exact


class Placement(NamedTuple):
    """The result of `place_blocks`.

    :param nodes: the node of each block, None if it could not be placed.
    :param peak: the load of the fullest node divided by its capacity.
    :param unplaced_load: the total load of the blocks without a node.
    :param is_exact: whether the placement is proved to be optimal.
    :param unmet: why blocks could not be placed; empty if all were.
    """

    nodes: tuple[int | None, ...]
    peak: float
    unplaced_load: float
    is_exact: bool
    unmet: str


def place_blocks(
    loads: Sequence[float], nodes: Sequence[Node], max_fill: float | None = None, zone_share: float = 1.0
) -> Placement:
    """Return a node for every block that can be placed.

    The result is deterministic: among equal placements, blocks in order of decreasing load get the lowest-numbered
    nodes.

    :param max_fill: the share of its capacity up to which a node may be filled; the largest blocks are placed first,
        and blocks that do not fit stay unplaced. None for no bound.
    :param zone_share: the share of the total load that one zone may hold.
    """
    total = sum(loads)
    usable = [number for number, node in enumerate(nodes) if node.capacity > 0 and node.max_blocks != 0]
    if not usable:
        unmet = "no node can take anything" if loads else ""
        return Placement((None,) * len(loads), 0.0, total, is_exact=True, unmet=unmet)
    heaviest_first = sorted(range(len(loads)), key=lambda block: (-loads[block], block))
    max_zone_load = zone_share * total + ROUNDING * max(1.0, total)
    partial = PartialPlacement(loads, nodes, max_fill, max_zone_load)
    if len(usable) ** len(loads) <= MAX_EXACT_PLACEMENTS:
        search = ExactSearch(partial, heaviest_first, usable)
        found = search.run()
        is_exact = search.steps <= MAX_SEARCH_STEPS
    else:
        found = improve(partial, heaviest_first, usable, longest_load_first(partial, heaviest_first, usable))
        is_exact = False
    missing = [block for block, node in enumerate(found) if node is None]
    unplaced_load = sum(loads[block] for block in missing)
    unmet = ""
    if missing:
        unmet = f"{len(missing)} of {len(loads)} blocks have no place, {unplaced_load:g} of {total:g} load: "
        unmet += partial.obstacle(missing[0])
    return Placement(tuple(found), peak_load(loads, nodes, found), unplaced_load, is_exact, unmet)
