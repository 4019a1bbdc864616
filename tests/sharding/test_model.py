"""A search, in small, of what keeps two servers from holding a key at once: claims by majority, the record, holds
that run out, fences, members that restart or lose their disk, calls that arrive late.

One key, time in ticks. Every order of the steps below is taken from every world, breadth first, so a broken invariant
comes with a shortest trace. Worlds that differ only in which member or server is which count as one. In CI 20,000 of the
sound protocol are met; `python tests/sharding/test_model.py` meets all there are, by the table at its end. What the
model takes for granted: a message to a majority arrives there at once or not at all (what is lost or late between members
is the part of the histories in tests/consensus), a late grant comes at most a tick after its sender gave it up, as the connection is
reset then. The invariant: no two servers hold the key.

    claim m Q     m asks the members in Q, a majority: each promises unless it is bound to another; m learns the newest
                  record in Q and lays it down again under its own ballot
    renew m Q     the claim runs anew from now
    grant m       to the server of its line; `late`: it is on its way, and may arrive after a tick
    release m     answered by the server: its hold is over and its fence risen
    stop m        no more grants; the hold is waited for
    move m Q s    nobody holds the key: server s is laid down at Q, and may be granted
    restart m     what is in memory is lost; promises nothing for a lease
    wipe m        once: its disk too; it counts again when two others have told it all
    tick          time passes; a frozen member is one that takes no step meanwhile
"""

from collections import deque
from itertools import combinations
from typing import NamedTuple

import pytest

LEASE, HOLD, SLOW = 2, 2, 0  # ticks; a slow server holds one longer
MOST_BALLOT, MOST_MOVES = 2, 2
CLAIM = (0, 1)  # members that claim; the others only promise


class Member(NamedTuple):
    promised: int = 0
    ballot: int = 0  # of its record
    seq: int = 0
    server: int = 0
    bound: int = 0  # ticks for which it promises nobody else
    to: int = -1  # whom it is bound to; -1 with `bound`: it has just started
    whole: bool = True


class Decider(NamedTuple):
    ballot: int
    seq: int
    server: int
    fence: int
    lease: int  # ticks that its claim runs yet
    wait: int  # ticks until the last hold that it can know of has run out
    state: str  # held, stopped, free


class Server(NamedTuple):
    fence: int = 0
    hold: int = 0


class World(NamedTuple):
    members: tuple[Member, ...]
    deciders: tuple[Decider | None, ...]
    servers: tuple[Server, ...]
    late: tuple[int, int] | None = None  # server and fence of a grant on its way
    moves: int = 0
    faults: int = 1  # restarts and empty disks that are left to happen


def put(values, place, value):
    return (*values[:place], value, *values[place + 1 :])


def record(world, group, ballot, seq, server):
    members = list(world.members)
    for place in group:
        members[place] = members[place]._replace(
            promised=max(ballot, members[place].promised), ballot=ballot, seq=seq, server=server
        )
    return world._replace(members=tuple(members))


def steps(world, defect):
    """Every (name, next world) from here. `defect`: one safeguard that is left out."""
    count = len(world.members)
    majorities = [group for size in [count // 2 + 1] for group in combinations(range(count), size)]
    for me in range(count):
        mine = world.deciders[me]
        for group in majorities:
            chosen = [world.members[place] for place in group]
            if me not in group or not all(member.whole for member in chosen):
                continue
            ballot = max(member.promised for member in world.members) + 1
            if (
                me in CLAIM
                and mine is None
                and ballot <= MOST_BALLOT
                and all(member.bound == 0 or member.to == me for member in chosen)
            ):
                newest = max(chosen, key=lambda member: (member.ballot, member.seq))
                wait = 0 if defect == "no wait" or not newest.ballot else HOLD + SLOW
                decider = Decider(
                    ballot, 1, newest.server, ballot * 10, LEASE, wait, "held" if newest.server else "free"
                )
                members = world.members
                for place in group:
                    members = put(members, place, members[place]._replace(promised=ballot, bound=LEASE, to=me))
                taken = record(world._replace(members=members), group, ballot, 1, newest.server)
                yield f"claim {me} {group}", taken._replace(deciders=put(world.deciders, me, decider))
            if mine is None or mine.lease == 0 or any(member.promised > mine.ballot for member in chosen):
                continue
            if all(member.promised == mine.ballot for member in chosen) and mine.lease < LEASE:
                members = world.members
                for place in group:
                    members = put(members, place, members[place]._replace(bound=LEASE, to=me))
                yield (
                    f"renew {me} {group}",
                    world._replace(members=members, deciders=put(world.deciders, me, mine._replace(lease=LEASE))),
                )
            if mine.state == "free" and mine.lease and world.moves < MOST_MOVES:
                for server in range(1, len(world.servers) + 1):
                    moved = mine._replace(seq=mine.seq + 1, server=server, fence=mine.fence + 1, wait=0, state="held")
                    after = record(world, () if defect == "no record" else group, mine.ballot, moved.seq, server)
                    yield (
                        f"move {me} {group} {server}",
                        after._replace(deciders=put(world.deciders, me, moved), moves=world.moves + 1),
                    )
        if mine is not None:
            yield from acts(world, me, mine, defect)
        if world.faults:
            left = world._replace(deciders=put(world.deciders, me, None), faults=world.faults - 1)
            yield (
                f"restart {me}",
                left._replace(members=put(world.members, me, world.members[me]._replace(bound=LEASE, to=-1))),
            )
            yield (
                f"wipe {me}",
                left._replace(members=put(world.members, me, Member(bound=LEASE, whole=defect == "wiped counts"))),
            )
        if not world.members[me].whole:
            others = [member for place, member in enumerate(world.members) if place != me and member.whole]
            if len(others) >= count - count // 2:
                newest = max(others, key=lambda member: (member.ballot, member.seq))
                yield (
                    f"rejoin {me}",
                    world._replace(
                        members=put(
                            world.members,
                            me,
                            newest._replace(promised=max(member.promised for member in others), bound=LEASE, to=-1),
                        )
                    ),
                )
    if world.late is not None:
        server, fence = world.late
        yield "arrives", arrived(world._replace(late=None), server, fence)
        yield "is lost", world._replace(late=None)
    yield (
        "tick",
        world._replace(
            members=tuple(
                member._replace(bound=max(0, member.bound - 1), to=member.to if member.bound > 1 else -1)
                for member in world.members
            ),
            deciders=tuple(
                decider and decider._replace(lease=max(0, decider.lease - 1), wait=max(0, decider.wait - 1))
                for decider in world.deciders
            ),
            servers=tuple(server._replace(hold=max(0, server.hold - 1)) for server in world.servers),
            late=None,
        ),
    )  # its connection was reset


def arrived(world, server, fence):
    held = world.servers[server - 1]
    if held.fence > fence:
        return world
    return world._replace(servers=put(world.servers, server - 1, Server(fence, HOLD + SLOW)))


def acts(world, me, mine, defect):
    """What a decider does at its server, as long as its claim runs."""
    if mine.state != "free" and mine.wait == 0 and mine.state == "stopped":
        yield f"out {me}", world._replace(deciders=put(world.deciders, me, mine._replace(state="free")))
    if mine.lease == 0:
        return
    if mine.state == "held":
        waits = mine._replace(wait=HOLD + SLOW)
        after = world._replace(deciders=put(world.deciders, me, waits))
        yield f"grant {me}", arrived(after, mine.server, mine.fence)
        if world.late is None:
            yield f"grant {me} late", after._replace(late=(mine.server, mine.fence))
        yield f"stop {me}", world._replace(deciders=put(world.deciders, me, mine._replace(state="stopped")))
    if mine.state == "stopped":
        held, fence = world.servers[mine.server - 1], mine.fence + (defect != "old fence")
        risen = Server(max(held.fence, fence), 0)
        yield (
            f"release {me}",
            world._replace(
                servers=put(world.servers, mine.server - 1, risen),
                deciders=put(world.deciders, me, mine._replace(state="free", fence=fence, wait=0)),
            ),
        )


def alike(world):
    """One world for all that differ only in which of the two claimers, of the other members or of the servers is which."""
    best = None
    for order in ((0, 1), (1, 0)):
        members = [world.members[place] for place in order]
        members = [one._replace(to=order[one.to]) if one.to >= 0 else one for one in members]
        others = [one._replace(to=order[one.to]) if one.to >= 0 else one for one in world.members[2:]]
        deciders = [world.deciders[place] for place in order]
        named = {0: 0}  # servers in the order in which they are met
        for one in (*deciders, *members, *sorted(others)):
            if one is not None:
                named.setdefault(one.server, len(named))
        if world.late is not None:
            named.setdefault(world.late[0], len(named))
        for server, _ in sorted(enumerate(world.servers, 1), key=lambda one: one[1]):
            named.setdefault(server, len(named))
        places = sorted(range(1, len(named)), key=named.get)
        found = World(
            (
                *(one._replace(server=named[one.server]) for one in members),
                *sorted(one._replace(server=named[one.server]) for one in others),
            ),
            (*(one and one._replace(server=named[one.server]) for one in deciders), *world.deciders[2:]),
            tuple(world.servers[place - 1] for place in places),
            world.late and (named[world.late[0]], world.late[1]),
            world.moves,
            world.faults,
        )
        key = (found.members, found.servers, [one or () for one in found.deciders], found.late or ())
        if best is None or key < best[0]:
            best = key, found
    return best[1]


def explore(members, servers, defect=None, most=10**8):
    """How many worlds were met that are not alike, whether those are all, and the shortest trace to one in which two
    servers hold the key, if any. Of worlds that were met a number is kept, as they are many."""
    first = World((Member(),) * members, (None,) * members, (Server(),) * servers)
    met, queue = {hash(first)}, deque([(first, None)])
    while queue and len(met) < most:
        world, way = queue.popleft()
        for name, after in steps(world, defect):
            after = alike(after)
            if hash(after) in met:
                continue
            met.add(hash(after))
            if sum(server.hold > 0 for server in after.servers) > 1:
                trace = [name]
                while way is not None:
                    name, way = way
                    trace.append(name)
                return len(met), False, trace[::-1]
            queue.append((after, (name, way)))
    return len(met), not queue, None


def test_no_order_of_steps_has_two_servers_hold_the_key():
    met, _, trace = explore(3, 2, most=20_000)
    assert trace is None and met >= 20_000, trace


@pytest.mark.parametrize(
    "defect, last", [("no wait", "grant"), ("no record", "grant"), ("wiped counts", "grant"), ("old fence", "arrives")]
)
def test_each_safeguard_left_out_is_found_with_a_shortest_trace(defect, last):
    met, _, trace = explore(3, 2, defect)
    assert trace is not None and trace[-1].split()[0] == last and met < 50_000, (met, trace)


if __name__ == "__main__":
    import time

    for members, servers, MOST_MOVES in ((3, 2, 2), (5, 3, 1), (3, 3, 3), (5, 3, 2)):
        began = time.perf_counter()
        met, whole, trace = explore(members, servers)
        print(
            f"{members} members, {servers} servers, {MOST_MOVES} moves: {met} worlds, {'all' if whole else 'not all'}, "
            f"{'no two holders' if trace is None else trace}, {time.perf_counter() - began:.0f} s",
            flush=True,
        )
