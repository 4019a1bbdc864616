"""Attempts at a scripted server on loopback.

Guards against faulty or misplaced answers that are taken for the answer to a request.
"""

import asyncio
import time
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelplank.edge.server_connections import OUTCOMES_WITHOUT_ANSWER, ServerConnections, ServerRequest
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.http.errors import NoAnswerError

OWN_ID = b"X-Attempt-Id: me\r\n"
REQUEST = ServerRequest(b"GET", b"/a/b?c=%20d", [(b"host", b"h")], b"", b"me")


def answer(status=200, head=OWN_ID + b"X-Server-Seal: s\r\n", body=b"whole", more=b""):
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s%s" % (status, head, len(body), body, more)


def run_attempts(*scripts, timeout_s=1.0, wait=0.0, limit=24, requests=None):
    """Make one attempt after the other, at `REQUEST` or `requests`, at a server that answers each with the next script.

    A script is the bytes to send, a pair of bytes to send in two steps, "close" or "silence". Returns the results of
    the attempts and the number of connections opened.
    """

    async def scenario():
        remaining, accepted = list(scripts), []

        async def serve(reader, writer):
            accepted.append(writer)
            try:
                while remaining:
                    await reader.readuntil(b"\r\n\r\n")
                    script = remaining.pop(0)
                    if script == "silence":
                        await reader.read()
                    if script == "close" or script == "silence":
                        break
                    data, late = script if isinstance(script, tuple) else (script, b"")
                    writer.write(data)
                    if late:
                        await asyncio.sleep(0)
                        writer.write(late)
                    if data.endswith(b"cut"):
                        break
                else:
                    await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        connections, results = ServerConnections(time.monotonic_ns), []
        for request in requests or [REQUEST] * len(scripts):
            results.append(await connections.send(address, request, int(timeout_s * 1e9), limit))
            await asyncio.sleep(wait)
        connections.close_unused(set())
        server.close()
        return results, len(accepted)

    return asyncio.run(scenario())


def outcomes(*scripts, **options):
    results, _ = run_attempts(*scripts, **options)
    return [result.outcome for result in results]


def test_complete_answers_reuse_one_connection():
    results, connections = run_attempts(answer(), answer(500, body=b"failed"), answer(404))
    assert [result.outcome for result in results] == [
        CallOutcome.ANSWERED,
        CallOutcome.SERVER_ERROR,
        CallOutcome.ANSWERED,
    ] and connections == 1
    assert results[1].answer.status == 500 and results[1].answer.body == b"failed"


@pytest.mark.parametrize(
    "script, outcome",
    [
        (answer(503, OWN_ID + b"X-Not-Executed: 1\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(429, OWN_ID + b"X-Not-Executed: 1\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(429, b"X-Not-Executed: 1\r\n"), CallOutcome.TIMEOUT),  # no id: possibly a surplus answer
        (answer(429, OWN_ID + b"X-Attempt-Id: other\r\nX-Not-Executed: 1\r\n"), CallOutcome.TIMEOUT),
        (answer(408), CallOutcome.UNPROVEN_REFUSAL),  # without X-Not-Executed it may have run
        (answer(429), CallOutcome.UNPROVEN_REFUSAL),
        (answer(503), CallOutcome.UNPROVEN_REFUSAL),
        (answer(421, OWN_ID + b"X-Instance-Id: i-2\r\n"), CallOutcome.UNPROVEN_REFUSAL),
        (answer(421, OWN_ID + b"X-Instance-Id: i-2\r\nX-Not-Executed: 1\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(400, OWN_ID + b"X-Not-Executed: 1\r\n"), CallOutcome.NOT_EXECUTED),
        (answer(200, OWN_ID + b"X-Server-Seal: s\r\nX-Not-Executed: 1\r\n"), CallOutcome.MALFORMED),  # contradictory
        (answer(500), CallOutcome.SERVER_ERROR),
        (answer(504), CallOutcome.SERVER_ERROR),
        (answer(421, b"X-Instance-Id: i-2\r\n"), CallOutcome.TIMEOUT),
        (answer(200, OWN_ID), CallOutcome.MALFORMED),  # no seal: not sent by the server
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", CallOutcome.TRUNCATED),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcut", CallOutcome.TRUNCATED),
        (b"no answer at all\r\n\r\n", CallOutcome.MALFORMED),
        ("close", CallOutcome.CLOSED),
        ("silence", CallOutcome.TIMEOUT),
    ],
)
def test_outcome_of_an_attempt_for_each_kind_of_answer(script, outcome):
    assert outcomes(script, timeout_s=0.3) == [outcome]


def test_answer_to_an_earlier_request_is_skipped_and_the_next_answer_is_read():
    earlier_answer = answer(head=b"X-Attempt-Id: other\r\nX-Server-Seal: o\r\n", body=b"not yours")
    results, _ = run_attempts(earlier_answer + answer(body=b"mine"))
    assert results[0].outcome == CallOutcome.ANSWERED and results[0].answer.body == b"mine"
    assert outcomes((earlier_answer, answer(body=b"mine")), "close", timeout_s=0.3)[0] == CallOutcome.ANSWERED
    assert outcomes(earlier_answer, timeout_s=0.2) == [CallOutcome.TIMEOUT]


def test_connection_with_surplus_bytes_after_an_answer_is_not_reused():
    surplus = answer(head=b"X-Attempt-Id: me\r\nX-Server-Seal: s\r\n", body=b"again")
    results, connections = run_attempts(answer(body=b"one", more=surplus), answer(body=b"two"), wait=0.01)
    assert [result.answer.body for result in results] == [b"one", b"two"] and connections == 2


REFUSAL = answer(503, OWN_ID + b"X-Not-Executed: 1\r\n")


# Guards against a copy of a refusal that is taken for the answer to the request's next attempt.
def test_no_connection_carries_a_request_again_that_was_refused_on_it():
    results, connections = run_attempts(REFUSAL, REFUSAL, answer())
    assert [result.outcome for result in results] == [CallOutcome.NOT_EXECUTED] * 2 + [CallOutcome.ANSWERED]
    assert [result.connection for result in results] == [1, 2, 3] and connections == 3
    results, connections = run_attempts(REFUSAL, answer(), limit=1)
    assert [result.outcome for result in results] == [CallOutcome.NOT_EXECUTED, CallOutcome.ANSWERED]
    assert connections == 2  # the place of the first was needed


def test_a_connection_on_which_a_request_was_refused_carries_other_requests():
    """New connections are expensive for servers: a refusal alone ends none."""
    others = [REQUEST, replace(REQUEST, attempt_id=b"other"), REQUEST, replace(REQUEST, attempt_id=b"other")]
    theirs = answer(head=b"X-Attempt-Id: other\r\nX-Server-Seal: s\r\n")
    results, connections = run_attempts(REFUSAL, theirs, answer(), theirs, requests=others)
    assert [result.connection for result in results] == [1, 1, 2, 2] and connections == 2


def test_connection_is_not_reused_after_connection_close():
    results, connections = run_attempts(answer(head=OWN_ID + b"X-Server-Seal: s\r\nConnection: close\r\n"), answer())
    assert [result.outcome for result in results] == [CallOutcome.ANSWERED, CallOutcome.ANSWERED] and connections == 2


@pytest.mark.parametrize(
    "keep_alive, connections", [(b"timeout=1", 2), (b"timeout=30, max=9", 1), (b"max=9", 1), (b"timeout=x", 1)]
)
def test_idle_connection_is_kept_for_less_than_the_keep_alive_timeout(keep_alive, connections):
    script = answer(head=OWN_ID + b"X-Server-Seal: s\r\nKeep-Alive: %s\r\n" % keep_alive)
    results, accepted = run_attempts(script, script)
    assert [result.outcome for result in results] == [CallOutcome.ANSWERED] * 2 and accepted == connections


def test_each_no_answer_error_has_an_outcome():
    assert set(OUTCOMES_WITHOUT_ANSWER) == set(NoAnswerError.__subclasses__())


def test_refused_connect_is_reported_as_connect_fail():
    async def scenario():
        server = await asyncio.start_server(lambda *streams: None, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return await ServerConnections(time.monotonic_ns).send(address, REQUEST, 10**9, 24)

    assert asyncio.run(scenario()).outcome == CallOutcome.CONNECT_FAIL


def test_requests_over_the_connection_limit_are_not_sent():
    async def scenario():
        accepted = []

        async def serve(reader, writer):
            accepted.append(writer)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        connections = ServerConnections(time.monotonic_ns)
        results = await asyncio.gather(*(connections.send(address, REQUEST, 200_000_000, 2) for _ in range(5)))
        server.close()
        for writer in accepted:
            writer.close()
        return sorted(result.outcome.value for result in results), len(accepted)

    assert asyncio.run(scenario()) == ([CallOutcome.NO_CONNECTION_FREE.value] * 3 + [CallOutcome.TIMEOUT.value] * 2, 2)


FRAGMENTS = [
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
@given(st.lists(st.sampled_from(FRAGMENTS), max_size=14))
def test_answer_counts_as_success_only_with_matching_id_seal_and_complete_body(fragments):
    """Tests 150 generated mixtures of answer fragments, most of them malformed."""
    data = b"".join(fragments)
    result = run_attempts(data + b"cut", timeout_s=0.5)[0][0]
    if result.outcome == CallOutcome.ANSWERED:
        assert result.answer.fields[b"x-attempt-id"] == b"me"
        assert result.answer.status >= 300 or b"x-server-seal" in result.answer.fields
        length = result.answer.fields.get(b"content-length")
        assert length is None or len(result.answer.body) == int(length)
    if result.outcome == CallOutcome.NOT_EXECUTED:
        assert b"X-Not-Executed" in data and b"HTTP/1.1" in data
