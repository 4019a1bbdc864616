"""What `GET /api/status` answers: one control member as it sees itself and the others. Ages are in seconds."""

import msgspec

from kestrelplank.consensus.progress import Progress
from kestrelplank.control.shard_assigner import ShardAssigner
from kestrelplank.control.shard_record import ShardRecord
from kestrelplank.sharding.key_range import KeyRange

S = 1_000_000_000


class PeerStatus(msgspec.Struct, frozen=True):
    """Another member as the leader sees it: the last entry of the log that it surely has, and when it was heard."""

    match: int
    heard_s: float | None
    caught_up: bool


class LineStatus(msgspec.Struct, frozen=True):
    """A range of keys; `runs_out_s`: until its server's hold has surely ended."""

    first: int
    last: int
    server: str
    fence: int
    state: str
    runs_out_s: float


class ServiceStatus(msgspec.Struct, frozen=True):
    """A sharded service: whether this member decides for it, its newest record in the log (term and number), and what
    was learnt of its servers. Of who decides also its lines, and `bare_s`: how long keys had no holder, times their
    part of all keys."""

    decides: bool
    term: int
    record: int
    bare_s: float | None
    lines: list[LineStatus]
    learnt: dict[str, list[float]]


class EdgeStatus(msgspec.Struct, frozen=True):
    """An edge machine in session: the version that it goes by, and when it spoke last."""

    version: str | None
    heard_s: float


class MemberStatus(msgspec.Struct, frozen=True):
    """`state`: how far it has what is agreed (`ConsensusNode.catch_up_state`). `last`, `commit`, `applied`: of its log.
    `peers`: of the leader only."""

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
    commit: int
    applied: int
    last: int
    in_force: str | None
    peers: dict[str, PeerStatus]
    servers: int
    list_age_s: float | None
    services: dict[str, ServiceStatus]
    edges: dict[str, EdgeStatus] = {}


def peer_status(now: int, peer: Progress, commit: int) -> PeerStatus:
    """Another member, of whose log the leader knows this; `commit`: the last entry that is committed."""
    heard_s = round((now - peer.heard_at) / S, 3) if peer.heard_at else None
    return PeerStatus(peer.match_index, heard_s, peer.caught_up(commit))


def service_status(now: int, assigner: ShardAssigner | None, record: ShardRecord) -> ServiceStatus:
    """A service, of which `record` is the newest in the log; `assigner`: where this member decides for it."""
    return ServiceStatus(
        decides=assigner is not None,
        term=record.term,
        record=record.number,
        bare_s=round(assigner.unowned_s(), 3) if assigner else None,
        lines=[key_range_status(now, key_range) for key_range in assigner.key_ranges.ranges] if assigner else [],
        learnt=assigner.placement.learned_speeds() if assigner else record.learned_speeds,
    )


def key_range_status(now: int, keys: KeyRange) -> LineStatus:
    """A key range of the assigner's."""
    runs_out_s = round((keys.held_until - now) / S, 3)
    return LineStatus(keys.first, keys.last, keys.server, keys.fencing_token, keys.state.value, runs_out_s)
