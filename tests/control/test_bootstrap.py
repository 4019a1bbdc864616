"""Who a member is when it starts, and what it knows then."""

from random import Random

import pytest
from storage.memory import MemoryLog

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import HardState
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.bootstrap import start_member
from kestrelplank.control.member_profile import MemberProfile

SEEDS = ("10.0.0.3:80", "10.0.0.1:80", "10.0.0.2:80")
PLACE = MemberProfile("z", True, SEEDS, 1, 6_000_000_000)
FIRST = Membership(0, ("10.0.0.1:80/first", "10.0.0.2:80/first", "10.0.0.3:80/first"))


def start(disk, address="10.0.0.1:80", initial_boot=True, seed=1, place=PLACE):
    return start_member(0, Random(seed), address, place, disk, initial_boot)


def test_at_the_first_start_the_seeds_count_whatever_their_order():
    for address in SEEDS:
        member = start(MemoryLog(), address)
        assert member.identity == f"{address}/first" and member.committed_membership == FIRST == member.node.membership


@pytest.mark.parametrize("address, initial_boot", [("10.0.0.4:80", True), ("10.0.0.1:80", False)])
def test_a_member_that_is_no_seed_or_comes_later_is_another_one_that_counts_for_nothing(address, initial_boot):
    one, other = (start(MemoryLog(), address, initial_boot, seed) for seed in (1, 2))
    assert one.identity.startswith(f"{address}/") and one.identity != f"{address}/first"
    assert one.identity != other.identity and one.node.membership is None and not one.lifecycle.is_voter()


@pytest.mark.parametrize("initial_boot", [True, False])
def test_a_member_comes_back_as_itself_whatever_the_platform_then_says(initial_boot):
    disk = MemoryLog()
    before = start(disk)
    disk.write([Persist(1, HardState(4, "10.0.0.2:80/first", "10.0.0.2:80/first"))])
    other_seeds = MemberProfile("z", True, ("10.9.0.1:80",), 1, 6_000_000_000)
    after = start(disk, initial_boot=initial_boot, place=other_seeds)
    assert after.identity == before.identity and after.node.term == 4 and after.committed_membership == FIRST


def test_a_newcomer_comes_back_as_itself():
    disk = MemoryLog()
    assert start(disk, "10.0.0.4:80", False, 1).identity == start(disk, "10.0.0.4:80", False, 2).identity


def test_a_first_start_that_ended_before_the_membership_was_kept_is_begun_again():
    disk = MemoryLog()
    disk.store_incarnation("first")
    member = start(disk)
    assert member.identity == "10.0.0.1:80/first" and member.committed_membership == FIRST
    assert start(disk).committed_membership == FIRST


def test_a_disk_that_refuses_is_told_and_nothing_is_begun():
    disk = MemoryLog()
    disk.write_error = OSError("no room")
    with pytest.raises(OSError):
        start(disk)
    disk.write_error = None
    assert start(disk).committed_membership == FIRST
