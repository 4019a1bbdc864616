"""Operator calls over HTTP whose connections are lost: an order is either stored once or not at all."""

import asyncio
import json
import socket

import pytest
from configuration.test_parsing import encoded
from configuration.test_tenants import FIRST_KEY, SECOND_KEY, tenant

from kestrelplank.control.effects import AnswerOrder, AnswerRead
from kestrelplank.control.operator_api import application
from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket, reset_on_close

IP = "127.0.0.1"
LONG_TEXT = bytes(4 << 20)  # more than all buffers on the way take


class Member:
    """A member that stores each text once `majority` is set; a text that is already stored is acknowledged again."""

    def __init__(self):
        self.submitted, self.stored, self.majority = [], [], asyncio.Event()
        self.arrived, self.shown = asyncio.Event(), False

    async def show_configuration(self):
        self.shown = True
        return AnswerRead(0, True, LONG_TEXT)

    async def replace_configuration(self, configuration):
        self.submitted.append(configuration.text)
        self.arrived.set()
        await self.majority.wait()
        if configuration.text not in self.stored:
            self.stored.append(configuration.text)
        return AnswerOrder(0, True, in_force=True)


def encode_request(text):
    head = "POST /api/configuration/replace HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text


def run_scenario(scenario):
    async def run():
        member, sock = Member(), listening_socket(IP, 0)
        server = create_server(application(member), 15, 1)
        serving = asyncio.create_task(server.serve([sock]))
        while not server.started:
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(20):
                await scenario(member, sock.getsockname()[1], server)
        finally:
            member.majority.set()
            server.should_exit = True
            await serving

    asyncio.run(run())


async def reset(writer):
    reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()


@pytest.mark.parametrize("when", ["before the majority", "after the majority"])
def test_an_order_whose_connection_is_reset_is_stored_once_and_acknowledged_when_repeated(when):
    """The order is processed; the same order, sent again, is acknowledged without effect."""
    text = encoded()

    async def scenario(member, port, server):
        _, writer = await asyncio.open_connection(IP, port)
        writer.write(encode_request(text))
        await member.arrived.wait()
        if when == "after the majority":
            member.majority.set()
        await reset(writer)
        while server.server_state.connections:
            await asyncio.sleep(0)
        member.majority.set()
        while server.server_state.tasks:
            await asyncio.sleep(0)
        assert member.stored == [text]
        for _ in range(2):
            reader, writer = await asyncio.open_connection(IP, port)
            writer.write(encode_request(text))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()
        assert member.stored == [text] and member.submitted == [text] * 3

    run_scenario(scenario)


@pytest.mark.parametrize("fraction", [0.5, 0.999])
def test_an_order_with_an_incomplete_body_does_not_reach_the_member(fraction):
    """The connection is reset within the body."""
    text = encoded()

    async def scenario(member, port, server):
        _, writer = await asyncio.open_connection(IP, port)
        writer.write(encode_request(text)[: int(len(encode_request(text)) * fraction)])
        while not server.server_state.tasks:
            await asyncio.sleep(0)
        await reset(writer)
        while server.server_state.connections or server.server_state.tasks:
            await asyncio.sleep(0)
        assert member.submitted == []

    run_scenario(scenario)


@pytest.mark.parametrize("shutdown", [False, True])
def test_an_operator_that_reads_a_configuration_late_gets_all_of_it(shutdown):
    """Guards against an operator with a full window that counts as gone, also while the member stops."""
    late_s = 0.8 if shutdown else 2.5  # within `run_scenario`'s second for calls in flight, or twice the user time-out

    async def scenario(member, port, server):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        sock.connect((IP, port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 10)
        writer.write(b"GET /api/configuration/show HTTP/1.1\r\nHost: c\r\n\r\n")
        while not member.shown:
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        server.should_exit = shutdown
        await asyncio.sleep(late_s)
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(LONG_TEXT)) == LONG_TEXT
        writer.close()

    run_scenario(scenario)


def test_an_operator_that_reads_its_acknowledgement_late_gets_it():
    async def scenario(member, port, server):
        member.majority.set()
        reader, writer = await asyncio.open_connection(IP, port)
        writer.transport.pause_reading()
        writer.write(encode_request(encoded()))
        await member.arrived.wait()
        await asyncio.sleep(2.5)
        writer.transport.resume_reading()
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()

    run_scenario(scenario)


SHARED_KEY = [tenant("acme", FIRST_KEY), tenant("globex", SECOND_KEY, FIRST_KEY)]


# Guards against an invalid configuration that is acknowledged because its version is old, or that is sent again and
# again because the answer is not a 4xx.
@pytest.mark.parametrize("version", ["00000000", "00000007", "ffffffff"])
@pytest.mark.parametrize(
    "body",
    [
        lambda version: encoded(version=version, tenants=SHARED_KEY),
        lambda version: encoded(version=version, tenants=[tenant("\udcff", FIRST_KEY)]),
        lambda version: encoded(version=version, tenants=[tenant("acme", FIRST_KEY)]).replace(b"acme", b"\xff"),
        lambda version: encoded(version=version, tenants=[tenant("acme", FIRST_KEY)])[:-9],
    ],
    ids=["key of two tenants", "lone surrogate", "not UTF-8", "cut short"],
)
def test_an_invalid_configuration_of_any_version_is_answered_with_400_and_does_not_reach_the_member(version, body):
    async def scenario(member, port, server):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(encode_request(body(version)))
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        answer = await reader.readexactly(length)
        writer.close()
        assert head.startswith(b"HTTP/1.1 400") and json.loads(answer)["why"]
        assert not any(key.encode() in answer for key in (FIRST_KEY, SECOND_KEY))
        assert member.submitted == []

    run_scenario(scenario)
