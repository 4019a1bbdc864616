"""An in-memory replacement for a member's log file; `test_log_contract` runs with both."""

import msgspec

from kestrelplank.consensus.effects import Persist
from kestrelplank.storage.errors import IncarnationMismatchError, MissingEntryError, NoIncarnationError
from kestrelplank.storage.records import LogContent


class MemoryLog:
    """The log of a simulated member, with the interface of `LogFile`.

    To simulate a power loss, drop the member and call `load` again: completed writes are kept. While `write_error` is
    set, each write raises it, and is dropped, or kept if `keeps_failed_writes`. `empty` simulates the loss of the disk.
    """

    def __init__(self):
        self.write_error, self.keeps_failed_writes = None, False
        self.syncs = 0
        self.copies = {}
        self.empty()

    def empty(self):
        self._incarnation, self._written = None, []

    def load(self):
        content = LogContent(self._incarnation)
        for persist in self._written:
            entries = () if persist.snapshot else content.entries
            snapshot = persist.snapshot or content.snapshot
            new = [entry for entry in persist.entries if snapshot is None or entry.index > snapshot.index]
            if new:
                entries = (*(entry for entry in entries if entry.index < new[0].index), *new)
            content = LogContent(self._incarnation, persist.hard_state or content.hard_state, snapshot, entries)
        return content

    def store_incarnation(self, incarnation):
        if self._incarnation not in (None, incarnation):
            raise IncarnationMismatchError(self._incarnation, incarnation)
        if self.write_error is not None:
            raise self.write_error
        self._incarnation = incarnation
        self.syncs += 1

    def write(self, persists):
        if self._incarnation is None:
            raise NoIncarnationError
        before = self._written
        self._written = [*before, *persists]
        content = self.load()
        indices = [entry.index for entry in content.entries]
        first = indices[0] if indices else 0
        start = 1 + (content.snapshot.index if content.snapshot else 0)
        if indices and (indices != list(range(first, first + len(indices))) or first != start):
            self._written = before
            raise MissingEntryError(first, start - 1)
        if self.write_error is not None:
            self._written = self._written if self.keeps_failed_writes else before
            raise self.write_error
        self.syncs += 1
        # Merged into one, so that the list stays bounded like a compacted file.
        self._written = [Persist(0, content.hard_state, content.snapshot, content.entries)]

    @property
    def size_bytes(self):
        return len(
            msgspec.msgpack.encode([(write.hard_state, write.snapshot, write.entries) for write in self._written])
        )

    def write_configuration_copy(self, version, text):
        self.copies[version] = text
        self.copies = dict(sorted(self.copies.items())[-2:])

    def close(self):
        pass
