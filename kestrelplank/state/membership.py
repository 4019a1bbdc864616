"""Membership and failure detection among assigners, by heartbeats.

Heartbeats arrive in short datagrams, which may be late, lost, duplicated, reordered, or of a former incarnation. No
I/O: `receive` handles a datagram, `tick` returns the one to send. An assigner that receives nothing knows only itself.

A datagram contains the newest known heartbeats of its sender and of as many other members as fit. A heartbeat that
arrives through another member counts too, so that a one-way partition does not make a member look dead. Silence is
judged by a phi accrual failure detector (N. Hayashibara et al., 2004); passing on the heartbeats of others follows SWIM
(A. Das et al., 2002).
"""

from collections import deque
from enum import Enum
from math import erfc, log10, sqrt
from typing import NamedTuple

from kestrelplank.state.membership_datagram import MalformedDatagramError, MemberHeartbeat, ZoneSums, decode, encode

MAX_INTERVALS = 50  # recent heartbeat intervals kept of each member
MIN_DEVIATION = 0.1  # fraction of the mean interval; keeps one late packet from raising suspicion
MAX_PHI = 40.0


class Liveness(Enum):
    """The assumed state of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    UNKNOWN = "unknown"


class DetectorSettings(NamedTuple):
    """Thresholds of the failure detector.

    :param min_missed_heartbeats: heartbeats that a member must miss before it counts as dead, whatever its phi is, as
        phi reflects only the intervals recorded so far.
    """

    heartbeat_interval_ns: int = 200_000_000
    suspect_phi: float = 3.0
    dead_phi: float = 8.0
    min_missed_heartbeats: int = 5


class Member:
    """Another member: incarnation, last heartbeat, when that arrived, and recent intervals between heartbeats."""

    __slots__ = ("incarnation", "heartbeat", "last_heartbeat_at", "intervals_ns", "zone_sums", "zone_sums_at")

    def __init__(self, incarnation: int, heartbeat: int, now: int) -> None:
        self.incarnation, self.heartbeat, self.last_heartbeat_at = incarnation, heartbeat, now
        self.intervals_ns: deque[int] = deque(maxlen=MAX_INTERVALS)
        self.zone_sums: list[ZoneSums] = []
        self.zone_sums_at: int | None = None

    def phi(self, now: int, expected_interval_ns: int) -> float:
        """Return -log10 of the probability that a member that is alive would be silent for this long.

        :param expected_interval_ns: assumed mean while no interval has been recorded; its half is the minimum mean.
        """
        intervals = self.intervals_ns
        mean = sum(intervals) / len(intervals) if intervals else float(expected_interval_ns)
        mean = max(mean, expected_interval_ns / 2)
        spread = sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)) if intervals else 0.0
        spread = max(spread, MIN_DEVIATION * mean)
        chance = erfc((now - self.last_heartbeat_at - mean) / spread / sqrt(2)) / 2
        return min(MAX_PHI, -log10(chance)) if chance > 0 else MAX_PHI


class View(NamedTuple):
    """The members that are not dead (alive or suspected), with a version that increases when they change."""

    version: int
    alive: tuple[int, ...]


class Membership:
    """One assigner's view of `count` assigners.

    Invariant: view versions, incarnations and heartbeats never decrease, and a former incarnation is ignored
    (`tests/state/test_membership.py::test_views_incarnations_and_heartbeats_never_decrease`,
    `test_former_incarnation_is_ignored_and_new_one_accepted_at_once`).

    :param number: this assigner's number.
    :param incarnation: this process's incarnation, higher than that of any former process.
    """

    def __init__(self, now: int, number: int, incarnation: int, count: int, settings: DetectorSettings) -> None:
        self._number, self.incarnation, self._count, self._settings = number, incarnation, count, settings
        self._members: dict[int, Member] = {}
        self._heartbeat, self._next_heartbeat_at = 0, now
        # Datagrams list members in rotation. If all started with the same member, those that don't fit would be left
        # out by every assigner.
        self._rotation = number
        self._zone_sums: list[ZoneSums] = []
        self._view = View(1, (number,))

    def set_zone_sums(self, sums: list[ZoneSums]) -> None:
        """Set the zone sums for this assigner's next datagrams."""
        self._zone_sums = sums

    def tick(self, now: int) -> bytes | None:
        """Return the datagram to send to all members, or None if none is due.

        The other members are listed in rotation, so that each is included equally often.
        """
        if now < self._next_heartbeat_at:
            return None
        self._next_heartbeat_at = max(self._next_heartbeat_at + self._settings.heartbeat_interval_ns, now)
        self._heartbeat += 1
        others = sorted(self._members)
        if others:
            self._rotation = (self._rotation + 1) % len(others)
            others = others[self._rotation :] + others[: self._rotation]
        known = [
            MemberHeartbeat(number, self._members[number].incarnation, self._members[number].heartbeat)
            for number in others
            if self.liveness(now, number) is Liveness.ALIVE
        ]
        own = MemberHeartbeat(self._number, self.incarnation, self._heartbeat)
        return encode(self._number, [own, *known], self._zone_sums)

    def receive(self, now: int, body: bytes) -> bool:
        """Handle a datagram; return whether it contained anything new.

        :raises MalformedDatagramError: it is invalid; nothing has changed.
        """
        sender, members, zones = decode(body)
        if sender >= self._count or sender == self._number or members[0].number != sender:
            raise MalformedDatagramError(f"unexpected sender {sender}")
        if any(member.number >= self._count for member in members):
            raise MalformedDatagramError("it names a member whose number is out of range")
        newer = [self._record(now, member) for member in members if member.number != self._number]
        if newer and newer[0] and zones:  # sums of an older datagram must not replace newer ones
            self._members[sender].zone_sums, self._members[sender].zone_sums_at = zones, now
        return any(newer)

    def _record(self, now: int, received: MemberHeartbeat) -> bool:
        """Record a member's heartbeat; return whether it is newer than the last one."""
        member = self._members.get(received.number)
        if member is None or received.incarnation > member.incarnation:
            self._members[received.number] = Member(received.incarnation, received.heartbeat, now)
            return True
        if received.incarnation < member.incarnation or received.heartbeat <= member.heartbeat:
            return False  # a former incarnation, or not a newer heartbeat
        # Heartbeats may have been lost since the last one: divide, so that loss does not look like a longer interval.
        member.intervals_ns.append(max(0, now - member.last_heartbeat_at) // (received.heartbeat - member.heartbeat))
        member.heartbeat, member.last_heartbeat_at = received.heartbeat, now
        return True

    def liveness(self, now: int, number: int) -> Liveness:
        """Return the assumed state of a member."""
        if number == self._number:
            return Liveness.ALIVE
        member = self._members.get(number)
        if member is None:
            return Liveness.UNKNOWN
        settings = self._settings
        phi = member.phi(now, settings.heartbeat_interval_ns)
        min_silence_ns = settings.min_missed_heartbeats * settings.heartbeat_interval_ns
        if phi >= settings.dead_phi and now - member.last_heartbeat_at >= min_silence_ns:
            return Liveness.DEAD
        return Liveness.SUSPECTED if phi >= settings.suspect_phi else Liveness.ALIVE

    def view(self, now: int) -> View:
        """Return the members that are not dead, with a version that increases when they change."""
        not_dead = (Liveness.ALIVE, Liveness.SUSPECTED)
        alive = tuple(number for number in range(self._count) if self.liveness(now, number) in not_dead)
        if alive != self._view.alive:
            self._view = View(self._view.version + 1, alive)
        return self._view

    def zone_sums(self, now: int, max_age_ns: int) -> dict[int, list[ZoneSums]]:
        """Return the zone sums of each member that is alive, unless they are older than `max_age_ns`."""
        return {
            number: member.zone_sums
            for number, member in sorted(self._members.items())
            if member.zone_sums_at is not None
            and now - member.zone_sums_at <= max_age_ns
            and self.liveness(now, number) is Liveness.ALIVE
        }
