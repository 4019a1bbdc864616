"""Client requests through an edge program on loopback to a server with controlled delays.

Guards against incomplete or corrupted requests at the server, and requests lost at shutdown.
"""

import asyncio
from contextlib import asynccontextmanager
from random import Random

import pytest
from configuration.test_parsing import encoded
from edge.stage import IP, TEST_TIMEOUT_S, start_program

from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.rehearsal.observations import Observations
from kestrelplank.rehearsal.simulated_server import SimulatedServer
from kestrelplank.transport.messages import ConfigurationUpdate, ServerListUpdate

LIMITS = {"max_body_bytes": 100_000}


class SlowServer(SimulatedServer):
    """A server that answers once `may_answer` is set."""

    def __init__(self, *args):
        super().__init__(*args)
        self.may_answer, self.arrived, self.bodies = asyncio.Event(), asyncio.Event(), []

    async def request(self, fields, body):
        self.bodies.append(body)
        self.arrived.set()
        await self.may_answer.wait()
        return await super().request(fields, body)


@asynccontextmanager
async def edge():
    """Run an edge program and one slow server of `orders`; yield both and the port for clients."""
    with PortReservations() as ports:
        server = SlowServer("orders-0", "orders", (IP, ports.reserve([IP])), Observations(), [])
        await server.start()
        program = await start_program(ports)
        program.receive("member", ConfigurationUpdate(7, encoded(limits=LIMITS)))
        entry = ("orders-0", "orders", f"{IP}:{server.address[1]}", "hall", 4, "ready", 0)
        program.receive("member", ServerListUpdate(0, [entry]))
        try:
            yield program, server, program.settings.listen_address("frontend")[1]
        finally:
            server.may_answer.set()
            program.connections.close_unused(set())
            await program.drain(0)
            await server.stop()


def head(path="/a/b/x", *more, host="shop.example"):
    lines = [f"POST {path} HTTP/1.1", f"Host: {host}", "X-Attempt-Id: me", "X-Deadline-Remaining: 2000", *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.lower().split(": ", 1) for line in text.decode().split("\r\n")[1:] if line)
    return int(text.split()[1]), fields, await reader.readexactly(int(fields["content-length"]))


def run(scenario):
    async def run_on_edge():
        async with asyncio.timeout(TEST_TIMEOUT_S), edge() as (program, server, port):
            await scenario(program, server, port)

    asyncio.run(run_on_edge())


@pytest.mark.parametrize(
    "parts",
    [
        [head("/a/b/x", "Content-Length: 5") + b"whole"],
        [head("/a/b/x", "Content-Length: 5") + b"wh", b"ole"],
        [head("/a/b/x", "Transfer-Encoding: chunked") + b"2\r\nwh\r\n3\r\nole\r\n0\r\nX-Trailer: t\r\n\r\n"],
        [head("/a/b/x", "Content-Length: 5", "Expect: 100-continue"), b"whole"],
    ],
)
def test_server_receives_the_complete_body_for_each_encoding_and_segmentation(parts):
    async def scenario(program, server, port):
        server.may_answer.set()
        reader, writer = await asyncio.open_connection(IP, port)
        for part in parts:
            writer.write(part)
            if b"Expect" in part:
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        status, fields, body = await answer(reader)
        assert status == 200 and server.bodies == [b"whole"] and fields["x-server-seal"] == "orders-0"
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    "lengths",
    [
        ("Content-Length: 5", "Transfer-Encoding: chunked"),
        ("Content-Length: 5", "Content-Length: 6"),
        ("Transfer-Encoding: gzip, x",),
    ],
)
def test_request_with_conflicting_body_lengths_gets_400_and_reaches_no_server(lengths):
    async def scenario(program, server, port):
        server.may_answer.set()
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(head("/a/b/x", *lengths) + b"0\r\n\r\nPOST /a/b/y HTTP/1.1\r\n\r\n")
        assert (await reader.read(12)).startswith(b"HTTP/1.1 400")
        await reader.read()
        assert server.bodies == []
        writer.close()

    run(scenario)


def test_body_over_the_configured_limit_gets_413():
    async def scenario(program, server, port):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(head("/a/b/x", "Content-Length: 100001") + b"x" * 100001)
        assert (await answer(reader))[0] == 413 and server.bodies == []
        writer.close()

    run(scenario)


def test_upload_in_progress_at_shutdown_is_forwarded_and_answered():
    async def scenario(program, server, port):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(head("/a/b/x", "Content-Length: 5") + b"wh")
        while not program.server.server_state.tasks:
            await asyncio.sleep(0)
        draining = asyncio.create_task(program.drain(0))
        writer.write(b"ole")
        await server.arrived.wait()
        server.may_answer.set()
        status, fields, body = await answer(reader)
        assert status == 200 and server.bodies == [b"whole"] and fields["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
        await draining

    run(scenario)


def test_while_draining_the_readiness_check_fails_and_answers_close_connections():
    async def scenario(program, server, port):
        server.may_answer.set()
        program.readiness.begin_drain()
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(head("/nowhere", "Content-Length: 0"))
        status, fields, _ = await answer(reader)
        assert status == 404 and fields["connection"] == "close"
        writer.close()
        reader, writer = await asyncio.open_connection(IP, program.settings.listen_address("readiness")[1])
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await answer(reader))[0] == 503
        writer.close()

    run(scenario)


@pytest.mark.parametrize("path, host, runs", [("/a/b/x", "shop.example", 1), ("/a/x", "pay.example", 1)])
def test_client_disconnect_does_not_abort_a_non_idempotent_request(path, host, runs):
    async def scenario(program, server, port):
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(head(path, "Content-Length: 0", host=host))
        await server.arrived.wait()
        writer.close()
        await writer.wait_closed()
        server.may_answer.set()
        while not server.observations.runs or program.server.server_state.tasks:
            await asyncio.sleep(0)
        assert server.observations.runs == {"me": runs}
        assert [endpoint.in_flight for endpoint in program.forwarder.endpoints.by_name.values()] == [0]

    run(scenario)


def test_buffered_bodies_are_limited_and_their_memory_is_released():
    async def scenario():
        async with edge() as (program, server, port):
            program.context.max_buffered_body_bytes = 50_000
            first = await asyncio.open_connection(IP, port)
            first[1].write(head("/a/b/x", "Content-Length: 40000") + bytes(40_000))
            await server.arrived.wait()
            second = await asyncio.open_connection(IP, port)
            second[1].write(head("/a/b/x", "Content-Length: 20000") + bytes(20_000))
            rejected = await second[0].readuntil(b"\r\n\r\n")
            server.may_answer.set()
            served = await first[0].readuntil(b"\r\n\r\n")
            while program.context.buffered_body_bytes:
                await asyncio.sleep(0)
            for _, writer in (first, second):
                writer.close()
            return rejected, served, len(server.bodies)

    rejected, served, received = asyncio.run(scenario())
    assert rejected.startswith(b"HTTP/1.1 503") and b"retry-after: 0.5" in rejected
    assert served.startswith(b"HTTP/1.1 200") and received == 1


def test_sampled_request_is_logged_with_its_attempts(caplog):
    async def scenario():
        async with edge() as (program, server, port):
            program.context.trace_one_in = 1
            server.may_answer.set()
            reader, writer = await asyncio.open_connection(IP, port)
            writer.write(head("/a/b/x", "Content-Length: 0"))
            await reader.readuntil(b"\r\n\r\n")
            while not caplog.records:
                await asyncio.sleep(0)
            program.log_counters()
            writer.close()

    with caplog.at_level("INFO", "edge"):
        asyncio.run(scenario())
    traced = next(record for record in caplog.records if record.message == "Edge: request")
    assert traced.attempt == "me" and [attempt["server"] for attempt in traced.attempts] == ["orders-0"]
    assert (traced.route, traced.configuration, traced.status) == ("shop.example/a/b/", "00000007", 200)
    assert [(attempt["connection"], attempt["not_executed"]) for attempt in traced.attempts] == [(1, False)]
    assert next(record for record in caplog.records if record.message == "Edge: counters").counters == {
        "upstream_rq_answered": 1
    }


FRAGMENTS = [
    b"POST /a/b/x HTTP/1.1\r\n",
    b"GET /a/b/x HTTP/1.1\r\n",
    b"GET /nowhere HTTP/1.0\r\n",
    b"BREW / HTTP/9.9\r\n",
    b"Host: shop.example\r\n",
    b"X-Attempt-Id: a%d\r\n",
    b"X-Deadline-Remaining: 100\r\n",
    b"X-Deadline-Remaining: x\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"\r\n",
    b"body",
    b"4\r\nbody\r\n",
    b"0\r\n\r\n",
    b"\x00\xff\r",
    b"X-Target-Instance: other\r\n",
    b": \r\n",
]


def test_servers_receive_only_valid_requests_whatever_bytes_clients_send():
    """Sends 300 random mixtures of request fragments, each on a new connection; valid requests must still be served."""
    random = Random(5)

    async def scenario():
        async with edge() as (program, server, port):
            server.may_answer.set()
            received = []

            async def request(fields, body):
                received.append((fields, body))
                return await SimulatedServer.request(server, fields, body)

            server.request = request
            served = 0
            for number in range(300):
                reader, writer = await asyncio.open_connection(IP, port)
                parts = [FRAGMENTS[0], *FRAGMENTS[4:7], b"\r\n"]  # a complete request, before its mutations
                for _ in range(random.randrange(1, 5)):
                    parts.insert(random.randrange(len(parts) + 1), random.choice(FRAGMENTS))
                if random.random() < 0.3:
                    del parts[random.randrange(len(parts))]
                data = b"".join(parts)
                writer.write(
                    data.replace(b"%d", b"%d" % number) + (b"" if number % 10 else head("/a/b/x", "Content-Length: 0"))
                )
                writer.write_eof()
                answers = await reader.read()
                assert not answers or answers.startswith((b"HTTP/1.1 ", b"HTTP/1.0 ")), (data, answers)
                writer.close()
                if number % 10 == 0:
                    reader, writer = await asyncio.open_connection(IP, port)
                    writer.write(head("/a/b/x", "Content-Length: 4") + b"body")
                    served += (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
                    writer.close()
            return served, received, program.context.buffered_body_bytes

    served, received, buffered = asyncio.run(scenario())
    assert served == 30 and buffered == 0 and len(received) > 60
    for fields, body in received:
        assert int(fields.get(b"content-length", b"0")) == len(body) and b"transfer-encoding" not in fields
        assert len(body) % 4 == 0 and fields[b"x-target-instance"] == b"orders-0"
