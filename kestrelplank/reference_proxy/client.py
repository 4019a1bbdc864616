"""The proxy's connections to clients: requests taken in order, one in hand on each connection."""

import socket
from collections import deque
from typing import TYPE_CHECKING

import httptools

from kestrelplank.load_balancing.admission import CloseReason, ConnectionState
from kestrelplank.reference_proxy.exchange import Exchange, Stage
from kestrelplank.reference_proxy.message import own_answer
from kestrelplank.reference_proxy.request import Refusal
from kestrelplank.sockets.connection import Connection, Listener

if TYPE_CHECKING:
    from kestrelplank.reference_proxy.proxy import Proxy

MOST_UNSENT = 8 << 20
SHORT_PAUSE = 100_000_000  # ns for which nobody is accepted when descriptors are short


class ClientConnection:
    """The first request in `queue` is in hand; the others are read no further than what has come with it."""

    def __init__(self, proxy: "Proxy", sock: socket.socket, number: int) -> None:
        self.proxy, self.number = proxy, number
        self._parser = httptools.HttpRequestParser(self)
        self.queue: deque[Exchange] = deque()
        self._coming: Exchange | None = None
        self._head_size, self._in_trailers = 0, False
        self._refusal: Refusal | None = None  # for what came last; nothing after it is read
        self._answer_refusal = True
        self._connection = Connection(proxy.loop, proxy.buffers, sock, self, MOST_UNSENT)
        self._connection.on_drained = self._drained

    # The connection's callbacks.

    def on_data(self, data: memoryview) -> None:
        if self._refusal is not None:
            return
        if self._reads_head():
            self._head_size += len(data)
        if not self.queue:
            self._is(ConnectionState.READING_HEAD)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(501, "upgrades are not passed on")
        except httptools.HttpParserError as err:
            self.refuse(400, f"unreadable: {err}")
        if self._coming is not None and self._reads_head() and self._head_size > self.proxy.bounds.head:
            self.refuse(431, "the head is too long")
        if self._refusal is None and len(self.queue) > 1:
            self._connection.read(False)  # what comes next waits outside; with one in hand its client's end is heard
        self._next()

    def on_close(self, why: str) -> None:
        self.proxy.client_gone(self)

    def _drained(self) -> None:
        if self.queue and self.queue[0].connection is not None:
            self.queue[0].connection.read(True)

    def _reads_head(self) -> bool:
        return self._coming is None or self._coming.stage is Stage.READING_HEAD

    # The parser's callbacks; nothing raises inside them.

    def on_message_begin(self) -> None:
        self._coming, self._in_trailers = Exchange(self), False

    def on_url(self, url: bytes) -> None:
        self._coming.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_trailers:
            self._coming.request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        coming, parser = self._coming, self._parser
        refusal = coming.request.head_came(parser.get_method(), parser.get_http_version(), self.proxy.bounds.body)
        self._in_trailers, self._head_size, coming.stage = True, 0, Stage.QUEUED
        if refusal is not None:
            self.refuse(refusal.status, refusal.why)
        if self._refusal is None:
            self.queue.append(coming)

    def on_body(self, data: bytes) -> None:
        if self._refusal is None:
            self._coming.receive(data)

    def on_message_complete(self) -> None:
        if self._refusal is None:
            self._coming.keep = self._parser.should_keep_alive()
            self._coming.body_whole()
            self.proxy.body_came(self._coming)

    # What the exchange and the proxy want of it.

    def refuse(self, status: int, why: str) -> None:
        """Nothing after this is read; requests before it get their answers first."""
        if self._refusal is not None:
            return
        self._refusal = Refusal(status, why)
        self.proxy.counters.add("requests_refused")
        coming = self._coming
        if coming is not None and coming in self.queue and not coming.request.whole:
            self._answer_refusal = coming.stage is not Stage.ANSWERING  # else it has an answer, or the beginning of one
            self.proxy.withdrawn(coming)
        self._next_from_loop()

    def hold(self, held: bool) -> None:
        """Reads no further for now, as the node is behind; or goes on."""
        self._connection.read(not held and len(self.queue) <= 1)

    def write(self, data: bytes) -> None:
        self._connection.write(data)

    def waiting(self) -> int:
        """Bytes that the client has not taken yet."""
        return self._connection.waiting()

    def close(self, why: str) -> None:
        self._connection.close(why)

    def finished(self, exchange: Exchange) -> None:
        """The first request has its answer."""
        if not self.queue or self.queue[0] is not exchange:
            return
        self.queue.popleft()
        exchange.stage = Stage.DONE
        if not self._connection.open:
            return
        if self._refusal is None:
            if not exchange.keep or not exchange.request.whole or self.proxy.stopping:
                self._close_when_written()
                return
            self._is(ConnectionState.IDLE)
            self._connection.read(len(self.queue) <= 1)
        self._next_from_loop()

    def _is(self, state: ConnectionState) -> None:
        self.proxy.admission.enter_state(self.proxy.loop.now(), self.number, state)

    def _next_from_loop(self) -> None:
        """Not at once, as the parser may be feeding."""
        self.proxy.loop.at(self.proxy.loop.now(), self._next)

    def _next(self) -> None:
        """The first request goes on its way, if it has not."""
        if self.queue and self.queue[0].stage is Stage.QUEUED and self._connection.open:
            self._is(ConnectionState.BUSY)
            self.proxy.begin(self.queue[0])
        elif self._refusal is not None and not self.queue and self._connection.open:
            if self._answer_refusal:
                self._connection.write(own_answer(self._refusal.status, self._refusal.why, False))
            self._close_when_written()

    def _close_when_written(self) -> None:
        if self._refusal is None:
            self._refusal, self._answer_refusal = Refusal(0, ""), False
        self.queue.clear()
        self._connection.read(False)
        if not self._connection.waiting():
            self._connection.close("answered")
        else:
            self._connection.on_drained = lambda: self._connection.close("answered")


class Clients:
    """All client connections: accepted as `Admission` says, closed when they are late. `at` is the address to listen
    at, or a listening socket."""

    def __init__(self, proxy: "Proxy", at: tuple[str, int] | socket.socket) -> None:
        self._proxy = proxy
        self.connections: dict[int, ClientConnection] = {}
        self._given = 0
        self.listener = Listener(proxy.loop, at, self._accept, self._short, SHORT_PAUSE)

    def _accept(self, sock: socket.socket) -> None:
        proxy = self._proxy
        self._given += 1
        number, client = self._given, sock.getpeername()[0] if sock.family == socket.AF_INET else ""
        decision = proxy.admission.connect(proxy.loop.now(), number, client)
        if decision.evicted is not None:
            proxy.counters.add("clients_pushed_out")
            self.connections[decision.evicted].close("pushed out")
        if not decision.admitted:
            proxy.counters.add("clients_refused")
            sock.close()
            return
        proxy.counters.add("clients")
        self.connections[number] = ClientConnection(proxy, sock, number)

    def _short(self, why: str) -> None:
        self._proxy.counters.trouble("accept_failed", why)

    def gone(self, client: ClientConnection) -> None:
        """Its connection has ended."""
        self.connections.pop(client.number, None)
        self._proxy.admission.disconnect(client.number)

    def close_late(self) -> None:
        """Closes who sends no whole head in time, or nothing for too long."""
        proxy = self._proxy
        for number, why in proxy.admission.late_connections(proxy.loop.now(), stopping=proxy.stopping):
            client = self.connections.get(number)
            if client is None:
                continue
            proxy.counters.add("clients_late")
            if why is not CloseReason.IDLE:
                client.write(own_answer(408, why, False))
            client.close(why)

    def close(self) -> None:
        for client in list(self.connections.values()):
            client.close("we end")
