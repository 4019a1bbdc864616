"""A connection of the proxy to a node: one op at a time, its answer parsed for an `AnswerSink`."""

from collections.abc import Callable
from typing import Protocol

import httptools

from kestrelplank.reference_proxy.http_messages import STATUSES_WITHOUT_BODY, Framing, Header, framing
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import OutboundConnection, address
from kestrelplank.sockets.loop import Loop

MAX_UNSENT_BYTES = 4 << 20
MAX_HEAD_BYTES = 1 << 15
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101


class AnswerSink(Protocol):
    """Who an answer is for."""

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None:
        """Take the answer's head."""
        ...

    def on_body(self, data: bytes) -> None:
        """Take a piece of the answer's body."""
        ...

    def flush(self) -> None:
        """Write out what one read of the node brought."""
        ...

    def on_complete(self, keep: bool) -> None:
        """Take the answer's end; `keep`: the node lets the connection be used again."""
        ...

    def on_lost(self, why: str) -> None:
        """Take the end of the connection before the answer's."""
        ...


class NodeConnection:
    """One connection that was dialled.

    :param dial_timeout_ns: time to come up.
    :param on_up: called once it can be written to.
    :param on_ended: called when it has closed.
    :ivar written: whether any byte of the present op has been handed over; else the node has seen nothing of it.
    """

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        node_address: str,
        dial_timeout_ns: int,
        number: int,
        on_up: Callable[["NodeConnection"], None],
        on_ended: Callable[["NodeConnection"], None],
    ) -> None:
        self._on_up, self._on_ended, self.number = on_up, on_ended, number
        self.sink: AnswerSink | None = None
        self.written = self.is_up = self.closed = False
        self._expect_answer(without_body=False)
        self._connection = OutboundConnection(
            loop, buffers, address(node_address), self, MAX_UNSENT_BYTES, dial_timeout_ns
        )

    def _expect_answer(self, *, without_body: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._reason, self._head_bytes, self._head_complete = b"", 0, False
        self._without_body = without_body
        self._complete: bool | None = None  # its answer has come; whether the node lets the connection be used again
        self._ends_with_connection, self._problem = False, ""

    # What the proxy wants of it.

    def begin(self, sink: AnswerSink, data: bytes, *, without_body: bool) -> None:
        """Send the beginning of a request; `without_body`: its answer has none whatever it announces (HEAD)."""
        self._expect_answer(without_body=without_body)
        self.sink, self.written = sink, True
        self._connection.write(data)

    def write(self, data: bytes) -> None:
        """Send more of the request."""
        self._connection.write(data)

    def waiting(self) -> int:
        """Return how many bytes the node has not taken yet."""
        return self._connection.unsent_bytes()

    def read(self, enabled: bool) -> None:
        """Read on, or not, so that the node is held up."""
        self._connection.set_reading(enabled)

    def on_drained(self, callback: Callable[[], None]) -> None:
        """Call the callback whenever all that waited has been written."""
        self._connection.on_drained = callback

    def finish_op(self) -> None:
        """Forget the op, as it is over; the connection may take another."""
        self.sink, self.written = None, False

    def close(self, why: str) -> None:
        """End the connection."""
        self.closed = True
        self._connection.close(why)

    # The connection's callbacks.

    def on_open(self) -> None:
        """Take note that it is up."""
        self.is_up = True
        self._on_up(self)

    def on_data(self, data: memoryview) -> None:
        """Parse what has come, and tell the sink of it."""
        if self.sink is None:
            self.close("an answer to nothing")
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._problem = self._problem or f"unreadable: {err}"
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._problem = "its head is too long"
        if self.sink is not None:
            self.sink.flush()
        # Not from inside the parser: whoever hears of the end may send the next op on this connection at once, and
        # what the node wrote behind its answer must not be taken for that op's.
        if self._complete is not None:
            self._finish(self._complete and not self._problem)
        elif self._problem and not self.closed:
            self.close(self._problem)

    def on_close(self, why: str) -> None:
        """Tell the sink, if an answer is missing, and the owner."""
        self.closed = True
        if self.sink is not None:
            sink, self.sink = self.sink, None
            if self._ends_with_connection and not self._problem and why == "ended":
                sink.on_complete(False)
            else:
                sink.on_lost(why)
        self._on_ended(self)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        """Begin a head; there may be but one final answer."""
        self._headers, self._reason = [], b""
        if self._head_complete:
            self._problem = "a second answer"

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are not forwarded."""
        if not self._head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand the head of a final answer on; a provisional one is for us alone."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self._problem:
            if status == SWITCHING_PROTOCOLS:
                self._problem = "it switches protocols unasked"
            return
        framed = framing(self._headers)
        if framed.problem:
            self._problem = framed.problem
            return
        self._head_complete = True
        without_body = self._without_body or status in STATUSES_WITHOUT_BODY
        self._ends_with_connection = not without_body and framed.length is None and not framed.chunked
        self._hand_head_on(status, framed)

    def _hand_head_on(self, status: int, framed: Framing) -> None:
        if self.sink is None:
            return
        chunked = framed.chunked or self._ends_with_connection
        self.sink.on_head(status, self._reason, self._headers, framed.length, chunked)
        if self._without_body and framed.length:  # the parser would wait for a body
            self._complete = False

    def on_body(self, data: bytes) -> None:
        """Hand a piece of the body on."""
        if self.sink is not None and self._head_complete and not self._problem and not self._without_body:
            self.sink.on_body(data)

    def on_message_complete(self) -> None:
        """Take note of the answer's end."""
        if self._head_complete and not self._problem:
            self._complete = self._parser.should_keep_alive()

    def _finish(self, keep: bool) -> None:
        self._complete = None
        if self.sink is not None:
            sink, self.sink = self.sink, None
            sink.on_complete(keep)
