"""Grants and releases over loopback to scripted servers: each is sent once and its result is reported once."""

import asyncio
import json
import socket
import time

import pytest
from edge.stage import IP, ScriptedServer

from kestrelplank.control.effects import CallServer
from kestrelplank.control.server_calls import MAX_CONCURRENT_GRANTS, MAX_CONCURRENT_RELEASES, ServerCalls
from kestrelplank.http.unread_bytes import USER_TIMEOUT_NS
from kestrelplank.sharding.effects import GrantKeyRange, ReleaseKeyRange, ServerCallResult
from kestrelplank.sharding.key_range import KeyRange
from kestrelplank.time_units import MILLISECOND, SECOND


def answer(status=200, extra_headers=""):
    return f"HTTP/1.1 {status} X\r\n{extra_headers}Content-Length: 0\r\n\r\n".encode()


RELEASED = answer(extra_headers="X-Handover: h\r\n")


class Calls:
    """The calls to one scripted server. `ended`: the type and the result of each request, by its first key."""

    def __init__(self, server):
        self.server, self.ended, self.result_added = server, {}, asyncio.Event()
        self.calls = ServerCalls(self.call_ended, f"{IP}:{server.port}")

    def call_ended(self, call, result):
        first = call.request.key_range.first
        assert first not in self.ended and call.service == "views"
        self.ended[first] = (type(call.request), result)
        self.result_added.set()

    def grant(self, first, lease_until=None):
        self.put(GrantKeyRange("s", "a", KeyRange(first, first, "s", "a", 7, "old")), lease_until)

    def release(self, first):
        self.put(ReleaseKeyRange("s", "a", KeyRange(first, first, "s", "a", 7)))

    def put(self, request, lease_until=None):
        lease_until = time.monotonic_ns() + 9 * SECOND if lease_until is None else lease_until
        self.calls.put(CallServer("views", request, lease_until))

    async def until_ended(self, count):
        while len(self.ended) < count:
            self.result_added.clear()
            await self.result_added.wait()


def run_against(script, scenario):
    async def run():
        server = ScriptedServer("s", script)
        await server.start()
        calls = Calls(server)
        try:
            async with asyncio.timeout(20):
                await scenario(calls)
        finally:
            calls.calls.close()
            await server.stop()

    asyncio.run(run())


def requests_in(data):
    """The path and the body of each request in these bytes."""
    requests, rest = [], data
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        size = int(next(line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length"))[16:])
        requests.append((head.split()[1].decode(), json.loads(rest[:size])))
        rest = rest[size:]
    return requests


def test_releases_run_concurrently_up_to_their_limit_and_do_not_delay_grants():
    may_answer = asyncio.Event()

    async def script(server, connection):
        while True:
            head, headers = await connection.head()
            await connection._read(int(headers["content-length"]))
            if "release" in head:
                server.waiting = getattr(server, "waiting", 0) + 1
                server.release_arrived.set()
                await may_answer.wait()
                connection.write(RELEASED)
            else:
                connection.write(answer())

    async def scenario(calls):
        calls.server.release_arrived = asyncio.Event()
        for first in range(MAX_CONCURRENT_RELEASES + 3):
            calls.release(first)
        while getattr(calls.server, "waiting", 0) < MAX_CONCURRENT_RELEASES:
            calls.server.release_arrived.clear()
            await calls.server.release_arrived.wait()
        for first in range(100, 100 + 3 * MAX_CONCURRENT_GRANTS):
            calls.grant(first)
        await calls.until_ended(3 * MAX_CONCURRENT_GRANTS)
        assert calls.server.waiting == MAX_CONCURRENT_RELEASES and set(calls.ended.values()) == {
            (GrantKeyRange, ServerCallResult(True, 200))
        }
        may_answer.set()
        await calls.until_ended(MAX_CONCURRENT_RELEASES + 3 + 3 * MAX_CONCURRENT_GRANTS)
        assert [calls.ended[first] for first in range(MAX_CONCURRENT_RELEASES + 3)] == [
            (ReleaseKeyRange, ServerCallResult(True, 200, "h"))
        ] * (MAX_CONCURRENT_RELEASES + 3)
        assert len(calls.server.connections) <= MAX_CONCURRENT_RELEASES + 3 + MAX_CONCURRENT_GRANTS

    run_against(script, scenario)


@pytest.mark.parametrize("ending", ["reset", "close", "half", "garbage"])
def test_a_call_whose_connection_ends_is_sent_once_and_reported_as_sent(ending):
    async def script(server, connection):
        await connection.request()
        connection.write({"half": b"HTTP/1.1 20", "garbage": b"\x00\x01\r\n\r\n"}.get(ending, b""))
        if ending == "reset":
            connection.reset()

    async def scenario(calls):
        calls.grant(1)
        await calls.until_ended(1)
        assert calls.ended[1] == (GrantKeyRange, ServerCallResult(True))
        assert len(calls.server.connections) == 1 and len(requests_in(calls.server.connections[0].received)) == 1

    run_against(script, scenario)


def test_a_call_to_a_closed_port_is_reported_as_not_sent():
    async def scenario(calls):
        calls.server.listening.close()
        await calls.server.listening.wait_closed()
        calls.grant(1)
        await calls.until_ended(1)
        assert calls.ended[1] == (GrantKeyRange, ServerCallResult(False))

    async def script(server, connection):
        pass

    run_against(script, scenario)


def test_a_grant_is_not_sent_once_the_leader_lease_has_ended():
    """The lease can end while the grant waits in the queue or for its connection."""

    async def script(server, connection):
        await connection.reader.read()

    async def scenario(calls):
        calls.grant(1, lease_until=time.monotonic_ns())
        await calls.until_ended(1)
        assert calls.ended[1] == (GrantKeyRange, ServerCallResult(False))
        assert all(not connection.received for connection in calls.server.connections)

    run_against(script, scenario)


def test_a_server_that_reads_a_grant_late_gets_it_once_and_the_next_on_another_connection():
    """Late readers of grants are not waited for: a call ends by its own time-out, and says nothing about the server."""
    may_read = asyncio.Event()

    async def script(server, connection):
        if len(server.connections) == 1:
            await may_read.wait()
        while True:
            await connection.request()
            connection.write(answer())

    async def scenario(calls):
        calls.grant(1)
        await calls.until_ended(1)
        assert calls.ended[1] == (GrantKeyRange, ServerCallResult(True))
        calls.grant(2)
        await calls.until_ended(2)
        assert calls.ended[2] == (GrantKeyRange, ServerCallResult(True, 200))
        may_read.set()
        while not calls.server.tasks[0].done():
            await asyncio.sleep(0)
        first, second = (requests_in(connection.received) for connection in calls.server.connections)
        assert [len(first) <= 1, [body["source"] for _, body in second]] == [True, [2]]

    run_against(script, scenario)


def test_a_grant_never_has_longer_to_arrive_than_the_user_timeout():
    """`sharding.timing` counts on it: a late reader of grants is not kept, unlike one of requests."""

    async def script(server, connection):
        while True:
            await connection.request()
            connection.write(answer(extra_headers="Keep-Alive: timeout=10\r\n"))

    async def scenario(calls):
        calls.grant(1)
        await calls.until_ended(1)
        (pooled,) = calls.calls._idle
        sock = pooled.connection.stream.transport.get_extra_info("socket")
        assert pooled.connection.stream.watch is None
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == USER_TIMEOUT_NS // MILLISECOND

    run_against(script, scenario)


def test_a_duplicate_response_to_a_release_is_not_taken_for_the_response_to_the_next():
    """The duplicate arrives late, when the next release was sent: that release uses another connection."""
    sent = asyncio.Event()

    async def script(server, connection):
        _, body = await connection.request()
        if json.loads(body)["source"] == 1:
            connection.write(RELEASED)
            await sent.wait()
            connection.write(RELEASED)  # the duplicate
            await connection.reader.read()
        sent.set()
        await asyncio.Event().wait()  # no response: work on these keys has not finished

    async def scenario(calls):
        calls.release(1)
        await calls.until_ended(1)
        calls.release(2)
        await sent.wait()
        calls.grant(3)
        await asyncio.sleep(0)
        assert 2 not in calls.ended and len(calls.server.connections) == 2

    run_against(script, scenario)


# Guards against two owners of a key: a lease that was granted was not counted, as its answer was a copy of a refusal.
def test_a_copy_of_the_refusal_of_a_grant_is_not_taken_for_the_answer_to_the_next_grant():
    async def script(server, connection):
        await connection.request()
        if len(server.connections) > 1:
            connection.write(answer())
        else:
            connection.write(answer(409, "Keep-Alive: timeout=10\r\n"))
            await connection.request()
            connection.write(answer(409) + answer())
        await connection.reader.read()

    async def scenario(calls):
        for first in (1, 2):
            calls.grant(first)
            await calls.until_ended(first)
        assert [calls.ended[first][1].status for first in (1, 2)] == [409, 200]

    run_against(script, scenario)


def test_a_connection_with_extra_bytes_after_a_response_is_not_reused():
    async def script(server, connection):
        while True:
            await connection.request()
            connection.write(answer() + answer(409))

    async def scenario(calls):
        for first in (1, 2):
            calls.grant(first)
            await calls.until_ended(first)
        assert [calls.ended[first][1].status for first in (1, 2)] == [200, 200] and len(calls.server.connections) == 2

    run_against(script, scenario)


def test_a_grant_carries_its_lease_and_handover_and_renewals_share_a_connection():
    async def script(server, connection):
        while True:
            await connection.request()
            connection.write(answer(extra_headers="Keep-Alive: timeout=10\r\n"))

    async def scenario(calls):
        for first in (1, 2):
            calls.grant(first)
            await calls.until_ended(first)
        assert len(calls.server.connections) == 1
        expected_fields = {"target_version": 1, "fence": 7, "hold_s": 4.0, "handover": "old"}
        assert requests_in(calls.server.connections[0].received) == [
            ("/api/grant", {"source": first, **expected_fields, "target_version": first}) for first in (1, 2)
        ]

    run_against(script, scenario)
