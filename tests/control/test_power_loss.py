"""Machines that lose their disks while all others lose power: what was acknowledged survives."""

import pytest
from control.simulation import EDGE, FIFTH, FOURTH, NAMES, Simulation

from kestrelplank.transport.edge_view import EdgeView

RECOVERY_S = 8
SIXTH = "10.0.0.6:80"
FIVE = (*NAMES, FOURTH, FIFTH)


def start_system(names=NAMES, standbys=(), losses=1):
    """Return a system of voters, and of running members that do not vote, with a configuration in force."""
    system = Simulation(1, names=names, losses=losses)
    system.start_up()
    for name in standbys:
        system.start(name)
    system.run_for(2)
    assert sorted(system.voters()) == sorted(names)
    order = system.submit_order(system.leader(), 5)
    while order.acknowledged is None:
        system.step()
    return system


def lose_power_and_disks(system, wiped):
    """All machines lose power at the same moment, some their disks too; all start again, and the edge empty."""
    names = list(system.members)
    for name in names:
        system.kill(name, wipe=name in wiped)
    system.edge = EdgeView(EDGE, system.seeds)
    for name in names:
        system.start(name)


def expect_recovered(system, version):
    """The system serves the configuration of this version at all members, to an operator and to the edge."""
    system.run_for(RECOVERY_S)
    read = system.read_configuration(system.leader())
    system.run_for(0.3)
    assert system.versions_in_force() == {version} and read.known
    assert read.text == next(order.text for order in system.orders.values() if order.version == version)
    assert system.edge.configuration.key.version == version


# Guards against an acknowledged configuration that only machines without a vote still have, or none.
@pytest.mark.parametrize("standbys", [(), (FOURTH,), (FOURTH, FIFTH)])
@pytest.mark.parametrize("wiped", NAMES)
def test_an_acknowledged_order_survives_a_lost_disk_while_all_other_machines_lose_power(wiped, standbys):
    for steps in (0, 1, 3, 20):
        system = start_system(standbys=standbys)
        for _ in range(steps):
            system.step()
        lose_power_and_disks(system, {wiped})
        expect_recovered(system, 5)


@pytest.mark.parametrize("wiped", [(0, 1), (1, 3), (2, 4)])
def test_an_acknowledged_order_survives_two_lost_disks_of_five_voters_while_all_others_lose_power(wiped):
    system = start_system(FIVE, (SIXTH,), losses=2)
    lose_power_and_disks(system, {FIVE[number] for number in wiped})
    expect_recovered(system, 5)


# The fault strikes soon after the order was sent: what was not acknowledged may be lost, but not half.
@pytest.mark.parametrize("wiped", NAMES)
def test_an_order_that_was_just_sent_is_in_force_everywhere_or_nowhere_after_the_loss(wiped):
    for steps in range(0, 12, 2):
        system = start_system(standbys=(FOURTH,))
        order = system.submit_order(system.leader(), 6)
        for _ in range(steps):
            system.step()
        lose_power_and_disks(system, {wiped})
        system.run_for(RECOVERY_S)
        (version,) = system.versions_in_force()
        assert version in ({6} if order.acknowledged else {5, 6})
        expect_recovered(system, version)


# A planned replacement changes who votes: at each step the copies of those that vote are enough.
@pytest.mark.parametrize("wiped", [*NAMES, FOURTH])
def test_an_acknowledged_order_survives_the_loss_during_a_planned_replacement(wiped):
    for steps in range(0, 120, 12):
        system = start_system(standbys=(FOURTH,))
        leaving = next(name for name in NAMES if name != wiped)
        system.stop(leaving)
        for _ in range(steps):
            system.step()
        order = system.submit_order(system.leader(), 6) if system.leader() else None
        while order is not None and order.acknowledged is None:
            system.step()
        lose_power_and_disks(system, {wiped})
        system.run_for(RECOVERY_S)
        (version,) = system.versions_in_force()
        assert version in ({6} if order is not None and order.acknowledged else {5, 6})
        expect_recovered(system, version)
