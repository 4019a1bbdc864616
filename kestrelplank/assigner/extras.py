"""Parts of a conductor that only an operator's file brings, made here, so that without one none of them is loaded."""

import time

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.members import Members
from kestrelplank.assigner.peers import Peers
from kestrelplank.assigner.status import Status
from kestrelplank.decode import Ids
from kestrelplank.policy import Policy
from kestrelplank.policy.node import NodeState
from kestrelplank.settings.operator import MembershipSettings, StatusSocketSettings
from kestrelplank.sockets.loop import Loop
from kestrelplank.state.digest import Seen, zone_sums
from kestrelplank.state.membership import Membership, Terms


def seen(policy: Policy, now: int) -> list[Seen]:
    """The module's nodes, as sums over its reports."""
    found = []
    for node in policy.nodes.values():
        seconds = max(1, len(node.periods)) * policy.state.period_ns / 1e9
        tries, failed = node.sums()[:2]
        found.append(Seen(node.zone, node.usable(now), tries / seconds, (tries - failed) / seconds))
    return found


def best(policy: Policy) -> float:
    """Acks a second that a live node was seen to do at its best."""
    return policy.shedder.best_acknowledged / (policy.state.period_ns / 1e9)


def membership(
    loop: Loop, counters: Counters, file: MembershipSettings, settings: dict, policy: Policy, peers: Peers | None
) -> Members | None:
    """Membership, where the operator wants it and the platform's settings allow datagrams."""
    if not file.enabled:
        return None
    if peers is None:
        counters.trouble("members_off", "the settings allow no datagrams between conductors")
        return None
    terms = Terms(file.heartbeat_interval_ns, file.suspect_phi, file.dead_phi, file.min_missed_heartbeats)
    life = int(time.time()) & 0xFFFFFFFF  # higher than in any former one, unless the clock has been set back past it
    core = Membership(loop.now(), settings["ordinal"], life, settings["conductors"], terms)
    return Members(
        loop,
        counters,
        core,
        file.heartbeat_interval_ns,
        peers.tell,
        lambda: seen(policy, loop.now()),
        lambda: best(policy),
    )


def shown(loop: Loop, file: StatusSocketSettings, policy: Policy, ids: Ids, members: Members | None) -> Status | None:
    """The status socket, where the operator names one. Raises OSError."""
    if not file.path:
        return None

    def state() -> dict:
        now = loop.now()
        names = {index: name for name, index in ids.zones.items()}
        zones: dict[str, dict] = {names[one.zone]: one._asdict() for one in zone_sums(seen(policy, now), best(policy))}
        for node in policy.nodes.values():
            if node.zone is not None:
                held = zones[names[node.zone]]
                held.pop("zone", None)
                for what, is_so in (
                    ("listed", node.state is NodeState.UP),
                    ("withdrawn", node.withdrawn),
                    ("barred", now < node.ejected_until),
                    ("cold", policy.state.capacity_share(node, now) < 1.0),
                ):
                    held[what] = held.get(what, 0) + is_so
        return {"slices": len(policy.slices), "zones": zones, "members": members.shown() if members else None}

    return Status(loop, file.path, state)
