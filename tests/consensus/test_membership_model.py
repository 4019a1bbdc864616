"""A search, in small, of what keeps committed entries safe while members are replaced and lose their disks.

Three members vote at first, two more may become voters. Every order of the steps below is taken from every state, breadth
first, so a broken invariant comes with a shortest trace. States that differ only in which of the first members, or of the
newcomers, is which count as one. In CI the first states of the sound protocol are met, by the number in the test;
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

- kept: two leaders never commit different entries at one index, and whoever is elected has all that was ever committed.
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


class State(NamedTuple):
    members: tuple[Member, ...]
    committed: tuple[Entry, ...]
    left: Bounds  # what may happen yet


class Broken(Exception):
    """An invariant does not hold in a state that was reached."""


FIRST = Group(sum(1 << member_id for member_id in range(FOUNDERS)))
EMPTY = State((Member(),) * len(EVERYBODY), (), Bounds())


# Memberships and quorums.


@cache
def newest(log):
    """The newest membership in a log, and its index there; 0 where it is the one of the first start."""
    for index in range(len(log), 0, -1):
        if log[index - 1].group is not None:
            return log[index - 1].group, index
    return FIRST, 0


@cache
def epoch(log):
    """How many memberships are in a log."""
    return sum(entry.group is not None for entry in log)


@cache
def is_quorum(group, agreeing, defect=None):
    if defect == "one majority of both sides together":
        both = group.all_voters
        return 2 * (both & agreeing).bit_count() > both.bit_count()
    return all(2 * (side & agreeing).bit_count() > side.bit_count() for side in group if side)


@cache
def least_quorums(group, defect=None):
    """The quorums that are none any more if anyone is taken out."""
    found = []
    for agreeing in range(1 << len(EVERYBODY)):
        if is_quorum(group, agreeing, defect):
            smaller = [agreeing & ~(1 << identity) for identity in EVERYBODY if agreeing >> identity & 1]
            if not any(is_quorum(group, other, defect) for other in smaller):
                found.append(agreeing)
    return found


def freshness(log):
    """What a voter compares: a candidate's must not be lower than its own."""
    return (log[-1].term if log else 0, len(log))


def bits(member_ids):
    return sum(1 << member_id for member_id in member_ids)


@cache
def members_in(mask):
    return tuple(member_id for member_id in EVERYBODY if mask >> member_id & 1)


# Steps.


def put(values, member_id, value):
    return (*values[:member_id], value, *values[member_id + 1 :])


def with_member(state, member_id, **changed):
    return state._replace(members=put(state.members, member_id, state.members[member_id]._replace(**changed)))


def spend(state, **spent):
    return state._replace(
        left=state.left._replace(**{name: getattr(state.left, name) - count for name, count in spent.items()})
    )


def steps(state, defect, bounds):
    """Every (name, next state) from here. `defect`: one safeguard that is left out."""
    for me, member in enumerate(state.members):
        if member.gone:
            continue
        if member.match is None:
            yield from elections(state, me, member, defect, bounds)
        else:
            yield from leads(state, me, member, defect)
        yield from losses(state, me, member, defect)


def elections(state, me, member, defect, bounds):
    group, _ = newest(member.log)
    if not group.all_voters >> me & 1:
        return
    for quorum in least_quorums(group, defect):
        chosen = members_in(quorum)
        if me not in chosen:
            continue
        voters = [state.members[identity] for identity in chosen]
        term = max(voter.term for voter in voters) + 1
        if term > bounds.terms:
            continue
        if not all(would_vote(state, identity, me, defect) for identity in chosen):
            continue
        members = list(state.members)
        for identity in chosen:
            members[identity] = members[identity]._replace(term=term, match=None)
        members[me] = members[me]._replace(match=own_match(me, member.log))
        if member.log[: len(state.committed)] != state.committed:
            raise Broken("kept: elected without all that is committed", f"elect {me} {chosen}")
        yield f"elect {me} {chosen}", state._replace(members=tuple(members))


def would_vote(state, voter, candidate, defect):
    """Whether `voter` runs and finds the candidate's log new enough."""
    own, asked = state.members[voter], state.members[candidate]
    if own.gone or freshness(own.log) > freshness(asked.log):
        return False
    if defect != "votes denied to whom an uncommitted membership leaves out":
        return True
    known = epoch(own.log)
    if known == 0 and voter >= FOUNDERS:
        return True  # it was in_order of no membership yet
    group, _ = newest(own.log)
    return bool(group.all_voters >> candidate & 1) or epoch(asked.log) > known


def own_match(me, log):
    return tuple(len(log) if member_id == me else 0 for member_id in EVERYBODY)


def leads(state, me, member, defect):
    """What a leader does: adds an entry, or sends its log."""
    if state.left.values:
        yield f"value {me}", spend(added(state, me, member, None), values=1)
    group, index = newest(member.log)
    known = index <= len(state.committed) and member.log[:index] == state.committed[:index]
    if group.outgoing:
        stays = group.voters >> me & 1 or defect == "finished by a leader that is removed"
        if stays and (known or defect == "finished before the joint one is committed"):
            yield f"finish {me}", added(state, me, member, Group(group.voters))
    if state.left.changes and (
        (known and not group.outgoing) or defect == "a change before the former one is committed"
    ):
        for chosen in combinations(EVERYBODY, SIZE):
            voters = bits(chosen)
            if voters == group.voters or not (me in chosen or defect == "finished by a leader that is removed"):
                continue
            joint = Group(voters) if defect == "no joint phase" else Group(voters, group.voters)
            after = caught_up(state, member, voters & ~group.voters)
            if after is not None:
                yield f"change {me} {chosen}", spend(added(after, me, member, joint), changes=1)
    for other, peer in enumerate(state.members):
        if other == me or peer.gone or peer.term > member.term:
            continue
        if not group.all_voters >> other & 1 and defect != "uncommitted entries for members that are no voters":
            continue
        log = member.log if peer.log[: len(member.log)] != member.log else peer.log
        if peer.term == member.term and log == peer.log and member.match[other] == len(member.log):
            continue
        after = with_member(state, other, term=member.term, log=log, match=None)
        after = with_member(after, me, match=put(member.match, other, len(member.log)))
        yield f"send {me} {other}", commits(after, me, defect, f"send {me} {other}")


def caught_up(state, leader, newcomers):
    """The state in which the newcomers have all that is committed; None where one of them cannot."""
    for identity in members_in(newcomers):
        peer = state.members[identity]
        if peer.gone or peer.term > leader.term:
            return None
        log = peer.log if peer.log[: len(state.committed)] == state.committed else state.committed
        state = with_member(state, identity, term=leader.term, log=log, match=None)
    return state


def added(state, me, member, group):
    log = (*member.log, Entry(member.term, me, group))
    return with_member(state, me, log=log, match=put(member.match, me, len(log)))


def commits(state, me, defect, name):
    """The state with what leader `me` may call committed now."""
    leader = state.members[me]
    group, _ = newest(leader.log)
    for index in range(len(leader.log), 0, -1):
        if leader.log[index - 1].term != leader.term:
            return state
        if is_quorum(group, bits(identity for identity in EVERYBODY if leader.match[identity] >= index), defect):
            common = min(index, len(state.committed))
            if leader.log[:common] != state.committed[:common]:
                raise Broken("kept: two leaders committed different entries", name)
            if index > len(state.committed):
                return state._replace(committed=leader.log[:index])
            return state
    return state


def losses(state, me, member, defect):
    if not state.left.losses:
        return
    if member.match is not None:
        yield f"restart {me}", spend(with_member(state, me, match=None), losses=1)
    if defect == "an identity kept across a lost disk":
        yield f"wipe {me}", spend(with_member(state, me, term=0, log=(), match=None), losses=1)
        return
    after = state._replace(members=put(state.members, me, Member(gone=True)))
    if len(out(after)) <= TOLERATED and member.log:
        yield f"wipe {me}", spend(after, losses=1)


def out(state):
    """The wiped members that may still be needed."""
    group, index = newest(state.committed)
    counted = group.all_voters
    for member in state.members:
        if not member.gone:
            for entry in member.log[index:]:
                if entry.group is not None:
                    counted |= entry.group.all_voters
    return [identity for identity in EVERYBODY if state.members[identity].gone and counted >> identity & 1]


# Invariants.


def check(state, defect):
    """Raises `Broken` if two leaders can decide, or if one loss too few is tolerated."""
    leaders = [(member.term, member_id) for member_id, member in enumerate(state.members) if member.match is not None]
    newest_term = max(leaders, default=(0, 0))[0]
    for term, member_id in leaders:
        rivals = [other for other in leaders if other != (term, member_id) and other[0] >= term]
        if not rivals:
            continue
        answering = bits(
            identity
            for identity in EVERYBODY
            if not state.members[identity].gone and state.members[identity].term <= term
        )
        if term == newest_term or is_quorum(newest(state.members[member_id].log)[0], answering, defect):
            raise Broken("one leader: two leaders have majorities that do not meet", "")
    lost = bits(out(state))
    if lost.bit_count() < TOLERATED:
        running = [identity for identity in EVERYBODY if not state.members[identity].gone]
        if not all(electable(state, identity, defect) for identity in running):
            raise Broken("available: the next loss is not tolerated", "")
    elif not electable(state, None, defect):
        raise Broken("available: nobody can be elected", "")


def electable(state, missing, defect):
    """Whether somebody can be elected while `missing`, too, is out."""
    running = [identity for identity in EVERYBODY if identity != missing and not state.members[identity].gone]
    for me in running:
        group, _ = newest(state.members[me].log)
        if not group.all_voters >> me & 1:
            continue
        would = 0
        for identity in running:
            if would_vote(state, identity, me, defect):
                would |= 1 << identity
        if is_quorum(group, would, defect):
            return True
    return False


# States that are alike.


@cache
def renamings(ranks):
    """The orders, each a new member_id for every member, that put the first members and the newcomers in order of rank;
    more than one where ranks are alike."""
    found = []
    for founders in permutations(range(FOUNDERS)):
        for newcomers in permutations(range(FOUNDERS, len(EVERYBODY))):
            sequence = (*founders, *newcomers)  # who comes first, second ...
            in_order = [ranks[identity] for identity in sequence]
            if in_order[:FOUNDERS] == sorted(in_order[:FOUNDERS]) and in_order[FOUNDERS:] == sorted(
                in_order[FOUNDERS:]
            ):
                found.append((sequence, tuple(sequence.index(identity) for identity in EVERYBODY)))
    return found


@cache
def moved_group(group, order):
    return group and Group(*(bits(order[identity] for identity in members_in(side)) for side in group))


class Numbers:
    """Logs by number, and which log each becomes when members are renamed; numbers are quick to compare."""

    def __init__(self):
        self._numbers = {}
        self._moved = {}

    def moved(self, log, order):
        found = self._moved.get((log, order))
        if found is None:
            renamed = tuple(
                Entry(identity.term, order[identity.author], moved_group(identity.group, order)) for identity in log
            )
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


def key(state, numbers):
    """The same for all states that are alike."""
    ranks = [rank(member) for member in state.members]
    ordered = sorted(set(ranks))
    best = None
    for sequence, order in renamings(tuple(ordered.index(identity) for identity in ranks)):
        found = [numbers.moved(state.committed, order)]
        for identity in sequence:
            member = state.members[identity]
            match = member.match and tuple([member.match[other] for other in sequence])
            found.append((member.term, member.gone, numbers.moved(member.log, order), match or ()))
        if best is None or found < best:
            best = found
    return hash((tuple(best), state.left))


def explore(bounds, defect=None, max_states=10**9, traced=True):
    """How many states were met that are not alike, whether those are all, and what broke with its shortest trace.
    Of states that were met a number is kept, as they are many; without `traced` also not the way to them."""
    numbers = Numbers()
    first = EMPTY._replace(left=bounds)
    met, queue = {key(first, numbers)}, deque([(first, None)])
    while queue and len(met) < max_states:
        state, way = queue.popleft()
        name = ""
        try:
            for name, after in steps(state, defect, bounds):
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


def test_invariants_hold_in_every_explored_state():
    met, _, broken = explore(Bounds(), max_states=60_000)
    assert broken is None and met >= 60_000, broken


DEFECTS = {
    "no joint phase": ("one leader", "elect"),
    "an identity kept across a lost disk": ("one leader", "wipe"),
    "a change before the former one is committed": ("one leader", "elect"),
    "finished before the joint one is committed": ("one leader", "elect"),
    "one majority of both sides together": ("one leader", "elect"),
    "uncommitted entries for members that are no voters": ("available", "send"),
    "finished by a leader that is removed": ("available", "finish"),
    "votes denied to whom an uncommitted membership leaves out": ("available", "send"),
}


@pytest.mark.parametrize("defect, invariant, last", [(name, *found) for name, found in DEFECTS.items()])
def test_removing_a_safeguard_breaks_its_invariant_with_a_shortest_trace(defect, invariant, last):
    met, _, broken = explore(Bounds(), defect)
    assert broken is not None and met < 30_000
    assert broken[0].startswith(invariant) and broken[1][-1].split()[0] == last, (met, broken)


def test_a_smaller_search_is_complete():
    met, complete, broken = explore(Bounds(terms=2, values=1, changes=1, losses=1))
    assert complete and broken is None, (met, broken)


def main():
    import time

    for defect in DEFECTS:
        met, _, broken = explore(Bounds(), defect)
        print(f"{defect}: {broken[0]}, after {met} states: {', '.join(broken[1])}", flush=True)
    for bounds in TABLE:
        began = time.perf_counter()
        met, complete, broken = explore(bounds, traced=False)
        print(
            f"{bounds.terms} terms, {bounds.values} values, {bounds.changes} changes, {bounds.losses} losses: {met} states, "
            f"{'all' if complete else 'not all'}, {broken or 'nothing broken'}, {time.perf_counter() - began:.0f} s",
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
