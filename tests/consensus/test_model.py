"""Model check of elections, replication, leases and leadership transfer: an acknowledged text is never lost, and no two
texts are acknowledged for one version.

Three members, time in ticks, breadth-first search over all orders of steps, so a violation comes with a shortest trace. By
symmetry member 0 campaigns first, and text 1 of a version is proposed first. CI explores the first states;
`python tests/consensus/test_model.py` explores all states within the bounds.

    campaign m      m starts a term and votes for itself, once its promise has expired
    vote c v        v votes for c, if no promise, earlier vote or newer log forbids it; `lost`: c does not get the vote
    refuse c v      v has a newer log than c: it adopts c's term without a vote
    append l f      f copies the leader's log, renews its promise and replies; the leader commits entries of its term
                    that a majority has; `lost`: the leader does not get the reply; `old`: only entries of earlier terms
    heartbeat l f   the same without entries, for example while the follower's disk is slow
    propose l o     the leader appends order `o`, a version and a text
    transfer l h    the leader releases its lease and asks h to campaign at once
    depose l        a leader learns of a newer term from a follower and steps down
    quit l          a leader without a lease becomes a follower
    restart m       m loses its memory; a leader also loses entries that only its own memory had
    wipe m          m also loses its disk; its machine returns as a new member without a vote
    tick            time passes; a frozen member is one that takes no steps

Invariants: committed entries never differ; after each, a version has one text; at most one member leads, and it has all
committed entries.

Not modelled: partial writes, pre-votes, snapshots, membership changes, staleness of followers, clock drift.

States by bounds (terms, orders, lost replies, crashes), as `python tests/consensus/test_model.py 2 1 1 1` counts them:

    2 1 0 0    35,042   all
    2 2 0 0   167,345   all
    2 1 1 0   116,292   all
    2 1 0 1   220,281   all
    2 1 2 0   221,793   all
    2 1 1 1   693,806   all
    2 2 2 0 1,095,071   all
    2 2 0 1 1,085,058   all

No violation in any of them. Not completed: four orders (two versions, two texts each) with two lost replies and one crash.
"""

from collections import deque
from typing import NamedTuple

import pytest

FOLLOWER, CANDIDATE, LEADER = 0, 1, 2
NO_MEMBER = -1
NOOP = (0, 0)
LEASE = 1  # ticks

HIGHER_DIGEST, VOTE_NOT_DURABLE, NO_LEASE, DISK_LOST, NO_PROMISE_AFTER_RESTART, LEASE_KEPT_AT_TRANSFER = DEFECTS = (
    "a higher digest replaces a text of the same version",
    "a vote is given before it is durable",
    "a leader serves reads without its lease",
    "a member keeps its identity after losing its disk",
    "a restarted member does not wait for its promise to expire",
    "a leader transfers leadership without releasing its lease",
)


class Bounds(NamedTuple):
    """Limits of the search: terms, orders, lost replies, and crashes or disk losses of members."""

    terms: int = 2
    orders: int = 2
    lost_replies: int = 2
    crashes: int = 1


class Member(NamedTuple):
    term: int = 0
    voted: int = NO_MEMBER
    leader: int = NO_MEMBER  # durable, in this term
    log: tuple[tuple[int, tuple[int, int]], ...] = ()  # (term, order)
    commit: int = 0
    role: int = FOLLOWER
    promise_ticks: int = 0  # ticks for which it may vote only for `promised_to`
    promised_to: int = NO_MEMBER
    lease: int = 0
    match: tuple[int, int, int] = (0, 0, 0)  # of a leader: entries known to be durable at each member
    by_transfer: bool = False
    disk_kept: bool = True


class State(NamedTuple):
    members: tuple[Member, ...] = (Member(),) * 3
    committed: tuple[tuple[int, tuple[int, int]], ...] = ()  # the longest log that any member has committed
    proposed: tuple[tuple[int, int], ...] = ()
    lost_replies: int = 2
    crashes: int = 1


class InvariantViolationError(Exception):
    """An invariant does not hold."""


def replace_at(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def in_force(log, defect):
    """The (version, text) in force after each entry."""
    found = [NOOP]
    for _, order in log:
        higher = order > found[-1] if defect == HIGHER_DIGEST else order[0] > found[-1][0]
        found.append(order if higher else found[-1])
    return found


def step_down(member, term, voted=NO_MEMBER, leader=NO_MEMBER):
    return member._replace(
        term=term, voted=voted, leader=leader, role=FOLLOWER, lease=0, match=(0, 0, 0), by_transfer=False
    )


def leads(member, defect):
    if member.role != LEADER or not (member.lease or defect == NO_LEASE):
        return False
    return any(term == member.term for term, _ in member.log[: member.commit])


def free_to_vote(voter, candidate, term, by_transfer):
    """The same conditions as in `Election._free_to_vote`, without the membership."""
    if voter.role == LEADER and voter.lease:
        return False
    return (by_transfer and term == voter.term + 1) or not voter.promise_ticks or voter.promised_to == candidate


def at_least_as_new(log, other):
    return (log[-1][0] if log else 0, len(log)) >= (other[-1][0] if other else 0, len(other))


def merged(log, leaders):
    """The follower's log after an append, and the index of the first change; entries are equal if index and term are."""
    for index, entry in enumerate(leaders):
        if index >= len(log) or log[index][0] != entry[0]:
            return log[:index] + leaders[index:], index
    return log, len(log)


def campaigning(members, member_id, by_transfer=False):
    own = members[member_id]
    candidate = step_down(own, own.term + 1, member_id)
    return replace_at(members, member_id, candidate._replace(role=CANDIDATE, by_transfer=by_transfer))


def steps(state, bounds, defect=""):
    """Every (name, next state) from this state. `defect`: the safeguard that is removed."""
    members = state.members
    for member_id, own in enumerate(members):
        if not own.disk_kept:
            continue
        if own.role != LEADER and own.term < bounds.terms and (not own.promise_ticks or own.promised_to == member_id):
            if member_id == 0 or any(member.term for member in members):
                yield f"campaign {member_id}", state._replace(members=campaigning(members, member_id))
        if own.role == CANDIDATE:
            for other in range(3):
                if other != member_id and members[other].disk_kept:
                    yield from vote_steps(state, member_id, other, defect)
        if own.role == LEADER:
            yield from leader_steps(state, member_id, bounds, defect)
        if state.crashes:
            yield from crash_steps(state, member_id, defect)
    yield (
        "tick",
        state._replace(
            members=tuple(
                member._replace(promise_ticks=max(0, member.promise_ticks - 1), lease=max(0, member.lease - 1))
                for member in members
            )
        ),
    )


def vote_steps(state, member_id, other, defect):
    candidate, voter = state.members[member_id], state.members[other]
    term = candidate.term
    if term < voter.term or not free_to_vote(voter, member_id, term, candidate.by_transfer):
        return
    if term == voter.term and (voter.voted not in (NO_MEMBER, member_id) or voter.role == LEADER):
        return
    if not at_least_as_new(candidate.log, voter.log):
        if term > voter.term:
            yield (
                f"refuse {member_id} {other}",
                state._replace(members=replace_at(state.members, other, step_down(voter, term))),
            )
        return
    after_vote = step_down(voter, term, member_id) if term > voter.term else voter._replace(voted=member_id)
    members = replace_at(state.members, other, after_vote)
    if state.lost_replies and after_vote != voter:
        yield f"vote {member_id} {other} lost", state._replace(members=members, lost_replies=state.lost_replies - 1)
    won = candidate._replace(
        role=LEADER,
        leader=member_id,
        promised_to=member_id,
        log=(*candidate.log, (term, NOOP)),
        by_transfer=False,
        match=(0, 0, 0),
    )
    yield f"vote {member_id} {other}", state._replace(members=replace_at(members, member_id, won))
    if defect == VOTE_NOT_DURABLE and state.crashes:
        restarted = voter._replace(
            promise_ticks=LEASE, promised_to=voter.leader if voter.leader != NO_MEMBER else voter.voted
        )
        after = replace_at(
            replace_at(state.members, member_id, won),
            other,
            restarted._replace(role=FOLLOWER, lease=0, match=(0, 0, 0)),
        )
        yield f"vote {member_id} {other}, restart {other}", state._replace(members=after, crashes=state.crashes - 1)


def leader_steps(state, member_id, bounds, defect):
    own = state.members[member_id]
    for other in range(3):
        follower = state.members[other]
        if other == member_id or not follower.disk_kept:
            continue
        if follower.term > own.term:
            yield (
                f"depose {member_id}",
                state._replace(members=replace_at(state.members, member_id, step_down(own, follower.term))),
            )
            continue
        if follower.term == own.term and follower.role == LEADER:
            continue
        yield from append_steps(state, member_id, other, defect)
        if follower.term == own.term and follower.role == FOLLOWER and own.term < bounds.terms:
            released = (
                own if defect == LEASE_KEPT_AT_TRANSFER else own._replace(role=FOLLOWER, lease=0, match=(0, 0, 0))
            )
            members = campaigning(replace_at(state.members, member_id, released), other, by_transfer=True)
            yield f"transfer {member_id} {other}", state._replace(members=members)
    if leads(own, defect) and len(state.proposed) < bounds.orders:
        for order in ((1, 1), (1, 2), (2, 1), (2, 2)):
            first_text = order[1] == 1 or (order[0], 1) in state.proposed
            if (
                first_text
                and order not in state.proposed
                and order[0] >= in_force(own.log[: own.commit], defect)[-1][0]
            ):
                after = own._replace(log=(*own.log, (own.term, order)))
                yield (
                    f"propose {member_id} {order}",
                    state._replace(
                        members=replace_at(state.members, member_id, after),
                        proposed=tuple(sorted((*state.proposed, order))),
                    ),
                )
    if not own.lease:
        after_quit = own._replace(role=FOLLOWER, match=(0, 0, 0))
        yield f"quit {member_id}", state._replace(members=replace_at(state.members, member_id, after_quit))


def append_steps(state, member_id, other, defect):
    own, follower = state.members[member_id], state.members[other]
    voted = follower.voted if follower.term == own.term else NO_MEMBER
    follows = step_down(follower, own.term, voted, member_id)._replace(promise_ticks=LEASE, promised_to=member_id)
    before = sum(term < own.term for term, _ in own.log)
    sent = {"append": len(own.log), "heartbeat": 0, "append old": before}
    for name, count in sent.items():
        log, changed = merged(follower.log, own.log[:count])
        if changed < min(follower.commit, count):
            raise InvariantViolationError(f"{name} {member_id} {other}: replaces a committed entry")
        if name != "append" and log == merged(follower.log, own.log)[0]:
            continue
        if name == "append old" and log == follower.log:
            continue
        after = follows._replace(log=log, commit=max(follower.commit, min(own.commit, count)))
        members = replace_at(state.members, other, after)
        if state.lost_replies and after != follower:
            yield (
                f"{name} {member_id} {other} lost",
                state._replace(members=members, lost_replies=state.lost_replies - 1),
            )
        match = replace_at(own.match, other, max(count, own.match[other]))
        commit = max(own.commit, count if count > before else 0)
        after_reply = own._replace(match=match, lease=LEASE, commit=commit)
        yield f"{name} {member_id} {other}", state._replace(members=replace_at(members, member_id, after_reply))


def crash_steps(state, member_id, defect):
    own, left = state.members[member_id], state.crashes - 1
    restarted = own._replace(
        role=FOLLOWER,
        lease=0,
        match=(0, 0, 0),
        commit=0,
        by_transfer=False,
        promise_ticks=0 if defect == NO_PROMISE_AFTER_RESTART else LEASE,
        promised_to=own.leader if own.leader != NO_MEMBER else own.voted,
    )
    yield f"restart {member_id}", state._replace(members=replace_at(state.members, member_id, restarted), crashes=left)
    if own.role == LEADER:
        others = sorted(own.match)[1]  # entries that both other members have
        least = max(index for index in range(len(own.log) + 1) if index == 0 or own.log[index - 1][0] < own.term)
        for kept in range(least, len(own.log)):
            if own.commit <= max(kept, others):
                lost = restarted._replace(log=own.log[:kept])
                yield (
                    f"restart {member_id} with {kept}",
                    state._replace(members=replace_at(state.members, member_id, lost), crashes=left),
                )
    wiped = Member(promise_ticks=LEASE, disk_kept=defect == DISK_LOST)
    yield f"wipe {member_id}", state._replace(members=replace_at(state.members, member_id, wiped), crashes=left)


def check(state, defect):
    """The state with its committed log updated; raises `InvariantViolationError` if an invariant does not hold."""
    committed = state.committed
    for member in state.members:
        applied = member.log[: member.commit]
        if applied[: len(committed)] != committed[: len(applied)]:
            raise InvariantViolationError("two different entries committed at one index")
        if len(applied) > len(committed):
            committed = applied
    texts = {}
    for number, text in in_force(committed, defect):
        if texts.setdefault(number, text) != text:
            raise InvariantViolationError("two texts in force for one version")
    leaders = [member for member in state.members if leads(member, defect)]
    if any(leader.commit < len(committed) for leader in leaders):
        raise InvariantViolationError("a member leads without all committed entries")
    if len(leaders) > 1:
        raise InvariantViolationError("two members lead at once")
    return state if committed is state.committed else state._replace(committed=committed)


def normalized(state, ordered):
    """The representative of all equivalent states: fields that no step reads any more are cleared, and members 1 and 2 are
    sorted if `ordered`."""
    members = []
    for member in state.members:
        if not member.disk_kept:
            member = Member(disk_kept=False)
        if not member.promise_ticks:
            member = member._replace(promised_to=NO_MEMBER)
        if not state.crashes:
            member = member._replace(leader=NO_MEMBER, match=(0, 0, 0))
        members.append(member)
    if not ordered:
        return state._replace(members=tuple(members))
    other = tuple(swapped(members[index]) for index in (0, 2, 1))
    return state._replace(members=min(tuple(members), other))


def swapped(member):
    """The member with the identities 1 and 2 swapped."""
    name = {NO_MEMBER: NO_MEMBER, 0: 0, 1: 2, 2: 1}
    match = (member.match[0], member.match[2], member.match[1])
    return member._replace(
        voted=name[member.voted], leader=name[member.leader], promised_to=name[member.promised_to], match=match
    )


class SearchResult(NamedTuple):
    """The number of different states, whether those are all, and a shortest trace to a violated invariant."""

    visited: int
    complete: bool
    trace: list[str] | None
    violation: str


def explore(bounds, defect="", max_states=10**9):
    """Breadth-first search; only a hash of each visited state is stored, to save memory."""
    first = State(lost_replies=bounds.lost_replies, crashes=bounds.crashes)
    visited, queue = {hash(first)}, deque([(first, None)])
    while queue and len(visited) < max_states:
        state, trace_links = queue.popleft()
        name = None
        try:
            for name, after in steps(state, bounds, defect):
                after = normalized(check(after, defect), ordered=not defect)
                key = hash(after)
                if key not in visited:
                    visited.add(key)
                    queue.append((after, (name, trace_links)))
        except InvariantViolationError as violation:
            trace = [str(violation)] if str(violation).startswith(("append", "heartbeat")) else [name]
            while trace_links is not None:
                trace.append(trace_links[0])
                trace_links = trace_links[1]
            return SearchResult(len(visited), False, trace[::-1], str(violation))
    return SearchResult(len(visited), not queue, None, "")


def test_invariants_hold_in_every_explored_state():
    found = explore(Bounds(), max_states=60_000)
    assert found.trace is None and found.visited >= 60_000, found


@pytest.mark.parametrize(
    "defect, bounds, steps_taken, violation",
    [
        (HIGHER_DIGEST, Bounds(2, 2, 0, 0), 6, "two texts in force for one version"),
        (VOTE_NOT_DURABLE, Bounds(2, 1, 0, 1), 6, "append 1 0: replaces a committed entry"),
        (NO_LEASE, Bounds(2, 1, 0, 0), 7, "a member leads without all committed entries"),
        (DISK_LOST, Bounds(2, 1, 0, 1), 7, "two different entries committed at one index"),
        (NO_PROMISE_AFTER_RESTART, Bounds(2, 1, 0, 1), 7, "a member leads without all committed entries"),
        (LEASE_KEPT_AT_TRANSFER, Bounds(2, 1, 0, 0), 6, "a member leads without all committed entries"),
    ],
)
def test_removing_a_safeguard_breaks_its_invariant_with_a_shortest_trace(defect, bounds, steps_taken, violation):
    found = explore(bounds, defect, max_states=50_000)
    assert found.trace is not None and len(found.trace) == steps_taken and found.violation == violation, found


if __name__ == "__main__":
    import sys
    import time

    bounds = Bounds(*(int(figure) for figure in sys.argv[1:5]))
    max_states = int(sys.argv[5]) if len(sys.argv) > 5 else 10**9
    started_at = time.perf_counter()
    found = explore(bounds, max_states=max_states)
    print(
        f"{bounds}: {found.visited} states, {'all' if found.complete else 'not all'}, {found.trace or 'no violation'}, "
        f"{time.perf_counter() - started_at:.0f} s"
    )
