"""Elections: which candidate a member may vote for, when it campaigns, and how it is elected.

Source: D. Ongaro, *Consensus: Bridging Theory and Practice* (2014), sections 3.4 (elections), 3.10 (leadership
transfer), 9.6 (pre-vote). The docstring of `Election` lists the differences.
"""

from random import Random

from kestrelplank.consensus.consensus_messages import TransferLeadership, VoteReply, VoteRequest
from kestrelplank.consensus.member_state import MemberState
from kestrelplank.consensus.quorum import is_quorum
from kestrelplank.consensus.roles import Role, RoleTransitions
from kestrelplank.consensus.timing import CAMPAIGN_RETRY_INTERVAL_NS, CAMPAIGN_STAGGER_NS, LEASE_NS


class Election:
    """One member's votes and campaigns.

    - A member that replied to a leader votes for no other candidate for `LEASE_NS`. This promise is what the leader's
      lease relies on. After a restart it waits `LEASE_NS` again, as it may have replied just before. Two exceptions: it
      may vote at once for the leader that it followed last, which no longer leads if it asks for votes; and, in the
      term right after the current one, for the member that the leader asked to take over.
    - A candidate first asks whether votes would be granted (pre-vote), so a partitioned member raises no term.
    - A voter rejects a candidate that does not vote in the newest membership that the voter knows to be committed,
      unless the candidate knows a newer membership.
    - A vote, including a candidate's own, counts only once it is durable.

    `may_campaign`: False for a member that is about to stop.

    :param first_start: the system has never run before, so no promise of an earlier process is outstanding.
    """

    def __init__(
        self, now: int, random: Random, state: MemberState, transitions: RoleTransitions, *, first_start: bool
    ) -> None:
        self.may_campaign = True
        self._random = random
        self._state = state
        self._transitions = transitions
        # The only member it may vote for before `_promised_until`: the last leader it heard from (after a restart, the
        # last one followed or else voted for), or itself if it led last.
        self._promised_to = state.hard_state.leader or state.hard_state.voted_for
        self._promised_until = now if first_start else now + LEASE_NS
        self._campaign_at = now
        self._pre_vote = False  # whether the current campaign is a pre-vote
        self._votes: set[str] = set()  # voters that granted a vote in the current campaign

    # Promises.

    def promise(self, now: int, leader: str) -> None:
        """Vote only for this leader, which has just sent a message, while its lease may run."""
        self._promised_to, self._promised_until = leader, now + LEASE_NS
        self.schedule_campaign(now)

    def promise_to_itself(self) -> None:
        """Record that this member leads: once it steps down, it may campaign without waiting for any promise."""
        self._promised_to = self._state.identity

    # Campaigns.

    def schedule_campaign(self, now: int) -> None:
        """Set when this member campaigns if no leader contacts it before then.

        Voters campaign one after the other, in the order of the membership, so that votes are seldom split. A member
        that led last, or voted for itself, is bound by no promise to another member and campaigns first.
        """
        promised_to_itself = self._promised_to == self._state.identity
        free_at = now if promised_to_itself else max(now, self._promised_until)
        position = 0 if promised_to_itself else self._position_among_voters()
        self._campaign_at = free_at + position * CAMPAIGN_STAGGER_NS + self._random.randrange(CAMPAIGN_STAGGER_NS)

    def _position_among_voters(self) -> int:
        """Return this member's position in the membership; after all voters if it does not vote."""
        identity, voters = self._state.identity, self._state.all_voters
        return voters.index(identity) if identity in voters else len(voters)

    def postpone_campaign(self, until: int) -> None:
        """Do not campaign before `until`, as this member has just handed leadership over."""
        self._campaign_at = until

    def tick(self, now: int) -> None:
        """Campaign if it is due. Must not be called while this member leads."""
        if now >= self._campaign_at:
            self._begin_pre_vote(now)

    def handle_transfer_leadership(self, now: int, sender: str, message: TransferLeadership) -> None:
        """Campaign at once if the leader of this term asks for it."""
        state = self._state
        from_leader = message.term == state.term and sender in (state.leader, state.hard_state.leader)
        if from_leader and state.role is Role.FOLLOWER and self._may_be_elected():
            self._begin_election(now, transfer=True)

    def _may_be_elected(self) -> bool:
        return self.may_campaign and self._state.is_voter

    def _begin_pre_vote(self, now: int) -> None:
        """Begin a campaign with a pre-vote; a new term begins only once a quorum would grant its vote.

        A member that may not be elected becomes a follower instead, and checks again at the next retry.
        """
        state = self._state
        self._schedule_retry(now)
        if not self._may_be_elected():
            state.role = Role.FOLLOWER
            return
        state.role = Role.CANDIDATE
        self._pre_vote, self._votes = True, {state.identity}
        request = self._vote_request(state.term + 1, transfer=False)
        for voter in self._other_voters():
            state.effects.send(voter, request)
        self._count_votes(now)

    def _begin_election(self, now: int, *, transfer: bool) -> None:
        """Begin a new term and request votes in it.

        :param transfer: the leader of the previous term asked for it, so voters need not wait for that leader's lease.
        """
        state = self._state
        state.role, state.leader = Role.CANDIDATE, ""
        self._pre_vote, self._votes = False, set()
        self._schedule_retry(now)
        state.update_hard_state(state.term + 1, state.identity, "")
        # This member's own vote is sent to itself, so that it counts only once durable: see `ConsensusNode.persisted`.
        own_vote = VoteReply(state.term, state.epoch, granted=True)
        state.effects.send_when_durable(state.identity, own_vote)
        request = self._vote_request(state.term, transfer=transfer)
        for voter in self._other_voters():
            state.effects.send_when_durable(voter, request)

    def _schedule_retry(self, now: int) -> None:
        self._campaign_at = now + CAMPAIGN_RETRY_INTERVAL_NS + self._random.randrange(CAMPAIGN_STAGGER_NS)

    def _vote_request(self, term: int, *, transfer: bool) -> VoteRequest:
        log = self._state.log
        return VoteRequest(
            term, self._state.epoch, log.last_index, log.last_term, pre_vote=self._pre_vote, transfer=transfer
        )

    def _other_voters(self) -> list[str]:
        return [voter for voter in self._state.all_voters if voter != self._state.identity]

    def handle_vote_reply(self, now: int, sender: str, reply: VoteReply) -> None:
        """Count a vote, or adopt the newer term of a voter that rejects."""
        state = self._state
        if state.role is not Role.CANDIDATE or reply.pre_vote != self._pre_vote:
            return
        requested_term = state.term + 1 if self._pre_vote else state.term
        if reply.granted and reply.term == requested_term:
            self._votes.add(sender)
            self._count_votes(now)
        elif not reply.granted and reply.term > state.term:
            self._transitions.adopt_term(now, reply.term)

    def _count_votes(self, now: int) -> None:
        if not is_quorum(self._state.membership, self._votes):
            return
        if self._pre_vote:
            self._begin_election(now, transfer=False)
        else:
            self._transitions.become_leader(now)

    # Votes for others.

    def handle_vote_request(self, now: int, sender: str, request: VoteRequest) -> None:
        """Reply to a candidate, and vote for it if all conditions are met."""
        state = self._state
        granted = self._would_vote(now, sender, request)
        if request.pre_vote:
            self._answer_pre_vote(sender, request, granted=granted)
            return
        # While bound by a promise, ignore the newer term, so that the candidate does not depose the leader.
        if request.term > state.term and (granted or self._free_to_vote(now, sender, request)):
            self._transitions.adopt_term(now, request.term, sender if granted else "")
        elif granted:
            state.update_hard_state(state.term, sender, state.hard_state.leader)
        if granted:
            self.schedule_campaign(now)
            # The candidate has this long to win before this member campaigns itself.
            self._campaign_at = max(self._campaign_at, now + CAMPAIGN_RETRY_INTERVAL_NS)
        state.effects.send_when_durable(sender, VoteReply(state.term, state.epoch, granted))

    def _answer_pre_vote(self, sender: str, request: VoteRequest, *, granted: bool) -> None:
        """Reply whether a vote would be granted; this changes no state, so no write has to be durable first."""
        state = self._state
        reply = VoteReply(request.term if granted else state.term, state.epoch, granted, pre_vote=True)
        state.effects.send(sender, reply)

    def _would_vote(self, now: int, sender: str, request: VoteRequest) -> bool:
        """Whether to grant a vote: at most one a term, none in an older term, none to a candidate with an older log."""
        state = self._state
        if request.term < state.term or not self._free_to_vote(now, sender, request):
            return False
        if request.term == state.term:
            voted_for = state.hard_state.voted_for
            voted_for_another = bool(voted_for) and voted_for != sender
            # A pre-vote requests the candidate's term + 1: if that is this member's current term, it is too late.
            if request.pre_vote or voted_for_another or state.role is Role.LEADER:
                return False
        # Section 3.6.1, "at least as up-to-date".
        return (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)

    def _free_to_vote(self, now: int, sender: str, request: VoteRequest) -> bool:
        """Whether the committed membership, this member's lease and its last promise allow a vote for the sender."""
        state = self._state
        committed = state.log.membership_at(state.commit_index)
        if committed is not None and sender not in committed.all_voters() and request.epoch <= committed.epoch:
            return False
        if state.lease is not None and not state.lease.expired(now):
            return False
        if request.transfer and request.term == state.term + 1:
            return True
        return now >= self._promised_until or sender == self._promised_to
