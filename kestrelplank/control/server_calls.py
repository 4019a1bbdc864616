"""Grants and releases as calls to one server.

Calls run concurrently, a bounded number of each kind, and each has a connection to itself while it is in flight.

This adapter makes no decisions: it sends each requested call once and reports its result. A response does not name its
call, so it is matched by its connection: a connection that received unexpected bytes, or ended without a complete
response, is not used again. Nor may a late copy of a response be taken for the response to a later call: a connection
on which a call was refused is not used again, and one that has carried a release never carries another release.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from kestrelplank.control.effects import CallServer
from kestrelplank.http.answer import Answer
from kestrelplank.http.connection import Connection, dial
from kestrelplank.settings.platform import parse_address
from kestrelplank.sharding.effects import GrantKeyRange, ReleaseKeyRange, ServerCallResult, ServerRequest
from kestrelplank.sharding.timing import GRANT_TIMEOUT_NS, RELEASE_TIMEOUT_NS
from kestrelplank.time_units import SECOND

CONNECT_TIMEOUT_S = 0.6
MAX_CONCURRENT_GRANTS, MAX_CONCURRENT_RELEASES = 2, 4  # to one server
CALL_ERRORS = (OSError, TimeoutError)
CallEnded = Callable[[CallServer, ServerCallResult], None]


class ReleaseBody(msgspec.Struct):
    """The body of a release, with the field names of the servers' API.

    :param source: the first key.
    :param target_version: the last key.
    :param fence: the fencing token.
    """

    source: int
    target_version: int
    fence: int


class GrantBody(ReleaseBody, omit_defaults=True):
    """The body of a grant, with the field names of the servers' API.

    :param hold_s: the lease duration, counted from the arrival of the grant.
    """

    hold_s: float
    handover: str = ""


@dataclass(slots=True)
class PooledConnection:
    """A reusable connection to the server.

    :param idle_until: the connection may be reused until then (ns).
    :param carried_release: whether a release was sent on it.
    """

    connection: Connection
    idle_until: int = 0
    carried_release: bool = False


class ServerCalls:
    """Calls to one server.

    :param call_ended: called once for each call, with its result, when the call has ended.
    """

    def __init__(self, call_ended: CallEnded, address: str) -> None:
        self._call_ended = call_ended
        self._address = parse_address(address)
        self._queue: asyncio.Queue[CallServer] = asyncio.Queue()
        self._grants = asyncio.Semaphore(MAX_CONCURRENT_GRANTS)
        self._releases = asyncio.Semaphore(MAX_CONCURRENT_RELEASES)
        self._idle: list[PooledConnection] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run())

    def put(self, call: CallServer) -> None:
        """Send this call once fewer than `MAX_CONCURRENT_GRANTS`, or `MAX_CONCURRENT_RELEASES`, are in flight."""
        self._queue.put_nowait(call)

    def close(self) -> None:
        """Cancel all calls and reset idle connections."""
        for task in (self._task, *self._calls):
            task.cancel()
        for pooled in self._idle:
            pooled.connection.reset()
        self._idle.clear()

    async def _run(self) -> None:
        """Start a task for each call, in which the call waits until it may be sent.

        The number of tasks is bounded, as each key range has at most one call at a time.
        """
        while True:
            call = await self._queue.get()
            task = asyncio.create_task(self._carry_out(call))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _carry_out(self, call: CallServer) -> None:
        """Wait until the call may be sent, send it, and report its result."""
        async with self._grants if isinstance(call.request, GrantKeyRange) else self._releases:
            sent, answer = await self._send_call(call)
        handover = answer.fields.get(b"x-handover") if answer else None
        self._call_ended(
            call,
            ServerCallResult(
                sent,
                answer.status if answer else None,
                handover.decode("latin-1") if handover else None,
            ),
        )

    async def _send_call(self, call: CallServer) -> tuple[bool, Answer | None]:
        """Return whether any bytes were sent, and the response if a complete one arrived."""
        is_grant = isinstance(call.request, GrantKeyRange)
        pooled: PooledConnection | None = None
        answer: Answer | None = None
        try:
            async with asyncio.timeout((GRANT_TIMEOUT_NS if is_grant else RELEASE_TIMEOUT_NS) / SECOND):
                pooled = self._take_idle(call.request) or PooledConnection(await self._dial())
                pooled.connection.stream.begin_call()
                # Checked right before sending: the queue and the dial took time.
                if is_grant and time.monotonic_ns() >= call.leader_lease_until:
                    return False, None
                pooled.carried_release |= not is_grant
                answer = await self._send(pooled.connection, call.request)
        except CALL_ERRORS:
            pass
        finally:
            self._return_to_pool(pooled, answer)
        return pooled is not None and pooled.connection.stream.sent_bytes > 0, answer

    async def _dial(self) -> Connection:
        """Return a new connection, which does not wait for a late reader: a grant must not arrive late."""
        return await dial(self._address, CONNECT_TIMEOUT_S, keeps_late_reader=False)

    async def _send(self, connection: Connection, request: ServerRequest) -> Answer:
        target, body = encode_request(request)
        headers = [
            (b"Host", b"server"),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            (b"X-Target-Instance", request.server.encode()),
        ]
        return await connection.call(b"POST", target, headers, body)

    def _take_idle(self, request: ServerRequest) -> PooledConnection | None:
        """Return an idle connection for this request, the most recently used one first."""
        now = time.monotonic_ns()
        for pooled in reversed(self._idle):
            if now >= pooled.idle_until or pooled.connection.is_stale():
                self._idle.remove(pooled)
                pooled.connection.reset()
            elif isinstance(request, GrantKeyRange) or not pooled.carried_release:
                self._idle.remove(pooled)
                return pooled
        return None

    def _return_to_pool(self, pooled: PooledConnection | None, answer: Answer | None) -> None:
        """Keep the connection for reuse if its call was accepted and no bytes followed; reset it otherwise."""
        if pooled is None:
            return
        if answer is None or answer.status != HTTPStatus.OK or not pooled.connection.reusable:
            pooled.connection.reset()
            return
        pooled.idle_until = time.monotonic_ns() + answer.max_idle_ns()
        self._idle.append(pooled)


def encode_request(request: ServerRequest) -> tuple[bytes, bytes]:
    """Return the path and the body of a request, from the current state of its key range."""
    keys = request.key_range
    match request:
        case GrantKeyRange():
            lease_s, handover = request.lease_ns / SECOND, keys.handover or ""
            grant = GrantBody(keys.first, keys.last, keys.fencing_token, lease_s, handover)
            return b"/api/grant", msgspec.json.encode(grant)
        case ReleaseKeyRange():
            return b"/api/release", msgspec.json.encode(ReleaseBody(keys.first, keys.last, keys.fencing_token))
