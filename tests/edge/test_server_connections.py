"""One try at a server that answers as a server in trouble may: on loopback, the server a script of bytes."""

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from kestrelplank.edge.server_connections import OUTCOMES_WITHOUT_ANSWER, ServerConnections, ServerRequest
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.http.errors import NoAnswerError

OURS = b"X-Attempt-Id: me\r\n"
REQUEST = ServerRequest(b"GET", b"/a/b?c=%20d", [(b"host", b"h")], b"", b"me")


def answer(status=200, head=OURS + b"X-Server-Seal: s\r\n", body=b"whole", more=b""):
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s%s" % (status, head, len(body), body, more)


def played(*scripts, within=1.0, wait=0.0):
    """Tries one after the other at a server that answers each request with the next script: bytes, or `close`, or
    `silence`. Returns how they ended and how many connections it took."""

    async def play():
        left, came = list(scripts), []

        async def serve(reader, writer):
            came.append(writer)
            try:
                while left:
                    await reader.readuntil(b"\r\n\r\n")
                    script = left.pop(0)
                    if script == "silence":
                        await reader.read()
                    if script == "close" or script == "silence":
                        break
                    whole, late = script if isinstance(script, tuple) else (script, b"")
                    writer.write(whole)
                    if late:
                        await asyncio.sleep(0)
                        writer.write(late)
                    if whole.endswith(b"cut"):
                        break
                else:
                    await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        connections, ended = ServerConnections(time.monotonic_ns), []
        for _ in range(len(scripts)):
            ended.append(await connections.send(address, REQUEST, int(within * 1e9), 24))
            await asyncio.sleep(wait)
        connections.close_unused(set())
        server.close()
        return ended, len(came)

    return asyncio.run(play())


def kinds(*scripts, **more):
    ended, _ = played(*scripts, **more)
    return [one.outcome for one in ended]


def test_complete_answers_come_on_one_connection():
    ended, connections = played(answer(), answer(500, body=b"failed"), answer(404))
    assert [one.outcome for one in ended] == [
        CallOutcome.ANSWERED,
        CallOutcome.SERVER_ERROR,
        CallOutcome.ANSWERED,
    ] and connections == 1
    assert ended[1].answer.status == 500 and ended[1].answer.body == b"failed"


@pytest.mark.parametrize(
    "script, kind",
    [
        (answer(503, OURS + b"X-Not-Executed: 1\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(429, OURS + b"X-Not-Executed: 1\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(429, b"X-Not-Executed: 1\r\n"), CallOutcome.TIMEOUT),  # whose? it may be a surplus one
        (answer(429, OURS + b"X-Attempt-Id: other\r\nX-Not-Executed: 1\r\n"), CallOutcome.TIMEOUT),
        (answer(503), CallOutcome.SERVER_ERROR),  # its own word: it may have run
        (answer(421, OURS + b"X-Instance-Id: i-2\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(421, b"X-Instance-Id: i-2\r\n"), CallOutcome.TIMEOUT),
        (answer(200, OURS), CallOutcome.MALFORMED),  # no stamp: not the server's answer
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", CallOutcome.TRUNCATED),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcut", CallOutcome.TRUNCATED),
        (b"no answer at all\r\n\r\n", CallOutcome.MALFORMED),
        ("close", CallOutcome.CLOSED),
        ("silence", CallOutcome.TIMEOUT),
    ],
)
def test_what_an_answer_proves(script, kind):
    assert kinds(script, within=0.3) == [kind]


def test_an_answer_to_an_older_request_is_not_ours_and_ours_is_read_behind_it():
    other = answer(head=b"X-Attempt-Id: other\r\nX-Server-Seal: o\r\n", body=b"not yours")
    ended, _ = played(other + answer(body=b"mine"))
    assert ended[0].outcome == CallOutcome.ANSWERED and ended[0].answer.body == b"mine"
    assert kinds((other, answer(body=b"mine")), "close", within=0.3)[0] == CallOutcome.ANSWERED
    assert kinds(other, within=0.2) == [CallOutcome.TIMEOUT]


def test_surplus_bytes_behind_an_answer_cost_the_connection_and_nothing_else():
    surplus = answer(head=b"X-Attempt-Id: me\r\nX-Server-Seal: s\r\n", body=b"again")
    ended, connections = played(answer(body=b"one", more=surplus), answer(body=b"two"), wait=0.01)
    assert [one.answer.body for one in ended] == [b"one", b"two"] and connections == 2


def test_a_connection_that_says_it_closes_is_not_used_again():
    ended, connections = played(answer(head=OURS + b"X-Server-Seal: s\r\nConnection: close\r\n"), answer())
    assert [one.outcome for one in ended] == [CallOutcome.ANSWERED, CallOutcome.ANSWERED] and connections == 2


@pytest.mark.parametrize(
    "told, connections", [(b"timeout=1", 2), (b"timeout=30, max=9", 1), (b"max=9", 1), (b"timeout=x", 1)]
)
def test_a_connection_is_kept_for_less_than_its_server_says(told, connections):
    keeps = answer(head=OURS + b"X-Server-Seal: s\r\nKeep-Alive: %s\r\n" % told)
    ended, came = played(keeps, keeps)
    assert [one.outcome for one in ended] == [CallOutcome.ANSWERED] * 2 and came == connections


def test_every_kind_of_call_without_answer_has_its_outcome():
    assert set(OUTCOMES_WITHOUT_ANSWER) == set(NoAnswerError.__subclasses__())


def test_nobody_there_is_proof_that_nothing_ran():
    async def play():
        server = await asyncio.start_server(lambda *streams: None, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return await ServerConnections(time.monotonic_ns).send(address, REQUEST, 10**9, 24)

    assert asyncio.run(play()).outcome == CallOutcome.CONNECT_FAIL


def test_more_requests_than_connections_are_not_sent():
    async def play():
        came = []

        async def serve(reader, writer):
            came.append(writer)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        connections = ServerConnections(time.monotonic_ns)
        ended = await asyncio.gather(*(connections.send(address, REQUEST, 200_000_000, 2) for _ in range(5)))
        server.close()
        for writer in came:
            writer.close()
        return sorted(one.outcome.value for one in ended), len(came)

    assert asyncio.run(play()) == ([CallOutcome.NO_CONNECTION_FREE.value] * 3 + [CallOutcome.TIMEOUT.value] * 2, 2)


PIECES = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 503 Full\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 50\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"X-Attempt-Id: me\r\n",
    b"X-Attempt-Id: other\r\n",
    b"X-Server-Seal: s\r\n",
    b"X-Not-Executed: 1\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"whole",
    b"5\r\nwhole\r\n",
    b"0\r\n\r\n",
    b"\x00\xff",
    b"HTTP/1.1 ",
    b": \r\n",
]


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(some.lists(some.sampled_from(PIECES), max_size=14))
def test_whatever_bytes_a_server_sends_a_success_is_ours_stamped_and_whole(pieces):
    """Of 150 mixtures of an answer's parts; most end as broken."""
    data = b"".join(pieces)
    one = played(data + b"cut", within=0.5)[0][0]
    if one.outcome == CallOutcome.ANSWERED:
        assert one.answer.fields[b"x-attempt-id"] == b"me"
        assert one.answer.status >= 300 or b"x-server-seal" in one.answer.fields
        length = one.answer.fields.get(b"content-length")
        assert length is None or len(one.answer.body) == int(length)
    if one.outcome == CallOutcome.NOT_EXECUTED:
        assert b"X-Not-Executed" in data and b"HTTP/1.1" in data
