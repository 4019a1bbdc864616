"""Supervision of a program's critical tasks."""

import asyncio
import logging
from collections.abc import Coroutine

log = logging.getLogger("http")


class CriticalTasks:
    """Tasks without which a program must not continue.

    A task that raises an exception stops the program, for the platform to restart it, instead of ending unnoticed
    (`test_a_failed_critical_task_is_logged_and_stops_the_program`).

    :param program: the program's name in the log.
    :param stop: set when a task has failed.
    """

    def __init__(self, program: str, stop: asyncio.Event) -> None:
        self._program, self._stop = program, stop
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = False

    def add(self, coroutine: Coroutine[object, object, None]) -> None:
        """Start a supervised task."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """If the task raised an exception, log it and stop the program; being cancelled or returning is no failure."""
        if task.cancelled() or task.exception() is None:
            return
        log.critical("%s: stopping because a critical task failed", self._program, exc_info=task.exception())
        self.failed = True
        self._stop.set()

    def cancel(self) -> None:
        """Cancel all tasks, as the program stops."""
        for task in self._tasks:
            task.cancel()
