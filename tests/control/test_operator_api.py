"""Calls of the operator on the wire: what a lost connection changes, and what it does not."""

import asyncio

import pytest
from configuration.test_parsing import encoded

from kestrelplank.control.effects import AnswerOrder
from kestrelplank.control.operator_api import application
from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket, reset_on_close

IP = "127.0.0.1"


class Member:
    """A member that keeps what it is given once `majority` is set; a text that it has is acknowledged again."""

    def __init__(self):
        self.asked, self.kept, self.majority = [], [], asyncio.Event()
        self.arrived = asyncio.Event()

    async def replace_configuration(self, configuration):
        self.asked.append(configuration.text)
        self.arrived.set()
        await self.majority.wait()
        if configuration.text not in self.kept:
            self.kept.append(configuration.text)
        return AnswerOrder(0, True, in_force=True)


def request(text):
    head = "POST /api/configuration/replace HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text


def played(play):
    async def whole():
        member, sock = Member(), listening_socket(IP, 0)
        front = create_server(application(member), 15, 1)
        serving = asyncio.create_task(front.serve([sock]))
        while not front.started:
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(20):
                await play(member, sock.getsockname()[1], front)
        finally:
            member.majority.set()
            front.should_exit = True
            await serving

    asyncio.run(whole())


async def reset(writer):
    reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()


@pytest.mark.parametrize("when", ["before the majority", "after the majority"])
def test_an_order_whose_connection_is_reset_is_stored_once_and_acknowledged_when_repeated(when):
    """The order goes its way; the same order, sent again, is acknowledged and changes nothing."""
    text = encoded()

    async def play(member, port, front):
        _, writer = await asyncio.open_connection(IP, port)
        writer.write(request(text))
        await member.arrived.wait()
        if when == "after the majority":
            member.majority.set()
        await reset(writer)
        while front.server_state.connections:
            await asyncio.sleep(0)
        member.majority.set()
        while front.server_state.tasks:
            await asyncio.sleep(0)
        assert member.kept == [text]
        for _ in range(2):
            reader, writer = await asyncio.open_connection(IP, port)
            writer.write(request(text))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()
        assert member.kept == [text] and member.asked == [text] * 3

    played(play)


@pytest.mark.parametrize("part", [0.5, 0.999])
def test_an_order_with_an_incomplete_body_does_not_reach_the_member(part):
    """A reset within its body: nothing of it reaches the member."""
    text = encoded()

    async def play(member, port, front):
        _, writer = await asyncio.open_connection(IP, port)
        writer.write(request(text)[: int(len(request(text)) * part)])
        while not front.server_state.tasks:
            await asyncio.sleep(0)
        await reset(writer)
        while front.server_state.connections or front.server_state.tasks:
            await asyncio.sleep(0)
        assert member.asked == []

    played(play)
