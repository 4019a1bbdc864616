"""Single fault scenarios on a simulated cluster: one text for each version under partitions, freezes, kills and lost
answers, and catch-up after hundreds of changes. `Cluster` checks all invariants after every step."""

from itertools import permutations

import pytest

from consensus.simulated_cluster import IN_FORCE, SUPERSEDED, UNKNOWN, Cluster, Conditions
from kestrelplank.consensus.roles import Role
from kestrelplank.consensus.snapshots import CHUNK_BYTES
from kestrelplank.consensus.timing import LEASE_MARGIN_NS, LEASE_NS
from kestrelplank.time_units import MILLISECOND, SECOND

RECOVERY_TIMEOUT_NS = 10 * SECOND  # within which a cluster without faults has a leader and all members are current
LARGE_TEXT = b"x" * (4 * CHUNK_BYTES + 17)  # a configuration whose snapshot has five chunks
CHUNKS = 5


def started_cluster(count=3, seed=1, **settings):
    """A cluster with a leader, and the addresses of the leader and of the others."""
    cluster = Cluster(count, seed, **settings)
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
    """Submit these versions one after the other."""
    for version in versions:
        assert cluster.put(version, text % version) == IN_FORCE


def answers(cluster, orders, within=RECOVERY_TIMEOUT_NS):
    """Send each (name, version, text) at once, retry each at a random member every 300 ms, and return the answers."""
    results = [None] * len(orders)

    def send(index, name):
        attempt = cluster.order(name, *orders[index][1:])

        def check_answer():
            if attempt.answer in (IN_FORCE, SUPERSEDED):
                results[index] = attempt.answer
            else:
                send(index, cluster.random.choice(list(cluster.machines)))

        cluster.schedule(300 * MILLISECOND, check_answer)

    for index, order in enumerate(orders):
        send(index, order[0])
    cluster.until(lambda: None not in results, within)
    return results


# One text for each version.


@pytest.mark.parametrize("seed", range(6))
def test_of_two_texts_for_one_version_sent_to_partitioned_members_one_comes_into_force(seed):
    cluster, _, _ = started_cluster(seed=seed)
    cluster.partition("a", "b")
    results = answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")])
    assert sorted(results) == [IN_FORCE, SUPERSEDED]
    cluster.recover()
    assert texts(cluster) == {(b"one", b"other")[results.index(IN_FORCE)]}


@pytest.mark.parametrize("seed", range(6))
def test_no_order_is_acknowledged_while_no_partition_has_a_majority(seed):
    cluster, _, _ = started_cluster(5, seed=seed)
    for first in "ac":
        for second in "bd":
            cluster.partition(first, second)
    cluster.isolate("e")
    early = [cluster.order("a", 7, b"one"), cluster.order("b", 7, b"other")]
    cluster.run(4 * SECOND)
    assert [attempt.answer for attempt in early if attempt.answer == IN_FORCE] == [] and texts(cluster) == {None}
    cluster.heal("e", "a")
    cluster.heal("e", "b")
    results = answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")], within=2 * RECOVERY_TIMEOUT_NS)
    assert sorted(results) == [IN_FORCE, SUPERSEDED]
    cluster.recover()
    assert texts(cluster) == {(b"one", b"other")[results.index(IN_FORCE)]}


@pytest.mark.parametrize("seed", range(4))
def test_superseded_text_stays_superseded_after_a_restart_of_all(seed):
    cluster, _, _ = started_cluster(seed=seed)
    results = answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")])
    winner, loser = (b"one", b"other") if results[0] == IN_FORCE else (b"other", b"one")
    for name in cluster.machines:
        cluster.kill(name)
    cluster.recover()
    for name in cluster.machines:
        assert cluster.put(7, loser, at=name) == SUPERSEDED
        assert cluster.put(7, winner, at=name) == IN_FORCE
    assert texts(cluster) == {winner}


def test_two_texts_on_one_disk_each_end_in_one_text_after_power_loss():
    """The leaders of two successive terms have their texts only on their own disks."""
    cluster, leader, others = started_cluster()
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
    cluster.recover()
    assert len(texts(cluster)) == 1
    assert sorted(answers(cluster, [("a", 7, b"one"), ("b", 7, b"other")])) == [IN_FORCE, SUPERSEDED]
    cluster.until(cluster.caught_up)
    assert len(texts(cluster)) == 1


def test_same_order_sent_to_three_members_at_once_is_in_force_for_each():
    cluster, _, _ = started_cluster()
    attempts = [cluster.order(name, 7, b"text") for name in cluster.machines]
    cluster.run(SECOND)
    assert [attempt.answer for attempt in attempts] == [IN_FORCE] * 3


@pytest.mark.parametrize("lost_disk", [False, True])
def test_order_retried_after_200_later_versions_is_superseded(lost_disk):
    cluster, _, others = started_cluster()
    cluster.conditions = Conditions(answer_loss=1.0)
    attempt = cluster.order("b", 7, b"text")
    cluster.run(SECOND)
    assert attempt.result == IN_FORCE and attempt.answer is None
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
        assert cluster.put(7, b"text", at=name) == SUPERSEDED
    assert texts(cluster) == {b"207"}


def test_order_retried_while_in_flight_is_answered_like_the_first():
    cluster, leader, others = started_cluster()
    for name in others:
        cluster.hang(name)
    first = cluster.order(leader, 7, b"text")
    cluster.run(100 * MILLISECOND)
    retries = [cluster.order(name, 7, b"text") for name in cluster.machines]
    cluster.run(100 * MILLISECOND)
    assert first.answer is None and {attempt.answer for attempt in retries} == {None}
    for name in others:
        cluster.hang(name, False)
    cluster.run(SECOND)
    assert first.answer == IN_FORCE and {attempt.answer for attempt in retries} == {IN_FORCE}


@pytest.mark.parametrize("keep", [False, True])
@pytest.mark.parametrize("inward, outward", [(True, True), (True, False), (False, True)])
def test_leader_partitioned_for_20_s_steps_down_and_adopts_later_changes(inward, outward, keep):
    cluster, leader, others = started_cluster(seed=2)
    put_all(cluster, [5])
    cluster.isolate(leader, inward=inward, outward=outward, keep=keep)
    partitioned_at = cluster.time
    without_leader = []  # times without a leader
    while cluster.time < partitioned_at + 3 * LEASE_NS:
        cluster.step()
        if cluster.leader() is None:
            without_leader.append(cluster.time)
    assert without_leader and not leads(cluster, leader) and cluster.leader().address in others
    # A reply may have been in flight when the partition began.
    assert without_leader[0] <= partitioned_at + 1.01 * (LEASE_NS - LEASE_MARGIN_NS) + 10 * MILLISECOND
    isolated_order = cluster.order(leader, 9, b"at the leader that is partitioned")
    assert cluster.put(6, b"during", at=others[0]) == IN_FORCE
    cluster.run(20 * SECOND - (cluster.time - partitioned_at))
    assert not leads(cluster, leader) and not current(cluster, leader) and isolated_order.result in (None, UNKNOWN)
    cluster.heal()
    returned_order = cluster.order(leader, 7, b"as it returns")
    read = cluster.read(leader)
    cluster.run(2 * SECOND)
    assert read.read_value in (None, (6, b"during"), (7, b"as it returns"), (9, b"at the leader that is partitioned"))
    assert returned_order.answer in (None, UNKNOWN, IN_FORCE, SUPERSEDED)
    assert cluster.put(10, b"afterwards", at=leader) == IN_FORCE
    cluster.recover(RECOVERY_TIMEOUT_NS)
    assert texts(cluster) == {b"afterwards"}


@pytest.mark.parametrize("inward, outward", [(True, True), (True, False), (False, True)])
def test_partitioned_follower_is_not_current_and_the_leader_keeps_leading(inward, outward):
    cluster, leader, others = started_cluster()
    cluster.isolate(others[0], inward=inward, outward=outward)
    cluster.run(20 * SECOND)
    assert cluster.leader().address == leader and not current(cluster, others[0])
    assert current(cluster, others[1]) and cluster.put(5, b"on", at=leader) == IN_FORCE
    cluster.heal()
    cluster.until(lambda: current(cluster, others[0]), 2 * SECOND)
    assert cluster.leader().address == leader and texts(cluster) == {b"on"}


def test_orders_are_acknowledged_after_one_way_partitions_in_a_ring():
    """Each member receives messages from one of the others only, so no two members reach each other in both directions."""
    cluster, _, _ = started_cluster()
    cluster.partition("a", "b", both=False)
    cluster.partition("b", "c", both=False)
    cluster.partition("c", "a", both=False)
    cluster.run(20 * SECOND)
    cluster.recover(RECOVERY_TIMEOUT_NS)
    assert cluster.put(5, b"text") == IN_FORCE


def test_order_on_a_majority_of_disks_survives_a_freeze_of_the_leader():
    cluster, leader, others = started_cluster()
    attempt = cluster.order(leader, 7, b"text")

    def on_two_disks():
        machines = [machine for machine in cluster.machines.values() if 7 in versions_on_disk(machine)]
        return len(machines) >= 2

    cluster.until(on_two_disks)
    assert attempt.result is None
    cluster.freeze(leader)
    cluster.until(lambda: cluster.leader() is not None and cluster.leader().address != leader)
    assert texts(cluster) >= {b"text"}
    assert cluster.put(7, b"other", at=others[0]) == SUPERSEDED
    assert cluster.put(8, b"next", at=others[0]) == IN_FORCE
    cluster.thaw(leader)
    cluster.run(SECOND)
    assert attempt.answer in (UNKNOWN, SUPERSEDED, IN_FORCE)
    assert cluster.put(7, b"text", at=leader) == SUPERSEDED
    assert texts(cluster) == {b"next"}


def versions_on_disk(machine):
    return [getattr(entry.command, "version", 0) for entry in machine.disk.entries]


def test_order_on_a_majority_of_disks_survives_a_kill_of_all():
    cluster, leader, others = started_cluster()
    put_all(cluster, [5])
    attempt = cluster.order(leader, 7, b"text")
    cluster.until(lambda: sum(7 in versions_on_disk(machine) for machine in cluster.machines.values()) >= 2)
    assert attempt.result is None
    for name in cluster.machines:
        cluster.kill(name)
    cluster.recover()
    assert texts(cluster) == {b"text"}
    assert cluster.put(7, b"other") == SUPERSEDED and cluster.put(7, b"text") == IN_FORCE


@pytest.mark.parametrize("seed", range(8))
def test_newest_of_eight_concurrent_orders_comes_into_force(seed):
    cluster, _, _ = started_cluster(seed=seed)
    cluster.conditions = Conditions(
        delay=(1 * MILLISECOND, 150 * MILLISECOND), loss=0.05, duplication=0.2, answer_loss=0.2
    )
    versions = list(range(10, 18))
    cluster.random.shuffle(versions)
    orders = [(cluster.random.choice("abc"), version, b"%d" % version) for version in versions]
    results = answers(cluster, orders, within=2 * RECOVERY_TIMEOUT_NS)
    assert results[versions.index(17)] == IN_FORCE
    cluster.recover()
    assert texts(cluster) == {b"17"}


@pytest.mark.parametrize("order", list(permutations((5, 7, 9)))[1:3])
def test_older_version_sent_again_changes_nothing(order):
    cluster, _, _ = started_cluster()
    put_all(cluster, range(1, 10))
    for version in order:
        for name in cluster.machines:
            assert cluster.put(version, b"%d" % version, at=name) == (IN_FORCE if version == 9 else SUPERSEDED)
            assert cluster.put(version, b"another text", at=name) == SUPERSEDED
    cluster.until(cluster.caught_up)
    assert texts(cluster) == {b"9"}


def test_delayed_messages_do_not_make_a_frozen_follower_current():
    cluster, leader, others = started_cluster()
    put_all(cluster, [5])
    cluster.run(100 * MILLISECOND)
    cluster.freeze(others[0])
    cluster.run(300 * MILLISECOND)  # heartbeats queue up
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
    cluster, leader, others = started_cluster(seed=seed)
    put_all(cluster, [5])
    cluster.kill(leader)
    cluster.until(lambda: any(machine.node.role == Role.LEADER for machine in cluster.running()))
    frozen = next(machine.address for machine in cluster.running() if machine.node.role == Role.LEADER)
    assert not leads(cluster, frozen)
    cluster.freeze(frozen)  # the replies to its first entry and heartbeat queue up
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
def test_restarted_member_is_current_after_500_changes(role):
    cluster, leader, others = started_cluster()
    put_all(cluster, range(1, 501))
    name = leader if role == "leader" else others[0]
    disk = cluster.machines[name].disk
    assert len(disk.entries) <= 200 and disk.snapshot is not None
    cluster.restart(name)
    cluster.until(lambda: current(cluster, name), RECOVERY_TIMEOUT_NS)
    cluster.until(cluster.caught_up, RECOVERY_TIMEOUT_NS)
    assert texts(cluster) == {b"500"}


@pytest.mark.parametrize("lost_disk", [False, True])
def test_member_that_missed_500_changes_catches_up(lost_disk):
    cluster, leader, others = started_cluster()
    cluster.kill(others[0])
    put_all(cluster, range(1, 501))
    if lost_disk:
        cluster.wipe(others[0])
    cluster.start(others[0])
    cluster.until(lambda: current(cluster, others[0]), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[others[0]].replica.text == b"500"


def behind_by_a_large_snapshot(seed=1, first=1):
    """A cluster, its leader, and the stopped member `lagging`, which lacks a snapshot of five chunks."""
    cluster, leader, others = started_cluster(seed=seed)
    lagging = others[0]
    cluster.kill(lagging)
    for machine in cluster.machines.values():
        machine.compact_after = 8
    put_all(cluster, range(first, first + 100))
    cluster.put(1000, LARGE_TEXT)
    append_records(cluster, 70)
    return cluster, cluster.leader().address, lagging


def append_records(cluster, count):
    """Append `count` entries that do not change the configuration, so that the log is compacted."""
    leader = cluster.elect()
    for _ in range(count):
        index = leader.replica.index
        cluster.propose(leader, b"%d" % index)
        cluster.until(lambda index=index: leader.replica.index > index)


def chunks_received(cluster, name, count):
    """Whether the member is receiving a snapshot and has `count` chunks of it."""
    incoming = cluster.machines[name].node.incoming_snapshot
    return incoming is not None and len(incoming.data) >= count * CHUNK_BYTES


@pytest.mark.parametrize("fault", ["reset", "partition", "frozen"])
@pytest.mark.parametrize("chunk", range(1, CHUNKS))
def test_interrupted_snapshot_transfer_resumes_where_it_stopped(chunk, fault):
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.start(lagging)
    cluster.until(lambda: chunks_received(cluster, lagging, chunk))
    assert cluster.machines[lagging].replica.text != LARGE_TEXT
    if fault == "reset":
        cluster.reset(leader, lagging)
    elif fault == "partition":
        cluster.partition(leader, lagging)
        cluster.run(5 * SECOND)
        cluster.heal()
    else:
        cluster.freeze(lagging)
        cluster.run(5 * SECOND)
        cluster.thaw(lagging)
    before = cluster.chunks_sent
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == LARGE_TEXT
    assert cluster.chunks_sent - before <= CHUNKS - chunk + 3


def test_returning_member_is_sent_only_the_newest_snapshot():
    cluster, leader, lagging = behind_by_a_large_snapshot()
    before = cluster.chunks_sent
    cluster.start(lagging)
    restored_versions = []

    def restored():
        version = cluster.machines[lagging].replica.version
        if version and version not in restored_versions:
            restored_versions.append(version)
        return current(cluster, lagging)

    cluster.until(restored, RECOVERY_TIMEOUT_NS)
    assert restored_versions == [1000] and cluster.chunks_sent - before <= CHUNKS + 1


def test_snapshot_over_a_slow_link_does_not_cause_an_election():
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.conditions = Conditions(bytes_per_s=250_000)
    before, elections = cluster.chunks_sent, cluster.machines[leader].elections
    cluster.start(lagging)
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == LARGE_TEXT
    assert cluster.chunks_sent - before <= 2 * CHUNKS
    assert cluster.leader().address == leader and cluster.machines[leader].elections == elections


def test_large_entries_over_a_slow_link_are_not_resent_excessively():
    cluster, leader, others = started_cluster()
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
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.start(lagging)
    cluster.until(
        lambda: chunks_received(cluster, lagging, chunk) or cluster.machines[lagging].replica.text == LARGE_TEXT
    )
    cluster.kill(lagging)
    cluster.start(lagging)
    assert cluster.machines[lagging].replica.version < 1000 or cluster.machines[lagging].replica.text == LARGE_TEXT
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == LARGE_TEXT


@pytest.mark.parametrize("chunk", range(1, CHUNKS))
def test_newer_snapshot_replaces_one_in_transfer(chunk):
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.start(lagging)
    cluster.until(lambda: chunks_received(cluster, lagging, chunk))
    cluster.partition(leader, lagging)
    assert cluster.put(2000, LARGE_TEXT + b"newer", at=leader) == IN_FORCE
    append_records(cluster, 200)
    cluster.heal()
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == LARGE_TEXT + b"newer"


@pytest.mark.parametrize("chunk", range(1, CHUNKS))
def test_snapshot_transfer_completes_after_the_sender_is_killed(chunk):
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.start(lagging)
    cluster.until(lambda: chunks_received(cluster, lagging, chunk))
    cluster.kill(leader)
    cluster.until(lambda: cluster.leader() is not None, RECOVERY_TIMEOUT_NS)
    assert cluster.leader().address != leader and cluster.leader().replica.text == LARGE_TEXT
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == LARGE_TEXT


@pytest.mark.parametrize("lost_disk", [False, True])
def test_member_catches_up_during_changes_every_100_ms(lost_disk):
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.conditions = Conditions(delay=(100 * MILLISECOND, 200 * MILLISECOND))
    if lost_disk:
        cluster.wipe(lagging)
    cluster.start(lagging)
    for version in range(2000, 2150):
        cluster.order(leader, version, LARGE_TEXT + b"%d" % version)
        cluster.run(100 * MILLISECOND)
    assert current(cluster, lagging) and cluster.machines[lagging].replica.version > 2100


def test_member_whose_disk_hangs_during_a_snapshot_catches_up_after_a_restart():
    cluster, leader, lagging = behind_by_a_large_snapshot()
    cluster.start(lagging)
    cluster.until(lambda: chunks_received(cluster, lagging, 2))
    cluster.hang(lagging)
    cluster.run(10 * SECOND)
    assert cluster.put(2000, b"on", at=leader) == IN_FORCE
    assert not current(cluster, lagging)
    cluster.kill(lagging)
    cluster.hang(lagging, False)
    cluster.start(lagging)
    assert cluster.machines[lagging].replica.version < 1000
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == b"on"


@pytest.mark.parametrize("seed", range(6))
def test_power_loss_of_all_during_compaction_loses_no_acknowledged_order(seed):
    cluster, leader, others = started_cluster(seed=seed)
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
    cluster.recover()
    assert acknowledged >= 63 and cluster.leader().replica.version >= acknowledged
    assert cluster.put(1000, b"on") == IN_FORCE


def test_outdated_member_that_runs_alone_neither_leads_nor_is_current():
    cluster, leader, others = started_cluster()
    lagging, up_to_date = others
    cluster.kill(lagging)
    put_all(cluster, range(1, 301))
    cluster.kill(leader)
    cluster.kill(up_to_date)
    cluster.start(lagging)
    attempt = cluster.order(lagging, 400, b"to the old one")
    for _ in range(2000):
        cluster.run(10 * MILLISECOND)
        assert not leads(cluster, lagging) and not current(cluster, lagging)
    assert attempt.answer in (None, UNKNOWN)
    cluster.start(up_to_date)
    cluster.until(cluster.leader, RECOVERY_TIMEOUT_NS)
    assert cluster.leader().address == up_to_date
    cluster.until(cluster.caught_up, RECOVERY_TIMEOUT_NS)
    assert texts(cluster) == {b"300"}


def test_member_that_is_catching_up_is_not_elected():
    cluster, leader, lagging = behind_by_a_large_snapshot()
    up_to_date = next(name for name in cluster.machines if name not in (leader, lagging))
    cluster.start(lagging)
    cluster.until(lambda: chunks_received(cluster, lagging, 2))
    cluster.restart(leader, after=5 * SECOND)
    while not leads(cluster, up_to_date):
        assert not leads(cluster, lagging)
        cluster.step()
    cluster.until(lambda: current(cluster, lagging), RECOVERY_TIMEOUT_NS)
    assert cluster.machines[lagging].replica.text == LARGE_TEXT and cluster.put(2000, b"on") == IN_FORCE
