"""One client connection: its requests are handled in order, one at a time."""

import socket
from collections import deque
from typing import Protocol

import httptools

from kestrelplank.load_balancing.admission import Admission, ConnectionState
from kestrelplank.reference_proxy.client_request import Rejection
from kestrelplank.reference_proxy.exchange import Exchange, ExchangeOwner, Stage
from kestrelplank.reference_proxy.http_messages import proxy_response
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.sockets.connection import Connection

MAX_UNSENT_BYTES = 8 << 20


class RequestHandler(ExchangeOwner, Protocol):
    """Handles the requests of client connections."""

    def begin_request(self, exchange: Exchange) -> None:
        """Start a request whose head is complete and that is the first in its connection's queue."""
        ...

    def body_received(self, exchange: Exchange) -> None:
        """Handle the end of a request's body."""
        ...

    def cancel_request(self, exchange: Exchange) -> None:
        """Abandon a request whose client has gone, or whose remaining bytes will not arrive."""
        ...

    def client_closed(self, client: "ClientConnection") -> None:
        """Handle the end of a client's connection."""
        ...


class ClientConnection:
    """A client connection; the first request in `queue` is in progress.

    While further requests are queued (pipelining), nothing more is read from the socket.
    """

    def __init__(
        self, io: ProxyIo, admission: Admission, handler: RequestHandler, sock: socket.socket, number: int
    ) -> None:
        self._io, self._admission, self._handler, self.number = io, admission, handler, number
        self._parser = httptools.HttpRequestParser(self)
        self.queue: deque[Exchange] = deque()
        self._incoming: Exchange | None = None
        self._head_bytes, self._in_trailers = 0, False
        self._rejection: Rejection | None = None  # of the last request; nothing after it is read
        self._sends_rejection = True
        self._connection = Connection(io.loop, io.buffers, sock, self, MAX_UNSENT_BYTES)
        self._connection.on_drained = self._resume_node

    # Callbacks of the socket connection

    def on_data(self, data: memoryview) -> None:
        """Parse received bytes, and begin the first request if it has not begun."""
        if self._rejection is not None:
            return
        if self._reads_head():
            self._head_bytes += len(data)
        if not self.queue:
            self._enter_state(ConnectionState.READING_HEAD)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(501, "upgrades are not passed on")
        except httptools.HttpParserError as err:
            self.reject(400, f"unreadable: {err}")
        head_is_too_long = self._head_bytes > self._handler.limits.max_head_bytes
        if self._incoming is not None and self._reads_head() and head_is_too_long:
            self.reject(431, "the head is too long")
        if self._rejection is None and len(self.queue) > 1:
            # With a single request, reading continues so that a closed client is noticed.
            self._connection.set_reading(False)
        self._begin_next()

    def on_close(self, why: str) -> None:  # noqa: ARG002 - the connection's callback signature
        """Notify the handler."""
        self._handler.client_closed(self)

    def _resume_node(self) -> None:
        """Resume reading from the node, as all bytes for the client have been written."""
        if self.queue and self.queue[0].connection is not None:
            self.queue[0].connection.read(True)

    def _reads_head(self) -> bool:
        return self._incoming is None or self._incoming.stage is Stage.READING_HEAD

    # Callbacks of the parser; they must not raise

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._incoming, self._in_trailers = Exchange(self, self._handler), False

    def _incoming_exchange(self) -> Exchange:
        assert self._incoming is not None, "the parser calls on_message_begin before any other callback of a message"
        return self._incoming

    def on_url(self, url: bytes) -> None:
        """Append to the request's target."""
        self._incoming_exchange().request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self._in_trailers:
            self._incoming_exchange().request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the request, or reject it."""
        incoming, parser = self._incoming_exchange(), self._parser
        max_body_bytes = self._handler.limits.max_body_bytes
        rejection = incoming.request.complete_head(parser.get_method(), parser.get_http_version(), max_body_bytes)
        self._in_trailers, self._head_bytes, incoming.stage = True, 0, Stage.QUEUED
        if rejection is not None:
            self.reject(rejection.status, rejection.reason)
        if self._rejection is None:
            self.queue.append(incoming)

    def on_body(self, data: bytes) -> None:
        """Pass body data to the exchange."""
        if self._rejection is None:
            self._incoming_exchange().receive(data)

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        if self._rejection is None:
            incoming = self._incoming_exchange()
            incoming.keep = self._parser.should_keep_alive()
            incoming.body_complete()
            self._handler.body_received(incoming)

    # Operations for the exchange and the proxy (`ClientSide`)

    def reject(self, status: int, reason: str) -> None:
        """Reject the incoming request once earlier ones have been answered; nothing more is read."""
        if self._rejection is not None:
            return
        self._rejection = Rejection(status, reason)
        self._io.counters.add("requests_refused")
        incoming = self._incoming
        if incoming is not None and incoming in self.queue and not incoming.request.complete:
            # No rejection is written into a response that has already begun.
            self._sends_rejection = incoming.stage is not Stage.ANSWERING
            self._handler.cancel_request(incoming)
        self._begin_next_from_loop()

    def pause_reading(self, paused: bool) -> None:
        """Pause reading from the client while the node is slower than it, or resume it."""
        self._connection.set_reading(not paused and len(self.queue) <= 1)

    def write(self, data: bytes) -> None:
        """Send bytes of a response."""
        self._connection.write(data)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that have not been written to the client's socket yet."""
        return self._connection.unsent_bytes()

    def close(self, why: str) -> None:
        """Close the connection."""
        self._connection.close(why)

    def exchange_finished(self, exchange: Exchange) -> None:
        """Remove the first request, which has been answered, and begin the next or close the connection."""
        if not self.queue or self.queue[0] is not exchange:
            return
        self.queue.popleft()
        exchange.stage = Stage.DONE
        if not self._connection.open:
            return
        if self._rejection is None:
            if not exchange.keep or not exchange.request.complete or self._handler.stopping:
                self._close_when_written()
                return
            self._enter_state(ConnectionState.IDLE)
            self._connection.set_reading(len(self.queue) <= 1)
        self._begin_next_from_loop()

    # The next request

    def _enter_state(self, state: ConnectionState) -> None:
        self._admission.enter_state(self._io.loop.now(), self.number, state)

    def _begin_next_from_loop(self) -> None:
        """Begin the next request from the event loop, as the parser may still be running."""
        self._io.loop.at(self._io.loop.now(), self._begin_next)

    def _begin_next(self) -> None:
        """Begin the first request if it has not begun; once the queue is empty, send a pending rejection."""
        if self.queue and self.queue[0].stage is Stage.QUEUED and self._connection.open:
            self._enter_state(ConnectionState.BUSY)
            self._handler.begin_request(self.queue[0])
        elif self._rejection is not None and not self.queue and self._connection.open:
            if self._sends_rejection:
                self._connection.write(proxy_response(self._rejection.status, self._rejection.reason, keep=False))
            self._close_when_written()

    def _close_when_written(self) -> None:
        if self._rejection is None:
            self._rejection, self._sends_rejection = Rejection(0, ""), False
        self.queue.clear()
        self._connection.set_reading(False)
        if not self._connection.unsent_bytes():
            self._connection.close("answered")
        else:
            self._connection.on_drained = lambda: self._connection.close("answered")
