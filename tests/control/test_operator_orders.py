"""Operators' orders and reads: which configuration prevails, and which members may answer.

`simulation` checks after each step that an acknowledged configuration is never lost and that a version has one text.
"""

from itertools import combinations

import pytest
from control.simulation import EDGE, NAMES, Simulation

from kestrelplank.consensus.log_entries import PutConfiguration
from kestrelplank.consensus.member_messages import (
    CallId,
    OrderResult,
    ReadConfiguration,
    ReadResult,
    SubmitOrder,
)
from kestrelplank.consensus.timing import CONTACT_TIMEOUT_NS, LEASE_NS
from kestrelplank.control.pending_calls import CALL_TIMEOUT_NS, MAX_PENDING_CALLS
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.messages import EdgeHeartbeat

OTHER_SERVICES = {"service_table": [{"name": "views", "sharded": True}, {"name": "orders"}, {"name": "more"}]}
IMMEDIATELY = 0


def running_system(seed=1):
    system = Simulation(seed)
    system.start_up()
    return system


def duration(call):
    """Duration of a call (ns)."""
    return call.answered_at - call.sent_at


def isolate(system, name):
    """Partition a member from the other members, but not from edge machines and operators."""
    system.partitions |= {frozenset((name, other)) for other in NAMES if other != name}


def confirms_configuration(system, name):
    """Whether that member tells edge machines that it is current, so that its configuration is the one in force."""
    (heartbeat, *_) = system.members[name].handle_edge_heartbeat(system.now, EdgeHeartbeat("edge-9", None, {}, None), 1)
    return heartbeat.is_current


def in_force(system):
    """The texts in force at the running members."""
    return {member.state.configuration.text for member in system.members.values()}


def test_a_read_before_the_first_order_returns_no_configuration():
    system = Simulation(1)
    system.run_for(1)
    reads = [system.read_configuration(name) for name in NAMES]
    system.run_for(0.2)
    assert all(read.known and read.text is None for read in reads)


@pytest.mark.parametrize("receiver", ["leader", "follower"])
def test_an_order_to_any_member_is_acknowledged_and_read_back_from_all_members(receiver):
    system = running_system()
    name = system.leader() if receiver == "leader" else system.followers()[0]
    order = system.submit_order(name, 5)
    system.run_for(0.3)
    reads = [system.read_configuration(name) for name in NAMES]
    system.run_for(0.1)
    assert order.acknowledged and all(read.text == order.text for read in reads)


def test_an_order_is_in_force_once_it_is_on_two_disks():
    system = running_system()
    leader, (second, _) = system.leader(), system.followers()
    system.stalled = {leader, second}
    order = system.submit_order(leader, 5)
    system.run_for(0.5)
    assert order.acknowledged is None and system.versions_in_force() == {1}
    system.stalled = {leader}
    system.run_for(0.25)
    assert order.acknowledged and system.versions_in_force() == {5}


def test_a_leader_whose_own_disk_hangs_acknowledges_orders():
    system = running_system()
    system.stalled = {system.leader()}
    order = system.submit_order(system.leader(), 5)
    system.run_for(0.3)
    assert order.acknowledged


def test_a_member_with_an_empty_disk_rejects_calls_and_confirms_no_configuration():
    system = running_system()
    name = system.followers()[0]
    system.kill(name, wipe=True)
    isolate(system, name)
    system.start(name)
    system.run_for(3)
    order, read = system.submit_order(name, 5), system.read_configuration(name)
    assert order.acknowledged is False and read.known is False and not confirms_configuration(system, name)
    assert (
        system.members[name]
        .handle_edge_heartbeat(system.now, EdgeHeartbeat("edge-9", None, {}, None), 1)[0]
        .configuration_version
        is None
    )


def test_no_tolerated_loss_loses_an_acknowledged_order():
    """All members lose power while some disks hang, one disk is lost, and then one machine."""
    for wiped in NAMES:
        for stalled in (set(), *({name} for name in NAMES), *map(set, combinations(NAMES, 2))):
            system = running_system()
            system.stalled = stalled
            system.submit_order(NAMES[1], 9)
            system.run_for(0.5)
            acknowledged = system.newest_acknowledged
            for name in NAMES:
                system.kill(name, wipe=name == wiped)
            system.stalled = set()
            for name in NAMES:
                system.start(name)
            system.run_for(9)
            assert system.all_are_voters() and min(system.versions_in_force()) >= acknowledged, (wiped, stalled)
            system.kill(system.leader())
            system.run_for(4)
            read = system.read_configuration(system.leader())
            assert read.known and read.text and min(system.versions_in_force()) >= acknowledged


def test_of_two_orders_with_the_same_version_at_two_members_one_prevails():
    for seed in range(8):
        system = running_system(seed)
        name, other = NAMES[seed % 3], NAMES[(seed + 1) % 3]
        first, second = system.submit_order(name, 5), system.submit_order(other, 5, **OTHER_SERVICES)
        system.run_for(1)
        # The losing order is acknowledged too, as its version is not above the one in force.
        assert first.acknowledged and second.acknowledged
        assert sorted((first.in_force, second.in_force)) == [False, True]  # only one is reported as in force
        assert len(in_force(system)) == 1 and in_force(system) <= {first.text, second.text}


def test_of_two_orders_on_both_sides_of_a_partition_the_majority_side_prevails():
    system = running_system()
    isolated = system.leader()
    isolate(system, isolated)
    system.step()
    first = system.submit_order(isolated, 5)
    system.run_for(3)
    second = system.submit_order(next(name for name in NAMES if name != isolated), 5, **OTHER_SERVICES)
    system.run_for(1)
    assert not first.acknowledged and second.acknowledged
    system.partitions = set()
    system.run_for(3)
    repeated = system.submit_order(isolated, 5)
    system.run_for(0.3)
    assert repeated.acknowledged and in_force(system) == {second.text}


def test_a_losing_order_sent_again_after_a_restart_of_all_members_changes_nothing():
    system = running_system()
    first, second = system.submit_order(NAMES[0], 5), system.submit_order(NAMES[1], 5, **OTHER_SERVICES)
    system.run_for(1)
    winner = in_force(system)
    loser = OTHER_SERVICES if winner == {first.text} else {}
    for name in NAMES:
        system.kill(name)
    for name in NAMES:
        system.start(name)
    system.run_for(4)
    repeated = [system.submit_order(name, 5, **loser) for name in NAMES]
    system.run_for(0.5)
    assert all(order.acknowledged for order in repeated) and in_force(system) == winner
    assert second.text != first.text


def test_the_same_order_at_three_members_at_once_is_one_log_entry():
    system = running_system()
    before = system.members[system.leader()].node.log.last_index
    orders = [system.submit_order(name, 5) for name in NAMES]
    system.run_for(0.5)
    assert all(order.acknowledged for order in orders)
    log = system.members[system.leader()].node.log
    versions = [getattr(log.entry(index).command, "version", None) for index in range(before + 1, log.last_index + 1)]
    assert versions.count(5) == 1


def test_an_order_sent_again_after_200_later_versions_is_acknowledged_by_every_member():
    system = running_system()
    first = system.submit_order(system.followers()[0], 2)
    system.run_for(0.3)
    for version in range(3, 203):
        order = system.submit_order(NAMES[version % 3], version)
        system.run_for(0.15)
        assert order.acknowledged
    newest = in_force(system)
    system.kill(NAMES[0])
    system.start(NAMES[0])  # it only knows the versions on its disk
    system.run_for(3)
    repeated = [system.submit_order(name, 2) for name in NAMES]
    system.run_for(0.3)
    assert first.text == repeated[0].text and all(order.acknowledged for order in repeated)
    assert in_force(system) == newest


def test_an_order_that_is_in_force_or_superseded_is_acknowledged_without_a_new_log_entry():
    system = running_system()
    system.submit_order(system.leader(), 7)
    system.run_for(0.5)
    before = system.members[system.leader()].node.log.last_index
    repeated = [system.submit_order(name, version) for name in NAMES for version in (1, 7)]
    system.run_for(0.05)
    log = system.members[system.leader()].node.log
    new_commands = [log.entry(index).command for index in range(before + 1, log.last_index + 1)]
    assert all(order.acknowledged for order in repeated)
    assert not any(isinstance(command, PutConfiguration) for command in new_commands)


def test_a_member_that_does_not_lead_answers_forwarded_calls_as_unknown():
    system = running_system()
    follower = system.members[system.followers()[0]]
    call = CallId("10.0.0.9:80/first", 1, 1)
    order = PutConfiguration(9, "digest", b"{}")
    answers = [
        effect.message
        for message in (ReadConfiguration(call), SubmitOrder(call, order))
        for effect in follower.handle_message(system.now, "10.0.0.9:80/first", message)
    ]
    assert answers == [ReadResult(call, False, None), OrderResult(call, False)]


def test_an_older_version_is_acknowledged_and_changes_nothing():
    system = running_system()
    system.submit_order(NAMES[0], 7)
    system.run_for(0.5)
    older = system.submit_order(NAMES[1], 6, **OTHER_SERVICES)
    system.run_for(0.5)
    assert older.acknowledged and system.versions_in_force() == {7}


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_member_partitioned_for_20_s_rejects_calls_at_once_and_reports_that_it_is_not_current(role):
    system = running_system()
    isolated = system.leader() if role == "leader" else system.followers()[0]
    isolate(system, isolated)
    system.run_for(1.5)
    assert not confirms_configuration(system, isolated)
    system.run_for(2.5)
    order_elsewhere = system.submit_order(next(name for name in NAMES if name != isolated), 5)
    for _ in range(16):
        order, read = system.submit_order(isolated, 9), system.read_configuration(isolated)
        assert (order.acknowledged, duration(order)) == (False, IMMEDIATELY)
        assert (read.known, duration(read)) == (False, IMMEDIATELY)
        assert not confirms_configuration(system, isolated)
        system.run_for(1)
    assert order_elsewhere.acknowledged and not system.is_acknowledged(9)
    system.partitions = set()
    returned = system.submit_order(isolated, 12)  # before any message arrives
    assert returned.acknowledged is False
    system.run_for(2)
    repeated, read = system.submit_order(isolated, 12), system.read_configuration(isolated)
    system.run_for(0.5)
    assert (
        repeated.acknowledged
        and read.known
        and confirms_configuration(system, isolated)
        and system.versions_in_force() == {12}
    )


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_partitioned_member_rejects_pending_and_new_calls_within_half_a_second(role):
    """Rejects before its lease or current state expires, as the operator's time-out is one second."""
    for seed in range(4):
        system = running_system(seed)
        isolated = system.leader() if role == "leader" else system.followers()[0]
        isolate(system, isolated)
        waiting = [system.submit_order(isolated, 9), system.read_configuration(isolated)]
        system.run_for(0.56)
        assert system.members[isolated].node.current(system.now)
        assert waiting[0].acknowledged is False
        assert all(duration(call) <= CONTACT_TIMEOUT_NS + 50 * MILLISECOND for call in waiting)
        order, read = system.submit_order(isolated, 9), system.read_configuration(isolated)
        system.run_for(0.06)
        assert order.acknowledged is False and duration(order) <= 50 * MILLISECOND
        if role == "follower":
            assert (read.known, duration(read)) == (False, IMMEDIATELY)


def test_a_leader_that_receives_no_messages_is_replaced_when_its_lease_ends():
    """Guards against its heartbeats delaying the election of a successor beyond its lease."""
    for seed in range(6):
        system = running_system(seed)
        isolated = system.leader()
        others = [name for name in NAMES if name != isolated]
        system.one_way_partitions = {(other, isolated) for other in others}
        system.run_for((LEASE_NS + 300 * MILLISECOND) / SECOND)
        assert system.leader() in others
        order = system.submit_order(system.leader(), 5)
        system.run_for(0.3)
        assert order.acknowledged


def test_a_member_partitioned_right_after_an_order_never_returns_an_older_configuration():
    for seed in range(6):
        system = running_system(seed)
        isolated = system.followers()[seed % 2]
        order = system.submit_order(system.leader(), 5)
        system.run_for(0.01 * seed)
        isolate(system, isolated)
        system.run_for(1)
        if order.acknowledged:
            read = system.read_configuration(isolated)
            system.run_for(1)
            assert not read.known or read.text == order.text


@pytest.mark.parametrize("direction", ["nothing in", "nothing out"])
@pytest.mark.parametrize("role", ["leader", "follower"])
def test_orders_are_acknowledged_during_a_one_way_partition_of_a_member(role, direction):
    system = running_system()
    isolated = system.leader() if role == "leader" else system.followers()[0]
    others = [name for name in NAMES if name != isolated]
    system.one_way_partitions = {
        (other, isolated) if direction == "nothing in" else (isolated, other) for other in others
    }
    system.run_for(5)
    order, rejected = system.submit_order(others[0], 5), system.submit_order(isolated, 9)
    system.run_for(2)
    assert order.acknowledged and not rejected.acknowledged and system.leader() in others
    if direction == "nothing in":
        assert not confirms_configuration(system, isolated)
    system.one_way_partitions = set()
    system.run_for(3)
    assert system.all_current() and system.versions_in_force() in ({5}, {9})


def test_a_leader_frozen_between_majority_and_answer_loses_no_order():
    system = running_system()
    leader = system.leader()
    followers = system.followers()
    order = system.submit_order(leader, 5)
    while not any(system.members[name].node.log.last_term and has_durable_order(system, name, 5) for name in followers):
        system.step()
    system.frozen[leader] = system.now + 6 * SECOND
    system.run_for(4)
    read = system.read_configuration(followers[0])
    system.run_for(0.5)
    assert read.known and read.text == order.text  # a majority has it, although it was not acknowledged
    system.run_for(5)
    assert system.versions_in_force() == {5} and system.all_current()


def has_durable_order(system, name, version):
    """Whether an order of that version is durable in the member's log."""
    node = system.members[name].node
    log = node.log
    indices = [index for index in range(log.base_index + 1, log.last_index + 1)]
    return any(
        getattr(log.entry(index).command, "version", None) == version and node.durable_index >= index
        for index in indices
    )


def test_an_order_on_two_disks_survives_a_kill_of_all_members_before_its_answer():
    for seed in range(4):
        system = running_system(seed)
        leader, followers = system.leader(), system.followers()
        order = system.submit_order(leader, 5)
        system.run_for(0.01)
        system.one_way_partitions = {(name, leader) for name in followers}  # their replies do not reach the leader
        while sum(has_durable_order(system, name, 5) for name in NAMES) < 2:
            system.step()
        assert order.acknowledged is None
        for name in NAMES:
            system.kill(name)
        system.one_way_partitions = set()
        for name in NAMES:
            system.start(name)
        system.run_for(4)
        assert system.versions_in_force() == {5}


def test_eight_concurrent_orders_are_all_acknowledged_and_the_highest_version_prevails():
    for seed in range(6):
        system = running_system(seed)
        versions = [9, 4, 7, 2, 8, 3, 6, 5]
        orders = [system.submit_order(NAMES[(seed + number) % 3], version) for number, version in enumerate(versions)]
        system.run_for(1)
        assert all(order.acknowledged for order in orders) and system.versions_in_force() == {9}


def test_orders_beyond_the_limit_are_rejected_at_once_and_the_others_within_a_second():
    system = running_system()
    leader = system.leader()
    isolate(system, leader)
    orders = [system.submit_order(leader, 100 + number) for number in range(MAX_PENDING_CALLS + 3)]
    assert [order.acknowledged for order in orders] == [None] * MAX_PENDING_CALLS + [False] * 3
    system.run_for(1)
    assert all(
        order.acknowledged is False and duration(order) <= CALL_TIMEOUT_NS + 50 * MILLISECOND for order in orders
    )


def test_an_order_that_a_deposed_leader_did_not_commit_is_rejected_and_may_be_sent_again():
    system = running_system()
    isolated = system.leader()
    isolate(system, isolated)
    system.run_for(1)
    order = system.submit_order(isolated, 5)
    system.run_for(0.7)
    assert order.acknowledged is False
    system.run_for(2)
    repeated = system.submit_order(system.leader(), 5)
    system.run_for(0.3)
    system.partitions = set()
    system.run_for(3)
    assert repeated.acknowledged and system.versions_in_force() == {5}


def test_a_reply_to_a_call_made_before_a_restart_answers_no_later_call():
    system = running_system()
    isolated = system.followers()[0]
    system.one_way_partitions = {(system.leader(), isolated)}  # replies are dropped
    before = system.submit_order(isolated, 5)
    system.run_for(0.02)
    system.kill(isolated)
    system.one_way_partitions = set()
    system.start(isolated)
    system.run_for(2)
    after = system.submit_order(isolated, 6)
    system.run_for(0.5)
    assert before.acknowledged is None and after.acknowledged


def test_an_edge_machine_partitioned_from_the_leader_receives_updates_from_other_members():
    system = running_system()
    system.partitions = {frozenset((system.leader(), EDGE))}
    order = system.submit_order(system.leader(), 5)
    system.run_for(1)
    assert order.acknowledged and system.edge.configuration.key.version == 5 and system.edge.ready()
