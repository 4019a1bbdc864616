"""How a control member starts: who it is, and what its disk has.

At the first start of the whole system the members at the seeds are the first voters. They must name each other before
they have spoken, so their incarnation is `FIRST_INCARNATION`. Any other member that finds its disk empty draws an
incarnation and waits until the voters make it one of theirs.
"""

from random import Random
from typing import Protocol

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.identity import FIRST_INCARNATION, identity_of
from kestrelplank.consensus.log_entries import Snapshot
from kestrelplank.consensus.membership import Membership
from kestrelplank.control.member import ControlMember
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.state.control_state import ControlState
from kestrelplank.storage.records import LogContent

INCARNATION_BITS = 64


class DurableLog(Protocol):
    """A member's log on disk, as far as a start uses it."""

    def load(self) -> LogContent:
        """Return what the disk holds."""
        ...

    def store_incarnation(self, incarnation: str) -> None:
        """Make the member's incarnation durable."""
        ...

    def write(self, persists: list[Persist]) -> None:
        """Make these durable together."""
        ...


def first_membership(seeds: tuple[str, ...]) -> Membership:
    """Return the membership at the first start of the system: the members at the seeds are its voters."""
    return Membership(0, tuple(identity_of(seed, FIRST_INCARNATION) for seed in sorted(seeds)))


def start_member(
    now: int, random: Random, address: str, profile: MemberProfile, log: DurableLog, initial_boot: bool
) -> ControlMember:
    """Return the member at `address` as its disk has it, or a new one where the disk is empty.

    :param address: the member's own control address.
    :param initial_boot: the platform starts the whole system for the first time; counts only where the disk is empty.
    :raises OSError: the disk refuses.
    """
    loaded = log.load()
    first_start = initial_boot and loaded.snapshot is None and not loaded.entries
    # The incarnation is written before the first snapshot: it alone means that a first start was cut short.
    first_start_broke_off = loaded.incarnation == FIRST_INCARNATION and first_start
    if loaded.incarnation is None or first_start_broke_off:
        loaded = initialize_log(random, address, profile, log, initial_boot)
    assert loaded.incarnation is not None  # a log that was initialized has one
    identity = identity_of(address, loaded.incarnation)
    return ControlMember(
        now, random, identity, profile, loaded.hard_state, loaded.snapshot, loaded.entries, first_start
    )


def initialize_log(
    random: Random, address: str, profile: MemberProfile, log: DurableLog, initial_boot: bool
) -> LogContent:
    """Begin the log on an empty disk and return what it holds then.

    :raises OSError: the disk refuses.
    """
    if not initial_boot or address not in profile.seeds:
        incarnation = f"{random.getrandbits(INCARNATION_BITS):016x}"
        log.store_incarnation(incarnation)
        return LogContent(incarnation)
    snapshot = Snapshot(0, 0, first_membership(profile.seeds), ControlState().snapshot())
    log.store_incarnation(FIRST_INCARNATION)
    log.write([Persist(0, snapshot=snapshot)])
    return LogContent(FIRST_INCARNATION, snapshot=snapshot)
