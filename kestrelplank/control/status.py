"""The response of `GET /api/status`: one control member's view of itself and the others. Ages are in seconds."""

import msgspec

from kestrelplank.consensus.progress import Progress
from kestrelplank.control.member_lifecycle import MemberLifecycle
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assigner import ShardAssigner
from kestrelplank.control.shard_assigners import ShardAssigners
from kestrelplank.control.shard_record import ShardRecord
from kestrelplank.control.singleton_roles import SingletonRoles
from kestrelplank.control.usage_status import UsageStatus
from kestrelplank.sharding.key_range import KeyRange
from kestrelplank.state.role_table import RoleId
from kestrelplank.time_units import SECOND
from kestrelplank.transport.server_list import ServerList


class PeerStatus(msgspec.Struct, frozen=True):
    """Another member as seen by the leader.

    :param match_index: the last log entry that it is known to have.
    :param last_heard_s: time since its last reply; None if it has not replied in this term.
    :param caught_up: whether it has all or nearly all of the leader's log.
    """

    match_index: int
    last_heard_s: float | None
    caught_up: bool


class KeyRangeStatus(msgspec.Struct, frozen=True):
    """A range of keys and its server.

    :param first: the lowest key.
    :param last: the highest key, inclusive.
    :param state: a value of `KeyRangeState`.
    :param lease_remaining_s: time until the server's lease has certainly expired; negative if it has, or there is none.
    """

    first: int
    last: int
    server: str
    fencing_token: int
    state: str
    lease_remaining_s: float


class ServiceStatus(msgspec.Struct, frozen=True):
    """A sharded service.

    :param assigned_here: whether this member assigns its keys; if not, fields that only the assigner knows are empty.
    :param record_term: the term of the newest record in the log.
    :param record_number: its number in that term.
    :param unowned_s: how long keys had no server, times their share of all keys; only known to the assigner.
    :param key_ranges: only known to the assigner.
    :param learned_speeds: measurements of its servers, by server name (`sharding.placement`).
    """

    assigned_here: bool
    record_term: int
    record_number: int
    unowned_s: float | None
    key_ranges: list[KeyRangeStatus]
    learned_speeds: dict[str, list[float]]


class EdgeStatus(msgspec.Struct, frozen=True):
    """An edge machine in session.

    :param configuration_version: in force there; None: none yet.
    :param last_heard_s: time since its last heartbeat.
    :param behind_s: for how long its heartbeats have shown an older configuration than this member's; None: they don't.
    """

    configuration_version: str | None
    last_heard_s: float
    behind_s: float | None = None


class RoleStatus(msgspec.Struct, frozen=True):
    """A singleton role as this member knows it.

    :param holder: identity of the member to which it is assigned; "": it was never assigned.
    :param token: fencing token of that assignment; 0: it was never assigned.
    :param may_act: whether this member may act in it at this moment.
    """

    role: str
    partition: int
    holder: str
    token: int
    may_act: bool


class MemberStatus(msgspec.Struct, frozen=True):
    """A control member.

    :param state: how far it has caught up with the committed log (`ConsensusNode.catch_up_state`).
    :param leader: identity of the leader known here; "" if none is known.
    :param leads: whether this member may currently answer calls as the leader.
    :param current: whether it leads, or has applied all entries up to a recent commit index of the leader.
    :param epoch: of the newest committed membership known; None if none is known.
    :param voters: identities in that membership; during a change, both old and new voters.
    :param standbys: identities of running members that are not voters.
    :param commit_index: the last entry of the log known to be committed.
    :param applied_index: the last entry applied to this member's state.
    :param last_index: the last entry in this member's log.
    :param configuration_version: in force at this member; None if none is.
    :param peers: the other members, by identity; only filled at the leader.
    :param server_count: how many servers the platform lists.
    :param server_list_age_s: the age of that list; None if none has arrived.
    :param edges: the edge machines in session, by name.
    :param roles: the configured singleton roles.
    :param usage: None if the platform wants no usage reports.
    """

    member: str
    state: str
    term: int
    leader: str
    leads: bool
    current: bool
    epoch: int | None
    voters: list[str]
    standbys: list[str]
    stopping: bool
    commit_index: int
    applied_index: int
    last_index: int
    configuration_version: str | None
    peers: dict[str, PeerStatus]
    server_count: int
    server_list_age_s: float | None
    services: dict[str, ServiceStatus]
    edges: dict[str, EdgeStatus] = {}
    roles: list[RoleStatus] = []
    usage: UsageStatus | None = None


def member_status(
    now: int,
    replica: Replica,
    lifecycle: MemberLifecycle,
    servers: ServerList,
    assigners: ShardAssigners,
    roles: SingletonRoles,
) -> MemberStatus:
    """Return the status of the member with these components, without edge machines."""
    node = replica.node
    membership = lifecycle.committed_membership()
    configuration = replica.state.configuration
    return MemberStatus(
        member=node.identity,
        state=node.catch_up_state(now),
        term=node.term,
        leader=node.leader,
        leads=node.leads(now),
        current=node.current(now),
        epoch=membership.epoch if membership else None,
        voters=list(membership.all_voters()) if membership else [],
        standbys=list(lifecycle.standbys(now)),
        stopping=lifecycle.stopping,
        commit_index=node.commit_index,
        applied_index=node.applied_index,
        last_index=node.log.last_index,
        configuration_version=f"{configuration.version:08x}" if configuration else None,
        peers={name: peer_status(now, peer, node.commit_index) for name, peer in sorted(node.peers.items())},
        server_count=len(servers.entries),
        server_list_age_s=seconds(servers.age_ns(now)),
        services={
            service: service_status(now, assigners.leading_assigner(now, service), replica.record(service))
            for service in replica.sharded_services()
        },
        roles=[role_status(now, replica, roles, role) for role in roles.configured],
    )


def role_status(now: int, replica: Replica, roles: SingletonRoles, role: RoleId) -> RoleStatus:
    """Return the status of a singleton role."""
    assignment = replica.state.roles.get(role)
    holder, token = (assignment.holder, assignment.token) if assignment else ("", 0)
    may_act = roles.token(now, role) is not None
    return RoleStatus(role.role, role.partition, holder, token, may_act)


def peer_status(now: int, peer: Progress, commit_index: int) -> PeerStatus:
    """Return the status of another member.

    :param peer: its replication progress, as tracked by the leader.
    :param commit_index: index of the last committed entry.
    """
    heard_s = seconds(now - peer.heard_at) if peer.heard_at else None
    return PeerStatus(peer.match_index, heard_s, peer.caught_up(commit_index))


def service_status(now: int, assigner: ShardAssigner | None, record: ShardRecord) -> ServiceStatus:
    """Return the status of a sharded service.

    :param assigner: its assigner; None if this member does not lead.
    :param record: its newest committed record.
    """
    return ServiceStatus(
        assigned_here=assigner is not None,
        record_term=record.term,
        record_number=record.number,
        unowned_s=round(assigner.unowned_s(), 3) if assigner else None,
        key_ranges=[key_range_status(now, key_range) for key_range in assigner.key_ranges.ranges] if assigner else [],
        learned_speeds=assigner.placement.learned_speeds() if assigner else record.learned_speeds,
    )


def key_range_status(now: int, key_range: KeyRange) -> KeyRangeStatus:
    """Return the status of a key range that this member assigns."""
    return KeyRangeStatus(
        first=key_range.first,
        last=key_range.last,
        server=key_range.server,
        fencing_token=key_range.fencing_token,
        state=key_range.state.value,
        lease_remaining_s=round((key_range.held_until - now) / SECOND, 3),
    )


def seconds(duration_ns: int | None) -> float | None:
    """Return a duration in seconds, rounded to milliseconds; None for None."""
    return None if duration_ns is None else round(duration_ns / SECOND, 3)
