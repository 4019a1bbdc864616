"""Connections of clients: uvicorn's protocol, bound by the operator's limits and ended only where no request is lost.

- A head that is too large is answered with 431, one that takes too long with 408, unless an earlier request of the same
  connection is in progress: then the connection ends after that one's answer.
- A connection may be idle for as long as the limit in force says, and longer where the limit was longer when it began
  to be idle. Without a configuration no limit is known, and none ends a connection.
- A connection is never ended while bytes of a request have been read or are in the kernel.
- Bytes behind a request in progress that can't be parsed aren't answered: that would be taken for the request's answer.

`tests/edge/test_client_limits.py` has a test for each of these.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol
from uvicorn.server import ServerState

from kestrelplank.http.asgi import Application, Receive, Scope, Send
from kestrelplank.http.client_limits import ServerConfig
from kestrelplank.http.socket_options import has_unread_bytes

NO_LIMIT_POLL_INTERVAL_S = 5.0  # an idle connection without a limit is looked at again
UNREAD_POLL_INTERVAL_S = 0.05  # a due timer is put off so long, for the loop to read what the kernel has
LINGER_S = 1.0  # a refused connection stays open so long: a close with unread bytes would reset it, and lose the answer
HEADERS_TOO_LARGE, REQUEST_TIMEOUT = 431, 408


class ClientProtocol(HttpToolsProtocol):
    """One connection of a client. Its limits are those of `config.client_limits`, as they are at each moment."""

    def __init__(
        self,
        config: ServerConfig,
        server_state: ServerState,
        app_state: dict[str, Any],  # as uvicorn has it
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._limits = config.client_limits
        self._reading_head = False  # a request has begun, and its head is not complete
        self._head_bytes = 0
        self._requests_begun = 0
        self._refused = False  # the last answer has been sent; what the client still sends is discarded
        self._stopping = False  # the next answer ends the connection
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since_s = 0.0
        self._idle_timeout_s = 0.0  # the limit when it began to be idle

    # States.

    @property
    def _request_in_progress(self) -> bool:
        """Whether the application has a request whose answer is not complete; `cycle` is uvicorn's name for one."""
        return self.cycle is not None and not self.cycle.response_complete

    def ends_with_this_answer(self) -> bool:
        """Whether no further request has begun to arrive, so that the answer in progress may end the connection."""
        return not self.pipeline and not self._reading_head

    def _set_timer(self, due_at_s: float, due: Callable[[], None]) -> None:
        """Set the one timer, of the head or of idle time, by the loop's clock."""
        self._clear_timer()
        self._timer = self.loop.call_at(due_at_s, due)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # asyncio.Protocol: what the loop calls.

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin the idle time, as no request has come yet."""
        super().connection_made(transport)
        self._begin_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clear the timer."""
        self._clear_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read bytes of requests, and refuse a head that grows too large."""
        if self._refused:
            return
        requests_begun = self._requests_begun
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._reading_head:
            if requests_begun == self._requests_begun:  # else these bytes are in part an earlier request's
                self._head_bytes += len(data)
            if self._is_too_large(self._head_bytes):
                self._refuse_head(HEADERS_TOO_LARGE)
        elif not self._request_in_progress:
            self._begin_idle()

    def shutdown(self) -> None:
        """End the connection as the server stops: at once if no byte of a request has come, else after the answer."""
        self._stopping = True
        if self._request_in_progress:
            self.cycle.keep_alive = False
        elif self._refused or not self._reading_head and not has_unread_bytes(self.transport):
            self.transport.close()

    # httptools and uvicorn: what the parser and the cycle of a request call.

    def on_message_begin(self) -> None:
        """Start the time-out of a request's head, and put this connection into the scope for the application."""
        super().on_message_begin()
        self.scope["connection"] = self  # type: ignore[typeddict-unknown-key]
        self._reading_head, self._head_bytes = True, 0
        self._requests_begun += 1
        if self._limits.header_timeout_s is not None:
            self._set_timer(self.loop.time() + self._limits.header_timeout_s, self._head_timer_due)

    def on_headers_complete(self) -> None:
        """Hand the request to the application, or refuse it where its head is too large."""
        self._reading_head = False
        self._clear_timer()
        size = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
        app = self.app
        if self._is_too_large(size):
            self.app = answer_only(HEADERS_TOO_LARGE)
        try:
            super().on_headers_complete()
        finally:
            self.app = app
        if self._stopping:
            self.cycle.keep_alive = False

    def send_400_response(self, msg: str) -> None:
        """Answer bytes that can't be parsed with 400, unless that would be taken for the answer to another request."""
        body_is_broken = self._request_in_progress and self.cycle.more_body and not self.cycle.response_started
        if not self._request_in_progress or body_is_broken and not self.pipeline:
            super().send_400_response(msg)
        else:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Go on with the next request, or be idle."""
        super().on_response_complete()
        self._unset_keepalive_if_required()  # uvicorn's own timer: its time is fixed when the connection is made
        if not self.transport.is_closing() and not self._request_in_progress and not self._reading_head:
            self._begin_idle()

    # Limits.

    def _is_too_large(self, size: int) -> bool:
        return self._limits.header_bytes is not None and size > self._limits.header_bytes

    def _head_timer_due(self) -> None:
        """Refuse a head that takes too long; behind a request in progress, end the connection after its answer."""
        if self._request_in_progress:
            self.cycle.keep_alive = False
        elif has_unread_bytes(self.transport):
            self._set_timer(self.loop.time() + UNREAD_POLL_INTERVAL_S, self._head_timer_due)
        else:
            self._refuse_head(REQUEST_TIMEOUT)

    def _refuse_head(self, status: int) -> None:
        """Answer a request whose head is not complete, and end the connection.

        Behind a request in progress nothing is answered: the connection ends after that one's answer.
        """
        self._clear_timer()
        if self._request_in_progress:
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        self.transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self._refused = True
        self.transport.write_eof()
        self._set_timer(self.loop.time() + LINGER_S, self.transport.close)

    def _begin_idle(self) -> None:
        """Start the idle time-out, as no request has begun."""
        self._idle_since_s, self._idle_timeout_s = self.loop.time(), self._limits.idle_timeout_s or 0.0
        self._set_timer(
            self._idle_since_s + (self._limits.idle_timeout_s or NO_LIMIT_POLL_INTERVAL_S), self._idle_timer_due
        )

    def _idle_timer_due(self) -> None:
        """Close the connection if its idle time is over by the limits of now, else set the timer again."""
        now_s, limit_s = self.loop.time(), self._limits.idle_timeout_s
        if limit_s is None:
            self._set_timer(now_s + NO_LIMIT_POLL_INTERVAL_S, self._idle_timer_due)
        elif now_s < self._idle_since_s + max(limit_s, self._idle_timeout_s):
            self._set_timer(self._idle_since_s + max(limit_s, self._idle_timeout_s), self._idle_timer_due)
        elif has_unread_bytes(self.transport):
            self._set_timer(now_s + UNREAD_POLL_INTERVAL_S, self._idle_timer_due)
        else:
            self.transport.close()


def answer_only(status: int) -> Application:
    """Return an application that answers with that status alone, and ends the connection."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:  # noqa: ARG001 - ASGI's signature
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})

    return app
