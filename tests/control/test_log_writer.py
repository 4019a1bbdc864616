"""Log writes are made in order, batched while one is in flight, and retried after a disk error."""

import asyncio
import threading

import pytest

from kestrelplank.consensus.effects import Persist
from kestrelplank.control import log_writer
from kestrelplank.control.log_writer import LogWriter
from kestrelplank.storage.disk_thread import DiskThread


class FakeLogFile:
    """A log file whose writes block until `may_finish` is set; the first `failures` writes fail."""

    size = 7

    def __init__(self, failures=0):
        self.failures, self.attempts, self.copies = failures, [], []
        self.may_finish, self.write_started = threading.Event(), threading.Event()

    def write(self, persists):
        self.attempts.append([persist.number for persist in persists])
        self.write_started.set()
        self.may_finish.wait(10)
        if self.failures:
            self.failures -= 1
            raise OSError("no space left")

    def write_configuration_copy(self, version, text):
        self.copies.append(version)


def run_scenario(file, scenario):
    """Run `scenario(writer, reported)`; return the numbers reported as durable, in order."""
    reported = []

    async def run():
        writer = LogWriter(file, DiskThread(), reported.append)
        writing = asyncio.create_task(writer.run())
        try:
            async with asyncio.timeout(10):
                await scenario(writer, reported)
        finally:
            file.may_finish.set()
            writing.cancel()

    asyncio.run(run())
    return reported


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


def test_pending_writes_are_batched_and_reported_in_order():
    file = FakeLogFile()

    async def scenario(writer, reported):
        writer.write(Persist(1))
        await wait_until(file.write_started.is_set)
        writer.write(Persist(2))
        writer.write(Persist(3))
        assert reported == []
        file.may_finish.set()
        await wait_until(lambda: len(reported) == 3)

    assert run_scenario(file, scenario) == [1, 2, 3] and file.attempts == [[1], [2, 3]]


def test_a_failed_write_is_retried_unchanged_before_any_later_write(monkeypatch):
    monkeypatch.setattr(log_writer, "RETRY_INTERVAL_S", 0)
    file = FakeLogFile(failures=2)
    file.may_finish.set()

    async def scenario(writer, reported):
        writer.write(Persist(1))
        await wait_until(file.write_started.is_set)
        writer.write(Persist(2))
        await wait_until(lambda: len(reported) == 2)

    assert run_scenario(file, scenario) == [1, 2]
    assert file.attempts == [[1], [1], [1], [2]]


def test_only_the_last_pending_copy_is_written_after_all_log_writes():
    file = FakeLogFile()

    async def scenario(writer, reported):
        writer.write(Persist(1))
        await wait_until(file.write_started.is_set)
        for version in (5, 6):
            writer.write_configuration_copy(version, b"")
        writer.write(Persist(2))
        file.may_finish.set()
        await wait_until(lambda: file.copies)
        assert reported == [1, 2]

    run_scenario(file, scenario)
    assert file.copies == [6]


@pytest.mark.parametrize("size", [0, 9])
def test_the_log_size_is_the_size_of_the_file(size):
    file = FakeLogFile()
    file.size_bytes = size

    async def scenario(writer, reported):
        assert writer.log_size_bytes == size

    run_scenario(file, scenario)
