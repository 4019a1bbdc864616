"""A leader's state in one term: heartbeat rounds, lease, commit index and membership changes.

Source: D. Ongaro and J. Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014), sections 5.3, 5.4
(replication, commitment) and 6 (joint membership changes).
"""

from kestrelplank.consensus.consensus_messages import AppendReply, SnapshotReply
from kestrelplank.consensus.effects import Elected, StepDownReason
from kestrelplank.consensus.lease import LeaderLease
from kestrelplank.consensus.log_entries import ChangeMembership, Command, Entry, Noop
from kestrelplank.consensus.member_state import MemberState
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.progress import FOLLOWER_TIMEOUT_NS, Progress
from kestrelplank.consensus.quorum import reached_by_quorum
from kestrelplank.consensus.replication import Replication
from kestrelplank.consensus.roles import RoleTransitions
from kestrelplank.consensus.timing import HEARTBEAT_INTERVAL_NS
from kestrelplank.time_units import SECOND

SUCCESSOR_TIMEOUT_NS = 2 * HEARTBEAT_INTERVAL_NS  # `best_successor` skips a voter whose last reply is older
WRITE_STALL_NS = 1 * SECOND  # a leader hands over if one disk write takes longer


class Leadership:
    """What a member knows and does while it leads one term; created when it wins the vote, dropped when it steps down.

    It counts as elected only once the first entry of its term is committed while its lease runs: then it has every
    entry that was ever committed, and no other member can have been elected since.

    - `unsuitable_successors`: voters that get leadership only if no other voter can take it.
    """

    def __init__(self, now: int, state: MemberState, lease: LeaderLease, transitions: RoleTransitions) -> None:
        self.replication = Replication(state, lease)
        self.unsuitable_successors: frozenset[str] = frozenset()
        self._state = state
        self._lease = lease
        self._transitions = transitions
        self._begun_at = now
        self._next_heartbeat_at = now
        self._first_index_of_term = state.log.last_index + 1
        self._oldest_write: int | None = None  # number of the write that the disk is executing
        self._oldest_write_since = now

    def begin(self, now: int) -> None:
        """Append the first entry of the term, and send the first heartbeats."""
        self._append(now, Noop())
        self.tick(now)

    def tick(self, now: int) -> None:
        """Step down if the lease has expired or a disk write stalls; else begin a heartbeat round when it is due."""
        self._renew_lease(now)
        if self._lease.expired(now):
            self._transitions.step_down_after_lease(now)
            return
        if self._disk_hangs(now) and self.best_successor(now) is not None:
            self._transitions.hand_over(now, StepDownReason.DISK_HANGS)
            return
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_NS
        self._lease.begin_round(now)
        self.replication.send_heartbeats(now)

    def propose(self, now: int, command: Command) -> int | None:
        """Append a command; return its log index, or None for a membership change that may not begin now."""
        if isinstance(command, ChangeMembership) and not self._may_begin_change(command.membership):
            return None
        return self._append(now, command)

    def handle_append_reply(self, now: int, sender: str, reply: AppendReply) -> None:
        """Update a follower's progress and the lease, and commit entries that a quorum has."""
        if self._record_reply(now, sender, reply.heartbeat_round):
            self.replication.handle_append_reply(now, sender, reply)
            self._renew_lease(now)
            self.advance_commit(now)

    def handle_snapshot_reply(self, now: int, sender: str, reply: SnapshotReply) -> None:
        """Record how much of a snapshot a follower has, and that it replied; send the next chunk."""
        if self._record_reply(now, sender, reply.heartbeat_round):
            self.replication.handle_snapshot_reply(now, sender, reply)

    def advance_commit(self, now: int) -> None:
        """Commit the entries that a quorum has on disk, if the last of them is of this term.

        Entries of earlier terms are committed only by a later entry of this term (section 5.4.2).
        """
        state = self._state
        reached = reached_by_quorum(state.membership, self._durable_index_of)
        if reached <= state.commit_index or state.log.term_at(reached) != state.term:
            return
        state.commit(reached)
        self._confirm_election(now)
        self.replication.send_new_entries(now)
        # The next tick sends the new commit index to the followers.
        self._next_heartbeat_at = min(self._next_heartbeat_at, now)
        self._finish_change(now)

    def best_successor(self, now: int) -> str | None:
        """Return the voter that should lead next, of those that replied within `SUCCESSOR_TIMEOUT_NS`.

        Preferred is one that has all committed entries and is not in `unsuitable_successors`, else the one with the
        longest log. Whether to hand over is decided elsewhere: by `membership_planning.should_hand_over`, by a
        membership change that removes the leader, or because a disk write has stalled.
        """
        answering = [
            (voter, peer)
            for voter, peer in self._peers_of(self._voters())
            if now - peer.heard_at < SUCCESSOR_TIMEOUT_NS
        ]
        return self._most_suitable(answering)

    def last_known_successor(self) -> str | None:
        """Return the best successor of the voters that have replied in this term, however long ago."""
        return self._most_suitable([(voter, peer) for voter, peer in self._peers_of(self._voters()) if peer.heard_at])

    def voter_missing(self, now: int) -> bool:
        """Whether a voter has not replied for `FOLLOWER_TIMEOUT_NS`, so that fewer losses are tolerated."""
        return any(
            now - max(peer.heard_at, self._begun_at) > FOLLOWER_TIMEOUT_NS
            for _, peer in self._peers_of(self._state.all_voters)
        )

    def _most_suitable(self, peers: list[tuple[str, Progress]]) -> str | None:
        def rank(known: tuple[str, Progress]) -> tuple[bool, int, str]:
            voter, peer = known
            has_all_committed = peer.match_index >= self._state.commit_index
            return has_all_committed and voter not in self.unsuitable_successors, peer.match_index, voter

        return max(peers, key=rank)[0] if peers else None

    def _voters(self) -> tuple[str, ...]:
        return self._state.membership.voters

    def _disk_hangs(self, now: int) -> bool:
        """Whether the local disk has been executing one write for `WRITE_STALL_NS`."""
        oldest_write = self._state.effects.oldest_pending_write()
        if oldest_write is None or oldest_write != self._oldest_write:
            self._oldest_write, self._oldest_write_since = oldest_write, now
        return oldest_write is not None and now - self._oldest_write_since >= WRITE_STALL_NS

    def _durable_index_of(self, voter: str) -> int:
        """Return the log index up to which that voter's log on disk is known to match this log."""
        if voter == self._state.identity:
            return self._state.effects.durable_index
        peer = self.replication.peers.get(voter)
        return peer.match_index if peer else 0

    def _peers_of(self, voters: tuple[str, ...]) -> list[tuple[str, Progress]]:
        peers = self.replication.peers
        return [(voter, peers[voter]) for voter in voters if voter in peers]

    def _record_reply(self, now: int, sender: str, heartbeat_round: int) -> bool:
        """Record that a member has replied; return whether the log is replicated to it."""
        peer = self.replication.peers.get(sender)
        if peer is None:
            return False
        peer.record_reply(now, self._lease.round_begun_at(heartbeat_round))
        return True

    def _append(self, now: int, command: Command) -> int:
        """Append a command to the log, persist and send it; return its log index.

        A new membership is in effect from here on, before it is committed.
        """
        state = self._state
        entry = Entry(state.log.last_index + 1, state.term, command)
        state.log.append((entry,))
        if isinstance(command, ChangeMembership):
            self.replication.apply_membership_change()
        state.effects.persist_entries((entry,))
        self.replication.send_new_entries(now)
        return entry.index

    # The lease.

    def _renew_lease(self, now: int) -> None:
        """Extend the lease by the newest heartbeat round that a quorum replied to; this may complete the election."""

        def answered_round_begun_at(voter: str) -> int:
            if voter == self._state.identity:
                return now
            peer = self.replication.peers.get(voter)
            return peer.answered_round_begun_at if peer else 0

        self._lease.extend(reached_by_quorum(self._state.membership, answered_round_begun_at))
        self._confirm_election(now)

    def _confirm_election(self, now: int) -> None:
        """Emit `Elected` once, when the first entry of the term is committed and the lease runs."""
        lease = self._lease
        if not lease.elected and self._state.commit_index >= self._first_index_of_term and now < lease.until:
            lease.elected = True
            self._state.effects.emit(Elected(self._state.term))

    # Membership changes.

    def _may_begin_change(self, proposed: Membership) -> bool:
        """Whether no change is in progress, and the proposed one starts from the current voters, at the next epoch."""
        state = self._state
        membership = state.membership
        if state.log.membership_index > state.commit_index or membership.joint:
            return False
        follows = proposed.outgoing == membership.voters and proposed.epoch == membership.epoch + 1
        return follows and bool(proposed.voters)

    def _finish_change(self, now: int) -> None:
        """Append the membership of the new voters alone once the joint one is committed.

        A leader that is not a new voter hands over instead, and its successor appends that entry. If only this leader
        had the entry, it could not be elected again, nor vote for members that lack the entry.
        """
        state = self._state
        membership = state.membership
        if state.log.membership_index > state.commit_index:
            return
        if state.identity not in membership.voters:
            self._transitions.hand_over(now, StepDownReason.HANDED_OVER)
        elif membership.joint:
            self._append(now, ChangeMembership(membership.without_outgoing()))
            self.advance_commit(now)
