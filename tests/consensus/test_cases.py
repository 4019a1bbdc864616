"""Hard cases by name: one number and one text under partitions, freezes, kills and lost answers, and catching up after hundreds
of changes. `Cluster` holds all invariants after every step; a test adds what its case must come to."""

from itertools import permutations

import pytest

from consensus.simulated_cluster import IN_FORCE, OVERTAKEN, UNKNOWN, Cluster, Conditions
from kestrelplank.consensus.roles import Role
from kestrelplank.consensus.snapshots import CHUNK_BYTES
from kestrelplank.consensus.timing import LEASE_MARGIN_NS, LEASE_NS
from kestrelplank.time_units import MILLISECOND, SECOND

RECOVERY_TIMEOUT_NS = 10 * SECOND  # by which a cluster without fault has a leader and all are current
LARGE_TEXT = b"x" * (4 * CHUNK_BYTES + 17)  # a configuration whose snapshot takes five chunks
CHUNKS = 5


def started(count=3, seed=1, **others):
    """A cluster with a leader, and the addresses of the leader and of the others."""
    cluster = Cluster(count, seed, **others)
    leader = cluster.elect().address
    cluster.until(cluster.caught_up)
    return cluster, leader, [name for name in cluster.machines if name != leader]


def texts(cluster):
    return {machine.replica.text for machine in cluster.running()}


def current(cluster, name):
    machine = cluster.machines[name]
    return machine.runs and machine.node.current(machine.clock(cluster.time))


def leads(cluster, name):
    machine = cluster.machines[name]
    return machine.runs and machine.node.leads(machine.clock(cluster.time))


def put_all(cluster, versions, text=b"%d"):
    """Puts these versions one after the other."""
    for version in versions:
        assert cluster.put(version, text % version) == IN_FORCE


def answers(cluster, orders, within=RECOVERY_TIMEOUT_NS):
    """Sends each (name, version, text) at once, and each again to anybody every 300 ms until it is answered; the answers."""
    results = [None] * len(orders)

    def send(index, name):
        attempt = cluster.order(name, *orders[index][1:])

        def look():
            if attempt.answer in (IN_FORCE, OVERTAKEN):
                results[index] = attempt.answer
            else:
                send(index, cluster.random.choice(list(cluster.machines)))

        cluster.at(300 * MILLISECOND, look)

    for index, order in enumerate(orders):
        send(index, order[0])
    cluster.until(lambda: None not in results, within)
    return results


# One number, one text.


@pytest.mark.parametrize("seed", range(6))
def test_two_operators_send_one_number_with_different_texts_to_two_members_that_do_not_hear_each_other(seed):
    cluster, _, _ = started(seed=seed)
    cluster.partition("a", "b")
    results = answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")])
    assert sorted(results) == [IN_FORCE, OVERTAKEN]
    cluster.calm()
    assert texts(cluster) == {(b"one", b"other")[results.index(IN_FORCE)]}


@pytest.mark.parametrize("seed", range(6))
def test_two_operators_and_two_members_that_have_half_of_the_others_each(seed):
    cluster, _, _ = started(5, seed=seed)
    for one in "ac":
        for other in "bd":
            cluster.partition(one, other)
    cluster.isolate("e")
    early = [cluster.order("a", 7, b"one"), cluster.order("b", 7, b"other")]
    cluster.run(4 * SECOND)
    assert [attempt.answer for attempt in early if attempt.answer == IN_FORCE] == [] and texts(cluster) == {None}
    cluster.heal("e", "a")
    cluster.heal("e", "b")
    results = answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")], within=2 * RECOVERY_TIMEOUT_NS)
    assert sorted(results) == [IN_FORCE, OVERTAKEN]
    cluster.calm()
    assert texts(cluster) == {(b"one", b"other")[results.index(IN_FORCE)]}


@pytest.mark.parametrize("seed", range(4))
def test_the_losing_text_again_after_a_restart_of_all(seed):
    cluster, _, _ = started(seed=seed)
    results = answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")])
    winner, loser = (b"one", b"other") if results[0] == IN_FORCE else (b"other", b"one")
    for name in cluster.machines:
        cluster.kill(name)
    cluster.calm()
    for name in cluster.machines:
        assert cluster.put(7, loser, at=name) == OVERTAKEN
        assert cluster.put(7, winner, at=name) == IN_FORCE
    assert texts(cluster) == {winner}


def test_two_texts_half_written_at_two_members_are_decided_alike_after_all_lost_power():
    """Each of two leaders of following terms has its text on its own disk alone."""
    cluster, leader, others = started()
    cluster.isolate(leader)
    cluster.order(leader, 7, b"one")
    cluster.until(lambda: cluster.leader() is not None and cluster.leader().address != leader)
    second = cluster.leader().address
    cluster.isolate(second)
    cluster.order(second, 7, b"other")
    cluster.run(50 * MILLISECOND)
    disks = [machine.disk.entries for machine in cluster.machines.values()]
    assert sorted(getattr(entries[-1].command, "text", b"") for entries in disks) == [b"", b"one", b"other"]
    for name in cluster.machines:
        cluster.kill(name)
    cluster.calm()
    assert len(texts(cluster)) == 1
    assert sorted(answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")])) == [IN_FORCE, OVERTAKEN]
    cluster.until(cluster.caught_up)
    assert len(texts(cluster)) == 1


def test_the_same_number_and_text_by_three_members_at_once():
    cluster, _, _ = started()
    attempts = [cluster.order(name, 7, b"text") for name in cluster.machines]
    cluster.run(SECOND)
    assert [attempt.answer for attempt in attempts] == [IN_FORCE] * 3


@pytest.mark.parametrize("lost_disk", [False, True])
def test_an_order_whose_answer_was_lost_again_after_200_later_versions(lost_disk):
    cluster, _, others = started()
    cluster.conditions = Conditions(answer_loss=1.0)
    lost = cluster.order("b", 7, b"text")
    cluster.run(SECOND)
    assert lost.result == IN_FORCE and lost.answer is None
    cluster.conditions = Conditions()
    put_all(cluster, range(8, 208))
    if lost_disk:
        cluster.wipe(others[0])
        cluster.start(others[0])
    else:
        for name in cluster.machines:
            cluster.restart(name)
    cluster.until(cluster.caught_up)
    for name in cluster.machines:
        assert cluster.put(7, b"text", at=name) == OVERTAKEN
    assert texts(cluster) == {b"207"}


def test_the_same_order_again_while_the_first_is_in_flight():
    cluster, leader, others = started()
    for name in others:
        cluster.hang(name)
    first = cluster.order(leader, 7, b"text")
    cluster.run(100 * MILLISECOND)
    again = [cluster.order(name, 7, b"text") for name in cluster.machines]
    cluster.run(100 * MILLISECOND)
    assert first.answer is None and {attempt.answer for attempt in again} == {None}
    for name in others:
        cluster.hang(name, False)
    cluster.run(SECOND)
    assert first.answer == IN_FORCE and {attempt.answer for attempt in again} == {IN_FORCE}


@pytest.mark.parametrize("keep", [False, True])
@pytest.mark.parametrize("inward, outward", [(True, True), (True, False), (False, True)])
def test_a_leader_partitioned_for_20_s_with_a_change_meanwhile_and_one_as_it_returns(inward, outward, keep):
    cluster, leader, others = started(seed=2)
    put_all(cluster, [5])
    cluster.isolate(leader, inward=inward, outward=outward, keep=keep)
    partitioned_at = cluster.time
    without_leader = []  # moments at which nobody leads
    while cluster.time < partitioned_at + 3 * LEASE_NS:
        cluster.step()
        if cluster.leader() is None:
            without_leader.append(cluster.time)
    assert without_leader and not leads(cluster, leader) and cluster.leader().address in others
    # An answer may have been on its way as the cut began.
    assert without_leader[0] <= partitioned_at + 1.01 * (LEASE_NS - LEASE_MARGIN_NS) + 10 * MILLISECOND
    there = cluster.order(leader, 9, b"at the leader that is partitioned")
    assert cluster.put(6, b"during", at=others[0]) == IN_FORCE
    cluster.run(20 * SECOND - (cluster.time - partitioned_at))
    assert not leads(cluster, leader) and not current(cluster, leader) and there.result in (None, UNKNOWN)
    cluster.heal()
    returned = cluster.order(leader, 7, b"as it returns")
    read = cluster.read(leader)
    cluster.run(2 * SECOND)
    assert read.read_value in (None, (6, b"during"), (7, b"as it returns"), (9, b"at the leader that is partitioned"))
    assert returned.answer in (None, UNKNOWN, IN_FORCE, OVERTAKEN)
    assert cluster.put(10, b"afterwards", at=leader) == IN_FORCE
    cluster.calm(RECOVERY_TIMEOUT_NS)
    assert texts(cluster) == {b"afterwards"}


@pytest.mark.parametrize("inward, outward", [(True, True), (True, False), (False, True)])
def test_a_follower_that_is_partitioned_is_not_current_and_the_others_go_on(inward, outward):
    cluster, leader, others = started()
    cluster.isolate(others[0], inward=inward, outward=outward)
    cluster.run(20 * SECOND)
    assert cluster.leader().address == leader and not current(cluster, others[0])
    assert current(cluster, others[1]) and cluster.put(5, b"on", at=leader) == IN_FORCE
    cluster.heal()
    cluster.until(lambda: current(cluster, others[0]), 2 * SECOND)
    assert cluster.leader().address == leader and texts(cluster) == {b"on"}


def test_partitions_in_a_ring_leave_somebody_who_leads():
    """Each member hears one of the others, and is heard by the other one: no two hear each other both ways."""
    cluster, _, _ = started()
    cluster.partition("a", "b", both=False)
    cluster.partition("b", "c", both=False)
    cluster.partition("c", "a", both=False)
    cluster.run(20 * SECOND)
    cluster.calm(RECOVERY_TIMEOUT_NS)
    assert cluster.put(5, b"text") == IN_FORCE


def test_a_freeze_of_the_leader_between_majority_and_answer():
    cluster, leader, others = started()
    attempt = cluster.order(leader, 7, b"text")

    def on_two_disks():
        results = [machine for machine in cluster.machines.values() if 7 in versions_on_disk(machine)]
        return len(results) >= 2

    cluster.until(on_two_disks)
    assert attempt.result is None
    cluster.freeze(leader)
    cluster.until(lambda: cluster.leader() is not None and cluster.leader().address != leader)
    assert texts(cluster) >= {b"text"}
    assert cluster.put(7, b"other", at=others[0]) == OVERTAKEN
    assert cluster.put(8, b"next", at=others[0]) == IN_FORCE
    cluster.thaw(leader)
    cluster.run(SECOND)
    assert attempt.answer in (UNKNOWN, OVERTAKEN, IN_FORCE)
    assert cluster.put(7, b"text", at=leader) == OVERTAKEN
    assert texts(cluster) == {b"next"}


def versions_on_disk(machine):
    return [getattr(entry.command, "version", 0) for entry in machine.disk.entries]


def test_all_killed_between_the_second_disk_and_the_answer():
    cluster, leader, others = started()
    put_all(cluster, [5])
    attempt = cluster.order(leader, 7, b"text")
    cluster.until(lambda: sum(7 in versions_on_disk(machine) for machine in cluster.machines.values()) >= 2)
    assert attempt.result is None
    for name in cluster.machines:
        cluster.kill(name)
    cluster.calm()
    assert texts(cluster) == {b"text"}
    assert cluster.put(7, b"other") == OVERTAKEN and cluster.put(7, b"text") == IN_FORCE


@pytest.mark.parametrize("seed", range(8))
def test_eight_orders_in_flight_answered_out_of_order(seed):
    cluster, _, _ = started(seed=seed)
    cluster.conditions = Conditions(delay=(1 * MILLISECOND, 150 * MILLISECOND), loss=0.05, double=0.2, answer_loss=0.2)
    numbers = list(range(10, 18))
    cluster.random.shuffle(numbers)
    orders = [(cluster.random.choice("abc"), version, b"%d" % version) for version in numbers]
    results = answers(cluster, orders, within=2 * RECOVERY_TIMEOUT_NS)
    assert results[numbers.index(17)] == IN_FORCE
    cluster.calm()
    assert texts(cluster) == {b"17"}


@pytest.mark.parametrize("order", list(permutations((5, 7, 9)))[1:3])
def test_an_older_change_again_alters_nothing(order):
    cluster, _, _ = started()
    put_all(cluster, range(1, 10))
    for version in order:
        for name in cluster.machines:
            assert cluster.put(version, b"%d" % version, at=name) == (IN_FORCE if version == 9 else OVERTAKEN)
            assert cluster.put(version, b"another text", at=name) == OVERTAKEN
    cluster.until(cluster.caught_up)
    assert texts(cluster) == {b"9"}


def test_delayed_messages_do_not_make_a_frozen_follower_current():
    cluster, leader, others = started()
    put_all(cluster, [5])
    cluster.run(100 * MILLISECOND)
    cluster.freeze(others[0])
    cluster.run(300 * MILLISECOND)  # heartbeats of that time wait for it
    cluster.isolate(others[0])
    put_all(cluster, [6])
    cluster.run(20 * SECOND)
    cluster.thaw(others[0])
    assert not current(cluster, others[0])
    cluster.heal()
    cluster.until(lambda: current(cluster, others[0]), 2 * SECOND)
    assert texts(cluster) == {b"6"}


@pytest.mark.parametrize("tick_first", [False, True])
@pytest.mark.parametrize("seed", range(2))
def test_leader_frozen_before_its_first_commit_is_not_elected_by_stale_replies(seed, tick_first):
    cluster, leader, others = started(seed=seed)
    put_all(cluster, [5])
    cluster.kill(leader)
    cluster.until(lambda: any(machine.node.role == Role.LEADER for machine in cluster.running()))
    frozen = next(machine.address for machine in cluster.running() if machine.node.role == Role.LEADER)
    assert not leads(cluster, frozen)
    cluster.freeze(frozen)  # the answers to its first entry and heartbeat wait for it
    cluster.run(500 * MILLISECOND)
    cluster.start(leader)
    cluster.until(lambda: cluster.leader() is not None, 2 * RECOVERY_TIMEOUT_NS)
    put_all(cluster, [6])
    elections = cluster.machines[frozen].elections
    cluster.thaw(frozen, tick_first=tick_first)
    cluster.run(5 * SECOND)
    assert cluster.machines[frozen].elections == elections and texts(cluster) == {b"6"}


# After hundreds of changes.


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_restart_after_500_changes_with_nothing_missed(role):
    cluster, leader, others = started()
    put_all(cluster, range(1, 501))
    name = leader if role == "leader" else others[0]
    disk = cluster.machines[name].disk
    assert len(disk.entries) <= 200 and disk.snapshot is not None
    cluster.restart(name)
    cluster.until(lambda: current(cluster, name), RECOVERY_TIMEOUT_NS)
    cluster.until(cluster.caught_up, RECOVERY_TIMEOUT_NS)
    assert texts(cluster) == {b"500"}


@pytest.mark.parametrize("lost_disk", [False, True])
def test_a_restart_after_500_changes_with_all_missed(lost_disk):
    cluster, leader, others = started()
    cluster.kill(others[0])
    put_all(cluster, range(1, 501))
    if lost_disk:
        cluster.wipe(others[0])
    cluster.start(others[0])
    cluster.until(lambda: current(cluster, others[0]), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[others[0]].replica.text == b"500"


def behind_by_a_large_snapshot(seed=1, first=1):
    """A cluster whose member `away` lacks a snapshot of five chunks, and is off."""
    cluster, leader, others = started(seed=seed)
    away = others[0]
    cluster.kill(away)
    for machine in cluster.machines.values():
        machine.compact_after = 8
    put_all(cluster, range(first, first + 100))
    cluster.put(1000, LARGE_TEXT)
    append_records(cluster, 70)
    return cluster, cluster.leader().address, away


def append_records(cluster, count):
    """That many entries that alter nothing, so that the log is compacted."""
    leader = cluster.elect()
    for _ in range(count):
        index = leader.replica.index
        cluster.propose(leader, b"%d" % index)
        cluster.until(lambda index=index: leader.replica.index > index)


def chunks_received(cluster, name, count):
    """Whether the member has that many bytes of a snapshot that it still receives."""
    incoming = cluster.machines[name].node.incoming_snapshot
    return incoming is not None and len(incoming.data) >= count * CHUNK_BYTES


@pytest.mark.parametrize("fault", ["reset", "partition", "frozen"])
@pytest.mark.parametrize("chunk", range(1, CHUNKS))
def test_a_snapshot_interrupted_at_each_chunk_goes_on_where_it_broke_off(chunk, fault):
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.start(away)
    cluster.until(lambda: chunks_received(cluster, away, chunk))
    assert cluster.machines[away].replica.text != LARGE_TEXT
    if fault == "reset":
        cluster.reset(leader, away)
    elif fault == "partition":
        cluster.partition(leader, away)
        cluster.run(5 * SECOND)
        cluster.heal()
    else:
        cluster.freeze(away)
        cluster.run(5 * SECOND)
        cluster.thaw(away)
    before = cluster.chunks_sent
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == LARGE_TEXT
    assert cluster.chunks_sent - before <= CHUNKS - chunk + 3


def test_a_member_that_returns_is_sent_the_newest_snapshot_and_no_older_one():
    cluster, leader, away = behind_by_a_large_snapshot()
    before = cluster.chunks_sent
    cluster.start(away)
    results = []

    def restored():
        version = cluster.machines[away].replica.version
        if version and version not in results:
            results.append(version)
        return current(cluster, away)

    cluster.until(restored, RECOVERY_TIMEOUT_NS)
    assert results == [1000] and cluster.chunks_sent - before <= CHUNKS + 1


def test_a_snapshot_over_a_slow_link_leaves_room_for_heartbeats():
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.conditions = Conditions(bytes_per_s=250_000)
    before, elections = cluster.chunks_sent, cluster.machines[leader].elections
    cluster.start(away)
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == LARGE_TEXT
    assert cluster.chunks_sent - before <= 2 * CHUNKS
    assert cluster.leader().address == leader and cluster.machines[leader].elections == elections


def test_large_entries_over_a_slow_link_are_not_sent_again_and_again():
    cluster, leader, others = started()
    cluster.conditions = Conditions(bytes_per_s=250_000)
    before = cluster.bytes_sent
    for version in range(1, 9):
        cluster.order(leader, version, LARGE_TEXT[: 100 << 10] + b"%d" % version)
    cluster.until(lambda: cluster.caught_up() and cluster.leader().replica.version == 8, 3 * RECOVERY_TIMEOUT_NS)
    assert cluster.bytes_sent - before <= 3 * 8 * len(LARGE_TEXT[: 100 << 10])
    cluster.run(5 * SECOND)
    assert cluster.leader().address == leader and cluster.machines[leader].elections == 1


@pytest.mark.parametrize("chunk", range(1, CHUNKS + 1))
def test_receiver_killed_at_any_chunk_restarts_and_never_has_a_partial_snapshot(chunk):
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.start(away)
    cluster.until(lambda: chunks_received(cluster, away, chunk) or cluster.machines[away].replica.text == LARGE_TEXT)
    cluster.kill(away)
    cluster.start(away)
    assert cluster.machines[away].replica.version < 1000 or cluster.machines[away].replica.text == LARGE_TEXT
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == LARGE_TEXT


@pytest.mark.parametrize("chunk", range(1, CHUNKS))
def test_a_newer_snapshot_while_one_is_in_flight(chunk):
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.start(away)
    cluster.until(lambda: chunks_received(cluster, away, chunk))
    cluster.partition(leader, away)
    assert cluster.put(2000, LARGE_TEXT + b"newer", at=leader) == IN_FORCE
    append_records(cluster, 200)
    cluster.heal()
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == LARGE_TEXT + b"newer"


@pytest.mark.parametrize("chunk", range(1, CHUNKS))
def test_the_source_dies_in_the_middle(chunk):
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.start(away)
    cluster.until(lambda: chunks_received(cluster, away, chunk))
    cluster.kill(leader)
    cluster.until(lambda: cluster.leader() is not None, RECOVERY_TIMEOUT_NS)
    assert cluster.leader().address != leader and cluster.leader().replica.text == LARGE_TEXT
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == LARGE_TEXT


@pytest.mark.parametrize("lost_disk", [False, True])
def test_changes_every_100_ms_during_the_catch_up(lost_disk):
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.conditions = Conditions(delay=(100 * MILLISECOND, 200 * MILLISECOND))
    if lost_disk:
        cluster.wipe(away)
    cluster.start(away)
    for version in range(2000, 2150):
        cluster.order(leader, version, LARGE_TEXT + b"%d" % version)
        cluster.run(100 * MILLISECOND)
    assert current(cluster, away) and cluster.machines[away].replica.version > 2100


def test_a_disk_that_takes_nothing_during_a_snapshot():
    cluster, leader, away = behind_by_a_large_snapshot()
    cluster.start(away)
    cluster.until(lambda: chunks_received(cluster, away, 2))
    cluster.hang(away)
    cluster.run(10 * SECOND)
    assert cluster.put(2000, b"on", at=leader) == IN_FORCE
    assert not current(cluster, away)
    cluster.kill(away)
    cluster.hang(away, False)
    cluster.start(away)
    assert cluster.machines[away].replica.version < 1000
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == b"on"


@pytest.mark.parametrize("seed", range(6))
def test_power_of_all_lost_during_compaction(seed):
    cluster, leader, others = started(seed=seed)
    put_all(cluster, range(1, 64))

    def compacting():
        return any(write.snapshot is not None for machine in cluster.running() for write in machine.writes)

    for version in range(64, 200):
        cluster.order(leader, version, b"%d" % version)
        cluster.run(MILLISECOND)
        if compacting():
            break
    assert compacting()
    for name in cluster.machines:
        cluster.kill(name)
    acknowledged = cluster.invariants.newest_acknowledged
    cluster.calm()
    assert acknowledged >= 63 and cluster.leader().replica.version >= acknowledged
    assert cluster.put(1000, b"on") == IN_FORCE


def test_a_member_that_was_off_for_the_whole_time_returns_as_the_others_die():
    cluster, leader, others = started()
    away, stays = others
    cluster.kill(away)
    put_all(cluster, range(1, 301))
    cluster.kill(leader)
    cluster.kill(stays)
    cluster.start(away)
    attempt = cluster.order(away, 400, b"to the old one")
    for _ in range(2000):
        cluster.run(10 * MILLISECOND)
        assert not leads(cluster, away) and not current(cluster, away)
    assert attempt.answer in (None, UNKNOWN)
    cluster.start(stays)
    cluster.until(cluster.leader, RECOVERY_TIMEOUT_NS)
    assert cluster.leader().address == stays
    cluster.until(cluster.caught_up, RECOVERY_TIMEOUT_NS)
    assert texts(cluster) == {b"300"}


def test_a_leader_elected_in_the_middle_of_a_catch_up_is_not_the_one_that_is_behind():
    cluster, leader, away = behind_by_a_large_snapshot()
    stays = next(name for name in cluster.machines if name not in (leader, away))
    cluster.start(away)
    cluster.until(lambda: chunks_received(cluster, away, 2))
    cluster.restart(leader, after=5 * SECOND)
    while not leads(cluster, stays):
        assert not leads(cluster, away)
        cluster.step()
    cluster.until(lambda: current(cluster, away), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[away].replica.text == LARGE_TEXT and cluster.put(2000, b"on") == IN_FORCE
