"""Peers of an edge that read late. Guards against connections that are ended as if such a peer were gone."""

import asyncio
import socket
import time

import pytest
from configuration.test_parsing import route
from edge.stage import IP, LIMITS, Client, answer, answer_all_requests, run_scenario
from loopback_peers import cut_off

from kestrelplank.edge import unread_requests

READ_AT_ONCE_BYTES = 16_000
BODY = bytes(1 << 20)  # more than the server's buffers take
LATE_S = 2.5  # more than twice the user time-out
CUT_OFF_NOTICED_S = 2.0  # at most 1.4 s and a check, and more for a busy machine
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
def test_a_server_that_is_cut_off_is_noticed_within_two_seconds(unread_s):
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


def answers_early(reads_on, received, more=""):
    """Return the script of a server that answers at once, and reads the rest of the body once `reads_on` is set."""

    async def script(server, connection):
        _, fields = await connection.head()
        body = await connection._read(READ_AT_ONCE_BYTES)
        connection.write(answer(fields, more=more))
        await reads_on.wait()
        received.append(len(body + await connection._read(int(fields["content-length"]) - len(body))))
        await connection.reader.read()  # until the connection has ended in order
        received.append("end")

    return script


# Guards against a body that is cut off as its server has answered and reads the rest later: the client's upload counts.
@pytest.mark.parametrize("size", [400_000, 6 << 20])  # fits into the buffers of the kernel, or not
@pytest.mark.parametrize("more", ["", "Connection: close\r\n"])
def test_a_server_that_answers_early_is_sent_the_rest_of_the_body(size, more):
    reads_on, received = asyncio.Event(), []

    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS)
        context = harness.program.context
        assert (await harness.send_request("/upload/x", bytes(size), "early", TIMEOUT_MS))[0] == 200
        await asyncio.sleep(LATE_S)
        assert context.buffered_body_bytes == size  # as long as it has not been sent
        reads_on.set()
        while len(received) < 2:
            await asyncio.sleep(0.01)
        assert received == [size, "end"]
        while context.buffered_body_bytes:
            await asyncio.sleep(0.01)

    run_scenario(scenario, answers_early(reads_on, received, more))


def test_an_edge_that_shuts_down_waits_for_a_server_that_answered_early():
    reads_on, received = asyncio.Event(), []

    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS)
        assert (await harness.send_request("/upload/x", BODY, "early", TIMEOUT_MS))[0] == 200
        stopping = asyncio.ensure_future(harness.program.drain(0))
        await asyncio.sleep(1.5)
        assert not stopping.done()
        reads_on.set()
        await stopping
        assert received == [len(BODY), "end"]

    run_scenario(scenario, answers_early(reads_on, received))


def test_a_server_that_answers_early_and_reads_nothing_more_is_given_up(monkeypatch):
    monkeypatch.setattr(unread_requests, "MAX_UNREAD_S", 0.3)
    reads_on = asyncio.Event()

    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS)
        assert (await harness.send_request("/upload/x", BODY, "early", TIMEOUT_MS))[0] == 200
        while harness.program.context.buffered_body_bytes:
            await asyncio.sleep(0.01)

    run_scenario(scenario, answers_early(reads_on, []))


def test_connections_with_an_unread_body_count_towards_the_limit_of_connections_to_a_server():
    """The oldest is reset to make room, as the client has its answer."""
    reads_on, received = asyncio.Event(), []

    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS, service_table=[{"name": "views", "max_connections": 2}])
        for number in range(4):
            assert (await harness.send_request("/upload/x", BODY, f"e-{number}", TIMEOUT_MS))[0] == 200
        assert harness.program.connections._unread.count(f"{IP}:{harness.servers[0].port}") == 2
        assert len(harness.servers[0].connections) == 4
        reads_on.set()
        while len(received) < 4:
            await asyncio.sleep(0.01)
        assert received.count(len(BODY)) == 2

    run_scenario(scenario, answers_early(reads_on, received))


LONG_ANSWER = bytes(4 << 20)  # more than all buffers on the way to the client take


async def answer_long(server, connection):
    """Script of a server whose answers are long."""
    while True:
        fields, _ = await connection.request()
        connection.write(answer(fields, LONG_ANSWER))


async def client_with_small_window(harness):
    """Return a client whose kernel takes little of an answer that it has not read yet."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    sock.connect((IP, harness.port))
    client = Client(*await asyncio.open_connection(sock=sock, limit=1 << 10))
    harness.clients.append(client)
    return client


# Guards against an answer that is cut off, or a connection that is closed, as its client has a full window for seconds.
@pytest.mark.parametrize("meanwhile", ["nothing", "idle time-out", "shutdown"])
def test_a_client_that_reads_its_answer_late_gets_all_of_it(meanwhile):
    async def scenario(harness):
        harness.configure(virtual_hosts=HOSTS, limits=LIMITS | {"idle_timeout_s": 1})
        client = await client_with_small_window(harness)
        client.send("/upload/x", b"", "late", TIMEOUT_MS)
        if meanwhile == "shutdown":
            await asyncio.sleep(0.3)
            stopping = asyncio.ensure_future(harness.program.drain(0.3))
        await asyncio.sleep(2.2)
        assert (await client.answer())[2] == LONG_ANSWER
        if meanwhile == "shutdown":
            assert await client.ended()
            await stopping
        if meanwhile == "idle time-out":  # it counts from when the client has read the answer
            await asyncio.sleep(0.5)
            client.send("/upload/x", b"", "next", TIMEOUT_MS)
            assert (await client.answer())[0] == 200

    run_scenario(scenario, answer_long)
