"""What `GET /api/status` answers: one control member as it sees itself and the others. Ages are in seconds."""

import msgspec

from kestrelplank.consensus.progress import Progress
from kestrelplank.control.shard_assignment import Record, ShardAssigner
from kestrelplank.sharding.key_ranges import KeyRange

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


def service_status(now: int, decider: ShardAssigner | None, record: Record) -> ServiceStatus:
    """A service, of which `record` is the newest in the log; `decider`: where this member decides for it."""
    return ServiceStatus(
        decides=decider is not None,
        term=record.term,
        record=record.number,
        bare_s=round(decider.bare(), 3) if decider else None,
        lines=[line_status(now, line) for line in decider.lines.lines] if decider else [],
        learnt=decider.placement.learnt() if decider else record.learnt,
    )


def line_status(now: int, line: KeyRange) -> LineStatus:
    """A line of the decider's."""
    runs_out_s = round((line.until - now) / S, 3)
    return LineStatus(line.first, line.last, line.server, line.fence, line.state, runs_out_s)
