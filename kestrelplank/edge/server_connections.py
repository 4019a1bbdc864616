"""Connections to servers, kept by address: one request at a time on each, closed in one place.

An answer belongs to a request if it came whole on the connection that the request went out on and bears the request's
`X-Attempt-Id`. What was seen of a try is reported (`Seen`); whether it may be sent again is not known here.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.http.call import IDLE, Answer, Connection, NoAnswer, dial
from kestrelplank.load_balancing.connection_pool import ConnectionPool, NoConnection, PoolSettings

NS = 1_000_000_000
DIAL_WITHIN = 0.35  # s for a connection to come up
HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A client's request as it goes to a server. `attempt`: its `X-Attempt-Id`."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempt: bytes


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a try ended; `answer` where one came whole that is this request's."""

    seen: CallOutcome
    answer: Answer | None = None

    def load(self) -> tuple[int, int, int] | None:
        """Running, waiting and slots, as the server told."""
        told = self.answer.fields.get(b"x-server-load") if self.answer else None
        try:
            parts = tuple(map(int, told.split(b","))) if told else ()
        except ValueError:
            return None
        return parts if len(parts) == 3 else None  # type: ignore[return-value]


class ServerConnections:
    """All connections to servers. `clock` in ns."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._connections: dict[str, dict[int, Connection]] = {}
        self._number = 0

    async def send(self, address: str, request: ServerRequest, within: int, most: int) -> Outcome:
        """One try at that server, within so many ns, over one of at most so many connections. Never raises but when
        cancelled."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(
                self._clock(), PoolSettings(max_connections=most, idle_timeout_ns=IDLE)
            )
            self._connections[address] = {}
        pool.limit_connections(most)
        connections = self._connections[address]
        number, connection = self._kept(pool, connections)
        if number is None:
            return Outcome(CallOutcome.NO_CONNECTION_FREE)
        until = asyncio.get_running_loop().time() + within / NS
        if connection is None:
            connection = await self._dial(pool, address, min(DIAL_WITHIN, within / NS))
            if connection is None:
                return Outcome(CallOutcome.CONNECT_FAIL)
            connections[number] = connection
            pool.dial_succeeded(number)
        kept = False
        try:
            outcome, kept = await self._exchange(pool, connection, request, until)
            return outcome
        finally:
            if not pool.release(self._clock(), number, kept):
                connections.pop(number, None)
                connection.reset()

    @staticmethod
    async def _dial(pool: ConnectionPool, address: str, within: float) -> Connection | None:
        host, _, port = address.rpartition(":")
        try:
            return await dial((host, int(port)), within)
        except (OSError, TimeoutError):
            pool.dial_failed()
            return None
        except BaseException:
            pool.dial_failed()
            raise

    @staticmethod
    async def _exchange(
        pool: ConnectionPool, connection: Connection, request: ServerRequest, until: float
    ) -> tuple[Outcome, bool]:
        """The request on that connection, until so late by the loop's clock (s); and whether the connection is kept."""
        connection.stream.begin()
        try:
            async with asyncio.timeout_at(until):
                answer = await connection.ask(request.method, request.target, request.headers, request.body)
                while not belongs(answer, request.attempt):  # to an older request, or to none: ours is still to come
                    answer = await connection.next_answer(request.method, request.target)
            pool.limit_idle_time(answer.kept_for())
            return Outcome(judge(answer), answer), connection.keep
        except NoAnswer as err:
            return Outcome(err.seen), False
        except TimeoutError:
            return Outcome(CallOutcome.TIMEOUT if connection.stream.sent else CallOutcome.CONNECT_FAIL), False

    def _kept(self, pool: ConnectionPool, connections: dict[int, Connection]) -> tuple[int | None, Connection | None]:
        """A connection that can be used at once, or the number for a new one, or neither where all are busy."""
        while True:
            number = pool.acquire(self._clock())
            if number is NoConnection.DIAL:
                self._number += 1
                return self._number, None
            if isinstance(number, NoConnection):
                return None, None
            connection = connections[number]
            if not connection.surplus():
                return number, connection
            pool.connection_lost(number)
            connections.pop(number).reset()

    def unused(self, address: str) -> int:
        """Connections there that stand unused."""
        pool = self._pools.get(address)
        return pool.counts()[1] if pool is not None else 0

    def tidy(self, live: set[str]) -> None:
        """Closes what has been idle too long, and all that stands to servers that are no longer there."""
        for address, pool in list(self._pools.items()):
            connections = self._connections[address]
            ended = pool.expire_idle(self._clock()) if address in live else pool.withdraw(self._clock())
            for number in ended:
                connections.pop(number).reset()
            if address in live:
                pool.restore(self._clock())
            elif not connections and pool.counts() == (0, 0, 0):
                del self._pools[address], self._connections[address]


def belongs(answer: Answer, attempt: bytes) -> bool:
    """Whether it is the answer to the request with that id."""
    return answer.only(b"x-attempt-id") == attempt


def judge(answer: Answer) -> CallOutcome:
    """What a whole answer to our request tells of it."""
    if b"x-not-executed" in answer.fields or answer.status == 421:
        return CallOutcome.NOT_EXECUTED
    if answer.status < 200 or answer.status < 300 and b"x-server-seal" not in answer.fields:
        return CallOutcome.MALFORMED
    return CallOutcome.SERVER_ERROR if answer.status >= 500 else CallOutcome.ANSWERED
