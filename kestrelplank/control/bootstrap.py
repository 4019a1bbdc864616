"""The start of a control member: its identity, and the log that its disk holds.

At the first start of the whole system the members at the seed addresses are the first voters. They have to know each
other's identities before they exchange any message, so their incarnation is `FIRST_INCARNATION`. Any other member with
an empty disk draws a random incarnation and waits until the voters add it to the membership.
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
    """The operations on a member's log on disk that its start needs."""

    def load(self) -> LogContent:
        """Return the content of the log on disk."""
        ...

    def store_incarnation(self, incarnation: str) -> None:
        """Make the member's incarnation durable."""
        ...

    def write(self, persists: list[Persist]) -> None:
        """Make these writes durable in one step."""
        ...


def first_membership(seeds: tuple[str, ...]) -> Membership:
    """Return the membership at the first start of the system: the members at the seeds are its voters."""
    return Membership(0, tuple(identity_of(seed, FIRST_INCARNATION) for seed in sorted(seeds)))


def start_member(
    now: int, random: Random, address: str, profile: MemberProfile, log: DurableLog, initial_boot: bool
) -> ControlMember:
    """Return the member at `address`, restored from its disk, or a new one if the disk is empty.

    :param address: the member's own control address.
    :param initial_boot: the platform starts the whole system for the first time; ignored unless the disk is empty.
    :raises OSError: the disk can't be read or written.
    """
    loaded = log.load()
    first_start = initial_boot and loaded.snapshot is None and not loaded.entries
    # The incarnation is written before the first snapshot: without a snapshot it means an interrupted first start.
    first_start_interrupted = loaded.incarnation == FIRST_INCARNATION and first_start
    if loaded.incarnation is None or first_start_interrupted:
        loaded = initialize_log(random, address, profile, log, initial_boot)
    assert loaded.incarnation is not None  # an initialized log always has one
    identity = identity_of(address, loaded.incarnation)
    return ControlMember(
        now, random, identity, profile, loaded.hard_state, loaded.snapshot, loaded.entries, first_start
    )


def initialize_log(
    random: Random, address: str, profile: MemberProfile, log: DurableLog, initial_boot: bool
) -> LogContent:
    """Initialize the log on an empty disk and return its content.

    :raises OSError: the disk can't be written.
    """
    if not initial_boot or address not in profile.seeds:
        incarnation = f"{random.getrandbits(INCARNATION_BITS):016x}"
        log.store_incarnation(incarnation)
        return LogContent(incarnation)
    snapshot = Snapshot(0, 0, first_membership(profile.seeds), ControlState().snapshot())
    log.store_incarnation(FIRST_INCARNATION)
    log.write([Persist(0, snapshot=snapshot)])
    return LogContent(FIRST_INCARNATION, snapshot=snapshot)
