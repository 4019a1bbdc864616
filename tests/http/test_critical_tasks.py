"""Supervision of critical tasks."""

import asyncio

import pytest

from kestrelplank.http.critical_tasks import CriticalTasks


@pytest.mark.parametrize("how, stops", [("fails", True), ("returns", False), ("is cancelled", False)])
def test_a_failed_critical_task_is_logged_and_stops_the_program(how, stops, caplog):
    """Guards against a control member that keeps running without its periodic task, and so without heartbeats."""

    async def work():
        if how == "fails":
            raise KeyError("failed lookup")

    async def program():
        stop = asyncio.Event()
        critical_tasks = CriticalTasks("Control", stop)
        critical_tasks.add(work())
        if how == "is cancelled":
            critical_tasks.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return stop.is_set(), critical_tasks.failed

    assert asyncio.run(program()) == (stops, stops)
    assert (
        "Control: stopping because a critical task failed" in caplog.text and "failed lookup" in caplog.text
    ) == stops
