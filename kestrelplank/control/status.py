"""What `GET /api/status` answers: one control member as it sees itself and the others. Ages are in seconds."""

import msgspec

from kestrelplank.consensus.progress import Progress
from kestrelplank.control.member_lifecycle import MemberLifecycle
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assigner import ShardAssigner
from kestrelplank.control.shard_assigners import ShardAssigners
from kestrelplank.control.shard_record import ShardRecord
from kestrelplank.sharding.key_range import KeyRange
from kestrelplank.time_units import SECOND
from kestrelplank.transport.server_list import ServerList


class PeerStatus(msgspec.Struct, frozen=True):
    """Another member as the leader sees it.

    :param match_index: the last entry of the log that it surely has.
    :param last_heard_s: how long ago it last answered; None where it has not in this term.
    :param caught_up: whether it has the leader's log, or nearly.
    """

    match_index: int
    last_heard_s: float | None
    caught_up: bool


class KeyRangeStatus(msgspec.Struct, frozen=True):
    """A range of keys and its server.

    :param first: the lowest key.
    :param last: the highest key, which is part of the range.
    :param state: a value of `KeyRangeState`.
    :param lease_remaining_s: until the server's lease has surely ended; negative where it has, or there is none.
    """

    first: int
    last: int
    server: str
    fencing_token: int
    state: str
    lease_remaining_s: float


class ServiceStatus(msgspec.Struct, frozen=True):
    """A sharded service.

    :param assigned_here: whether this member assigns its keys to servers; what only an assigner has is empty elsewhere.
    :param record_term: the term of the newest record in the log.
    :param record_number: its number in that term.
    :param unowned_s: an assigner's: how long keys had no server, times their share of all keys.
    :param key_ranges: an assigner's.
    :param learned_speeds: what was measured of its servers, by name (`sharding.placement`).
    """

    assigned_here: bool
    record_term: int
    record_number: int
    unowned_s: float | None
    key_ranges: list[KeyRangeStatus]
    learned_speeds: dict[str, list[float]]


class EdgeStatus(msgspec.Struct, frozen=True):
    """An edge machine in session: the configuration that it goes by (None: none yet), and when it was last heard."""

    configuration_version: str | None
    last_heard_s: float


class MemberStatus(msgspec.Struct, frozen=True):
    """A control member.

    :param state: how far it has what is agreed (`ConsensusNode.catch_up_state`).
    :param leader: identity of the leader as far as known here; "": nobody.
    :param leads: whether this member may answer as the leader right now.
    :param current: whether it leads, or has lately heard the leader and has all that is committed.
    :param epoch: of the newest committed membership known; None where none is.
    :param voters: identities in that membership, on either side of a change.
    :param standbys: other members that run.
    :param commit_index: the last entry of the log known to be committed.
    :param applied_index: the last entry that is part of the state here.
    :param last_index: the last entry in the log here.
    :param configuration_version: in force here; None where none is.
    :param peers: at the leader: the other members, by identity.
    :param server_count: how many servers the platform lists.
    :param server_list_age_s: how old that list is; None where none has come.
    :param edges: the edge machines in session, by name.
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


def member_status(
    now: int,
    replica: Replica,
    lifecycle: MemberLifecycle,
    servers: ServerList,
    assigners: ShardAssigners,
) -> MemberStatus:
    """Return the status of the member that has these parts, without edge machines."""
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
    )


def peer_status(now: int, peer: Progress, commit: int) -> PeerStatus:
    """Return the status of another member.

    :param peer: what the leader knows of it.
    :param commit: the last entry that is committed.
    """
    heard_s = seconds(now - peer.heard_at) if peer.heard_at else None
    return PeerStatus(peer.match_index, heard_s, peer.caught_up(commit))


def service_status(now: int, assigner: ShardAssigner | None, record: ShardRecord) -> ServiceStatus:
    """Return the status of a sharded service.

    :param assigner: its assigner where this member leads.
    :param record: the newest committed record of it.
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
    """Return the status of a key range of ours."""
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
