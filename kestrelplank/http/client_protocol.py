"""Client connections: uvicorn's protocol with the operator's limits, closed only where no request is lost.

- A request head that is too large is answered with 431, one that takes too long with 408. If an earlier request on the
  connection is in progress, the connection is closed after that request's answer instead.
- The idle time-out of a connection is the longer of the limit now and the limit when it became idle. Until a
  configuration has been received there is no limit, and no idle connection is closed.
- A connection is not closed for a time-out or a shutdown while bytes of a request have been read or are in the kernel.
- A connection is not idle while its client has not read the whole answer.
- Malformed bytes after a request in progress get no answer: the client would take it for the answer to that request.
- A request for an upgrade is served as one without it (`http.request_parser`).
- Trailers of a chunked body are dropped (RFC 9110, section 6.5.1): they are no headers of the request.

`tests/edge/test_client_limits.py`, `tests/edge/test_hard_cases.py` and `tests/edge/test_request_forwarding.py` have a
test for each of these.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol
from uvicorn.server import ServerState

from kestrelplank.http.asgi import Application, Receive, Scope, Send
from kestrelplank.http.client_limits import ServerConfig
from kestrelplank.http.request_parser import RequestParser
from kestrelplank.http.socket_options import has_unread_bytes
from kestrelplank.http.tcp_info import has_unsent_bytes

NO_LIMIT_POLL_INTERVAL_S = 5.0  # between checks of an idle connection while there is no limit
UNREAD_POLL_INTERVAL_S = 0.05  # by which a time-out is postponed for the loop to read bytes that are in the kernel
LINGER_S = 1.0  # before closing after an error answer: a close with unread bytes would reset the connection
HEADERS_TOO_LARGE, REQUEST_TIMEOUT = 431, 408
BLANKS = (b" ", b"\t")  # RFC 9110, section 5.6.3


class DroppedHeaders(list[tuple[bytes, bytes]]):
    """Headers that are not kept."""

    def append(self, _header: tuple[bytes, bytes]) -> None:
        """Drop the header."""


DROPPED_HEADERS = DroppedHeaders()


class ClientProtocol(HttpToolsProtocol):
    """One client connection, under the current values of `config.client_limits`."""

    def __init__(
        self,
        config: ServerConfig,
        server_state: ServerState,
        app_state: dict[str, Any],  # uvicorn's signature
        _loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self.parser: RequestParser = RequestParser(self)
        self._limits = config.client_limits
        self._reading_head = False  # a request has started, and its head is incomplete
        self._head_bytes = 0
        self._requests_started = 0
        self._refused = False  # the error answer has been sent; further bytes are discarded
        self._stopping = False  # the next answer closes the connection
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since_s = 0.0
        self._idle_timeout_s = 0.0  # the limit when the connection became idle

    # State.

    @property
    def _request_in_progress(self) -> bool:
        """Whether a request has been passed to the application and its answer is incomplete (`cycle` is uvicorn's)."""
        return self.cycle is not None and not self.cycle.response_complete

    def may_close_after_answer(self) -> bool:
        """Whether no further request has started to arrive, so that the connection may close after this answer."""
        return not self.pipeline and not self._reading_head

    def _set_timer(self, due_at_s: float, callback: Callable[[], None]) -> None:
        """Set the only timer, for the head or for idle time, on the loop's clock."""
        self._clear_timer()
        self._timer = self.loop.call_at(due_at_s, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # asyncio.Protocol: called by the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the idle time-out, as no request has arrived yet."""
        super().connection_made(transport)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clear the timer."""
        self._clear_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests, and answer a head that has become too large with 431."""
        if self._refused:
            return
        requests_started = self._requests_started
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._reading_head:
            if requests_started == self._requests_started:  # otherwise some of these bytes belong to an earlier request
                self._head_bytes += len(data)
            if self._is_too_large(self._head_bytes):
                self._refuse_head(HEADERS_TOO_LARGE)
        elif not self._request_in_progress:
            self._start_idle_timer()

    def shutdown(self) -> None:
        """Close the connection on shutdown: at once if no byte of a request has arrived, else after its answer."""
        self._stopping = True
        if self._request_in_progress:
            self.cycle.keep_alive = False
        elif self._refused or not self._reading_head and not has_unread_bytes(self.transport):
            self.transport.close()

    # httptools and uvicorn: called by the parser and by a request's cycle.

    def on_message_begin(self) -> None:
        """Start the time-out of a request's head, and store this connection in the scope for the application."""
        super().on_message_begin()
        self.scope["connection"] = self  # type: ignore[typeddict-unknown-key]
        self._reading_head, self._head_bytes = True, 0
        self._requests_started += 1
        if self._limits.header_timeout_s is not None:
            self._set_timer(self.loop.time() + self._limits.header_timeout_s, self._on_head_timeout)

    def on_headers_complete(self) -> None:
        """Pass the request to the application, or answer it with 431 if its head is too large.

        The scope gets the request's target as it was sent: ASGI's path and query lack an empty query.
        """
        if self.parser.should_upgrade():
            return
        self._reading_head = False
        self._clear_timer()
        size = len(self.url)
        for index, (name, value) in enumerate(self.headers):
            size += len(name) + len(value)
            if value.endswith(BLANKS):  # httptools leaves the blanks behind a value, which are no part of it
                self.headers[index] = name, value.rstrip(b" \t")
        app = self.app
        if self._is_too_large(size):
            self.app = status_only_application(HEADERS_TOO_LARGE)
        try:
            super().on_headers_complete()
        finally:
            self.app = app
        self.headers = DROPPED_HEADERS  # the parser adds trailers to them; those of the request are in the scope
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]
        if self._stopping:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Complete the body; if a trailer was `Connection: close`, the parser ignores all that follows."""
        if self.parser.should_upgrade():
            return
        super().on_message_complete()
        if not self.parser.should_keep_alive():
            self.cycle.keep_alive = False
            if self.cycle.response_complete:
                self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Answer malformed bytes with 400, unless the client could take that for the answer to another request."""
        body_is_malformed = self._request_in_progress and self.cycle.more_body and not self.cycle.response_started
        if not self._request_in_progress or body_is_malformed and not self.pipeline:
            super().send_400_response(msg)
        else:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Continue with the next request, or start the idle time-out."""
        super().on_response_complete()
        self._unset_keepalive_if_required()  # uvicorn's own timer can't follow a changed limit
        if not self.transport.is_closing() and not self._request_in_progress and not self._reading_head:
            self._start_idle_timer()

    # Limits.

    def _is_too_large(self, size: int) -> bool:
        return self._limits.header_bytes is not None and size > self._limits.header_bytes

    def _on_head_timeout(self) -> None:
        """Answer a head that takes too long with 408; if a request is in progress, close after its answer instead."""
        if self._request_in_progress:
            self.cycle.keep_alive = False
        elif has_unread_bytes(self.transport):
            self._set_timer(self.loop.time() + UNREAD_POLL_INTERVAL_S, self._on_head_timeout)
        else:
            self._refuse_head(REQUEST_TIMEOUT)

    def _refuse_head(self, status: int) -> None:
        """Answer a request whose head is incomplete with that status, and close the connection.

        If an earlier request is in progress, nothing is sent: the connection is closed after that request's answer.
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

    def _start_idle_timer(self) -> None:
        """Start the idle time-out, as no request has started."""
        self._idle_since_s, self._idle_timeout_s = self.loop.time(), self._limits.idle_timeout_s or 0.0
        self._set_timer(
            self._idle_since_s + (self._limits.idle_timeout_s or NO_LIMIT_POLL_INTERVAL_S), self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        """Close the connection if it has been idle longer than the current limit allows, else set the timer again."""
        now_s, limit_s = self.loop.time(), self._limits.idle_timeout_s
        if limit_s is None:
            self._set_timer(now_s + NO_LIMIT_POLL_INTERVAL_S, self._on_idle_timeout)
        elif now_s < self._idle_since_s + max(limit_s, self._idle_timeout_s):
            self._set_timer(self._idle_since_s + max(limit_s, self._idle_timeout_s), self._on_idle_timeout)
        elif has_unread_bytes(self.transport):
            self._set_timer(now_s + UNREAD_POLL_INTERVAL_S, self._on_idle_timeout)
        elif has_unsent_bytes(self.transport):
            self._start_idle_timer()  # it rests once it has read the answer
        else:
            self.transport.close()


def status_only_application(status: int) -> Application:
    """Return an application that answers with that status and no body, and closes the connection."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:  # noqa: ARG001 - ASGI's signature
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b""})

    return app
