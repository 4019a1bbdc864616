"""Grants and releases as calls to one server: side by side, a bounded number of each, every call alone on a connection
while it is out.

The adapter decides nothing: it sends each call that the deciding core asked for, once, and reports how it ended. An
answer bears no name of its call, so it is tied to it by the connection: a connection on which anything has come that
nobody asked for, or that ended without a whole answer, is never used again, and one that has carried a release carries
no other one, so that a second answer to the first can't be taken for the other's.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from kestrelplank.http.call import Answer, Connection, dial
from kestrelplank.settings.platform import parse_address
from kestrelplank.sharding.key_ranges import CALL, HOLD, RELEASE, KeyRange

S = 1_000_000_000
DIAL = 0.6  # s, for a connection to come up
GRANTS, RELEASES = 2, 4  # calls of each that are out to one server at a time
GRANT = "grant"
FAILED = (OSError, TimeoutError)
# service, action, line, whether anything was sent, status of the answer if one came, handover that it carried
Called = Callable[[str, str, KeyRange, bool, int | None, str | None], None]


@dataclass(frozen=True, slots=True)
class ServerCall:
    """A call that the deciding core asked for. A grant is not sent at `until` (ns) or later."""

    action: str
    service: str
    server: str
    address: str
    line: KeyRange
    until: int

    def body(self) -> bytes:
        """As it stands when the call is sent."""
        fields: dict[str, Any] = {
            "source": self.line.first,
            "target_version": self.line.last,
            "fence": self.line.fence,
        }
        if self.action == GRANT:
            fields["hold_s"] = HOLD / S
            if self.line.handover:
                fields["handover"] = self.line.handover
        return msgspec.json.encode(fields)


@dataclass(slots=True)
class KeptConnection:
    """A connection to the server. `rests_until` (ns): it may be used again so long. `released`: it has carried a
    release."""

    connection: Connection
    rests_until: int = 0
    released: bool = False


class ServerCalls:
    """Calls to one server. Put the core's effects in `queue`; `called` is told how each has ended, once."""

    def __init__(self, called: Called, address: str) -> None:
        self.called, self.address = called, parse_address(address)
        self.queue: asyncio.Queue[tuple[Any, ...]] = asyncio.Queue()
        self._room = {GRANT: asyncio.Semaphore(GRANTS), "release": asyncio.Semaphore(RELEASES)}
        self._idle: list[KeptConnection] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Begins each call at once; as a line has one call at a time, there are no more than lines."""
        while True:
            _, *given = await self.queue.get()
            task = asyncio.create_task(self._call(ServerCall(*given)))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _call(self, call: ServerCall) -> None:
        async with self._room[call.action]:
            sent, answer = await self._ask(call)
        handover = answer.fields.get(b"x-handover") if answer else None
        self.called(
            call.service,
            call.action,
            call.line,
            sent,
            answer.status if answer else None,
            handover.decode("latin-1") if handover else None,
        )

    async def _ask(self, call: ServerCall) -> tuple[bool, Answer | None]:
        """Whether anything was sent, and the answer if a whole one came."""
        kept: KeptConnection | None = None
        answer: Answer | None = None
        try:
            async with asyncio.timeout((CALL if call.action == GRANT else RELEASE) / S):
                kept = self._take(call) or KeptConnection(await dial(self.address, DIAL))
                kept.connection.stream.begin()
                if call.action == GRANT and time.monotonic_ns() >= call.until:
                    return False, None
                kept.released |= call.action != GRANT
                answer = await self._send(kept.connection, call)
        except FAILED:
            pass
        finally:
            self._give_back(kept, answer)
        return kept is not None and kept.connection.stream.sent > 0, answer

    async def _send(self, connection: Connection, call: ServerCall) -> Answer:
        body = call.body()
        headers = [
            (b"Host", b"server"),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            (b"X-Target-Instance", call.server.encode()),
        ]
        return await connection.ask(b"POST", f"/api/{call.action}".encode(), headers, body)

    def _take(self, call: ServerCall) -> KeptConnection | None:
        """An idle connection for this call, the one used last first."""
        now = time.monotonic_ns()
        for kept in reversed(self._idle):
            if now >= kept.rests_until or kept.connection.surplus():
                self._idle.remove(kept)
                kept.connection.reset()
            elif call.action == GRANT or not kept.released:
                self._idle.remove(kept)
                return kept
        return None

    def _give_back(self, kept: KeptConnection | None, answer: Answer | None) -> None:
        """Keeps the connection for another call only after a whole answer with nothing behind it."""
        if kept is None:
            return
        if answer is None or not kept.connection.keep:
            kept.connection.reset()
            return
        kept.rests_until = time.monotonic_ns() + answer.kept_for()
        self._idle.append(kept)

    def close(self) -> None:
        """Ends all that is out and all connections."""
        for task in (self._task, *self._calls):
            task.cancel()
        for kept in self._idle:
            kept.connection.reset()
        self._idle.clear()
