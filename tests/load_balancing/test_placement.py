from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.load_balancing.placement import place_blocks
from kestrelplank.load_balancing.placement_search import Node, peak_load


def best_by_exhaustive_search(loads, nodes, max_fill, zone_share):
    """Return the best (unplaced load, peak) by exhaustive search."""
    total, best = sum(loads), None
    for assignment in product((None, *range(len(nodes))), repeat=len(loads)):
        node_loads, blocks, zones = [0.0] * len(nodes), [0] * len(nodes), {}
        for block, node in enumerate(assignment):
            if node is not None:
                node_loads[node] += loads[block]
                blocks[node] += 1
                zones[nodes[node].zone] = zones.get(nodes[node].zone, 0.0) + loads[block]
        if any(
            node.max_blocks is not None
            and count > node.max_blocks
            or load
            and not node.capacity
            or max_fill is not None
            and load > max_fill * node.capacity * (1 + 1e-9)
            for node, count, load in zip(nodes, blocks, node_loads)
        ):
            continue
        if any(load > zone_share * total + 1e-9 for load in zones.values()) or any(
            count and not node.capacity for node, count in zip(nodes, blocks)
        ):
            continue
        key = (
            round(sum(loads[block] for block, node in enumerate(assignment) if node is None), 9),
            peak_load(loads, nodes, assignment),
        )
        best = key if best is None or key < best else best
    return best


instances = some.tuples(
    some.lists(some.integers(1, 9).map(float), min_size=1, max_size=5),
    some.lists(
        some.builds(
            Node, some.sampled_from((0.0, 3.0, 5.0, 8.0)), some.integers(0, 1), some.sampled_from((None, 1, 2))
        ),
        min_size=1,
        max_size=3,
    ),
    some.sampled_from((None, 0.5, 1.0)),
    some.sampled_from((1.0, 0.6)),
)


@given(instances)
def test_exact_placement_equals_exhaustive_search(instance):
    loads, nodes, max_fill, share = instance
    placement = place_blocks(loads, nodes, max_fill, share)
    unplaced, peak = best_by_exhaustive_search(loads, nodes, max_fill, share)
    assert (
        placement.is_exact
        and placement.unplaced_load == pytest.approx(unplaced)
        and placement.peak == pytest.approx(peak)
    )
    assert (
        bool(placement.unmet) == (placement.unplaced_load > 0)
        and place_blocks(loads, nodes, max_fill, share) == placement
    )


@pytest.mark.parametrize(
    "loads, nodes, max_fill, share, assignment, peak",
    [
        ([4, 3, 3], [Node(10), Node(10)], None, 1.0, (0, 1, 1), 0.6),
        ([4, 3, 3], [Node(10), Node(5)], None, 1.0, (0, 0, 1), 0.7),
        ([5, 5, 5, 5], [Node(10), Node(10), Node(20)], None, 1.0, (0, 1, 2, 2), 0.5),
        ([6, 4], [Node(10, 0), Node(10, 0), Node(10, 1)], None, 0.6, (0, 2), 0.6),
        ([1, 1, 1], [Node(100, 0, 1), Node(1)], None, 1.0, (0, 1, 1), 2.0),
        ([], [Node(1)], None, 1.0, (), 0.0),
    ],
)
def test_known_optimal_placements_are_found(loads, nodes, max_fill, share, assignment, peak):
    placement = place_blocks(loads, nodes, max_fill, share)
    assert placement.nodes == assignment and placement.peak == pytest.approx(peak) and placement.unmet == ""


@pytest.mark.parametrize(
    "loads, nodes, max_fill, share, unplaced, message",
    [
        ([5, 4], [Node(5)], 1.0, 1.0, 4, "1 of 2 blocks have no place, 4 of 9 load"),
        ([9], [Node(5)], 1.0, 1.0, 9, "block 0 alone is more than any node"),
        ([2, 2], [Node(9, 0, 1)], None, 1.0, 2, "as many blocks as they may"),
        ([2], [Node(0)], None, 1.0, 2, "no node can take anything"),
        ([5, 1], [Node(9), Node(9)], None, 0.5, 5, "block 0 alone is more than a zone may hold"),
    ],
)
def test_unplaced_blocks_are_reported_with_the_reason(loads, nodes, max_fill, share, unplaced, message):
    placement = place_blocks(loads, nodes, max_fill, share)
    assert placement.unplaced_load == pytest.approx(unplaced) and message in placement.unmet


def test_ties_are_resolved_in_favour_of_the_lowest_node_numbers():
    assert place_blocks([1, 1], [Node(5)] * 4).nodes == (0, 1) and place_blocks([2, 2, 2, 2], [Node(4)] * 2).nodes == (
        0,
        0,
        1,
        1,
    )


@given(
    some.lists(some.floats(0.1, 10), min_size=20, max_size=60), some.lists(some.floats(5, 50), min_size=7, max_size=12)
)
def test_large_instances_are_within_twice_the_lower_bound(loads, capacities):
    nodes = [Node(capacity) for capacity in capacities]
    placement = place_blocks(loads, nodes)
    lower_bound = max(sum(loads) / sum(capacities), max(loads) / max(capacities))
    assert None not in placement.nodes and not placement.is_exact and placement.peak <= 2 * lower_bound + 1e-9
