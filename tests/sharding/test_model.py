"""A search, in small, of what keeps two servers from holding a key at once: claims by majority, the record, leases that
run out, fencing tokens, members that restart or lose their disk, calls that arrive late.

One key, time in ticks. Every order of the steps below is taken from every world, breadth first, so a broken invariant
comes with a shortest trace. Worlds that differ only in which member or server is which count as one. In CI 20,000 of
the sound protocol are visited; `python tests/sharding/test_model.py` visits all there are, by the table at its end.
What the model takes for granted: a message to a majority arrives there at once or not at all (what is lost or late
between members is the part of the histories in tests/consensus), a late grant comes at most a tick after its sender
gave it up, as the connection is reset then. The invariant: no two servers hold the key.

    claim m Q     m asks the members in Q, a majority: each promises unless it is bound to another; m learns the newest
                  record in Q and records it again under its own term
    renew m Q     the leader's lease runs anew from now
    grant m       to the server of its record; `late`: it is on its way, and may arrive after a tick
    release m     answered by the server: its lease is over and its token risen
    stop m        no more grants; the server's lease is waited for
    move m Q s    nobody holds the key: server s is recorded at Q, and may be granted
    restart m     what is in memory is lost; promises nothing for a lease
    wipe m        once: its disk too; it counts again when two others have told it all
    tick          time passes; a frozen member is one that takes no step meanwhile
"""

from collections import deque
from itertools import combinations
from typing import NamedTuple

import pytest

LEADER_LEASE, KEY_LEASE, SLOW_CLOCK = 2, 2, 0  # ticks; a server with a slow clock holds keys one longer
LONGEST_KEY_LEASE = KEY_LEASE + SLOW_CLOCK
MAX_TERM, MAX_MOVES = 2, 2
CANDIDATES = (0, 1)  # members that claim; the others only promise
TOKENS_PER_TERM = 10


class Member(NamedTuple):
    """A member's disk and promise. `bound_to` -1 with `bound_ticks`: it has just started."""

    promised_term: int = 0
    record_term: int = 0
    record_number: int = 0
    server: int = 0
    bound_ticks: int = 0  # for which it promises nobody else
    bound_to: int = -1
    complete: bool = True  # its disk has all that it promised


class Leader(NamedTuple):
    """A member that claimed the service, as it sees itself. `state`: held, stopped or free."""

    term: int
    record_number: int
    server: int
    token: int
    lease: int  # ticks that its claim runs yet
    wait: int  # ticks until the last key lease that it can know of has run out
    state: str


class Server(NamedTuple):
    """A server: the highest fencing token that it has seen, and the ticks for which it holds the key yet."""

    token: int = 0
    lease: int = 0


class World(NamedTuple):
    """All there is. `late_grant`: server and token of a grant on its way."""

    members: tuple[Member, ...]
    leaders: tuple[Leader | None, ...]
    servers: tuple[Server, ...]
    late_grant: tuple[int, int] | None = None
    moves: int = 0
    faults: int = 1  # restarts and empty disks that are left to happen

    def with_member(self, name, member):
        return self._replace(members=put(self.members, name, member))

    def with_leader(self, name, leader):
        return self._replace(leaders=put(self.leaders, name, leader))

    def with_server(self, number, server):
        return self._replace(servers=put(self.servers, number - 1, server))

    def with_bound(self, group, name, **changes):
        """The members of `group` are bound to `name` for a lease."""
        world = self
        for member in group:
            promise = world.members[member]._replace(**changes, bound_ticks=LEADER_LEASE, bound_to=name)
            world = world.with_member(member, promise)
        return world

    def with_record(self, group, term, number, server):
        """The members of `group` have this record on disk."""
        world = self
        for name in group:
            member = world.members[name]
            promised_term = max(term, member.promised_term)
            recorded = member._replace(
                promised_term=promised_term, record_term=term, record_number=number, server=server
            )
            world = world.with_member(name, recorded)
        return world


def put(values, position, value):
    return (*values[:position], value, *values[position + 1 :])


def newest_record(members):
    return max(members, key=lambda member: (member.record_term, member.record_number))


def steps(world, defect):
    """Every (name, next world) from here. `defect`: one safeguard that is left out."""
    count = len(world.members)
    majorities = list(combinations(range(count), count // 2 + 1))
    for name in range(count):
        for group in majorities:
            if name in group and all(world.members[member].complete for member in group):
                yield from claims(world, name, group, defect)
                yield from renewals_and_moves(world, name, group, defect)
        if world.leaders[name] is not None:
            yield from calls(world, name, defect)
        yield from member_faults(world, name, defect)
    yield from passing_time(world)


def claims(world, name, group, defect):
    members = [world.members[member] for member in group]
    term = max(member.promised_term for member in world.members) + 1
    if name not in CANDIDATES or world.leaders[name] is not None or term > MAX_TERM:
        return
    if not all(member.bound_ticks == 0 or member.bound_to == name for member in members):
        return
    newest = newest_record(members)
    wait = 0 if defect == "no wait" or not newest.record_term else LONGEST_KEY_LEASE
    state = "held" if newest.server else "free"
    leader = Leader(term, 1, newest.server, term * TOKENS_PER_TERM, LEADER_LEASE, wait, state)
    promised = world.with_bound(group, name, promised_term=term).with_record(group, term, 1, newest.server)
    yield f"claim {name} {group}", promised.with_leader(name, leader)


def renewals_and_moves(world, name, group, defect):
    leader, members = world.leaders[name], [world.members[member] for member in group]
    if leader is None or leader.lease == 0 or any(member.promised_term > leader.term for member in members):
        return
    if all(member.promised_term == leader.term for member in members) and leader.lease < LEADER_LEASE:
        renewed = world.with_bound(group, name).with_leader(name, leader._replace(lease=LEADER_LEASE))
        yield f"renew {name} {group}", renewed
    if leader.state == "free" and world.moves < MAX_MOVES:
        for server in range(1, len(world.servers) + 1):
            number = leader.record_number + 1
            moved = leader._replace(record_number=number, server=server, token=leader.token + 1, wait=0, state="held")
            after = world.with_record(() if defect == "no record" else group, leader.term, number, server)
            yield f"move {name} {group} {server}", after.with_leader(name, moved)._replace(moves=world.moves + 1)


def calls(world, name, defect):
    """What a leader does at its server, as long as its claim runs."""
    leader = world.leaders[name]
    if leader.state == "stopped" and leader.wait == 0:
        yield f"out {name}", world.with_leader(name, leader._replace(state="free"))
    if leader.lease == 0:
        return
    if leader.state == "held":
        granting = world.with_leader(name, leader._replace(wait=LONGEST_KEY_LEASE))
        yield f"grant {name}", arrived(granting, leader.server, leader.token)
        if world.late_grant is None:
            yield f"grant {name} late", granting._replace(late_grant=(leader.server, leader.token))
        yield f"stop {name}", world.with_leader(name, leader._replace(state="stopped"))
    if leader.state == "stopped":
        token = leader.token + (defect != "old token")
        released = Server(max(world.servers[leader.server - 1].token, token), 0)
        freed = leader._replace(state="free", token=token, wait=0)
        yield f"release {name}", world.with_server(leader.server, released).with_leader(name, freed)


def arrived(world, server, token):
    """A grant arrives; the server refuses a lower token than it has seen."""
    if world.servers[server - 1].token > token:
        return world
    return world.with_server(server, Server(token, LONGEST_KEY_LEASE))


def member_faults(world, name, defect):
    member = world.members[name]
    if world.faults:
        after = world.with_leader(name, None)._replace(faults=world.faults - 1)
        restarted = member._replace(bound_ticks=LEADER_LEASE, bound_to=-1)
        yield f"restart {name}", after.with_member(name, restarted)
        wiped = Member(bound_ticks=LEADER_LEASE, complete=defect == "wiped counts")
        yield f"wipe {name}", after.with_member(name, wiped)
    if not member.complete:
        others = [known for other, known in enumerate(world.members) if other != name and known.complete]
        count = len(world.members)
        if len(others) >= count - count // 2:
            promised_term = max(known.promised_term for known in others)
            informed = newest_record(others)._replace(
                promised_term=promised_term, bound_ticks=LEADER_LEASE, bound_to=-1
            )
            yield f"rejoin {name}", world.with_member(name, informed)


def passing_time(world):
    if world.late_grant is not None:
        yield "arrives", arrived(world._replace(late_grant=None), *world.late_grant)
        yield "is lost", world._replace(late_grant=None)
    yield (
        "tick",
        world._replace(
            members=tuple(
                member._replace(
                    bound_ticks=max(0, member.bound_ticks - 1),
                    bound_to=member.bound_to if member.bound_ticks > 1 else -1,
                )
                for member in world.members
            ),
            leaders=tuple(
                leader and leader._replace(lease=max(0, leader.lease - 1), wait=max(0, leader.wait - 1))
                for leader in world.leaders
            ),
            servers=tuple(server._replace(lease=max(0, server.lease - 1)) for server in world.servers),
            late_grant=None,  # its connection was reset
        ),
    )


def representative(world):
    """One world for all that differ only in which of the two candidates, of the other members or of the servers is
    which."""
    return min((with_servers_numbered(world, order) for order in ((0, 1), (1, 0))), key=order_of)


def order_of(world):
    leaders = [leader or () for leader in world.leaders]
    return world.members, world.servers, leaders, world.late_grant or ()


def with_servers_numbered(world, order):
    """The candidates in that order, the other members sorted, and servers numbered in the order in which these name
    them."""

    def reordered(member):
        return member._replace(bound_to=order[member.bound_to]) if member.bound_to >= 0 else member

    candidates = [reordered(world.members[name]) for name in order]
    others = [reordered(member) for member in world.members[2:]]
    leaders = [world.leaders[name] for name in order]
    numbers = {0: 0}
    for known in (*leaders, *candidates, *sorted(others)):
        if known is not None:
            numbers.setdefault(known.server, len(numbers))
    if world.late_grant is not None:
        numbers.setdefault(world.late_grant[0], len(numbers))
    for server, _ in sorted(enumerate(world.servers, 1), key=lambda numbered: numbered[1]):
        numbers.setdefault(server, len(numbers))

    def numbered(known):
        return known and known._replace(server=numbers[known.server])

    in_order = sorted(range(1, len(numbers)), key=numbers.get)
    return World(
        (*map(numbered, candidates), *sorted(map(numbered, others))),
        (*map(numbered, leaders), *world.leaders[2:]),
        tuple(world.servers[server - 1] for server in in_order),
        world.late_grant and (numbers[world.late_grant[0]], world.late_grant[1]),
        world.moves,
        world.faults,
    )


def explore(members, servers, defect=None, most=10**8):
    """How many worlds were visited, whether those are all, and the shortest trace to one in which two servers hold the
    key, if any. Of worlds that were visited a hash is kept, as they are many."""
    first = World((Member(),) * members, (None,) * members, (Server(),) * servers)
    visited, queue = {hash(first)}, deque([(first, None)])
    while queue and len(visited) < most:
        world, path = queue.popleft()
        for name, after in steps(world, defect):
            after = representative(after)
            if hash(after) in visited:
                continue
            visited.add(hash(after))
            if sum(server.lease > 0 for server in after.servers) > 1:
                trace = [name]
                while path is not None:
                    name, path = path
                    trace.append(name)
                return len(visited), False, trace[::-1]
            queue.append((after, (name, path)))
    return len(visited), not queue, None


def test_two_servers_never_hold_the_key_in_visited_states():
    visited, _, trace = explore(3, 2, most=20_000)
    assert trace is None and visited >= 20_000, trace


@pytest.mark.parametrize(
    "defect, last", [("no wait", "grant"), ("no record", "grant"), ("wiped counts", "grant"), ("old token", "arrives")]
)
def test_each_removed_safeguard_is_detected_with_a_shortest_trace(defect, last):
    visited, _, trace = explore(3, 2, defect)
    assert trace is not None and trace[-1].split()[0] == last and visited < 50_000, (visited, trace)


if __name__ == "__main__":
    import time

    for members, servers, MAX_MOVES in ((3, 2, 2), (5, 3, 1), (3, 3, 3), (5, 3, 2)):
        began = time.perf_counter()
        visited, all_visited, trace = explore(members, servers)
        print(
            f"{members} members, {servers} servers, {MAX_MOVES} moves: {visited} worlds, "
            f"{'all' if all_visited else 'not all'}, {'no two holders' if trace is None else trace}, "
            f"{time.perf_counter() - began:.0f} s",
            flush=True,
        )
