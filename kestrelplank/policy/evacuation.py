"""Moves that do not wait for the balancing pass, since a rule binds. Paper: rules of infinite cost.

Departure: the paper evacuates after 15 minutes, here a slice moves in the round in which its node is found unfit.
"""

from kestrelplank.interface import SECOND
from kestrelplank.policy.fleet_load import FleetLoad
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.policy.parameters import CHANCE_DEVIATIONS, PEER_LOADS_VALID_NS, PERIODS, ROUND_INTERVAL_NS
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState


def evacuate(state: AssignerState, now: int) -> None:
    """Move all slices off nodes that drain, are gone, ejected or restarted."""
    note_emptied_nodes(state)
    unfit = {index for index, node in state.nodes.items() if node.must_withdraw(now)}
    movers = [owned for owned in state.slices.values() if not owned.desired or not unfit.isdisjoint(owned.desired)]
    if not movers:
        return
    fleet = FleetLoad(state, now)
    if not fleet.weights:
        readmit_all(state, now)
        return
    # Slices of a take-over count like the mean until reports are in: else all go to the least loaded node.
    mean = sum(owned.load(state.period_ns) for owned in state.slices.values()) / len(state.slices) or 1.0
    # Every peer evacuates now as well, and its loads are not known yet: each slice counts for one of theirs too.
    assigners = 1 + sum(now - heard_at < PEER_LOADS_VALID_NS for heard_at in state.peers_heard_at.values())
    state.share_loads_at = min(state.share_loads_at, now + ROUND_INTERVAL_NS)
    for owned in movers:
        owned.desired = {index: weight for index, weight in owned.desired.items() if index not in unfit}
        if not owned.desired:  # else its other endpoints serve it, and the pass splits it again if need be
            load = assigners * (owned.load(state.period_ns) if len(owned.ops_by_period) == PERIODS else mean)
            target = fleet.least_loaded(fleet.with_room(load) or fleet.weights, load)
            fleet.loads[target] += load
            owned.desired[target] = 1.0


def note_emptied_nodes(state: AssignerState) -> None:
    """Note which restarted nodes have lost all slices that they had before."""
    for index, node in state.nodes.items():
        if node.state is NodeState.UP and not node.emptied:
            node.emptied = not any(index in owned.desired or index in owned.ordered for owned in state.slices.values())


def readmit_all(state: AssignerState, now: int) -> None:
    """Use restarted and ejected nodes again: better a cold or suspect node than none (rule 1)."""
    for node in state.nodes.values():
        if node.state is NodeState.UP:
            node.emptied, node.ejected_until = True, now


def relieve_cold_nodes(state: AssignerState, now: int) -> None:
    """Move slices that heat up off a cold node by the newest report alone (rule 4); the price: bursts cost moves."""
    cold = [node for node in state.nodes.values() if node.usable(now) and state.capacity_share(node, now) < 1.0]
    if cold:
        fleet = FleetLoad(state, now)
        for node in cold:
            relieve_cold_node(state, now, node, fleet)


def relieve_cold_node(state: AssignerState, now: int, node: Node, fleet: FleetLoad) -> None:
    """Move one cold node's slices, the hottest first, until the rest can't overload it."""
    seconds = state.period_ns / SECOND
    limit = max(0.0, fleet.overload_rate) * node.weight * state.capacity_share(node, now)
    limit += CHANCE_DEVIATIONS * (limit / seconds) ** 0.5
    carried: list[tuple[float, Slice]] = [
        (owned.newest_ops() / len(owned.desired) / seconds, owned)
        for owned in state.slices.values()
        if node.index in owned.desired
    ]
    carried.sort(key=lambda entry: (entry[0], -entry[1].number))
    newest = sum(load for load, _ in carried) + node.peer_load(now)
    while carried and newest > limit > 0:
        load, owned = carried.pop()
        targets = [index for index in fleet.with_room(load) if index not in owned.desired]
        if targets:
            target = fleet.least_loaded(targets, load)
            others = {index: 1.0 for index in owned.desired if index != node.index}
            owned.desired = {**others, target: 1.0}
            fleet.loads[target] += load
            newest -= load
            state.share_loads_at = now
