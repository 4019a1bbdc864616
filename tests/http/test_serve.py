"""What a program can't do without."""

import asyncio
import socket

import pytest

from kestrelplank.http.serve import Duties, listener


@pytest.mark.parametrize("how, stops", [("fails", True), ("ends", False), ("is cancelled", False)])
def test_a_duty_that_fails_stops_the_program_and_is_told(how, stops, caplog):
    """Guards against a member that lives on without its ticks: no beats, no claims, no renewals, and nobody told."""

    async def work():
        if how == "fails":
            raise KeyError("of ours")

    async def program():
        stop = asyncio.Event()
        duties = Duties("Control", stop)
        duties.add(work())
        if how == "is cancelled":
            duties.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return stop.is_set(), duties.failed

    assert asyncio.run(program()) == (stops, stops)
    assert ("Control: stops, as a part of it failed" in caplog.text and "of ours" in caplog.text) == stops


def test_small_writes_to_who_connects_are_sent_at_once():
    """Guards against an answer whose body waits for the acknowledgement of its head: 40 ms each on a real machine."""

    async def program():
        delays = asyncio.get_running_loop().create_future()
        sock = listener("127.0.0.1", 0)
        server = await asyncio.start_server(
            lambda _, writer: delays.set_result(
                writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            ),
            sock=sock,
        )
        _, writer = await asyncio.open_connection(*sock.getsockname())
        found = await delays
        writer.close()
        server.close()
        return found

    assert asyncio.run(program()) == 1
