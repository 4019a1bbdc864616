"""Identity and membership of a control member when it starts."""

from random import Random

import pytest
from storage.memory import MemoryLog

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import HardState
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.bootstrap import start_member
from kestrelplank.control.member_profile import MemberProfile

SEEDS = ("10.0.0.3:80", "10.0.0.1:80", "10.0.0.2:80")
PROFILE = MemberProfile("z", True, SEEDS, 1, 6_000_000_000)
FIRST_MEMBERSHIP = Membership(0, ("10.0.0.1:80/first", "10.0.0.2:80/first", "10.0.0.3:80/first"))


def start(disk, address="10.0.0.1:80", initial_boot=True, seed=1, profile=PROFILE):
    return start_member(0, Random(seed), address, profile, disk, initial_boot)


def test_at_the_first_start_the_seeds_become_the_voters_in_any_order():
    for address in SEEDS:
        member = start(MemoryLog(), address)
        assert (
            member.identity == f"{address}/first"
            and member.committed_membership == FIRST_MEMBERSHIP == member.node.membership
        )


@pytest.mark.parametrize("address, initial_boot", [("10.0.0.4:80", True), ("10.0.0.1:80", False)])
def test_a_member_that_is_not_a_seed_or_starts_later_draws_an_incarnation_and_is_not_a_voter(address, initial_boot):
    member, other = (start(MemoryLog(), address, initial_boot, seed) for seed in (1, 2))
    assert member.identity.startswith(f"{address}/") and member.identity != f"{address}/first"
    assert member.identity != other.identity and member.node.membership is None and not member.lifecycle.is_voter()


@pytest.mark.parametrize("initial_boot", [True, False])
def test_a_restarted_member_keeps_its_identity_when_the_platform_settings_change(initial_boot):
    disk = MemoryLog()
    before = start(disk)
    disk.write([Persist(1, HardState(4, "10.0.0.2:80/first", "10.0.0.2:80/first"))])
    other_seeds = MemberProfile("z", True, ("10.9.0.1:80",), 1, 6_000_000_000)
    after = start(disk, initial_boot=initial_boot, profile=other_seeds)
    assert after.identity == before.identity and after.node.term == 4 and after.committed_membership == FIRST_MEMBERSHIP


def test_a_restarted_new_member_keeps_its_identity():
    disk = MemoryLog()
    assert start(disk, "10.0.0.4:80", False, 1).identity == start(disk, "10.0.0.4:80", False, 2).identity


def test_a_first_start_interrupted_before_the_membership_was_written_is_repeated():
    disk = MemoryLog()
    disk.store_incarnation("first")
    member = start(disk)
    assert member.identity == "10.0.0.1:80/first" and member.committed_membership == FIRST_MEMBERSHIP
    assert start(disk).committed_membership == FIRST_MEMBERSHIP


def test_a_disk_error_at_the_start_is_raised_and_the_next_start_initializes_the_log():
    disk = MemoryLog()
    disk.write_error = OSError("no space left")
    with pytest.raises(OSError):
        start(disk)
    disk.write_error = None
    assert start(disk).committed_membership == FIRST_MEMBERSHIP
