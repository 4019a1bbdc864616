"""A search, in small, of what keeps committed entries safe while members are replaced and lose their disks.

Three members count at first, two more may take places. Every order of the steps below is taken from every world, breadth
first, so a broken invariant comes with a shortest trace. Worlds that differ only in which of the first members, or of the
newcomers, is which count as one. In CI the first worlds of the sound protocol are met, by the number in the test;
`python tests/consensus/test_membership_model.py` meets all there are, by the table at its end.

    elect m Q      m begins a term and has the votes of Q, a least quorum of the newest membership in its log (of both
                   sides of a joint one); who votes has no newer log, and takes the term
    value m        leader m adds a value to its log
    change m W     leader m adds a joint membership with voters W; the newest membership in its log is committed
    finish m       leader m adds the membership that ends the change; the joint one is committed
    send m y       m's log reaches y, which answers, if y knows no newer term; without this step the message was lost
    restart m      a loss: m comes back with what is on its disk, and leads no longer
    wipe m         a loss: m's disk is gone, and with it the identity m, for ever; the machine's new identity is a newcomer

An entry is committed when a quorum of the newest membership in the log of the leader that wrote it has answered. A
machine that was wiped is out until the committed membership, and all newer ones in a log, do without it; `wipe` happens
only if no more than `TOLERATED` are out then. A slow, frozen or cut-off member is one that takes no step meanwhile.

Invariants:

- kept: two leaders never commit different entries at one place, and whoever is elected has all that was ever committed.
- one leader: of two leaders only the one of the newer term has a quorum that would still answer it, so majorities of
  different epochs that can both decide always meet.
- available: with one more machine out, up to `TOLERATED`, somebody can be elected by the others.

What the model takes for granted: writes are durable at once, a vote that does not suffice changes nothing, messages arrive
at once or not at all. The simulated clusters beside this file are for what that leaves out.
"""

from collections import deque
from functools import cache
from itertools import combinations, permutations
from typing import NamedTuple

import pytest

FOUNDERS, NEWCOMERS, SIZE, TOLERATED = 3, 2, 3, 1
EVERYBODY = range(FOUNDERS + NEWCOMERS)
VALUE = 0  # kind of an entry; others are memberships


class Bounds(NamedTuple):
    terms: int = 3
    values: int = 1
    changes: int = 2
    losses: int = 2


class Group(NamedTuple):
    """A membership; both sides are sets of members, as bits. `outgoing` 0: not joint."""

    voters: int
    outgoing: int = 0

    @property
    def all_voters(self):
        return self.voters | self.outgoing


class Entry(NamedTuple):
    term: int
    author: int
    group: Group | None = None  # None: a value


class Member(NamedTuple):
    term: int = 0
    log: tuple[Entry, ...] = ()
    match: tuple[int, ...] | None = None  # of a leader: how much of its log each member has answered for
    gone: bool = False


class World(NamedTuple):
    members: tuple[Member, ...]
    committed: tuple[Entry, ...]
    left: Bounds  # what may happen yet


class Broken(Exception):
    """An invariant does not hold in a world that was reached."""


FIRST = Group(sum(1 << place for place in range(FOUNDERS)))
EMPTY = World((Member(),) * len(EVERYBODY), (), Bounds())


# Memberships and quorums.


@cache
def newest(log):
    """The newest membership in a log, and its place there; 0 where it is the one of the first start."""
    for place in range(len(log), 0, -1):
        if log[place - 1].group is not None:
            return log[place - 1].group, place
    return FIRST, 0


@cache
def epoch(log):
    """How many memberships are in a log."""
    return sum(entry.group is not None for entry in log)


@cache
def is_quorum(group, yes, defect=None):
    if defect == "one majority of both sides together":
        both = group.all_voters
        return 2 * (both & yes).bit_count() > both.bit_count()
    return all(2 * (side & yes).bit_count() > side.bit_count() for side in group if side)


@cache
def least_quorums(group, defect=None):
    """The quorums that are none any more if anyone is taken out."""
    found = []
    for yes in range(1 << len(EVERYBODY)):
        if is_quorum(group, yes, defect):
            smaller = [yes & ~(1 << one) for one in EVERYBODY if yes >> one & 1]
            if not any(is_quorum(group, other, defect) for other in smaller):
                found.append(yes)
    return found


def freshness(log):
    """What a voter compares: a candidate's must not be lower than its own."""
    return (log[-1].term if log else 0, len(log))


def bits(places):
    return sum(1 << place for place in places)


@cache
def places_in(mask):
    return tuple(place for place in EVERYBODY if mask >> place & 1)


# Steps.


def put(values, place, value):
    return (*values[:place], value, *values[place + 1 :])


def with_member(world, place, **changed):
    return world._replace(members=put(world.members, place, world.members[place]._replace(**changed)))


def spend(world, **spent):
    return world._replace(
        left=world.left._replace(**{name: getattr(world.left, name) - count for name, count in spent.items()})
    )


def steps(world, defect, bounds):
    """Every (name, next world) from here. `defect`: one safeguard that is left out."""
    for me, member in enumerate(world.members):
        if member.gone:
            continue
        if member.match is None:
            yield from elections(world, me, member, defect, bounds)
        else:
            yield from leads(world, me, member, defect)
        yield from losses(world, me, member, defect)


def elections(world, me, member, defect, bounds):
    group, _ = newest(member.log)
    if not group.all_voters >> me & 1:
        return
    for quorum in least_quorums(group, defect):
        chosen = places_in(quorum)
        if me not in chosen:
            continue
        voters = [world.members[one] for one in chosen]
        term = max(voter.term for voter in voters) + 1
        if term > bounds.terms:
            continue
        if not all(would_vote(world, one, me, defect) for one in chosen):
            continue
        members = list(world.members)
        for one in chosen:
            members[one] = members[one]._replace(term=term, match=None)
        members[me] = members[me]._replace(match=own_match(me, member.log))
        if member.log[: len(world.committed)] != world.committed:
            raise Broken("kept: elected without all that is committed", f"elect {me} {chosen}")
        yield f"elect {me} {chosen}", world._replace(members=tuple(members))


def would_vote(world, voter, candidate, defect):
    """Whether `voter` runs and finds the candidate's log new enough."""
    own, asked = world.members[voter], world.members[candidate]
    if own.gone or freshness(own.log) > freshness(asked.log):
        return False
    if defect != "votes denied to whom an uncommitted membership leaves out":
        return True
    known = epoch(own.log)
    if known == 0 and voter >= FOUNDERS:
        return True  # it was told of no membership yet
    group, _ = newest(own.log)
    return bool(group.all_voters >> candidate & 1) or epoch(asked.log) > known


def own_match(me, log):
    return tuple(len(log) if place == me else 0 for place in EVERYBODY)


def leads(world, me, member, defect):
    """What a leader does: adds an entry, or sends its log."""
    if world.left.values:
        yield f"value {me}", spend(added(world, me, member, None), values=1)
    group, place = newest(member.log)
    known = place <= len(world.committed) and member.log[:place] == world.committed[:place]
    if group.outgoing:
        stays = group.voters >> me & 1 or defect == "finished by a leader that goes"
        if stays and (known or defect == "finished before the joint one is committed"):
            yield f"finish {me}", added(world, me, member, Group(group.voters))
    if world.left.changes and (
        (known and not group.outgoing) or defect == "a change before the former one is committed"
    ):
        for chosen in combinations(EVERYBODY, SIZE):
            voters = bits(chosen)
            if voters == group.voters or not (me in chosen or defect == "finished by a leader that goes"):
                continue
            joint = Group(voters) if defect == "no joint phase" else Group(voters, group.voters)
            after = caught_up(world, member, voters & ~group.voters)
            if after is not None:
                yield f"change {me} {chosen}", spend(added(after, me, member, joint), changes=1)
    for other, peer in enumerate(world.members):
        if other == me or peer.gone or peer.term > member.term:
            continue
        if not group.all_voters >> other & 1 and defect != "news for those that do not count":
            continue
        log = member.log if peer.log[: len(member.log)] != member.log else peer.log
        if peer.term == member.term and log == peer.log and member.match[other] == len(member.log):
            continue
        after = with_member(world, other, term=member.term, log=log, match=None)
        after = with_member(after, me, match=put(member.match, other, len(member.log)))
        yield f"send {me} {other}", commits(after, me, defect, f"send {me} {other}")


def caught_up(world, leader, newcomers):
    """The world in which the newcomers have all that is committed; None where one of them cannot."""
    for one in places_in(newcomers):
        peer = world.members[one]
        if peer.gone or peer.term > leader.term:
            return None
        log = peer.log if peer.log[: len(world.committed)] == world.committed else world.committed
        world = with_member(world, one, term=leader.term, log=log, match=None)
    return world


def added(world, me, member, group):
    log = (*member.log, Entry(member.term, me, group))
    return with_member(world, me, log=log, match=put(member.match, me, len(log)))


def commits(world, me, defect, name):
    """The world with what leader `me` may call committed now."""
    leader = world.members[me]
    group, _ = newest(leader.log)
    for place in range(len(leader.log), 0, -1):
        if leader.log[place - 1].term != leader.term:
            return world
        if is_quorum(group, bits(one for one in EVERYBODY if leader.match[one] >= place), defect):
            common = min(place, len(world.committed))
            if leader.log[:common] != world.committed[:common]:
                raise Broken("kept: two leaders committed different entries", name)
            if place > len(world.committed):
                return world._replace(committed=leader.log[:place])
            return world
    return world


def losses(world, me, member, defect):
    if not world.left.losses:
        return
    if member.match is not None:
        yield f"restart {me}", spend(with_member(world, me, match=None), losses=1)
    if defect == "an identity kept across a lost disk":
        yield f"wipe {me}", spend(with_member(world, me, term=0, log=(), match=None), losses=1)
        return
    after = world._replace(members=put(world.members, me, Member(gone=True)))
    if len(out(after)) <= TOLERATED and member.log:
        yield f"wipe {me}", spend(after, losses=1)


def out(world):
    """The wiped members that may still be needed."""
    group, place = newest(world.committed)
    counted = group.all_voters
    for member in world.members:
        if not member.gone:
            for entry in member.log[place:]:
                if entry.group is not None:
                    counted |= entry.group.all_voters
    return [one for one in EVERYBODY if world.members[one].gone and counted >> one & 1]


# Invariants.


def check(world, defect):
    """Raises `Broken` if two leaders can decide, or if one loss too few is borne."""
    leaders = [(member.term, place) for place, member in enumerate(world.members) if member.match is not None]
    newest_term = max(leaders, default=(0, 0))[0]
    for term, place in leaders:
        rivals = [other for other in leaders if other != (term, place) and other[0] >= term]
        if not rivals:
            continue
        answering = bits(one for one in EVERYBODY if not world.members[one].gone and world.members[one].term <= term)
        if term == newest_term or is_quorum(newest(world.members[place].log)[0], answering, defect):
            raise Broken("one leader: two leaders have majorities that do not meet", "")
    lost = bits(out(world))
    if lost.bit_count() < TOLERATED:
        running = [one for one in EVERYBODY if not world.members[one].gone]
        if not all(electable(world, one, defect) for one in running):
            raise Broken("available: the next loss is not borne", "")
    elif not electable(world, None, defect):
        raise Broken("available: nobody can be elected", "")


def electable(world, missing, defect):
    """Whether somebody can be elected while `missing`, too, is out."""
    running = [one for one in EVERYBODY if one != missing and not world.members[one].gone]
    for me in running:
        group, _ = newest(world.members[me].log)
        if not group.all_voters >> me & 1:
            continue
        would = 0
        for one in running:
            if would_vote(world, one, me, defect):
                would |= 1 << one
        if is_quorum(group, would, defect):
            return True
    return False


# Worlds that are alike.


@cache
def renamings(ranks):
    """The orders, each a new place for every member, that put the first members and the newcomers in order of rank;
    more than one where ranks are alike."""
    found = []
    for founders in permutations(range(FOUNDERS)):
        for newcomers in permutations(range(FOUNDERS, len(EVERYBODY))):
            sequence = (*founders, *newcomers)  # who comes first, second ...
            told = [ranks[one] for one in sequence]
            if told[:FOUNDERS] == sorted(told[:FOUNDERS]) and told[FOUNDERS:] == sorted(told[FOUNDERS:]):
                found.append((sequence, tuple(sequence.index(one) for one in EVERYBODY)))
    return found


@cache
def moved_group(group, order):
    return group and Group(*(bits(order[one] for one in places_in(side)) for side in group))


class Numbers:
    """Logs by number, and which log each becomes when members are renamed; numbers are quick to compare."""

    def __init__(self):
        self._numbers = {}
        self._moved = {}

    def moved(self, log, order):
        found = self._moved.get((log, order))
        if found is None:
            renamed = tuple(Entry(one.term, order[one.author], moved_group(one.group, order)) for one in log)
            found = self._moved[log, order] = self._numbers.setdefault(renamed, len(self._numbers))
        return found


def rank(member):
    """What does not change when members are renamed."""
    return (
        member.gone,
        member.term,
        freshness(member.log),
        -1 if member.match is None else sum(member.match),
    )


def key(world, numbers):
    """The same for all worlds that are alike."""
    ranks = [rank(member) for member in world.members]
    ordered = sorted(set(ranks))
    best = None
    for sequence, order in renamings(tuple(ordered.index(one) for one in ranks)):
        found = [numbers.moved(world.committed, order)]
        for one in sequence:
            member = world.members[one]
            match = member.match and tuple([member.match[other] for other in sequence])
            found.append((member.term, member.gone, numbers.moved(member.log, order), match or ()))
        if best is None or found < best:
            best = found
    return hash((tuple(best), world.left))


def explore(bounds, defect=None, most=10**9, traced=True):
    """How many worlds were met that are not alike, whether those are all, and what broke with its shortest trace.
    Of worlds that were met a number is kept, as they are many; without `traced` also not the way to them."""
    numbers = Numbers()
    first = EMPTY._replace(left=bounds)
    met, queue = {key(first, numbers)}, deque([(first, None)])
    while queue and len(met) < most:
        world, way = queue.popleft()
        name = ""
        try:
            for name, after in steps(world, defect, bounds):
                found = key(after, numbers)
                if found in met:
                    continue
                met.add(found)
                check(after, defect)
                queue.append((after, (name, way) if traced else None))
        except Broken as broken:
            invariant, last = broken.args
            trace = [last or name]
            while way is not None:
                name, way = way
                trace.append(name)
            return len(met), False, (invariant, trace[::-1])
    return len(met), not queue, None


def test_no_order_of_steps_breaks_an_invariant():
    met, _, broken = explore(Bounds(), most=60_000)
    assert broken is None and met >= 60_000, broken


DEFECTS = {
    "no joint phase": ("one leader", "elect"),
    "an identity kept across a lost disk": ("one leader", "wipe"),
    "a change before the former one is committed": ("one leader", "elect"),
    "finished before the joint one is committed": ("one leader", "elect"),
    "one majority of both sides together": ("one leader", "elect"),
    "news for those that do not count": ("available", "send"),
    "finished by a leader that goes": ("available", "finish"),
    "votes denied to whom an uncommitted membership leaves out": ("available", "send"),
}


@pytest.mark.parametrize("defect, invariant, last", [(name, *found) for name, found in DEFECTS.items()])
def test_each_safeguard_left_out_is_found_with_a_shortest_trace(defect, invariant, last):
    met, _, broken = explore(Bounds(), defect)
    assert broken is not None and met < 30_000
    assert broken[0].startswith(invariant) and broken[1][-1].split()[0] == last, (met, broken)


def test_a_smaller_world_is_met_whole():
    met, whole, broken = explore(Bounds(terms=2, values=1, changes=1, losses=1))
    assert whole and broken is None, (met, broken)


def main():
    import time

    for defect in DEFECTS:
        met, _, broken = explore(Bounds(), defect)
        print(f"{defect}: {broken[0]}, after {met} worlds: {', '.join(broken[1])}", flush=True)
    for bounds in TABLE:
        began = time.perf_counter()
        met, whole, broken = explore(bounds, traced=False)
        print(
            f"{bounds.terms} terms, {bounds.values} values, {bounds.changes} changes, {bounds.losses} losses: {met} worlds, "
            f"{'all' if whole else 'not all'}, {broken or 'nothing broken'}, {time.perf_counter() - began:.0f} s",
            flush=True,
        )


TABLE = (
    Bounds(2, 1, 1, 1),
    Bounds(2, 1, 2, 2),
    Bounds(3, 0, 1, 2),
    Bounds(3, 1, 1, 2),
    Bounds(3, 0, 2, 2),
    Bounds(3, 1, 2, 2),
)

if __name__ == "__main__":
    main()
