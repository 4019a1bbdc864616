"""What `GET /api/status` answers: one control member as it sees itself and the others. Ages are in seconds."""

import msgspec


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
    """`state`: how far it has what is agreed (`ConsensusNode.catching_up`). `last`, `commit`, `applied`: of its log.
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
