"""Replication progress of one member, as tracked by the leader: its log, its last reply, data in flight."""

from collections import deque
from typing import NamedTuple

from kestrelplank.consensus.consensus_messages import AppendReply, SnapshotReply
from kestrelplank.consensus.log import entry_size_bytes
from kestrelplank.consensus.log_entries import Entry
from kestrelplank.consensus.snapshots import OutgoingSnapshot
from kestrelplank.time_units import MILLISECOND, SECOND

MAX_UNCONFIRMED_ENTRIES = 256
MIN_WINDOW_BYTES, MAX_WINDOW_BYTES = 64 << 10, 1 << 20  # of entries in flight; the last entry may exceed it
FAST_CONFIRMATION_NS = 400 * MILLISECOND  # an entry confirmed faster widens the window
SLOW_CONFIRMATION_NS = 600 * MILLISECOND  # an entry confirmed more slowly narrows the window
FOLLOWER_TIMEOUT_NS = 1 * SECOND  # a follower whose last reply is older is sent no snapshot
CHUNK_RETRY_INTERVAL_NS = 1 * SECOND  # doubled with each retry, reset by a confirmed chunk
MAX_CHUNK_RETRY_INTERVAL_NS = 8 * SECOND
CAUGHT_UP_LAG_ENTRIES = 8  # a follower that lacks at most this many committed entries is caught up


class EntryInFlight(NamedTuple):
    """An entry that was sent and is not confirmed yet."""

    log_index: int
    size_bytes: int
    sent_at: int


class Progress:
    """The progress of one other member, as the leader of the current term knows it.

    - `match_index`: log index up to which its log on disk matches the leader's.
    - `next_index`: log index of the entry to send next.
    - `log_matches`: whether its log is known to match the leader's up to `next_index - 1`. Until then it is sent no
      entries, only messages that look for the matching index.
    - `heard_at`: when it last replied; 0: never in this term.
    - `answered_round_begun_at`: when the newest heartbeat round that it replied to began; 0: none.
    - `nonce`: the newest nonce that it sent, to be echoed.
    - `outgoing_snapshot`: the snapshot that it is being sent, if any.

    :param next_index: log index of the leader's next entry.
    """

    def __init__(self, next_index: int) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.log_matches = False
        self.heard_at = 0
        self.answered_round_begun_at = 0
        self.nonce = 0
        self.outgoing_snapshot: OutgoingSnapshot | None = None
        self._in_flight: deque[EntryInFlight] = deque()
        self._bytes_in_flight = 0
        self._window_bytes = MIN_WINDOW_BYTES  # starts small, as heartbeats queue behind the entries in flight
        self._chunk_retry_at = 0
        self._chunk_retry_ns = CHUNK_RETRY_INTERVAL_NS

    def record_reply(self, now: int, round_begun_at: int | None) -> None:
        """Record a reply.

        :param round_begun_at: when the heartbeat round that it replies to began; None: not a reply to a known round.
        """
        self.heard_at = now
        if round_begun_at is not None:
            self.answered_round_begun_at = max(self.answered_round_begun_at, round_begun_at)

    def timed_out(self, now: int) -> bool:
        """Whether it has not replied for `FOLLOWER_TIMEOUT_NS`, or never."""
        return now - self.heard_at > FOLLOWER_TIMEOUT_NS or self.heard_at == 0

    def caught_up(self, commit_index: int) -> bool:
        """Whether it has all committed entries except a few that may be in flight."""
        return self.match_index > 0 and self.match_index + CAUGHT_UP_LAG_ENTRIES >= commit_index

    def update(self, now: int, reply: AppendReply) -> None:
        """Update the progress from a reply."""
        self.nonce = reply.nonce or self.nonce
        if reply.success:
            self._advance(now, reply.match_index)
        else:
            self._go_back(reply.match_index)

    def _go_back(self, likely_match_index: int) -> None:
        """Go back to an index up to which the logs may match; not below `match_index`, as the reply may be stale."""
        self.log_matches = False
        self.next_index = max(self.match_index, likely_match_index) + 1
        self._in_flight.clear()
        self._bytes_in_flight = 0

    def _advance(self, now: int, match_index: int) -> None:
        """Record that the logs match up to `match_index`, which confirms entries and a snapshot in flight."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.outgoing_snapshot is not None and self.match_index >= self.outgoing_snapshot.index:
            self.outgoing_snapshot = None
        self.log_matches = self.outgoing_snapshot is None
        while self._in_flight and self._in_flight[0].log_index <= self.match_index:
            confirmed = self._in_flight.popleft()
            self._bytes_in_flight -= confirmed.size_bytes
            self._adapt_window(now - confirmed.sent_at)

    def _adapt_window(self, confirmed_after_ns: int) -> None:
        """Widen the window of bytes in flight if entries are confirmed fast, narrow it if they are slow."""
        if confirmed_after_ns < FAST_CONFIRMATION_NS:
            self._window_bytes = min(2 * self._window_bytes, MAX_WINDOW_BYTES)
        elif confirmed_after_ns > SLOW_CONFIRMATION_NS:
            self._window_bytes = max(self._window_bytes // 2, MIN_WINDOW_BYTES)

    def may_send(self, last_index: int) -> bool:
        """Whether there are unsent entries up to `last_index` that the follower may be sent now."""
        if not self.log_matches or self.next_index > last_index:
            return False
        if self.next_index > self.match_index + MAX_UNCONFIRMED_ENTRIES:
            return False
        return self._bytes_in_flight < self._window_bytes

    def entries_sent(self, now: int, entries: tuple[Entry, ...]) -> None:
        """Record that these entries, the next ones, are in flight."""
        for entry in entries:
            size_bytes = entry_size_bytes(entry)
            self._in_flight.append(EntryInFlight(entry.index, size_bytes, now))
            self._bytes_in_flight += size_bytes
        self.next_index += len(entries)

    def chunk_sent(self, now: int) -> None:
        """Record that a chunk is in flight, and double the retry interval, as the link may be slow."""
        self._chunk_retry_at = now + self._chunk_retry_ns
        self._chunk_retry_ns = min(2 * self._chunk_retry_ns, MAX_CHUNK_RETRY_INTERVAL_NS)

    def chunk_overdue(self, now: int) -> bool:
        """Whether the chunk in flight counts as lost."""
        return now >= self._chunk_retry_at

    def confirm_chunk(self, reply: SnapshotReply) -> bool:
        """Handle the reply to a chunk; return whether the next chunk is to be sent at once."""
        snapshot = self.outgoing_snapshot
        if snapshot is None or not snapshot.confirm(reply.digest, reply.offset):
            return False
        self._chunk_retry_ns = CHUNK_RETRY_INTERVAL_NS
        return True

    def drop_snapshot(self) -> None:
        """Stop sending the snapshot: once the follower replies again it may need a newer one.

        The follower keeps its chunks, so a transfer of the same snapshot resumes where it stopped.
        """
        self.outgoing_snapshot = None
        self._chunk_retry_at, self._chunk_retry_ns = 0, CHUNK_RETRY_INTERVAL_NS
