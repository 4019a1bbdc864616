"""Limits on clients: sizes and time-outs of heads and bodies, idle connections and ambiguous requests."""

import asyncio

import pytest
from edge.stage import LIMITS, answer_all_requests, request_head, run_scenario

IDEMPOTENT = "/safe/x"
LONG_IDLE_S = 10_000.0


async def idle_protocol(harness, client):
    """Send a request on the client's connection; return the edge's protocol object, which is then idle."""
    client.send(IDEMPOTENT)
    assert (await client.answer())[0] == 200
    return next(iter(harness.program.server.server_state.connections))


def test_idle_connection_stays_open_until_a_configuration_sets_a_limit():
    """The configured limit may be longer than any default."""

    async def scenario(harness):
        client = await harness.client()
        client.send(IDEMPOTENT)
        assert (await client.answer())[0] == 503
        protocol = next(iter(harness.program.server.server_state.connections))
        protocol._idle_since_s -= LONG_IDLE_S
        protocol._on_idle_timeout()
        assert not protocol.transport.is_closing() and protocol._timer is not None
        harness.configure()
        protocol._on_idle_timeout()
        assert protocol.transport.is_closing()

    run_scenario(scenario, answer_all_requests, configured=False)


@pytest.mark.parametrize("before, after, idle_s, closes", [(15, 60, 59, False), (15, 60, 61, True), (60, 15, 59, False), (60, 15, 61, True), (15, 15, 14.9, False), (15, 15, 15.1, True)])  # fmt: skip
def test_idle_timeout_is_the_longer_of_the_limits_before_and_after_a_configuration_change(
    before, after, idle_s, closes
):
    async def scenario(harness):
        harness.configure(limits={**LIMITS, "idle_timeout_s": before})
        protocol = await idle_protocol(harness, await harness.client())
        harness.configure("00000009", limits={**LIMITS, "idle_timeout_s": after})
        protocol._idle_since_s -= idle_s
        protocol._on_idle_timeout()
        assert protocol.transport.is_closing() == closes

    run_scenario(scenario, answer_all_requests)


def test_connection_without_a_request_or_with_only_empty_lines_times_out_as_idle():
    async def scenario(harness):
        client = await harness.client()
        while not harness.program.server.server_state.connections:
            await asyncio.sleep(0)
        protocol = next(iter(harness.program.server.server_state.connections))
        assert protocol._timer is not None
        client.writer.write(b"\r\n")
        timer = protocol._timer
        while protocol._timer is timer:
            await asyncio.sleep(0)
        protocol._idle_since_s -= LONG_IDLE_S
        protocol._on_idle_timeout()
        assert await client.ended()

    run_scenario(scenario, answer_all_requests)


@pytest.mark.parametrize("fragments", [1, 7])
@pytest.mark.parametrize("size, status", [(3000, 200), (9000, 431)])
def test_request_head_over_the_size_limit_gets_431_in_one_write_or_several(size, status, fragments):
    async def scenario(harness):
        client = await harness.client()
        head = request_head(IDEMPOTENT, 0, "me", 2000, "GET", "X-Long: " + "x" * size)
        step = len(head) // fragments
        for position in range(0, len(head), step):
            client.writer.write(head[position : position + step])
            for _ in range(3):
                await asyncio.sleep(0)
        assert (await client.answer())[0] == status
        assert len(harness.servers[0].request_lines()) == (status == 200)

    run_scenario(scenario, answer_all_requests)


def test_bytes_of_a_preceding_body_do_not_count_toward_the_head_limit():
    async def scenario(harness):
        client = await harness.client()
        client.send("/up/x", bytes(60_000))
        client.writer.write(request_head(IDEMPOTENT, 0, "two")[:-2])
        assert (await client.answer())[0] == 200
        client.writer.write(b"\r\n")
        assert (await client.answer())[0] == 200

    run_scenario(scenario, answer_all_requests)


def test_head_timeout_sends_408_or_closes_after_the_answer_in_progress():
    arrived, may_answer = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        await connection.request()
        arrived.set()
        await may_answer.wait()
        connection.write(b"HTTP/1.1 200 X\r\nX-Attempt-Id: me\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n")

    async def scenario(harness):
        first, second = await harness.client(), await harness.client()
        first.writer.write(request_head(IDEMPOTENT, 0)[:-2])
        second.send("/once/x")
        await arrived.wait()
        second.writer.write(request_head(IDEMPOTENT, 0)[:-2])
        protocols = list(harness.program.server.server_state.connections)
        while not all(protocol._reading_head for protocol in protocols):
            await asyncio.sleep(0)
        for protocol in protocols:
            protocol._on_head_timeout()
        assert (await first.answer())[0] == 408 and await first.ended()
        may_answer.set()
        assert (await second.answer())[0] == 200 and await second.ended()

    run_scenario(scenario, script)


def test_body_slower_than_the_client_timeout_gets_408_and_reaches_no_server():
    async def scenario(harness):
        client = await harness.client()
        client.writer.write(request_head("/up/x", 9, "me", 50) + b"half")
        status, fields, _ = await client.answer()
        assert (status, fields["connection"]) == (408, "close") and await client.ended()
        assert not harness.servers[0].connections and harness.program.context.buffered_body_bytes == 0

    run_scenario(scenario, answer_all_requests)


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
def test_ambiguous_request_reaches_no_server(fields):
    """With two ids, an answer could not be attributed to one request."""

    async def scenario(harness):
        client = await harness.client()
        client.writer.write("\r\n".join(["GET /safe/x HTTP/1.1", "Host: shop.example", *fields, "", ""]).encode())
        assert (await client.answer())[0] in (400, 404)
        assert not harness.servers[0].request_lines()
        assert all(endpoint.failures == 0 for endpoint in harness.program.forwarder.endpoints.by_name.values())

    run_scenario(scenario, answer_all_requests)


# Guards against a request that runs by the last of two hosts (RFC 9112, section 3.2): a server may go by the first.
@pytest.mark.parametrize(
    "hosts", [["shop.example", "pay.example"], ["pay.example", "shop.example"], ["shop.example"] * 2]
)
def test_two_host_headers_are_answered_400_whichever_has_a_route(hosts):
    async def scenario(harness):
        client = await harness.client()
        lines = ["GET /safe/x HTTP/1.1", *(f"Host: {host}" for host in hosts), "X-Attempt-Id: a", "", ""]
        client.writer.write("\r\n".join(lines).encode())
        assert (await client.answer())[0] == 400
        assert not harness.servers[0].connections

    run_scenario(scenario, answer_all_requests)
