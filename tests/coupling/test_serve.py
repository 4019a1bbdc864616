"""What a program can't do without."""

import asyncio

import pytest

from kestrelplank.coupling.serve import Duties


@pytest.mark.parametrize("how, stops", [("fails", True), ("ends", False), ("is cancelled", False)])
def test_a_duty_that_fails_stops_the_program_and_is_told(how, stops, caplog):
    """Guards against a member that lives on without its ticks: no beats, no claims, no renewals, and nobody told."""
    async def work():
        if how == "fails":
            raise KeyError("of ours")

    async def program():
        stop = asyncio.Event()
        duties = Duties("Signalbox", stop)
        duties.add(work())
        if how == "is cancelled":
            duties.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return stop.is_set(), duties.failed

    assert asyncio.run(program()) == (stops, stops)
    assert ("Signalbox: stops, as a part of it failed" in caplog.text and "of ours" in caplog.text) == stops
