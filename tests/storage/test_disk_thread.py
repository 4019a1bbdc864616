"""Disk calls in a separate thread must run in order, and must not block the exit of the process."""

import asyncio
import subprocess
import sys
import threading

import pytest

from kestrelplank.storage.disk_thread import DiskThread

HANGING_PROGRAM = """
import asyncio, threading
from kestrelplank.storage.disk_thread import DiskThread

async def main():
    call = asyncio.create_task(DiskThread().call(threading.Event().wait))
    await asyncio.sleep(0)
    call.cancel()

asyncio.run(main())
print("ended")
"""


def test_calls_run_in_the_order_of_submission():
    calls = []

    async def run():
        disk = DiskThread()
        return await asyncio.gather(*(disk.call(lambda n=number: calls.append(n) or n * n) for number in range(20)))

    assert asyncio.run(run()) == [number * number for number in range(20)]
    assert calls == list(range(20))


def test_caller_gets_the_error_of_its_call_and_the_next_call_runs():
    async def run():
        disk = DiskThread()
        with pytest.raises(OSError, match="no room"):
            await disk.call(fail)
        return await disk.call(threading.current_thread)

    def fail():
        raise OSError("no room")

    assert asyncio.run(run()).daemon


def test_cancelling_the_caller_does_not_cancel_its_call():
    calls, release = [], threading.Event()

    async def run():
        disk = DiskThread()
        first = asyncio.create_task(disk.call(release.wait, 10))
        second = asyncio.create_task(disk.call(calls.append, 1))
        await asyncio.sleep(0)
        second.cancel()
        release.set()
        await first
        await disk.call(calls.append, 2)

    asyncio.run(run())
    assert calls == [1, 2]


def test_process_exits_while_a_disk_call_hangs():
    result = subprocess.run(
        [sys.executable, "-c", HANGING_PROGRAM], capture_output=True, text=True, timeout=20, check=False
    )
    assert (result.returncode, result.stdout) == (0, "ended\n")
