"""Attempts at servers, over persistent connections pooled by address, with one request at a time on each connection.

An answer belongs to a request if it arrived complete on the connection on which the request was sent and carries the
request's `X-Attempt-Id`. It belongs to this attempt, and not to an earlier one at the same request, as no connection
carries a request again that was refused on it (`edge.refused_requests`). This module reports how an attempt ended
(`CallOutcome`); `forwarding.retry_policy` decides whether the request may be retried.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from kestrelplank.edge.refused_requests import RefusedRequests
from kestrelplank.edge.unread_requests import UnreadRequests
from kestrelplank.forwarding.endpoint import ServerLoad
from kestrelplank.forwarding.retry_policy import NOT_EXECUTED_STATUSES, CallOutcome
from kestrelplank.http.answer import DEFAULT_IDLE_NS, Answer
from kestrelplank.http.asgi import Headers
from kestrelplank.http.connection import Connection, dial
from kestrelplank.http.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    ConnectionClosedWithoutAnswerError,
    ConnectionResetWithoutAnswerError,
    NoAnswerError,
    RequestNotSentError,
    RequestUnsendableError,
)
from kestrelplank.load_balancing.connection_pool import ConnectionPool, NoConnection, PoolSettings
from kestrelplank.time_units import SECOND

CONNECT_TIMEOUT_S = 0.35
FIRST_SUCCESS, FIRST_REDIRECT, FIRST_ERROR, FIRST_SERVER_ERROR = 200, 300, 400, 500  # status codes
SEAL = b"x-server-seal"
FORWARDABLE_OUTCOMES = (CallOutcome.ANSWERED, CallOutcome.SERVER_ERROR)  # the client may get the server's answer
# The server may have run the request, and may read the rest of the body.
ANSWERED_OUTCOMES = (*FORWARDABLE_OUTCOMES, CallOutcome.UNPROVEN_REFUSAL)
REFUSED_OUTCOMES = (CallOutcome.NOT_EXECUTED, CallOutcome.UNPROVEN_REFUSAL)  # a copy of such an answer may follow
OUTCOMES_WITHOUT_ANSWER: dict[type[NoAnswerError], CallOutcome] = {
    RequestUnsendableError: CallOutcome.UNSENDABLE,
    RequestNotSentError: CallOutcome.CONNECT_FAIL,
    ConnectionResetWithoutAnswerError: CallOutcome.RESET,
    ConnectionClosedWithoutAnswerError: CallOutcome.CLOSED,
    AnswerTruncatedError: CallOutcome.TRUNCATED,
    AnswerMalformedError: CallOutcome.MALFORMED,
}


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A client request as sent to a server.

    :param attempt_id: its `X-Attempt-Id`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    attempt_id: bytes

    def with_headers(self, headers: Headers) -> "ServerRequest":
        """Return a copy of the request with additional headers."""
        return ServerRequest(self.method, self.target, [*self.headers, *headers], self.body, self.attempt_id)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt.

    :param answer: the complete answer to this request, or None if there was none.
    :param reading: done once the server has read the rest of the body; None: it read all before it answered.
    :param connection: number of the connection, unique at this edge; None: there was none.
    """

    outcome: CallOutcome
    answer: Answer | None = None
    reading: asyncio.Task[None] | None = None
    connection: int | None = None

    def load(self) -> ServerLoad | None:
        """Return the load that the server reported, or None if there is no valid report."""
        text = self.answer.fields.get(b"x-server-load") if self.answer else None
        if not text:
            return None
        try:
            running, waiting, slots = map(int, text.split(b","))
        except ValueError:
            return None
        return running, waiting, slots


class ServerConnections:
    """All connections to servers. `send` always releases the connection that it acquires from a pool.

    :param clock: monotonic, in ns.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._connections: dict[str, dict[int, Connection]] = {}  # by address, then by the pool's connection number
        self._last_number = 0  # numbers are unique across addresses
        self._unread = UnreadRequests()
        self._refused = RefusedRequests()

    async def send(
        self,
        address: str,
        request: ServerRequest,
        timeout_ns: int,
        max_connections: int,
        should_send: Callable[[], bool] = lambda: True,
        on_stall: Callable[[], None] | None = None,
    ) -> AttemptResult:
        """Make one attempt at that server. Raises nothing except on cancellation.

        :param max_connections: limit for this edge's connections to that server.
        :param should_send: called right before the first byte is sent; if it returns False, nothing is sent.
        :param on_stall: called once if the server leaves the request unread (`PeerWatch.is_stalled`).
        """
        pool = self._pool(address, max_connections)
        deadline_at_s = asyncio.get_running_loop().time() + timeout_ns / SECOND
        number, connection = await self._connect(address, pool, request.attempt_id, max_connections, timeout_ns)
        if number is None:
            return AttemptResult(CallOutcome.NO_CONNECTION_FREE)
        if connection is None:
            return AttemptResult(CallOutcome.CONNECT_FAIL)
        if not should_send():
            self._release(address, pool, number, reusable=True)
            return AttemptResult(CallOutcome.NOT_SENT, connection=number)
        reusable = False
        connection.stream.call_on_stall(on_stall)
        try:
            result, reusable = await self._exchange(pool, connection, request, deadline_at_s)
            result = replace(result, connection=number)
            if result.outcome in ANSWERED_OUTCOMES and connection.stream.has_unsent_bytes():
                return replace(result, reading=self._keep_unread(address, pool, number))
            if result.outcome in REFUSED_OUTCOMES:
                reusable = self._refused.add(number, request.attempt_id) and reusable
            return result
        finally:
            connection.stream.call_on_stall(None)
            self._release(address, pool, number, reusable=reusable)

    def _keep_unread(self, address: str, pool: ConnectionPool, number: int) -> asyncio.Task[None]:
        """Take a connection from its pool until its server has read the rest of a request that it has answered."""
        pool.connection_lost(number)
        return self._unread.keep(address, self._remove(address, number))

    def _release(self, address: str, pool: ConnectionPool, number: int, *, reusable: bool) -> None:
        """Return the connection to its pool, or reset it, unless it has been taken from the pool."""
        if number in self._connections[address] and not pool.release(self._clock(), number, reusable):
            self._remove(address, number).reset()

    def _remove(self, address: str, number: int) -> Connection:
        """Return a connection that is no longer kept."""
        self._refused.forget(number)
        return self._connections[address].pop(number)

    async def _connect(
        self, address: str, pool: ConnectionPool, attempt_id: bytes, max_connections: int, timeout_ns: int
    ) -> tuple[int | None, Connection | None]:
        """Return a connection and its number, the number alone if the dial failed, or neither if all are in use."""
        number, connection = self._acquire(address, pool, attempt_id)
        if number is None or connection is not None:
            return number, connection
        self._limit_unread(pool, address, max_connections)
        connection = await self._dial(pool, address, min(CONNECT_TIMEOUT_S, timeout_ns / SECOND))
        if connection is not None:
            self._connections[address][number] = connection
            pool.dial_succeeded(number)
        return number, connection

    def _pool(self, address: str, max_connections: int) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(
                self._clock(), PoolSettings(max_connections=max_connections, idle_timeout_ns=DEFAULT_IDLE_NS)
            )
            self._connections[address] = {}
        pool.limit_connections(max_connections)
        return pool

    def _acquire(self, address: str, pool: ConnectionPool, attempt_id: bytes) -> tuple[int | None, Connection | None]:
        """Return an idle connection and its number, a new number alone to dial, or neither if all are in use.

        A connection on which the request was refused is not used, but closed if its place is needed for another.
        """
        while True:
            refused_on = self._refused.connections_of(attempt_id)
            number = pool.acquire(self._clock(), refused_on)
            if number is NoConnection.DIAL:
                self._last_number += 1
                return self._last_number, None
            if isinstance(number, NoConnection):
                replaced = next((idle for idle in pool.idle() if idle in refused_on), None)
                if replaced is None:
                    return None, None
                number = replaced
            elif not self._connections[address][number].is_stale():
                return number, self._connections[address][number]
            pool.connection_lost(number)
            self._remove(address, number).reset()

    def _limit_unread(self, pool: ConnectionPool, address: str, max_connections: int) -> None:
        """Make room for a connection that is dialled, as those with an unread request count towards the limit."""
        unread = self._unread.count(address)
        if unread and sum(pool.counts()) + unread > max_connections:
            self._unread.reset_oldest(address)

    @staticmethod
    async def _dial(pool: ConnectionPool, address: str, timeout_s: float) -> Connection | None:
        """Return a new connection, or None if it could not be established in time."""
        host, _, port = address.rpartition(":")
        try:
            return await dial((host, int(port)), timeout_s)
        except (OSError, TimeoutError):
            pool.dial_failed()
            return None
        except BaseException:
            pool.dial_failed()
            raise

    @staticmethod
    async def _exchange(
        pool: ConnectionPool, connection: Connection, request: ServerRequest, deadline_at_s: float
    ) -> tuple[AttemptResult, bool]:
        """Send the request on that connection; return the result and whether the connection can be reused.

        :param deadline_at_s: on the event loop's clock.
        """
        try:
            async with asyncio.timeout_at(deadline_at_s):
                answer = await connection.call(request.method, request.target, request.headers, request.body)
                while not is_answer_to(
                    answer, request.attempt_id
                ):  # an answer to an earlier request; this one's may follow
                    answer = await connection.next_answer(request.method, request.target)
            pool.limit_idle_time(answer.max_idle_ns())
            return AttemptResult(outcome_of(answer), answer), connection.reusable
        except NoAnswerError as err:
            return AttemptResult(OUTCOMES_WITHOUT_ANSWER[type(err)]), False
        except TimeoutError:
            sent = connection.stream.sent_bytes > 0
            return AttemptResult(CallOutcome.TIMEOUT if sent else CallOutcome.CONNECT_FAIL), False

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to that server."""
        pool = self._pools.get(address)
        return pool.counts()[1] if pool is not None else 0

    def close_unused(self, usable_addresses: set[str]) -> None:
        """Close connections that have been idle too long, and all idle connections to servers that are not usable.

        :param usable_addresses: addresses of the servers that may be sent requests.
        """
        for address, pool in list(self._pools.items()):
            connections = self._connections[address]
            closed_numbers = (
                pool.expire_idle(self._clock()) if address in usable_addresses else pool.withdraw(self._clock())
            )
            for number in closed_numbers:
                self._remove(address, number).reset()
            if address in usable_addresses:
                pool.restore(self._clock())
            elif not connections and pool.counts() == (0, 0, 0):
                del self._pools[address], self._connections[address]


def is_answer_to(answer: Answer, attempt_id: bytes) -> bool:
    """Whether the answer carries exactly one `X-Attempt-Id` and it is that id."""
    return answer.single_value(b"x-attempt-id") == attempt_id


def outcome_of(answer: Answer) -> CallOutcome:
    """Return the outcome of an attempt with that complete answer.

    Servers add `X-Server-Seal` to successful answers: a 2xx without it was sent by an intermediary.
    """
    if answer.status >= FIRST_ERROR:
        return _outcome_of_failure(answer)
    is_unsealed_success = FIRST_SUCCESS <= answer.status < FIRST_REDIRECT and SEAL not in answer.fields
    if answer.status < FIRST_SUCCESS or is_unsealed_success or answer.states_not_executed():
        return CallOutcome.MALFORMED
    return CallOutcome.ANSWERED


def _outcome_of_failure(answer: Answer) -> CallOutcome:
    """Return the outcome of an attempt with that 4xx or 5xx: only the server's statement proves that it has not run."""
    if answer.states_not_executed():
        return CallOutcome.NOT_EXECUTED
    if answer.status in NOT_EXECUTED_STATUSES:
        return CallOutcome.UNPROVEN_REFUSAL
    return CallOutcome.SERVER_ERROR if answer.status >= FIRST_SERVER_ERROR else CallOutcome.ANSWERED
