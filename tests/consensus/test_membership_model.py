"""Model check of membership changes with lost disks: committed entries are never lost, and a leader can be elected.

Three initial voters, two more members that may become voters, breadth-first search over all orders of steps, so a violation
comes with a shortest trace. States that differ only by a renaming of the initial voters, or of the others, count as one. CI
explores the first states; `python tests/consensus/test_membership_model.py` explores all states within the bounds in `TABLE`.

    elect m Q      m starts a term with the votes of Q, a minimal quorum of the newest membership in its log (of both
                   sides if joint); voters have no newer log, and adopt the term
    value m        leader m appends a value to its log
    change m W     leader m appends a joint membership with voters W; the newest membership in its log is committed
    finish m       leader m appends the membership that completes the change; the joint one is committed
    send m y       y copies m's log and replies, if it knows no newer term; a lost message is a step that is not taken
    restart m      a loss: m restarts from its disk and is no longer the leader
    wipe m         a loss: m's disk and identity are lost for good; the machine's new identity is a new member

An entry is committed once a quorum of the newest membership in its leader's log has replied. A wiped member counts as lost
until the committed membership and all later ones in any log exclude it; `wipe` happens only if at most `TOLERATED`
members are lost then. A slow, frozen or partitioned member is one that takes no steps.

Invariants:

- durability: no two different entries are committed at one index, and an elected leader has all committed entries.
- single leader: of two leaders, only the one of the newer term has a quorum of members that would still reply to it.
- availability: with one more member lost, up to `TOLERATED`, the others can elect a leader.

Not modelled: delayed writes, unsuccessful votes, delayed messages. The simulated clusters beside this file cover these.
"""

from collections import deque
from functools import cache
from itertools import combinations, permutations
from typing import NamedTuple

import pytest

INITIAL_VOTERS, NEW_MEMBERS, SIZE, TOLERATED = 3, 2, 3, 1
ALL_MEMBERS = range(INITIAL_VOTERS + NEW_MEMBERS)
VALUE = 0  # kind of an entry; others are memberships


class Bounds(NamedTuple):
    terms: int = 3
    values: int = 1
    changes: int = 2
    losses: int = 2


class Group(NamedTuple):
    """A membership; both sides are bit masks of members. `outgoing` 0: not joint."""

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
    match: tuple[int, ...] | None = None  # of a leader: number of its entries that each member has
    wiped: bool = False


class State(NamedTuple):
    members: tuple[Member, ...]
    committed: tuple[Entry, ...]
    remaining: Bounds  # remaining steps of each kind


class InvariantViolationError(Exception):
    """An invariant does not hold in a reached state."""


INITIAL_GROUP = Group(sum(1 << member_id for member_id in range(INITIAL_VOTERS)))
EMPTY = State((Member(),) * len(ALL_MEMBERS), (), Bounds())


# Memberships and quorums.


@cache
def newest(log):
    """The newest membership in a log, and its index; 0 if it is the initial one."""
    for index in range(len(log), 0, -1):
        if log[index - 1].group is not None:
            return log[index - 1].group, index
    return INITIAL_GROUP, 0


@cache
def epoch(log):
    """The number of memberships in a log."""
    return sum(entry.group is not None for entry in log)


@cache
def is_quorum(group, agreeing, defect=None):
    if defect == "one majority of both sides together":
        both = group.all_voters
        return 2 * (both & agreeing).bit_count() > both.bit_count()
    return all(2 * (side & agreeing).bit_count() > side.bit_count() for side in group if side)


@cache
def minimal_quorums(group, defect=None):
    """The quorums of which no smaller subset is a quorum."""
    found = []
    for agreeing in range(1 << len(ALL_MEMBERS)):
        if is_quorum(group, agreeing, defect):
            smaller = [agreeing & ~(1 << identity) for identity in ALL_MEMBERS if agreeing >> identity & 1]
            if not any(is_quorum(group, other, defect) for other in smaller):
                found.append(agreeing)
    return found


def freshness(log):
    """The sort key of logs: a voter votes for no candidate whose key is lower than its own."""
    return (log[-1].term if log else 0, len(log))


def bits(member_ids):
    return sum(1 << member_id for member_id in member_ids)


@cache
def members_in(mask):
    return tuple(member_id for member_id in ALL_MEMBERS if mask >> member_id & 1)


# Steps.


def replace_at(values, member_id, value):
    return (*values[:member_id], value, *values[member_id + 1 :])


def with_member(state, member_id, **changed):
    return state._replace(members=replace_at(state.members, member_id, state.members[member_id]._replace(**changed)))


def use_up(state, **spent):
    return state._replace(
        remaining=state.remaining._replace(
            **{name: getattr(state.remaining, name) - count for name, count in spent.items()}
        )
    )


def steps(state, defect, bounds):
    """Every (name, next state) from this state. `defect`: the safeguard that is removed."""
    for member_id, member in enumerate(state.members):
        if member.wiped:
            continue
        if member.match is None:
            yield from election_steps(state, member_id, member, defect, bounds)
        else:
            yield from leader_steps(state, member_id, member, defect)
        yield from loss_steps(state, member_id, member, defect)


def election_steps(state, member_id, member, defect, bounds):
    group, _ = newest(member.log)
    if not group.all_voters >> member_id & 1:
        return
    for quorum in minimal_quorums(group, defect):
        chosen = members_in(quorum)
        if member_id not in chosen:
            continue
        voters = [state.members[identity] for identity in chosen]
        term = max(voter.term for voter in voters) + 1
        if term > bounds.terms:
            continue
        if not all(would_vote(state, identity, member_id, defect) for identity in chosen):
            continue
        members = list(state.members)
        for identity in chosen:
            members[identity] = members[identity]._replace(term=term, match=None)
        members[member_id] = members[member_id]._replace(match=own_match(member_id, member.log))
        if member.log[: len(state.committed)] != state.committed:
            raise InvariantViolationError(
                "durability: elected without all committed entries", f"elect {member_id} {chosen}"
            )
        yield f"elect {member_id} {chosen}", state._replace(members=tuple(members))


def would_vote(state, voter, candidate, defect):
    """Whether `voter` runs and the candidate's log is at least as up-to-date as its own."""
    own, other = state.members[voter], state.members[candidate]
    if own.wiped or freshness(own.log) > freshness(other.log):
        return False
    if defect != "votes denied to candidates that an uncommitted membership excludes":
        return True
    known = epoch(own.log)
    if known == 0 and voter >= INITIAL_VOTERS:
        return True  # it knows no membership yet
    group, _ = newest(own.log)
    return bool(group.all_voters >> candidate & 1) or epoch(other.log) > known


def own_match(leader_id, log):
    return tuple(len(log) if member_id == leader_id else 0 for member_id in ALL_MEMBERS)


def leader_steps(state, member_id, member, defect):
    """The steps of a leader: append an entry, or send its log."""
    if state.remaining.values:
        yield f"value {member_id}", use_up(with_entry(state, member_id, member, None), values=1)
    group, index = newest(member.log)
    known = index <= len(state.committed) and member.log[:index] == state.committed[:index]
    if group.outgoing:
        stays = group.voters >> member_id & 1 or defect == "finished by a leader that is removed"
        if stays and (known or defect == "finished before the joint one is committed"):
            yield f"finish {member_id}", with_entry(state, member_id, member, Group(group.voters))
    if state.remaining.changes and (
        (known and not group.outgoing) or defect == "a change before the former one is committed"
    ):
        for chosen in combinations(ALL_MEMBERS, SIZE):
            voters = bits(chosen)
            if voters == group.voters or not (member_id in chosen or defect == "finished by a leader that is removed"):
                continue
            joint = Group(voters) if defect == "no joint phase" else Group(voters, group.voters)
            after = caught_up(state, member, voters & ~group.voters)
            if after is not None:
                yield f"change {member_id} {chosen}", use_up(with_entry(after, member_id, member, joint), changes=1)
    for other, peer in enumerate(state.members):
        if other == member_id or peer.wiped or peer.term > member.term:
            continue
        if not group.all_voters >> other & 1 and defect != "uncommitted entries for members that are no voters":
            continue
        log = member.log if peer.log[: len(member.log)] != member.log else peer.log
        if peer.term == member.term and log == peer.log and member.match[other] == len(member.log):
            continue
        after = with_member(state, other, term=member.term, log=log, match=None)
        after = with_member(after, member_id, match=replace_at(member.match, other, len(member.log)))
        yield f"send {member_id} {other}", commits(after, member_id, defect, f"send {member_id} {other}")


def caught_up(state, leader, new_members):
    """The state in which the new members have all committed entries; None if one of them cannot."""
    for identity in members_in(new_members):
        peer = state.members[identity]
        if peer.wiped or peer.term > leader.term:
            return None
        log = peer.log if peer.log[: len(state.committed)] == state.committed else state.committed
        state = with_member(state, identity, term=leader.term, log=log, match=None)
    return state


def with_entry(state, member_id, member, group):
    log = (*member.log, Entry(member.term, member_id, group))
    return with_member(state, member_id, log=log, match=replace_at(member.match, member_id, len(log)))


def commits(state, member_id, defect, name):
    """The state after leader `member_id` commits what a quorum has."""
    leader = state.members[member_id]
    group, _ = newest(leader.log)
    for index in range(len(leader.log), 0, -1):
        if leader.log[index - 1].term != leader.term:
            return state
        if is_quorum(group, bits(identity for identity in ALL_MEMBERS if leader.match[identity] >= index), defect):
            common = min(index, len(state.committed))
            if leader.log[:common] != state.committed[:common]:
                raise InvariantViolationError("durability: two leaders committed different entries", name)
            if index > len(state.committed):
                return state._replace(committed=leader.log[:index])
            return state
    return state


def loss_steps(state, member_id, member, defect):
    if not state.remaining.losses:
        return
    if member.match is not None:
        yield f"restart {member_id}", use_up(with_member(state, member_id, match=None), losses=1)
    if defect == "an identity kept across a lost disk":
        yield f"wipe {member_id}", use_up(with_member(state, member_id, term=0, log=(), match=None), losses=1)
        return
    after = state._replace(members=replace_at(state.members, member_id, Member(wiped=True)))
    if len(lost_members(after)) <= TOLERATED and member.log:
        yield f"wipe {member_id}", use_up(after, losses=1)


def lost_members(state):
    """The wiped members that a membership in effect or in a log still includes."""
    group, index = newest(state.committed)
    included = group.all_voters
    for member in state.members:
        if not member.wiped:
            for entry in member.log[index:]:
                if entry.group is not None:
                    included |= entry.group.all_voters
    return [identity for identity in ALL_MEMBERS if state.members[identity].wiped and included >> identity & 1]


# Invariants.


def check(state, defect):
    """Raise `InvariantViolationError` if two leaders can commit, or if fewer losses than `TOLERATED` are tolerated."""
    leaders = [(member.term, member_id) for member_id, member in enumerate(state.members) if member.match is not None]
    newest_term = max(leaders, default=(0, 0))[0]
    for term, member_id in leaders:
        rivals = [other for other in leaders if other != (term, member_id) and other[0] >= term]
        if not rivals:
            continue
        answering = bits(
            identity
            for identity in ALL_MEMBERS
            if not state.members[identity].wiped and state.members[identity].term <= term
        )
        if term == newest_term or is_quorum(newest(state.members[member_id].log)[0], answering, defect):
            raise InvariantViolationError("single leader: two leaders have quorums that do not intersect", "")
    lost = bits(lost_members(state))
    if lost.bit_count() < TOLERATED:
        running = [identity for identity in ALL_MEMBERS if not state.members[identity].wiped]
        if not all(electable(state, identity, defect) for identity in running):
            raise InvariantViolationError("availability: the next loss is not tolerated", "")
    elif not electable(state, None, defect):
        raise InvariantViolationError("availability: no member can be elected", "")


def electable(state, missing, defect):
    """Whether a member can be elected while `missing` is lost as well."""
    running = [identity for identity in ALL_MEMBERS if identity != missing and not state.members[identity].wiped]
    for member_id in running:
        group, _ = newest(state.members[member_id].log)
        if not group.all_voters >> member_id & 1:
            continue
        granting = 0
        for identity in running:
            if would_vote(state, identity, member_id, defect):
                granting |= 1 << identity
        if is_quorum(group, granting, defect):
            return True
    return False


# Equivalent states.


@cache
def renamings(ranks):
    """The renamings that sort the initial voters and the other members by rank; more than one if ranks are equal. Each is a
    sequence of members and its inverse."""
    found = []
    for initial in permutations(range(INITIAL_VOTERS)):
        for new_members in permutations(range(INITIAL_VOTERS, len(ALL_MEMBERS))):
            sequence = (*initial, *new_members)  # member at each position
            in_order = [ranks[identity] for identity in sequence]
            if in_order[:INITIAL_VOTERS] == sorted(in_order[:INITIAL_VOTERS]) and in_order[INITIAL_VOTERS:] == sorted(
                in_order[INITIAL_VOTERS:]
            ):
                found.append((sequence, tuple(sequence.index(identity) for identity in ALL_MEMBERS)))
    return found


@cache
def renamed_group(group, order):
    return group and Group(*(bits(order[identity] for identity in members_in(side)) for side in group))


class LogNumbers:
    """A number for each log after a renaming of members; numbers are faster to compare than logs."""

    def __init__(self):
        self._numbers = {}
        self._renamed = {}

    def number_after_renaming(self, log, order):
        found = self._renamed.get((log, order))
        if found is None:
            renamed = tuple(Entry(entry.term, order[entry.author], renamed_group(entry.group, order)) for entry in log)
            found = self._renamed[log, order] = self._numbers.setdefault(renamed, len(self._numbers))
        return found


def rank(member):
    """The properties of a member that a renaming does not change."""
    return (
        member.wiped,
        member.term,
        freshness(member.log),
        -1 if member.match is None else sum(member.match),
    )


def key(state, numbers):
    """A key that is equal for equivalent states."""
    ranks = [rank(member) for member in state.members]
    ordered = sorted(set(ranks))
    best = None
    for sequence, order in renamings(tuple(ordered.index(identity) for identity in ranks)):
        found = [numbers.number_after_renaming(state.committed, order)]
        for identity in sequence:
            member = state.members[identity]
            match = member.match and tuple([member.match[other] for other in sequence])
            found.append((member.term, member.wiped, numbers.number_after_renaming(member.log, order), match or ()))
        if best is None or found < best:
            best = found
    return hash((tuple(best), state.remaining))


def explore(bounds, defect=None, max_states=10**9, traced=True):
    """The number of different states, whether those are all, and the violated invariant with a shortest trace. Only a hash of
    each visited state is stored, to save memory; `traced` False stores no traces either."""
    numbers = LogNumbers()
    first = EMPTY._replace(remaining=bounds)
    visited, queue = {key(first, numbers)}, deque([(first, None)])
    while queue and len(visited) < max_states:
        state, trace_links = queue.popleft()
        name = ""
        try:
            for name, after in steps(state, defect, bounds):
                found = key(after, numbers)
                if found in visited:
                    continue
                visited.add(found)
                check(after, defect)
                queue.append((after, (name, trace_links) if traced else None))
        except InvariantViolationError as violation:
            invariant, last = violation.args
            trace = [last or name]
            while trace_links is not None:
                name, trace_links = trace_links
                trace.append(name)
            return len(visited), False, (invariant, trace[::-1])
    return len(visited), not queue, None


def test_invariants_hold_in_every_explored_state():
    visited, _, violation = explore(Bounds(), max_states=60_000)
    assert violation is None and visited >= 60_000, violation


DEFECTS = {
    "no joint phase": ("single leader", "elect"),
    "an identity kept across a lost disk": ("single leader", "wipe"),
    "a change before the former one is committed": ("single leader", "elect"),
    "finished before the joint one is committed": ("single leader", "elect"),
    "one majority of both sides together": ("single leader", "elect"),
    "uncommitted entries for members that are no voters": ("availability", "send"),
    "finished by a leader that is removed": ("availability", "finish"),
    "votes denied to candidates that an uncommitted membership excludes": ("availability", "send"),
}


@pytest.mark.parametrize("defect, invariant, last", [(name, *found) for name, found in DEFECTS.items()])
def test_removing_a_safeguard_breaks_its_invariant_with_a_shortest_trace(defect, invariant, last):
    visited, _, violation = explore(Bounds(), defect)
    assert violation is not None and visited < 30_000
    assert violation[0].startswith(invariant) and violation[1][-1].split()[0] == last, (visited, violation)


def test_a_smaller_search_is_complete():
    visited, complete, violation = explore(Bounds(terms=2, values=1, changes=1, losses=1))
    assert complete and violation is None, (visited, violation)


def main():
    import time

    for defect in DEFECTS:
        visited, _, violation = explore(Bounds(), defect)
        print(f"{defect}: {violation[0]}, after {visited} states: {', '.join(violation[1])}", flush=True)
    for bounds in TABLE:
        started_at = time.perf_counter()
        visited, complete, violation = explore(bounds, traced=False)
        print(
            f"{bounds.terms} terms, {bounds.values} values, {bounds.changes} changes, {bounds.losses} losses: {visited} states, "
            f"{'all' if complete else 'not all'}, {violation or 'no violation'}, {time.perf_counter() - started_at:.0f} s",
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
