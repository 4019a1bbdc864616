"""Typed messages between control members, and the entries of their replicated log.

A member's identity is its control address and an incarnation, as in `10.0.0.1:8544/5f2c09d1`. The incarnation is drawn
when a member finds its disk empty and is kept on that disk, so a machine that lost its disk comes back as another
member: votes and acknowledgements of the former one can't be mistaken for its own. Members of the very first start,
which must name each other before they have spoken, have the incarnation `FIRST`.

Every message has the sender's term and the epoch of the newest membership that it knows.
"""

import msgspec

FIRST = "first"


def identity_of(address: str, incarnation: str) -> str:
    """The identity of the member at `address` whose disk bears `incarnation`."""
    return f"{address}/{incarnation}"


def address_of(identity: str) -> str:
    """The control address in a member's identity."""
    return identity.partition("/")[0]


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Who counts. `epoch` grows by one with each change. While `outgoing` is not empty the change is joint: a majority
    of `voters` and a majority of `outgoing` are both needed. `zones`: where members are, as far as known."""

    epoch: int
    voters: tuple[str, ...]
    outgoing: tuple[str, ...] = ()
    zones: dict[str, str] = {}

    @property
    def joint(self) -> bool:
        return bool(self.outgoing)

    def all_voters(self) -> tuple[str, ...]:
        """All who count, on either side of a change, in order and each once."""
        return tuple(dict.fromkeys((*self.voters, *self.outgoing)))


# Commands, the content of log entries.


class Noop(msgspec.Struct, frozen=True, array_like=True, tag="noop"):
    """First entry of each term: once it is committed, all that earlier terms committed is known to the leader."""


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """An operator's order, already checked. It takes force if its version is above the one in force when applied."""

    version: int
    digest: str
    text: bytes


class PutRecord(msgspec.Struct, frozen=True, array_like=True, tag="record"):
    """The key ranges of one sharded service and what was learnt of its servers, msgpack of the owner's own form."""

    service: str
    record: bytes


class ChangeMembership(msgspec.Struct, frozen=True, array_like=True, tag="membership"):
    """A new membership. It counts from the moment that it is in a member's log, committed or not."""

    membership: Membership


Command = Noop | PutConfiguration | PutRecord | ChangeMembership


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    command: Command


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole replicated state after the entry `index`, which was of `term`; `state` is opaque here."""

    index: int
    term: int
    membership: Membership
    state: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a member must not forget: the newest term it knows, whom it voted for in it and who led it ("": nobody)."""

    term: int = 0
    voted_for: str = ""
    leader: str = ""


# Messages of the agreement itself.


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """`trial`: only asks whether a vote would be given; nothing is promised. `transfer`: the leader asked for this
    election and leads no longer, so its lease need not be waited for."""

    term: int
    epoch: int
    last_index: int
    last_term: int
    trial: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """`term`: of the request where granted, else the voter's own."""

    term: int
    epoch: int
    granted: bool
    trial: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Entries after `prev_index`, none for a heartbeat. `round`: number of the leader's heartbeat round, echoed in the
    reply: the lease counts from when that round was begun. `probe`: the newest probe that the leader has had from this
    follower, which tells the follower how old the leader's word may be; `lease`: ns that the leader's lease still ran
    when this was sent."""

    term: int
    epoch: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    probe: int = 0
    lease: int = 0


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """`match`: highest index known to be durable and alike; where not `success`: an index the sender may have it alike
    up to. `round` 0: sent when entries became durable, not to a heartbeat. `probe`: a number that the leader echoes."""

    term: int
    epoch: int
    success: bool
    match: int
    round: int
    probe: int = 0


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """`data` at `offset` of a snapshot of `size` bytes in all, whose checksum is `digest` (blake2b, 16 bytes)."""

    term: int
    epoch: int
    index: int
    size: int
    digest: bytes
    offset: int
    data: bytes
    round: int


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag="piece-taken"):
    """The follower has all bytes before `offset` of the snapshot with that digest."""

    term: int
    epoch: int
    digest: bytes
    offset: int
    round: int


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag="transfer"):
    """The leader has let go of its lease and asks this member to stand for election at once."""

    term: int
    epoch: int


class MembershipRequest(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """Sent again and again to the leader by whoever runs: in the hope to count, or, if it does, so that its zone is
    known. `eligible`: it may count (the platform counts its machine's loss). `leaving`: it is about to stop."""

    term: int
    epoch: int
    zone: str
    eligible: bool
    leaving: bool = False


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
    | MembershipRequest
)


# Messages that carry calls to the leader. `call`: the caller's identity, its life and a number, never used twice.


class CallId(msgspec.Struct, frozen=True, array_like=True):
    """Whose call this is: `life` is drawn anew at each start, so an answer to a former life matches nothing."""

    member: str
    life: int
    number: int


class SubmitOrder(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """An operator's order, passed on to the leader by the member that was asked."""

    call: CallId
    order: PutConfiguration


class ReadConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="read"):
    """The operator asks another member for the configuration in force."""

    call: CallId


class OrderResult(msgspec.Struct, frozen=True, array_like=True, tag="submitted"):
    """`acknowledged`: it is in force, or is not above what is; else nothing is known and the caller may try again.
    `in_force`: this very text is."""

    call: CallId
    acknowledged: bool
    in_force: bool = False


class ReadResult(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """`known`: the sender leads and its answer is the newest. `text` None: nothing was ever acknowledged."""

    call: CallId
    known: bool
    text: bytes | None


class ServerListUpdate(msgspec.Struct, frozen=True, array_like=True, tag="servers"):
    """The platform's list of servers, `age` ns after it was fetched."""

    age: int
    entries: list[tuple[str, str, str, str, int, str, int]]


class MembershipQuery(msgspec.Struct, frozen=True, array_like=True, tag="who"):
    """A member that looks for the others asks anyone who they are."""


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """The newest membership its sender knows, who leads as far as it knows ("": nobody), and all other running members
    that it has heard of lately."""

    membership: Membership
    leader: str
    standbys: tuple[str, ...]


Message = (
    ConsensusMessage
    | SubmitOrder
    | ReadConfiguration
    | OrderResult
    | ReadResult
    | ServerListUpdate
    | MembershipQuery
    | MembershipUpdate
)
