"""Messages of the consensus protocol itself, handled by `ConsensusNode`.

Every message has the sender's term and the epoch of the newest membership that the sender knows. Tags and the order of
fields decide the bytes on the wire; names of fields do not.
"""

import msgspec

from kestrelplank.consensus.log_entries import Entry


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate asks for a vote.

    :param term: the term that is asked for: with `pre_vote` the one after the candidate's.
    :param last_index: log index of the candidate's last entry.
    :param last_term: term of that entry.
    :param pre_vote: only asks whether a vote would be granted; nothing is promised.
    :param transfer: the leader asked for this election and leads no longer, so its lease need not be waited for.
    """

    term: int
    epoch: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """The answer to a `VoteRequest`.

    :param term: the requested term where granted, else the voter's own.
    """

    term: int
    epoch: int
    granted: bool
    pre_vote: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """The leader's entries that follow `previous_index`; a heartbeat has none.

    :param previous_index: log index of the entry before the first of `entries`; 0 also where only an answer is asked
        for and nothing about the log, as the follower needs a snapshot.
    :param previous_term: term of that entry.
    :param commit_index: log index up to which entries are committed, as far as the leader knows.
    :param heartbeat_round: number of the leader's newest heartbeat round, echoed in the reply: the lease counts from
        when that round was begun.
    :param nonce: echo of the newest nonce that the leader had from this follower (0: none). The follower knows when it
        sent that nonce, so how old this message is at most.
    :param lease_ns: for how long the leader's lease still ran when this was sent; 0 where it had none.
    """

    term: int
    epoch: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int
    nonce: int = 0
    lease_ns: int = 0


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The answer to an `Append`, and the notice that entries or a snapshot have become durable.

    :param success: whether the follower's log matches the leader's up to `match_index`, durably.
    :param match_index: without `success`: an index up to which the logs may match.
    :param heartbeat_round: echoed; 0 where this answers no heartbeat.
    :param nonce: a number that no other reply has, which the leader echoes in its next `Append`; 0: none.
    """

    term: int
    epoch: int
    success: bool
    match_index: int
    heartbeat_round: int
    nonce: int = 0


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """A chunk of an encoded snapshot.

    :param index: log index of the last entry that the snapshot covers.
    :param size_bytes: of the complete encoded snapshot.
    :param digest: blake2b of the complete encoded snapshot, 16 bytes.
    :param offset: of `data` in the encoded snapshot.
    :param heartbeat_round: as in `Append`.
    """

    term: int
    epoch: int
    index: int
    size_bytes: int
    digest: bytes
    offset: int
    data: bytes
    heartbeat_round: int


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag="piece-taken"):
    """The follower has all bytes before `offset` of the snapshot with that digest.

    :param heartbeat_round: echoed.
    """

    term: int
    epoch: int
    digest: bytes
    offset: int
    heartbeat_round: int


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag="transfer"):
    """The sender led this term and has given up its lease; the receiver is to ask for votes at once.

    It is called TimeoutNow in Ongaro's dissertation, section 3.10.
    """

    term: int
    epoch: int


ConsensusMessage = VoteRequest | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply | TransferLeadership
