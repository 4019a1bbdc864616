"""A member's disk in memory: what the contract of `test_log_contract` says of the one on disk."""

import msgspec

from kestrelplank.consensus.effects import Persist
from kestrelplank.storage.errors import IncarnationMismatchError, MissingEntryError, NoIncarnationError
from kestrelplank.storage.records import LogContent


class MemoryLog:
    """A member's log in memory: what the contract of `test_log_contract` says of `LogFile`, for members that are simulated.

    It outlives the member: to lose a member's power is to drop the member and `load` again. What `write` returned from
    is there then, of what it refused nothing, or all where `keeps_failed_writes`. `write_error`: raised by each write while it is
    set. `empty`: the disk is lost.
    """

    def __init__(self):
        self.write_error, self.keeps_failed_writes = None, False
        self.syncs = 0
        self.copies = {}
        self.empty()

    def empty(self):
        self._incarnation, self._written = None, []

    def load(self):
        found = LogContent(self._incarnation)
        for persist in self._written:
            entries = () if persist.snapshot else found.entries
            snapshot = persist.snapshot or found.snapshot
            new = [entry for entry in persist.entries if snapshot is None or entry.index > snapshot.index]
            if new:
                entries = (*(entry for entry in entries if entry.index < new[0].index), *new)
            found = LogContent(self._incarnation, persist.hard_state or found.hard_state, snapshot, entries)
        return found

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
        found = self.load()
        indices = [entry.index for entry in found.entries]
        first = indices[0] if indices else 0
        start = 1 + (found.snapshot.index if found.snapshot else 0)
        if indices and (indices != list(range(first, first + len(indices))) or first != start):
            self._written = before
            raise MissingEntryError(first, start - 1)
        if self.write_error is not None:
            self._written = self._written if self.keeps_failed_writes else before
            raise self.write_error
        self.syncs += 1
        # What counts is what all of them add up to; kept so, it stays bounded as a file does.
        self._written = [Persist(0, found.hard_state, found.snapshot, found.entries)]

    @property
    def size_bytes(self):
        return len(msgspec.msgpack.encode([(one.hard_state, one.snapshot, one.entries) for one in self._written]))

    def write_configuration_copy(self, version, text):
        self.copies[version] = text
        self.copies = dict(sorted(self.copies.items())[-2:])

    def close(self):
        pass
