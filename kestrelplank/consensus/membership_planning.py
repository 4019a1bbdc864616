"""Who should count next: the policy by which a leader changes the membership of the control members.

Pure: the leader's node tells what it knows of each member, `plan_membership` answers the joint membership to propose,
or None. Once the joint one is committed the node proposes `finish` of it; once that is committed the change is over.
The node asks for a plan only while the newest membership in its log is committed.

A leader never takes itself out while another voter can lead. `successor` tells whom it should transfer leadership to
first; the new leader then gives the old one's place away.

Why it is done so, with what is borne at each moment: docs/membership.md.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.quorum import has_majority

SECOND = 1_000_000_000
REPLACE_AFTER = 2 * SECOND
"""A voter that answered nothing for so long is replaced, if somebody can take its place."""
NEWCOMER_HEARD_WITHIN = SECOND
"""A member becomes a voter only if it answered within this time: one that has just died must not be counted in."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """What the leader knows of one running member, voter or not, itself included.

    `identity`: address and incarnation. `zone`: "" if unknown. `eligible`: the platform counts its machine's loss.
    `leaving`: it said that it is about to stop. `heard_at`: ns on the leader's steady clock of its last reply; for a
    voter that has not replied since the election, when it was last heard before, or else when the leader was elected.
    `caught_up`: it holds the leader's log up to the newest entry, or nearly.
    """

    identity: str
    zone: str
    eligible: bool
    leaving: bool
    heard_at: int
    caught_up: bool


class Condition(IntEnum):
    """Why a voter should give up its place, least urgent first."""

    SOUND = 0
    INELIGIBLE = 1
    LEAVING = 2
    SILENT = 3
    DISK_LOST = 4


def plan_membership(
    now: int, membership: Membership, candidates: Iterable[Candidate], leader: str, target_voters: int
) -> Membership | None:
    """The joint membership that `leader` should propose at `now` (ns) on top of `membership`, which is committed.

    `target_voters`: how many voters bear the losses that the platform demands, 2 * losses + 1. None: nothing is to be
    changed, a change is under way, or too few voters are in touch to carry one.
    """
    if membership.joint or leader not in membership.voters:
        return None
    view = _View(now, membership, candidates, leader)
    voters = _without_surplus(membership.voters, view, target_voters)
    voters, standbys = _replaced(voters, view)
    voters = _grown(voters, standbys, view, target_voters)
    if set(voters) == set(membership.voters):
        return None
    in_touch = view.in_touch()
    if not has_majority(membership.voters, in_touch) or not has_majority(tuple(voters), in_touch):
        return None
    return _joint(membership, voters, view)


def finish(membership: Membership) -> Membership:
    """The membership that ends the change `membership`, to be proposed once that one is committed."""
    if not membership.joint:
        raise ValueError(f"membership of epoch {membership.epoch} is not joint")
    return Membership(
        epoch=membership.epoch + 1,
        voters=membership.voters,
        zones={voter: membership.zones[voter] for voter in membership.voters if voter in membership.zones},
    )


def successor(now: int, membership: Membership, candidates: Iterable[Candidate], leader: str) -> str | None:
    """Whom the leader should transfer leadership to now, or None if it should go on leading.

    It hands over when it is leaving; when a change that it is no voter of awaits its end; and when it is not eligible
    while another could have its place. The successor is a voter that stays, has answered lately and is caught up.
    """
    view = _View(now, membership, candidates, leader)
    if not view.leader_should_go():
        return None
    able = [voter for voter in membership.voters if voter != leader and view.may_lead(voter)]
    return min(able, key=view.order, default=None)


class _View:
    """What the leader knows at one moment, by identity."""

    def __init__(self, now: int, membership: Membership, candidates: Iterable[Candidate], leader: str) -> None:
        self._now = now
        self._membership = membership
        self._leader = leader
        self._known = {candidate.identity: candidate for candidate in candidates}
        self._running = self._last_heard_by_address()

    def _last_heard_by_address(self) -> dict[str, str]:
        """Which identity runs at each address: the last one heard there, as a former one can't return."""
        running: dict[str, str] = {}
        for identity in sorted(self._known):
            address = address_of(identity)
            rival = running.get(address)
            if rival is None or self._known[identity].heard_at > self._known[rival].heard_at:
                running[address] = identity
        running[address_of(self._leader)] = self._leader
        return running

    def is_leader(self, identity: str) -> bool:
        return identity == self._leader

    def zone(self, identity: str) -> str:
        candidate = self._known.get(identity)
        if candidate is not None and candidate.zone:
            return candidate.zone
        return self._membership.zones.get(identity, "")

    def order(self, identity: str) -> tuple[str, str]:
        """The order in which members are taken where nothing else decides."""
        return self.zone(identity), identity

    def condition(self, voter: str) -> Condition:
        """Why `voter` should give up its place. The leader is sound; `successor` looks after it."""
        if voter == self._leader:
            return Condition.SOUND
        if self._running.get(address_of(voter), voter) != voter:
            return Condition.DISK_LOST
        candidate = self._known.get(voter)
        if candidate is None:
            return Condition.SOUND
        if self._now - candidate.heard_at >= REPLACE_AFTER:
            return Condition.SILENT
        if candidate.leaving:
            return Condition.LEAVING
        if not candidate.eligible:
            return Condition.INELIGIBLE
        return Condition.SOUND

    def in_touch(self) -> frozenset[str]:
        """The leader, and all that run and were heard since `REPLACE_AFTER`."""
        heard = [
            identity
            for identity in self._known
            if self._running[address_of(identity)] == identity and self.condition(identity) < Condition.SILENT
        ]
        return frozenset([self._leader, *heard])

    def may_count(self, identity: str) -> bool:
        """Whether this member may be made a voter."""
        candidate = self._known[identity]
        return (
            self._running[address_of(identity)] == identity
            and candidate.eligible
            and candidate.caught_up
            and not candidate.leaving
            and self._now - candidate.heard_at < NEWCOMER_HEARD_WITHIN
        )

    def may_lead(self, voter: str) -> bool:
        return voter in self._known and self.may_count(voter)

    def standbys(self) -> list[str]:
        """Who could become a voter now, in order."""
        voters = self._membership.voters
        return sorted((one for one in self._known if one not in voters and self.may_count(one)), key=self.order)

    def heir(self, voter: str, standbys: list[str]) -> str | None:
        """The standby at the address of a voter whose disk was lost."""
        return next((one for one in standbys if address_of(one) == address_of(voter)), None)

    def leader_should_go(self) -> bool:
        if self._leader not in self._membership.voters:
            return True
        candidate = self._known.get(self._leader)
        if candidate is None:
            return False
        return candidate.leaving or (not candidate.eligible and bool(self.standbys()))

    def sole_leader_leaves(self) -> bool:
        """Nobody could take over leadership, as the leader is the one voter, and it is about to stop."""
        return self._membership.voters == (self._leader,) and self.leader_should_go()


def _without_surplus(voters: tuple[str, ...], view: _View, target_voters: int) -> list[str]:
    """`voters` without those beyond `target_voters`: whoever should give up its place first, then from the zones with
    most voters. The leader stays."""
    kept = list(voters)
    while len(kept) > max(1, target_voters):
        places = _places(kept, view)
        droppable = [voter for voter in kept if not view.is_leader(voter)]
        kept.remove(max(droppable, key=lambda one: (view.condition(one), places[view.zone(one)], view.order(one))))
    return kept


def _replaced(voters: list[str], view: _View) -> tuple[list[str], list[str]]:
    """`voters` with standbys in the places of those that should give them up, most urgent first, and the standbys that
    are left. A machine that lost its disk takes its own former place before any other gets it."""
    voters, standbys = list(voters), view.standbys()
    unsound = [voter for voter in sorted(voters, key=view.order) if _should_go(voter, view)]
    unsound.sort(key=view.condition, reverse=True)
    for voter in list(unsound):
        heir = view.heir(voter, standbys)
        if heir is not None:
            _give_place(voters, standbys, voter, heir)
            unsound.remove(voter)
    for voter in unsound:
        if not standbys:
            break
        _give_place(voters, standbys, voter, _best_standby(voters, standbys, voter, view))
    return voters, standbys


def _should_go(voter: str, view: _View) -> bool:
    if view.is_leader(voter):
        return view.sole_leader_leaves()
    return view.condition(voter) is not Condition.SOUND


def _give_place(voters: list[str], standbys: list[str], voter: str, newcomer: str) -> None:
    voters[voters.index(voter)] = newcomer
    standbys.remove(newcomer)


def _best_standby(voters: list[str], standbys: list[str], voter: str, view: _View) -> str:
    """Who takes the place of `voter`: one of its zone, else one of the zone with fewest voters."""
    same_zone = [one for one in standbys if view.zone(one) == view.zone(voter)]
    if same_zone:
        return same_zone[0]
    return _most_apart([one for one in voters if one != voter], standbys, view)


def _grown(voters: list[str], standbys: list[str], view: _View, target_voters: int) -> list[str]:
    """`voters` with as many standbys as raise the number of losses that are borne, up to `target_voters`."""
    size = min(target_voters, len(voters) + len(standbys))
    size -= 1 - size % 2  # an even number bears no more losses than the odd one below
    voters, standbys = list(voters), list(standbys)
    while len(voters) < size:
        newcomer = _most_apart(voters, standbys, view)
        voters.append(newcomer)
        standbys.remove(newcomer)
    return voters


def _most_apart(voters: list[str], standbys: list[str], view: _View) -> str:
    """The standby of the zone with fewest voters."""
    places = _places(voters, view)
    return min(standbys, key=lambda one: (places.get(view.zone(one), 0), view.order(one)))


def _places(voters: list[str], view: _View) -> dict[str, int]:
    """How many of `voters` are in each zone."""
    places: dict[str, int] = {}
    for voter in voters:
        places[view.zone(voter)] = places.get(view.zone(voter), 0) + 1
    return places


def _joint(membership: Membership, voters: list[str], view: _View) -> Membership:
    """The change from `membership` to `voters`, under way."""
    ordered = tuple(sorted(voters, key=view.order))
    all_voters = dict.fromkeys((*ordered, *membership.voters))
    return Membership(
        epoch=membership.epoch + 1,
        voters=ordered,
        outgoing=membership.voters,
        zones={one: view.zone(one) for one in all_voters if view.zone(one)},
    )
