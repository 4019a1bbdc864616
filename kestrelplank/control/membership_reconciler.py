"""Management of learners and voters by the leader. No I/O.

The leader replicates the log to members that ask to be voters, and makes the membership changes planned by
`consensus.membership_planning`.
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
"""Minimum time that a former leader has to reply to its successor before it counts as unreachable."""


class MembershipReconciler:
    """Adjusts learners and voters to the platform's requirements while this member leads, one change at a time."""

    def __init__(self, now: int, profile: MemberProfile, replica: Replica, directory: PeerDirectory) -> None:
        self._profile = profile
        self._replica = replica
        self._directory = directory
        self._node = replica.node
        self._elected_at = now
        self._former_leader = ""
        self._former_leader_heard_at = now

    def handle_elected(self, now: int) -> None:
        """Count each voter as heard now, as a newly elected leader has no replies from them yet.

        The exception is the former leader: it counts as heard at its last heartbeat, or as late as leaves it
        `FIRST_REPLY_TIME_NS` to reply.
        """
        self._elected_at = now
        self._former_leader = self._node.last_heard_leader
        self._former_leader_heard_at = max(self._node.leader_heard_at, now + FIRST_REPLY_TIME_NS - VOTER_TIMEOUT_NS)

    def tick(self, now: int, *, stopping: bool) -> None:
        """Do the work that is due. Only called while this member leads.

        :param stopping: this member is shutting down.
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
        """Return the known state of each member that is a voter or asks to be one, the leader itself first."""
        own_identity = self._node.identity
        requesting = {member.identity: member for member in self._directory.requesting(now)}
        others = [
            identity for identity in dict.fromkeys((*self._replica.voters(), *requesting)) if identity != own_identity
        ]
        own_entry = KnownMember(own_identity, self._profile.zone, self._profile.eligible, stopping, now, caught_up=True)
        return [own_entry, *(self._candidate(identity, requesting.get(identity)) for identity in others)]

    def _candidate(self, identity: str, requesting: RequestingMember | None) -> KnownMember:
        """Return the known state of another member; one that sent no request counts as eligible and not stopping."""
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
        """Return the last-heard time assumed for a voter that has not replied since this leader's election."""
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
        """Transfer leadership, and log which reason of `membership_planning.should_hand_over` applies."""
        if stopping:
            reason = "this member is stopping"
        elif self._node.identity not in membership.voters:
            reason = f"this member is no voter of membership epoch {membership.epoch}"
        else:
            reason = "this member is not eligible and another can take its place"
        self._replica.log(f"hands leadership over: {reason}")
        self._replica.transfer_leadership(now)

    def _reconcile_learners(self, now: int) -> None:
        """Add and remove learners, so that they are the members that ask to be voters and are not voters yet."""
        voters = self._replica.voters()
        requesting = [member.identity for member in self._directory.requesting(now) if member.identity not in voters]
        for identity in requesting:
            self._node.add_learner(identity)
        for identity in [identity for identity in self._node.learners if identity not in requesting]:
            self._node.remove_learner(identity)


def describe(now: int, candidate: KnownMember) -> str:
    """Return the facts that explain why a voter is replaced, for the log line."""
    facts = [f"last heard {(now - candidate.heard_at) / SECOND:.1f} s ago"]
    if candidate.leaving:
        facts.append("stopping")
    if not candidate.eligible:
        facts.append("not eligible")
    return f"{candidate.identity} {', '.join(facts)}"
