"""A few members on a manual clock: elections, replication, leases, snapshots and membership changes."""

from random import Random

from kestrelplank.consensus.effect_queue import EffectQueue
from kestrelplank.consensus.effects import Applied, Deposed, Elected, Persist, Restored, Send
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Entry,
    HardState,
    Noop,
    PutConfiguration,
    Snapshot,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.consensus.timing import LEASE_NS
from kestrelplank.time_units import MILLISECOND, SECOND

NAMES = ("10.0.0.1:80/first", "10.0.0.2:80/first", "10.0.0.3:80/first")


def order(version, text=b"text"):
    return PutConfiguration(version, f"d{version}", text)


class Group:
    """Members whose messages arrive after 1 ms and whose writes are durable after 3 ms."""

    def __init__(self, names=NAMES):
        self.now, self.random = 1000 * SECOND, Random(1)
        self.nodes, self.events, self.event_count = {}, [], 0
        self.disks = {name: [HardState(), None, ()] for name in names}
        self.partitions, self.applied, self.leading = set(), {name: [] for name in names}, {}
        self.without_messages, self.hanging_disks = (
            set(),
            set(),
        )  # names of members
        for name in names:
            self.start(name, Membership(0, names), first=True)

    def start(self, name, membership=None, first=False):
        hard_state, snapshot, entries = self.disks.setdefault(name, [HardState(), None, ()])
        self.applied[name] = []
        self.nodes[name] = ConsensusNode(
            self.now, Random(self.random.random()), name, membership, hard_state, entries, snapshot, first
        )

    def carry_out(self, name, effects):
        node = self.nodes.get(name)
        for effect in effects:
            self.event_count += 1
            if isinstance(effect, Send):
                self.events.append(
                    (self.now + MILLISECOND, self.event_count, self.arrive, (name, effect.to, effect.message))
                )
            elif isinstance(effect, Persist):
                self.events.append((self.now + 3 * MILLISECOND, self.event_count, self.written, (name, node, effect)))
            elif isinstance(effect, Applied):
                self.applied[name].append(effect.entry)
            elif isinstance(effect, Restored):
                self.applied[name] = [effect.snapshot]
            elif isinstance(effect, Elected):
                self.leading[name] = True
            elif isinstance(effect, Deposed):
                self.leading[name] = False

    def arrive(self, sender, name, message):
        if (
            name in self.nodes
            and name not in self.without_messages
            and frozenset((sender, name)) not in self.partitions
        ):
            self.carry_out(name, self.nodes[name].receive(self.now, sender, message))

    def written(self, name, node, persist):
        if self.nodes.get(name) is not node:
            return
        if name in self.hanging_disks:
            self.event_count += 1
            self.events.append((self.now + MILLISECOND, self.event_count, self.written, (name, node, persist)))
            return
        disk = self.disks[name]
        disk[0] = persist.hard_state or disk[0]
        if persist.snapshot is not None:
            disk[1], disk[2] = persist.snapshot, persist.entries
        elif persist.entries:
            disk[2] = tuple(entry for entry in disk[2] if entry.index < persist.entries[0].index) + persist.entries
        self.carry_out(name, node.persisted(self.now, persist.number))

    def advance(self, seconds):
        until = self.now + round(seconds * SECOND)
        while self.now < until:
            self.now += MILLISECOND
            while self.events and min(self.events)[0] <= self.now:
                event = min(self.events, key=lambda candidate: candidate[:2])
                self.events.remove(event)
                event[2](*event[3])
            if self.now % (50 * MILLISECOND) == 0:
                for name in list(self.nodes):
                    self.carry_out(name, self.nodes[name].tick(self.now))
            assert sum(node.leads(self.now) for node in self.nodes.values()) <= 1

    def leader(self):
        return next((name for name, node in self.nodes.items() if node.leads(self.now)), None)

    def propose(self, command):
        name = self.leader()
        index, effects = self.nodes[name].propose(self.now, command)
        self.carry_out(name, effects)
        return index

    def versions(self, name):
        return [
            entry.command.version for entry in self.applied[name] if hasattr(getattr(entry, "command", 0), "version")
        ]


def test_elected_leader_replicates_a_command_to_all():
    group = Group()
    group.advance(1)
    assert group.leader() is not None
    assert group.propose(order(7)) is not None
    group.advance(0.5)
    assert [group.versions(name) for name in NAMES] == [[7]] * 3
    assert all(node.current(group.now) for node in group.nodes.values())


def test_partitioned_leader_steps_down_and_its_uncommitted_entry_is_discarded():
    group = Group()
    group.advance(1)
    former = group.leader()
    others = [name for name in NAMES if name != former]
    group.partitions = {frozenset((former, other)) for other in others}
    group.propose(order(9))
    group.advance(LEASE_NS / SECOND + 1)
    assert not group.nodes[former].leads(group.now) and not group.nodes[former].current(group.now)
    assert group.leader() in others
    group.propose(order(5))
    group.advance(0.3)
    group.partitions = set()
    group.advance(1)
    assert [group.versions(name) for name in NAMES] == [[5]] * 3


def test_former_leader_leads_again_within_400_ms_after_all_restart():
    group = Group()
    group.advance(1)
    former = group.leader()
    group.propose(order(3))
    group.advance(0.3)
    for name in NAMES:
        group.start(name, Membership(0, NAMES))
    group.advance(0.4)
    assert group.leader() == former
    assert [group.versions(name) for name in NAMES] == [[3]] * 3


def test_returning_follower_receives_a_snapshot_and_the_later_entries():
    group = Group()
    group.advance(1)
    leader = group.leader()
    lagging = next(name for name in NAMES if name != leader)
    del group.nodes[lagging]
    for version in range(1, 301):
        group.propose(order(version, b"x" * 2000))
        group.advance(0.01)
    node = group.nodes[leader]
    group.carry_out(leader, node.compact(b"s" * 200_000))
    group.propose(order(400))
    group.advance(0.3)
    group.start(lagging, Membership(0, NAMES))
    group.advance(1)
    assert group.applied[lagging][0].state == b"s" * 200_000 and group.versions(lagging)[-1] == 400
    assert group.nodes[lagging].current(group.now)
    group.start(lagging, Membership(0, NAMES))
    group.advance(1)
    assert group.versions(lagging)[-1] == 400


def test_dead_voter_is_replaced_by_a_caught_up_learner():
    group = Group()
    group.advance(1)
    leader = group.leader()
    dead = next(name for name in NAMES if name != leader)
    del group.nodes[dead]
    new_member = "10.0.0.9:80/abc"
    group.start(new_member)
    group.nodes[leader].add_learner(new_member)
    group.advance(0.5)
    assert group.nodes[leader].peers[new_member].caught_up(group.nodes[leader].commit_index)
    voters = tuple(new_member if name == dead else name for name in NAMES)
    assert group.propose(ChangeMembership(Membership(1, voters, NAMES))) is not None
    assert group.propose(ChangeMembership(Membership(2, NAMES, voters))) is None
    group.advance(0.5)
    assert group.nodes[new_member].membership == Membership(2, voters)
    del group.nodes[leader]
    group.advance(LEASE_NS / SECOND + 1)
    assert group.leader() in voters


def test_leadership_transfer_does_not_wait_for_the_lease():
    group = Group()
    group.advance(1)
    former = group.leader()
    group.carry_out(former, group.nodes[former].transfer_leadership(group.now))
    group.advance(0.1)
    assert group.leader() not in (None, former)


def test_leadership_goes_to_a_caught_up_voter_that_is_not_leaving():
    """Guards against a transfer to a voter that is stopping itself, whose log is as long as the others'."""
    for staying in range(3):
        group = Group()
        group.advance(1)
        former = group.leader()
        if former == NAMES[staying]:
            continue
        leaving = next(name for name in NAMES if name not in (former, NAMES[staying]))
        group.nodes[former].avoid_as_successors(frozenset([leaving]))
        group.carry_out(former, group.nodes[former].transfer_leadership(group.now))
        group.advance(0.1)
        assert group.leader() == NAMES[staying]


def test_leadership_goes_to_a_leaving_voter_rather_than_to_one_that_is_behind():
    group = Group()
    group.advance(1)
    former = group.leader()
    leaving, behind = (name for name in NAMES if name != former)
    group.hanging_disks.add(behind)
    group.propose(order(7))
    group.advance(0.2)
    group.nodes[former].avoid_as_successors(frozenset([leaving]))
    group.carry_out(former, group.nodes[former].transfer_leadership(group.now))
    group.hanging_disks.clear()
    group.advance(0.1)
    assert group.leader() == leaving


def test_leader_that_receives_no_replies_is_succeeded_when_its_lease_ends():
    """Its messages renew the followers' promises; without the transfer they would wait for these to end."""
    group = Group()
    group.advance(1)
    former = group.leader()
    group.without_messages.add(former)
    group.advance((LEASE_NS + 200 * MILLISECOND) / SECOND)
    assert group.leader() not in (None, former)
    assert group.leading[former] is False


def test_leader_whose_disk_hangs_transfers_leadership():
    group = Group()
    group.advance(1)
    former = group.leader()
    group.hanging_disks.add(former)
    group.propose(order(7))
    group.advance(0.5)
    assert group.leader() == former  # a slow write does not cause a transfer
    group.advance(0.8)
    assert group.leader() not in (None, former)
    group.advance(2)
    assert group.leader() not in (None, former)
    group.hanging_disks.clear()
    group.advance(0.5)
    assert [group.versions(name) for name in NAMES] == [[7]] * 3


def test_partitioned_member_is_out_of_contact_after_550_ms():
    group = Group()
    group.advance(1)
    leader = group.leader()
    follower = next(name for name in NAMES if name != leader)
    for isolated in (follower, leader):
        assert all(node.in_contact(group.now) for node in group.nodes.values())
        group.partitions = {frozenset((isolated, other)) for other in NAMES if other != isolated}
        group.advance(0.55)
        assert not group.nodes[isolated].in_contact(group.now)
        assert group.nodes[isolated].current(group.now)  # until the last message is too old, which takes longer
        group.partitions = set()
        group.advance(0.3)


def test_completed_change_keeps_only_the_zones_of_the_new_voters():
    group = Group()
    group.advance(1)
    leader, new_member = group.leader(), "10.0.0.4:80/fresh"
    lost = next(name for name in NAMES if name != leader)
    group.start(new_member)
    group.nodes[leader].add_learner(new_member)
    group.advance(0.5)
    voters = tuple(name for name in (*NAMES, new_member) if name != lost)
    zones = dict.fromkeys((*NAMES, new_member), "hall")
    group.propose(ChangeMembership(Membership(1, voters, NAMES, zones)))
    group.advance(0.5)
    assert group.nodes[leader].membership == Membership(2, voters, (), dict.fromkeys(voters, "hall"))


def test_compaction_write_does_not_lower_the_durable_index():
    """The write contains the entries that are in memory; those already on disk stay durable."""
    queue = EffectQueue(5)
    entries = tuple(Entry(index, 1, Noop()) for index in range(5, 8))
    queue.persist_entries(entries[1:2])
    snapshot = Snapshot(4, 1, Membership(0, NAMES), b"")
    queue.persist_snapshot(snapshot, entries[:2], HardState(), matching_until=6)
    queue.persist_entries(entries[2:])
    durable_indexes = [queue.durable_index]
    for number in (1, 2, 3):
        list(queue.complete(number))
        durable_indexes.append(queue.durable_index)
    assert durable_indexes == [5, 6, 6, 7]


def test_durable_index_of_a_leader_does_not_decrease_during_a_compaction():
    """Durable, uncommitted entries stay durable, as the compaction writes the same entries again."""
    group = Group()
    group.advance(1)
    leader = group.leader()
    node, others = group.nodes[leader], [name for name in NAMES if name != leader]
    group.propose(order(1))
    group.advance(0.2)
    group.hanging_disks.update(others)
    group.propose(order(2))
    group.advance(0.05)
    assert node.durable_index == node.log.last_index == node.applied_index + 1
    group.hanging_disks.add(leader)
    group.propose(order(3))
    group.carry_out(leader, node.compact(b"s"))
    writes = [args[2] for _, _, action, args in group.events if action == group.written and args[0] == leader]
    durable_indexes = [node.durable_index]
    for persist in sorted(writes, key=lambda write: write.number):
        node.persisted(group.now, persist.number)
        durable_indexes.append(node.durable_index)
    assert len(writes) == 2 and durable_indexes == [durable_indexes[0], durable_indexes[0] + 1, durable_indexes[0] + 1]
