"""An HTTP/1.1 client over httptools: calls on a persistent connection, and streams, whose responses do not end."""

from abc import ABC, abstractmethod
from typing import NamedTuple, Protocol

import httptools

from kestrelplank.decode import NS_PER_MS
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import OutboundConnection, address
from kestrelplank.sockets.loop import Loop, Timer

DIAL_TIMEOUT_NS = 250 * NS_PER_MS  # for a connection to the relay or the discovery agent to be established
MAX_UNSENT_BYTES = 1 << 18
MAX_HEADER_BYTES = 1 << 15  # of a response
OK = 200


class HttpPeer(ABC):
    """A peer and the connection to it, if there is one.

    Received bytes go through the parser, whose callbacks store the response; `_process_answer` is then called, and
    `_connection_ended` once the connection is closed.
    """

    _parser: httptools.HttpResponseParser  # of the current connection

    def __init__(self, loop: Loop, pool: BufferPool, to: str, dial_timeout_ns: int) -> None:
        self._loop, self._pool, self.to, self._dial_timeout_ns = loop, pool, to, dial_timeout_ns
        self._connection: OutboundConnection | None = None
        self._timer: Timer | None = None
        self._status, self._header_bytes = 0, 0  # of the response that is being read

    def _reset_parser(self) -> None:
        """Reset the parser for a new connection."""
        self._parser = httptools.HttpResponseParser(self)
        self._status, self._header_bytes = 0, 0
        self._complete, self._keep_alive, self._connected_to = False, True, self.to

    def _dial(self) -> None:
        self._reset_parser()
        try:
            self._connection = OutboundConnection(
                self._loop, self._pool, address(self.to), self, MAX_UNSENT_BYTES, self._dial_timeout_ns
            )
        except OSError as err:  # out of descriptors: reported from the loop, as the caller has not returned yet
            why = str(err)
            self._timer = self._loop.at(self._loop.now(), lambda: self.on_close(why))

    def drop(self, why: str) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close(why)

    def _write(self, data: bytes) -> None:
        if self._connection is not None:
            self._connection.write(data)

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()

    @abstractmethod
    def _process_answer(self) -> None:
        """Process the part of the response that has been received."""

    @abstractmethod
    def _connection_ended(self, why: str) -> None:
        """Handle the end of the connection."""

    # Called by the connection.

    @abstractmethod
    def on_open(self) -> None:
        """Handle that the connection is established."""

    def on_data(self, data: memoryview) -> None:
        """Parse received bytes."""
        if not self._status:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.drop(f"unreadable: {err}")
            return
        if self._header_bytes > MAX_HEADER_BYTES and not self._status:
            self.drop("too large")
        else:
            self._process_answer()

    def on_close(self, why: str) -> None:
        """Clear the connection and its timer."""
        self._connection = None
        self._cancel_timer()
        self._connection_ended(why)

    # Called by httptools.

    def on_headers_complete(self) -> None:
        """Store the status code."""
        self._status = self._parser.get_status_code()

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""

    def on_message_complete(self) -> None:
        """Store whether the connection may be reused, which the parser knows only during this callback."""
        self._complete, self._keep_alive = True, self._parser.should_keep_alive()


class ResponseHandler(Protocol):
    """Receives the outcome of a call."""

    def on_answer(self, status: int, body: bytes) -> None:
        """Process the response."""

    def on_failure(self, why: str) -> None:
        """Handle a call that got no response."""


class Client(HttpPeer):
    """Makes one call at a time, and connects when there is a call to make.

    Each call ends in exactly one of the handler's callbacks. At the deadline the connection is closed with the call, as
    a late response would be taken for that of the next call.
    """

    def __init__(
        self, loop: Loop, pool: BufferPool, to: str, handler: ResponseHandler, dial_timeout_ns: int, max_body_bytes: int
    ) -> None:
        super().__init__(loop, pool, to, dial_timeout_ns)
        self._handler, self._max_body_bytes = handler, max_body_bytes
        self.busy = False  # whether a call is in flight
        self._request, self._timeout_ns = b"", 0
        self._established = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    def call(self, method: str, path: str, body: bytes, timeout_ns: int) -> None:
        """Start a call; none may be in flight.

        :param timeout_ns: counts from when the request is sent.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.to}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self._request, self._timeout_ns, self.busy = head.encode() + b"\r\n" + body, timeout_ns, True
        if self._connection is None:
            self._established = False
            self._dial()
        elif self._established:
            self._send()

    @property
    def sent(self) -> bool:
        """Whether the current call has been written to a connection; if not, the peer has received nothing of it."""
        return not self._request

    def move(self, to: str) -> None:
        """Make calls to another address from now on.

        A call that has been sent may be executed there, so it ends first: sent to both addresses, it could be executed
        after a newer one.
        """
        if to != self.to:
            self.to = to
            if not (self.busy and self._established):
                self.drop("moved")

    def close(self) -> None:
        """Close the connection and abandon the call in flight."""
        self.busy = False
        self.drop("closed locally")
        self._cancel_timer()

    def _send(self) -> None:
        self._timer = self._loop.at(self._loop.now() + self._timeout_ns, lambda: self.drop("silent"))
        request, self._request = self._request, b""
        self._write(request)

    def _process_answer(self) -> None:
        if not self.busy:
            self.drop("a response without a request")
        elif self._body_bytes > self._max_body_bytes:
            self.drop("too large")
        elif self._complete:
            self._end_call()

    def _end_call(self) -> None:
        status, body = self._status, b"".join(self._body)
        self._clear_body()
        self._status, self._header_bytes, self._complete, self.busy = 0, 0, False, False
        self._cancel_timer()
        if not self._keep_alive or self._connected_to != self.to:
            self.drop("closed after the response")
        self._handler.on_answer(status, body)

    def _clear_body(self) -> None:
        self._body.clear()
        self._body_bytes = 0

    def _connection_ended(self, why: str) -> None:
        self._clear_body()
        if self.busy:
            self.busy = False
            self._handler.on_failure(why)

    def on_open(self) -> None:
        """Send the pending call."""
        self._established = True
        if self.busy:
            self._send()

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body, up to the limit."""
        self._body_bytes += len(data)
        if self._body_bytes <= self._max_body_bytes:
            self._body.append(data)


class StreamHandler(Protocol):
    """Receives the callbacks of a stream."""

    def stream_path(self) -> str:
        """Return the path to request; called for every connection."""

    def on_stream_start(self) -> None:
        """Handle the start of a stream."""

    def on_stream_line(self, line: bytes) -> None:
        """Process a line."""

    def on_stream_end(self, why: str) -> None:
        """Handle that a stream has ended or could not be opened; it is reopened after the backoff."""


class StreamLimits(NamedTuple):
    """Limits of a stream.

    :param idle_timeout_ns: it is closed after so long without bytes.
    :param initial_backoff_ns: delay before reconnecting; doubles up to `max_backoff_ns` while streams end within
        `idle_timeout_ns`.
    """

    idle_timeout_ns: int
    initial_backoff_ns: int
    max_backoff_ns: int
    max_line_bytes: int


class Stream(HttpPeer):
    """A GET whose response is an endless sequence of lines; it reconnects with backoff until it is closed."""

    def __init__(self, loop: Loop, pool: BufferPool, to: str, handler: StreamHandler, limits: StreamLimits) -> None:
        super().__init__(loop, pool, to, DIAL_TIMEOUT_NS)
        self._handler, self._limits = handler, limits
        self._backoff_ns, self._closed = limits.initial_backoff_ns, False
        self._last_received_at, self._opened_at = 0, loop.now()
        self._start()

    def move(self, to: str) -> None:
        """Reconnect to another address after the initial backoff."""
        if to != self.to:
            self.to, self._backoff_ns = to, self._limits.initial_backoff_ns
            self.drop("moved")

    def close(self) -> None:
        """Close the stream and do not reconnect."""
        self._closed = True
        self.drop("closed locally")
        self._cancel_timer()

    def _start(self) -> None:
        self._line = bytearray()  # the incomplete last line
        self._lines: list[bytes] = []  # complete, not yet delivered
        self._dial()

    def _check_idle_timeout(self) -> None:
        """Close an idle stream; the timer is not reset by every read, which would fill the timer heap."""
        due_at = self._last_received_at + self._limits.idle_timeout_ns
        if self._loop.now() >= due_at:
            self.drop("silent")
        else:
            self._timer = self._loop.at(due_at, self._check_idle_timeout)

    def _process_answer(self) -> None:
        self._last_received_at = self._loop.now()
        if self._status not in (0, OK):
            self.drop(f"status {self._status}")
            return
        if len(self._line) > self._limits.max_line_bytes:
            self.drop("too large")
            return
        lines, self._lines = self._lines, []
        for line in lines:
            if self._connection is None:  # the handler has closed the stream
                return
            self._handler.on_stream_line(line)
        if self._complete:
            self.drop("the response has ended")

    def _connection_ended(self, why: str) -> None:
        if not self._closed:
            now = self._loop.now()
            if now - self._opened_at > self._limits.idle_timeout_ns:
                self._backoff_ns = self._limits.initial_backoff_ns
            self._timer = self._loop.at(now + self._backoff_ns, self._start)
            self._backoff_ns = min(2 * self._backoff_ns, self._limits.max_backoff_ns)
            self._handler.on_stream_end(why)

    def on_open(self) -> None:
        """Request the stream."""
        self._last_received_at = self._opened_at = self._loop.now()
        self._check_idle_timeout()
        self._write(f"GET {self._handler.stream_path()} HTTP/1.1\r\nHost: {self.to}\r\n\r\n".encode())

    def on_headers_complete(self) -> None:
        """Notify the handler of the start of a stream."""
        super().on_headers_complete()
        if self._status == OK:
            self._handler.on_stream_start()

    def on_body(self, data: bytes) -> None:
        """Split the body into lines."""
        first, *rest = data.split(b"\n")
        self._line += first
        for beginning in rest:
            self._lines.append(bytes(self._line))
            self._line[:] = beginning
