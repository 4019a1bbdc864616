"""Loss and truncation at each byte of both wires of the edge, and all that ever reaches a server counted."""

import asyncio
import contextlib
import socket

import pytest
from edge.stage import answer, played, request_head, serving

from kestrelplank.edge.counters import UPSTREAM_RQ_ENDED

ONCE, SAFE = "/once/x", "/safe/x"
ANSWER = len(answer({"x-attempt-id": "a-000"}))
REQUEST = request_head(ONCE, 5, "cut") + b"whole"


def wire(server):
    """How many bytes have reached it."""
    return sum(len(connection.received) for connection in server.connections)


@pytest.mark.parametrize("end", ["reset", "close"])
def test_an_answer_that_ends_at_each_byte_is_no_answer_and_its_request_is_not_repeated(end):
    """Bytes are counted: httpcore, h11 and uvicorn send nothing again and open no connection behind us."""
    at, digits = [], []

    async def script(server, connection):
        while True:
            fields, _ = await connection.request()
            digits.append(len(fields["x-deadline-remaining"]))  # on a busy machine less than a second may be left
            connection.write(answer(fields)[: at[0]])
            if at[0] < ANSWER:
                await connection.writer.drain()
                getattr(connection, end)()
                return

    async def play(stage):
        server, sizes, opened = stage.servers[0], [], 0
        for place in range(ANSWER + 1):
            at[:] = [place]
            before = wire(server)
            status, fields, body = await stage.ask(ONCE, b"pay", f"a-{place:03}")
            sizes.append(wire(server) - before - digits[place])
            assert (status, body) == ((200, b"whole") if place == ANSWER else (502, b"unknown outcome")), place
            assert "retry-after" not in fields
            opened += 1
        counts = stage.program.context.counters.values
        # On a busy machine a dial may end before its connection is up.
        dialled_again = counts.get("upstream_rq_connect_fail", 0)
        assert sum(counts.get(name, 0) for name in UPSTREAM_RQ_ENDED.values()) == opened + dialled_again
        assert len(server.sent()) == opened == ANSWER + 1 and len(server.connections) <= opened + dialled_again
        assert len([one for one in server.connections if one.received]) == opened
        assert len(set(sizes)) == 1  # each once, to the byte

    played(play, script)


def test_an_idempotent_request_whose_answers_end_at_each_byte_is_sent_exactly_twice():
    at = []

    async def script(server, connection):
        fields, _ = await connection.request()
        connection.write(answer(fields)[: at[0]])
        await connection.writer.drain()

    async def play(stage):
        stage.program.forwarder.retry_budget.capacity = lambda: 10_000.0
        stage.program.forwarder.retry_budget._balance.clear()
        for place in range(0, ANSWER, 3):
            at[:] = [place]
            assert (await stage.ask(SAFE, b"", f"a-{place:03}"))[0] == 502
        sent = [len(server.sent()) for server in stage.servers]
        assert sum(sent) == 2 * len(range(0, ANSWER, 3)) and sent[0] == sent[1]

    played(play, script, script)


@pytest.mark.parametrize("end", ["reset", "close", "half-close"])
def test_a_request_that_ends_at_each_byte_reaches_no_server(end):
    async def play(stage):
        for place in range(len(REQUEST)):
            client = await stage.client()
            client.writer.write(REQUEST[:place])
            await asyncio.sleep(0)
            if end == "half-close":
                client.writer.write_eof()
            else:
                if end == "reset":
                    client.reset()
                client.close()
        while stage.program.server.server_state.connections or stage.program.context.buffered_body_bytes:
            await asyncio.sleep(0)
        assert not stage.servers[0].connections
        assert (await stage.ask(ONCE, b"whole", "whole"))[0] == 200  # and others are served

    played(play, serving)


def test_a_request_cut_into_two_pieces_at_each_byte_arrives_as_one():
    async def play(stage):
        client = await stage.client()
        for place in range(1, len(REQUEST)):
            client.writer.write(REQUEST[:place])
            for _ in range(3):
                await asyncio.sleep(0)
            client.writer.write(REQUEST[place:])
            assert (await client.answer())[0] == 200
        assert len(stage.servers[0].sent()) == len(REQUEST) - 1 and len(stage.servers[0].connections) == 1

    played(play, serving)


def test_a_connection_that_does_not_come_up_proves_that_nothing_was_sent():
    """Also where the client's time is over while the connection still comes up: the request was never offered, so it is
    refused with a promise, and not with a 504."""

    async def play(stage):
        with socket.socket() as full, contextlib.ExitStack() as waiting:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            for _ in range(4):  # from the second on nobody answers the opening packet
                one = waiting.enter_context(socket.socket())
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            stage.servers[0].name, stage.servers[0].port = "views-9", full.getsockname()[1]
            stage.listed(stage.servers[0])
            status, _, body = await stage.ask(ONCE, b"pay", "me", 120)
        assert (status, body) in ((503, b"too late to begin"), (503, b"no server"))
        assert stage.program.context.counters.values["upstream_rq_connect_fail"] >= 1

    played(play, serving)
