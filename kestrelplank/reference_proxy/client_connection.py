"""One connection of a client: its requests are taken in order, one in progress at a time."""

import socket
from collections import deque
from typing import Protocol

import httptools

from kestrelplank.load_balancing.admission import Admission, ConnectionState
from kestrelplank.reference_proxy.client_request import Rejection
from kestrelplank.reference_proxy.exchange import Exchange, ExchangeOwner, Stage
from kestrelplank.reference_proxy.http_messages import own_answer
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.sockets.connection import Connection

MAX_UNSENT_BYTES = 8 << 20


class RequestHandler(ExchangeOwner, Protocol):
    """Who answers the requests of clients."""

    def begin(self, exchange: Exchange) -> None:
        """Take a request whose head is complete, and which is the first on its connection."""
        ...

    def body_received(self, exchange: Exchange) -> None:
        """Take note that a request's body has come in full."""
        ...

    def withdraw(self, exchange: Exchange) -> None:
        """Take note that nobody waits for a request any more, or that the rest of it will never come."""
        ...

    def client_closed(self, client: "ClientConnection") -> None:
        """Take note that a client's connection has ended."""
        ...


class ClientConnection:
    """The first request in `queue` is in progress; the others are read no further than what has come with it."""

    def __init__(
        self, io: ProxyIo, admission: Admission, handler: RequestHandler, sock: socket.socket, number: int
    ) -> None:
        self._io, self._admission, self._handler, self.number = io, admission, handler, number
        self._parser = httptools.HttpRequestParser(self)
        self.queue: deque[Exchange] = deque()
        self._incoming: Exchange | None = None
        self._head_bytes, self._in_trailers = 0, False
        self._rejection: Rejection | None = None  # for what came last; nothing after it is read
        self._answers_rejection = True
        self._connection = Connection(io.loop, io.buffers, sock, self, MAX_UNSENT_BYTES)
        self._connection.on_drained = self._drained

    # The connection's callbacks.

    def on_data(self, data: memoryview) -> None:
        """Parse what has come, and begin the first request if it may."""
        if self._rejection is not None:
            return
        if self._reads_head():
            self._head_bytes += len(data)
        if not self.queue:
            self._enter_state(ConnectionState.READING_HEAD)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(501, "upgrades are not passed on")
        except httptools.HttpParserError as err:
            self.refuse(400, f"unreadable: {err}")
        head_is_too_long = self._head_bytes > self._handler.limits.head_bytes
        if self._incoming is not None and self._reads_head() and head_is_too_long:
            self.refuse(431, "the head is too long")
        if self._rejection is None and len(self.queue) > 1:
            # Requests beyond these wait in the socket; with one in progress the end of the connection is still seen.
            self._connection.set_reading(False)
        self._begin_next()

    def on_close(self, why: str) -> None:  # noqa: ARG002 - as the connection calls it
        """Tell the handler."""
        self._handler.client_closed(self)

    def _drained(self) -> None:
        """Read the node again, as the client has taken what waited."""
        if self.queue and self.queue[0].connection is not None:
            self.queue[0].connection.read(True)

    def _reads_head(self) -> bool:
        return self._incoming is None or self._incoming.stage is Stage.READING_HEAD

    # The parser's callbacks; nothing raises inside them.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._incoming, self._in_trailers = Exchange(self, self._handler), False

    def _in_parser(self) -> Exchange:
        assert self._incoming is not None, "the parser begins a message before it tells of its parts"
        return self._incoming

    def on_url(self, url: bytes) -> None:
        """Collect the request's target."""
        self._in_parser().request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are not forwarded."""
        if not self._in_trailers:
            self._in_parser().request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the request, or reject it."""
        incoming, parser = self._in_parser(), self._parser
        max_body_bytes = self._handler.limits.body_bytes
        rejection = incoming.request.take_head(parser.get_method(), parser.get_http_version(), max_body_bytes)
        self._in_trailers, self._head_bytes, incoming.stage = True, 0, Stage.QUEUED
        if rejection is not None:
            self.refuse(rejection.status, rejection.reason)
        if self._rejection is None:
            self.queue.append(incoming)

    def on_body(self, data: bytes) -> None:
        """Hand a piece of the body to the exchange."""
        if self._rejection is None:
            self._in_parser().receive(data)

    def on_message_complete(self) -> None:
        """Take note that the request has come in full."""
        if self._rejection is None:
            incoming = self._in_parser()
            incoming.keep = self._parser.should_keep_alive()
            incoming.body_complete()
            self._handler.body_received(incoming)

    # What the exchange and the proxy want of it (`ClientSide`).

    def refuse(self, status: int, why: str) -> None:
        """Read nothing after this; requests before it get their answers first."""
        if self._rejection is not None:
            return
        self._rejection = Rejection(status, why)
        self._io.counters.add("requests_refused")
        incoming = self._incoming
        if incoming is not None and incoming in self.queue and not incoming.request.complete:
            # Else it has an answer, or the beginning of one.
            self._answers_rejection = incoming.stage is not Stage.ANSWERING
            self._handler.withdraw(incoming)
        self._begin_next_from_loop()

    def hold(self, held: bool) -> None:
        """Read no further for now, as the node is behind; or go on."""
        self._connection.set_reading(not held and len(self.queue) <= 1)

    def write(self, data: bytes) -> None:
        """Send bytes of an answer."""
        self._connection.write(data)

    def waiting(self) -> int:
        """Return how many bytes the client has not taken yet."""
        return self._connection.unsent_bytes()

    def close(self, why: str) -> None:
        """End the connection."""
        self._connection.close(why)

    def finished(self, exchange: Exchange) -> None:
        """Take note that the first request has its answer."""
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

    # The next request.

    def _enter_state(self, state: ConnectionState) -> None:
        self._admission.enter_state(self._io.loop.now(), self.number, state)

    def _begin_next_from_loop(self) -> None:
        """Begin the next request, but not at once, as the parser may be feeding."""
        self._io.loop.at(self._io.loop.now(), self._begin_next)

    def _begin_next(self) -> None:
        """Begin the first request, if it has not begun; once all have their answers, reject what came last."""
        if self.queue and self.queue[0].stage is Stage.QUEUED and self._connection.open:
            self._enter_state(ConnectionState.BUSY)
            self._handler.begin(self.queue[0])
        elif self._rejection is not None and not self.queue and self._connection.open:
            if self._answers_rejection:
                self._connection.write(own_answer(self._rejection.status, self._rejection.reason, keep=False))
            self._close_when_written()

    def _close_when_written(self) -> None:
        if self._rejection is None:
            self._rejection, self._answers_rejection = Rejection(0, ""), False
        self.queue.clear()
        self._connection.set_reading(False)
        if not self._connection.unsent_bytes():
            self._connection.close("answered")
        else:
            self._connection.on_drained = lambda: self._connection.close("answered")
