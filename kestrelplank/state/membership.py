"""What assigners know of each other by heartbeats.

They come over short datagrams: late, never, twice, in another order, or from a former incarnation. No I/O: `receive` is
given what came, `tick` returns what to send. With nothing coming at all an assigner knows itself.

A datagram says of its sender, and of as many others as fit, the highest heartbeat known of them: hearing of one through
another counts, so that one way that is cut does not make a death. Whether one that is silent is dead is judged by how
long it usually is silent: phi, the accrual detector (N. Hayashibara and others, 2004); that others' heartbeats go along
is SWIM's (A. Das and others, 2002).
"""

from collections import deque
from enum import Enum
from math import erfc, log10, sqrt
from typing import NamedTuple

from kestrelplank.state.membership_datagram import MalformedDatagramError, MemberHeartbeat, ZoneSums, decode, encode

MAX_INTERVALS = 50  # of a member's heartbeats, from which its habit is known
MIN_DEVIATION = 0.1  # of the mean interval: a steady member must not be suspected for one late packet
MAX_PHI = 40.0


class Liveness(Enum):
    """What is thought of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    UNKNOWN = "unknown"


class DetectorSettings(NamedTuple):
    """When a member is suspected, and when it is taken for dead.

    :param min_missed_heartbeats: before it is dead: a habit is only as good as what it has met.
    """

    heartbeat_interval_ns: int = 200_000_000
    suspect_phi: float = 3.0
    dead_phi: float = 8.0
    min_missed_heartbeats: int = 5


class Member:
    """What is known of another: its incarnation, last heartbeat, when that was heard of, and the habit of intervals."""

    __slots__ = ("incarnation", "heartbeat", "heard_at", "intervals_ns", "zone_sums", "zone_sums_at")

    def __init__(self, incarnation: int, heartbeat: int, now: int) -> None:
        self.incarnation, self.heartbeat, self.heard_at = incarnation, heartbeat, now
        self.intervals_ns: deque[int] = deque(maxlen=MAX_INTERVALS)
        self.zone_sums: list[ZoneSums] = []
        self.zone_sums_at: int | None = None

    def phi(self, now: int, expected_interval_ns: int) -> float:
        """Return how sure it is that the member is dead: -log10 of the chance that one alive would be silent so long.

        :param expected_interval_ns: for as long as nothing is known of its habit.
        """
        intervals = self.intervals_ns
        mean = sum(intervals) / len(intervals) if intervals else float(expected_interval_ns)
        mean = max(mean, expected_interval_ns / 2)
        spread = sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)) if intervals else 0.0
        spread = max(spread, MIN_DEVIATION * mean)
        chance = erfc((now - self.heard_at - mean) / spread / sqrt(2)) / 2
        return min(MAX_PHI, -log10(chance)) if chance > 0 else MAX_PHI


class View(NamedTuple):
    """A number that only grows, and who was alive when it last did."""

    version: int
    alive: tuple[int, ...]


class Membership:
    """One assigner's view of `count` assigners.

    Invariant: views, incarnations and heartbeats never go back, and a former incarnation is never believed
    (`tests/state/test_membership.py::test_views_incarnations_and_heartbeats_never_go_back`,
    `test_a_former_incarnation_is_never_believed_and_a_new_one_at_once`).

    :param number: this one's.
    :param incarnation: of this process, higher than in any former one.
    """

    def __init__(self, now: int, number: int, incarnation: int, count: int, settings: DetectorSettings) -> None:
        self._number, self.incarnation, self._count, self._settings = number, incarnation, count, settings
        self._members: dict[int, Member] = {}
        self._heartbeat, self._next_heartbeat_at = 0, now
        # Members are named in turn; were all to begin with the same one, who does not fit would be named by nobody.
        self._turn = number
        self._zone_sums: list[ZoneSums] = []
        self._view = View(1, (number,))

    def set_zone_sums(self, sums: list[ZoneSums]) -> None:
        """Set what this assigner's next datagrams say of zones."""
        self._zone_sums = sums

    def tick(self, now: int) -> bytes | None:
        """Return the datagram to send to all, when one is due.

        Others are named in turn, so that each is named as often.
        """
        if now < self._next_heartbeat_at:
            return None
        self._next_heartbeat_at = max(self._next_heartbeat_at + self._settings.heartbeat_interval_ns, now)
        self._heartbeat += 1
        others = sorted(self._members)
        if others:
            self._turn = (self._turn + 1) % len(others)
            others = others[self._turn :] + others[: self._turn]
        known = [
            MemberHeartbeat(number, self._members[number].incarnation, self._members[number].heartbeat)
            for number in others
            if self.liveness(now, number) is Liveness.ALIVE
        ]
        own = MemberHeartbeat(self._number, self.incarnation, self._heartbeat)
        return encode(self._number, [own, *known], self._zone_sums)

    def receive(self, now: int, body: bytes) -> bool:
        """Take a datagram; return whether it said anything new.

        :raises MalformedDatagramError: it is none of ours; nothing is taken.
        """
        sender, members, zones = decode(body)
        if sender >= self._count or sender == self._number or members[0].number != sender:
            raise MalformedDatagramError(f"from {sender}, who can't be")
        if any(member.number >= self._count for member in members):
            raise MalformedDatagramError("it names a member that can't be")
        newer = [self._record(now, member) for member in members if member.number != self._number]
        if newer and newer[0] and zones:  # of an older datagram, sums would go back
            self._members[sender].zone_sums, self._members[sender].zone_sums_at = zones, now
        return any(newer)

    def _record(self, now: int, known: MemberHeartbeat) -> bool:
        """Take a member's heartbeat; return whether it is newer than what was known."""
        member = self._members.get(known.number)
        if member is None or known.incarnation > member.incarnation:
            self._members[known.number] = Member(known.incarnation, known.heartbeat, now)
            return True
        if known.incarnation < member.incarnation or known.heartbeat <= member.heartbeat:
            return False  # a former incarnation, or what is known already
        # Of several heartbeats at once, lost ones between, the habit is of one: else loss would look like slowness.
        member.intervals_ns.append(max(0, now - member.heard_at) // (known.heartbeat - member.heartbeat))
        member.heartbeat, member.heard_at = known.heartbeat, now
        return True

    def liveness(self, now: int, number: int) -> Liveness:
        """Return what is thought of a member."""
        if number == self._number:
            return Liveness.ALIVE
        member = self._members.get(number)
        if member is None:
            return Liveness.UNKNOWN
        settings = self._settings
        phi = member.phi(now, settings.heartbeat_interval_ns)
        min_silence_ns = settings.min_missed_heartbeats * settings.heartbeat_interval_ns
        if phi >= settings.dead_phi and now - member.heard_at >= min_silence_ns:
            return Liveness.DEAD
        return Liveness.SUSPECTED if phi >= settings.suspect_phi else Liveness.ALIVE

    def view(self, now: int) -> View:
        """Return who is not thought dead, with a number that grows when that changes."""
        not_dead = (Liveness.ALIVE, Liveness.SUSPECTED)
        alive = tuple(number for number in range(self._count) if self.liveness(now, number) in not_dead)
        if alive != self._view.alive:
            self._view = View(self._view.version + 1, alive)
        return self._view

    def zone_sums(self, now: int, max_age_ns: int) -> dict[int, list[ZoneSums]]:
        """Return, by member that is alive, the sums of zones that came from it no longer ago than `max_age_ns`."""
        return {
            number: member.zone_sums
            for number, member in sorted(self._members.items())
            if member.zone_sums_at is not None
            and now - member.zone_sums_at <= max_age_ns
            and self.liveness(now, number) is Liveness.ALIVE
        }
