"""A connection from the proxy to a node: sends one request at a time and parses its response for a `ResponseSink`."""

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


class ResponseSink(Protocol):
    """Receives the parts of a response."""

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None:
        """Handle the response's head."""
        ...

    def on_body(self, data: bytes) -> None:
        """Handle data of the response's body."""
        ...

    def flush(self) -> None:
        """Write out the data of one read from the node."""
        ...

    def on_complete(self, keep: bool) -> None:
        """Handle the end of the response; `keep`: the connection may be reused."""
        ...

    def on_lost(self, why: str) -> None:
        """Handle the loss of the connection before the response is complete."""
        ...


class NodeConnection:
    """An outgoing connection to a node.

    :param dial_timeout_ns: time limit for establishing the connection.
    :param on_established: called once the connection is established.
    :param on_closed: called when it has closed.
    :ivar request_begun: whether any byte of the current request has been passed to the connection; if not, the node
        has seen nothing of the request.
    """

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        node_address: str,
        dial_timeout_ns: int,
        number: int,
        on_established: Callable[["NodeConnection"], None],
        on_closed: Callable[["NodeConnection"], None],
    ) -> None:
        self._on_established, self._on_closed, self.number = on_established, on_closed, number
        self.sink: ResponseSink | None = None
        self.request_begun = self.is_established = self.closed = False
        self._expect_answer(without_body=False)
        self._connection = OutboundConnection(
            loop, buffers, address(node_address), self, MAX_UNSENT_BYTES, dial_timeout_ns
        )

    def _expect_answer(self, *, without_body: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._reason, self._head_bytes, self._head_complete = b"", 0, False
        self._without_body = without_body
        self._complete: bool | None = None  # once the response is complete: whether the connection may be reused
        self._ends_with_connection, self._problem = False, ""

    # Operations for the proxy

    def begin_request(self, sink: ResponseSink, data: bytes, *, without_body: bool) -> None:
        """Send the beginning of a request.

        :param without_body: the response has no body even if its head announces a length (HEAD).
        """
        self._expect_answer(without_body=without_body)
        self.sink, self.request_begun = sink, True
        self._connection.write(data)

    def write(self, data: bytes) -> None:
        """Send more of the request."""
        self._connection.write(data)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that have not been written to the node's socket yet."""
        return self._connection.unsent_bytes()

    def read(self, enabled: bool) -> None:
        """Resume or pause reading from the node."""
        self._connection.set_reading(enabled)

    def on_drained(self, callback: Callable[[], None]) -> None:
        """Set the callback for when all pending bytes have been written."""
        self._connection.on_drained = callback

    def finish_op(self) -> None:
        """Detach the finished op, so that the connection can take another."""
        self.sink, self.request_begun = None, False

    def close(self, why: str) -> None:
        """Close the connection."""
        self.closed = True
        self._connection.close(why)

    # Callbacks of the socket connection

    def on_open(self) -> None:
        """Handle the established connection."""
        self.is_established = True
        self._on_established(self)

    def on_data(self, data: memoryview) -> None:
        """Parse received bytes and pass them to the sink."""
        if self.sink is None:
            self.close("data received without a request")
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._problem = self._problem or f"unreadable: {err}"
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._problem = "response head too long"
        if self.sink is not None:
            self.sink.flush()
        # Not from inside the parser: the sink may send the next request on this connection at once, and bytes that the
        # node sent after this response must not be parsed as the next one.
        if self._complete is not None:
            self._finish(self._complete and not self._problem)
        elif self._problem and not self.closed:
            self.close(self._problem)

    def on_close(self, why: str) -> None:
        """Notify the sink, if its response is incomplete or ends with the connection, and the owner."""
        self.closed = True
        if self.sink is not None:
            sink, self.sink = self.sink, None
            if self._ends_with_connection and not self._problem and why == "ended":
                sink.on_complete(False)
            else:
                sink.on_lost(why)
        self._on_closed(self)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a response head; only one final response is allowed."""
        self._headers, self._reason = [], b""
        if self._head_complete:
            self._problem = "second response to one request"

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self._head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Forward the head of a final response; informational (1xx) responses are dropped."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self._problem:
            if status == SWITCHING_PROTOCOLS:
                self._problem = "unrequested protocol switch"
            return
        framed = framing(self._headers)
        if framed.problem:
            self._problem = framed.problem
            return
        self._head_complete = True
        without_body = self._without_body or status in STATUSES_WITHOUT_BODY
        self._ends_with_connection = not without_body and framed.length is None and not framed.chunked
        self._forward_head(status, framed)

    def _forward_head(self, status: int, framed: Framing) -> None:
        if self.sink is None:
            return
        chunked = framed.chunked or self._ends_with_connection
        self.sink.on_head(status, self._reason, self._headers, framed.length, chunked)
        if self._without_body and framed.length:  # the parser would wait for a body
            self._complete = False

    def on_body(self, data: bytes) -> None:
        """Forward data of the body."""
        if self.sink is not None and self._head_complete and not self._problem and not self._without_body:
            self.sink.on_body(data)

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        if self._head_complete and not self._problem:
            self._complete = self._parser.should_keep_alive()

    def _finish(self, keep: bool) -> None:
        self._complete = None
        if self.sink is not None:
            sink, self.sink = self.sink, None
            sink.on_complete(keep)
