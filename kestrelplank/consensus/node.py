"""One member of the replicated log. No I/O: each call returns effects that an adapter carries out in order.

Sources: D. Ongaro and J. Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014); D. Ongaro,
*Consensus: Bridging Theory and Practice* (2014); C. Gray and D. Cheriton, *Leases* (1989). Differences from
them, and reasons: `election`, `lease`, `replication`, and docs/consensus.md.
"""

from random import Random
from typing import assert_never

from kestrelplank.consensus.consensus_messages import (
    Append,
    AppendReply,
    ConsensusMessage,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from kestrelplank.consensus.effects import Deposed, Effect, StepDownReason
from kestrelplank.consensus.election import Election
from kestrelplank.consensus.follower import Follower
from kestrelplank.consensus.leadership import Leadership
from kestrelplank.consensus.lease import LeaderLease
from kestrelplank.consensus.log import ReplicatedLog
from kestrelplank.consensus.log_entries import Command, Entry, HardState, Snapshot
from kestrelplank.consensus.member_state import MemberState
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.progress import Progress
from kestrelplank.consensus.roles import CatchUpState, Role
from kestrelplank.consensus.snapshots import IncomingSnapshot
from kestrelplank.consensus.timing import CONTACT_TIMEOUT_NS, LEASE_NS


class ConsensusNode:
    """One member: its election, its leadership if it leads, and its follower role, which share one state.

    Invariants, each with its test in `tests/consensus/`:

    - A term has at most one leader, and a committed entry is never replaced: in a model, for every order of events,
      `test_invariants_hold_in_every_explored_state`; in this code, under faults,
      `test_invariants_hold_under_random_faults_with_three_members`.
    - Term and commit index never decrease while a process runs; at most one member `leads` at a time, and it has all
      that was ever acknowledged: `test_invariants_hold_under_random_faults_with_five_members`.
    - A vote is sent only once it is durable:
      `test_vote_is_sent_only_when_durable_and_not_given_twice_after_restart`.
    - An entry is acknowledged only once it, and no other entry, is on disk at its index:
      `test_entries_that_a_snapshot_replaces_are_not_acknowledged_before_the_snapshot_is_durable`.
    - A member that replied to a leader votes for no other while the lease may run, even after a restart:
      `test_restarted_member_votes_for_its_last_leader_at_once_and_for_others_after_the_lease`.
    - Replies to heartbeats from before a pause of the process do not complete an election:
      `test_leader_frozen_before_its_first_commit_is_not_elected_by_stale_replies`.
    - Delayed messages do not make a follower current:
      `test_delayed_messages_do_not_make_a_frozen_follower_current`.
    - There is one membership change at a time, and it starts from all current voters:
      `test_membership_change_that_is_not_joint_with_all_voters_is_rejected`.
    - A member that is not a voter is sent only committed entries:
      `test_removed_voter_is_sent_only_committed_entries`.
    - A leader that a change removes leaves the last entry of the change to its successor:
      `test_removed_leader_leaves_the_final_membership_entry_to_its_successor`.
    - A snapshot is installed completely or not at all:
      `test_receiver_killed_at_any_chunk_restarts_and_never_has_a_partial_snapshot`.

    :param now: steady clock in integer ns, as in all calls.
    :param identity: identity of this member.
    :param membership: the membership at the very first start; None for a member that gets it from the log.
    :param hard_state: read from disk, as are `entries` and `snapshot`.
    :param first_start: the system has never run before, so no promise of an earlier process is outstanding.
    """

    def __init__(
        self,
        now: int,
        random: Random,
        identity: str,
        membership: Membership | None,
        hard_state: HardState,
        entries: tuple[Entry, ...],
        snapshot: Snapshot | None,
        first_start: bool,
    ) -> None:
        self._state = MemberState(identity, membership, hard_state, entries, snapshot)
        self._election = Election(now, random, self._state, self, first_start=first_start)
        self._follower = Follower(random, self._state, self._election, self)
        self._leadership: Leadership | None = None
        self._election.schedule_campaign(now)

    # State, for adapters and status reports.

    @property
    def identity(self) -> str:
        """Identity of this member."""
        return self._state.identity

    @property
    def log(self) -> ReplicatedLog:
        """The part of the replicated log that is in memory."""
        return self._state.log

    @property
    def hard_state(self) -> HardState:
        """Term, vote and leader, durable or being written."""
        return self._state.hard_state

    @property
    def term(self) -> int:
        """The newest term known."""
        return self._state.term

    @property
    def membership(self) -> Membership | None:
        """The newest membership known, committed or not."""
        return self._state.log.membership

    @property
    def epoch(self) -> int:
        """Epoch of the newest membership known; -1 if none is."""
        return self._state.epoch

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the newest membership known, committed or not."""
        return self._state.is_voter

    @property
    def role(self) -> Role:
        """Role of this member in its term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """Identity of the leader of this term; "": not known."""
        return self._state.leader

    @property
    def leader_heard_at(self) -> int:
        """When the last message from a leader arrived; 0: never."""
        return self._follower.contact.heard_at

    @property
    def last_heard_leader(self) -> str:
        """Identity of the leader that sent the last message, in any term; "": none yet."""
        return self._follower.contact.leader

    @property
    def commit_index(self) -> int:
        """Log index up to which entries are known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Log index up to which entries were emitted as `Applied` or covered by `Restored`."""
        return self._state.applied_index

    @property
    def durable_index(self) -> int:
        """Log index up to which the log is on disk."""
        return self._state.effects.durable_index

    @property
    def lease_until(self) -> int:
        """When this member's leader lease ends; 0: it has none."""
        lease = self._state.lease
        return lease.until if lease else 0

    @property
    def peers(self) -> dict[str, Progress]:
        """The replication progress of each other member by identity; empty if this member does not lead."""
        return self._leadership.replication.peers if self._leadership else {}

    @property
    def learners(self) -> dict[str, None]:
        """The `peers` that do not vote."""
        return self._leadership.replication.learners if self._leadership else {}

    @property
    def incoming_snapshot(self) -> IncomingSnapshot | None:
        """The snapshot that is being received, if any."""
        return self._follower.incoming_snapshot

    def leads(self, now: int) -> bool:
        """Whether this member may acknowledge orders, answer reads and make decisions at this moment.

        It was elected, so it has every entry that was ever committed, and its lease runs, so no other member can have
        been elected since.
        """
        lease = self._state.lease
        return lease is not None and lease.leads(now)

    def current(self, now: int) -> bool:
        """Whether this member leads, or has applied all entries up to a recent commit index of the leader."""
        if self._state.role is Role.LEADER:
            return self.leads(now)
        return self._follower.contact.current(now, self._state.applied_index)

    def in_contact(self, now: int) -> bool:
        """Whether the leader or, if this member leads, a quorum of the voters was heard within `CONTACT_TIMEOUT_NS`.

        This detects a partition earlier than `leads` and `current` do, which expire later.
        """
        lease = self._state.lease
        if lease is not None:
            return lease.renewed_within(now, CONTACT_TIMEOUT_NS)
        return now - self._follower.contact.heard_at < CONTACT_TIMEOUT_NS

    def voter_missing(self, now: int) -> bool:
        """Whether this member leads and another voter has not replied for `FOLLOWER_TIMEOUT_NS`."""
        return self._leadership is not None and self._leadership.voter_missing(now)

    def catch_up_state(self, now: int) -> CatchUpState:
        """Return how far this member has caught up with the committed log."""
        if self.current(now):
            return CatchUpState.CURRENT
        if self._follower.incoming_snapshot is not None:
            return CatchUpState.RECEIVING_SNAPSHOT
        if self._state.log.last_index == 0:
            return CatchUpState.EMPTY
        has_applied_all = self._follower.contact.has_applied_all(self._state.applied_index)
        return CatchUpState.FOLLOWING if has_applied_all else CatchUpState.BEHIND

    # Events; each call returns the effects to carry out.

    def receive(self, now: int, sender: str, message: ConsensusMessage) -> list[Effect]:
        """Handle a message from another member."""
        self._dispatch(now, sender, message)
        return self._state.effects.take_effects()

    def tick(self, now: int) -> list[Effect]:
        """Handle due timers: heartbeats, campaigns, lease expiry. Must be called at least every 50 ms."""
        if self._leadership is not None:
            self._leadership.tick(now)
        else:
            self._election.tick(now)
        return self._state.effects.take_effects()

    def propose(self, now: int, command: Command) -> tuple[int | None, list[Effect]]:
        """Append a command to the log, and return its log index.

        The index is None if this member does not lead, or if the command is a membership change that may not begin now.
        """
        index = None
        if self._leadership is not None and self.leads(now):
            index = self._leadership.propose(now, command)
        return index, self._state.effects.take_effects()

    def persisted(self, now: int, number: int) -> list[Effect]:
        """Process the completion of the `Persist` with that number and of all before it, which are now durable."""
        for send in self._state.effects.complete(number):
            if send.to == self._state.identity:
                self._dispatch(now, send.to, send.message)  # this member's own vote, which counts from now on
            else:
                self._state.effects.emit(send)
        if self._leadership is not None:
            self._leadership.advance_commit(now)
        return self._state.effects.take_effects()

    def compact(self, state: bytes) -> list[Effect]:
        """Replace the applied entries by a snapshot.

        :param state: the replicated state after `applied_index`.
        """
        log, applied_index = self._state.log, self._state.applied_index
        if applied_index > log.snapshot_index:
            snapshot = log.compact(applied_index, state)
            if snapshot is not None:
                entries, hard_state = log.entries_after_snapshot(), self._state.hard_state
                # The snapshot changes no entry that is on disk or that pending writes put there.
                self._state.effects.persist_snapshot(snapshot, entries, hard_state, matching_until=log.last_index)
        return self._state.effects.take_effects()

    def add_learner(self, identity: str) -> None:
        """Replicate the log to this non-voting member too, while this member leads."""
        if self._leadership is not None:
            self._leadership.replication.add_learner(identity)

    def remove_learner(self, identity: str) -> None:
        """Replicate the log to that member only if it is a voter."""
        if self._leadership is not None:
            self._leadership.replication.remove_learner(identity)

    def transfer_leadership(self, now: int) -> list[Effect]:
        """Transfer leadership, requested by an adapter; no effect if this member does not lead."""
        self.hand_over(now, StepDownReason.HANDED_OVER)
        return self._state.effects.take_effects()

    def avoid_as_successors(self, identities: frozenset[str]) -> None:
        """Prefer other voters to these when transferring leadership, while this member leads."""
        if self._leadership is not None:
            self._leadership.unsuitable_successors = identities

    def stop_campaigning(self) -> None:
        """Begin no more campaigns, as this member is about to stop."""
        self._election.may_campaign = False

    # Messages.

    def _dispatch(self, now: int, sender: str, message: ConsensusMessage) -> None:
        match message:
            case Append():
                self._follower.handle_append(now, sender, message)
            case AppendReply():
                self._handle_append_reply(now, sender, message)
            case VoteRequest():
                self._election.handle_vote_request(now, sender, message)
            case VoteReply():
                self._election.handle_vote_reply(now, sender, message)
            case SnapshotChunk():
                self._follower.handle_snapshot_chunk(now, sender, message)
            case SnapshotReply():
                self._handle_snapshot_reply(now, sender, message)
            case TransferLeadership():
                self._election.handle_transfer_leadership(now, sender, message)
            case _:
                assert_never(message)

    def _handle_append_reply(self, now: int, sender: str, reply: AppendReply) -> None:
        leadership = self._leadership_of(now, reply.term)
        if leadership is not None:
            leadership.handle_append_reply(now, sender, reply)

    def _handle_snapshot_reply(self, now: int, sender: str, reply: SnapshotReply) -> None:
        leadership = self._leadership_of(now, reply.term)
        if leadership is not None:
            leadership.handle_snapshot_reply(now, sender, reply)

    def _leadership_of(self, now: int, term: int) -> Leadership | None:
        """Return the leadership that a reply of that term is for; None if this member does not lead that term.

        A newer term is adopted first.
        """
        if term > self._state.term:
            self.adopt_term(now, term)
        return self._leadership if term == self._state.term else None

    # Role transitions (`RoleTransitions`).

    def become_leader(self, now: int) -> None:
        """Lead the current term, after a quorum voted for this member."""
        state = self._state
        state.role, state.leader = Role.LEADER, state.identity
        state.lease = LeaderLease(now)
        self._follower.incoming_snapshot = None
        self._election.promise_to_itself()
        state.update_hard_state(state.term, state.identity, state.identity)
        self._leadership = Leadership(now, state, state.lease, self)
        self._leadership.begin(now)

    def step_down(self, now: int, leader: str, reason: StepDownReason) -> None:
        """Become a follower; emit `Deposed` if this member was elected.

        :param leader: identity of the leader to follow; "": not known yet.
        """
        state = self._state
        if state.lease is not None and state.lease.elected:
            state.effects.emit(Deposed(reason))
        state.role, state.leader = Role.FOLLOWER, leader
        state.lease = None
        self._leadership = None
        self._election.schedule_campaign(now)

    def adopt_term(self, now: int, term: int, voted_for: str = "") -> None:
        """Step down into a newer term, whose leader is not known yet, and store the vote given in it."""
        self.step_down(now, "", StepDownReason.NEWER_TERM)
        self._state.update_hard_state(term, voted_for, "")

    def hand_over(self, now: int, reason: StepDownReason) -> None:
        """Step down, and ask the best successor to campaign at once; no effect if this member does not lead."""
        if self._leadership is None:
            return
        successor = self._leadership.best_successor(now)
        self._step_down_for(now, successor, reason)
        self._election.postpone_campaign(now + LEASE_NS)

    def step_down_after_lease(self, now: int) -> None:
        """Step down as the lease has expired; ask the last known successor to campaign, as messages may still reach it.

        Without the request the others wait until their promises end, which were renewed until now if only their replies
        are lost. This member may campaign again at once: if it is the only one running, no other member will.
        """
        if self._leadership is not None:
            self._step_down_for(now, self._leadership.last_known_successor(), StepDownReason.LEASE_EXPIRED)

    def _step_down_for(self, now: int, successor: str | None, reason: StepDownReason) -> None:
        """Step down, and ask the successor to campaign without waiting for promises to end."""
        state = self._state
        self.step_down(now, "", reason)
        if successor is not None:
            state.effects.send(successor, TransferLeadership(state.term, state.epoch))
