"""Connections to servers, kept by address: one request at a time on each, closed in one place."""

import asyncio
import re
from collections.abc import Callable

import httpcore

from kestrelplank.forwarding.passage import ANSWERED, BROKEN, BUSY, NOT_RUN, SILENT, UNSENT
from kestrelplank.http.call import Answer, Line, TooLarge, dial
from kestrelplank.plan.pools import DIAL, USE, Pool, Terms

DIAL_WITHIN = 0.35  # s for a connection to come up
IDLE = 8_500_000_000  # ns for which a connection is kept unused where its server does not say how long it keeps it
EARLIER = 1_500_000_000  # ns before the server would: who ends it first must be us, as a request may be on its way
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
TIMEOUT = re.compile(rb"\btimeout=(\d{1,9})\b")
FAILED = (OSError, TimeoutError, httpcore.NetworkError, httpcore.ProtocolError, TooLarge)


class Outcome:
    """How a try ended; `answer` where one came whole."""

    __slots__ = ("kind", "answer")

    def __init__(self, kind: str, answer: Answer | None = None) -> None:
        self.kind, self.answer = kind, answer

    def load(self) -> tuple[int, int, int] | None:
        """Running, waiting and slots, as the server told."""
        told = self.answer.fields.get(b"x-server-load") if self.answer else None
        try:
            parts = tuple(map(int, told.split(b","))) if told else ()
        except ValueError:
            return None
        return parts if len(parts) == 3 else None  # type: ignore[return-value]


class Lines:
    """All connections to servers. `clock` in ns."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._pools: dict[str, Pool] = {}
        self._lines: dict[str, dict[int, Line]] = {}
        self._number = 0

    async def carry(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        attempt: bytes,
        within: int,
        most: int,
    ) -> Outcome:
        """One try at that server, within so many ns, over one of at most so many connections. Never raises but when
        cancelled."""
        try:
            async with asyncio.timeout(within / 1e9) as limit:
                return await self._carry(address, method, target, headers, body, attempt, most)
        except TimeoutError:
            return Outcome(SILENT if limit.expired() else UNSENT)

    async def _carry(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        attempt: bytes,
        most: int,
    ) -> Outcome:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = Pool(self._clock(), Terms(most=most, idle=IDLE))
            self._lines[address] = {}
        pool.bound(most)
        lines = self._lines[address]
        number, line = self._kept(pool, lines)
        if line is None:
            if number is None:
                return Outcome(BUSY)
            host, _, port = address.rpartition(":")
            try:
                line = await dial((host, int(port)), DIAL_WITHIN)
            except (OSError, TimeoutError):
                pool.failed()
                return Outcome(UNSENT)
            except BaseException:
                pool.failed()
                raise
            lines[number] = line
            pool.opened(number)
        line.stream.sent = 0
        kept = False
        try:
            answer = await line.ask(method, target, headers, body)
            while answer.fields.get(b"x-attempt-id") != attempt and not refused(answer):
                answer = await line.ask_on(method, target)  # an answer to an older request: ours is still to come
            kept = line.keep
            pool.keep_for(kept_for(answer))
            return Outcome(judge(answer), answer)
        except FAILED:
            return Outcome(BROKEN if line.stream.sent else UNSENT)
        finally:
            if not pool.done(self._clock(), number, kept):
                lines.pop(number, None)
                line.reset()

    def _kept(self, pool: Pool, lines: dict[int, Line]) -> tuple[int | None, Line | None]:
        """A connection that can be used at once, or the number for a new one, or neither where all are busy."""
        while True:
            step = pool.take(self._clock())
            if step[0] == DIAL:
                self._number += 1
                return self._number, None
            if step[0] != USE:
                return None, None
            line = lines[step[1]]
            if not line.surplus():
                return step[1], line
            pool.lost(step[1])
            lines.pop(step[1]).reset()

    def unused(self, address: str) -> int:
        """Connections there that stand unused."""
        pool = self._pools.get(address)
        return pool.counts()[1] if pool is not None else 0

    def tidy(self, live: set[str]) -> None:
        """Closes what has been idle too long, and all that stands to servers that are no longer there."""
        for address, pool in list(self._pools.items()):
            lines = self._lines[address]
            ended = pool.expired(self._clock()) if address in live else pool.withdraw(self._clock())
            for number in ended:
                lines.pop(number).reset()
            if address in live:
                pool.restore(self._clock())
            elif not lines and pool.counts() == (0, 0, 0):
                del self._pools[address], self._lines[address]


def kept_for(answer: Answer) -> int:
    """How long (ns) we keep a connection unused on which this came: less than its server says it does."""
    told = TIMEOUT.search(answer.fields.get(b"keep-alive", b""))
    return max(0, int(told[1]) * 1_000_000_000 - EARLIER) if told else IDLE


def refused(answer: Answer) -> bool:
    """Whether a server says without naming the request that it has not run it."""
    return b"x-attempt-id" not in answer.fields and (answer.status == 421 or b"x-not-executed" in answer.fields)


def judge(answer: Answer) -> str:
    """What an answer to our request proves: that it has not run, that it was answered, or nothing."""
    if b"x-not-executed" in answer.fields or answer.status == 421:
        return NOT_RUN
    if 200 <= answer.status < 300 and b"x-server-seal" not in answer.fields or answer.status < 200:
        return BROKEN
    return ANSWERED
