"""Connections of clients: uvicorn's protocol, bound by the operator's limits and ended only where no request is lost.

- A head that is too large is answered with 431, one that takes too long with 408, unless an earlier request of the same
  connection is in hand: then the connection ends after that one's answer.
- A connection rests for as long as the limit in force says, and longer where the limit was longer when it began to
  rest. Without a configuration no limit is known, and none ends a connection.
- A connection is never ended while bytes of a request have been read or lie in the kernel.
- What can't be read behind a request in hand is not answered: its answer would be taken for that request's.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from kestrelplank.http.stream import readable

LOOK = 5.0  # s until a connection that rests without a limit is looked at again
SOON = 0.05  # s in which the loop has read what lies in the kernel
LINGER = 1.0  # s for which who is refused may go on sending: a close with unread bytes would destroy the answer
TOO_LARGE, TOO_SLOW = 431, 408


@dataclass(slots=True)
class ClientLimits:
    """What clients may send and how long they may take; None where no limit is known. `header_bytes`: of a request's
    first line and headers; `header_s`: until they are there; `idle_s`: between requests."""

    header_bytes: int | None = None
    header_s: float | None = None
    idle_s: float | None = None


class ClientProtocol(HttpToolsProtocol):
    """One connection of a client. Its limits are those of `config.client_limits`, as they are at each moment."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self._limits: ClientLimits = self.config.client_limits  # type: ignore[attr-defined]
        self._in_head = False  # a request has begun, and its head is not whole
        self._head_bytes = 0
        self._begun = 0  # requests so far
        self._deaf = False  # it has its last answer, and what it still sends is thrown away
        self._last = False  # the next answer ends the connection
        self._timer: asyncio.TimerHandle | None = None
        self._rest_began = 0.0
        self._rest_limit = 0.0

    # States.

    @property
    def _in_hand(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def ends_with_this_answer(self) -> bool:
        """Whether nothing has been read behind the request in hand, so that its answer may be the last one."""
        return not self.pipeline and not self._in_head

    def _arm(self, at: float, due: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self.loop.call_at(at, due)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # The loop's side.

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        begun = self._begun
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._in_head:
            if begun == self._begun:  # else what came before it in these bytes is another's
                self._head_bytes += len(data)
            if self._over(self._head_bytes):
                self._refuse_head(TOO_LARGE)
        elif not self._in_hand:
            self._rest()

    def shutdown(self) -> None:
        """The server stops: what has begun is answered, and that answer is the last."""
        self._last = True
        if self._in_hand:
            self.cycle.keep_alive = False
        elif self._deaf or not self._in_head and not readable(self.transport):
            self.transport.close()

    # The parser's side.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["connection"] = self  # type: ignore[typeddict-unknown-key]
        self._in_head, self._head_bytes = True, 0
        self._begun += 1
        if self._limits.header_s is not None:
            self._arm(self.loop.time() + self._limits.header_s, self._head_is_late)

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._disarm()
        size = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
        app = self.app
        if self._over(size):
            self.app = refusing(TOO_LARGE)
        try:
            super().on_headers_complete()
        finally:
            self.app = app
        if self._last:
            self.cycle.keep_alive = False

    def send_400_response(self, msg: str) -> None:
        """Bytes have come that can't be read as a request."""
        body_is_broken = self._in_hand and self.cycle.more_body and not self.cycle.response_started
        if not self._in_hand or body_is_broken and not self.pipeline:
            super().send_400_response(msg)
        else:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        super().on_response_complete()
        self._unset_keepalive_if_required()  # uvicorn's own timer: its time is fixed when the connection is made
        if not self.transport.is_closing() and not self._in_hand and not self._in_head:
            self._rest()

    # Limits.

    def _over(self, size: int) -> bool:
        return self._limits.header_bytes is not None and size > self._limits.header_bytes

    def _head_is_late(self) -> None:
        if self._in_hand:
            self.cycle.keep_alive = False
        elif readable(self.transport):
            self._arm(self.loop.time() + SOON, self._head_is_late)
        else:
            self._refuse_head(TOO_SLOW)

    def _refuse_head(self, status: int) -> None:
        """Answers a request whose head is not whole, and ends the connection."""
        self._disarm()
        if self._in_hand:
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        self.transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self._deaf = True
        self.transport.write_eof()
        self._arm(self.loop.time() + LINGER, self.transport.close)

    def _rest(self) -> None:
        """Nothing of a request is here."""
        self._rest_began, self._rest_limit = self.loop.time(), self._limits.idle_s or 0.0
        self._arm(self._rest_began + (self._limits.idle_s or LOOK), self._rested)

    def _rested(self) -> None:
        now, limit = self.loop.time(), self._limits.idle_s
        if limit is None:
            self._arm(now + LOOK, self._rested)
        elif now < self._rest_began + max(limit, self._rest_limit):
            self._arm(self._rest_began + max(limit, self._rest_limit), self._rested)
        elif readable(self.transport):
            self._arm(now + SOON, self._rested)
        else:
            self.transport.close()


def refusing(status: int) -> Any:
    """An application that answers with that status alone, and ends the connection."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})

    return app
