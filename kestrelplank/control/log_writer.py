"""Writes of the replicated log to disk: by one thread, in order, with pending writes batched."""

import asyncio
import logging
from collections.abc import Callable

from kestrelplank.consensus.effects import Persist
from kestrelplank.storage.disk_thread import DiskThread
from kestrelplank.storage.log_file import LogFile

RETRY_INTERVAL_S = 0.3
"""Delay before a failed write is retried."""

log = logging.getLogger("storage")


class LogWriter:
    """Writes one member's log, from the only thread that accesses its file.

    Invariants, each with its test (`tests/control/test_log_writer.py`):

    - Writes are made, and reported durable, in the order in which they were submitted:
      `test_pending_writes_are_batched_and_reported_in_order`.
    - A failed write is retried unchanged before any later write is made:
      `test_a_failed_write_is_retried_unchanged_before_any_later_write`.

    :param handle_persisted: called in the loop's thread with the number of each `Persist` that is durable.
    """

    def __init__(self, file: LogFile, disk: DiskThread, handle_persisted: Callable[[int], None]) -> None:
        self._file = file
        self._disk = disk
        self._handle_persisted = handle_persisted
        self._pending: list[Persist] = []
        self._pending_copy: tuple[int, bytes] | None = None
        self._work_pending = asyncio.Event()

    @property
    def log_size_bytes(self) -> int:
        """Size of the log on disk."""
        return self._file.size_bytes

    def write(self, persist: Persist) -> None:
        """Queue a write; it is made after all writes queued before it."""
        self._pending.append(persist)
        self._work_pending.set()

    def write_configuration_copy(self, version: int, text: bytes) -> None:
        """Queue a readable copy of a configuration, written when no log write is pending; only the last is written."""
        self._pending_copy = (version, text)
        self._work_pending.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._work_pending.wait()
            if self._pending:
                await self._write_pending()
            elif self._pending_copy is not None:
                version, text = self._pending_copy
                self._pending_copy = None
                await self._disk.call(self._file.write_configuration_copy, version, text)
            else:
                self._work_pending.clear()

    async def _write_pending(self) -> None:
        batch, self._pending = self._pending, []
        await self._write_until_done(batch)
        for persist in batch:
            self._handle_persisted(persist.number)

    async def _write_until_done(self, batch: list[Persist]) -> None:
        while True:
            try:
                await self._disk.call(self._file.write, batch)
                return
            except OSError as err:
                log.warning("Storage: can't write the log, trying again in %s s: %s", RETRY_INTERVAL_S, err)
                await asyncio.sleep(RETRY_INTERVAL_S)
