"""HTTP/1.1 as a client, over httptools: calls on a kept connection, and answers that never end."""

from collections.abc import Callable
from typing import Protocol

import httptools

from kestrelplank.net.buffers import Pool
from kestrelplank.net.connection import Dialled, address
from kestrelplank.net.loop import Loop, Timer

MOST_UNSENT = 1 << 18
MOST_HEADERS = 1 << 15  # bytes before an answer's body


class Asker(Protocol):
    def on_answer(self, status: int, body: bytes) -> None: ...
    def on_broken(self, why: str) -> None: ...


class Client:
    """One connection to one party, dialled when there is a call to make. One call is out at a time, and each
    ends in exactly one of the asker's callbacks: a party that says nothing is given up at the deadline, and
    its connection with it, since a late answer would be taken for the next call's."""

    def __init__(self, loop: Loop, pool: Pool, to: str, asker: Asker, dial: int, most_body: int) -> None:
        self._loop, self._pool, self.to, self._asker = loop, pool, to, asker
        self._dial, self._most_body = dial, most_body
        self._connection: Dialled | None = None
        self._timer: Timer | None = None
        self._request, self._within, self._up, self.busy = b"", 0, False, False

    def call(self, method: str, path: str, body: bytes, within: int) -> None:
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.to}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self._request, self._within, self.busy = head.encode() + b"\r\n" + body, within, True
        if self._connection is None:
            self._dial_up()
        elif self._up:
            self._send()

    def _dial_up(self) -> None:
        self._parser, self._headers, self._status = httptools.HttpResponseParser(self), 0, 0
        self._body: list[bytes] = []
        self._size, self._complete, self._up = 0, False, False
        try:
            self._connection = Dialled(self._loop, self._pool, address(self.to), self, MOST_UNSENT, self._dial)
        except OSError as err:  # short of descriptors: told from the loop, as the caller is not done yet
            why = str(err)
            self._timer = self._loop.at(self._loop.now(), lambda: self._broken(why))

    def _send(self) -> None:
        self._timer = self._loop.at(self._loop.now() + self._within, lambda: self.drop("silent"))
        request, self._request = self._request, b""
        self._connection.write(request)

    def drop(self, why: str) -> None:
        """Give the connection up; a call that is out ends as broken."""
        if self._connection is not None:
            self._connection.close(why)
        elif self.busy:
            self._broken(why)

    def close(self) -> None:
        self.busy = False  # nobody wants to hear of it any more
        self.drop("we end")
        if self._timer:
            self._timer.cancel()

    def _broken(self, why: str) -> None:
        if self._timer:
            self._timer.cancel()
        if self.busy:
            self.busy = False
            self._asker.on_broken(why)

    # Called by the connection.

    def on_open(self) -> None:
        self._up = True
        if self.busy:
            self._send()

    def on_data(self, data: memoryview) -> None:
        if not self.busy:
            self.drop("an answer to nothing")
            return
        if not self._status:
            self._headers += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.drop(f"unreadable: {err}")
            return
        if self._size > self._most_body or self._headers > MOST_HEADERS and not self._status:
            self.drop("too large")
        elif self._complete:
            status, body, keep = self._status, b"".join(self._body), self._keep
            self._status, self._headers, self._size, self._complete = 0, 0, 0, False
            self._body.clear()
            self.busy = False
            self._timer.cancel()
            if not keep:
                self.drop("ended by the answer")
            self._asker.on_answer(status, body)

    def on_close(self, why: str) -> None:
        self._connection, self._up = None, False
        self._broken(why)

    # Called by httptools.

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._most_body:
            self._body.append(data)

    def on_message_complete(self) -> None:
        self._complete, self._keep = True, self._parser.should_keep_alive()  # known here and not later


class Stream:
    """A GET whose answer does not end: its lines as they come, and an end when it breaks or says nothing for
    `silence`. Dialled again after a pause that grows; `reason` to go on at all is the owner's to take away by
    `close`."""

    def __init__(self, loop: Loop, pool: Pool, to: str, path: Callable[[], str],
                 on_line: Callable[[bytes], None], on_start: Callable[[], None], on_end: Callable[[str], None],
                 dial: int, silence: int, pauses: tuple[int, int], most_line: int) -> None:
        self._loop, self._pool, self._to, self._path = loop, pool, to, path
        self._on_line, self._on_start, self._on_end = on_line, on_start, on_end
        self._dial, self._silence, self._pauses, self._most_line = dial, silence, pauses, most_line
        self._connection: Dialled | None = None
        self._timer: Timer | None = None
        self._pause, self._closed = pauses[0], False
        self.start()

    def start(self) -> None:
        self._parser, self._status, self._headers = httptools.HttpResponseParser(self), 0, 0
        self._line, self._lines, self._complete = bytearray(), [], False
        self._heard_at = self._loop.now()
        try:
            self._connection = Dialled(self._loop, self._pool, address(self._to), self, MOST_UNSENT, self._dial)
        except OSError as err:
            self._again(str(err))

    def again(self, why: str) -> None:
        """Give the present connection up for a new one."""
        if self._connection:
            self._connection.close(why)

    def close(self) -> None:
        self._closed = True
        if self._timer:
            self._timer.cancel()
        if self._connection:
            self._connection.close("we end")

    def _again(self, why: str) -> None:
        if self._timer:
            self._timer.cancel()
        if not self._closed:
            self._timer = self._loop.at(self._loop.now() + self._pause, self.start)
            self._pause = min(2 * self._pause, self._pauses[1])
            self._on_end(why)

    def _listen(self) -> None:
        """Looks whether the line has gone silent; not re-armed with every byte, which would fill the heap."""
        due = self._heard_at + self._silence
        if self._loop.now() >= due:
            self._connection.close("silent")
        else:
            self._timer = self._loop.at(due, self._listen)

    # Called by the connection.

    def on_open(self) -> None:
        self._heard_at = self._loop.now()
        self._connection.write(f"GET {self._path()} HTTP/1.1\r\nHost: {self._to}\r\n\r\n".encode())
        if self._connection:
            self._listen()

    def on_data(self, data: memoryview) -> None:
        self._heard_at = self._loop.now()
        if not self._status:
            self._headers += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._connection.close(f"unreadable: {err}")
            return
        if self._status and self._status != 200:
            self._connection.close(f"status {self._status}")
            return
        if len(self._line) > self._most_line or self._headers > MOST_HEADERS and not self._status:
            self._connection.close("too large")
            return
        lines, self._lines = self._lines, []
        for line in lines:
            self._pause = self._pauses[0]
            self._on_line(line)
        if self._complete and self._connection:
            self._connection.close("ended by the answer")

    def on_close(self, why: str) -> None:
        self._connection = None
        self._again(why)

    # Called by httptools.

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status == 200:
            self._on_start()

    def on_body(self, data: bytes) -> None:
        first, *rest = data.split(b"\n")
        self._line += first
        for part in rest:
            self._lines.append(bytes(self._line))
            self._line[:] = part

    def on_message_complete(self) -> None:
        self._complete = True
