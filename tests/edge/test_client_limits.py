"""What bounds clients, and that nothing else ends their connections."""

import asyncio

import pytest
from edge.stage import LIMITS, played, request_head, serving

SAFE = "/safe/x"
LONG_AGO = 10_000.0


async def rested(stage, client):
    """A kept connection that has served a request and rests."""
    client.send(SAFE)
    assert (await client.answer())[0] == 200
    return next(iter(stage.program.server.server_state.connections))


def test_before_a_configuration_no_connection_is_ended():
    """Its limit is not known: one that is longer than any default may be about to come."""

    async def play(stage):
        client = await stage.client()
        client.send(SAFE)
        assert (await client.answer())[0] == 503
        protocol = next(iter(stage.program.server.server_state.connections))
        protocol._idle_since_s -= LONG_AGO
        protocol._on_idle_timeout()
        assert not protocol.transport.is_closing() and protocol._timer is not None
        stage.configure()
        protocol._on_idle_timeout()
        assert protocol.transport.is_closing()

    played(play, serving, configured=False)


@pytest.mark.parametrize("before, after, rests, ends", [(15, 60, 59, False), (15, 60, 61, True), (60, 15, 59, False), (60, 15, 61, True), (15, 15, 14.9, False), (15, 15, 15.1, True)])  # fmt: skip
def test_a_connection_may_be_idle_for_the_longer_limit_of_those_in_force_meanwhile(before, after, rests, ends):
    async def play(stage):
        stage.configure(limits={**LIMITS, "idle_timeout_s": before})
        protocol = await rested(stage, await stage.client())
        stage.configure("00000009", limits={**LIMITS, "idle_timeout_s": after})
        protocol._idle_since_s -= rests
        protocol._on_idle_timeout()
        assert protocol.transport.is_closing() == ends

    played(play, serving)


def test_a_connection_that_never_sends_anything_or_only_empty_lines_is_idle_too():
    async def play(stage):
        client = await stage.client()
        while not stage.program.server.server_state.connections:
            await asyncio.sleep(0)
        protocol = next(iter(stage.program.server.server_state.connections))
        assert protocol._timer is not None
        client.writer.write(b"\r\n")
        timer = protocol._timer
        while protocol._timer is timer:
            await asyncio.sleep(0)
        protocol._idle_since_s -= LONG_AGO
        protocol._on_idle_timeout()
        assert await client.ended()

    played(play, serving)


@pytest.mark.parametrize("pieces", [1, 7])
@pytest.mark.parametrize("size, status", [(3000, 200), (9000, 431)])
def test_a_head_beyond_the_limit_is_refused_however_it_comes(size, status, pieces):
    async def play(stage):
        client = await stage.client()
        head = request_head(SAFE, 0, "me", 2000, "GET", "X-Long: " + "x" * size)
        step = len(head) // pieces
        for place in range(0, len(head), step):
            client.writer.write(head[place : place + step])
            for _ in range(3):
                await asyncio.sleep(0)
        assert (await client.answer())[0] == status
        assert len(stage.servers[0].sent()) == (status == 200)

    played(play, serving)


def test_a_long_body_before_it_does_not_count_as_part_of_a_head():
    async def play(stage):
        client = await stage.client()
        client.send("/up/x", bytes(60_000))
        client.writer.write(request_head(SAFE, 0, "two")[:-2])
        assert (await client.answer())[0] == 200
        client.writer.write(b"\r\n")
        assert (await client.answer())[0] == 200

    played(play, serving)


def test_a_head_that_takes_too_long_is_refused_and_never_in_the_place_of_another_answer():
    arrived, let = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        await connection.request()
        arrived.set()
        await let.wait()
        connection.write(b"HTTP/1.1 200 X\r\nX-Attempt-Id: me\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n")

    async def play(stage):
        first, second = await stage.client(), await stage.client()
        first.writer.write(request_head(SAFE, 0)[:-2])
        second.send("/once/x")
        await arrived.wait()
        second.writer.write(request_head(SAFE, 0)[:-2])
        protocols = list(stage.program.server.server_state.connections)
        while not all(protocol._reading_head for protocol in protocols):
            await asyncio.sleep(0)
        for protocol in protocols:
            protocol._on_head_timeout()
        assert (await first.answer())[0] == 408 and await first.ended()
        let.set()
        assert (await second.answer())[0] == 200 and await second.ended()

    played(play, script)


def test_a_body_that_does_not_come_in_its_clients_time_is_refused_with_a_promise():
    async def play(stage):
        client = await stage.client()
        client.writer.write(request_head("/up/x", 9, "me", 50) + b"half")
        status, fields, _ = await client.answer()
        assert (status, fields["connection"]) == (408, "close") and await client.ended()
        assert not stage.servers[0].connections and stage.program.context.buffered_body_bytes == 0

    played(play, serving)


@pytest.mark.parametrize(
    "fields",
    [
        ["X-Attempt-Id: a", "X-Attempt-Id: b"],
        ["X-Attempt-Id: "],
        [],
        ["X-Attempt-Id: a", "X-Shard-Key: 1", "X-Shard-Key: 2"],
        ["X-Attempt-Id: a", "X-Deadline-Remaining: 9", "X-Deadline-Remaining: 900"],
        ["X-Attempt-Id: a", "Host: other.example"],
    ],
)
def test_a_request_whose_identity_is_ambiguous_reaches_no_server(fields):
    """Two ids would be two requests: which of them an answer belongs to could not be told."""

    async def play(stage):
        client = await stage.client()
        client.writer.write("\r\n".join(["GET /safe/x HTTP/1.1", "Host: shop.example", *fields, "", ""]).encode())
        assert (await client.answer())[0] in (400, 404)
        assert not stage.servers[0].sent()
        assert all(endpoint.failures == 0 for endpoint in stage.program.forwarder.endpoints.by_name.values())

    played(play, serving)
