"""Refusals of servers, stale ones among them: a client is told 408, 421, 429 or 503 only if its request never runs."""

import asyncio
import time

import pytest
from configuration.test_parsing import route
from edge.stage import SERVICES, answer, run_scenario

from kestrelplank.transport.messages import KeyRangesUpdate, KeyRangesVersion, RangeHolder

REFUSALS = [408, 421, 429, 503]
NOT_EXECUTED = "X-Not-Executed: 1\r\n"
TIMEOUT_MS = 5000
KINDS = ["idempotent", "non_idempotent", "upload"]
SHARDED = [{**SERVICES[0], "sharded": True}]


def configure(harness, max_attempts, services=SERVICES):
    routes = [
        route(f"/{kind}/", kind, "views", timeout_s=9, target_latency_s=9, max_attempts=max_attempts) for kind in KINDS
    ]
    hosts = [{"host_name": "shop.example", "host_routes": routes}]
    harness.configure(virtual_hosts=hosts, service_table=services)


def set_holder(harness, record, server):
    """Tell the edge that this server holds all keys."""
    holder = RangeHolder(0, 65535, server.name, f"127.0.0.1:{server.port}")
    update = KeyRangesUpdate("views", KeyRangesVersion(1, record), [holder])
    harness.program.view.receive(time.monotonic_ns(), "m", update)
    harness.program.context.wake_pending()


async def send_keyed(harness, kind="non_idempotent"):
    """Send a request with a shard key and return its answer."""
    client = await harness.client()
    client.send(f"/{kind}/x", b"pay", "me", TIMEOUT_MS, "POST", "X-Shard-Key: 5")
    return await client.answer()


class RefusingServer:
    """A script: the first sending of each request is refused, the second runs after a copy of that refusal.

    The copy arrives on the connection of the first sending, once the second has arrived. `refused` is set by the first.
    """

    def __init__(self, status=421):
        self.status, self.refused, self.runs = status, asyncio.Event(), []
        self.refused_on = None

    async def __call__(self, server, connection):
        while True:
            fields, _ = await connection.request()
            refusal = answer(fields, b"", self.status, NOT_EXECUTED)
            if self.refused_on is None:
                self.refused_on = connection
                await self.on_refusal(server)
                connection.write(refusal)
                self.refused.set()
                continue
            self.runs.append(fields["x-attempt-id"])
            self.refused_on.write(refusal)
            await self.refused_on.writer.drain()
            await asyncio.sleep(0.05)  # the copy arrives first
            connection.write(answer(fields))

    async def on_refusal(self, server):
        """Hook: called before the refusal is sent."""


# Guards against "refused" for a request that runs: the answer was a copy of the refusal of an earlier sending.
@pytest.mark.parametrize("status", REFUSALS)
def test_a_copy_of_a_refusal_is_not_taken_for_the_answer_when_the_key_has_moved_there_and_back(status):
    first, second = RefusingServer(status), RefusingServer(status)

    async def scenario(harness):
        configure(harness, 3, SHARDED)
        set_holder(harness, 1, harness.servers[0])
        request = asyncio.create_task(send_keyed(harness))
        await first.refused.wait()
        set_holder(harness, 2, harness.servers[1])
        await second.refused.wait()
        set_holder(harness, 3, harness.servers[0])
        assert (await request)[0] == 200 and first.runs == ["me"] and second.runs == []

    run_scenario(scenario, first, second)


# As above: between the two sendings, connecting to another holder failed, which is no attempt.
def test_a_copy_of_a_refusal_is_not_taken_for_the_answer_after_a_failed_connect():
    first = RefusingServer()

    async def scenario(harness):
        configure(harness, 2, SHARDED)
        unreachable = harness.servers[1]
        unreachable.listening.close()
        await unreachable.listening.wait_closed()
        set_holder(harness, 1, harness.servers[0])
        request = asyncio.create_task(send_keyed(harness))
        await first.refused.wait()
        set_holder(harness, 2, unreachable)
        while not harness.program.context.counters.values.get("upstream_rq_connect_fail"):
            await asyncio.sleep(0)
        set_holder(harness, 3, harness.servers[0])
        assert (await request)[0] == 200 and first.runs == ["me"]

    run_scenario(scenario, first, first)


# As above: the second sending goes to the next incarnation, which answers for the first at the same address.
@pytest.mark.parametrize("kind", ["non_idempotent", "upload"])
def test_a_copy_of_a_refusal_is_not_taken_for_the_answer_of_the_next_incarnation(kind):
    script = RefusingServer()

    async def scenario(harness):
        async def list_next_incarnation(server):
            server.name = "views-9"
            harness.set_servers(server)

        script.on_refusal = list_next_incarnation
        configure(harness, 2)
        status, _, _ = await harness.send_request(f"/{kind}/x", b"pay", "me", TIMEOUT_MS)
        assert status == 200 and script.runs == ["me"]

    run_scenario(scenario, script)


# Guards against a second run, and against "refused" for a request that ran: a server says so though it has run it.
@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("kind", ["non_idempotent", "upload"])
def test_a_refusal_without_the_statement_that_it_has_not_run_is_answered_with_502(kind, status):
    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            connection.write(answer(fields, b"busy", status, "Retry-After: 1\r\n"))

    async def scenario(harness):
        configure(harness, 2)
        received, fields, body = await harness.send_request(f"/{kind}/x", b"pay", "me", TIMEOUT_MS)
        assert (received, body) == (502, b"unknown outcome")
        assert "retry-after" not in fields and "x-server-seal" not in fields
        assert sum(len(server.request_lines()) for server in harness.servers) == 1

    run_scenario(scenario, script, script)


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("refusing, received", [(1, 200), (2, 502)])
def test_an_idempotent_request_is_retried_after_a_refusal_without_the_statement(status, refusing, received):
    """The client gets no refusal of a server that may have run the request, also if its retry is refused as well."""
    refused = []

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            if len(refused) < refusing:
                refused.append(server.name)
                connection.write(answer(fields, b"busy", status))
            else:
                connection.write(answer(fields))

    async def scenario(harness):
        configure(harness, 2)
        assert (await harness.send_request("/idempotent/x", b"", "me", TIMEOUT_MS))[0] == received
        lines = [len(server.request_lines()) for server in harness.servers]
        assert lines == [1, 1]

    run_scenario(scenario, script, script)


# Guards against "refused" for a request that is under way again when the edge stops.
def test_a_refused_request_under_way_again_at_the_end_of_the_grace_period_gets_502():
    arrived = []

    async def script(server, connection):
        fields, _ = await connection.request()
        arrived.append(server.name)
        if len(arrived) == 1:
            connection.write(answer(fields, b"", 503, NOT_EXECUTED))
        await asyncio.Event().wait()

    async def scenario(harness):
        configure(harness, 2)
        harness.program.server.config.timeout_graceful_shutdown = 0.05
        request = asyncio.create_task(harness.send_request("/non_idempotent/x", b"pay", "me", TIMEOUT_MS))
        while len(arrived) < 2:
            await asyncio.sleep(0)
        await harness.program.drain(0)
        status, fields, _ = await request
        assert status == 502 and "retry-after" not in fields

    run_scenario(scenario, script, script)


@pytest.mark.parametrize("status", REFUSALS)
def test_a_request_that_is_refused_by_all_its_servers_gets_503(status):
    """Each server states that it has not run it, so its client may send it again."""

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            connection.write(answer(fields, b"", status, NOT_EXECUTED))

    async def scenario(harness):
        configure(harness, 2)
        received, fields, _ = await harness.send_request("/non_idempotent/x", b"pay", "me", TIMEOUT_MS)
        assert received == 503 and "retry-after" in fields
        assert [len(server.request_lines()) for server in harness.servers] == [1, 1]

    run_scenario(scenario, script, script)
