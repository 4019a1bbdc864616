"""Failures and shutdowns while requests are in progress.

Guards against answers given to the wrong request, repeated non-idempotent requests and requests lost at shutdown.
"""

import asyncio
import os
import signal
import time

import pytest
from configuration.test_parsing import route
from edge.stage import answer, answer_all_requests, request_head, run_scenario

NON_IDEMPOTENT, IDEMPOTENT = "/once/x", "/safe/x"


def failing_script(kind):
    """Return a server script that fails the first attempt at each request after reading it, and answers later ones."""
    failed = []

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            if fields["x-attempt-id"] in failed:
                connection.write(answer(fields))
                continue
            failed.append(fields["x-attempt-id"])
            if "in the middle" in kind:
                connection.write(answer(fields, b"x" * 1000)[:-500])
                await connection.writer.drain()
            if "reset" in kind:
                connection.reset()
            else:
                connection.close()
            return

    return script


KINDS = ["reset before", "close before", "reset in the middle", "close in the middle"]


@pytest.mark.parametrize("kind", KINDS)
def test_lost_answer_gives_502_for_a_non_idempotent_and_a_retry_for_an_idempotent_request(kind):
    """Without an answer, a non-idempotent request is sent once and gets no `Retry-After`."""

    async def scenario(harness):
        status, fields, body = await harness.send_request(NON_IDEMPOTENT, b"pay", "one")
        assert (status, "retry-after" in fields) == (502, False) and b"whole" not in body
        assert sum(len(server.request_lines()) for server in harness.servers) == 1
        status, fields, body = await harness.send_request(IDEMPOTENT, b"", "two")
        assert (status, body) == (200, b"whole") and fields["x-attempt-id"] == "two"
        assert sum(len(server.request_lines()) for server in harness.servers) == 3  # of which two idempotent

    script = failing_script(kind)
    run_scenario(scenario, script, script)


def test_late_answer_of_a_timed_out_request_is_not_given_to_the_next_request():
    """The late answer arrives on a connection that has been reset."""
    late = asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        if fields["x-attempt-id"] == "slow":
            await late.wait()
            connection.write(answer(fields, b"late"))
            return
        late.set()
        await asyncio.sleep(0)
        connection.write(answer(fields, b"next"))

    async def scenario(harness):
        status, fields, _ = await harness.send_request(NON_IDEMPOTENT, b"", "slow", 150)
        assert status == 504 and "retry-after" not in fields
        status, fields, body = await harness.send_request(NON_IDEMPOTENT, b"", "next")
        assert (status, fields["x-attempt-id"], body) == (200, "next", b"next")
        assert len(harness.servers[0].connections) == 2

    run_scenario(scenario, script)


def test_request_for_a_former_incarnation_gets_503_until_the_server_list_is_updated():
    """A new incarnation at the same address answers 421; the connection to the former one is not reused."""

    async def former_incarnation(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields, b"former"))
        connection.close()

    async def new_incarnation(server, connection):
        while True:
            fields, _ = await connection.request()
            is_target = fields["x-target-instance"] == server.name
            refusal = answer(fields, b"", 421, "X-Not-Executed: 1\r\n")
            connection.write(answer(fields, b"present") if is_target else refusal)

    async def scenario(harness):
        server = harness.servers[0]
        assert (await harness.send_request(NON_IDEMPOTENT, b"", "one"))[2] == b"former"
        server.listening.close()
        await server.listening.wait_closed()
        server.name, server.script = "views-9", new_incarnation
        await server.start(server.port)
        status, fields, _ = await harness.send_request(NON_IDEMPOTENT, b"", "two")
        assert status == 503 and "retry-after" in fields  # the server states that it has not run
        harness.set_servers(server)
        assert (await harness.send_request(NON_IDEMPOTENT, b"", "three"))[2] == b"present"

    run_scenario(scenario, former_incarnation)


def test_answer_to_an_earlier_request_on_the_connection_is_skipped():
    """The answer to an earlier request, with that request's id, precedes the answer to the current request."""

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer({"x-attempt-id": "older"}, b"not yours"))
        connection.write(answer(fields, b"yours"))
        await connection.reader.read()

    async def scenario(harness):
        status, fields, body = await harness.send_request(NON_IDEMPOTENT, b"", "current")
        assert (status, fields["x-attempt-id"], body) == (200, "current", b"yours")

    run_scenario(scenario, script)


def test_duplicate_server_answer_does_not_shift_the_answers_to_pipelined_requests():
    """A client pipelines requests and the server answers the first twice; each request gets its own answer once."""

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            attempt_id = fields["x-attempt-id"].encode()
            connection.write(answer(fields, attempt_id))
            if attempt_id == b"one":
                connection.write(answer(fields, b"again"))

    async def scenario(harness):
        client = await harness.client()
        client.writer.write(
            request_head(NON_IDEMPOTENT, 0, "one")
            + request_head(NON_IDEMPOTENT, 0, "two")
            + request_head("/nowhere", 0, "three")
        )
        answers = [await client.answer() for _ in range(3)]
        assert [(status, body) for status, _, body in answers] == [(200, b"one"), (200, b"two"), (404, b"no route")]
        assert [fields.get("x-attempt-id") for _, fields, _ in answers] == ["one", "two", None]
        assert len(harness.servers[0].request_lines()) == 2

    run_scenario(scenario, script)


@pytest.mark.parametrize("status, more", [(503, "X-Not-Executed: 1\r\n"), (200, ""), (500, "")])
def test_answer_during_an_upload_is_forwarded_and_its_connection_is_not_reused(status, more):
    """A server answers and stops reading: its answer is forwarded at once; the next request uses a new connection."""

    async def script(server, connection):
        fields = (await connection.head())[1]
        if fields["x-attempt-id"] == "later":
            await connection._read(int(fields["content-length"]))
            connection.write(answer(fields, b"later"))
            return
        connection.write(answer(fields, b"early", status, more))
        await asyncio.Event().wait()

    async def scenario(harness):
        request = asyncio.create_task(harness.send_request("/up/x", bytes(6 << 20), "up", 15_000))
        received_status, fields, body = await request
        assert received_status == status and (status == 503 or body == b"early")
        assert ("retry-after" in fields) == (status == 503)
        assert (await harness.send_request("/up/x", b"small", "later"))[2] == b"later"
        assert len(harness.servers[0].connections) == 2

    run_scenario(scenario, script)


def test_sighup_and_a_new_configuration_do_not_interrupt_an_upload():
    """The upload completes although the new configuration has neither its route nor its service."""

    async def scenario(harness):
        stop = asyncio.Event()
        harness.program.watch_signals(stop)
        client = await harness.client()
        client.writer.write(request_head("/up/x", 6) + b"abc")
        while not harness.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGHUP)
        harness.configure("00000009", limits={"idle_timeout_s": 5})
        client.writer.write(b"def")
        status, fields, body = await client.answer()
        assert (status, body) == (200, b"whole") and "connection" not in fields
        client.send("/up/x")
        assert (await client.answer())[0] == 200
        assert not stop.is_set() and len(harness.servers[0].connections) == 1

    run_scenario(scenario, answer_all_requests)


def test_request_is_retried_under_the_configuration_in_force_at_its_arrival():
    """The new configuration has neither the request's route nor its service."""
    arrived, changed = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        if not arrived.is_set():
            arrived.set()
            await changed.wait()
            connection.reset()
            return
        connection.write(answer(fields))

    async def scenario(harness):
        request = asyncio.create_task(harness.send_request(IDEMPOTENT))
        await arrived.wait()
        harness.configure("00000009", service_table=[{"name": "other"}], virtual_hosts=[])
        changed.set()
        assert (await request)[0] == 200

    run_scenario(scenario, script, script)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_request_uses_a_new_connection_if_the_idle_one_has_an_unread_close_or_reset(how):
    """The end of the connection is in the kernel and not yet read by the event loop."""
    may_close = asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields))
        if fields["x-attempt-id"] == "one":
            await may_close.wait()
            getattr(connection, how)()
        else:
            await connection.reader.read()

    async def scenario(harness):
        server, connections = harness.servers[0], harness.program.connections
        assert (await harness.send_request(NON_IDEMPOTENT, b"", "one"))[0] == 200
        idle = next(iter(connections._connections[f"127.0.0.1:{server.port}"].values()))
        idle.stream.transport.pause_reading()  # keeps the end of the connection unread
        may_close.set()
        await server.tasks[0]
        assert (await harness.send_request(NON_IDEMPOTENT, b"pay", "two"))[0] == 200
        assert [len(connection.received) > 0 for connection in server.connections] == [True, True]
        assert len(server.request_lines()) == 2

    run_scenario(scenario, script)


def test_non_idempotent_request_is_not_retried_if_its_reused_connection_is_reset():
    """The server resets the connection while the request is in transit, so it may have been read."""

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields))
        await connection.reader.readexactly(1)
        connection.reset()

    async def scenario(harness):
        assert (await harness.send_request(NON_IDEMPOTENT, b"", "one"))[0] == 200
        status, fields, _ = await harness.send_request(NON_IDEMPOTENT, b"pay", "two")
        assert status == 502 and "retry-after" not in fields
        assert len(harness.servers[0].connections) == 1

    run_scenario(scenario, script)


def test_idle_timeout_does_not_close_a_connection_with_an_unread_request():
    """The idle time-out expires while a request is unread in the kernel; the request is answered."""

    async def scenario(harness):
        client = await harness.client()
        client.send(IDEMPOTENT)
        assert (await client.answer())[0] == 200
        protocol = next(iter(harness.program.server.server_state.connections))
        protocol._idle_since_s -= 100  # over the idle limit
        protocol.transport.pause_reading()  # keeps the request unread
        client.send(IDEMPOTENT, b"", "two")
        await client.writer.drain()
        protocol._on_idle_timeout()
        assert not protocol.transport.is_closing()
        protocol.transport.resume_reading()
        status, fields, _ = await client.answer()
        assert (status, fields["x-attempt-id"]) == (200, "two")

    run_scenario(scenario, answer_all_requests)


@pytest.mark.parametrize(
    "first_bytes",
    [b"", b"PO", request_head(IDEMPOTENT, 5)[:-2], request_head(IDEMPOTENT, 5), request_head(IDEMPOTENT, 5) + b"ab"],
)
def test_request_that_has_started_at_shutdown_is_answered(first_bytes):
    """Covers a request read up to different points, and one that is unread in the kernel, on a reused connection."""

    async def scenario(harness):
        request = request_head(IDEMPOTENT, 5) + b"whole"
        client = await harness.client()
        client.send(IDEMPOTENT)
        assert (await client.answer())[0] == 200
        protocol = next(iter(harness.program.server.server_state.connections))
        if first_bytes:
            client.writer.write(first_bytes)
            while not protocol._reading_head and not protocol._request_in_progress:
                await asyncio.sleep(0)
            draining = asyncio.create_task(harness.program.drain(0))
        else:
            protocol.transport.pause_reading()
            draining = asyncio.create_task(harness.program.drain(0))
            client.writer.write(request)
        while not harness.program.server.should_exit or harness.program.server.servers[0].is_serving():
            await asyncio.sleep(0)
        if first_bytes:
            client.writer.write(request[len(first_bytes) :])
        else:
            protocol.transport.resume_reading()
        status, fields, _ = await client.answer()
        assert (status, fields["connection"]) == (200, "close") and await client.ended()
        await draining

    run_scenario(scenario, answer_all_requests)


def test_at_the_end_of_the_grace_period_sent_requests_get_502_and_unsent_ones_503():
    """A request sent to a server may have run (502); one that waits in the edge has not (503 with `Retry-After`)."""

    async def script(server, connection):
        await connection.request()
        await asyncio.Event().wait()

    async def scenario(harness):
        harness.program.server.config.timeout_graceful_shutdown = 0.05
        sent_requests = [
            asyncio.create_task(harness.send_request(NON_IDEMPOTENT, b"", f"out-{number}", 9000)) for number in range(8)
        ]
        while len(harness.servers[0].request_lines()) < 8:
            await asyncio.sleep(0)
        waiting = asyncio.create_task(harness.send_request(NON_IDEMPOTENT, b"", "waits", 9000))
        uploading = await harness.client()
        uploading.writer.write(request_head(NON_IDEMPOTENT, 5, "half") + b"ab")
        while (
            not harness.program.context.counters.values.get("upstream_rq_pending")
            or not harness.program.context.buffered_body_bytes
        ):
            await asyncio.sleep(0)
        await harness.program.drain(0)
        assert [(await request)[0] for request in sent_requests] == [502] * 8
        for status, fields, _ in (await waiting, await uploading.answer()):
            assert status == 503 and "retry-after" in fields
        assert all(endpoint.in_flight == 0 for endpoint in harness.program.forwarder.endpoints.by_name.values())

    run_scenario(scenario, script)


def test_malformed_bytes_after_a_request_in_progress_get_no_400():
    """The client would take a 400 for the answer to the request in progress."""
    arrived, may_answer = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        arrived.set()
        await may_answer.wait()
        connection.write(answer(fields))

    async def scenario(harness):
        client = await harness.client()
        client.send(NON_IDEMPOTENT, b"pay")
        await arrived.wait()
        client.writer.write(b"\x00\x01 no request\r\n\r\n")
        protocol = next(iter(harness.program.server.server_state.connections))
        while protocol.cycle.keep_alive:
            await asyncio.sleep(0)
        may_answer.set()
        assert (await client.answer())[0] == 200 and await client.ended()

    run_scenario(scenario, script)


def test_disconnect_during_an_upload_releases_its_memory_and_connection():
    async def scenario(harness):
        client = await harness.client()
        client.writer.write(request_head("/up/x", 100) + b"half")
        while not harness.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        client.close()
        while harness.program.context.buffered_body_bytes or harness.program.server.server_state.connections:
            await asyncio.sleep(0)
        assert not harness.servers[0].request_lines()

    run_scenario(scenario, answer_all_requests)


@pytest.mark.parametrize("path", [IDEMPOTENT, NON_IDEMPOTENT])
def test_retry_is_not_sent_if_the_client_disconnects_during_the_connect(path):
    """The in-flight counts of both servers must return to 0 as well."""
    dialled, may_answer = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields, status=503, more="X-Not-Executed: 1\r\n"))
        await connection.request()

    async def scenario(harness):
        connections = harness.program.connections
        original_dial = connections._dial

        async def dial(pool, address, timeout_s):
            if harness.servers[0].request_lines() or harness.servers[1].request_lines():
                dialled.set()
                await may_answer.wait()
            return await original_dial(pool, address, timeout_s)

        connections._dial = dial
        client = await harness.client()
        client.send(path)
        await dialled.wait()
        client.reset()
        endpoints = harness.program.forwarder.endpoints.by_name.values()
        while harness.program.server.server_state.connections:  # until the edge has noticed the disconnect
            await asyncio.sleep(0)
        may_answer.set()
        while harness.program.server.server_state.tasks:
            await asyncio.sleep(0)
        assert sum(len(server.request_lines()) for server in harness.servers) == 1
        assert [endpoint.in_flight for endpoint in endpoints] == [0, 0]

    run_scenario(scenario, script, script)


# Guards against requests that run under another id or route, or as another tenant, than their head says.
@pytest.mark.parametrize("in_one_read", [True, False])
def test_trailers_of_a_chunked_body_are_not_taken_for_headers(in_one_read):
    head = request_head(IDEMPOTENT, None, "me", 2000, "POST", "Transfer-Encoding: chunked")
    trailers = b"Host: nowhere.example\r\nX-Attempt-Id: other\r\nX-Tenant-Name: other\r\nX-Trailer: 1\r\n"

    async def scenario(harness):
        client = await harness.client()
        parts = [head + b"5\r\nwhole\r\n", b"0\r\n" + trailers + b"\r\n"]
        client.writer.write(b"".join(parts) if in_one_read else parts[0])
        while not in_one_read and not harness.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        client.writer.write(b"" if in_one_read else parts[1])
        status, fields, _ = await client.answer()
        assert (status, fields["x-attempt-id"]) == (200, "me")
        received = harness.servers[0].connections[0].received
        assert received.count(b"x-attempt-id") == received.count(b"host") == 1 and received.endswith(b"whole")
        assert b"trailer" not in received and b"tenant" not in received

    run_scenario(scenario, answer_all_requests)


UPGRADE = ["Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQ"]
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nX-Trailer: 1\r\n\r\n"


# Guards against requests that run with another body than the client sent, and requests that are never answered.
@pytest.mark.parametrize(
    "framed_body, expected", [(b"Content-Length: 5\r\n\r\nwhole", b"whole"), (CHUNKED, b"whole"), (b"\r\n", b"")]
)
@pytest.mark.parametrize("piece_size", [1, 7, 10_000])
def test_request_that_asks_for_an_upgrade_keeps_its_body_and_the_next_one_is_answered(
    framed_body, expected, piece_size
):
    """The upgrade is ignored. Both requests arrive in pieces of any size, and twice on the same connection."""
    bodies = []

    async def script(server, connection):
        while True:
            fields, body = await connection.request()
            bodies.append(body)
            assert not {"upgrade", "connection", "http2-settings"} & set(fields)
            connection.write(answer(fields))

    async def scenario(harness):
        client = await harness.client()
        for number in range(2):
            head = request_head(NON_IDEMPOTENT, None, f"up-{number}", 2000, "POST", *UPGRADE)[:-2]
            data = head + framed_body + request_head(NON_IDEMPOTENT, 4, f"next-{number}") + b"next"
            for start in range(0, len(data), piece_size):
                client.writer.write(data[start : start + piece_size])
                await asyncio.sleep(0)
            answers = [await client.answer() for _ in range(2)]
            assert [(status, fields["x-attempt-id"]) for status, fields, _ in answers] == [
                (200, f"up-{number}"),
                (200, f"next-{number}"),
            ]
        assert bodies == [expected, b"next"] * 2

    run_scenario(scenario, script)


@pytest.mark.parametrize("framing", ["Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5\r\nTransfer-Encoding: chunked", "Transfer-Encoding: x", "Content-Length: x"])  # fmt: skip
def test_request_that_asks_for_an_upgrade_with_an_ambiguous_length_reaches_no_server(framing):
    async def scenario(harness):
        client = await harness.client()
        client.writer.write(request_head(NON_IDEMPOTENT, None, "up", 2000, "POST", *UPGRADE, framing) + b"whole")
        assert (await client.answer())[0] == 400 and await client.ended()
        assert not harness.servers[0].request_lines()

    run_scenario(scenario, answer_all_requests)


# Guards against requests that run with another path or query than the client sent.
@pytest.mark.parametrize(
    "target", ["/safe/x?", "/safe/x?a=%41&b=+?/", "/safe/%2e%2F%78//y/../z", "/safe/x#f?q", "/safe/'\"|"]
)
def test_server_receives_the_target_byte_for_byte(target):
    async def scenario(harness):
        assert (await harness.send_request(target))[0] == 200
        assert harness.servers[0].request_lines() == [f"POST {target} HTTP/1.1".encode()]

    run_scenario(scenario, answer_all_requests)


def test_server_receives_an_absolute_target_as_path_and_query():
    async def scenario(harness):
        assert (await harness.send_request("http://shop.example/safe/x?a"))[0] == 200
        assert harness.servers[0].request_lines() == [b"POST /safe/x?a HTTP/1.1"]

    run_scenario(scenario, answer_all_requests)


# Guards against 502 or 504 in place of the answer that a server has made, for whatever reason its retry brings none.
@pytest.mark.parametrize("retry", ["not run", "no connection", "none free", "reset", "truncated"])
def test_client_gets_the_5xx_answer_whose_retry_brings_none(retry):
    arrived = []

    async def script(server, connection):
        fields, _ = await connection.request()
        arrived.append(server)
        if len(arrived) == 1:
            connection.write(answer(fields, b"failed", 500))
            await connection.request()
        elif retry == "not run":
            connection.write(answer(fields, status=503, more="X-Not-Executed: 1\r\n"))
            await connection.request()
        elif retry == "truncated":
            connection.write(answer(fields, b"other")[:-3])
        else:
            connection.reset()

    async def scenario(harness):
        connections = harness.program.connections
        dial, acquire = connections._dial, connections._acquire

        async def dial_once(pool, address, timeout_s):
            if retry == "no connection" and arrived:
                return pool.dial_failed()
            return await dial(pool, address, timeout_s)

        connections._dial = dial_once
        connections._acquire = lambda *args: (None, None) if retry == "none free" and arrived else acquire(*args)
        status, fields, body = await harness.send_request(IDEMPOTENT)
        assert (status, fields["x-attempt-id"], body) == (500, "me", b"failed")

    run_scenario(scenario, script, script)


# Guards against 504 in place of the answer that the server is working on: no retry is left at the early time-out, or the
# edge shuts down or has just been started, as after a SIGTERM. The server may work until the client's deadline, not only
# until the early time-out.
@pytest.mark.parametrize("cause", ["no retry is left", "SIGTERM", "start"])
def test_an_attempt_that_can_not_be_retried_early_gets_the_answer_of_its_server(cause):
    arrived, early_timeout_over = asyncio.Event(), asyncio.Event()
    remaining_ms = []

    async def answer_late(_server, connection):
        fields, _ = await connection.request()
        remaining_ms.append(int(fields["x-deadline-remaining"]))
        arrived.set()
        await early_timeout_over.wait()
        connection.write(answer(fields, b"late"))
        await connection.reader.read()

    async def scenario(harness):
        forwarder = harness.program.forwarder
        retry_early, retries = forwarder.retry_early, []

        def observed_retry_early(*arguments):
            retries.append(retry_early(*arguments))
            early_timeout_over.set()
            return retries[-1]

        forwarder.retry_early = observed_retry_early
        client = await harness.client()
        client.send(IDEMPOTENT, b"", "late", 1500)
        await arrived.wait()
        if cause == "SIGTERM":
            draining = asyncio.create_task(harness.program.drain(0))
        while cause == "no retry is left" and forwarder.retry_budget.try_withdraw("views"):
            pass
        status, _, body = await client.answer()
        assert (status, body, retries[0]) == (200, b"late", None)
        if cause == "SIGTERM":
            await draining

    run_scenario(scenario, *[answer_late] * 3, just_started=cause == "start")
    assert len(remaining_ms) == 1 and remaining_ms[0] > 1300


# Guards against 504 long before the deadline: two attempts time out early, and one retry is left for both of them.
def test_no_request_ends_at_its_early_time_out_though_another_has_taken_the_last_retry():
    client_timeout_s = 1.5
    silent = [route("/safe/", "idempotent", "views", timeout_s=15, target_latency_s=0.5, max_attempts=2)]

    async def accept_only(_server, connection):
        while True:
            await connection.request()

    async def scenario(harness):
        harness.configure(virtual_hosts=[{"host_name": "shop.example", "host_routes": silent}])
        budget = harness.program.forwarder.retry_budget
        while budget.try_withdraw("views"):
            pass
        while not budget.has_retry("views"):
            budget.deposit("views")
        started_at = time.monotonic()

        async def duration_of(attempt):
            await harness.send_request("/safe/x", b"", attempt, int(client_timeout_s * 1000))
            return time.monotonic() - started_at

        return await asyncio.gather(*map(duration_of, ("one", "two")))

    assert min(run_scenario(scenario, *[accept_only] * 3)) >= 0.9 * client_timeout_s
