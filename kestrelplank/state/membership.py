"""What conductors know of each other over short datagrams that come late, never, twice, in another order, or from a
former life. No I/O: `take` is given what came, `tick` returns what to send. With nothing coming at all a conductor
knows itself.

A message says of its sender, and of as many others as fit, the highest heartbeat known of them: hearing of one through
another counts, so that one way that is cut does not make a death. Whether one that is silent is dead is judged by how
long it usually is silent: phi, the accrual detector (N. Hayashibara and others, 2004); that others' news goes along is
SWIM's (A. Das and others, 2002).
"""

import struct
from collections import deque
from math import erfc, log10, sqrt
from typing import NamedTuple

MOST_BYTES = 256
FORM = 1
HEAD = struct.Struct("!BBHI")  # form, members that follow, zones that follow, sender
MEMBER = struct.Struct("!HII")  # number, incarnation, heartbeat
ZONE = struct.Struct("!BHHH")  # zone, demand, capacity, ready nodes
SAMPLES = 50  # intervals of which a member's habit is told
LEAST_DEVIATION = 0.1  # of the mean interval: a steady member must not be suspected for one late packet
MOST_PHI = 40.0

ALIVE, SUSPECTED, DEAD, UNKNOWN = "alive", "suspected", "dead", "unknown"


class Malformed(ValueError):
    """A datagram that is none of ours; the text says why."""


class Terms(NamedTuple):
    """`every`: between heartbeats (ns). From `suspect` on phi makes a member suspected, from `dead` on dead, but not
    before `grace` beats have been missed: a habit is only as good as what it has met."""

    every: int = 200_000_000
    suspect: float = 3.0
    dead: float = 8.0
    grace: int = 5


class Sums(NamedTuple):
    """A zone's demand and capacity as a sender sees them, in whole ops a second, and its ready nodes."""

    zone: int
    demand: int
    capacity: int
    ready: int


def encode(sender: int, members: list[tuple[int, int, int]], zones: list[Sums]) -> bytes:
    """One datagram: (member, incarnation, heartbeat) with the sender's own first; what does not fit is left out."""
    zones = zones[: (MOST_BYTES - HEAD.size - MEMBER.size) // ZONE.size]
    room = (MOST_BYTES - HEAD.size - len(zones) * ZONE.size) // MEMBER.size
    members = members[:room]
    parts = [HEAD.pack(FORM, len(members), len(zones), sender)]
    parts += [MEMBER.pack(*member) for member in members]
    parts += [ZONE.pack(zone.zone, *(min(0xFFFF, max(0, figure)) for figure in zone[1:])) for zone in zones]
    return b"".join(parts)


def decode(body: bytes) -> tuple[int, list[tuple[int, int, int]], list[Sums]]:
    """Sender, members and zones; Malformed where it is no message of this form."""
    if len(body) < HEAD.size:
        raise Malformed(f"{len(body)} bytes")
    form, members, zones, sender = HEAD.unpack_from(body)
    if form != FORM:
        raise Malformed(f"form {form} is not known")
    if len(body) != HEAD.size + members * MEMBER.size + zones * ZONE.size or not members:
        raise Malformed("its length is not what it says")
    at = HEAD.size
    found = [MEMBER.unpack_from(body, at + place * MEMBER.size) for place in range(members)]
    at += members * MEMBER.size
    return sender, found, [Sums(*ZONE.unpack_from(body, at + place * ZONE.size)) for place in range(zones)]


class Member:
    """What is known of another: its life, its last heartbeat, when that was heard of, and the habit of intervals."""

    __slots__ = ("incarnation", "beat", "heard_at", "intervals", "sums", "sums_at")

    def __init__(self, incarnation: int, beat: int, now: int) -> None:
        self.incarnation, self.beat, self.heard_at = incarnation, beat, now
        self.intervals: deque[int] = deque(maxlen=SAMPLES)
        self.sums: list[Sums] = []
        self.sums_at: int | None = None


class View(NamedTuple):
    """A number that only grows, and who was alive when it last did."""

    version: int
    alive: tuple[int, ...]


class Membership:
    """`me` of `count` conductors, in the life `incarnation`, which must be higher than in any former one."""

    def __init__(self, now: int, me: int, incarnation: int, count: int, terms: Terms) -> None:
        self._me, self.incarnation, self._count, self._terms = me, incarnation, count, terms
        self._members: dict[int, Member] = {}
        # Members are named in turn; were all to begin with the same one, who does not fit would be named by nobody.
        self._beat, self._next, self._turn = 0, now, me
        self._sums: list[Sums] = []
        self._view = View(1, (me,))

    def told(self, sums: list[Sums]) -> None:
        """What this conductor's next messages say of zones."""
        self._sums = sums

    def tick(self, now: int) -> bytes | None:
        """The datagram to send to all, when one is due. Others are named in turn, so that each is named as often."""
        if now < self._next:
            return None
        self._next = max(self._next + self._terms.every, now)
        self._beat += 1
        others = sorted(number for number in self._members)
        if others:
            self._turn = (self._turn + 1) % len(others)
            others = others[self._turn :] + others[: self._turn]
        known = [
            (number, self._members[number].incarnation, self._members[number].beat)
            for number in others
            if self.judge(now, number) == ALIVE
        ]
        return encode(self._me, [(self._me, self.incarnation, self._beat), *known], self._sums)

    def take(self, now: int, body: bytes) -> bool:
        """A datagram has come. Returns whether it told anything new; raises Malformed, with nothing taken."""
        sender, members, zones = decode(body)
        if sender >= self._count or sender == self._me or members[0][0] != sender:
            raise Malformed(f"from {sender}, who can't be")
        if any(number >= self._count for number, _, _ in members):
            raise Malformed("it names a member that can't be")
        news = [self._hear(now, *member) for member in members if member[0] != self._me]
        if news and news[0] and zones:  # of an older message, sums would go back
            self._members[sender].sums, self._members[sender].sums_at = zones, now
        return any(news)

    def _hear(self, now: int, number: int, incarnation: int, beat: int) -> bool:
        held = self._members.get(number)
        if held is None or incarnation > held.incarnation:
            self._members[number] = Member(incarnation, beat, now)
            return True
        if incarnation < held.incarnation or beat <= held.beat:
            return False  # a former life, or what is known already
        # Of several beats at once, lost ones between, the habit is of one: else loss would look like slowness.
        held.intervals.append(max(0, now - held.heard_at) // (beat - held.beat))
        held.beat, held.heard_at = beat, now
        return True

    def phi(self, now: int, number: int) -> float:
        """How sure it is that the member is dead: -log10 of the chance that one alive would be silent so long."""
        held = self._members[number]
        mean = sum(held.intervals) / len(held.intervals) if held.intervals else float(self._terms.every)
        mean = max(mean, self._terms.every / 2)
        spread = sqrt(sum((one - mean) ** 2 for one in held.intervals) / len(held.intervals)) if held.intervals else 0.0
        spread = max(spread, LEAST_DEVIATION * mean)
        late = erfc((now - held.heard_at - mean) / spread / sqrt(2)) / 2
        return min(MOST_PHI, -log10(late)) if late > 0 else MOST_PHI

    def judge(self, now: int, number: int) -> str:
        """What is thought of a member."""
        if number == self._me:
            return ALIVE
        held = self._members.get(number)
        if held is None:
            return UNKNOWN
        phi = self.phi(now, number)
        if phi >= self._terms.dead and now - held.heard_at >= self._terms.grace * self._terms.every:
            return DEAD
        return SUSPECTED if phi >= self._terms.suspect else ALIVE

    def view(self, now: int) -> View:
        """Who is not thought dead, with a number that grows when that changes."""
        alive = tuple(number for number in range(self._count) if self.judge(now, number) in (ALIVE, SUSPECTED))
        if alive != self._view.alive:
            self._view = View(self._view.version + 1, alive)
        return self._view

    def zones(self, now: int, age: int) -> dict[int, list[Sums]]:
        """By member that is alive, the sums of zones it told no longer ago than `age`."""
        return {
            number: held.sums
            for number, held in sorted(self._members.items())
            if held.sums_at is not None and now - held.sums_at <= age and self.judge(now, number) == ALIVE
        }
