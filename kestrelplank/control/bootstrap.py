"""How a control member begins a life: who it is, and what its disk has.

At the first start of the whole system the members at the seeds are the first voters. They must name each other before
they have spoken, so their incarnation is `FIRST_INCARNATION`. Any other member that finds its disk empty draws an
incarnation and waits to be taken in.
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
from kestrelplank.storage.records import LoadedLog

INCARNATION_BITS = 64


class Log(Protocol):
    """A member's durable log, as far as a start uses it."""

    def load(self) -> LoadedLog: ...

    def keep_incarnation(self, incarnation: str) -> None: ...

    def write(self, persists: list[Persist]) -> None: ...


def first_membership(seeds: tuple[str, ...]) -> Membership:
    """Who counts at the first start of the system."""
    return Membership(0, tuple(identity_of(seed, FIRST_INCARNATION) for seed in sorted(seeds)))


def started(
    now: int, random: Random, address: str, place: MemberProfile, log: Log, initial_boot: bool
) -> ControlMember:
    """The member at `address`. `initial_boot`: the whole system starts for the first time, if the disk is empty too.
    Raises OSError where the disk refuses."""
    loaded = log.load()
    first_start = initial_boot and loaded.snapshot is None and not loaded.entries
    if loaded.incarnation is None or (loaded.incarnation == FIRST_INCARNATION and first_start):
        loaded = begun(random, address, place, log, initial_boot)  # the second: a former life ended just as it began
    identity = identity_of(address, loaded.incarnation)
    return ControlMember(now, random, identity, place, loaded.hard_state, loaded.snapshot, loaded.entries, first_start)


def begun(random: Random, address: str, place: MemberProfile, log: Log, initial_boot: bool) -> LoadedLog:
    """Begins a log on an empty disk."""
    if not initial_boot or address not in place.seeds:
        incarnation = f"{random.getrandbits(INCARNATION_BITS):016x}"
        log.keep_incarnation(incarnation)
        return LoadedLog(incarnation)
    snapshot = Snapshot(0, 0, first_membership(place.seeds), ControlState().snapshot())
    log.keep_incarnation(FIRST_INCARNATION)
    log.write([Persist(0, snapshot=snapshot)])
    return LoadedLog(FIRST_INCARNATION, snapshot=snapshot)
