"""HTTP/1.1 as a client, over httptools: calls on a kept connection, and answers that never end."""

from collections.abc import Callable
from typing import Protocol

import httptools

from kestrelplank.decode import NS_PER_MS
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.connection import Dialled, address
from kestrelplank.sockets.loop import Loop, Timer

DIAL = 250 * NS_PER_MS  # for a connection to the relay or the agent to come up
MOST_UNSENT = 1 << 18
MOST_HEADERS = 1 << 15  # bytes before an answer's body


class Party:
    """One party and the connection to it, if there is one. What it sends goes through the parser, whose
    callbacks leave it here; `_read` then looks at what has come, and `_ended` hears that the connection is
    gone."""

    def __init__(self, loop: Loop, pool: Pool, to: str, dial: int) -> None:
        self._loop, self._pool, self.to, self._dial = loop, pool, to, dial
        self._connection: Dialled | None = None
        self._timer: Timer | None = None

    def _dial_up(self) -> None:
        self._parser, self._status, self._headers = httptools.HttpResponseParser(self), 0, 0
        self._complete, self._keep, self._dialled = False, True, self.to
        try:
            self._connection = Dialled(self._loop, self._pool, address(self.to), self, MOST_UNSENT, self._dial)
        except OSError as err:  # short of descriptors: told from the loop, as whoever called is not done yet
            why = str(err)
            self._timer = self._loop.at(self._loop.now(), lambda: self.on_close(why))

    def drop(self, why: str) -> None:
        """Give the connection up."""
        if self._connection is not None:
            self._connection.close(why)

    def _cancel(self) -> None:
        if self._timer:
            self._timer.cancel()

    # Called by the connection.

    def on_data(self, data: memoryview) -> None:
        if not self._status:
            self._headers += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.drop(f"unreadable: {err}")
            return
        if self._headers > MOST_HEADERS and not self._status:
            self.drop("too large")
        else:
            self._read()

    def on_close(self, why: str) -> None:
        self._connection = None
        self._cancel()
        self._ended(why)

    # Called by httptools.

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()

    def on_message_complete(self) -> None:
        self._complete, self._keep = True, self._parser.should_keep_alive()  # known here and not later


class Asker(Protocol):
    def on_answer(self, status: int, body: bytes) -> None: ...
    def on_broken(self, why: str) -> None: ...


class Client(Party):
    """Dialled when there is a call to make. One call is out at a time, and each ends in exactly one of the
    asker's callbacks: a party that says nothing is given up at the deadline, and its connection with it, since
    a late answer would be taken for the next call's."""

    def __init__(self, loop: Loop, pool: Pool, to: str, asker: Asker, dial: int, most_body: int) -> None:
        super().__init__(loop, pool, to, dial)
        self._asker, self._most_body = asker, most_body
        self._request, self._within, self._up, self.busy = b"", 0, False, False
        self._body: list[bytes] = []
        self._size = 0

    def call(self, method: str, path: str, body: bytes, within: int) -> None:
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.to}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self._request, self._within, self.busy = head.encode() + b"\r\n" + body, within, True
        if self._connection is None:
            self._up = False
            self._dial_up()
        elif self._up:
            self._send()

    @property
    def sent(self) -> bool:
        """Whether the present call has been handed to a connection: if not, the party has seen nothing of it."""
        return not self._request

    def move(self, to: str) -> None:
        """Calls go there from now on. One that was sent may be carried out where it went, so it ends first;
        sent to both, it could come after a newer one."""
        if to != self.to:
            self.to = to
            if not (self.busy and self._up):
                self.drop("moved")

    def close(self) -> None:
        self.busy = False  # nobody wants to hear of it any more
        self.drop("we end")
        self._cancel()

    def _send(self) -> None:
        self._timer = self._loop.at(self._loop.now() + self._within, lambda: self.drop("silent"))
        request, self._request = self._request, b""
        self._connection.write(request)

    def _read(self) -> None:
        if not self.busy:
            self.drop("an answer to nothing")
        elif self._size > self._most_body:
            self.drop("too large")
        elif self._complete:
            status, body = self._status, b"".join(self._body)
            self._forget()
            self._status, self._headers, self._complete, self.busy = 0, 0, False, False
            self._cancel()
            if not self._keep or self._dialled != self.to:
                self.drop("ended by the answer")
            self._asker.on_answer(status, body)

    def _forget(self) -> None:
        self._body.clear()
        self._size = 0

    def _ended(self, why: str) -> None:
        self._forget()
        if self.busy:
            self.busy = False
            self._asker.on_broken(why)

    def on_open(self) -> None:
        self._up = True
        if self.busy:
            self._send()

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._most_body:
            self._body.append(data)


class Stream(Party):
    """A GET whose answer does not end: its lines as they come, and an end when it breaks or says nothing for
    `silence`. It is dialled again after a pause, which grows while streams do not last, until it is closed."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        to: str,
        path: Callable[[], str],
        on_line: Callable[[bytes], None],
        on_start: Callable[[], None],
        on_end: Callable[[str], None],
        dial: int,
        silence: int,
        pauses: tuple[int, int],
        most_line: int,
    ) -> None:
        super().__init__(loop, pool, to, dial)
        self._path, self._on_line, self._on_start, self._on_end = path, on_line, on_start, on_end
        self._silence, self._pauses, self._most_line = silence, pauses, most_line
        self._pause, self._closed, self._heard_at, self._opened_at = pauses[0], False, 0, loop.now()
        self._start()

    def move(self, to: str) -> None:
        """The party is at another address: it is dialled there as after a break, soon."""
        if to != self.to:
            self.to, self._pause = to, self._pauses[0]
            self.drop("moved")

    def close(self) -> None:
        self._closed = True
        self.drop("we end")
        self._cancel()

    def _start(self) -> None:
        self._line, self._lines = bytearray(), []
        self._dial_up()

    def _listen(self) -> None:
        """Looks whether the line has gone silent; not set anew with every byte, which would fill the heap."""
        due = self._heard_at + self._silence
        if self._loop.now() >= due:
            self.drop("silent")
        else:
            self._timer = self._loop.at(due, self._listen)

    def _read(self) -> None:
        self._heard_at = self._loop.now()
        if self._status not in (0, 200):
            self.drop(f"status {self._status}")
            return
        if len(self._line) > self._most_line:
            self.drop("too large")
            return
        lines, self._lines = self._lines, []
        for line in lines:
            if self._connection is None:  # the owner has given up the stream that the rest came on
                return
            self._on_line(line)
        if self._complete:
            self.drop("ended by the answer")

    def _ended(self, why: str) -> None:
        if not self._closed:
            now = self._loop.now()
            if now - self._opened_at > self._silence:
                self._pause = self._pauses[0]
            self._timer = self._loop.at(now + self._pause, self._start)
            self._pause = min(2 * self._pause, self._pauses[1])
            self._on_end(why)

    def on_open(self) -> None:
        self._heard_at = self._opened_at = self._loop.now()
        self._listen()
        self._connection.write(f"GET {self._path()} HTTP/1.1\r\nHost: {self.to}\r\n\r\n".encode())

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self._status == 200:
            self._on_start()

    def on_body(self, data: bytes) -> None:
        first, *rest = data.split(b"\n")
        self._line += first
        for part in rest:
            self._lines.append(bytes(self._line))
            self._line[:] = part
