"""Which membership a leader should propose: the policy for replacing, adding and removing voters.

No I/O, no state: the caller, on the leader, passes what it knows of each member, and `plan_membership` returns the
joint membership to propose, or None. Once the joint one is committed, a membership of only the new voters completes the
change. The policy is consulted only while the newest membership in the leader's log is committed.

A leader does not remove itself while another voter can lead. `should_hand_over` tells when it should transfer
leadership first; the new leader then replaces the old one.

Reasons, and the losses tolerated at each moment: docs/membership.md.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.quorum import has_majority
from kestrelplank.time_units import SECOND

VOTER_TIMEOUT_NS = 2 * SECOND
"""A voter that has not replied for this long is replaced, if there is a standby."""
STANDBY_TIMEOUT_NS = 1 * SECOND
"""A member becomes a voter only if it replied within this time, so that one that has just failed is not chosen."""


@dataclass(frozen=True, slots=True)
class KnownMember:
    """What the leader knows of one member that is a voter or requests to be one, including itself.

    :param identity: address and incarnation.
    :param zone: failure domain; "": unknown.
    :param eligible: whether it may be a voter (`quorum_member` in its settings: the platform counts the loss of its
        machine).
    :param leaving: whether it has announced that it is about to stop.
    :param heard_at: when it last replied, on the leader's steady clock; for a voter that has not replied since the
        election, when its last message before arrived, or else when the leader was elected.
    :param caught_up: whether it has all committed entries except a few, see `Progress.caught_up`.
    """

    identity: str
    zone: str
    eligible: bool
    leaving: bool
    heard_at: int
    caught_up: bool


class Condition(IntEnum):
    """Why a voter should be replaced. Values are compared: a higher one is more urgent."""

    HEALTHY = 0
    INELIGIBLE = 1
    LEAVING = 2
    TIMED_OUT = 3
    DISK_LOST = 4


def plan_membership(
    now: int, membership: Membership, known_members: Iterable[KnownMember], leader: str, target_voters: int
) -> Membership | None:
    """Return the joint membership that the leader should propose.

    None: nothing needs to change, a change is in progress, the leader is not a voter, or too few voters are reachable
    to complete a change.

    :param membership: the current one, which is committed.
    :param leader: identity of the leader, which is the caller.
    :param target_voters: number of voters that tolerates the losses required by the platform, 2 * losses + 1.
    """
    if membership.joint or leader not in membership.voters:
        return None
    members = _Members(now, membership, known_members, leader)
    voters = _without_surplus(membership.voters, members, target_voters)
    voters, standbys = _with_replacements(voters, members)
    voters = _with_additions(voters, standbys, members, target_voters)
    if set(voters) == set(membership.voters):
        return None
    reachable = members.reachable()
    if not has_majority(membership.voters, reachable) or not has_majority(tuple(voters), reachable):
        return None
    return _joint(membership, voters, members)


def should_hand_over(now: int, membership: Membership, known_members: Iterable[KnownMember], leader: str) -> bool:
    """Whether the leader should transfer leadership to another voter now.

    It should if it is leaving, if it is not among the new voters of a change, or if it is not eligible and a standby
    could replace it; but only while another voter is not leaving, has replied recently and is caught up.
    `Leadership.best_successor` chooses which one takes over.
    """
    members = _Members(now, membership, known_members, leader)
    able = (voter for voter in membership.voters if voter != leader and members.may_lead(voter))
    return members.leader_should_hand_over() and any(able)


def unsuitable_leaders(known_members: Iterable[KnownMember]) -> frozenset[str]:
    """Return the members that should not become leader even if caught up: those leaving or not eligible."""
    return frozenset(member.identity for member in known_members if member.leaving or not member.eligible)


class _Members:
    """What the leader knows of all members at one moment, with the policy's checks on them."""

    def __init__(self, now: int, membership: Membership, known_members: Iterable[KnownMember], leader: str) -> None:
        self._now = now
        self._membership = membership
        self._leader = leader
        self._known = {member.identity: member for member in known_members}
        self._identity_at = self._last_heard_by_address()

    def _last_heard_by_address(self) -> dict[str, str]:
        """Return the identity that runs at each address: the one that replied last, as an earlier one can't return."""
        running: dict[str, str] = {}
        for identity in sorted(self._known):
            address = address_of(identity)
            other = running.get(address)
            if other is None or self._known[identity].heard_at > self._known[other].heard_at:
                running[address] = identity
        running[address_of(self._leader)] = self._leader
        return running

    def is_leader(self, identity: str) -> bool:
        return identity == self._leader

    def zone(self, identity: str) -> str:
        """Return the failure domain that the member reported, else the one in the membership; "": unknown."""
        member = self._known.get(identity)
        if member is not None and member.zone:
            return member.zone
        return self._membership.zones.get(identity, "")

    def order(self, identity: str) -> tuple[str, str]:
        """Return the sort key that orders members if no other criterion applies."""
        return self.zone(identity), identity

    def condition(self, voter: str) -> Condition:
        """Return why `voter` should be replaced. The leader counts as healthy; see `should_hand_over`."""
        if voter == self._leader:
            return Condition.HEALTHY
        if self._identity_at.get(address_of(voter), voter) != voter:
            return Condition.DISK_LOST
        member = self._known.get(voter)
        if member is None:
            return Condition.HEALTHY
        if self._now - member.heard_at >= VOTER_TIMEOUT_NS:
            return Condition.TIMED_OUT
        if member.leaving:
            return Condition.LEAVING
        if not member.eligible:
            return Condition.INELIGIBLE
        return Condition.HEALTHY

    def should_be_replaced(self, voter: str) -> bool:
        """Whether a standby should replace `voter`."""
        if self.is_leader(voter):
            return self._is_sole_voter_handing_over()
        return self.condition(voter) is not Condition.HEALTHY

    def _is_sole_voter_handing_over(self) -> bool:
        """Whether the leader should hand over but is the only voter, so that a standby must become a voter first."""
        return self._membership.voters == (self._leader,) and self.leader_should_hand_over()

    def reachable(self) -> frozenset[str]:
        """Return the leader and all others that replied recently and whose disk is not lost."""
        heard = [
            identity
            for identity in self._known
            if self._identity_at[address_of(identity)] == identity and self.condition(identity) < Condition.TIMED_OUT
        ]
        return frozenset([self._leader, *heard])

    def may_vote(self, identity: str) -> bool:
        """Whether this member may be made a voter."""
        member = self._known[identity]
        return (
            self._identity_at[address_of(identity)] == identity
            and member.eligible
            and member.caught_up
            and not member.leaving
            and self._now - member.heard_at < STANDBY_TIMEOUT_NS
        )

    def may_lead(self, voter: str) -> bool:
        """Whether leadership may be transferred to `voter`: the conditions are those for a new voter."""
        return voter in self._known and self.may_vote(voter)

    def standbys(self) -> list[str]:
        """Return the members that could become voters now, in order."""
        voters = self._membership.voters
        able = [identity for identity in self._known if identity not in voters and self.may_vote(identity)]
        return sorted(able, key=self.order)

    def leader_should_hand_over(self) -> bool:
        """Whether the leader is not a voter, is leaving, or is not eligible while a standby could replace it."""
        if self._leader not in self._membership.voters:
            return True
        member = self._known.get(self._leader)
        if member is None:
            return False
        return member.leaving or (not member.eligible and bool(self.standbys()))


def _without_surplus(voters: tuple[str, ...], members: _Members, target_voters: int) -> list[str]:
    """Return `voters` without those beyond `target_voters`; the leader stays.

    Removed first is the voter that should be replaced most urgently, then one of the zone with most voters.
    """
    kept = list(voters)
    while len(kept) > max(1, target_voters):
        in_zone = _voters_by_zone(kept, members)
        droppable = [voter for voter in kept if not members.is_leader(voter)]
        surplus = max(
            droppable,
            key=lambda voter: (members.condition(voter), in_zone[members.zone(voter)], members.order(voter)),
        )
        kept.remove(surplus)
    return kept


def _with_replacements(voters: list[str], members: _Members) -> tuple[list[str], list[str]]:
    """Return `voters` with those that should be replaced exchanged for standbys, and the remaining standbys.

    The most urgent are replaced first. A machine that lost its disk replaces its own former identity before any other
    member does.
    """
    voters, standbys = list(voters), members.standbys()
    to_replace = [voter for voter in sorted(voters, key=members.order) if members.should_be_replaced(voter)]
    to_replace.sort(key=members.condition, reverse=True)
    for voter in list(to_replace):
        replacement = _at_same_address(voter, standbys)
        if replacement is not None:
            _replace(voters, standbys, voter, replacement)
            to_replace.remove(voter)
    for voter in to_replace:
        if not standbys:
            break
        _replace(voters, standbys, voter, _best_replacement(voters, standbys, voter, members))
    return voters, standbys


def _at_same_address(voter: str, standbys: list[str]) -> str | None:
    """Return the standby at the address of `voter`, whose disk was lost; None if there is none."""
    return next((standby for standby in standbys if address_of(standby) == address_of(voter)), None)


def _replace(voters: list[str], standbys: list[str], voter: str, replacement: str) -> None:
    voters[voters.index(voter)] = replacement
    standbys.remove(replacement)


def _best_replacement(voters: list[str], standbys: list[str], voter: str, members: _Members) -> str:
    """Return the standby that replaces `voter`: one of its zone, else one of the zone with fewest voters."""
    same_zone = [standby for standby in standbys if members.zone(standby) == members.zone(voter)]
    if same_zone:
        return same_zone[0]
    return _standby_of_smallest_zone([other for other in voters if other != voter], standbys, members)


def _with_additions(voters: list[str], standbys: list[str], members: _Members, target_voters: int) -> list[str]:
    """Return `voters` with standbys added, up to `target_voters`, if that raises the number of tolerated losses."""
    count = min(target_voters, len(voters) + len(standbys))
    count -= 1 - count % 2  # an even number tolerates no more losses than the next lower odd one
    voters, standbys = list(voters), list(standbys)
    while len(voters) < count:
        addition = _standby_of_smallest_zone(voters, standbys, members)
        voters.append(addition)
        standbys.remove(addition)
    return voters


def _standby_of_smallest_zone(voters: list[str], standbys: list[str], members: _Members) -> str:
    """Return the standby of the zone with fewest voters."""
    in_zone = _voters_by_zone(voters, members)
    return min(standbys, key=lambda standby: (in_zone[members.zone(standby)], members.order(standby)))


def _voters_by_zone(voters: list[str], members: _Members) -> Counter[str]:
    """Return how many of `voters` are in each zone."""
    return Counter(members.zone(voter) for voter in voters)


def _joint(membership: Membership, voters: list[str], members: _Members) -> Membership:
    """Return the joint membership for the change from `membership` to `voters`."""
    ordered = tuple(sorted(voters, key=members.order))
    all_voters = dict.fromkeys((*ordered, *membership.voters))
    return Membership(
        epoch=membership.epoch + 1,
        voters=ordered,
        outgoing=membership.voters,
        zones={voter: members.zone(voter) for voter in all_voters if members.zone(voter)},
    )
