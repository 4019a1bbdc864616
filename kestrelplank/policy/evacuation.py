"""Moves that a rule requires at once, without waiting for the balancing pass. Mirador paper: rules of infinite cost.

Departure: the paper evacuates after 15 minutes; here a slice moves in the round in which its node becomes unfit.
"""

from kestrelplank.interface import SECOND
from kestrelplank.policy.fleet_load import FleetLoad
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.policy.parameters import LOAD_PERIODS, PEER_LOADS_VALID_NS, ROUND_INTERVAL_NS, SIGNIFICANT_DEVIATIONS
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState


def evacuate(state: AssignerState, now: int) -> None:
    """Move slices off nodes that are draining, gone, ejected or restarted, and place slices without an endpoint."""
    mark_former_slices_removed(state)
    unfit = {index for index, node in state.nodes.items() if node.must_withdraw(now)}
    affected = [owned for owned in state.slices.values() if not owned.desired or not unfit.isdisjoint(owned.desired)]
    if not affected:
        return
    fleet = FleetLoad(state, now)
    if not fleet.weights:
        readmit_all(state, now)
        return
    # Slices just taken over count with the mean load until their reports arrive: with 0 all would go to one node.
    mean = sum(owned.load(state.period_ns) for owned in state.slices.values()) / len(state.slices) or 1.0
    # Every peer evacuates now as well, and its moves are not reported yet: each slice counts once more for every peer.
    assigners = 1 + sum(
        now - received_at < PEER_LOADS_VALID_NS for received_at in state.peer_loads_received_at.values()
    )
    state.share_loads_at = min(state.share_loads_at, now + ROUND_INTERVAL_NS)
    for owned in affected:
        owned.desired = {index: weight for index, weight in owned.desired.items() if index not in unfit}
        if not owned.desired:  # with endpoints left, the balancing pass adds more if needed
            load = assigners * (owned.load(state.period_ns) if len(owned.ops_by_period) == LOAD_PERIODS else mean)
            target = fleet.least_loaded(fleet.with_capacity(load) or fleet.weights, load)
            fleet.loads[target] += load
            owned.desired[target] = 1.0


def mark_former_slices_removed(state: AssignerState) -> None:
    """Mark restarted nodes from which all slices that they had before the restart are removed."""
    for index, node in state.nodes.items():
        if node.state is NodeState.UP and not node.former_slices_removed:
            node.former_slices_removed = not any(
                index in owned.desired or index in owned.ordered for owned in state.slices.values()
            )


def readmit_all(state: AssignerState, now: int) -> None:
    """Readmit restarted and ejected nodes, as no other node is usable (rule 1)."""
    for node in state.nodes.values():
        if node.state is NodeState.UP:
            node.former_slices_removed, node.ejected_until = True, now


def relieve_warming_nodes(state: AssignerState, now: int) -> None:
    """Move slices whose load rises off warming nodes by the newest report alone (rule 4). Cost: bursts cause moves."""
    warming = [node for node in state.nodes.values() if node.usable(now) and state.capacity_share(node, now) < 1.0]
    if warming:
        fleet = FleetLoad(state, now)
        for node in warming:
            relieve_warming_node(state, now, node, fleet)


def relieve_warming_node(state: AssignerState, now: int, node: Node, fleet: FleetLoad) -> None:
    """Move slices off one warming node, the busiest first, until the rest can't overload it."""
    seconds = state.period_ns / SECOND
    limit = max(0.0, fleet.overload_rate) * node.weight * state.capacity_share(node, now)
    limit += SIGNIFICANT_DEVIATIONS * (limit / seconds) ** 0.5
    carried: list[tuple[float, Slice]] = [
        (owned.newest_ops() / len(owned.desired) / seconds, owned)
        for owned in state.slices.values()
        if node.index in owned.desired
    ]
    carried.sort(key=lambda entry: (entry[0], -entry[1].number))
    newest = sum(load for load, _ in carried) + node.peer_load(now)
    while carried and newest > limit > 0:
        load, owned = carried.pop()
        targets = [index for index in fleet.with_capacity(load) if index not in owned.desired]
        if targets:
            target = fleet.least_loaded(targets, load)
            others = {index: 1.0 for index in owned.desired if index != node.index}
            owned.desired = {**others, target: 1.0}
            fleet.loads[target] += load
            newest -= load
            state.share_loads_at = now
