"""The leader's messages to the other members: heartbeats, entries and snapshots, by the progress of each."""

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

    - `peers`: the progress of each other member that the log is replicated to, by identity.
    - `learners`: the peers that do not vote, as an ordered set (the values are None).

    A learner is sent only committed entries: if its log were newer than those of all possible leaders, it could not
    vote for any of them once it is a voter.
    """

    def __init__(self, state: MemberState, lease: LeaderLease) -> None:
        self.peers: dict[str, Progress] = {}
        self.learners: dict[str, None] = {}
        self._state = state
        self._lease = lease
        self._update_peers()

    # Peers.

    def add_learner(self, identity: str) -> None:
        """Replicate the log to this non-voting member too."""
        if identity != self._state.identity:
            self.learners[identity] = None
            self.peers.setdefault(identity, Progress(self._state.log.last_index + 1))

    def remove_learner(self, identity: str) -> None:
        """Replicate the log to that member only if it is a voter."""
        self.learners.pop(identity, None)
        self._update_peers()

    def apply_membership_change(self) -> None:
        """Update the peers to a changed membership; a learner that became a voter is no longer a learner."""
        for voter in self._state.all_voters:
            self.learners.pop(voter, None)
        self._update_peers()

    def _update_peers(self) -> None:
        """Keep the `Progress` of each other voter and each learner, and create one for new ones."""
        identities = dict.fromkeys((*self._state.all_voters, *self.learners))
        identities.pop(self._state.identity, None)
        next_index = self._state.log.last_index + 1
        self.peers = {identity: self.peers.get(identity) or Progress(next_index) for identity in identities}

    # Messages.

    def send_heartbeats(self, now: int) -> None:
        """Send each peer a heartbeat of the round that has just begun."""
        for identity, peer in self.peers.items():
            self._send_heartbeat(now, identity, peer)

    def send_new_entries(self, now: int) -> None:
        """Send new entries to each peer whose log matches, within its window."""
        for identity, peer in self.peers.items():
            if peer.log_matches:
                self._send_entries(now, identity, peer)

    def handle_append_reply(self, now: int, sender: str, reply: AppendReply) -> None:
        """Update the follower's progress, and send it the next entries or chunk."""
        peer = self.peers[sender]
        next_index_before = peer.next_index
        peer.update(now, reply)
        if reply.success or self._needs_snapshot(peer):
            self._send_entries(now, sender, peer)
        elif peer.next_index < next_index_before:
            # Try the lower index at once. If the index is not lower, the next heartbeat tries again.
            self._send_append(now, sender, peer, ())

    def handle_snapshot_reply(self, now: int, sender: str, reply: SnapshotReply) -> None:
        """Record which bytes the follower has, and send the next chunk."""
        peer = self.peers[sender]
        if peer.confirm_chunk(reply):
            self._send_chunk(now, sender, peer)

    def _send_heartbeat(self, now: int, identity: str, peer: Progress) -> None:
        """Send a heartbeat, and continue the snapshot transfer if the follower needs one.

        If entries were lost in transit, the follower rejects the heartbeat, as its log ends before `next_index`.
        """
        if not self._needs_snapshot(peer):
            self._send_append(now, identity, peer, ())
            return
        # The entry before `next_index` was compacted: with `previous_index` 0 the follower does not check its log.
        self._state.effects.send(identity, self._append(now, peer, 0, 0, ()))
        if peer.timed_out(now):
            peer.drop_snapshot()
        elif peer.outgoing_snapshot is None or peer.chunk_overdue(now):
            self._send_chunk(now, identity, peer)

    def _needs_snapshot(self, peer: Progress) -> bool:
        """Whether the peer is being sent a snapshot, or lacks entries that are no longer in memory."""
        return peer.outgoing_snapshot is not None or self._state.log.term_at(peer.next_index - 1) is None

    def _send_entries(self, now: int, identity: str, peer: Progress) -> None:
        """Send the follower missing entries within its window, or the first chunk of a snapshot."""
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
        """Return the log index up to which that peer is sent entries: for a learner, the commit index."""
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
        """Send the next chunk of the peer's snapshot; if there is none, begin with the newest."""
        state = self._state
        if peer.outgoing_snapshot is None:
            if state.log.snapshot is None:
                return
            peer.outgoing_snapshot = OutgoingSnapshot(state.log.snapshot)
        peer.chunk_sent(now)
        chunk = peer.outgoing_snapshot.next_chunk(state.term, state.epoch, self._lease.round)
        state.effects.send(identity, chunk)
