"""Writes of the log: in order, joined, and again with the same where the disk refuses."""

import asyncio
import threading

import pytest

from kestrelplank.consensus.effects import Persist
from kestrelplank.control import log_writer
from kestrelplank.control.log_writer import LogWriter
from kestrelplank.storage.disk_thread import DiskThread


class File:
    """A log file that takes a write when it is let, and refuses as often as told."""

    size = 7

    def __init__(self, refusals=0):
        self.refusals, self.tried, self.copies = refusals, [], []
        self.let, self.begun = threading.Event(), threading.Event()

    def write(self, persists):
        self.tried.append([persist.number for persist in persists])
        self.begun.set()
        self.let.wait(10)
        if self.refusals:
            self.refusals -= 1
            raise OSError("no room")

    def write_configuration_copy(self, version, text):
        self.copies.append(version)


def played(file, play):
    """The numbers that were told to be durable, in order."""
    told = []

    async def whole():
        writer = LogWriter(file, DiskThread(), told.append)
        writing = asyncio.create_task(writer.run())
        try:
            async with asyncio.timeout(10):
                await play(writer, told)
        finally:
            file.let.set()
            writing.cancel()

    asyncio.run(whole())
    return told


async def until(condition):
    while not condition():
        await asyncio.sleep(0)


def test_writes_that_wait_are_made_in_one_and_reported_in_order():
    file = File()

    async def play(writer, told):
        writer.write(Persist(1))
        await until(file.begun.is_set)
        writer.write(Persist(2))
        writer.write(Persist(3))
        assert told == []
        file.let.set()
        await until(lambda: len(told) == 3)

    assert played(file, play) == [1, 2, 3] and file.tried == [[1], [2, 3]]


def test_a_refused_write_is_made_again_with_the_same_and_nothing_passes_it(monkeypatch):
    monkeypatch.setattr(log_writer, "RETRY_INTERVAL_S", 0)
    file = File(refusals=2)
    file.let.set()

    async def play(writer, told):
        writer.write(Persist(1))
        await until(file.begun.is_set)
        writer.write(Persist(2))
        await until(lambda: len(told) == 2)

    assert played(file, play) == [1, 2]
    assert file.tried == [[1], [1], [1], [2]]


def test_of_copies_that_wait_the_last_is_made_after_all_writes():
    file = File()

    async def play(writer, told):
        writer.write(Persist(1))
        await until(file.begun.is_set)
        for version in (5, 6):
            writer.write_configuration_copy(version, b"")
        writer.write(Persist(2))
        file.let.set()
        await until(lambda: file.copies)
        assert told == [1, 2]

    played(file, play)
    assert file.copies == [6]


@pytest.mark.parametrize("size", [0, 9])
def test_the_size_is_the_files(size):
    file = File()
    file.size_bytes = size

    async def play(writer, told):
        assert writer.log_size_bytes == size

    played(file, play)
