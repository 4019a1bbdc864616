"""Operators' orders and reads: one number, one text, and who may answer. `simulation` checks after each step that an
acknowledged configuration is never gone, and that a number has one text, whoever is asked or told."""

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

OTHER = {"service_table": [{"name": "views", "sharded": True}, {"name": "orders"}, {"name": "more"}]}
AT_ONCE = 0


def running_system(seed=1):
    system = Simulation(seed)
    system.begin()
    return system


def took(call):
    """ns that a call took."""
    return call.answered_at - call.sent_at


def cut_off(system, name):
    """Cuts a member off from the others, not from its edge machines and operators."""
    system.cut |= {frozenset((name, other)) for other in NAMES if other != name}


def vouches(system, name):
    """Whether that member tells edge machines that it is current."""
    (beat, *_) = system.members[name].handle_edge_heartbeat(system.now, EdgeHeartbeat("edge-9", None, {}, None), 1)
    return beat.is_current


def in_force(system):
    """The texts in force at all members that run."""
    return {member.state.configuration.text for member in system.members.values()}


def test_before_the_first_order_a_read_says_that_there_is_none():
    system = Simulation(1)
    system.run_for(1)
    found = [system.show(name) for name in NAMES]
    system.run_for(0.2)
    assert all(one.known and one.text is None for one in found)


@pytest.mark.parametrize("asked", ["leader", "follower"])
def test_an_order_is_acknowledged_and_read_back_by_whoever_is_asked(asked):
    system = running_system()
    name = system.leader() if asked == "leader" else system.followers()[0]
    order = system.put(name, 5)
    system.run_for(0.3)
    found = [system.show(name) for name in NAMES]
    system.run_for(0.1)
    assert order.acknowledged and all(one.text == order.text for one in found)


def test_a_change_is_in_force_once_two_disks_have_it():
    system = running_system()
    leader, (second, _) = system.leader(), system.followers()
    system.stalled = {leader, second}
    order = system.put(leader, 5)
    system.run_for(0.5)
    assert order.acknowledged is None and system.versions() == {1}
    system.stalled = {leader}
    system.run_for(0.25)
    assert order.acknowledged and system.versions() == {5}


def test_a_leader_whose_own_disk_hangs_still_acknowledges():
    system = running_system()
    system.stalled = {system.leader()}
    order = system.put(system.leader(), 5)
    system.run_for(0.3)
    assert order.acknowledged


def test_a_member_with_an_empty_disk_answers_nothing_and_vouches_for_nothing():
    system = running_system()
    name = system.followers()[0]
    system.kill(name, wipe=True)
    cut_off(system, name)
    system.start(name)
    system.run_for(3)
    order, found = system.put(name, 5), system.show(name)
    assert order.acknowledged is False and found.known is False and not vouches(system, name)
    assert (
        system.members[name]
        .handle_edge_heartbeat(system.now, EdgeHeartbeat("edge-9", None, {}, None), 1)[0]
        .configuration_version
        is None
    )


def test_no_loss_that_is_borne_loses_an_acknowledged_change():
    """Power of all is lost while some disks hang, one disk is lost besides, and one machine after that."""
    for wiped in NAMES:
        for stalled in (set(), *({name} for name in NAMES), *map(set, combinations(NAMES, 2))):
            system = running_system()
            system.stalled = stalled
            system.put(NAMES[1], 9)
            system.run_for(0.5)
            acknowledged = system.acknowledged
            for name in NAMES:
                system.kill(name, wipe=name == wiped)
            system.stalled = set()
            for name in NAMES:
                system.start(name)
            system.run_for(9)
            assert system.all_are_voters() and min(system.versions()) >= acknowledged, (wiped, stalled)
            system.kill(system.leader())
            system.run_for(4)
            found = system.show(system.leader())
            assert found.known and found.text and min(system.versions()) >= acknowledged


def test_of_two_operators_with_one_number_at_two_members_one_prevails():
    for seed in range(8):
        system = running_system(seed)
        one, other = NAMES[seed % 3], NAMES[(seed + 1) % 3]
        first, second = system.put(one, 5), system.put(other, 5, **OTHER)
        system.run_for(1)
        assert first.acknowledged and second.acknowledged  # the later one as a version not above the one in force
        assert sorted((first.in_force, second.in_force)) == [False, True]  # and told that it is not
        assert len(in_force(system)) == 1 and in_force(system) <= {first.text, second.text}


def test_of_two_operators_that_each_reach_one_side_of_a_cut_one_prevails():
    system = running_system()
    lone = system.leader()
    cut_off(system, lone)
    system.step()
    first = system.put(lone, 5)
    system.run_for(3)
    second = system.put(next(name for name in NAMES if name != lone), 5, **OTHER)
    system.run_for(1)
    assert not first.acknowledged and second.acknowledged
    system.cut = set()
    system.run_for(3)
    again = system.put(lone, 5)
    system.run_for(0.3)
    assert again.acknowledged and in_force(system) == {second.text}


def test_the_losing_text_sent_again_after_a_restart_of_all_changes_nothing():
    system = running_system()
    first, second = system.put(NAMES[0], 5), system.put(NAMES[1], 5, **OTHER)
    system.run_for(1)
    prevails = in_force(system)
    loser = OTHER if prevails == {first.text} else {}
    for name in NAMES:
        system.kill(name)
    for name in NAMES:
        system.start(name)
    system.run_for(4)
    again = [system.put(name, 5, **loser) for name in NAMES]
    system.run_for(0.5)
    assert all(one.acknowledged for one in again) and in_force(system) == prevails
    assert second.text != first.text


def test_the_same_number_and_text_at_three_members_at_once_is_one_entry_of_the_log():
    system = running_system()
    before = system.members[system.leader()].node.log.last_index
    orders = [system.put(name, 5) for name in NAMES]
    system.run_for(0.5)
    assert all(order.acknowledged for order in orders)
    log = system.members[system.leader()].node.log
    versions = [getattr(log.entry(index).command, "version", None) for index in range(before + 1, log.last_index + 1)]
    assert versions.count(5) == 1


def test_an_order_whose_answer_was_lost_is_acknowledged_again_after_200_later_versions_by_whoever_is_asked():
    system = running_system()
    first = system.put(system.followers()[0], 2)
    system.run_for(0.3)
    for version in range(3, 203):
        order = system.put(NAMES[version % 3], version)
        system.run_for(0.15)
        assert order.acknowledged
    newest = in_force(system)
    system.kill(NAMES[0])
    system.start(NAMES[0])  # it knows of its numbers only what its disk has
    system.run_for(3)
    again = [system.put(name, 2) for name in NAMES]
    system.run_for(0.3)
    assert first.text == again[0].text and all(one.acknowledged for one in again)
    assert in_force(system) == newest


def test_an_order_that_is_in_force_or_overtaken_is_acknowledged_without_a_new_entry():
    system = running_system()
    system.put(system.leader(), 7)
    system.run_for(0.5)
    before = system.members[system.leader()].node.log.last_index
    again = [system.put(name, version) for name in NAMES for version in (1, 7)]
    system.run_for(0.05)
    log = system.members[system.leader()].node.log
    late = [log.entry(index).command for index in range(before + 1, log.last_index + 1)]
    assert all(one.acknowledged for one in again)
    assert not any(isinstance(command, PutConfiguration) for command in late)


def test_a_member_that_does_not_lead_answers_a_forwarded_call_with_not_known():
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


def test_an_older_change_again_is_acknowledged_and_alters_nothing():
    system = running_system()
    system.put(NAMES[0], 7)
    system.run_for(0.5)
    older = system.put(NAMES[1], 6, **OTHER)
    system.run_for(0.5)
    assert older.acknowledged and system.versions() == {7}


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_member_cut_off_for_20_s_refuses_at_once_and_tells_edge_machines_that_it_is_not_current(role):
    system = running_system()
    lone = system.leader() if role == "leader" else system.followers()[0]
    cut_off(system, lone)
    system.run_for(1.5)
    assert not vouches(system, lone)
    system.run_for(2.5)
    during = system.put(next(name for name in NAMES if name != lone), 5)
    for _ in range(16):
        order, found = system.put(lone, 9), system.show(lone)
        assert (order.acknowledged, took(order)) == (False, AT_ONCE)
        assert (found.known, took(found)) == (False, AT_ONCE)
        assert not vouches(system, lone)
        system.run_for(1)
    assert during.acknowledged and not system.is_acknowledged(9)
    system.cut = set()
    returned = system.put(lone, 12)  # at the very moment
    assert returned.acknowledged is False
    system.run_for(2)
    again, found = system.put(lone, 12), system.show(lone)
    system.run_for(0.5)
    assert again.acknowledged and found.known and vouches(system, lone) and system.versions() == {12}


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_member_cut_off_refuses_what_waits_and_what_comes_half_a_second_later(role):
    """Not only once its lease, or what made it current, has run out: the operator goes elsewhere after a second."""
    for seed in range(4):
        system = running_system(seed)
        lone = system.leader() if role == "leader" else system.followers()[0]
        cut_off(system, lone)
        waiting = [system.put(lone, 9), system.show(lone)]
        system.run_for(0.56)
        assert system.members[lone].node.current(system.now)
        assert waiting[0].acknowledged is False
        assert all(took(call) <= CONTACT_TIMEOUT_NS + 50 * MILLISECOND for call in waiting)
        order, found = system.put(lone, 9), system.show(lone)
        system.run_for(0.06)
        assert order.acknowledged is False and took(order) <= 50 * MILLISECOND
        if role == "follower":
            assert (found.known, took(found)) == (False, AT_ONCE)


def test_a_leader_that_hears_nobody_is_replaced_as_its_lease_ends():
    """Its heartbeats go on renewing the promises of the others until then: they waited for twice as long."""
    for seed in range(6):
        system = running_system(seed)
        lone = system.leader()
        others = [name for name in NAMES if name != lone]
        system.one_way = {(other, lone) for other in others}
        system.run_for((LEASE_NS + 300 * MILLISECOND) / SECOND)
        assert system.leader() in others
        order = system.put(system.leader(), 5)
        system.run_for(0.3)
        assert order.acknowledged


def test_a_member_that_a_change_reaches_right_before_it_is_cut_off_never_shows_an_older_one_afterwards():
    for seed in range(6):
        system = running_system(seed)
        lone = system.followers()[seed % 2]
        order = system.put(system.leader(), 5)
        system.run_for(0.01 * seed)
        cut_off(system, lone)
        system.run_for(1)
        if order.acknowledged:
            found = system.show(lone)
            system.run_for(1)
            assert not found.known or found.text == order.text


@pytest.mark.parametrize("way", ["nothing in", "nothing out"])
@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_member_cut_one_way_does_no_harm(role, way):
    system = running_system()
    lone = system.leader() if role == "leader" else system.followers()[0]
    others = [name for name in NAMES if name != lone]
    system.one_way = {(other, lone) if way == "nothing in" else (lone, other) for other in others}
    system.run_for(5)
    order, refused = system.put(others[0], 5), system.put(lone, 9)
    system.run_for(2)
    assert order.acknowledged and not refused.acknowledged and system.leader() in others
    if way == "nothing in":
        assert not vouches(system, lone)
    system.one_way = set()
    system.run_for(3)
    assert system.all_current() and system.versions() in ({5}, {9})


def test_a_leader_frozen_between_majority_and_answer_loses_nothing():
    system = running_system()
    leader = system.leader()
    followers = system.followers()
    order = system.put(leader, 5)
    while not any(system.members[name].node.log.last_term and self_has(system, name, 5) for name in followers):
        system.step()
    system.frozen[leader] = system.now + 6 * SECOND
    system.run_for(4)
    found = system.show(followers[0])
    system.run_for(0.5)
    assert found.known and found.text == order.text  # a majority had it, though nobody was told so
    system.run_for(5)
    assert system.versions() == {5} and system.all_current()


def self_has(system, name, version):
    """Whether an order of that version is in the member's log, and durable there."""
    node = system.members[name].node
    log = node.log
    found = [index for index in range(log.base_index + 1, log.last_index + 1)]
    return any(
        getattr(log.entry(index).command, "version", None) == version and node.durable_index >= index for index in found
    )


def test_all_killed_between_the_second_disk_and_the_answer_keep_the_order():
    for seed in range(4):
        system = running_system(seed)
        leader, followers = system.leader(), system.followers()
        order = system.put(leader, 5)
        system.run_for(0.01)
        system.one_way = {(name, leader) for name in followers}  # what they have on disk is not heard of
        while sum(self_has(system, name, 5) for name in NAMES) < 2:
            system.step()
        assert order.acknowledged is None
        for name in NAMES:
            system.kill(name)
        system.one_way = set()
        for name in NAMES:
            system.start(name)
        system.run_for(4)
        assert system.versions() == {5}


def test_eight_orders_under_way_are_each_answered_and_the_highest_prevails():
    for seed in range(6):
        system = running_system(seed)
        versions = [9, 4, 7, 2, 8, 3, 6, 5]
        orders = [system.put(NAMES[(seed + place) % 3], version) for place, version in enumerate(versions)]
        system.run_for(1)
        assert all(order.acknowledged for order in orders) and system.versions() == {9}


def test_orders_beyond_what_is_held_are_refused_at_once_and_the_others_answered_within_a_second():
    system = running_system()
    leader = system.leader()
    cut_off(system, leader)
    orders = [system.put(leader, 100 + number) for number in range(MAX_PENDING_CALLS + 3)]
    assert [order.acknowledged for order in orders] == [None] * MAX_PENDING_CALLS + [False] * 3
    system.run_for(1)
    assert all(order.acknowledged is False and took(order) <= CALL_TIMEOUT_NS + 50 * MILLISECOND for order in orders)


def test_an_order_that_its_leader_could_not_commit_is_answered_when_it_leads_no_longer_and_may_be_sent_again():
    system = running_system()
    lone = system.leader()
    cut_off(system, lone)
    system.run_for(1)
    order = system.put(lone, 5)
    system.run_for(0.7)
    assert order.acknowledged is False
    system.run_for(2)
    again = system.put(system.leader(), 5)
    system.run_for(0.3)
    system.cut = set()
    system.run_for(3)
    assert again.acknowledged and system.versions() == {5}


def test_an_answer_to_a_call_before_a_restart_answers_nothing_after_it():
    system = running_system()
    lone = system.followers()[0]
    system.one_way = {(system.leader(), lone)}  # answers are held up
    before = system.put(lone, 5)
    system.run_for(0.02)
    system.kill(lone)
    system.one_way = set()
    system.start(lone)
    system.run_for(2)
    after = system.put(lone, 6)
    system.run_for(0.5)
    assert before.acknowledged is None and after.acknowledged


def test_a_cut_off_edge_machine_is_told_again_by_whoever_it_reaches():
    system = running_system()
    system.cut = {frozenset((system.leader(), EDGE))}
    order = system.put(system.leader(), 5)
    system.run_for(1)
    assert order.acknowledged and system.edge.configuration.key.version == 5 and system.edge.ready()
