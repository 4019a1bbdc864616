"""A search, in small, of what keeps two texts from being acknowledged under one number, and an acknowledged one from being
lost: votes, terms, the log, leases, transfer, members that restart or lose their disk (`consensus/election.py`, `leadership.py`, `lease.py`, `follower.py`).

Three members, time in ticks. Every order of the steps below is taken from every state, breadth first, so a broken
invariant comes with a shortest trace. By symmetry member 0 is the first to campaign and text 1 of a number the first that is
proposed. `python tests/consensus/test_model.py` meets all states within the bounds; CI meets the first of them.

Taken for granted: a write is complete or not there, and an entry whose acknowledgement was not sent counts as not taken (see
`restart` for the leader's own). Left to the histories: pre-votes, which promise nothing; snapshots; changes of
membership; how old the state of a follower that is current may be; clocks of different rates. Any request may be lost, at
any time; late ones are those that are taken in a later step, or were taken with the answer lost.

    campaign m      m begins a term and votes for itself, once its own promise has run out
    vote c v        v votes for c, if no promise, vote or newer log stands in the way; `lost`: c doesn't hear of it
    append l f      f takes the complete log of the leader, promises, and answers; the leader counts what a majority has, of its own
                    term; `lost`: it doesn't hear of the answer; `old`: only what came before its term
    heartbeat l f   the same without entries, as where the follower's disk is slow
    propose l o     the order `o`, a number and a text
    transfer l h    the leader releases its lease and asks h to campaign at once
    quit l          a leader without its lease follows again
    restart m       what is in memory is lost; of a leader's log also what was committed without its own disk
    wipe m          its disk too: who comes back is somebody else, and has no vote
    tick            time passes; a frozen member is one that takes no step meanwhile

Invariants: an entry that is committed anywhere is the same everywhere (and so is what is answered from it); the state after
each has one text for a number; at most one member leads, and whoever does has all that was ever committed.

States by bounds (terms, orders, answers lost, crashes), as `python tests/consensus/test_model.py 2 1 1 1` counts them:

    2 1 0 0    35,042   all
    2 2 0 0   167,345   all
    2 1 1 0   116,292   all
    2 1 0 1   220,281   all
    2 1 2 0   221,793   all
    2 1 1 1   693,806   all
    2 2 2 0 1,095,071   all
    2 2 0 1 1,085,058   all

Nothing is broken in any of them. Not run to the end: four orders (two numbers, two texts each) with two answers lost and
one crash, all at once.
"""

from collections import deque
from typing import NamedTuple

import pytest

FOLLOWER, CANDIDATE, LEADER = 0, 1, 2
NOBODY = -1
NOOP = (0, 0)
LEASE = 1  # ticks

HIGHER_DIGEST, VOTE_NOT_DURABLE, NO_LEASE, DISK_LOST, NO_WAIT, KEEPS_LEASE = DEFECTS = (
    "the higher digest replaces a text of the same number",
    "a vote is given before it is durable",
    "a leader serves reads without its lease",
    "a disk is lost but the identity kept",
    "a restarted member promises nothing",
    "a leader hands over without releasing its lease",
)


class Bounds(NamedTuple):
    """How much may happen in all: terms, orders, answers lost by cuts, and members that crash or lose their disk."""

    terms: int = 2
    orders: int = 2
    cuts: int = 2
    crashes: int = 1


class Member(NamedTuple):
    term: int = 0
    voted: int = NOBODY
    leader: int = NOBODY  # durable, of this term
    log: tuple[tuple[int, tuple[int, int]], ...] = ()  # (term, order)
    commit: int = 0
    role: int = FOLLOWER
    bound: int = 0  # ticks for which it votes for nobody but `to`
    to: int = NOBODY
    lease: int = 0
    heard: tuple[int, int, int] = (0, 0, 0)  # what a leader knows to be durable at each
    by_transfer: bool = False
    disk_kept: bool = True


class State(NamedTuple):
    members: tuple[Member, ...] = (Member(),) * 3
    committed: tuple[tuple[int, tuple[int, int]], ...] = ()  # the longest log that was ever committed anywhere
    proposed: tuple[tuple[int, int], ...] = ()
    cuts: int = 2
    crashes: int = 1


class Broken(Exception):
    """An invariant does not hold."""


def put(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def in_force(log, defect):
    """(number, text) after each entry."""
    found = [NOOP]
    for _, order in log:
        higher = order > found[-1] if defect == HIGHER_DIGEST else order[0] > found[-1][0]
        found.append(order if higher else found[-1])
    return found


def step_down(member, term, voted=NOBODY, leader=NOBODY):
    return member._replace(
        term=term, voted=voted, leader=leader, role=FOLLOWER, lease=0, heard=(0, 0, 0), by_transfer=False
    )


def leads(member, defect):
    if member.role != LEADER or not (member.lease or defect == NO_LEASE):
        return False
    return any(term == member.term for term, _ in member.log[: member.commit])


def free_to_vote(voter, candidate, term, by_transfer):
    """As `Election._free_to_vote`."""
    if voter.role == LEADER and voter.lease:
        return False
    return (by_transfer and term == voter.term + 1) or not voter.bound or voter.to == candidate


def at_least_as_new(log, other):
    return (log[-1][0] if log else 0, len(log)) >= (other[-1][0] if other else 0, len(other))


def merged(log, leaders):
    """The follower's log after it has taken the leader's, and where it changed; entries are alike by index and term."""
    for index, entry in enumerate(leaders):
        if index >= len(log) or log[index][0] != entry[0]:
            return log[:index] + leaders[index:], index
    return log, len(log)


def begun(members, me, by_transfer=False):
    mine = members[me]
    candidate = step_down(mine, mine.term + 1, me)
    return put(members, me, candidate._replace(role=CANDIDATE, by_transfer=by_transfer))


def steps(state, bounds, defect=""):
    """Every (name, next state) from here. `defect`: one safeguard that is left out."""
    members = state.members
    for me, mine in enumerate(members):
        if not mine.disk_kept:
            continue
        if mine.role != LEADER and mine.term < bounds.terms and (not mine.bound or mine.to == me):
            if me == 0 or any(member.term for member in members):
                yield f"campaign {me}", state._replace(members=begun(members, me))
        if mine.role == CANDIDATE:
            for other in range(3):
                if other != me and members[other].disk_kept:
                    yield from votes(state, me, other, defect)
        if mine.role == LEADER:
            yield from leading(state, me, bounds, defect)
        if state.crashes:
            yield from crashes(state, me, defect)
    yield (
        "tick",
        state._replace(
            members=tuple(
                member._replace(bound=max(0, member.bound - 1), lease=max(0, member.lease - 1)) for member in members
            )
        ),
    )


def votes(state, me, other, defect):
    candidate, voter = state.members[me], state.members[other]
    term = candidate.term
    if term < voter.term or not free_to_vote(voter, me, term, candidate.by_transfer):
        return
    if term == voter.term and (voter.voted not in (NOBODY, me) or voter.role == LEADER):
        return
    if not at_least_as_new(candidate.log, voter.log):
        if term > voter.term:
            yield f"refuse {me} {other}", state._replace(members=put(state.members, other, step_down(voter, term)))
        return
    gave = step_down(voter, term, me) if term > voter.term else voter._replace(voted=me)
    members = put(state.members, other, gave)
    if state.cuts and gave != voter:
        yield f"vote {me} {other} lost", state._replace(members=members, cuts=state.cuts - 1)
    won = candidate._replace(
        role=LEADER,
        leader=me,
        to=me,
        log=(*candidate.log, (term, NOOP)),
        by_transfer=False,
        heard=(0, 0, 0),
    )
    yield f"vote {me} {other}", state._replace(members=put(members, me, won))
    if defect == VOTE_NOT_DURABLE and state.crashes:
        forgot = voter._replace(bound=LEASE, to=voter.leader if voter.leader != NOBODY else voter.voted)
        after = put(put(state.members, me, won), other, forgot._replace(role=FOLLOWER, lease=0, heard=(0, 0, 0)))
        yield f"vote {me} {other}, restart {other}", state._replace(members=after, crashes=state.crashes - 1)


def leading(state, me, bounds, defect):
    mine = state.members[me]
    for other in range(3):
        follower = state.members[other]
        if other == me or not follower.disk_kept:
            continue
        if follower.term > mine.term:
            yield f"depose {me}", state._replace(members=put(state.members, me, step_down(mine, follower.term)))
            continue
        if follower.term == mine.term and follower.role == LEADER:
            continue
        yield from appends(state, me, other, defect)
        if follower.term == mine.term and follower.role == FOLLOWER and mine.term < bounds.terms:
            released = mine if defect == KEEPS_LEASE else mine._replace(role=FOLLOWER, lease=0, heard=(0, 0, 0))
            members = begun(put(state.members, me, released), other, by_transfer=True)
            yield f"transfer {me} {other}", state._replace(members=members)
    if leads(mine, defect) and len(state.proposed) < bounds.orders:
        for order in ((1, 1), (1, 2), (2, 1), (2, 2)):
            first_text = order[1] == 1 or (order[0], 1) in state.proposed
            if (
                first_text
                and order not in state.proposed
                and order[0] >= in_force(mine.log[: mine.commit], defect)[-1][0]
            ):
                after = mine._replace(log=(*mine.log, (mine.term, order)))
                yield (
                    f"propose {me} {order}",
                    state._replace(
                        members=put(state.members, me, after), proposed=tuple(sorted((*state.proposed, order)))
                    ),
                )
    if not mine.lease:
        quits = mine._replace(role=FOLLOWER, heard=(0, 0, 0))
        yield f"quit {me}", state._replace(members=put(state.members, me, quits))


def appends(state, me, other, defect):
    mine, follower = state.members[me], state.members[other]
    voted = follower.voted if follower.term == mine.term else NOBODY
    follows = step_down(follower, mine.term, voted, me)._replace(bound=LEASE, to=me)
    before = sum(term < mine.term for term, _ in mine.log)
    sent = {"append": len(mine.log), "heartbeat": 0, "append old": before}
    for name, count in sent.items():
        log, changed = merged(follower.log, mine.log[:count])
        if changed < min(follower.commit, count):
            raise Broken(f"{name} {me} {other}: replaces what is committed")
        if name != "append" and log == merged(follower.log, mine.log)[0]:
            continue
        if name == "append old" and log == follower.log:
            continue
        after = follows._replace(log=log, commit=max(follower.commit, min(mine.commit, count)))
        members = put(state.members, other, after)
        if state.cuts and after != follower:
            yield f"{name} {me} {other} lost", state._replace(members=members, cuts=state.cuts - 1)
        heard = put(mine.heard, other, max(count, mine.heard[other]))
        commit = max(mine.commit, count if count > before else 0)
        knows = mine._replace(heard=heard, lease=LEASE, commit=commit)
        yield f"{name} {me} {other}", state._replace(members=put(members, me, knows))


def crashes(state, me, defect):
    mine, left = state.members[me], state.crashes - 1
    anew = mine._replace(
        role=FOLLOWER,
        lease=0,
        heard=(0, 0, 0),
        commit=0,
        by_transfer=False,
        bound=0 if defect == NO_WAIT else LEASE,
        to=mine.leader if mine.leader != NOBODY else mine.voted,
    )
    yield f"restart {me}", state._replace(members=put(state.members, me, anew), crashes=left)
    if mine.role == LEADER:
        others = sorted(mine.heard)[1]  # what both others have
        least = max(index for index in range(len(mine.log) + 1) if index == 0 or mine.log[index - 1][0] < mine.term)
        for kept in range(least, len(mine.log)):
            if mine.commit <= max(kept, others):
                lost = anew._replace(log=mine.log[:kept])
                yield f"restart {me} with {kept}", state._replace(members=put(state.members, me, lost), crashes=left)
    gone = Member(bound=LEASE, disk_kept=defect == DISK_LOST)
    yield f"wipe {me}", state._replace(members=put(state.members, me, gone), crashes=left)


def checked(state, defect):
    """The state with what is committed in it; `Broken` where an invariant does not hold."""
    committed = state.committed
    for member in state.members:
        applied = member.log[: member.commit]
        if applied[: len(committed)] != committed[: len(applied)]:
            raise Broken("two entries committed at one index")
        if len(applied) > len(committed):
            committed = applied
    texts = {}
    for number, text in in_force(committed, defect):
        if texts.setdefault(number, text) != text:
            raise Broken("two texts in force under one number")
    leaders = [member for member in state.members if leads(member, defect)]
    if any(leader.commit < len(committed) for leader in leaders):
        raise Broken("a member leads without all that was acknowledged")
    if len(leaders) > 1:
        raise Broken("two lead at once")
    return state if committed is state.committed else state._replace(committed=committed)


def normal(state, ordered):
    """The representative of all states that go on alike: what nothing asks for any more is left out, and
    where `ordered`, members 1 and 2 are in order."""
    members = []
    for member in state.members:
        if not member.disk_kept:
            member = Member(disk_kept=False)
        if not member.bound:
            member = member._replace(to=NOBODY)
        if not state.crashes:
            member = member._replace(leader=NOBODY, heard=(0, 0, 0))
        members.append(member)
    if not ordered:
        return state._replace(members=tuple(members))
    other = tuple(renamed(members[index]) for index in (0, 2, 1))
    return state._replace(members=min(tuple(members), other))


def renamed(member):
    """With members 1 and 2 in each other's place."""
    name = {NOBODY: NOBODY, 0: 0, 1: 2, 2: 1}
    heard = (member.heard[0], member.heard[2], member.heard[1])
    return member._replace(voted=name[member.voted], leader=name[member.leader], to=name[member.to], heard=heard)


class SearchResult(NamedTuple):
    """How many different states were met, whether those are all, and the shortest way to a broken invariant."""

    met: int
    complete: bool
    trace: list[str] | None
    broken: str


def explore(bounds, defect="", max_states=10**9):
    """Of states that were met only a hash is kept, as they are many."""
    first = State(cuts=bounds.cuts, crashes=bounds.crashes)
    met, queue = {hash(first)}, deque([(first, None)])
    while queue and len(met) < max_states:
        state, way = queue.popleft()
        name = None
        try:
            for name, after in steps(state, bounds, defect):
                after = normal(checked(after, defect), ordered=not defect)
                key = hash(after)
                if key not in met:
                    met.add(key)
                    queue.append((after, (name, way)))
        except Broken as broken:
            trace = [str(broken)] if str(broken).startswith(("append", "heartbeat")) else [name]
            while way is not None:
                trace.append(way[0])
                way = way[1]
            return SearchResult(len(met), False, trace[::-1], str(broken))
    return SearchResult(len(met), not queue, None, "")


def test_invariants_hold_in_every_explored_state():
    found = explore(Bounds(), max_states=60_000)
    assert found.trace is None and found.met >= 60_000, found


@pytest.mark.parametrize(
    "defect, bounds, steps_taken, broken",
    [
        (HIGHER_DIGEST, Bounds(2, 2, 0, 0), 6, "two texts in force under one number"),
        (VOTE_NOT_DURABLE, Bounds(2, 1, 0, 1), 6, "append 1 0: replaces what is committed"),
        (NO_LEASE, Bounds(2, 1, 0, 0), 7, "a member leads without all that was acknowledged"),
        (DISK_LOST, Bounds(2, 1, 0, 1), 7, "two entries committed at one index"),
        (NO_WAIT, Bounds(2, 1, 0, 1), 7, "a member leads without all that was acknowledged"),
        (KEEPS_LEASE, Bounds(2, 1, 0, 0), 6, "a member leads without all that was acknowledged"),
    ],
)
def test_removing_a_safeguard_breaks_its_invariant_with_a_shortest_trace(defect, bounds, steps_taken, broken):
    found = explore(bounds, defect, max_states=50_000)
    assert found.trace is not None and len(found.trace) == steps_taken and found.broken == broken, found


if __name__ == "__main__":
    import sys
    import time

    bounds = Bounds(*(int(figure) for figure in sys.argv[1:5]))
    max_states = int(sys.argv[5]) if len(sys.argv) > 5 else 10**9
    began = time.perf_counter()
    found = explore(bounds, max_states=max_states)
    print(
        f"{bounds}: {found.met} states, {'all' if found.complete else 'not all'}, {found.trace or 'nothing broken'}, "
        f"{time.perf_counter() - began:.0f} s"
    )
