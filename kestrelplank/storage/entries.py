"""Merging of writes: an entry replaces an earlier one with the same index and all entries after it."""

from collections.abc import Sequence

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot
from kestrelplank.storage.errors import MissingEntryError


def merge_persists(persists: Sequence[Persist], snapshot_index: int) -> Persist:
    """Return one `Persist` with the combined effect of all, in order; entries that a snapshot covers are dropped.

    The number of the returned `Persist` is 0 and has no meaning.

    :param snapshot_index: index of the snapshot on disk before the writes, 0 if there is none.
    :raises MissingEntryError: the entries' indices are not contiguous.
    """
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    for persist in persists:
        hard_state = persist.hard_state or hard_state
        if persist.snapshot is not None:
            snapshot, snapshot_index = persist.snapshot, persist.snapshot.index
            entries.clear()
        replace_from(entries, entries_after(snapshot_index, persist.entries))
    return Persist(0, hard_state, snapshot, tuple(entries))


def replace_from(entries: list[Entry], newer: Sequence[Entry]) -> None:
    """Replace the entries from the index of the first newer entry on with the newer ones.

    :raises MissingEntryError: an index would be missing between the kept and the newer entries.
    """
    if not newer:
        return
    kept = max(0, newer[0].index - entries[0].index) if entries else 0
    if kept > len(entries):
        raise MissingEntryError(newer[0].index, entries[-1].index)
    entries[kept:] = newer


def entries_after(index: int, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Return the entries that a snapshot at `index` does not cover."""
    if not entries or entries[0].index > index:
        return entries
    return tuple(entry for entry in entries if entry.index > index)


def check_contiguous(entries: Sequence[Entry], last_index: int) -> None:
    """Check that no index is missing between `last_index` and the first entry; later entries are not checked.

    :raises MissingEntryError: an index is missing.
    """
    if entries and entries[0].index > last_index + 1:
        raise MissingEntryError(entries[0].index, last_index)
