"""What a leader does about who the voters are. No I/O.

It sends the log to members that ask to be a voter, and changes the membership where `consensus.membership_planning`
says so.
"""

from kestrelplank.consensus.log_entries import ChangeMembership
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.membership_planning import (
    VOTER_TIMEOUT_NS,
    KnownMember,
    plan_membership,
    should_hand_over,
    unsuitable_leaders,
)
from kestrelplank.consensus.timing import HEARTBEAT_INTERVAL_NS
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.peer_directory import PeerDirectory, RequestingMember
from kestrelplank.control.replica import Replica
from kestrelplank.time_units import SECOND

FIRST_REPLY_TIME_NS = 3 * HEARTBEAT_INTERVAL_NS // 2
"""So long at least a former leader has to reply to its successor, before it counts as silent."""


class MembershipReconciler:
    """Keeps learners and voters as the platform demands, while this member leads. One change at a time."""

    def __init__(self, now: int, profile: MemberProfile, replica: Replica, directory: PeerDirectory) -> None:
        self._profile = profile
        self._replica = replica
        self._directory = directory
        self._node = replica.node
        self._elected_at = now
        self._former_leader = ""
        self._former_leader_heard_at = now

    def handle_elected(self, now: int) -> None:
        """Count each voter as heard now: a member that has just been elected has not had answers from them yet.

        The former leader is the one of which we know better: it counts as silent since its last heartbeat.
        """
        self._elected_at = now
        self._former_leader = self._node.last_heard_leader
        self._former_leader_heard_at = max(self._node.leader_heard_at, now + FIRST_REPLY_TIME_NS - VOTER_TIMEOUT_NS)

    def tick(self, now: int, *, stopping: bool) -> None:
        """Do what is due; only while this member leads.

        :param stopping: this member is about to stop.
        """
        self._reconcile_learners(now)
        candidates = self.candidates(now, stopping=stopping)
        self._node.avoid_as_successors(unsuitable_leaders(candidates))
        membership = self._node.membership
        if membership is None or membership.joint or membership != self._replica.committed_membership:
            return
        planned = plan_membership(now, membership, candidates, self._node.identity, self._profile.target_voters)
        if planned is not None:
            self._propose(now, planned, candidates)
        elif should_hand_over(now, membership, candidates, self._node.identity):
            self._hand_over(now, membership, stopping=stopping)

    def candidates(self, now: int, *, stopping: bool) -> list[KnownMember]:
        """Return what the leader knows of each member that is a voter or asks to be one, itself first."""
        own = self._node.identity
        requesting = {member.identity: member for member in self._directory.requesting(now)}
        others = [identity for identity in dict.fromkeys((*self._replica.voters(), *requesting)) if identity != own]
        itself = KnownMember(own, self._profile.zone, self._profile.eligible, stopping, now, caught_up=True)
        return [itself, *(self._candidate(identity, requesting.get(identity)) for identity in others)]

    def _candidate(self, identity: str, requesting: RequestingMember | None) -> KnownMember:
        """Return what is known of another member; of a voter that has sent no request: eligible, not stopping."""
        peer = self._node.peers.get(identity)
        heard_at = peer.heard_at if peer is not None else 0
        if identity in self._replica.voters():
            heard_at = max(heard_at, self._heard_before_election_at(identity))
        caught_up = peer is not None and peer.caught_up(self._node.commit_index)
        if requesting is None:
            return KnownMember(identity, "", eligible=True, leaving=False, heard_at=heard_at, caught_up=caught_up)
        request = requesting.request
        heard_at = max(heard_at, requesting.heard_at)
        return KnownMember(identity, request.zone, request.eligible, request.leaving, heard_at, caught_up)

    def _heard_before_election_at(self, identity: str) -> int:
        """Return when a voter that has not replied since our election counts as heard last."""
        return self._former_leader_heard_at if identity == self._former_leader else self._elected_at

    def _propose(self, now: int, planned: Membership, candidates: list[KnownMember]) -> None:
        if self._replica.propose(now, ChangeMembership(planned)) is None:
            return
        replaced = set(planned.outgoing) - set(planned.voters)
        reasons = [describe(now, candidate) for candidate in candidates if candidate.identity in replaced]
        self._replica.log(
            f"proposes membership epoch {planned.epoch}: voters {', '.join(planned.voters)}"
            f" instead of {', '.join(planned.outgoing)}" + (f"; replaced: {'; '.join(reasons)}" if reasons else "")
        )

    def _hand_over(self, now: int, membership: Membership, *, stopping: bool) -> None:
        """Give up leading, and log which of the reasons that `membership_planning.should_hand_over` has it is."""
        if stopping:
            reason = "this member is stopping"
        elif self._node.identity not in membership.voters:
            reason = f"this member is no voter of membership epoch {membership.epoch}"
        else:
            reason = "this member is not eligible and another can take its place"
        self._replica.log(f"hands leadership over: {reason}")
        self._replica.transfer_leadership(now)

    def _reconcile_learners(self, now: int) -> None:
        """Make the members that ask to be voters and are none yet the learners, and nobody else."""
        voters = self._replica.voters()
        asking = [member.identity for member in self._directory.requesting(now) if member.identity not in voters]
        for identity in asking:
            self._node.add_learner(identity)
        for identity in [identity for identity in self._node.learners if identity not in asking]:
            self._node.remove_learner(identity)


def describe(now: int, candidate: KnownMember) -> str:
    """Return why a voter is replaced, for the log line: what the leader knows of it."""
    facts = [f"last heard {(now - candidate.heard_at) / SECOND:.1f} s ago"]
    if candidate.leaving:
        facts.append("stopping")
    if not candidate.eligible:
        facts.append("not eligible")
    return f"{candidate.identity} {', '.join(facts)}"
