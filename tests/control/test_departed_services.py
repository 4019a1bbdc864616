"""Sharded services that leave the configuration and come back, while servers and edge machines still use their keys.

`simulation` checks after each step that no key has two owners.
"""

from random import Random

import pytest
from configuration.test_parsing import route
from control.simulation import EDGE, HEARTBEAT_INTERVAL_NS, NAMES, SAMPLED_KEYS, Simulation

from kestrelplank.control import shard_assigners
from kestrelplank.sharding.lease_terms import LONG_LEASE_NS
from kestrelplank.sharding.timing import LEASE_DURATION_NS
from kestrelplank.time_units import SECOND
from kestrelplank.transport.edge_view import EdgeView

LEASE_S = LEASE_DURATION_NS / SECOND
HEARTBEAT_S = HEARTBEAT_INTERVAL_NS / SECOND
ABSENT = {  # the service "views" is gone, with its routes
    "service_table": [{"name": "orders"}],
    "virtual_hosts": [{"host_name": "shop.example", "host_routes": [route("/a/b/", "upload", "orders")]}],
}
UNSHARDED = {"service_table": [{"name": "views"}, {"name": "orders"}]}


def start_with_load(seed):
    """Return a simulation whose key ranges were split and moved, so that they are not as in the beginning."""
    system = Simulation(seed)
    system.start_up()
    system.hot_key = 1000 * seed
    system.run_for(8)
    system.hot_key = None
    system.run_for(1)
    return system


def kill_leader(system):
    system.kill(system.leader())


def restart_all(system):
    for name in NAMES:
        system.kill(name)
        system.start(name)


def wipe_followers_in_turn(system):
    """Each follower loses its disk and has its state from the leader's snapshot; then the leader is killed."""
    for name in system.followers():
        system.kill(name, wipe=True)
        system.start(name)
        system.run_for(4)
    system.kill(system.leader())


def leave_and_come_back(system, absent_s=1.0, meanwhile=None, changes=ABSENT):
    """Take "views" out of the configuration, wait, and put it back; the leader may change meanwhile."""
    system.submit_order(system.leader(), 2, **changes)
    system.run_for(absent_s)
    assert system.versions_in_force() == {2}
    if meanwhile is not None:
        meanwhile(system)
        system.run_for(3)
    back = system.submit_order(next(iter(system.members)), 3)
    system.run_for(0.5)
    assert back.acknowledged


def holders_at_edge(system):
    """By sampled key, the server to which the edge machine sends requests; None: to none."""
    table = system.edge.key_ranges["views"]
    holders = {key: table.holder_of(key) for key in SAMPLED_KEYS}
    return {key: holder and holder.server for key, holder in holders.items()}


def holders_of_leases(system):
    return {
        key: next((name for name, server in system.servers.items() if server.lease_ends[key] > system.now), None)
        for key in SAMPLED_KEYS
    }


# Guards against two holders of a key: all keys were granted anew while the former leases ran (review/1).
@pytest.mark.parametrize("changes", [ABSENT, UNSHARDED])
@pytest.mark.parametrize("absent_s", [0.1, 1, LEASE_S + 2])
@pytest.mark.parametrize("meanwhile", [None, kill_leader, restart_all, wipe_followers_in_turn])
def test_a_sharded_service_that_leaves_and_comes_back_keeps_its_servers(meanwhile, absent_s, changes):
    system = start_with_load(21)
    before = holders_of_leases(system)
    leave_and_come_back(system, absent_s, meanwhile, changes)
    system.run_for(1)  # an answer may be lost
    assert holders_of_leases(system) == holders_at_edge(system) == before


# Guards against requests refused by servers whose leases have ended while the service was away.
def test_servers_get_their_keys_again_as_soon_as_the_configuration_is_in_force():
    system = start_with_load(27)
    system.submit_order(system.leader(), 2, **ABSENT)
    system.run_for(LEASE_S + 2)
    assert not any(holders_of_leases(system).values())
    system.submit_order(system.leader(), 3)
    while system.edge.configuration.key.version < 3:
        system.step()
    system.step()  # a call takes 3 ms
    assert holders_of_leases(system) == holders_at_edge(system)


# Guards against requests that edges go on sending to former holders: versions of the key ranges began anew.
def test_an_edge_follows_changes_of_a_service_that_came_back():
    system = start_with_load(22)
    leave_and_come_back(system)
    system.server_states["i-1"] = "draining"
    system.run_for(3)
    assert holders_at_edge(system) == holders_of_leases(system)
    assert set(holders_at_edge(system).values()) == {"i-0", "i-2", "i-3"}


# Guards against requests that wait for a heartbeat: the edge has started while the service was away.
def test_an_edge_that_started_meanwhile_has_the_holders_of_a_service_that_is_back():
    system = start_with_load(23)
    system.submit_order(system.leader(), 2, **ABSENT)
    system.run_for(1)
    system.edge = EdgeView(EDGE, system.seeds)
    system.run_for(2 * HEARTBEAT_S)
    assert "views" not in system.edge.key_ranges
    system.send_edge_heartbeats = lambda: None
    system.submit_order(system.leader(), 3)
    system.run_for(0.2)
    assert holders_at_edge(system) == holders_of_leases(system)


def test_a_server_that_is_gone_when_its_service_comes_back_loses_its_keys_after_its_lease():
    system = Simulation(24)
    system.start_up()
    system.submit_order(system.leader(), 2, **ABSENT)
    system.run_for(0.5)
    del system.server_states["i-1"]  # it runs on
    system.partitions = {frozenset((name, "i-1")) for name in NAMES}
    system.run_for(0.5)
    system.submit_order(system.leader(), 3)
    system.run_for(LEASE_S + 2)
    assert system.all_keys_owned() and "i-1" not in holders_of_leases(system).values()
    assert holders_at_edge(system) == holders_of_leases(system)


@pytest.mark.parametrize("meanwhile", [None, kill_leader])
def test_the_record_of_a_service_that_stays_away_is_removed_and_it_can_still_come_back(meanwhile, monkeypatch):
    monkeypatch.setattr(shard_assigners, "RECORD_RETENTION_NS", 2 * SECOND)
    system = Simulation(25)
    system.start_up()
    system.submit_order(system.leader(), 2, **ABSENT)
    system.run_for(1.5 + LEASE_S)
    assert all("views" in member.state.records for member in system.members.values())
    if meanwhile is not None:
        meanwhile(system)
        system.run_for(4 + LEASE_S)
    system.run_for(2)
    assert all("views" not in member.state.records for member in system.members.values())
    system.submit_order(next(iter(system.members)), 3)
    system.run_for(3)
    assert system.all_keys_owned() and holders_at_edge(system) == holders_of_leases(system)


# Guards against a removal that reaches a service which is back: it was proposed while the service was away.
def test_a_removal_is_not_proposed_while_a_configuration_waits_to_be_applied(monkeypatch):
    monkeypatch.setattr(shard_assigners, "RECORD_RETENTION_NS", SECOND)
    system = Simulation(26)
    system.start_up()
    system.submit_order(system.leader(), 2, **ABSENT)
    system.run_for(LEASE_S + 0.5)
    system.stalled = set(NAMES)  # no entry can be committed
    system.submit_order(system.leader(), 3)
    system.submit_order(system.leader(), 4, **ABSENT)
    system.run_for(1.5)
    system.stalled = set()
    system.run_for(1)
    assert system.versions_in_force() == {4}
    assert all("views" in member.state.records for member in system.members.values())


# Guards against grants without a record: the first record of a service is ignored if the service has left before.
@pytest.mark.parametrize("seed", range(8))
def test_a_service_that_leaves_before_its_first_record_is_committed_can_come_back(seed):
    system = Simulation(30 + seed)
    system.run_for(0.5)
    system.submit_order(NAMES[0], 1)
    while not system.assigner() or not system.key_ranges():
        system.step()
    for version in range(2, 10):
        system.submit_order(system.leader(), version, **(ABSENT if version % 2 == 0 else {}))
        for _ in range(system.random.randrange(6)):
            system.step()
    system.run_for(3)
    assert system.all_keys_owned() and holders_at_edge(system) == holders_of_leases(system)
    kill_leader(system)
    before = holders_of_leases(system)
    system.run_for(5)
    assert holders_of_leases(system) == before


@pytest.mark.parametrize("seed", range(6))
def test_random_departures_and_faults_cause_no_double_ownership(seed):
    """Half a minute in which "views" leaves and comes back beside kills, partitions, freezes and lost servers."""
    system, random = start_with_load(40 + seed), Random(seed)
    system.hot_key = 9_000 * seed
    version, down = 1, None
    for _ in range(30):
        fault = random.randrange(8)
        if fault == 0 and down is None:
            down = random.choice(NAMES)
            system.kill(down, wipe=random.random() < 0.3 and system.all_are_voters())
        elif fault == 1 and down is not None:
            system.start(down)
            down = None
        elif fault == 2:
            isolated = random.choice(NAMES)
            system.partitions = {frozenset((isolated, other)) for other in NAMES if other != isolated}
            system.partitions.add(frozenset((isolated, random.choice(sorted(system.servers)))))
        elif fault == 3 and not system.frozen:
            system.frozen[random.choice(NAMES)] = system.now + random.randrange(1, 5) * SECOND
        elif fault == 4 and len(system.server_states) > 3:
            lost = random.choice(sorted(system.server_states))
            system.servers[lost].up = random.random() < 0.5  # or the platform only fails to list it
            del system.server_states[lost]
        else:
            version += 1
            changes = random.choice([{}, ABSENT, UNSHARDED])
            system.submit_order(random.choice(sorted(system.members)), version, **changes)
            system.partitions = set()
        system.run_for(random.choice([0.05, 0.3, 1, 2]))
    system.partitions, system.frozen, system.hot_key = set(), {}, None
    if down is not None:
        system.start(down)
    system.run_for(8)
    system.submit_order(system.leader(), version + 1)
    system.run_for(LONG_LEASE_NS / SECOND + 4)
    assert system.all_keys_owned() and holders_at_edge(system) == holders_of_leases(system)
