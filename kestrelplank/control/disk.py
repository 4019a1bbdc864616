"""Writes of the replicated log: one thread, in order, several that wait in one write. A disk that refuses is asked
again with the same."""

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from kestrelplank.consensus.effects import Persist
from kestrelplank.storage.log_file import LogFile

AGAIN = 0.3  # s until a disk that refused is asked again
log = logging.getLogger("storage")


class LogWriter:
    """Writes for one member. `persisted(number)` is called in the loop's thread, in order, when that `Persist` is
    durable."""

    def __init__(self, file: LogFile, persisted: Callable[[int], None]) -> None:
        self._file, self._persisted = file, persisted
        self._thread = ThreadPoolExecutor(1)
        self._waiting: list[Persist] = []
        self._copies: list[tuple[int, bytes]] = []
        self._due = asyncio.Event()

    @property
    def size(self) -> int:
        """Bytes of the log on disk."""
        return self._file.size_bytes

    def write(self, persist: Persist) -> None:
        """Takes a write; it is made after all that were taken before it."""
        self._waiting.append(persist)
        self._due.set()

    def copy(self, version: int, text: bytes) -> None:
        """Takes a readable copy of a configuration, made when nothing else waits. Of several the last is enough."""
        self._copies = [(version, text)]
        self._due.set()

    async def run(self) -> None:
        """Writes until it is cancelled."""
        while True:
            await self._due.wait()
            if self._waiting:
                batch, self._waiting = self._waiting, []
                await self._write(batch)
                for persist in batch:
                    self._persisted(persist.number)
            elif self._copies:
                version, text = self._copies.pop()
                await self._in_thread(self._file.keep_copy, version, text)
            else:
                self._due.clear()

    async def _write(self, batch: list[Persist]) -> None:
        while True:
            try:
                await self._in_thread(self._file.write, batch)
                return
            except OSError as err:
                log.warning("Storage: can't write the log: %s", err)
                await asyncio.sleep(AGAIN)

    async def _in_thread(self, work: Callable, *given: object) -> None:
        await asyncio.get_running_loop().run_in_executor(self._thread, work, *given)
