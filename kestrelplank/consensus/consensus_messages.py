"""Messages of the consensus protocol, handled by `ConsensusNode`.

Every message carries the sender's term and the epoch of the newest membership known to the sender. Tags and the order
of fields determine the bytes on the wire; field names do not.
"""

import msgspec

from kestrelplank.consensus.log_entries import Entry


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate asks for a vote.

    :param term: the term of the election; with `pre_vote`, the candidate's term + 1.
    :param last_index: log index of the candidate's last entry.
    :param last_term: term of that entry.
    :param pre_vote: only asks whether a vote would be granted; the answer commits the voter to nothing.
    :param transfer: the leader has stepped down and asked for this election, so voters need not wait for its lease.
    """

    term: int
    epoch: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """The reply to a `VoteRequest`.

    :param term: the requested term if the vote is granted, else the voter's own.
    """

    term: int
    epoch: int
    granted: bool
    pre_vote: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """The leader's log entries after `previous_index`; a heartbeat has none.

    :param previous_index: log index of the entry before the first of `entries`; also 0 in a heartbeat to a follower
        that needs a snapshot, which only requests a reply and does not check the log.
    :param previous_term: term of that entry.
    :param commit_index: log index up to which the leader knows entries to be committed.
    :param heartbeat_round: number of the leader's newest heartbeat round, echoed in the reply; the lease is counted
        from the start of that round.
    :param nonce: echo of the newest nonce received from this follower (0: none). The follower knows when it sent that
        nonce, which bounds the age of this message.
    :param lease_ns: remaining time of the leader's lease when this was sent; 0: it had none.
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
    """The reply to an `Append`; also sent when entries or a snapshot have become durable.

    :param success: whether the follower's log on disk matches the leader's up to `match_index`.
    :param match_index: without `success`: an index up to which the logs may match.
    :param heartbeat_round: echo of the heartbeat's round; 0 if this does not reply to a heartbeat.
    :param nonce: unique to this reply; the leader echoes it in its next `Append`; 0: none.
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
    """Confirms that the follower has all bytes before `offset` of the snapshot with that digest.

    :param heartbeat_round: echo of the chunk's round.
    """

    term: int
    epoch: int
    digest: bytes
    offset: int
    heartbeat_round: int


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag="transfer"):
    """The sender led this term and has released its lease; the receiver starts an election at once.

    Called TimeoutNow in Ongaro's dissertation, section 3.10.
    """

    term: int
    epoch: int


ConsensusMessage = VoteRequest | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply | TransferLeadership
