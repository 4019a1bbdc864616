"""The replicated log as one member has it in memory: a snapshot, the entries since, and some before it that others may
still lack. Which membership counts is part of it."""

from kestrelplank.consensus.log_entries import ChangeMembership, Entry, Snapshot
from kestrelplank.consensus.membership import Membership

KEPT_ENTRIES = 64  # entries that a snapshot covers and that are kept all the same, for followers that lag a little


class ReplicatedLog:
    """Entries from `base_index + 1` to `last_index`. `snapshot`: what a restart begins from, None where nothing was
    ever cut off. `initial`: the membership before any entry, None for a member that was told none."""

    def __init__(self, initial: Membership | None, snapshot: Snapshot | None, entries: tuple[Entry, ...]) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = []
        first = snapshot.membership if snapshot else initial
        if first is not None:
            self._memberships.append((self.base_index, first))
        self.append(tuple(entry for entry in entries if entry.index > self.base_index))

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership | None:
        """The newest membership in the log, committed or not."""
        return self._memberships[-1][1] if self._memberships else None

    @property
    def membership_index(self) -> int:
        """Where the newest membership stands in the log."""
        return self._memberships[-1][0] if self._memberships else 0

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None where it is not known here."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry(self, index: int) -> Entry:
        return self._entries[index - self.base_index - 1]

    def slice(self, first: int, most: int, most_bytes: int) -> tuple[Entry, ...]:
        """Entries from `first` on, at most so many and so large together, but at least one where there is one."""
        found: list[Entry] = []
        size = 0
        for index in range(first, min(self.last_index, first + most - 1) + 1):
            entry = self.entry(index)
            size += entry_size(entry)
            if found and size > most_bytes:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Adds entries that follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
            self._entries.append(entry)
            if isinstance(entry.command, ChangeMembership):
                self._memberships.append((entry.index, entry.command.membership))

    def truncate(self, first: int) -> None:
        """Removes the entries from `first` on, and the memberships in them."""
        del self._entries[first - self.base_index - 1 :]
        while self._memberships and self._memberships[-1][0] >= first:
            self._memberships.pop()

    def membership_at(self, index: int) -> Membership | None:
        """The newest membership at or before `index`."""
        found = [membership for at, membership in self._memberships if at <= index]
        return found[-1] if found else None

    def compact(self, index: int, state: bytes) -> Snapshot | None:
        """Makes a snapshot of the state after `index`, and lets go of entries long before it. None where the membership
        at that point is not known."""
        membership, term = self.membership_at(index), self.term_at(index)
        if membership is None or term is None:
            return None
        self.snapshot = Snapshot(index, term, membership, state)
        keep_from = max(self.base_index + 1, index + 1 - KEPT_ENTRIES)
        if keep_from > self.base_index + 1:
            term_before = self.term_at(keep_from - 1)
            del self._entries[: keep_from - 1 - self.base_index]
            self.base_index, self.base_term = keep_from - 1, term_before or 0
        before = [(at, found) for at, found in self._memberships if at <= self.base_index]
        after = [(at, found) for at, found in self._memberships if at > self.base_index]
        self._memberships = before[-1:] + after
        return self.snapshot

    def after_snapshot(self) -> tuple[Entry, ...]:
        """The entries that a restart needs beside the snapshot."""
        first = self.snapshot.index + 1 if self.snapshot else self.base_index + 1
        return tuple(self._entries[first - self.base_index - 1 :])

    def install(self, snapshot: Snapshot) -> None:
        """Replaces everything by a snapshot; entries that follow it alike stay."""
        kept: tuple[Entry, ...] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            kept = tuple(self._entries[snapshot.index - self.base_index :])
        self.__init__(None, snapshot, kept)  # type: ignore[misc]


def entry_size(entry: Entry) -> int:
    """About how many bytes an entry takes on the wire."""
    command = entry.command
    content = getattr(command, "text", None) or getattr(command, "record", b"")
    return 64 + len(content)
