"""Peers of an edge that read late. Guards against connections that are ended as if such a peer were gone."""

import asyncio
import time

import pytest
from configuration.test_parsing import route
from edge.stage import answer, answer_all_requests, run_scenario
from loopback_peers import cut_off

READ_AT_ONCE_BYTES = 16_000
BODY = bytes(1 << 20)  # more than the server's buffers take
LATE_S = 2.5  # more than twice the user time-out
CUT_OFF_NOTICED_S = 2.0  # 1.2 s for the user time-out and a probe, and more for a busy machine
TIMEOUT_MS = 15_000
HOSTS = [
    {
        "host_name": "shop.example",
        "host_routes": [
            route(f"/{kind}/", kind, "views", timeout_s=TIMEOUT_MS / 1000, target_latency_s=TIMEOUT_MS / 1000)
            for kind in ("idempotent", "non_idempotent", "upload")
        ],
    }
]


def reads_late(*pauses_s):
    """Return the script of a server that pauses within each request's body, and then answers with its size."""

    async def script(server, connection):
        while True:
            _, fields = await connection.head()
            remaining = int(fields["content-length"])
            for pause_s in pauses_s:
                await connection._read(READ_AT_ONCE_BYTES)
                remaining -= READ_AT_ONCE_BYTES
                await asyncio.sleep(pause_s)
            body = await connection._read(remaining)
            connection.write(answer(fields, str(len(body) + READ_AT_ONCE_BYTES * len(pauses_s)).encode()))

    return script


# Guards against an upload that is answered with 502 while its server is at work, as it leaves the rest unread meanwhile.
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "upload"])
@pytest.mark.parametrize("pauses_s", [[LATE_S], [0.9, 0.9, 0.9]])
def test_a_request_is_answered_though_its_server_reads_the_rest_of_the_body_late(kind, pauses_s):
    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS)
        sent = [harness.send_request(f"/{kind}/x", BODY, f"a-{n}", TIMEOUT_MS) for n in range(3)]
        for status, _, body in await asyncio.gather(*sent):
            assert (status, body) == (200, str(len(BODY)).encode())

    run_scenario(scenario, reads_late(*pauses_s))


@pytest.mark.parametrize("unread_s", [0, 1.5])
def test_a_server_that_is_cut_off_is_noticed_as_soon_as_before(unread_s):
    """It is cut off at once, with bytes on their way, or once its receive window has been closed for a while."""
    cut_off_at = []

    async def script(server, connection):
        await connection._read(READ_AT_ONCE_BYTES)
        await asyncio.sleep(unread_s)
        cut_off(connection.writer.get_extra_info("socket"))
        cut_off_at.append(time.monotonic())
        await asyncio.sleep(TIMEOUT_MS / 1000)

    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS)
        status, _, _ = await harness.send_request("/upload/x", BODY, "cut", TIMEOUT_MS)
        assert status == 502 and time.monotonic() - cut_off_at[0] < CUT_OFF_NOTICED_S
        assert harness.program.context.counters.values["upstream_rq_reset"] == 1

    run_scenario(scenario, script)


def test_a_server_that_leaves_requests_unread_gets_no_others_while_there_is_another():
    """It may stand still: that is noticed after the user time-out, as ever, but ends no request."""

    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS)
        harness.set_servers(harness.servers[0])
        late = [asyncio.ensure_future(harness.send_request("/upload/x", BODY, f"l-{n}", TIMEOUT_MS)) for n in range(2)]
        while not harness.program.forwarder.endpoints.ejected(time.monotonic_ns()):
            await asyncio.sleep(0.01)
        assert not any(task.done() for task in late)
        harness.set_servers(*harness.servers)
        assert (await harness.send_request("/upload/x", b"short", "other", TIMEOUT_MS))[0] == 200
        assert len(harness.servers[1].request_lines()) == 1
        assert [(await task)[0] for task in late] == [200, 200]

    run_scenario(scenario, reads_late(LATE_S), answer_all_requests)
