"""One request on one connection, and its whole answer: for calls of our own and for those that clients make."""

import re
from typing import NamedTuple

import httpcore

from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.http.stream import Stream, connect

NS = 1_000_000_000
MOST_ANSWER = 16 << 20
IDLE = 8_500_000_000  # ns for which a connection is kept unused where its server does not say how long it keeps it
EARLIER = 1_500_000_000  # ns before the server would: who ends it first must be us, as a request may be on its way
TIMEOUT = re.compile(rb"\btimeout=(\d{1,9})\b")


class Answer(NamedTuple):
    """An answer in full. `headers`: as they came; `fields`: by lower-case name, the last of several."""

    status: int
    headers: list[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]
    body: bytes

    def only(self, name: bytes) -> bytes | None:
        """The value of that header, by lower-case name, where it stands once; else None."""
        found = [value for key, value in self.headers if key.lower() == name]
        return found[0] if len(found) == 1 else None

    def kept_for(self) -> int:
        """How long (ns) a connection on which this came may be kept unused: less than its server says it does."""
        told = TIMEOUT.search(self.fields.get(b"keep-alive", b""))
        return max(0, int(told[1]) * NS - EARLIER) if told else IDLE


class NoAnswer(OSError):
    """A call has ended without a whole answer. `seen`: what there was of it."""

    def __init__(self, seen: CallOutcome, why: str = "") -> None:
        super().__init__(f"{seen.value}: {why}" if why else seen.value)
        self.seen = seen


class Connection:
    """A kept connection to one address, one request at a time. `keep`: it may be used again. Nothing is ever sent on it
    twice: httpcore's connections, unlike its pool, neither repeat a request nor open another connection."""

    def __init__(self, address: tuple[str, int], stream: Stream) -> None:
        self.address, self.stream, self.keep = address, stream, True
        self._origin = httpcore.Origin(b"http", address[0].encode(), address[1])
        self._http = httpcore.AsyncHTTP11Connection(self._origin, stream)

    async def ask(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Answer:
        """Sends a request and returns its whole answer. Raises NoAnswer where there is none, and the connection is then
        of no more use."""
        self.stream.begin()
        return await self._exchange(method, target, headers, body)

    async def next_answer(self, method: bytes, target: bytes) -> Answer:
        """The next answer on this connection without sending anything, where one came in the place of ours; after it
        the connection is not used again. Raises as `ask` does."""
        left, _ = self._http._h11_state.trailing_data
        self.stream.buffer[:0] = left
        self.stream.muted = True
        self._http = httpcore.AsyncHTTP11Connection(self._origin, self.stream)
        try:
            return await self._exchange(method, target, [(b"Host", b"x")], b"")
        finally:
            self.stream.muted, self.keep = False, False

    async def _exchange(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Answer:
        url = httpcore.URL(scheme=b"http", host=self._origin.host, port=self._origin.port, target=target)
        request = httpcore.Request(method, url, headers=headers, content=body)
        try:
            return await self._whole(await self._http.handle_async_request(request))
        except NoAnswer:
            raise
        except httpcore.LocalProtocolError as err:
            self.keep = False
            raise NoAnswer(CallOutcome.TRUNCATED if self.stream.sent else CallOutcome.UNSENDABLE, str(err)) from err
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable, OSError) as err:
            self.keep = False
            raise NoAnswer(self._seen(), str(err)) from err

    async def _whole(self, answer: httpcore.Response) -> Answer:
        parts, size = [], 0
        async for part in answer.stream:  # type: ignore[union-attr]
            size += len(part)
            if size > MOST_ANSWER:
                self.keep = False
                raise NoAnswer(CallOutcome.MALFORMED, f"over {MOST_ANSWER} bytes")
            parts.append(part)
        await answer.stream.aclose()  # type: ignore[union-attr]
        fields = {name.lower(): value for name, value in answer.headers}
        if self.surplus() or not self._http.is_idle() or b"close" in fields.get(b"connection", b"").lower():
            self.keep = False
        return Answer(answer.status, answer.headers, fields, b"".join(parts))

    def _seen(self) -> CallOutcome:
        """What there was of a call that has no whole answer."""
        stream = self.stream
        if not stream.sent:
            return CallOutcome.CONNECT_FAIL
        if stream.received:
            return CallOutcome.TRUNCATED if stream.ended else CallOutcome.MALFORMED
        return CallOutcome.CLOSED if stream.error is None else CallOutcome.RESET

    def surplus(self) -> bool:
        """Whether bytes lie there that belong to no request, the other side has ended it, or part of our request has
        not been taken."""
        return not self.stream.quiet() or self.stream.unsent() or bool(self._http._h11_state.trailing_data[0])

    def reset(self) -> None:
        """Ends it at once: what comes on it later can't be taken for an answer to anything else."""
        self.keep = False
        self.stream.reset()


async def dial(address: tuple[str, int], within: float) -> Connection:
    """A new connection within so many seconds; OSError or TimeoutError where none comes up."""
    return Connection(address, await connect(*address, within))
