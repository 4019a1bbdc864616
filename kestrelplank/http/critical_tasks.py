"""Supervision of the tasks that a program can't run without."""

import asyncio
import logging
from collections.abc import Coroutine

log = logging.getLogger("http")


class CriticalTasks:
    """Tasks without which a program must not go on.

    Guards against a task that ends by an exception, unseen, while the process runs on without it: instead the program
    stops, and the platform starts it again
    (`test_a_critical_task_that_fails_stops_the_program_and_is_logged`).

    :param program: its name in the log.
    :param stop: set where a task has failed.
    """

    def __init__(self, program: str, stop: asyncio.Event) -> None:
        self._program, self._stop = program, stop
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = False

    def add(self, work: Coroutine[object, object, None]) -> None:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Log a task's exception and stop the program; one that was cancelled or returned has not failed."""
        if task.cancelled() or task.exception() is None:
            return
        log.critical("%s: stopping because a critical task failed", self._program, exc_info=task.exception())
        self.failed = True
        self._stop.set()

    def cancel(self) -> None:
        """End all tasks: the program has stopped."""
        for task in self._tasks:
            task.cancel()
