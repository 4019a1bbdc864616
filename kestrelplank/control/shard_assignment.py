"""One sharded service as the leader decides for it: its lines, where they go, what of that is recorded in the log, and
what edge machines are told. No I/O.

The order is: lines are recorded in the log (`Lay`), then granted. Edge machines are told a record once it is committed,
and what just leaves its server at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from kestrelplank.sharding.key_ranges import HELD, KEYS, KeyRange, KeyRanges, Server
from kestrelplank.sharding.placement import Placement
from kestrelplank.transport.key_range_table import KeyRangeTable
from kestrelplank.transport.messages import KeyRangesDelta, KeyRangesUpdate, KeyRangesVersion, RangeHolder

S = 1_000_000_000
PIECES = 4  # lines that a server's part of the keys is made of at first
SETTLING = 8 * S // 5  # ns that the list must have stood before the first keys are given out: it fills slowly

# A line as recorded: first key, last key, server, its address, fence, handover.
RecordedKeyRange = tuple[int, int, str, str, int, str | None]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What the log has of a service: its lines and what was learnt of its servers. `term`, `number`: whose record it
    is, and which of that term."""

    term: int
    number: int
    lines: list[RecordedKeyRange]
    learnt: dict[str, list[float]]

    @property
    def place(self) -> KeyRangesVersion:
        return KeyRangesVersion(self.term, self.number)


class FormerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of before there was a log."""

    lines: list[RecordedKeyRange]
    learnt: dict[str, list[float]]


NOTHING = Record(0, 0, [], {})
_encoder = msgspec.msgpack.Encoder()


def read_record(data: bytes | None) -> Record:
    """The record in these bytes, or in those of a former version: lines and what was learnt, or lines alone. None:
    nothing was ever recorded. Raises ValueError where it is neither."""
    if data is None:
        return NOTHING
    for form in (Record, FormerRecord, list[RecordedKeyRange]):
        try:
            found = msgspec.msgpack.decode(data, type=form)
        except msgspec.ValidationError:
            continue
        if isinstance(found, Record):
            return found
        if isinstance(found, FormerRecord):
            return Record(0, 0, found.lines, found.learnt)
        return Record(0, 0, found, {})
    raise ValueError("no record of key ranges")


def holders(lines: Iterable[RecordedKeyRange]) -> list[RangeHolder]:
    """Recorded lines as edge machines are told them."""
    return [RangeHolder(first, last, server, address) for first, last, server, address, _, _ in lines]


def key_ranges_update(service: str, record: Record) -> KeyRangesUpdate:
    """All of a record for edge machines, as a member tells it that does not decide."""
    return KeyRangesUpdate(service, record.place, holders(record.lines))


@dataclass(frozen=True, slots=True)
class Lay:
    """Have this record committed, then call `ShardAssigner.recorded`."""

    record: bytes


@dataclass(frozen=True, slots=True)
class Call:
    """Grant or release (`action`) the line at this server."""

    action: str
    server: str
    address: str
    line: KeyRange


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell every edge machine."""

    news: KeyRangesUpdate | KeyRangesDelta


@dataclass(frozen=True, slots=True)
class Bare:
    """These keys had no holder for so long (ns), and have one now."""

    line: KeyRange
    spell: int

    def told(self) -> str:
        """As it is logged."""
        return f"keys {self.line.first}-{self.line.last} had no holder for {self.spell / S:.3f} s"


@dataclass(frozen=True, slots=True)
class Still:
    """These keys have had no holder for long, and still have none."""

    line: KeyRange

    def told(self) -> str:
        """As it is logged."""
        return f"keys {self.line.first}-{self.line.last} still have no holder, last was {self.line.server or 'nobody'}"


Step = Lay | Call | Tell | Bare | Still


class ShardAssigner:
    """`found`: the newest record in the log; `target` (ns): within which the service's requests should be answered."""

    def __init__(
        self, now: int, service: str, term: int, found: Record, servers: list[Server], target: int, seed: int
    ) -> None:
        self.service = service
        self.lines = KeyRanges(now, term, found.lines)
        self.lines.listed(now, servers)
        self.placement = Placement(now, seed, self.lines, target, found.learnt)
        self._term, self._number = term, 0
        self._record, self._place = found, found.place
        self._proposed: Record | None = None

    def listed(self, now: int, servers: list[Server]) -> None:
        """The platform's list says something new."""
        self.lines.listed(now, servers)
        self.placement.listed()

    def called(
        self, now: int, action: str, line: KeyRange, sent: bool, status: int | None, handover: str | None
    ) -> bool:
        """A grant or release has ended. Returns whether there may be work at once: a renewal's answer changes nothing
        that the pass need know before the next tick."""
        if line not in self.lines.lines:
            return False
        self.lines.called(now, action, line, sent, status, handover)
        return line.state != HELD

    def work(self, now: int, list_changed_at: int) -> list[Step]:
        """What is due. Only while this member leads."""
        if not self.lines.lines:
            if not self.lines.servers or now - list_changed_at < SETTLING:
                return []
            self.lines.divide(PIECES * len(self.lines.servers))
        self.placement.turn(now)
        steps: list[Step] = []
        leaving: list[KeyRange] = []
        for effect in self.lines.tick(now):
            if effect[0] == "lay":
                steps.append(self._lay(effect[1]))
            elif effect[0] == "leaving":
                leaving.append(effect[1])
            elif effect[0] == "bare":
                steps.append(Bare(effect[1], effect[2]))
            else:
                steps.append(Call(*effect))
        steps += map(Still, self.lines.standing_still(now))
        return [self._tell_leaving(leaving), *steps] if leaving else steps

    def recorded(self, now: int) -> Tell:
        """The record proposed last is committed."""
        record, self._proposed = self._proposed, None
        assert record is not None
        self.lines.laid(now)
        known = {(first, last, fence) for first, last, _, _, fence, _ in self._record.lines}
        now_at = {line.first: line.server if line.state == HELD else "" for line in self.lines.lines}
        changes = []
        for first, last, server, address, fence, _ in record.lines:
            if (first, last, fence) in known:  # by the fence, as a line may leave its server and come back to it
                continue
            if now_at.get(first, server) == server:
                changes.append(RangeHolder(first, last, server, address))
            else:  # on its way to another server already
                changes.append(RangeHolder(first, last, "", ""))
        since, self._record, self._place = self._place, record, record.place
        return Tell(KeyRangesDelta(self.service, since, self._place, changes))

    def news(self) -> KeyRangesUpdate:
        """All lines for an edge machine that lacks some: as recorded, and what leaves its server since."""
        recorded = KeyRangeTable(self._place, holders(self._record.lines))
        leaving = []
        for line in self.lines.lines:
            holder = recorded.holder_of(line.first)
            if holder is not None and (line.state != HELD or line.server != holder.server):
                leaving.append(RangeHolder(line.first, line.last, "", ""))
        return KeyRangesUpdate(self.service, self._place, recorded.key_ranges, leaving)

    @property
    def place(self) -> KeyRangesVersion:
        """Where edge machines stand that have been told everything."""
        return self._place

    def bare(self) -> float:
        """Seconds that keys had no holder since this member decides, times their part of all keys."""
        return self.lines.bare / KEYS / S

    def _lay(self, lines: list[list]) -> Lay:
        self._number += 1
        self._proposed = Record(self._term, self._number, [tuple(line) for line in lines], self.placement.learnt())
        return Lay(_encoder.encode(self._proposed))

    def _tell_leaving(self, lines: list[KeyRange]) -> Tell:
        """Lines that just leave their servers: requests for these keys had better wait."""
        since = self._place
        self._place = KeyRangesVersion(since.term, since.record, since.notice + 1)
        ranges = [RangeHolder(line.first, line.last, "", "") for line in sorted(lines, key=lambda line: line.first)]
        return Tell(KeyRangesDelta(self.service, since, self._place, ranges))
