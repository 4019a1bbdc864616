"""Which node holds each key block, ahead of time: the placement whose fullest node is the least full.

Limits bound what a node may hold and each zone's share. Loads and capacities are in one unit, work per second for
instance. Small instances are solved exactly by branch and bound, larger ones by longest load first (R. Graham's bound
of 1969 for equal machines) and then by moves and swaps until none helps (`placement_search`). What can't be met is
said, never approximated in silence.
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

MAX_EXACT_PLACEMENTS = 6**10  # possible placements, up to which the answer is exact


class Placement(NamedTuple):
    """Where blocks go.

    :param nodes: by block its node, None where no node can take it.
    :param peak: the load of the fullest node over its capacity.
    :param unplaced_load: that of blocks without a node.
    :param is_exact: whether no other placement can be better.
    :param unmet: what could not be met, empty where all was.
    """

    nodes: tuple[int | None, ...]
    peak: float
    unplaced_load: float
    is_exact: bool
    unmet: str


def place_blocks(
    loads: Sequence[float], nodes: Sequence[Node], max_fill: float | None = None, zone_share: float = 1.0
) -> Placement:
    """Return a node for every block.

    Of equal placements the one whose blocks, the heaviest first, are on the lowest nodes is taken: the same every time,
    whatever else has been asked before.

    :param max_fill: no node is filled over that share of its capacity; blocks that then don't fit have no node, and the
        largest are placed first.
    :param zone_share: no zone holds more than that share of all load.
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
