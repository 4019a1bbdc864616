"""Model test of the ownership protocol for one key, which guards against two servers that hold the key at once.

A breadth-first search applies the steps below in every order, with time in ticks, so a violation comes with a shortest
trace. States that differ only in the numbering of members or servers count as one. In CI 20,000 states of the complete
protocol are visited; `python tests/sharding/test_model.py` visits all states for the sizes in the table at its end.

Assumptions: a message to a majority arrives at once or not at all (tests/consensus cover loss and delay between
members); a late grant arrives at most one tick after its sender gave up, as the connection is reset then.
Invariant: at most one server holds the key.

    claim m Q     m asks the majority Q; each member promises unless it is bound to another member; m reads the newest
                  record in Q and records it again under its own term
    renew m Q     the leader's lease starts again
    grant m       m sends a grant to the server of its record; `late`: it may arrive after a tick
    release m     the server answers a release: its lease ends and its token rises
    stop m        m sends no more grants and waits for the end of the server's lease
    out m         that lease has ended: no server holds the key
    arrives       a late grant reaches its server; `is lost`: it never does
    move m Q s    no server holds the key: server s is recorded at Q and may be granted the key
    restart m     m loses its memory and makes no promise for the time of a lease; one restart or wipe in total
    wipe m        m loses its disk too; `rejoin` restores it from as many other members as a majority has
    tick          time passes; a member that takes no steps meanwhile models a frozen one
"""

from collections import deque
from itertools import combinations
from typing import NamedTuple

import pytest

LEADER_LEASE, KEY_LEASE, SLOW_CLOCK = 2, 2, 0  # ticks; a server with a slow clock holds keys one longer
MAX_KEY_LEASE = KEY_LEASE + SLOW_CLOCK
MAX_TERM, MAX_MOVES = 2, 2
CANDIDATES = (0, 1)  # members that may claim; the others only promise
TOKENS_PER_TERM = 10


class Member(NamedTuple):
    """A member's disk and its promise. `bound_to` is -1 while `bound_ticks` > 0 after a start."""

    promised_term: int = 0
    record_term: int = 0
    record_number: int = 0
    server: int = 0
    bound_ticks: int = 0  # remaining ticks in which it makes no promise to another member
    bound_to: int = -1
    complete: bool = True  # its disk has all its promises and records


class Leader(NamedTuple):
    """A leader's own view. `state`: held, stopped or free."""

    term: int
    record_number: int
    server: int
    token: int
    lease: int  # remaining ticks of its claim
    wait: int  # ticks until every key lease that may have been granted has ended
    state: str


class Server(NamedTuple):
    """A server: the highest fencing token that it has seen, and the remaining ticks of its lease on the key."""

    token: int = 0
    lease: int = 0


class ModelState(NamedTuple):
    """The complete state of the model. `late_grant`: server and token of a grant in flight."""

    members: tuple[Member, ...]
    leaders: tuple[Leader | None, ...]
    servers: tuple[Server, ...]
    late_grant: tuple[int, int] | None = None
    moves: int = 0
    faults: int = 1  # restarts and wiped disks that may still happen

    def with_member(self, name, member):
        return self._replace(members=with_value(self.members, name, member))

    def with_leader(self, name, leader):
        return self._replace(leaders=with_value(self.leaders, name, leader))

    def with_server(self, number, server):
        return self._replace(servers=with_value(self.servers, number - 1, server))

    def with_bound(self, group, name, **changes):
        """Return the state in which the members of `group` are bound to `name` for the time of a lease."""
        model = self
        for member in group:
            promise = model.members[member]._replace(**changes, bound_ticks=LEADER_LEASE, bound_to=name)
            model = model.with_member(member, promise)
        return model

    def with_record(self, group, term, number, server):
        """Return the state in which the members of `group` have this record on disk."""
        model = self
        for name in group:
            member = model.members[name]
            promised_term = max(term, member.promised_term)
            recorded = member._replace(
                promised_term=promised_term, record_term=term, record_number=number, server=server
            )
            model = model.with_member(name, recorded)
        return model


def with_value(values, position, value):
    return (*values[:position], value, *values[position + 1 :])


def newest_record(members):
    return max(members, key=lambda member: (member.record_term, member.record_number))


def steps(model, defect):
    """Yield the name and the next state of every possible step. `defect`: a safeguard that is removed."""
    count = len(model.members)
    majorities = list(combinations(range(count), count // 2 + 1))
    for name in range(count):
        for group in majorities:
            if name in group and all(model.members[member].complete for member in group):
                yield from claim_steps(model, name, group, defect)
                yield from renewal_and_move_steps(model, name, group, defect)
        if model.leaders[name] is not None:
            yield from call_steps(model, name, defect)
        yield from fault_steps(model, name, defect)
    yield from time_steps(model)


def claim_steps(model, name, group, defect):
    members = [model.members[member] for member in group]
    term = max(member.promised_term for member in model.members) + 1
    if name not in CANDIDATES or model.leaders[name] is not None or term > MAX_TERM:
        return
    if not all(member.bound_ticks == 0 or member.bound_to == name for member in members):
        return
    newest = newest_record(members)
    wait = 0 if defect == "no wait" or not newest.record_term else MAX_KEY_LEASE
    state = "held" if newest.server else "free"
    leader = Leader(term, 1, newest.server, term * TOKENS_PER_TERM, LEADER_LEASE, wait, state)
    promised = model.with_bound(group, name, promised_term=term).with_record(group, term, 1, newest.server)
    yield f"claim {name} {group}", promised.with_leader(name, leader)


def renewal_and_move_steps(model, name, group, defect):
    leader, members = model.leaders[name], [model.members[member] for member in group]
    if leader is None or leader.lease == 0 or any(member.promised_term > leader.term for member in members):
        return
    if all(member.promised_term == leader.term for member in members) and leader.lease < LEADER_LEASE:
        renewed = model.with_bound(group, name).with_leader(name, leader._replace(lease=LEADER_LEASE))
        yield f"renew {name} {group}", renewed
    if leader.state == "free" and model.moves < MAX_MOVES:
        for server in range(1, len(model.servers) + 1):
            number = leader.record_number + 1
            moved = leader._replace(record_number=number, server=server, token=leader.token + 1, wait=0, state="held")
            after = model.with_record(() if defect == "no record" else group, leader.term, number, server)
            yield f"move {name} {group} {server}", after.with_leader(name, moved)._replace(moves=model.moves + 1)


def call_steps(model, name, defect):
    """Yield the leader's steps at its server while its claim is valid."""
    leader = model.leaders[name]
    if leader.state == "stopped" and leader.wait == 0:
        yield f"out {name}", model.with_leader(name, leader._replace(state="free"))
    if leader.lease == 0:
        return
    if leader.state == "held":
        granting = model.with_leader(name, leader._replace(wait=MAX_KEY_LEASE))
        yield f"grant {name}", after_grant_arrival(granting, leader.server, leader.token)
        if model.late_grant is None:
            yield f"grant {name} late", granting._replace(late_grant=(leader.server, leader.token))
        yield f"stop {name}", model.with_leader(name, leader._replace(state="stopped"))
    if leader.state == "stopped":
        token = leader.token + (defect != "old token")
        released = Server(max(model.servers[leader.server - 1].token, token), 0)
        freed = leader._replace(state="free", token=token, wait=0)
        yield f"release {name}", model.with_server(leader.server, released).with_leader(name, freed)


def after_grant_arrival(model, server, token):
    """Return the state after a grant arrives; the server rejects a lower token than it has seen."""
    if model.servers[server - 1].token > token:
        return model
    return model.with_server(server, Server(token, MAX_KEY_LEASE))


def fault_steps(model, name, defect):
    member = model.members[name]
    if model.faults:
        after = model.with_leader(name, None)._replace(faults=model.faults - 1)
        restarted = member._replace(bound_ticks=LEADER_LEASE, bound_to=-1)
        yield f"restart {name}", after.with_member(name, restarted)
        wiped = Member(bound_ticks=LEADER_LEASE, complete=defect == "wiped counts")
        yield f"wipe {name}", after.with_member(name, wiped)
    if not member.complete:
        others = [entry for other, entry in enumerate(model.members) if other != name and entry.complete]
        count = len(model.members)
        if len(others) >= count - count // 2:
            promised_term = max(entry.promised_term for entry in others)
            restored = newest_record(others)._replace(
                promised_term=promised_term, bound_ticks=LEADER_LEASE, bound_to=-1
            )
            yield f"rejoin {name}", model.with_member(name, restored)


def time_steps(model):
    if model.late_grant is not None:
        yield "arrives", after_grant_arrival(model._replace(late_grant=None), *model.late_grant)
        yield "is lost", model._replace(late_grant=None)
    yield (
        "tick",
        model._replace(
            members=tuple(
                member._replace(
                    bound_ticks=max(0, member.bound_ticks - 1),
                    bound_to=member.bound_to if member.bound_ticks > 1 else -1,
                )
                for member in model.members
            ),
            leaders=tuple(
                leader and leader._replace(lease=max(0, leader.lease - 1), wait=max(0, leader.wait - 1))
                for leader in model.leaders
            ),
            servers=tuple(server._replace(lease=max(0, server.lease - 1)) for server in model.servers),
            late_grant=None,  # its connection was reset
        ),
    )


def canonical(model):
    """Return the same state for all states that differ only in the numbering of candidates, other members or servers."""
    return min((with_servers_numbered(model, order) for order in ((0, 1), (1, 0))), key=sort_key)


def sort_key(model):
    leaders = [leader or () for leader in model.leaders]
    return model.members, model.servers, leaders, model.late_grant or ()


def with_servers_numbered(model, order):
    """Return the state with candidates in this order, other members sorted, and servers numbered by first use in these."""

    def reordered(member):
        return member._replace(bound_to=order[member.bound_to]) if member.bound_to >= 0 else member

    candidates = [reordered(model.members[name]) for name in order]
    others = [reordered(member) for member in model.members[2:]]
    leaders = [model.leaders[name] for name in order]
    numbers = {0: 0}
    for entry in (*leaders, *candidates, *sorted(others)):
        if entry is not None:
            numbers.setdefault(entry.server, len(numbers))
    if model.late_grant is not None:
        numbers.setdefault(model.late_grant[0], len(numbers))
    for server, _ in sorted(enumerate(model.servers, 1), key=lambda numbered: numbered[1]):
        numbers.setdefault(server, len(numbers))

    def numbered(entry):
        return entry and entry._replace(server=numbers[entry.server])

    in_order = sorted(range(1, len(numbers)), key=numbers.get)
    return ModelState(
        (*map(numbered, candidates), *sorted(map(numbered, others))),
        (*map(numbered, leaders), *model.leaders[2:]),
        tuple(model.servers[server - 1] for server in in_order),
        model.late_grant and (numbers[model.late_grant[0]], model.late_grant[1]),
        model.moves,
        model.faults,
    )


def explore(members, servers, defect=None, max_states=10**8):
    """Return the number of visited states, whether these are all, and the shortest trace to a violation, if any. Only
    hashes of visited states are kept, to save memory."""
    first = ModelState((Member(),) * members, (None,) * members, (Server(),) * servers)
    visited, queue = {hash(first)}, deque([(first, None)])
    while queue and len(visited) < max_states:
        model, path = queue.popleft()
        for name, after in steps(model, defect):
            after = canonical(after)
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
    visited, _, trace = explore(3, 2, max_states=20_000)
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
            f"{members} members, {servers} servers, {MAX_MOVES} moves: {visited} states, "
            f"{'all' if all_visited else 'not all'}, {'no two holders' if trace is None else trace}, "
            f"{time.perf_counter() - began:.0f} s",
            flush=True,
        )
