"""One member of the replicated log. No I/O: each call returns effects, which an adapter carries out in order.

Sources: D. Ongaro and J. Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014); D. Ongaro,
*Consensus: Bridging Theory and Practice* (2014); C. Gray and D. Cheriton, *Leases* (1989). Where this departs from
them, and why: `election`, `lease`, `replication`, and docs/consensus.md.
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
    """One member: its election, its leadership while it has one, its follower's side, over one shared state.

    Invariants, each with the test in `tests/consensus/` that holds it:

    - Of a term there is one leader, and no committed entry is ever replaced, in any order of events (of a small model):
      `test_no_order_of_steps_breaks_an_invariant`; of this code, under faults: `test_random_history_of_three`.
    - Term and commit index never decrease while a process runs; at most one member `leads` at a time, and it knows all
      that was ever acknowledged: `test_random_history_of_five`.
    - A vote is sent only once it is durable:
      `test_a_vote_is_sent_only_once_it_is_durable_and_not_twice_after_a_restart`.
    - An entry is acknowledged only once it, and nothing else, is on disk at its index:
      `test_entries_that_a_snapshot_replaces_are_not_acknowledged_before_the_snapshot_is_durable`.
    - Who has answered a leader votes for no other while the lease may run, also over a restart:
      `test_the_member_last_followed_is_voted_for_at_once_after_a_restart_and_others_after_the_lease`.
    - Answers to heartbeats from before a freeze make nobody leader:
      `test_a_leader_frozen_before_it_heard_of_its_first_entry_is_not_elected_by_old_answers`.
    - Messages that were held up make no follower current:
      `test_a_member_frozen_with_the_leaders_message_in_its_queue_is_not_current_by_it`.
    - One change of membership at a time, which leads from all present voters:
      `test_a_change_of_membership_that_does_not_begin_with_all_voters_is_refused`.
    - Who is no voter is sent only what is committed:
      `test_a_member_that_is_no_voter_any_more_is_sent_only_what_is_committed`.
    - A leader that a change removes leaves the change's last entry to its successor:
      `test_a_leader_that_is_removed_leaves_the_last_entry_to_its_successor`.
    - A snapshot is installed complete or not at all:
      `test_a_receiver_killed_at_each_chunk_begins_anew_and_never_has_half_of_it`.

    :param now: whole ns of the steady clock, as in all calls.
    :param identity: what the others know this member as.
    :param membership: who votes at the very first start; None for a member that learns it from the log.
    :param hard_state: with `entries` and `snapshot`: what its disk has.
    :param first_start: the system has never run before, so no promise of a former process need be waited for.
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

    # The state, for adapters and status.

    @property
    def identity(self) -> str:
        """What the others know this member as."""
        return self._state.identity

    @property
    def log(self) -> ReplicatedLog:
        """The replicated log, as far as it is in memory."""
        return self._state.log

    @property
    def hard_state(self) -> HardState:
        """Term, vote and leader, durable or on their way to the disk."""
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
        """Epoch of the newest membership known; -1 where none is."""
        return self._state.epoch

    @property
    def is_voter(self) -> bool:
        """Whether this member votes by the newest membership known, committed or not."""
        return self._state.is_voter

    @property
    def role(self) -> Role:
        """What this member is in its term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """Identity of the leader of this term as far as known; "": nobody."""
        return self._state.leader

    @property
    def leader_heard_at(self) -> int:
        """When a leader was heard last; 0: never."""
        return self._follower.contact.heard_at

    @property
    def last_heard_leader(self) -> str:
        """Identity of the leader that was heard last, of whatever term; "": none yet."""
        return self._follower.contact.leader

    @property
    def commit_index(self) -> int:
        """Log index up to which entries are committed, as far as known."""
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
        """Until when the lease of a leader runs; 0: it has none."""
        lease = self._state.lease
        return lease.until if lease else 0

    @property
    def peers(self) -> dict[str, Progress]:
        """The progress of each other member that a leader sends the log to, by identity."""
        return self._leadership.replication.peers if self._leadership else {}

    @property
    def learners(self) -> dict[str, None]:
        """Those of `peers` that do not vote."""
        return self._leadership.replication.learners if self._leadership else {}

    @property
    def incoming_snapshot(self) -> IncomingSnapshot | None:
        """What has come of a snapshot, if one is under way."""
        return self._follower.incoming_snapshot

    def leads(self, now: int) -> bool:
        """Whether this member may acknowledge, answer reads and decide at this very moment.

        It was elected, so it knows all that was ever committed, and its lease runs, so nobody else can have been since.
        """
        lease = self._state.lease
        return lease is not None and lease.leads(now)

    def current(self, now: int) -> bool:
        """Whether this member leads, or has lately heard the leader and has all that it said is committed."""
        if self._state.role is Role.LEADER:
            return self.leads(now)
        return self._follower.contact.current(now, self._state.applied_index)

    def in_contact(self, now: int) -> bool:
        """Whether the leader, or, where this member leads, a quorum of the voters, was heard lately.

        A member that is cut off finds that out here, before its lease or what made it current has expired.
        """
        lease = self._state.lease
        if lease is not None:
            return lease.renewed_within(now, CONTACT_TIMEOUT_NS)
        return now - self._follower.contact.heard_at < CONTACT_TIMEOUT_NS

    def voter_missing(self, now: int) -> bool:
        """Whether this member leads and has not heard another voter for a while."""
        return self._leadership is not None and self._leadership.voter_missing(now)

    def catch_up_state(self, now: int) -> CatchUpState:
        """Return how far this member has caught up with the committed log."""
        if self.current(now):
            return CatchUpState.CURRENT
        if self._follower.incoming_snapshot is not None:
            return CatchUpState.RECEIVING_SNAPSHOT
        if self._state.log.last_index == 0:
            return CatchUpState.EMPTY
        has_all = self._follower.contact.has_all(self._state.applied_index)
        return CatchUpState.FOLLOWING if has_all else CatchUpState.BEHIND

    # Events; each returns the effects to carry out.

    def receive(self, now: int, sender: str, message: ConsensusMessage) -> list[Effect]:
        """Take in a message of another member."""
        self._dispatch(now, sender, message)
        return self._state.effects.take_effects()

    def tick(self, now: int) -> list[Effect]:
        """Do what is due: heartbeats, campaigns, the end of a lease. To be called at least every 50 ms."""
        if self._leadership is not None:
            self._leadership.tick(now)
        else:
            self._election.tick(now)
        return self._state.effects.take_effects()

    def propose(self, now: int, command: Command) -> tuple[int | None, list[Effect]]:
        """Append a command to the log, and return its log index.

        The index is None where this member does not lead, or where the command is a change of membership that may not
        begin now.
        """
        index = None
        if self._leadership is not None and self.leads(now):
            index = self._leadership.propose(now, command)
        return index, self._state.effects.take_effects()

    def persisted(self, now: int, number: int) -> list[Effect]:
        """Take in that the `Persist` with that number is durable, and all before it."""
        for send in self._state.effects.complete(number):
            if send.to == self._state.identity:
                self._dispatch(now, send.to, send.message)  # our own vote, which counts from now on
            else:
                self._state.effects.emit(send)
        if self._leadership is not None:
            self._leadership.advance_commit(now)
        return self._state.effects.take_effects()

    def compact(self, state: bytes) -> list[Effect]:
        """Replace what has been applied by a snapshot.

        :param state: the replicated state after `applied_index`.
        """
        log, applied_index = self._state.log, self._state.applied_index
        if applied_index > log.snapshot_index:
            snapshot = log.compact(applied_index, state)
            if snapshot is not None:
                entries, hard_state = log.entries_after_snapshot(), self._state.hard_state
                # Nothing that is on disk changes by it, nor what former writes will have put there.
                self._state.effects.persist_snapshot(snapshot, entries, hard_state, matching_until=log.last_index)
        return self._state.effects.take_effects()

    def add_learner(self, identity: str) -> None:
        """Send the log to that member too, which is no voter, as long as this one leads."""
        if self._leadership is not None:
            self._leadership.replication.add_learner(identity)

    def remove_learner(self, identity: str) -> None:
        """Send the log to that member only if it is a voter."""
        if self._leadership is not None:
            self._leadership.replication.remove_learner(identity)

    def transfer_leadership(self, now: int) -> list[Effect]:
        """Hand leadership over as an adapter asks for it; nothing where this member does not lead."""
        self.hand_over(now, StepDownReason.HANDED_OVER)
        return self._state.effects.take_effects()

    def avoid_as_successors(self, identities: frozenset[str]) -> None:
        """Hand leadership over to none of these while another voter can take it; for as long as this member leads."""
        if self._leadership is not None:
            self._leadership.unsuitable_successors = identities

    def stop_campaigning(self) -> None:
        """Take in that this member is about to stop: it begins no campaign any more."""
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
        """Return the leadership that a reply of that term is for; None where this member does not lead that term.

        Where the term is newer than ours, adopt it first.
        """
        if term > self._state.term:
            self.adopt_term(now, term)
        return self._leadership if term == self._state.term else None

    # Changes of role (`RoleTransitions`).

    def become_leader(self, now: int) -> None:
        """Lead the current term, for which a quorum has voted."""
        state = self._state
        state.role, state.leader = Role.LEADER, state.identity
        state.lease = LeaderLease(now)
        self._follower.incoming_snapshot = None
        self._election.promise_to_itself()
        state.remember(state.term, state.identity, state.identity)
        self._leadership = Leadership(now, state, state.lease, self)
        self._leadership.begin(now)

    def step_down(self, now: int, leader: str, reason: StepDownReason) -> None:
        """Become a follower; emit `Deposed` where this member was elected.

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
        """Step down into a newer term, whose leader is not known yet, and remember the vote that was given in it."""
        self.step_down(now, "", StepDownReason.NEWER_TERM)
        self._state.remember(term, voted_for, "")

    def hand_over(self, now: int, reason: StepDownReason) -> None:
        """Step down, and ask the best successor to campaign at once; nothing where this member does not lead."""
        if self._leadership is None:
            return
        successor = self._leadership.best_successor(now)
        self._step_down_for(now, successor, reason)
        self._election.postpone_campaign(now + LEASE_NS)

    def leave_after_lease(self, now: int) -> None:
        """Step down as the lease has expired; ask the last known successor to campaign, as it may hear us still.

        The others wait for the end of their promises otherwise, which a leader that is heard but hears nobody has
        renewed until now. This member may campaign again at once: if it was alone, nobody else will.
        """
        if self._leadership is not None:
            self._step_down_for(now, self._leadership.last_known_successor(), StepDownReason.LEASE_EXPIRED)

    def _step_down_for(self, now: int, successor: str | None, reason: StepDownReason) -> None:
        """Step down, and ask the successor to campaign without waiting for the end of any promise."""
        state = self._state
        self.step_down(now, "", reason)
        if successor is not None:
            state.effects.send(successor, TransferLeadership(state.term, state.epoch))
