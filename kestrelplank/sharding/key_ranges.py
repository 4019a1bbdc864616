"""The keys of one sharded service, as its decider handles them: who holds which range, renewals, moves, and what nobody
holds. No I/O: each call returns effects; the adapter checks the claim once more right before it sends a grant.

    ("grant", server, address, line)      call the server; then `called`
    ("release", server, address, line)    the same
    ("lay", record)                       have a majority know the record, then call `laid`
    ("leaving", line)                     it was just taken from its server: who sends it requests may know
    ("bare", line, ns)                    these keys had no holder for so long, and have one now

What keeps two servers from holding a key at once:

- A line names the only server that may have been granted its keys. It is laid down before the first grant goes out.
- Another server gets them after the old one answered the release, or after all holds have surely run out: counted from
  when the last renewal can have arrived, at the servers' slowest clock. A call without an answer may have arrived
- Fences grow with the ballot of the claim: a server that has seen our call refuses what a former one still sends.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from kestrelplank.forwarding.retry_policy import CallKind, CallOutcome, Execution, verdict

S = 1_000_000_000
KEYS = 65536
HOLD = 4 * S  # what a grant is for: it outlives a decider that is lost, by much more than a claim runs
RENEW = S
CALL = 800_000_000  # a grant that has no answer by then is reset
AGAIN = S // 5  # until a call that did not do it is made again
SETTLE = 300_000_000  # after a reset, bytes that had left may still arrive
SLOW = 102, 100  # a server's clock may measure a hold so much longer
MARGIN = 100_000_000
RELEASE = 2 * S  # a release is answered when running work has ended; after that only time helps
BALLOT_FENCES = 1_000_000
LEAPS = 24  # refusals, each answered with a higher fence, before a line is given to another server
HELD, LEAVING, FREE = "held", "leaving", "free"
STILL = 10 * S  # without a holder for so long, a line stands still: that is worth a line of the log
GRANTED, FENCED = 200, 409  # a server's answers
Effect = tuple[Any, ...]


def seen_of(call: CallKind, sent: bool, status: int | None, handover: str | None) -> CallOutcome:
    """What the end of a grant or a release shows. A release is answered with a handover: a 200 without one is not its
    answer, but may be an older grant's."""
    if status is None:
        return CallOutcome.TIMEOUT if sent else CallOutcome.CONNECT_FAIL
    if status == GRANTED:
        return CallOutcome.MALFORMED if call is CallKind.RELEASE and handover is None else CallOutcome.ANSWERED
    return CallOutcome.NOT_EXECUTED if 400 <= status < 500 else CallOutcome.SERVER_ERROR


def runs_out(arrived: int) -> int:
    """When a hold that was granted at that time at the latest has surely ended (ns)."""
    return arrived + HOLD * SLOW[0] // SLOW[1] + MARGIN


class Server(NamedTuple):
    """A server of the service as the platform lists it."""

    name: str
    address: str
    zone: str
    slots: int
    ready: bool
    warm_at: int


class KeyRange:
    """Keys `first` to `last` (both included). `server` may hold them, `until` at the latest; `flying`: calls that have
    not ended; `void`: the answer of the one that is out will be that of a server that is gone, and counts for nothing.
    `fence` is the grant's, `handover` what it carries. LEAVING: taken from `server`, for `heir` if one is known. FREE:
    `server` surely holds nothing. `bare_at`: since when nobody serves its keys, as far as is known; `still`: that it
    stands still has been told."""

    __slots__ = (
        "first",
        "last",
        "server",
        "address",
        "fence",
        "handover",
        "state",
        "until",
        "flying",
        "due",
        "heir",
        "laid",
        "refused",
        "bare_at",
        "void",
        "still",
    )

    def __init__(
        self, first: int, last: int, server: str, address: str, fence: int, handover: str | None = None
    ) -> None:
        self.first, self.last, self.server, self.address = first, last, server, address
        self.fence, self.handover = fence, handover
        self.state, self.until, self.flying, self.due, self.refused = HELD, 0, 0, 0, 0
        self.heir: str | None = None
        self.bare_at: int | None = None
        self.laid, self.void, self.still = True, False, False

    def record(self) -> list[Any]:
        return [self.first, self.last, self.server, self.address, self.fence, self.handover]

    def cut(self, at: int) -> "KeyRange":
        """Gives away the keys from `at` on, as a line of their own with all that holds of this one."""
        other = KeyRange(at, self.last, self.server, self.address, self.fence, self.handover)
        other.state, other.until, other.due, other.heir = self.state, self.until, self.due, self.heir
        other.laid, other.bare_at = self.laid, self.bare_at
        self.last = at - 1
        return other


class KeyRanges:
    """All lines of one service while we decide for it. `found`: what was laid down last, or None."""

    def __init__(self, now: int, ballot: int, found: Any) -> None:
        # Above all that former deciders laid down, though they had to leap over what servers had seen.
        self.fence = max(ballot, *(parts[4] // BALLOT_FENCES + 1 for parts in found or ()), 0) * BALLOT_FENCES
        self.lines: list[KeyRange] = []
        for parts in found or ():
            line = KeyRange(*parts)
            line.until = runs_out(now + CALL + SETTLE)
            self.lines.append(line)
        self._laying: list[KeyRange] | None = None
        self.servers: dict[str, Server] = {}
        self.gone: dict[str, int] = {}  # server that the platform no longer lists, since when
        self.moved = 0  # keys that changed hands
        self.bare = 0  # ns that keys had no holder, times keys
        self._news: list[Effect] = []

    # What is asked for.

    def divide(self, pieces: int) -> None:
        """Nothing was ever laid down: all keys are free, in so many lines of equal length."""
        for piece in range(pieces):
            line = KeyRange(KEYS * piece // pieces, KEYS * (piece + 1) // pieces - 1, "", "", 0)
            line.state = FREE
            self.lines.append(line)

    def listed(self, now: int, servers: Iterable[Server]) -> None:
        """The platform's list of this service's servers."""
        self.servers = {server.name: server for server in servers}
        lives = {server.address: server.name for server in self.servers.values()}
        for line in self.lines:
            if line.state == FREE:
                continue
            server = self.servers.get(line.server)
            if server is None and lives.get(line.address, line.server) != line.server:
                self._ended(now, line)  # another life answers at its address: this one holds nothing any more
            elif line.state == HELD and (server is None or not server.ready):
                self.leave(now, line, None)
                if server is None:
                    self._bared(now, line)

    def _ended(self, now: int, line: KeyRange) -> None:
        line.state, line.until, line.handover = FREE, 0, None
        line.void = line.flying > 0
        self._bared(now, line)

    @staticmethod
    def _bared(now: int, line: KeyRange) -> None:
        line.bare_at = now if line.bare_at is None else line.bare_at

    def leave(self, now: int, line: KeyRange, heir: str | None) -> None:
        """The line's keys shall go to another server."""
        if line.state == HELD:
            line.state, line.heir, line.due = LEAVING, heir, now
            self._news.append(("leaving", line))

    def cut(self, line: KeyRange, at: int) -> KeyRange:
        """Cuts a line in two, the keys from `at` on being the other's. Not while a call is out."""
        other = line.cut(at)
        self.lines.insert(self.lines.index(line) + 1, other)
        return other

    def joinable(self, line: KeyRange, other: KeyRange) -> bool:
        """Whether `other`, the one behind `line`, can be made a part of it: one server holds both, and nothing is
        under way."""
        return line.server == other.server and all(
            one.state == HELD and one.laid and not one.flying and one.bare_at is None for one in (line, other)
        )

    def join(self, line: KeyRange, other: KeyRange) -> None:
        """Makes two lines of one server one again, under a fence above both, which is laid down first."""
        self.fence += 1
        line.last, line.fence, line.laid, line.handover = other.last, self.fence, False, None
        line.until = max(line.until, other.until)
        self.lines.remove(other)

    def free(self) -> list[KeyRange]:
        """Lines that nobody holds and that are not being laid down for anybody."""
        return [line for line in self.lines if line.state == FREE and line.laid]

    def give(self, line: KeyRange, server: Server) -> None:
        """The line goes to this server, once that is laid down; grants follow."""
        if line.server != server.name:
            self.moved += line.last - line.first + 1
        self.fence += 1
        line.server, line.address, line.fence = server.name, server.address, self.fence
        line.state, line.laid, line.until, line.due, line.refused = HELD, False, 0, 0, 0

    def record(self) -> list[list[Any]]:
        return [line.record() for line in self.lines]

    # What follows.

    def tick(self, now: int) -> list[Effect]:
        """Renewals, releases and what must be laid down, as far as due."""
        effects, self._news = self._news, []
        for line in self.lines:
            if line.state == LEAVING and not line.flying and now >= line.until:
                line.state, line.handover = FREE, None
                self._bared(now, line)
            if line.flying or not line.laid or now < line.due:
                continue
            if line.state == HELD:
                line.flying, line.due = 1, now + RENEW
                effects.append(("grant", line.server, line.address, line))
            elif line.state == LEAVING:
                line.flying, line.due = 1, now + S
                self.fence += 1
                line.fence = self.fence  # a grant that is late on its way meets a higher one
                effects.append(("release", line.server, line.address, line))
        fresh = [line for line in self.lines if not line.laid]
        if fresh and self._laying is None:
            self._laying = fresh
            effects.append(("lay", self.record()))
        return effects

    def laid(self, now: int) -> None:
        """A majority knows the last record."""
        for line in self._laying or ():
            line.laid, line.due = True, now
        self._laying = None

    def called(self, now: int, word: str, line: KeyRange, sent: bool, status: int | None, handover: str | None) -> None:
        """A call has ended now: `sent`: something of it left us; `status`: the answer's, None where none came."""
        line.flying = 0
        if line.void:
            line.void, line.due = False, now
            return
        call = CallKind.GRANT if word == "grant" else CallKind.RELEASE
        seen = seen_of(call, sent, status, handover)
        if call is CallKind.GRANT:
            self._granted(now, line, seen, status)
        elif line.state == LEAVING:
            self._released(now, line, seen, handover)

    def _granted(self, now: int, line: KeyRange, seen: CallOutcome, status: int | None) -> None:
        """A grant has ended. Where it may have arrived, the hold may run from when it can have at the latest."""
        if seen is CallOutcome.ANSWERED:
            line.until, line.handover, line.refused = max(line.until, runs_out(now)), None, 0
            self._served(now, line)
            return
        if verdict(CallKind.GRANT, seen).execution is not Execution.NOT_EXECUTED:
            line.until = max(line.until, runs_out(now + SETTLE))
        if status == FENCED:  # a higher fence was seen there: ours must be higher yet
            self._fenced(now, line)
        else:
            line.due = now + AGAIN

    def _released(self, now: int, line: KeyRange, seen: CallOutcome, handover: str | None) -> None:
        """A release has ended. Only its own answer shows that the work on these keys has."""
        if verdict(CallKind.RELEASE, seen).execution is Execution.EXECUTED:
            line.state, line.until, line.handover = FREE, 0, handover
            self._bared(now, line)
        else:
            line.due = now + AGAIN

    def _served(self, now: int, line: KeyRange) -> None:
        """Its keys have a holder."""
        line.still = False
        if line.bare_at is None or line.state != HELD:
            return
        spell, line.bare_at = now - line.bare_at, None
        self.bare += spell * (line.last - line.first + 1)
        self._news.append(("bare", line, spell))

    def _fenced(self, now: int, line: KeyRange) -> None:
        line.refused += 1
        if line.refused > LEAPS and line.state == HELD:
            self.leave(now, line, None)
        else:  # by leaps: it may have seen the fences of a system whose disks are all lost
            self.fence += 1 if line.refused == 1 else BALLOT_FENCES << line.refused
            line.fence, line.laid = self.fence, False

    def standing_still(self, now: int) -> list[KeyRange]:
        """Lines that have had no holder for long, each told once until it has one again."""
        found = [
            line for line in self.lines if not line.still and line.bare_at is not None and now - line.bare_at >= STILL
        ]
        for line in found:
            line.still = True
        return found
