"""What a leader knows of another member: how far its log goes, when it was heard, and which heartbeats it answered."""

from collections import deque
from typing import NamedTuple

from kestrelplank.consensus.consensus_messages import AppendReply, SnapshotReply
from kestrelplank.consensus.log import entry_size
from kestrelplank.consensus.log_entries import Entry
from kestrelplank.consensus.snapshots import OutgoingSnapshot

S = 1_000_000_000
MOST_AHEAD = 256  # entries that are sent before the follower has said that it has them
LEAST_WINDOW, MOST_WINDOW = 64 << 10, 1 << 20  # bounds of the same in bytes; the last entry may go beyond
FAST, SLOW = 400_000_000, 600_000_000  # ns from sending to confirmation: below the window grows, above it shrinks
SILENT = S  # a follower that has not replied for so long (ns) is sent no snapshot
REPEAT_PIECE = S  # after so long (ns) without progress a piece is sent again; doubled each time
MOST_REPEAT = 8 * S
CAUGHT_UP = 8  # entries that a follower may lack and yet count as caught up


class EntryInFlight(NamedTuple):
    """An entry that was sent and is not confirmed. `size`: bytes; `sent_at`: ns."""

    index: int
    size: int
    sent_at: int


class Progress:
    """One follower, as the leader of the current term sees it. `match`: what is durable there and alike; `next`: the
    entry to send next; `heard_at` (ns): when it last replied, 0 for never in this term; `answered_at` (ns): when the
    newest heartbeat round was begun that it answered. `alike`: its log is known to be ours up to `next - 1`; until then
    it is sent no entries, only asked."""

    def __init__(self, next_index: int) -> None:
        self.match = 0
        self.next = next_index
        self.heard_at = 0
        self.answered_at = 0
        self.probe = 0
        self.snapshot: OutgoingSnapshot | None = None
        self.alike = False
        self._in_flight: deque[EntryInFlight] = deque()
        self._bytes_in_flight = 0
        self._window = LEAST_WINDOW  # heartbeats queue behind what is under way, so it must not take long
        self._piece_due = 0
        self._repeat_after = REPEAT_PIECE

    def heard(self, now: int, round_begun_at: int | None) -> None:
        """A reply has come; `round_begun_at`: when the heartbeat that it answers was begun, if it answers one."""
        self.heard_at = now
        if round_begun_at is not None:
            self.answered_at = max(self.answered_at, round_begun_at)

    def appended(self, now: int, reply: AppendReply) -> None:
        """Moves on by what the follower says of its log."""
        self.probe = reply.probe or self.probe
        if not reply.success:
            self.alike = False
            self.next = max(self.match, reply.match_index) + 1
            self._in_flight.clear()
            self._bytes_in_flight = 0
            return
        self.match = max(self.match, reply.match_index)
        self.next = max(self.next, self.match + 1)
        if self.snapshot is not None and self.match >= self.snapshot.index:
            self.snapshot = None
        self.alike = self.snapshot is None
        while self._in_flight and self._in_flight[0].index <= self.match:
            confirmed = self._in_flight.popleft()
            self._bytes_in_flight -= confirmed.size
            self._adapt_window(now - confirmed.sent_at)

    def _adapt_window(self, took: int) -> None:
        if took < FAST:
            self._window = min(2 * self._window, MOST_WINDOW)
        elif took > SLOW:
            self._window = max(self._window // 2, LEAST_WINDOW)

    def sent(self, now: int, entries: tuple[Entry, ...]) -> None:
        """These entries, the next ones, are on their way."""
        for entry in entries:
            size = entry_size(entry)
            self._in_flight.append(EntryInFlight(entry.index, size, now))
            self._bytes_in_flight += size
        self.next += len(entries)

    def may_send(self, last_index: int) -> bool:
        """Whether there are entries that the follower has not been sent and may be sent now."""
        if not self.alike or self.next > last_index or self.next > self.match + MOST_AHEAD:
            return False
        return self._bytes_in_flight < self._window

    def silent(self, now: int) -> bool:
        """Whether it has not replied for a while, or never."""
        return now - self.heard_at > SILENT or self.heard_at == 0

    def piece_taken(self, reply: SnapshotReply) -> bool:
        """Returns whether the next piece is to be sent at once."""
        if self.snapshot is None or not self.snapshot.confirmed(reply.digest, reply.offset):
            return False
        self._repeat_after = REPEAT_PIECE
        return True

    def piece_due(self, now: int) -> bool:
        """Whether the piece that is on its way has to be counted as lost."""
        return now >= self._piece_due

    def piece_sent(self, now: int) -> None:
        """A piece is on its way: it is repeated only after a time, which grows, as the link may be slow."""
        self._piece_due = now + self._repeat_after
        self._repeat_after = min(2 * self._repeat_after, MOST_REPEAT)

    def forget_snapshot(self) -> None:
        """It may need a newer one when it is back; it keeps what it has of this one."""
        self.snapshot = None
        self._piece_due, self._repeat_after = 0, REPEAT_PIECE

    def caught_up(self, commit: int) -> bool:
        """Whether it has all that is committed but for a little that is on its way."""
        return self.match > 0 and self.match + CAUGHT_UP >= commit
