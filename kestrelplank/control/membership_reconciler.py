"""What a leader does about who counts: it sends the log to members that ask to count, and changes the membership where
`consensus.membership_planning` says so. No I/O."""

from kestrelplank.consensus.log_entries import ChangeMembership
from kestrelplank.consensus.membership_planning import Candidate, plan_membership, successor
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.peer_directory import PeerDirectory, Standby
from kestrelplank.control.replica import Replica


class MembershipReconciler:
    """The leader's care for the members that count, and for those that want to."""

    def __init__(self, now: int, place: MemberProfile, replica: Replica, directory: PeerDirectory) -> None:
        self._place, self._replica, self._directory = place, replica, directory
        self._node = replica.node
        self._elected_at = now

    def elected(self, now: int) -> None:
        """This member leads from now on."""
        self._elected_at = now

    def tick(self, now: int, stopping: bool) -> None:
        """Only while this member leads. `stopping`: it is about to stop."""
        self._feed_learners(now)
        membership = self._node.membership
        if membership is None or membership.joint or membership != self._replica.committed:
            return
        candidates = self.candidates(now, stopping)
        plan = plan_membership(now, membership, candidates, self._node.identity, self._place.target_voters)
        if plan is not None:
            if self._replica.propose(now, ChangeMembership(plan)) is not None:
                new, old = ", ".join(plan.voters), ", ".join(plan.outgoing)
                self._replica.log(f"proposes epoch {plan.epoch}: {new} instead of {old}")
        elif successor(now, membership, candidates, self._node.identity) is not None:
            self._replica.log("hands leadership over")
            self._replica.add(self._node.transfer_leadership(now))

    def candidates(self, now: int, stopping: bool) -> list[Candidate]:
        """What the leader knows of each member that runs or counts, itself first."""
        own = self._node.identity
        asked = {standby.identity: standby for standby in self._directory.standbys(now)}
        others = [one for one in dict.fromkeys((*self._replica.voters(), *asked)) if one != own]
        itself = Candidate(own, self._place.zone, self._place.eligible, stopping, now, caught_up=True)
        return [itself, *(self._candidate(identity, asked.get(identity)) for identity in others)]

    def _candidate(self, identity: str, standby: Standby | None) -> Candidate:
        peer = self._node.peers.get(identity)
        heard_at = peer.heard_at if peer is not None else 0
        if identity in self._replica.voters():
            heard_at = max(heard_at, self._elected_at)
        caught_up = peer is not None and peer.caught_up(self._node.commit_index)
        if standby is None:
            return Candidate(identity, "", True, False, heard_at, caught_up)
        request = standby.request
        heard_at = max(heard_at, standby.heard_at)
        return Candidate(identity, request.zone, request.eligible, request.leaving, heard_at, caught_up)

    def _feed_learners(self, now: int) -> None:
        """Sends the log to members that ask to count and do not yet, and to no others."""
        voters = self._replica.voters()
        asking = [standby.identity for standby in self._directory.standbys(now) if standby.identity not in voters]
        for identity in asking:
            self._node.add_learner(identity)
        for identity in [identity for identity in self._node.learners if identity not in asking]:
            self._node.remove_learner(identity)
