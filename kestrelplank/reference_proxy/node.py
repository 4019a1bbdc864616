"""A connection of the relay to a node: one op at a time, its answer parsed for a `Sink`."""

from collections.abc import Callable
from typing import Protocol

import httptools

from kestrelplank.reference_proxy.message import NO_BODY, Header, framing
from kestrelplank.sockets.buffers import Pool as Buffers
from kestrelplank.sockets.connection import Dialled, address
from kestrelplank.sockets.loop import Loop

MOST_UNSENT = 4 << 20
MOST_HEAD = 1 << 15


class Sink(Protocol):
    """Who the answer is for."""

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None: ...
    def on_part(self, data: bytes) -> None: ...
    def flush(self) -> None: ...
    def on_whole(self, keep: bool) -> None: ...
    def on_lost(self, why: str) -> None: ...


class NodeConnection:
    """`up` is called once it can be written to, `ended` when it has closed. `written`: whether any byte of the present
    op has been handed over; without that the node has seen nothing of it. `dial` is the time to come up, in ns."""

    def __init__(
        self,
        loop: Loop,
        buffers: Buffers,
        to: str,
        dial: int,
        number: int,
        up: Callable[["NodeConnection"], None],
        ended: Callable[["NodeConnection"], None],
    ) -> None:
        self._up, self._ended, self.number = up, ended, number
        self.sink: Sink | None = None
        self.written = self.is_up = self.closed = False
        self._fresh()
        self._connection = Dialled(loop, buffers, address(to), self, MOST_UNSENT, dial)

    def _fresh(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._status, self._reason, self._size, self._headed, self._bare = 0, b"", 0, False, False
        self._whole: bool | None = None  # its answer has come whole; whether the node lets the connection be used on
        self._until_end, self._broken = False, ""

    def begin(self, sink: Sink, data: bytes, no_body: bool) -> None:
        """An op's head goes out; `no_body`: its answer has none whatever it announces (HEAD)."""
        self._fresh()
        self.sink, self._bare, self.written = sink, no_body, True
        self._connection.write(data)

    def more(self, data: bytes) -> None:
        """More of the op's body."""
        self._connection.write(data)

    def waiting(self) -> int:
        """Bytes that the node has not taken yet."""
        return self._connection.waiting()

    def read(self, on: bool) -> None:
        """Reads no further, so that the node is held up, or goes on."""
        self._connection.read(on)

    def on_drained(self, call: Callable[[], None]) -> None:
        """Calls this whenever all that waited has been written."""
        self._connection.on_drained = call

    def let_go(self) -> None:
        """The op is over; the connection may take another."""
        self.sink, self.written = None, False

    def close(self, why: str) -> None:
        self.closed = True
        self._connection.close(why)

    # The connection's callbacks.

    def on_open(self) -> None:
        self.is_up = True
        self._up(self)

    def on_data(self, data: memoryview) -> None:
        if self.sink is None:
            self.close("an answer to nothing")
            return
        if not self._headed:
            self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._broken = self._broken or f"unreadable: {err}"
        if not self._headed and self._size > MOST_HEAD:
            self._broken = "its head is too long"
        if self.sink is not None:
            self.sink.flush()
        # Not from inside the parser: whoever hears of the end may send the next op on this connection at once, and
        # what the node wrote behind its answer must not be taken for that op's.
        if self._whole is not None:
            self._finish(self._whole and not self._broken)
        elif self._broken and not self.closed:
            self.close(self._broken)

    def on_close(self, why: str) -> None:
        self.closed = True
        if self.sink is not None:
            sink, self.sink = self.sink, None
            if self._until_end and not self._broken and why == "ended":
                sink.on_whole(False)
            else:
                sink.on_lost(why)
        self._ended(self)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._headers, self._reason = [], b""
        if self._headed:
            self._broken = "a second answer"

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._headed:  # else a trailer, which is not passed on
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200 or self._broken:  # a provisional answer is for us alone
            if status == 101:
                self._broken = "it switches protocols unasked"
            return
        framed = framing(self._headers)
        if framed.wrong:
            self._broken = framed.wrong
            return
        self._headed, self._status = True, status
        bare = self._bare or status in NO_BODY
        self._until_end = not bare and framed.length is None and not framed.chunked
        if self.sink is not None:
            chunked = framed.chunked or self._until_end
            self.sink.on_head(status, self._reason, self._headers, framed.length, chunked)
            if self._bare and framed.length:  # the parser would wait for a body
                self._whole = False

    def on_body(self, data: bytes) -> None:
        if self.sink is not None and self._headed and not self._broken and not self._bare:
            self.sink.on_part(data)

    def on_message_complete(self) -> None:
        if self._headed and not self._broken:
            self._whole = self._parser.should_keep_alive()

    def _finish(self, keep: bool) -> None:
        self._whole = None
        if self.sink is not None:
            sink, self.sink = self.sink, None
            sink.on_whole(keep)
