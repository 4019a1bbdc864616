"""Control members through losses: kills, empty disks, cuts, frozen members and late calls. `simulation` checks after each
step that no key is held twice, that nothing acknowledged is lost and that a number has one text."""

import re
from pathlib import Path
from random import Random

import msgspec
import pytest
from control.simulation import HEARTBEAT_INTERVAL_NS, NAMES, PROBES, Holding, Simulation
from storage.memory import MemoryLog

import kestrelplank
from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import Snapshot
from kestrelplank.control.shard_record import read_record
from kestrelplank.sharding.effects import GrantKeyRange
from kestrelplank.sharding.key_range import KEY_COUNT
from kestrelplank.sharding.timing import LEASE_DURATION_NS
from kestrelplank.state.control_state import ControlState
from kestrelplank.time_units import SECOND


def test_a_first_start_gives_out_all_keys():
    Simulation(1).begin()


def test_when_the_leader_is_killed_every_key_keeps_its_server():
    system = Simulation(2)
    system.begin()
    lost = system.assigner()
    system.kill(lost)
    system.run_for(6)
    assert system.assigner() not in (None, lost) and system.unowned_probes == 0
    system.start(lost)
    system.run_for(3)
    assert system.all_held()


def test_when_all_are_killed_and_come_back_every_key_keeps_its_server():
    system = Simulation(3)
    system.begin()
    for name in NAMES:
        system.kill(name)
    system.run_for(1.5)
    for name in NAMES:
        system.start(name)
    system.run_for(6)
    assert system.assigner() and system.unowned_probes == 0


def test_keys_of_a_server_that_is_gone_wait_for_its_hold_and_no_longer():
    system = Simulation(4)
    system.begin()
    system.servers["i-1"].up = False
    del system.state["i-1"]
    system.run_for(0.6)
    assert not system.all_held()
    system.run_for(LEASE_DURATION_NS / SECOND + 1.5)
    assert system.all_held()


def test_keys_of_a_draining_server_go_over_at_once():
    system = Simulation(5)
    system.begin()
    system.state["i-1"] = "draining"
    system.run_for(2.5)  # an answer may be lost on the way
    assert system.all_held() and not any(until > system.now for until in system.servers["i-1"].until.values())


def test_a_server_behind_a_cut_keeps_its_keys_until_they_have_run_out():
    system = Simulation(6)
    system.begin()
    system.cut = {frozenset((name, "i-1")) for name in NAMES}
    system.state["i-1"] = "draining"
    system.run_for(LEASE_DURATION_NS / SECOND + 2)
    system.cut = set()
    system.run_for(2)
    assert system.all_held()


def test_a_leader_frozen_beyond_its_lease_does_no_harm():
    system = Simulation(7)
    system.begin()
    lost = system.assigner()
    system.frozen[lost] = system.now + 8 * SECOND
    system.state["i-1"] = "draining"
    system.run_for(12)
    assert system.assigner() != lost and system.all_held()


def test_a_grant_that_a_frozen_leader_had_in_hand_is_not_sent_when_its_lease_has_run_out():
    system = Simulation(7)
    system.begin()
    lost = system.assigner()

    def in_hand():
        calls = [given[2] for _, _, what, given in system.events if what == system.call_server and given[0] == lost]
        return any(isinstance(call.request, GrantKeyRange) and call.request.server == "i-1" for call in calls)

    while not in_hand():
        system.step()
    system.cut = {frozenset((name, "i-1")) for name in NAMES if name != lost}
    system.frozen[lost] = system.now + 10 * SECOND
    system.state["i-1"] = "draining"
    system.run_for(9)
    assert system.all_held()  # by others, as its hold has run out
    system.run_for(3)
    assert not any(until > system.now for until in system.servers["i-1"].until.values())


def test_of_two_sides_of_a_cut_only_the_majority_acknowledges():
    system = Simulation(8)
    system.begin()
    lost = system.assigner()
    others = [name for name in NAMES if name != lost]
    system.cut = {frozenset((lost, other)) for other in others}
    system.run_for(1)
    system.put(lost, 9)
    system.run_for(1.5)
    system.put(system.assigner(), 5)
    system.run_for(3.5)
    assert system.is_acknowledged(5) and not system.is_acknowledged(9) and system.assigner() in others
    system.cut = set()
    system.run_for(3)
    assert system.versions() == {5} and system.all_held()


def test_all_power_lost_right_after_a_move_leaves_the_key_with_one_server():
    system = Simulation(11)
    system.begin()
    system.state["i-1"] = "draining"
    while not system.moving():
        system.step()
    for _ in range(3):  # the move is under way, at another step each time
        for name in NAMES:
            system.kill(name)
        system.run_for(0.5)
        for name in NAMES:
            system.start(name)
        system.run_for(0.93)
    system.run_for(4)
    assert system.all_held() and not any(until > system.now for until in system.servers["i-1"].until.values())


def test_servers_that_appear_one_by_one_at_a_first_start_all_get_keys():
    system = Simulation(12, servers=0)
    system.run_for(0.5)
    system.put(NAMES[0], 1)
    for number in range(6):
        system.servers[f"i-{number}"], system.state[f"i-{number}"] = Holding(), "ready"
        system.run_for(0.7)
    system.run_for(4)
    held = [sum(until > system.now for until in holding.until.values()) for holding in system.servers.values()]
    assert system.all_held() and min(held) >= len(PROBES) / 6 / 2


def test_another_server_at_an_address_ends_the_lease_of_the_former_one_at_once():
    system = Simulation(13)
    system.begin()
    del system.state["i-1"]
    system.servers["i-1"].up = False
    system.servers["n-1"], system.state["n-1"] = Holding(), "ready"
    system.addresses["n-1"] = "i-1:80"
    system.run_for(1.5)  # far below a hold
    assert system.all_held()


def test_no_core_and_no_program_of_the_gateway_heeds_the_time_of_day():
    """It steps; only the steady clock counts."""
    folder = Path(kestrelplank.__file__).parent
    rooms = (
        "consensus",
        "sharding",
        "configuration",
        "forwarding",
        "transport",
        "storage",
        "http",
        "edge",
        "control",
    )
    sources = [path for room in rooms for path in (folder / room).glob("*.py")]
    assert len(sources) > 20
    assert not [path for path in sources if re.search(r"\btime\.time(_ns)?\(|datetime", path.read_text())]


def test_a_member_that_lost_its_disk_is_no_voter_until_the_others_make_it_one():
    system = Simulation(9)
    system.begin()
    one, two, three = NAMES
    system.kill(three)
    system.run_for(3)
    newest = system.put(two, 5)
    system.run_for(0.5)
    assert newest.acknowledged
    for name in (one, two):
        system.kill(name, wipe=name == one)
    for name in (one, three):  # `two` alone has 5 now
        system.start(name)
    system.run_for(4)
    assert system.leader() is None and not any(member.node.current(system.now) for member in system.members.values())
    assert not system.members[one].node.is_voter
    system.start(two)
    system.run_for(6)
    assert system.members[one].node.is_voter and system.versions() == {5} and system.all_current()


def test_lines_are_cut_where_the_heat_is_and_joined_where_it_was_and_an_edge_follows_by_what_changed():
    system, most = Simulation(10), 0
    system.begin()
    began = len(system.owned_ranges())
    for hot in (5_000, 30_000, 60_000):
        system.hot = hot
        system.run_for(15)
        lines = system.owned_ranges()
        most = max(most, len(lines))
        assert len([line for line in lines if hot <= line[1] and line[0] < hot + 300]) >= 4
        assert [line[0] for line in lines] == [0, *(line[1] + 1 for line in lines[:-1])] and lines[-1][
            1
        ] == KEY_COUNT - 1
    cool = [line for line in system.owned_ranges() if line[1] < 31_000]
    assert most > began and len(cool) < len(system.owned_ranges()) / 2 and most <= 6 * len(system.servers)
    for key in PROBES:
        held = system.edge.key_ranges["views"].holder_of(key)
        assert held is None or system.servers[held.server].until[key] > system.now


def test_an_edge_machine_that_missed_a_release_is_told_with_its_next_heartbeat():
    system = Simulation(6)
    system.begin()
    leader = system.assigner()
    system.cut = {frozenset((name, "i-1")) for name in NAMES}  # the release hangs: its keys leave for a whole hold
    ranges = [line for line in system.owned_ranges() if line[2] == "i-1"]
    system.run_for(0.39 - system.now % HEARTBEAT_INTERVAL_NS / SECOND)
    system.edge_loses_pushes = True
    system.state["i-1"] = "draining"
    while not system.moving():
        system.step()
    before = [system.edge.key_ranges["views"].holder_of(first) for first, _, _ in ranges]
    assert all(holder is not None and holder.server == "i-1" for holder in before)
    system.run_for(HEARTBEAT_INTERVAL_NS / SECOND)
    assert system.moving() and system.assigner() == leader
    assert not any(system.edge.key_ranges["views"].holder_of(first) for first, _, _ in ranges)
    system.edge_loses_pushes = False
    system.run_for(LEASE_DURATION_NS / SECOND + 2)  # and it follows what changes afterwards
    assert all(system.edge.key_ranges["views"].holder_of(first) for first, _, _ in ranges)


@pytest.mark.parametrize("seed", range(12))
def test_whatever_happens_no_key_is_held_twice_and_nothing_acknowledged_is_lost(seed):
    """Kills, empty disks within what is borne, cuts, freezes, servers that go, drain and come, for a minute."""
    system, chance = Simulation(seed), Random(seed)
    system.begin()
    system.hot, system.refuses = seed * 5_000, 0.1 * (seed % 3)
    version, back, fresh = 1, {}, 0
    for second in range(60):
        kind = chance.randrange(9)
        sound = len(system.members) == 3 and system.all_are_voters()
        if kind == 0 and sound and not system.frozen:
            name = chance.choice(NAMES)
            system.kill(name, wipe=chance.random() < 0.5)
            back[name] = second + chance.randrange(1, 6)
        elif kind == 1 and sound:
            for name in NAMES:
                system.kill(name)
                back[name] = second + 1
        elif kind == 2 and not system.cut:
            lone = chance.choice(NAMES)
            system.cut = {frozenset((lone, other)) for other in NAMES if other != lone}
            system.cut |= {frozenset((lone, server)) for server in chance.sample(sorted(system.servers), 2)}
        elif kind == 3:
            system.cut = set()
        elif kind == 4 and len(system.members) == 3:
            system.frozen[chance.choice(NAMES)] = system.now + chance.randrange(1, 7) * SECOND
        elif kind == 5:
            ready = [server for server, state in system.state.items() if state == "ready"]
            if len(ready) > 2:
                system.state[chance.choice(ready)] = "draining"
        elif kind == 6:
            ready = [server for server, state in system.state.items() if state == "ready"]
            if len(ready) > 2:
                lost = chance.choice(ready)
                system.servers[lost].up = False
                del system.state[lost]
        elif kind == 7:
            fresh += 1
            system.servers[f"n-{fresh}"], system.state[f"n-{fresh}"] = Holding(), "ready"
        elif system.members:
            version += 1
            system.put(chance.choice(sorted(system.members)), version)
        system.run_for(1)
        for name in [name for name, at in back.items() if at <= second]:
            del back[name]
            system.start(name)
    system.cut, system.frozen, system.refuses = set(), {}, 0.0
    for name in back:
        system.start(name)
    system.run_for(LEASE_DURATION_NS / SECOND + 8)
    assert len(system.versions()) == 1 and min(system.versions()) >= system.acknowledged
    assert system.all_are_voters() and system.all_current()
    assert system.all_held() and system.edge.configuration.key.version >= system.acknowledged


@pytest.mark.parametrize("lines_alone", [True, False])
def test_a_record_laid_down_by_a_former_version_is_read_and_its_lines_kept(lines_alone):
    """Before there was a log a record was its lines and what was learnt of servers; before that, lines alone."""
    system = Simulation(4)
    system.begin()
    before = system.owned_ranges()
    for name in NAMES:
        member = system.members[name]
        record = read_record(member.state.records["views"])
        former = record.ranges if lines_alone else [record.ranges, record.learned_speeds]
        state = ControlState()
        state.restore(member.state.snapshot())
        state._records["views"] = msgspec.msgpack.encode(former)
        snapshot = Snapshot(member.node.applied_index, member.node.term, member.committed_membership, state.snapshot())
        hard_state = member.node.hard_state
        system.kill(name)
        system.disks[name] = MemoryLog()
        system.disks[name].store_incarnation("first")
        system.disks[name].write([Persist(1, hard_state, snapshot)])
    for name in NAMES:
        system.start(name)
    system.run_for(6)
    assert system.assigner() and system.all_held() and system.unowned_probes == 0
    assert [line[2] for line in system.owned_ranges()] == [line[2] for line in before]
