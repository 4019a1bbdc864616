"""Features that only an operator's file enables; their modules are not imported without such a file."""

import time
from collections.abc import Mapping

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.membership_gossip import MembershipGossip
from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.assigner.status_socket import StatusSocket
from kestrelplank.decode import Ids
from kestrelplank.interface import SECOND
from kestrelplank.policy import Policy
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.settings.operator import MembershipSettings, StatusSocketSettings
from kestrelplank.sockets.loop import Loop
from kestrelplank.state.membership import DetectorSettings, Membership
from kestrelplank.state.zone_load import ObservedNode, zone_sums


def observed_nodes(policy: Policy, now: int) -> list[ObservedNode]:
    """Return the policy's nodes with rates per second, averaged over their report periods."""
    observed = []
    for node in policy.nodes.values():
        seconds = max(1, len(node.periods)) * policy.state.period_ns / SECOND
        sums = node.sums()
        acknowledged = (sums.attempts - sums.failures) / seconds
        observed.append(ObservedNode(node.zone, node.usable(now), sums.attempts / seconds, acknowledged))
    return observed


def best_acknowledged_per_s(policy: Policy) -> float:
    """Return the highest rate that a usable node has acknowledged, in operations per second."""
    return policy.shedder.best_acknowledged / (policy.state.period_ns / SECOND)


def make_membership(
    loop: Loop,
    counters: Counters,
    file: MembershipSettings,
    settings: Mapping[str, int],
    policy: Policy,
    peers: PeerDatagrams | None,
) -> MembershipGossip | None:
    """Return the membership component, or None unless the operator enables it and the settings allow datagrams."""
    if not file.enabled:
        return None
    if peers is None:
        counters.record_fault("members_off", "the settings allow no datagrams between assigners")
        return None
    detector = DetectorSettings(file.heartbeat_interval_ns, file.suspect_phi, file.dead_phi, file.min_missed_heartbeats)
    incarnation = int(time.time()) & 0xFFFFFFFF  # increases with each start, unless the clock has been set back
    core = Membership(loop.now(), settings["ordinal"], incarnation, settings["conductors"], detector)
    return MembershipGossip(
        loop,
        counters,
        core,
        file.heartbeat_interval_ns,
        peers.send,
        lambda: observed_nodes(policy, loop.now()),
        lambda: best_acknowledged_per_s(policy),
    )


def make_status_socket(
    loop: Loop, file: StatusSocketSettings, policy: Policy, ids: Ids, members: MembershipGossip | None
) -> StatusSocket | None:
    """Return the status socket, or None if the operator's file names none.

    :raises OSError: the socket can't be created at that path.
    """
    if not file.path:
        return None

    def status() -> dict[str, object]:
        zones = zone_status(policy, ids, loop.now())
        return {"slices": len(policy.slices), "zones": zones, "members": members.status() if members else None}

    return StatusSocket(loop, file.path, status)


def zone_status(policy: Policy, ids: Ids, now: int) -> dict[str, dict[str, int]]:
    """Return demand, capacity and node counts by zone name."""
    names = {index: name for name, index in ids.zones.items()}
    zones = {
        names[sums.zone]: {name: value for name, value in sums._asdict().items() if name != "zone"}
        for sums in zone_sums(observed_nodes(policy, now), best_acknowledged_per_s(policy))
    }
    for node in policy.nodes.values():
        if node.zone is not None:
            zone = zones[names[node.zone]]
            for condition, holds in node_conditions(policy, node, now).items():
                zone[condition] = zone.get(condition, 0) + holds
    return zones


def node_conditions(policy: Policy, node: Node, now: int) -> dict[str, bool]:
    """Return the conditions that the status counts by zone, and whether they hold for a node."""
    return {
        "listed": node.state is NodeState.UP,
        "withdrawn": node.withdrawn,
        "barred": now < node.ejected_until,
        "cold": policy.state.capacity_share(node, now) < 1.0,
    }
