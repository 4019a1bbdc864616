"""HTTP/1.1 as a client, over httptools: calls on a kept connection, and streams, whose answers do not end."""

from abc import ABC, abstractmethod
from typing import NamedTuple, Protocol

import httptools

from kestrelplank.decode import NS_PER_MS
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import OutboundConnection, address
from kestrelplank.sockets.loop import Loop, Timer

DIAL_TIMEOUT_NS = 250 * NS_PER_MS  # for a connection to the relay or the agent to come up
MOST_UNSENT_BYTES = 1 << 18
MOST_HEADER_BYTES = 1 << 15  # before an answer's body
OK = 200


class HttpParty(ABC):
    """One party and the connection to it, if there is one.

    What the party sends goes through the parser, whose callbacks leave it here; `_take_answer` then looks at what has
    come, and `_connection_ended` hears that the connection is gone.
    """

    _parser: httptools.HttpResponseParser  # of the present connection

    def __init__(self, loop: Loop, pool: BufferPool, to: str, dial_timeout_ns: int) -> None:
        self._loop, self._pool, self.to, self._dial_timeout_ns = loop, pool, to, dial_timeout_ns
        self._connection: OutboundConnection | None = None
        self._timer: Timer | None = None
        self._status, self._header_bytes = 0, 0  # of the answer that is being read

    def _begin_answers(self) -> None:
        """Begin to parse what a new connection brings."""
        self._parser = httptools.HttpResponseParser(self)
        self._status, self._header_bytes = 0, 0
        self._complete, self._keep_alive, self._dialled = False, True, self.to

    def _dial(self) -> None:
        self._begin_answers()
        try:
            self._connection = OutboundConnection(
                self._loop, self._pool, address(self.to), self, MOST_UNSENT_BYTES, self._dial_timeout_ns
            )
        except OSError as err:  # short of descriptors: told from the loop, as whoever called is not done yet
            why = str(err)
            self._timer = self._loop.at(self._loop.now(), lambda: self.on_close(why))

    def drop(self, why: str) -> None:
        """Give the connection up."""
        if self._connection is not None:
            self._connection.close(why)

    def _write(self, data: bytes) -> None:
        if self._connection is not None:
            self._connection.write(data)

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()

    @abstractmethod
    def _take_answer(self) -> None:
        """Look at what has come of the answer."""

    @abstractmethod
    def _connection_ended(self, why: str) -> None:
        """Take that the connection is gone."""

    # Called by the connection.

    @abstractmethod
    def on_open(self) -> None:
        """Take that the connection is up."""

    def on_data(self, data: memoryview) -> None:
        """Parse bytes."""
        if not self._status:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.drop(f"unreadable: {err}")
            return
        if self._header_bytes > MOST_HEADER_BYTES and not self._status:
            self.drop("too large")
        else:
            self._take_answer()

    def on_close(self, why: str) -> None:
        """Take that the connection has ended."""
        self._connection = None
        self._cancel_timer()
        self._connection_ended(why)

    # Called by httptools.

    def on_headers_complete(self) -> None:
        """Keep the status."""
        self._status = self._parser.get_status_code()

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""

    def on_message_complete(self) -> None:
        """Keep whether the connection may be used again, which is known here and not later."""
        self._complete, self._keep_alive = True, self._parser.should_keep_alive()


class CallOwner(Protocol):
    """Whom a call's end is told."""

    def on_answer(self, status: int, body: bytes) -> None:
        """Take the answer."""

    def on_failure(self, why: str) -> None:
        """Take that there is none."""


class Client(HttpParty):
    """Makes calls, one at a time, and dials when there is one to make.

    Each call ends in exactly one of the owner's callbacks: a party that says nothing is given up at the deadline, and
    its connection with it, since a late answer would be taken for the next call's.
    """

    def __init__(
        self, loop: Loop, pool: BufferPool, to: str, owner: CallOwner, dial_timeout_ns: int, most_body_bytes: int
    ) -> None:
        super().__init__(loop, pool, to, dial_timeout_ns)
        self._owner, self._most_body_bytes = owner, most_body_bytes
        self.busy = False  # a call is out
        self._request, self._timeout_ns = b"", 0
        self._up = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    def call(self, method: str, path: str, body: bytes, timeout_ns: int) -> None:
        """Make a call, while none is out.

        :param timeout_ns: counts from when the request is sent.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.to}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self._request, self._timeout_ns, self.busy = head.encode() + b"\r\n" + body, timeout_ns, True
        if self._connection is None:
            self._up = False
            self._dial()
        elif self._up:
            self._send()

    @property
    def sent(self) -> bool:
        """Whether the present call has been handed to a connection: if not, the party has seen nothing of it."""
        return not self._request

    def move(self, to: str) -> None:
        """Make calls to another address from now on.

        One that was sent may be carried out where it went, so it ends first; sent to both, it could come after a newer
        one.
        """
        if to != self.to:
            self.to = to
            if not (self.busy and self._up):
                self.drop("moved")

    def close(self) -> None:
        """Give the connection up, and the call that is out."""
        self.busy = False
        self.drop("we end")
        self._cancel_timer()

    def _send(self) -> None:
        self._timer = self._loop.at(self._loop.now() + self._timeout_ns, lambda: self.drop("silent"))
        request, self._request = self._request, b""
        self._write(request)

    def _take_answer(self) -> None:
        if not self.busy:
            self.drop("an answer to nothing")
        elif self._body_bytes > self._most_body_bytes:
            self.drop("too large")
        elif self._complete:
            self._end_call()

    def _end_call(self) -> None:
        status, body = self._status, b"".join(self._body)
        self._clear_body()
        self._status, self._header_bytes, self._complete, self.busy = 0, 0, False, False
        self._cancel_timer()
        if not self._keep_alive or self._dialled != self.to:
            self.drop("ended by the answer")
        self._owner.on_answer(status, body)

    def _clear_body(self) -> None:
        self._body.clear()
        self._body_bytes = 0

    def _connection_ended(self, why: str) -> None:
        self._clear_body()
        if self.busy:
            self.busy = False
            self._owner.on_failure(why)

    def on_open(self) -> None:
        """Send the call that waits."""
        self._up = True
        if self.busy:
            self._send()

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes <= self._most_body_bytes:
            self._body.append(data)


class StreamOwner(Protocol):
    """Whom a stream calls back."""

    def stream_path(self) -> str:
        """Return the path to ask for, each time anew."""

    def on_stream_start(self) -> None:
        """Take that a stream begins."""

    def on_stream_line(self, line: bytes) -> None:
        """Take a line."""

    def on_stream_end(self, why: str) -> None:
        """Take that a stream has ended, or did not come up; another is dialled."""


class StreamLimits(NamedTuple):
    """Limits of a stream.

    :param idle_timeout_ns: it is given up after so long without bytes.
    :param initial_backoff_ns: before it is dialled again; doubles up to `max_backoff_ns` while streams do not last.
    """

    idle_timeout_ns: int
    initial_backoff_ns: int
    max_backoff_ns: int
    max_line_bytes: int


class Stream(HttpParty):
    """A GET whose answer does not end, as lines; dialled again after a pause when it breaks, until it is closed."""

    def __init__(self, loop: Loop, pool: BufferPool, to: str, owner: StreamOwner, limits: StreamLimits) -> None:
        super().__init__(loop, pool, to, DIAL_TIMEOUT_NS)
        self._owner, self._limits = owner, limits
        self._pause_ns, self._closed = limits.initial_backoff_ns, False
        self._heard_at, self._opened_at = 0, loop.now()
        self._start()

    def move(self, to: str) -> None:
        """Dial another address, soon, as after a break."""
        if to != self.to:
            self.to, self._pause_ns = to, self._limits.initial_backoff_ns
            self.drop("moved")

    def close(self) -> None:
        """End the stream for good."""
        self._closed = True
        self.drop("we end")
        self._cancel_timer()

    def _start(self) -> None:
        self._line = bytearray()  # its beginning
        self._lines: list[bytes] = []  # complete, not yet delivered
        self._dial()

    def _check_silence(self) -> None:
        """Give a silent stream up; the timer is not set anew with every byte, which would fill the heap."""
        due_at = self._heard_at + self._limits.idle_timeout_ns
        if self._loop.now() >= due_at:
            self.drop("silent")
        else:
            self._timer = self._loop.at(due_at, self._check_silence)

    def _take_answer(self) -> None:
        self._heard_at = self._loop.now()
        if self._status not in (0, OK):
            self.drop(f"status {self._status}")
            return
        if len(self._line) > self._limits.max_line_bytes:
            self.drop("too large")
            return
        lines, self._lines = self._lines, []
        for line in lines:
            if self._connection is None:  # the owner has given up the stream that the rest came on
                return
            self._owner.on_stream_line(line)
        if self._complete:
            self.drop("ended by the answer")

    def _connection_ended(self, why: str) -> None:
        if not self._closed:
            now = self._loop.now()
            if now - self._opened_at > self._limits.idle_timeout_ns:
                self._pause_ns = self._limits.initial_backoff_ns
            self._timer = self._loop.at(now + self._pause_ns, self._start)
            self._pause_ns = min(2 * self._pause_ns, self._limits.max_backoff_ns)
            self._owner.on_stream_end(why)

    def on_open(self) -> None:
        """Ask for the stream."""
        self._heard_at = self._opened_at = self._loop.now()
        self._check_silence()
        self._write(f"GET {self._owner.stream_path()} HTTP/1.1\r\nHost: {self.to}\r\n\r\n".encode())

    def on_headers_complete(self) -> None:
        """Tell the owner that a stream begins."""
        super().on_headers_complete()
        if self._status == OK:
            self._owner.on_stream_start()

    def on_body(self, data: bytes) -> None:
        """Take lines apart."""
        first, *rest = data.split(b"\n")
        self._line += first
        for beginning in rest:
            self._lines.append(bytes(self._line))
            self._line[:] = beginning
