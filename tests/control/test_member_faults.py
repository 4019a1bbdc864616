"""Control members under faults: kills, empty disks, partitions, frozen members and late calls.

`simulation` checks after each step that no key has two owners, that no acknowledged order is lost and that a version
has one text.
"""

import re
from pathlib import Path
from random import Random

import msgspec
import pytest
from control.simulation import HEARTBEAT_INTERVAL_NS, NAMES, SAMPLED_KEYS, SimulatedServer, Simulation
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


def test_after_the_first_start_all_keys_are_assigned():
    Simulation(1).start_up()


def test_when_the_leader_is_killed_every_key_keeps_its_server():
    system = Simulation(2)
    system.start_up()
    lost = system.assigner()
    system.kill(lost)
    system.run_for(6)
    assert system.assigner() not in (None, lost) and system.unowned_samples == 0
    system.start(lost)
    system.run_for(3)
    assert system.all_keys_owned()


def test_when_all_members_are_killed_and_restarted_every_key_keeps_its_server():
    system = Simulation(3)
    system.start_up()
    for name in NAMES:
        system.kill(name)
    system.run_for(1.5)
    for name in NAMES:
        system.start(name)
    system.run_for(6)
    assert system.assigner() and system.unowned_samples == 0


def test_keys_of_a_lost_server_are_reassigned_once_its_lease_has_expired():
    system = Simulation(4)
    system.start_up()
    system.servers["i-1"].up = False
    del system.server_states["i-1"]
    system.run_for(0.6)
    assert not system.all_keys_owned()
    system.run_for(LEASE_DURATION_NS / SECOND + 1.5)
    assert system.all_keys_owned()


def test_keys_of_a_draining_server_are_moved_at_once():
    system = Simulation(5)
    system.start_up()
    system.server_states["i-1"] = "draining"
    system.run_for(2.5)  # a response may be lost
    assert system.all_keys_owned() and not any(
        until > system.now for until in system.servers["i-1"].lease_ends.values()
    )


def test_a_partitioned_draining_server_keeps_its_keys_until_its_leases_expire():
    system = Simulation(6)
    system.start_up()
    system.partitions = {frozenset((name, "i-1")) for name in NAMES}
    system.server_states["i-1"] = "draining"
    system.run_for(LEASE_DURATION_NS / SECOND + 2)
    system.partitions = set()
    system.run_for(2)
    assert system.all_keys_owned()


def test_a_leader_frozen_beyond_its_lease_is_replaced_and_all_keys_stay_owned():
    system = Simulation(7)
    system.start_up()
    lost = system.assigner()
    system.frozen[lost] = system.now + 8 * SECOND
    system.server_states["i-1"] = "draining"
    system.run_for(12)
    assert system.assigner() != lost and system.all_keys_owned()


def test_a_frozen_leader_does_not_send_a_pending_grant_after_its_lease_has_expired():
    system = Simulation(7)
    system.start_up()
    lost = system.assigner()

    def has_pending_grant():
        calls = [args[2] for _, _, action, args in system.events if action == system.call_server and args[0] == lost]
        return any(isinstance(call.request, GrantKeyRange) and call.request.server == "i-1" for call in calls)

    while not has_pending_grant():
        system.step()
    system.partitions = {frozenset((name, "i-1")) for name in NAMES if name != lost}
    system.frozen[lost] = system.now + 10 * SECOND
    system.server_states["i-1"] = "draining"
    system.run_for(9)
    assert system.all_keys_owned()  # by other servers, as the lease of i-1 has expired
    system.run_for(3)
    assert not any(until > system.now for until in system.servers["i-1"].lease_ends.values())


def test_in_a_partition_only_the_majority_side_acknowledges_orders():
    system = Simulation(8)
    system.start_up()
    lost = system.assigner()
    others = [name for name in NAMES if name != lost]
    system.partitions = {frozenset((lost, other)) for other in others}
    system.run_for(1)
    system.submit_order(lost, 9)
    system.run_for(1.5)
    system.submit_order(system.assigner(), 5)
    system.run_for(3.5)
    assert system.is_acknowledged(5) and not system.is_acknowledged(9) and system.assigner() in others
    system.partitions = set()
    system.run_for(3)
    assert system.versions_in_force() == {5} and system.all_keys_owned()


def test_a_power_loss_of_all_members_during_a_move_leaves_each_key_with_one_server():
    system = Simulation(11)
    system.start_up()
    system.server_states["i-1"] = "draining"
    while not system.has_moving_ranges():
        system.step()
    for _ in range(3):  # during the move, at a different step each time
        for name in NAMES:
            system.kill(name)
        system.run_for(0.5)
        for name in NAMES:
            system.start(name)
        system.run_for(0.93)
    system.run_for(4)
    assert system.all_keys_owned() and not any(
        until > system.now for until in system.servers["i-1"].lease_ends.values()
    )


def test_servers_that_appear_one_by_one_at_the_first_start_all_get_keys():
    system = Simulation(12, servers=0)
    system.run_for(0.5)
    system.submit_order(NAMES[0], 1)
    for number in range(6):
        system.servers[f"i-{number}"], system.server_states[f"i-{number}"] = SimulatedServer(), "ready"
        system.run_for(0.7)
    system.run_for(4)
    held = [sum(until > system.now for until in server.lease_ends.values()) for server in system.servers.values()]
    assert system.all_keys_owned() and min(held) >= len(SAMPLED_KEYS) / 6 / 2


def test_a_new_server_at_a_reused_address_ends_the_lease_of_the_former_server_at_once():
    system = Simulation(13)
    system.start_up()
    del system.server_states["i-1"]
    system.servers["i-1"].up = False
    system.servers["n-1"], system.server_states["n-1"] = SimulatedServer(), "ready"
    system.server_addresses["n-1"] = "i-1:80"
    system.run_for(1.5)  # much less than a lease
    assert system.all_keys_owned()


def test_only_the_reader_of_the_wall_clock_and_its_two_callers_use_it():
    """Guards against: a decision by the wall clock, which may jump; only the monotonic clock may be used.

    Windows of usage are defined by true time, so two adapters pass readings to the estimate of true time.
    """
    folder = Path(kestrelplank.__file__).parent
    folders = (
        "consensus",
        "sharding",
        "configuration",
        "forwarding",
        "transport",
        "storage",
        "http",
        "edge",
        "control",
        "roles",
        "state",
        "usage",
    )
    sources = [path for folder_name in folders for path in (folder / folder_name).glob("*.py")]
    assert len(sources) > 20
    assert not [path for path in sources if re.search(r"\btime\.time(_ns)?\(|datetime", path.read_text())]
    readers = {path.relative_to(folder).as_posix() for path in sources if "wall_clock" in path.read_text()}
    assert readers == {"control/program.py", "edge/control_sessions.py"}


def test_a_member_that_lost_its_disk_is_not_a_voter_until_the_others_add_it():
    system = Simulation(9)
    system.start_up()
    first, second, third = NAMES
    system.kill(third)
    system.run_for(3)
    newest = system.submit_order(second, 5)
    system.run_for(0.5)
    assert newest.acknowledged
    for name in (first, second):
        system.kill(name, wipe=name == first)
    for name in (first, third):  # only `second` has version 5 now
        system.start(name)
    system.run_for(4)
    assert system.leader() is None and not any(member.node.current(system.now) for member in system.members.values())
    assert not system.members[first].node.is_voter
    system.start(second)
    system.run_for(6)
    assert system.members[first].node.is_voter and system.versions_in_force() == {5} and system.all_current()


def test_hot_key_ranges_are_split_and_cold_ones_merged_and_the_edge_machine_follows():
    system, max_count = Simulation(10), 0
    system.start_up()
    initial_count = len(system.owned_ranges())
    for hot_key in (5_000, 30_000, 60_000):
        system.hot_key = hot_key
        system.run_for(15)
        ranges = system.owned_ranges()
        max_count = max(max_count, len(ranges))
        assert len([key_range for key_range in ranges if hot_key <= key_range[1] and key_range[0] < hot_key + 300]) >= 4
        assert [key_range[0] for key_range in ranges] == [
            0,
            *(key_range[1] + 1 for key_range in ranges[:-1]),
        ] and ranges[-1][1] == KEY_COUNT - 1
    cold_ranges = [key_range for key_range in system.owned_ranges() if key_range[1] < 31_000]
    assert (
        max_count > initial_count
        and len(cold_ranges) < len(system.owned_ranges()) / 2
        and max_count <= 6 * len(system.servers)
    )
    for key in SAMPLED_KEYS:
        holder = system.edge.key_ranges["views"].holder_of(key)
        assert holder is None or system.servers[holder.server].lease_ends[key] > system.now


def test_an_edge_machine_that_missed_a_release_receives_it_after_its_next_heartbeat():
    system = Simulation(6)
    system.start_up()
    leader = system.assigner()
    system.partitions = {frozenset((name, "i-1")) for name in NAMES}  # the release hangs for a full lease
    ranges = [key_range for key_range in system.owned_ranges() if key_range[2] == "i-1"]
    system.run_for(0.39 - system.now % HEARTBEAT_INTERVAL_NS / SECOND)
    system.drop_edge_pushes = True
    system.server_states["i-1"] = "draining"
    while not system.has_moving_ranges():
        system.step()
    before = [system.edge.key_ranges["views"].holder_of(first) for first, _, _ in ranges]
    assert all(holder is not None and holder.server == "i-1" for holder in before)
    system.run_for(HEARTBEAT_INTERVAL_NS / SECOND)
    assert system.has_moving_ranges() and system.assigner() == leader
    assert not any(system.edge.key_ranges["views"].holder_of(first) for first, _, _ in ranges)
    system.drop_edge_pushes = False
    system.run_for(LEASE_DURATION_NS / SECOND + 2)  # it also receives later changes
    assert all(system.edge.key_ranges["views"].holder_of(first) for first, _, _ in ranges)


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_cause_no_double_ownership_and_lose_no_acknowledged_order(seed):
    """A minute of kills, tolerated disk losses, partitions and freezes, with servers that fail, drain and join."""
    system, random = Simulation(seed), Random(seed)
    system.start_up()
    system.hot_key, system.write_failure_rate = seed * 5_000, 0.1 * (seed % 3)
    version, restarts, new_servers = 1, {}, 0
    for second in range(60):
        fault = random.randrange(9)
        all_healthy = len(system.members) == 3 and system.all_are_voters()
        if fault == 0 and all_healthy and not system.frozen:
            name = random.choice(NAMES)
            system.kill(name, wipe=random.random() < 0.5)
            restarts[name] = second + random.randrange(1, 6)
        elif fault == 1 and all_healthy:
            for name in NAMES:
                system.kill(name)
                restarts[name] = second + 1
        elif fault == 2 and not system.partitions:
            isolated = random.choice(NAMES)
            system.partitions = {frozenset((isolated, other)) for other in NAMES if other != isolated}
            system.partitions |= {frozenset((isolated, server)) for server in random.sample(sorted(system.servers), 2)}
        elif fault == 3:
            system.partitions = set()
        elif fault == 4 and len(system.members) == 3:
            system.frozen[random.choice(NAMES)] = system.now + random.randrange(1, 7) * SECOND
        elif fault == 5:
            ready = [server for server, state in system.server_states.items() if state == "ready"]
            if len(ready) > 2:
                system.server_states[random.choice(ready)] = "draining"
        elif fault == 6:
            ready = [server for server, state in system.server_states.items() if state == "ready"]
            if len(ready) > 2:
                lost = random.choice(ready)
                system.servers[lost].up = False
                del system.server_states[lost]
        elif fault == 7:
            new_servers += 1
            system.servers[f"n-{new_servers}"], system.server_states[f"n-{new_servers}"] = SimulatedServer(), "ready"
        elif system.members:
            version += 1
            system.submit_order(random.choice(sorted(system.members)), version)
        system.run_for(1)
        for name in [name for name, at in restarts.items() if at <= second]:
            del restarts[name]
            system.start(name)
    system.partitions, system.frozen, system.write_failure_rate = set(), {}, 0.0
    for name in restarts:
        system.start(name)
    system.run_for(LEASE_DURATION_NS / SECOND + 8)
    assert len(system.versions_in_force()) == 1 and min(system.versions_in_force()) >= system.newest_acknowledged
    assert system.all_are_voters() and system.all_current()
    assert system.all_keys_owned() and system.edge.configuration.key.version >= system.newest_acknowledged


@pytest.mark.parametrize("ranges_only", [True, False])
def test_a_record_in_a_former_format_is_read_and_its_key_ranges_are_kept(ranges_only):
    """Before the replicated log, a record had the ranges and learned speeds; before that, only the ranges."""
    system = Simulation(4)
    system.start_up()
    before = system.owned_ranges()
    for name in NAMES:
        member = system.members[name]
        record = read_record(member.state.records["views"])
        former = record.ranges if ranges_only else [record.ranges, record.learned_speeds]
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
    assert system.assigner() and system.all_keys_owned() and system.unowned_samples == 0
    assert [key_range[2] for key_range in system.owned_ranges()] == [key_range[2] for key_range in before]
