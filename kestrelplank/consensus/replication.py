"""The leader's messages to the others: heartbeats, entries and snapshots, to each as far as its log goes."""

from kestrelplank.consensus.consensus_messages import Append, AppendReply, SnapshotReply
from kestrelplank.consensus.lease import LeaderLease
from kestrelplank.consensus.log_entries import Entry
from kestrelplank.consensus.member_state import MemberState
from kestrelplank.consensus.progress import Progress
from kestrelplank.consensus.snapshots import OutgoingSnapshot

MAX_APPEND_ENTRIES = 64
MAX_APPEND_BYTES = 64 << 10


class Replication:
    """The replication of the leader's log in one term.

    - `peers`: the progress of each other member that is sent the log, by identity.
    - `learners`: those of them that do not vote, as an ordered set (the values are None).

    A learner is sent only what is committed: a log that is newer than those of all who may lead would keep it from
    voting for them once it is a voter.
    """

    def __init__(self, state: MemberState, lease: LeaderLease) -> None:
        self.peers: dict[str, Progress] = {}
        self.learners: dict[str, None] = {}
        self._state = state
        self._lease = lease
        self._update_peers()

    # Who is sent the log.

    def add_learner(self, identity: str) -> None:
        """Send the log to that member too, which is no voter."""
        if identity != self._state.identity:
            self.learners[identity] = None
            self.peers.setdefault(identity, Progress(self._state.log.last_index + 1))

    def remove_learner(self, identity: str) -> None:
        """Send the log to that member only if it is a voter."""
        self.learners.pop(identity, None)
        self._update_peers()

    def follow_membership(self) -> None:
        """Take in that the membership has changed: learners that have become voters are learners no longer."""
        for voter in self._state.all_voters:
            self.learners.pop(voter, None)
        self._update_peers()

    def _update_peers(self) -> None:
        """Keep a `Progress` of each other voter and each learner, and begin one for those that are new."""
        identities = dict.fromkeys((*self._state.all_voters, *self.learners))
        identities.pop(self._state.identity, None)
        next_index = self._state.log.last_index + 1
        self.peers = {identity: self.peers.get(identity) or Progress(next_index) for identity in identities}

    # What is sent.

    def send_heartbeats(self, now: int) -> None:
        """Send each a heartbeat of the round that was just begun."""
        for identity, peer in self.peers.items():
            self._send_heartbeat(now, identity, peer)

    def send_new_entries(self, now: int) -> None:
        """Send new entries to each peer whose log matches, as far as they may be in flight."""
        for identity, peer in self.peers.items():
            if peer.log_matches:
                self._send_entries(now, identity, peer)

    def handle_append_reply(self, now: int, sender: str, reply: AppendReply) -> None:
        """Send what the follower is to have next."""
        peer = self.peers[sender]
        next_index_before = peer.next_index
        peer.update(now, reply)
        if reply.success or self._needs_snapshot(peer):
            self._send_entries(now, sender, peer)
        elif peer.next_index < next_index_before:
            # Ask about the lower index. A refusal that leads no lower is not answered: the next heartbeat asks again.
            self._send_append(now, sender, peer, ())

    def handle_snapshot_reply(self, now: int, sender: str, reply: SnapshotReply) -> None:
        """Send the next chunk."""
        peer = self.peers[sender]
        if peer.confirm_chunk(reply):
            self._send_chunk(now, sender, peer)

    def _send_heartbeat(self, now: int, identity: str, peer: Progress) -> None:
        """Ask the follower to answer, and send the snapshot on where it needs one.

        If entries were lost on the way the follower refuses the heartbeat, as its log ends before `next_index`.
        """
        if not self._needs_snapshot(peer):
            self._send_append(now, identity, peer, ())
            return
        # What the entry before `next_index` is, is not known any more: `previous_index` 0 asks nothing about the log.
        self._state.effects.send(identity, self._append(now, peer, 0, 0, ()))
        if peer.timed_out(now):
            peer.drop_snapshot()
        elif peer.outgoing_snapshot is None or peer.chunk_overdue(now):
            self._send_chunk(now, identity, peer)

    def _needs_snapshot(self, peer: Progress) -> bool:
        """Whether the peer is being sent a snapshot, or lacks entries that are not in memory any more."""
        return peer.outgoing_snapshot is not None or self._state.log.term_at(peer.next_index - 1) is None

    def _send_entries(self, now: int, identity: str, peer: Progress) -> None:
        """Send what the follower lacks, as far as it may be in flight at once."""
        if self._needs_snapshot(peer):
            if peer.outgoing_snapshot is None:
                self._send_chunk(now, identity, peer)
            return
        last_index = self._last_index_for(identity)
        while peer.may_send(last_index):
            max_entries = min(MAX_APPEND_ENTRIES, last_index - peer.next_index + 1)
            entries = self._state.log.entries_from(peer.next_index, max_entries, MAX_APPEND_BYTES)
            self._send_append(now, identity, peer, entries)
            peer.entries_sent(now, entries)

    def _last_index_for(self, identity: str) -> int:
        """Return the log index up to which that peer is sent entries: a learner has only what is committed."""
        state = self._state
        return state.log.last_index if identity in state.all_voters else state.commit_index

    def _send_append(self, now: int, identity: str, peer: Progress, entries: tuple[Entry, ...]) -> None:
        previous_index = peer.next_index - 1
        previous_term = self._state.log.term_at(previous_index) or 0
        self._state.effects.send(identity, self._append(now, peer, previous_index, previous_term, entries))

    def _append(
        self, now: int, peer: Progress, previous_index: int, previous_term: int, entries: tuple[Entry, ...]
    ) -> Append:
        state, lease = self._state, self._lease
        return Append(
            state.term,
            state.epoch,
            previous_index,
            previous_term,
            entries,
            state.commit_index,
            lease.round,
            nonce=peer.nonce,
            lease_ns=lease.remaining_ns(now),
        )

    def _send_chunk(self, now: int, identity: str, peer: Progress) -> None:
        """Send the next chunk of the snapshot that the peer is being sent; with none under way, begin the newest."""
        state = self._state
        if peer.outgoing_snapshot is None:
            if state.log.snapshot is None:
                return
            peer.outgoing_snapshot = OutgoingSnapshot(state.log.snapshot)
        peer.chunk_sent(now)
        chunk = peer.outgoing_snapshot.next_chunk(state.term, state.epoch, self._lease.round)
        state.effects.send(identity, chunk)
