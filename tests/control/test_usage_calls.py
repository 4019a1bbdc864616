"""Calls to the platform on loopback: the bytes, and the result of each outcome."""

import asyncio

import pytest

from kestrelplank.control import usage_calls
from kestrelplank.control.usage_calls import UsageCalls
from kestrelplank.usage.usage_reporter import CallResult, PlatformCall

CALL = PlatformCall(353445120, b'{"window_number":353445120,"counts":{"a":1}}', 12)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class StubPlatform:
    """Answers each request with the next of `answers`; b"" closes the connection, None never answers."""

    def __init__(self, answers):
        self.answers, self.requests, self.connection_count = list(answers), [], 0

    async def serve(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                self.requests.append((head, await reader.readexactly(size)))
                answer = self.answers.pop(0)
                if answer == b"":
                    return
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def results_of(answers, calls=1, may_send=lambda call: True):
    """Make calls one after the other; return their results and the platform."""

    async def scenario():
        platform = StubPlatform(answers)
        listening = await asyncio.start_server(platform.serve, "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        ended, results = asyncio.Queue(), []
        usage = UsageCalls(f"{host}:{port}", "core-1", may_send, lambda call, result: ended.put_nowait((call, result)))
        for _ in range(calls):
            usage.put(CALL)
            call, result = await asyncio.wait_for(ended.get(), 10)
            assert call is CALL
            results.append(result)
        usage.close()
        listening.close()
        return results, platform

    return asyncio.run(scenario())


def test_a_report_has_the_content_of_the_log_and_names_holder_and_token():
    results, platform = results_of([OK])
    assert results == [CallResult.ACCEPTED]
    ((head, body),) = platform.requests
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /usage HTTP/1.1" and body == CALL.content
    assert {b"X-Duty-Holder: core-1", b"X-Fence-Number: 12", b"Content-Type: application/json"} <= set(lines)


def test_no_byte_is_sent_once_the_token_is_not_valid_any_more():
    """Guards against: a member that was frozen while it connected reports under a token that another has replaced."""
    results, platform = results_of([OK], may_send=lambda call: False)
    assert results == [CallResult.NOT_SENT] and platform.requests == []


@pytest.mark.parametrize(
    "answer, expected",
    [
        (b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", CallResult.REJECTED),
        (b"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", CallResult.THROTTLED),
        (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", CallResult.FAILED),
        (b"", CallResult.UNANSWERED),
        (b"HTTP/1.1 200 OK\r\nContent-Le", CallResult.UNANSWERED),
        (b"no HTTP\r\n\r\n", CallResult.UNANSWERED),
        (None, CallResult.UNANSWERED),
    ],
)
def test_results_of_answers(answer, expected, monkeypatch):
    monkeypatch.setattr(usage_calls, "CALL_TIMEOUT_S", 0.2)
    assert results_of([answer])[0] == [expected]


def test_the_connection_is_kept_after_an_answer_and_replaced_after_a_failure():
    results, platform = results_of([OK, OK, b"", OK], calls=4)
    assert results == [CallResult.ACCEPTED, CallResult.ACCEPTED, CallResult.UNANSWERED, CallResult.ACCEPTED]
    assert platform.connection_count == 2


# Guards against a valid token that is given up: the answer was a copy of the refusal of an earlier one.
@pytest.mark.parametrize("status, expected", [(409, CallResult.REJECTED), (429, CallResult.THROTTLED)])
def test_a_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_report(status, expected):
    refusal = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
    results, platform = results_of([refusal, OK], calls=2)
    assert results == [expected, CallResult.ACCEPTED] and platform.connection_count == 2


def test_a_platform_that_can_not_be_connected_to_gives_no_answer():
    async def scenario():
        ended = asyncio.Queue()
        usage = UsageCalls("127.0.0.1:1", "core-1", lambda call: True, lambda call, result: ended.put_nowait(result))
        usage.put(CALL)
        assert await asyncio.wait_for(ended.get(), 10) is CallResult.UNANSWERED

    asyncio.run(scenario())
