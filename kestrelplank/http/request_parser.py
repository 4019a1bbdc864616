"""A parser of clients' requests that ignores `Upgrade`, as RFC 9110, section 7.8, allows.

httptools ends at a request that asks for an upgrade: it reports the request as complete without its body, and parses no
further byte of the connection. This parser goes on behind the head of such a request, with the body that its headers
announce. Some clients ask for HTTP/2 in this way with their first request, which may have a body.
"""

from typing import Protocol

import httptools

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestCallbacks(Protocol):
    """What a parser reports, in httptools' terms."""

    def on_message_begin(self) -> None:
        """Handle the start of a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request's target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of a head."""

    def on_body(self, body: bytes) -> None:
        """Handle a part of a body."""

    def on_message_complete(self) -> None:
        """Handle the end of a request."""


class RequestParser:
    """A parser for all requests of one connection, with the methods of `httptools.HttpRequestParser`."""

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self._callbacks = callbacks
        self._framing: list[tuple[bytes, bytes]] = []  # the headers that announce the body of the current request
        self._repeats_head = False  # the parser is fed the head of a request that has been reported already
        self._parser = self._new_parser()

    def _new_parser(self) -> httptools.HttpRequestParser:
        parser = httptools.HttpRequestParser(self)
        # As uvicorn's own parser: requests that a client pipelined behind `Connection: close` are no error.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser

    def feed_data(self, data: bytes) -> None:
        """Parse bytes of the connection.

        :raises httptools.HttpParserError: they are not valid HTTP.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._continue_behind_head()

    def _continue_behind_head(self) -> None:
        """Replace the parser by one that expects the body of the current request."""
        self._parser = self._new_parser()
        head = b"".join(b"%s: %s\r\n" % header for header in self._framing)
        self._repeats_head = True
        self._parser.feed_data(b"POST / HTTP/1.1\r\n" + head + b"\r\n")
        self._repeats_head = False

    def get_http_version(self) -> str:
        """Return the version of the current request."""
        return str(self._parser.get_http_version())

    def get_method(self) -> bytes:
        """Return the method of the current request."""
        return bytes(self._parser.get_method())

    def should_keep_alive(self) -> bool:
        """Whether the connection may be used after the current request."""
        return bool(self._parser.should_keep_alive())

    def should_upgrade(self) -> bool:
        """Return False: a request to change the protocol is ignored."""
        return False

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Report the start of a request."""
        if not self._repeats_head:
            self._framing = []
            self._callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Report a part of the request's target."""
        if not self._repeats_head:
            self._callbacks.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Report a header or a trailer."""
        if self._repeats_head:
            return
        if name.lower() in FRAMING_HEADERS:
            self._framing.append((name, value))
        self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Report the end of a head."""
        if not self._repeats_head:
            self._callbacks.on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Report a part of a body."""
        self._callbacks.on_body(body)

    def on_message_complete(self) -> None:
        """Report the end of a request, unless httptools has only reached the head of one that asks for an upgrade."""
        if not self._parser.should_upgrade():
            self._callbacks.on_message_complete()
