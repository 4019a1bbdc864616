"""Singleton roles of whole members under faults. `RoleSimulation` checks after each step that at most one member may act,
that a token has one process, that the platform refuses no member that may act, and that no holder acts, then another, then
the first again within the lease."""

from random import Random

import pytest
from control.role_simulation import RoleSimulation
from control.simulation import FOURTH, NAMES

from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.state.role_table import RoleId
from kestrelplank.time_units import SECOND

HELD_AGAIN_S = 5  # a role has a holder again within this time, while a majority runs


def others(system, *names):
    return [name for name in system.members if name not in names]


def cut_off(system, name):
    system.partitions = {frozenset((name, other)) for other in system.members if other != name}


def test_after_the_first_start_a_member_that_does_not_lead_holds_the_role():
    system = RoleSimulation(1)
    holder = system.start_with_holder()
    assert holder != system.leader() and len(system.assignments()) == 1
    assert "it had no holder" in system.assignments()[0]


def test_without_configured_roles_no_assignment_and_no_report_is_sent():
    system = RoleSimulation(1, roles=())
    system.start_up()
    assert system.members[NAMES[0]].role_token(system.now, USAGE_REPORT) is None
    assert not system.members[NAMES[0]].state.roles.assignments and not system.assignments()


def test_role_of_a_killed_holder_goes_to_another_under_a_higher_token():
    system = RoleSimulation(2)
    killed = system.start_with_holder()
    token = system.token(killed)
    system.kill(killed)
    system.run_until(system.holder, HELD_AGAIN_S)
    assert system.token(system.holder()) > token
    assert f"{killed}/first was last heard 1.0 s ago" in system.assignments()[-1]


def test_holder_frozen_beyond_its_lease_does_not_act_when_it_thaws():
    system = RoleSimulation(3)
    frozen = system.start_with_holder()
    token = system.token(frozen)
    system.frozen[frozen] = system.now + 4 * SECOND
    system.run_until(system.holder, HELD_AGAIN_S)
    successor = system.holder()
    system.run_for(5)
    assert frozen not in system.frozen and system.token(frozen) is None and system.holder() == successor
    assert not system.platforms[USAGE_REPORT].call(system.now, frozen, None, token)


def test_call_checked_before_a_freeze_is_refused_and_its_token_never_used_again():
    system = RoleSimulation(4)
    frozen = system.start_with_holder()
    token = system.token(frozen)  # checked; the process freezes before it sends
    system.frozen[frozen] = system.now + 4 * SECOND
    system.run_for(4.01)
    assert system.holder() not in (None, frozen)
    assert not system.platforms[USAGE_REPORT].call(system.now, frozen, None, token)
    system.carry_out(frozen, system.members[frozen].handle_role_token_rejected(system.now, USAGE_REPORT, token))
    system.run_for(10)
    assert system.token(frozen) != token


def test_partitioned_holder_stops_before_another_begins():
    system = RoleSimulation(5)
    isolated = system.start_with_holder()
    cut_off(system, isolated)
    system.run_until(lambda: system.holder() not in (None, isolated), HELD_AGAIN_S)
    system.run_for(5)
    system.partitions = set()
    system.run_for(5)
    assert system.holder() not in (None, isolated)


@pytest.mark.parametrize("seed", [0, 2, 4])
def test_holder_heard_again_just_before_its_replacement_is_committed_is_waited_for(seed):
    system = RoleSimulation(seed)
    holder = system.start_with_holder()
    system.one_way_partitions = {(holder, other) for other in others(system, holder)}
    system.run_until(lambda: len(system.assignments()) > 1)
    system.one_way_partitions = set()
    system.run_for(0.03)  # the leader answers the holder, which becomes current again without the new assignment
    cut_off(system, holder)
    system.run_for(4)
    assert system.holder() not in (None, holder)


def test_wiped_holder_at_the_same_address_does_not_act_under_the_former_token():
    system = RoleSimulation(6)
    wiped = system.start_with_holder()
    token = system.token(wiped)
    system.kill(wiped, wipe=True)
    system.start(wiped)
    system.run_until(system.holder, HELD_AGAIN_S)
    assert system.token(system.holder()) > token
    system.run_for(10)


def test_restarted_holder_gives_its_former_token_up_and_another_follows_at_once():
    system = RoleSimulation(7)
    restarted = system.start_with_holder()
    token = system.token(restarted)
    system.kill(restarted)
    system.start(restarted)
    assert system.run_until(system.holder, HELD_AGAIN_S) < 1.5
    assert system.token(system.holder()) > token and "(restarted)" in system.assignments()[-1]


def test_killed_leader_leaves_the_role_with_its_holder():
    system = RoleSimulation(8)
    holder = system.start_with_holder()
    token = system.token(holder)
    system.kill(system.leader())
    system.run_until(system.leader, HELD_AGAIN_S)
    system.run_until(system.holder, HELD_AGAIN_S)
    system.run_for(5)
    assert system.holder() == holder and system.token(holder) == token


def test_leader_and_holder_killed_together_leave_the_role_to_a_third():
    system = RoleSimulation(9, names=(*NAMES, FOURTH, "10.0.0.5:80"), losses=2)
    system.run_for(6)
    holder = system.start_with_holder()
    leader = system.leader()
    system.kill(holder)
    system.kill(leader)
    system.run_until(system.holder, 10)
    assert system.holder() not in (holder, leader)


def test_rejection_of_the_rightful_holder_leads_to_a_new_token_and_not_to_a_flood():
    system = RoleSimulation(10)
    holder = system.start_with_holder()
    system.run_for(4)
    tokens = []
    begun_at = system.now
    while system.now < begun_at + 12 * SECOND:
        holder = system.holder()
        if holder is not None:
            tokens.append(system.token(holder))
            effects = system.members[holder].handle_role_token_rejected(system.now, USAGE_REPORT, tokens[-1])
            system.carry_out(holder, effects)
            assert system.token(holder) is None
        system.step()
    assert tokens == sorted(set(tokens)) and 2 <= len(tokens) <= 5


def test_holder_that_does_not_reach_the_platform_gives_the_role_to_another():
    system = RoleSimulation(11)
    holder = system.start_with_holder()
    system.run_for(4)
    token = system.token(holder)
    system.carry_out(holder, system.members[holder].release_role(system.now, USAGE_REPORT, token))
    assert system.run_until(system.holder, HELD_AGAIN_S) < 0.5
    assert system.holder() != holder and "(out of reach)" in system.assignments()[-1]


def test_release_whose_message_is_lost_is_repeated():
    system = RoleSimulation(12)
    holder = system.start_with_holder()
    system.run_for(4)
    system.one_way_partitions = {(holder, other) for other in others(system, holder)}
    system.carry_out(holder, system.members[holder].release_role(system.now, USAGE_REPORT, system.token(holder)))
    system.run_for(0.3)
    system.one_way_partitions = set()
    assert system.run_until(system.holder, HELD_AGAIN_S) < 1.5
    assert system.holder() != holder and "(out of reach)" in system.assignments()[-1]


@pytest.mark.parametrize("leads", [False, True])
def test_role_of_a_stopping_holder_is_assigned_before_it_exits(leads):
    system = RoleSimulation(13)
    holder = system.start_with_holder()
    if leads:
        while system.leader() != holder:
            leader = system.leader()
            if leader is not None:
                system.members[leader]._replica.transfer_leadership(system.now)
            system.run_for(1)
            holder = system.holder() or holder
    system.stop(holder)
    system.run_until(system.holder, 2)
    assert holder in system.members and system.holder() != holder
    system.run_for(8)
    assert holder not in system.members


def test_all_members_restarted_have_a_holder_again():
    system = RoleSimulation(14)
    token = system.token(system.start_with_holder())
    for name in NAMES:
        system.kill(name)
    for name in NAMES:
        system.start(name)
    system.run_until(system.holder, 10)
    assert system.token(system.holder()) > token


def test_single_member_holds_the_role_again_after_its_restart_under_another_token():
    system = RoleSimulation(15, names=NAMES[:1], losses=0)
    only = system.start_with_holder()
    token = system.token(only)
    system.kill(only)
    system.start(only)
    system.run_until(system.holder, 6)
    assert system.token(only) > token


def test_member_restored_from_a_snapshot_knows_the_holder():
    system = RoleSimulation(16)
    holder = system.start_with_holder()
    member = system.members[holder]
    member.state.restore(member.state.snapshot())
    assert system.token(holder) is not None
    assert member.status(system.now).roles[0].may_act


def test_partitions_of_a_role_are_spread_over_the_members():
    roles = tuple(RoleId("probe", number) for number in range(4))
    system = RoleSimulation(17, roles=roles)
    system.start_up()
    system.run_until(lambda: all(system.holder(role) for role in roles))
    holders = [system.holder(role) for role in roles]
    assert {holders.count(name) for name in NAMES if name != system.leader()} <= {1, 2}
    assert holders.count(system.leader()) <= 1


def random_faults(seed, seconds=40):
    """Run with one fault at a time, of all kinds; return the system."""
    system, random = RoleSimulation(seed), Random(seed)
    system.start_with_holder()
    begun_at = system.now
    while system.now < begun_at + seconds * SECOND:
        target = system.holder() if random.random() < 0.7 else system.leader()
        target = target or NAMES[0]
        match random.choice(("kill", "wipe", "freeze", "cut", "stop", "release", "reject")):
            case "kill" | "wipe" as kind:
                system.kill(target, wipe=kind == "wipe")
                system.run_for(random.uniform(0.1, 4))
                system.start(target)
            case "freeze":
                system.frozen[target] = system.now + random.randrange(1, 40) * SECOND // 10
            case "cut":
                cut_off(system, target)
                system.run_for(random.uniform(0.1, 4))
                system.partitions = set()
            case "stop":
                system.stop(target)
                system.run_until(lambda stopped=target: stopped not in system.members, 8)
                system.start(target)
            case "release" | "reject" as kind:
                token, member = system.token(target), system.members[target]
                if token is not None:
                    give_up = member.release_role if kind == "release" else member.handle_role_token_rejected
                    system.carry_out(target, give_up(system.now, USAGE_REPORT, token))
        system.run_for(random.uniform(0.1, 6))
    system.run_for(6)
    system.run_until(system.holder, HELD_AGAIN_S)
    return system


@pytest.mark.parametrize("seed", range(4))
def test_at_most_one_member_acts_under_random_faults(seed):
    random_faults(seed)


def measure(seeds):
    """Print the time without a holder after each kind of fault, and the gaps of the random runs."""
    from statistics import median, quantiles

    def killed(system, holder):
        system.kill(holder)

    def frozen(system, holder):
        system.frozen[holder] = system.now + 8 * SECOND

    def restarted(system, holder):
        system.kill(holder)
        system.start(holder)

    def leader_killed(system, holder):
        system.kill(system.leader())

    def both_killed(system, holder):
        system.kill(system.leader())
        if holder in system.members:
            system.kill(holder)

    def released(system, holder):
        system.carry_out(holder, system.members[holder].release_role(system.now, USAGE_REPORT, system.token(holder)))

    faults = {
        "holder killed": killed,
        "holder frozen": frozen,
        "holder cut off": cut_off,
        "holder restarted at once": restarted,
        "holder stopped by SIGTERM": lambda system, holder: system.stop(holder),
        "holder gave up": released,
        "leader killed": leader_killed,
        "leader and holder killed": both_killed,
    }
    for name, fault in faults.items():
        gaps = []
        for seed in range(seeds):
            system = RoleSimulation(seed, names=(*NAMES, FOURTH, "10.0.0.5:80"), losses=2)
            holder = system.start_with_holder()
            system.run_for(5 + seed % 7 / 10)
            holder, system.gaps = system.holder(), []
            fault(system, holder)
            system.run_for(10)
            gaps.append(sum(system.gaps))
        gaps.sort()
        percentile = f"99th {quantiles(gaps, n=100)[98]:.2f} s, " if seeds >= 100 else ""
        print(f"{name}: median {median(gaps):.2f} s, {percentile}longest {gaps[-1]:.2f} s of {seeds}", flush=True)


if __name__ == "__main__":
    import sys

    measure(int(sys.argv[1]))
