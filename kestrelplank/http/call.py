"""One request on one connection, and its whole answer: for calls of our own and for those that clients make."""

from typing import NamedTuple

import httpcore

from kestrelplank.http.stream import Stream, connect

MOST_ANSWER = 16 << 20


class Answer(NamedTuple):
    """An answer in full. `headers`: as they came; `fields`: by lower-case name, the last of several."""

    status: int
    headers: list[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]
    body: bytes


class TooLarge(Exception):
    """An answer beyond what is held in memory."""


class Line:
    """A kept connection to one address, one request at a time. `keep`: the other side lets it be used again; `owed`:
    a surplus answer was met, so one of ours is still to come."""

    def __init__(self, address: tuple[str, int], stream: Stream) -> None:
        self.address, self.stream, self.keep = address, stream, True
        self._origin = httpcore.Origin(b"http", address[0].encode(), address[1])
        self._http = httpcore.AsyncHTTP11Connection(self._origin, stream)

    async def ask(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Answer:
        """Sends a request and returns its whole answer; an answer that breaks off or can't be read raises, and the
        connection is then of no more use."""
        url = httpcore.URL(scheme=b"http", host=self._origin.host, port=self._origin.port, target=target)
        request = httpcore.Request(method, url, headers=headers, content=body)
        answer = await self._http.handle_async_request(request)
        return await self._whole(answer)

    async def ask_on(self, method: bytes, target: bytes) -> Answer:
        """The next answer on this connection without sending anything: for one that came in the place of ours."""
        left, _ = self._http._h11_state.trailing_data
        self.stream.buffer[:0] = left
        self.stream.muted = True
        self._http = httpcore.AsyncHTTP11Connection(self._origin, self.stream)
        try:
            return await self.ask(method, target, [(b"Host", b"x")], b"")
        finally:
            self.stream.muted, self.keep = False, False

    async def _whole(self, answer: httpcore.Response) -> Answer:
        parts, size = [], 0
        async for part in answer.stream:  # type: ignore[union-attr]
            size += len(part)
            if size > MOST_ANSWER:
                raise TooLarge
            parts.append(part)
        await answer.stream.aclose()  # type: ignore[union-attr]
        fields = {name.lower(): value for name, value in answer.headers}
        if not self._http.is_idle() or not self.stream.quiet() or fields.get(b"connection", b"").lower() == b"close":
            self.keep = False
        return Answer(answer.status, answer.headers, fields, b"".join(parts))

    def surplus(self) -> bool:
        """Whether bytes lie there that belong to no request, or the other side has ended it."""
        return not self.stream.quiet() or bool(self._http._h11_state.trailing_data[0])

    def reset(self) -> None:
        self.keep = False
        self.stream.reset()


async def dial(address: tuple[str, int], within: float) -> Line:
    """A new connection within so many seconds; OSError or TimeoutError where none comes up."""
    return Line(address, await connect(*address, within))
