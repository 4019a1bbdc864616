"""A stand-in for an outside party that speaks HTTP: its requests are parsed, and its answers are written by hand."""

import json
import socket
from collections.abc import Callable

import httptools

from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import Connection, Listener
from kestrelplank.sockets.loop import Loop
from kestrelplank.time_units import MILLISECOND

MAX_UNSENT_BYTES = 1 << 22
BUFFER_BYTES, BUFFERS = 1 << 16, 4


def raise_error(err: object) -> None:
    """Raise what went wrong, for who must not go on after a defect."""
    raise err if isinstance(err, Exception) else RuntimeError(err)


class SocketKit:
    """The loop and the buffers that stand-ins share."""

    def __init__(self) -> None:
        self.loop, self.pool = Loop(raise_error), BufferPool(BUFFER_BYTES, BUFFERS)


class StubConnection:
    """One connection to a stub server.

    :ivar closed_because: why it ended, None while it is open.
    :ivar path: of the last request.
    :ivar op: an op that is in progress on it, for its owner to set.
    """

    def __init__(self, server: "StubServer", sock: socket.socket) -> None:
        self.server = server
        self.closed_because: str | None = None
        self.op: int | None = None
        self.bytes_received = 0
        self.parser, self._body, self.path = httptools.HttpRequestParser(self), b"", ""
        self.connection = Connection(server.kit.loop, server.kit.pool, sock, self, MAX_UNSENT_BYTES)

    # The connection's callbacks.

    def on_data(self, data: memoryview) -> None:
        """Parse what has come."""
        self.bytes_received += len(data)
        self.parser.feed_data(data)

    def on_close(self, why: str) -> None:
        """Tell the server."""
        self.closed_because = why
        self.server.connection_closed(self)

    # The parser's callbacks.

    def on_url(self, url: bytes) -> None:
        """Begin a request."""
        self.path, self._body = url.decode(), b""

    def on_body(self, data: bytes) -> None:
        """Collect the request's body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Hand the request to the server."""
        self.server.request_received(self, self.path, self._body)

    # Answers.

    def reply(self, value: object, status: int = 200) -> None:
        """Answer with bytes, or with a value as JSON."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.connection.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def begin_stream(self) -> None:
        """Begin an answer that does not end; `send` goes on with it."""
        self.connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send(self, *lines: object) -> None:
        """Send bytes, or values as lines of JSON, as chunks of a stream."""
        for line in lines:
            data = line if isinstance(line, bytes) else json.dumps(line).encode() + b"\n"
            self.connection.write(b"%x\r\n%s\r\n" % (len(data), data))


class StubServer:
    """Listens on loopback.

    :param answer: says what to do with a request; by default nothing.
    :param at: address and port; port 0 is a free one.
    """

    def __init__(
        self,
        kit: SocketKit,
        answer: Callable[[StubConnection, str, bytes], None] = lambda _connection, _path, _body: None,
        at: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.kit, self.answer = kit, answer
        self.connections: list[StubConnection] = []
        self.listener = Listener(kit.loop, at, self._accept, raise_error, MILLISECOND)
        self.at = "%s:%d" % self.listener.at

    def _accept(self, sock: socket.socket) -> None:
        self.connections.append(StubConnection(self, sock))

    def request_received(self, connection: StubConnection, path: str, body: bytes) -> None:
        """Answer a request."""
        self.answer(connection, path, body)

    def connection_closed(self, connection: StubConnection) -> None:
        """Take note that a connection has ended."""

    def close(self) -> None:
        """Stop listening, and end all connections."""
        self.listener.close()
        for connection in list(self.connections):
            connection.connection.close("over")
