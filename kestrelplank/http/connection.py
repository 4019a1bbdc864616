"""Client connections with one request at a time, for forwarded requests and for the gateway's own calls."""

import httpcore

from kestrelplank.http.answer import Answer
from kestrelplank.http.asgi import Headers
from kestrelplank.http.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    ConnectionClosedWithoutAnswerError,
    ConnectionResetWithoutAnswerError,
    NoAnswerError,
    RequestNotSentError,
    RequestUnsendableError,
)
from kestrelplank.http.stream import Stream, connect

MAX_ANSWER_BYTES = 16 << 20


class Connection:
    """A persistent connection to one address, with one request at a time.

    No request is sent twice: httpcore's connections, unlike its pool, neither repeat a request nor open another
    connection (`tests/edge/test_every_byte.py`).

    `reusable` tells whether the last call left the connection usable; `is_stale` whether that has changed since.
    """

    def __init__(self, address: tuple[str, int], stream: Stream) -> None:
        self.address, self.stream, self.reusable = address, stream, True
        self._origin = httpcore.Origin(b"http", address[0].encode(), address[1])
        self._http = httpcore.AsyncHTTP11Connection(self._origin, stream)

    async def call(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> Answer:
        """Send a request and return its complete answer.

        :raises NoAnswerError: there is no complete answer; the connection can't be used again.
        """
        self.stream.begin_call()
        return await self._exchange(method, target, headers, body)

    async def next_answer(self, method: bytes, target: bytes) -> Answer:
        """Return the next answer on this connection without sending anything.

        Used when the answer received belongs to an earlier request. The connection is not reusable afterwards.

        httpcore reads an answer only after writing a request. Therefore a new httpcore connection on the same stream
        is given the bytes that the old one has read ahead, and writes a request that the stream discards.

        :raises NoAnswerError: there is no further complete answer.
        """
        unread, _ = self._http._h11_state.trailing_data
        self.stream.buffer[:0] = unread
        self.stream.discards_writes = True
        self._http = httpcore.AsyncHTTP11Connection(self._origin, self.stream)
        try:
            return await self._exchange(method, target, [(b"Host", b"x")], b"")
        finally:
            self.stream.discards_writes, self.reusable = False, False

    async def _exchange(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> Answer:
        """Send the request by httpcore, and convert its exceptions into the matching `NoAnswerError`."""
        url = httpcore.URL(scheme=b"http", host=self._origin.host, port=self._origin.port, target=target)
        request = httpcore.Request(method, url, headers=headers, content=body)
        try:
            return await self._read(await self._http.handle_async_request(request))
        except NoAnswerError:
            raise
        except httpcore.LocalProtocolError as err:
            self.reusable = False
            raise (AnswerTruncatedError if self.stream.sent_bytes else RequestUnsendableError)(str(err)) from err
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable, OSError) as err:
            self.reusable = False
            raise self._error_type()(str(err)) from err

    async def _read(self, response: httpcore.Response) -> Answer:
        """Read the body, up to `MAX_ANSWER_BYTES`, and update `reusable`."""
        chunks, size = [], 0
        async for chunk in response.stream:  # type: ignore[union-attr]
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                self.reusable = False
                raise AnswerMalformedError(f"body exceeds {MAX_ANSWER_BYTES} bytes")
            chunks.append(chunk)
        await response.stream.aclose()  # type: ignore[union-attr]
        fields = {name.lower(): value for name, value in response.headers}
        if self._has_surplus_input() or not self._http.is_idle() or b"close" in fields.get(b"connection", b"").lower():
            self.reusable = False
        return Answer(response.status, response.headers, fields, b"".join(chunks))

    def _error_type(self) -> type[NoAnswerError]:
        """Return the error type of a call without a complete answer, by the bytes sent and received."""
        stream = self.stream
        if not stream.sent_bytes:
            return RequestNotSentError
        if stream.received_bytes:
            return AnswerTruncatedError if stream.ended else AnswerMalformedError
        return ConnectionClosedWithoutAnswerError if stream.error is None else ConnectionResetWithoutAnswerError

    def is_stale(self) -> bool:
        """Whether the connection can't be reused: it has ended, received unsolicited bytes, or has bytes to send."""
        return self._has_surplus_input() or self.stream.has_unsent_bytes()

    def _has_surplus_input(self) -> bool:
        """Whether the connection has ended, or received bytes after the answer."""
        return not self.stream.has_no_input() or bool(self._http._h11_state.trailing_data[0])

    def close(self) -> None:
        """Close the connection in order, once all written bytes have been sent."""
        self.reusable = False
        self.stream.close()

    def reset(self) -> None:
        """Reset the connection, so that no late bytes are taken for the answer to another request."""
        self.reusable = False
        self.stream.reset()


async def dial(address: tuple[str, int], timeout_s: float, keeps_late_reader: bool = True) -> Connection:
    """Return a new connection to that address.

    :param keeps_late_reader: see `Stream`.
    :raises OSError: it can't be established.
    :raises TimeoutError: it is not established in time.
    """
    return Connection(address, await connect(*address, timeout_s, keeps_late_reader))
