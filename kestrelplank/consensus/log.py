"""The part of the replicated log that a member holds in memory."""

from typing import NamedTuple

from kestrelplank.consensus.errors import EntryGapError
from kestrelplank.consensus.log_entries import ChangeMembership, Entry, PutConfiguration, PutRecord, Snapshot
from kestrelplank.consensus.membership import Membership

ENTRIES_KEPT_BEFORE_SNAPSHOT = 64  # a follower that lacks only these needs no snapshot
ENTRY_OVERHEAD_BYTES = 64  # of an entry on the wire, without its payload


class LoggedMembership(NamedTuple):
    """A membership, and the log index of its entry, from which on it is in effect."""

    log_index: int
    membership: Membership


class ReplicatedLog:
    """The newest snapshot, the entries after it, some entries before it, and the membership in effect.

    The entries from `base_index + 1` to `last_index` are in memory. Those up to `base_index`, the last of which is of
    `base_term`, were dropped after a snapshot that covers them. Invariants: indexes are contiguous; the snapshot's
    index is between `base_index` and `last_index`; the memberships are those of the entries in memory, and the newest
    one before them. Tested by `tests/consensus/test_log_properties.py`.

    :param initial: the membership before any entry; None for a member that gets it from the log.
    :param snapshot: read from disk at a restart; None if the log was never compacted.
    :param entries: read from disk; those that the snapshot covers are ignored.
    """

    def __init__(self, initial: Membership | None, snapshot: Snapshot | None, entries: tuple[Entry, ...]) -> None:
        self._reset(initial, snapshot, entries)

    def _reset(self, initial: Membership | None, snapshot: Snapshot | None, entries: tuple[Entry, ...]) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries: list[Entry] = []
        self._memberships: list[LoggedMembership] = []
        first = snapshot.membership if snapshot else initial
        if first is not None:
            self._memberships.append(LoggedMembership(self.base_index, first))
        self.append(tuple(entry for entry in entries if entry.index > self.base_index))

    @property
    def last_index(self) -> int:
        """Log index of the last entry; 0 for an empty log."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry; 0 for an empty log."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def snapshot_index(self) -> int:
        """Log index of the last entry that the snapshot covers; 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def membership(self) -> Membership | None:
        """The newest membership in the log, committed or not."""
        return self._memberships[-1].membership if self._memberships else None

    @property
    def membership_index(self) -> int:
        """Log index of the newest membership."""
        return self._memberships[-1].log_index if self._memberships else 0

    def membership_at(self, index: int) -> Membership | None:
        """Return the newest membership at or before `index`."""
        for logged in reversed(self._memberships):
            if logged.log_index <= index:
                return logged.membership
        return None

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None if it is neither in memory nor the base."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in memory."""
        return self._entries[index - self.base_index - 1]

    def entries_from(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from index `first` on, within both limits, but at least one if there is any."""
        entries: list[Entry] = []
        size_bytes = 0
        for index in range(first, min(self.last_index, first + max_entries - 1) + 1):
            entry = self.entry(index)
            size_bytes += entry_size_bytes(entry)
            if entries and size_bytes > max_bytes:
                break
            entries.append(entry)
        return tuple(entries)

    def entries_after_snapshot(self) -> tuple[Entry, ...]:
        """Return the entries after the snapshot; a restart needs these and the snapshot."""
        first = self.snapshot.index + 1 if self.snapshot else self.base_index + 1
        return tuple(self._entries[first - self.base_index - 1 :])

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Add entries after the last one.

        :raises EntryGapError: the index of an entry is not the previous index + 1.
        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise EntryGapError(f"entry {entry.index} does not follow the last entry, {self.last_index}")
            self._entries.append(entry)
            if isinstance(entry.command, ChangeMembership):
                self._memberships.append(LoggedMembership(entry.index, entry.command.membership))

    def truncate(self, first: int) -> None:
        """Remove the entries from index `first` on, and the memberships in them."""
        del self._entries[first - self.base_index - 1 :]
        while self._memberships and self._memberships[-1].log_index >= first:
            self._memberships.pop()

    def compact(self, index: int, state: bytes) -> Snapshot | None:
        """Create a snapshot of `state`, the replicated state after `index`, and drop entries long before it.

        Return None and change nothing if the membership or the term at that index is not known.
        """
        membership, term = self.membership_at(index), self.term_at(index)
        if membership is None or term is None:
            return None
        self.snapshot = Snapshot(index, term, membership, state)
        self._drop_entries_before(index + 1 - ENTRIES_KEPT_BEFORE_SNAPSHOT)
        return self.snapshot

    def _drop_entries_before(self, first: int) -> None:
        """Drop the entries before index `first`, and all memberships before it except the newest, still in effect."""
        if first > self.base_index + 1:
            term_before = self.term_at(first - 1)
            del self._entries[: first - 1 - self.base_index]
            self.base_index, self.base_term = first - 1, term_before or 0
        before = [logged for logged in self._memberships if logged.log_index <= self.base_index]
        after = [logged for logged in self._memberships if logged.log_index > self.base_index]
        self._memberships = before[-1:] + after

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot; keep the entries after it if the log matches it."""
        kept: tuple[Entry, ...] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            kept = tuple(self._entries[snapshot.index - self.base_index :])
        self._reset(None, snapshot, kept)


def entry_size_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry on the wire, for limits on the size of messages."""
    match entry.command:
        case PutConfiguration(text=content) | PutRecord(record=content):
            return ENTRY_OVERHEAD_BYTES + len(content)
        case _:
            return ENTRY_OVERHEAD_BYTES
