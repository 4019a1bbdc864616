"""Runs disk calls in one daemon thread, so that a disk that hangs blocks neither the event loop nor the exit."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from queue import SimpleQueue
from threading import Thread
from typing import ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class DiskThread:
    """Runs calls one after the other in its own thread, in the order of submission.

    It is a daemon thread, as the exit of the process would wait for an executor's thread that hangs in a call
    (`test_process_exits_while_a_disk_call_hangs`).
    """

    def __init__(self) -> None:
        self._calls: SimpleQueue[Callable[[], None]] = SimpleQueue()
        Thread(target=self._run, name="disk", daemon=True).start()

    async def call(
        self, function: Callable[Parameters, Result], *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> Result:
        """Call the function in the thread and return what it returns, or raise what it raises.

        Cancelling the caller does not cancel the call, which may be running already.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result] = loop.create_future()

        def run_call() -> None:
            try:
                result = function(*args, **kwargs)
            except BaseException as err:  # noqa: BLE001 - passed on to the caller
                _finish(loop, future, partial(future.set_exception, err))
            else:
                _finish(loop, future, partial(future.set_result, result))

        self._calls.put(run_call)
        return await future

    def _run(self) -> None:
        while True:
            self._calls.get()()


def _finish(loop: asyncio.AbstractEventLoop, future: asyncio.Future[Result], complete: Callable[[], None]) -> None:
    """Complete the future in its loop, unless its caller was cancelled or the loop is closed."""
    with suppress(RuntimeError):  # the loop is closed: the process is exiting
        loop.call_soon_threadsafe(lambda: None if future.done() else complete())
