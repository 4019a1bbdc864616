"""Answers to their own callers, and calls that may not be repeated: the hard cases, each by name. Servers count what
reaches them byte by byte."""

import asyncio
import os
import signal

import pytest
from edge.stage import answer, played, request_head, serving

ONCE, SAFE = "/once/x", "/safe/x"


def failing(kind):
    """Servers of which the first to be asked reads a whole request and fails like this; after that all are sound."""
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
def test_reset_or_close_after_the_last_byte_of_a_request_before_or_within_the_answer(kind):
    """What can't be repeated is sent once, and nothing is promised; what can be is sent again, and served."""

    async def play(stage):
        status, fields, body = await stage.ask(ONCE, b"pay", "one")
        assert (status, "retry-after" in fields) == (502, False) and b"whole" not in body
        assert sum(len(server.sent()) for server in stage.servers) == 1
        status, fields, body = await stage.ask(SAFE, b"", "two")
        assert (status, body) == (200, b"whole") and fields["x-attempt-id"] == "two"
        assert sum(len(server.sent()) for server in stage.servers) == 3  # one that must not be repeated, two that may

    script = failing(kind)
    played(play, script, script)


def test_silence_then_the_answer_after_the_next_request_was_sent():
    """The late answer comes on a connection that has been reset: it can't be taken for the next request's."""
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

    async def play(stage):
        status, fields, _ = await stage.ask(ONCE, b"", "slow", 150)
        assert status == 504 and "retry-after" not in fields
        status, fields, body = await stage.ask(ONCE, b"", "next")
        assert (status, fields["x-attempt-id"], body) == (200, "next", b"next")
        assert len(stage.servers[0].connections) == 2

    played(play, script)


def test_answer_of_a_former_incarnation_of_the_server():
    """Another life stands at the address: it answers 421, and the kept connection of the former one is not used."""

    async def former(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields, b"former"))
        connection.close()

    async def present(server, connection):
        while True:
            fields, _ = await connection.request()
            mine = fields["x-target-instance"] == server.name
            connection.write(answer(fields, b"present") if mine else answer(fields, b"", 421))

    async def play(stage):
        server = stage.servers[0]
        assert (await stage.ask(ONCE, b"", "one"))[2] == b"former"
        server.listening.close()
        await server.listening.wait_closed()
        server.name, server.script = "views-9", present
        await server.start(server.port)
        status, fields, _ = await stage.ask(ONCE, b"", "two")
        assert status == 503 and "retry-after" in fields  # by its own word it has not run
        stage.listed(server)
        assert (await stage.ask(ONCE, b"", "three"))[2] == b"present"

    played(play, former)


def test_an_answer_of_a_former_incarnation_that_was_under_way_is_read_past():
    """The former life's answer to an older request stands where ours is due, and bears its own id."""

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer({"x-attempt-id": "older"}, b"not yours"))
        connection.write(answer(fields, b"yours"))
        await connection.reader.read()

    async def play(stage):
        status, fields, body = await stage.ask(ONCE, b"", "mine")
        assert (status, fields["x-attempt-id"], body) == (200, "mine", b"yours")

    played(play, script)


def test_two_answers_to_one_request_on_a_pipelined_place():
    """A client sends two requests at once; a server answers the first twice. Each request gets one answer, its own."""

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            mine = fields["x-attempt-id"].encode()
            connection.write(answer(fields, mine))
            if mine == b"one":
                connection.write(answer(fields, b"again"))

    async def play(stage):
        client = await stage.client()
        client.writer.write(
            request_head(ONCE, 0, "one") + request_head(ONCE, 0, "two") + request_head("/nowhere", 0, "three")
        )
        answers = [await client.answer() for _ in range(3)]
        assert [(status, body) for status, _, body in answers] == [(200, b"one"), (200, b"two"), (404, b"no route")]
        assert [fields.get("x-attempt-id") for _, fields, _ in answers] == ["one", "two", None]
        assert len(stage.servers[0].sent()) == 2

    played(play, script)


@pytest.mark.parametrize("status, more", [(503, "X-Not-Executed: 1\r\n"), (200, ""), (500, "")])
def test_early_answer_while_the_upload_still_runs(status, more):
    """A server answers and reads no more. The answer counts, at once; the connection, with half a request on it, does
    not serve another."""

    async def script(server, connection):
        fields = (await connection.head())[1]
        if fields["x-attempt-id"] == "later":
            await connection._read(int(fields["content-length"]))
            connection.write(answer(fields, b"later"))
            return
        connection.write(answer(fields, b"early", status, more))
        await asyncio.Event().wait()

    async def play(stage):
        asked = asyncio.create_task(stage.ask("/up/x", bytes(6 << 20), "up", 15_000))
        found, fields, body = await asked
        assert found == status and (status == 503 or body == b"early")
        assert ("retry-after" in fields) == (status == 503)
        assert (await stage.ask("/up/x", b"small", "later"))[2] == b"later"
        assert len(stage.servers[0].connections) == 2

    played(play, script)


def test_sighup_and_a_new_configuration_in_the_middle_of_an_upload():
    """Neither cuts it, though the new configuration has neither its route nor its service."""

    async def play(stage):
        stop = asyncio.Event()
        stage.program.watch_signals(stop)
        client = await stage.client()
        client.writer.write(request_head("/up/x", 6) + b"abc")
        while not stage.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGHUP)
        stage.configure("00000009", limits={"idle_timeout_s": 5})
        client.writer.write(b"def")
        status, fields, body = await client.answer()
        assert (status, body) == (200, b"whole") and "connection" not in fields
        client.send("/up/x")
        assert (await client.answer())[0] == 200
        assert not stop.is_set() and len(stage.servers[0].connections) == 1

    played(play, serving)


def test_a_configuration_without_its_service_while_a_request_waits_for_its_answer():
    """It is tried again by the configuration under which it came."""
    arrived, changed = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        if not arrived.is_set():
            arrived.set()
            await changed.wait()
            connection.reset()
            return
        connection.write(answer(fields))

    async def play(stage):
        asked = asyncio.create_task(stage.ask(SAFE))
        await arrived.wait()
        stage.configure("00000009", service_table=[{"name": "other"}], virtual_hosts=[])
        changed.set()
        assert (await asked)[0] == 200

    played(play, script, script)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_post_on_a_kept_connection_that_was_closed_by_its_server_a_moment_before(how):
    """The end lies in the kernel and the loop has not read it: nothing is sent there, and another connection is made."""
    gone = asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields))
        if fields["x-attempt-id"] == "one":
            await gone.wait()
            getattr(connection, how)()
        else:
            await connection.reader.read()

    async def play(stage):
        server, connections = stage.servers[0], stage.program.connections
        assert (await stage.ask(ONCE, b"", "one"))[0] == 200
        kept = next(iter(connections._connections[f"127.0.0.1:{server.port}"].values()))
        kept.stream.transport.pause_reading()  # as if the loop had not come to it yet
        gone.set()
        await server.tasks[0]
        assert (await stage.ask(ONCE, b"pay", "two"))[0] == 200
        assert [len(one.received) > 0 for one in server.connections] == [True, True]
        assert len(server.sent()) == 2

    played(play, script)


def test_a_post_that_meets_the_close_of_its_kept_connection_on_the_way_is_not_repeated():
    """The server closes while the request is on its way: it may have been read."""

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields))
        await connection.reader.readexactly(1)
        connection.reset()

    async def play(stage):
        assert (await stage.ask(ONCE, b"", "one"))[0] == 200
        status, fields, _ = await stage.ask(ONCE, b"pay", "two")
        assert status == 502 and "retry-after" not in fields
        assert len(stage.servers[0].connections) == 1

    played(play, script)


def test_idle_connection_closed_by_us_as_the_clients_request_arrives():
    """The time of an idle connection is over just as a request lies in the kernel: it is answered."""

    async def play(stage):
        client = await stage.client()
        client.send(SAFE)
        assert (await client.answer())[0] == 200
        protocol = next(iter(stage.program.server.server_state.connections))
        protocol._idle_since_s -= 100  # it has rested too long
        protocol.transport.pause_reading()  # as if the loop had not come to it yet
        client.send(SAFE, b"", "two")
        await client.writer.drain()
        protocol._on_idle_timeout()
        assert not protocol.transport.is_closing()
        protocol.transport.resume_reading()
        status, fields, _ = await client.answer()
        assert (status, fields["x-attempt-id"]) == (200, "two")

    played(play, serving)


@pytest.mark.parametrize(
    "begun", [b"", b"PO", request_head(SAFE, 5)[:-2], request_head(SAFE, 5), request_head(SAFE, 5) + b"ab"]
)
def test_a_request_that_has_begun_as_we_stop_is_answered(begun):
    """Of a kept connection: at each place where the request may have been read to, or lies unread in the kernel."""

    async def play(stage):
        whole = request_head(SAFE, 5) + b"whole"
        client = await stage.client()
        client.send(SAFE)
        assert (await client.answer())[0] == 200
        protocol = next(iter(stage.program.server.server_state.connections))
        if begun:
            client.writer.write(begun)
            while not protocol._reading_head and not protocol._request_in_progress:
                await asyncio.sleep(0)
            leaving = asyncio.create_task(stage.program.drain(0))
        else:
            protocol.transport.pause_reading()
            leaving = asyncio.create_task(stage.program.drain(0))
            client.writer.write(whole)
        while not stage.program.server.should_exit or stage.program.server.servers[0].is_serving():
            await asyncio.sleep(0)
        if begun:
            client.writer.write(whole[len(begun) :])
        else:
            protocol.transport.resume_reading()
        status, fields, _ = await client.answer()
        assert (status, fields["connection"]) == (200, "close") and await client.ended()
        await leaving

    played(play, serving)


def test_what_is_still_in_hand_when_we_are_about_to_be_killed_is_answered_with_what_is_certain():
    """One that its server is at work on: nothing is promised. One that waits here: it has not run."""

    async def script(server, connection):
        await connection.request()
        await asyncio.Event().wait()

    async def play(stage):
        stage.program.server.config.timeout_graceful_shutdown = 0.05
        out = [asyncio.create_task(stage.ask(ONCE, b"", f"out-{number}", 9000)) for number in range(8)]
        while len(stage.servers[0].sent()) < 8:
            await asyncio.sleep(0)
        waits = asyncio.create_task(stage.ask(ONCE, b"", "waits", 9000))
        half = await stage.client()
        half.writer.write(request_head(ONCE, 5, "half") + b"ab")
        while (
            not stage.program.context.counters.values.get("upstream_rq_pending")
            or not stage.program.context.buffered_body_bytes
        ):
            await asyncio.sleep(0)
        await stage.program.drain(0)
        assert [(await one)[0] for one in out] == [502] * 8
        for status, fields, _ in (await waits, await half.answer()):
            assert status == 503 and "retry-after" in fields
        assert all(endpoint.in_flight == 0 for endpoint in stage.program.forwarder.endpoints.by_name.values())

    played(play, script)


def test_bytes_behind_a_request_in_hand_that_are_no_request_are_not_answered_in_its_place():
    """Else its client took a 400 for the answer to what its server is at work on."""
    arrived, let = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        arrived.set()
        await let.wait()
        connection.write(answer(fields))

    async def play(stage):
        client = await stage.client()
        client.send(ONCE, b"pay")
        await arrived.wait()
        client.writer.write(b"\x00\x01 no request\r\n\r\n")
        protocol = next(iter(stage.program.server.server_state.connections))
        while protocol.cycle.keep_alive:
            await asyncio.sleep(0)
        let.set()
        assert (await client.answer())[0] == 200 and await client.ended()

    played(play, script)


def test_a_client_that_hangs_up_in_mid_request_leaves_nothing_behind():
    async def play(stage):
        client = await stage.client()
        client.writer.write(request_head("/up/x", 100) + b"half")
        while not stage.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        client.close()
        while stage.program.context.buffered_body_bytes or stage.program.server.server_state.connections:
            await asyncio.sleep(0)
        assert not stage.servers[0].sent()

    played(play, serving)


@pytest.mark.parametrize("path", [SAFE, ONCE])
def test_a_client_that_leaves_while_a_second_attempt_is_dialled_has_nothing_sent_for_it(path):
    """Neither is the request sent after its client has gone, nor does the second server's count stay too high."""
    dialled, let = asyncio.Event(), asyncio.Event()

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields, status=503, more="X-Not-Executed: 1\r\n"))
        await connection.request()

    async def play(stage):
        connections = stage.program.connections
        dial_at_once = connections._dial

        async def dial(pool, address, timeout_s):
            if stage.servers[0].sent() or stage.servers[1].sent():
                dialled.set()
                await let.wait()
            return await dial_at_once(pool, address, timeout_s)

        connections._dial = dial
        client = await stage.client()
        client.send(path)
        await dialled.wait()
        client.reset()
        endpoints = stage.program.forwarder.endpoints.by_name.values()
        while stage.program.server.server_state.connections:  # until the edge has seen that the client has gone
            await asyncio.sleep(0)
        let.set()
        while stage.program.server.server_state.tasks:
            await asyncio.sleep(0)
        assert sum(len(server.sent()) for server in stage.servers) == 1
        assert [endpoint.in_flight for endpoint in endpoints] == [0, 0]

    played(play, script, script)
