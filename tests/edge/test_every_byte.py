"""Connections that end at each byte of a request or an answer.

Guards against repeated non-idempotent requests, and truncated requests or answers that are taken for complete ones.
"""

import asyncio
import contextlib
import socket

import pytest
from configuration.test_parsing import route
from edge.stage import answer, answer_all_requests, request_head, run_scenario

from kestrelplank.edge.counters import UPSTREAM_RQ_ENDED

NON_IDEMPOTENT, IDEMPOTENT = "/once/x", "/safe/x"
# Longer than a busy machine holds the test up.
PATIENT_TIMEOUT_MS = 15_000
PATIENT_ROUTE = route("/once/", "non_idempotent", "views", timeout_s=PATIENT_TIMEOUT_MS / 1000)
PATIENT_HOSTS = [{"host_name": "shop.example", "host_routes": [PATIENT_ROUTE]}]
ANSWER = len(answer({"x-attempt-id": "a-000"}))
REQUEST = request_head(NON_IDEMPOTENT, 5, "cut") + b"whole"


def received_byte_count(server):
    """Return how many bytes the server has received on all connections."""
    return sum(len(connection.received) for connection in server.connections)


@pytest.mark.parametrize("end", ["reset", "close"])
def test_answer_truncated_at_any_byte_gives_502_and_no_retry_of_a_non_idempotent_request(end):
    """Counts bytes and connections: httpcore, h11 and uvicorn must not send a request again on their own."""
    truncate_at, deadline_digits = [], []

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            deadline_digits.append(len(fields["x-deadline-remaining"]))  # varies with the time left
            connection.write(answer(fields)[: truncate_at[0]])
            if truncate_at[0] < ANSWER:
                await connection.writer.drain()
                getattr(connection, end)()
                return

    async def scenario(harness):
        harness.configure(virtual_hosts=PATIENT_HOSTS)
        server, sizes, request_count = harness.servers[0], [], 0
        for position in range(ANSWER + 1):
            truncate_at[:] = [position]
            before, attempt_id = received_byte_count(server), f"a-{position:03}"
            status, fields, body = await harness.send_request(NON_IDEMPOTENT, b"pay", attempt_id, PATIENT_TIMEOUT_MS)
            sizes.append(received_byte_count(server) - before - deadline_digits[position])
            assert (status, body) == ((200, b"whole") if position == ANSWER else (502, b"unknown outcome")), position
            assert "retry-after" not in fields
            request_count += 1
        counts = harness.program.context.counters.values
        # On a busy machine a connect may time out and be repeated.
        failed_connects = counts.get("upstream_rq_connect_fail", 0)
        assert sum(counts.get(name, 0) for name in UPSTREAM_RQ_ENDED.values()) == request_count + failed_connects
        assert (
            len(server.request_lines()) == request_count == ANSWER + 1
            and len(server.connections) <= request_count + failed_connects
        )
        assert len([connection for connection in server.connections if connection.received]) == request_count
        assert len(set(sizes)) == 1  # every request was sent once, with the same number of bytes

    run_scenario(scenario, script)


def test_idempotent_request_with_truncated_answers_is_sent_exactly_twice():
    truncate_at = []

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields)[: truncate_at[0]])
        await connection.writer.drain()

    async def scenario(harness):
        harness.program.forwarder.retry_budget.capacity = lambda: 10_000.0
        harness.program.forwarder.retry_budget._balance.clear()
        for position in range(0, ANSWER, 3):
            truncate_at[:] = [position]
            assert (await harness.send_request(IDEMPOTENT, b"", f"a-{position:03}"))[0] == 502
        request_counts = [len(server.request_lines()) for server in harness.servers]
        assert sum(request_counts) == 2 * len(range(0, ANSWER, 3)) and request_counts[0] == request_counts[1]

    run_scenario(scenario, script, script)


@pytest.mark.parametrize("end", ["reset", "close", "half-close"])
def test_request_truncated_at_any_byte_reaches_no_server(end):
    async def scenario(harness):
        for position in range(len(REQUEST)):
            client = await harness.client()
            client.writer.write(REQUEST[:position])
            await asyncio.sleep(0)
            if end == "half-close":
                client.writer.write_eof()
            else:
                if end == "reset":
                    client.reset()
                client.close()
        while harness.program.server.server_state.connections or harness.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        assert not harness.servers[0].connections
        # Complete requests are still served.
        assert (await harness.send_request(NON_IDEMPOTENT, b"whole", "whole"))[0] == 200

    run_scenario(scenario, answer_all_requests)


def test_request_split_at_any_byte_arrives_complete():
    async def scenario(harness):
        client = await harness.client()
        for position in range(1, len(REQUEST)):
            client.writer.write(REQUEST[:position])
            for _ in range(3):
                await asyncio.sleep(0)
            client.writer.write(REQUEST[position:])
            assert (await client.answer())[0] == 200
        assert len(harness.servers[0].request_lines()) == len(REQUEST) - 1 and len(harness.servers[0].connections) == 1

    run_scenario(scenario, answer_all_requests)


def test_failed_connect_gives_503_and_not_504():
    """Also if the client's deadline ends during the connect: nothing was sent, so the answer is 503 instead of 504."""

    async def scenario(harness):
        with socket.socket() as full_listener, contextlib.ExitStack() as waiting:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            for _ in range(4):  # fills the accept queue: further SYN packets get no answer
                filler = waiting.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(full_listener.getsockname())
            harness.servers[0].name, harness.servers[0].port = "views-9", full_listener.getsockname()[1]
            harness.set_servers(harness.servers[0])
            status, _, body = await harness.send_request(NON_IDEMPOTENT, b"pay", "me", 120)
        assert (status, body) in ((503, b"too late to begin"), (503, b"no server"))
        assert harness.program.context.counters.values["upstream_rq_connect_fail"] >= 1

    run_scenario(scenario, answer_all_requests)
