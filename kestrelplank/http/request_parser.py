"""httptools' parser of requests, which takes a request for an upgrade for an ordinary one.

A server may ignore `Upgrade` (RFC 9110, section 7.8). llhttp can't: it takes what follows the head for another
protocol, a body too. Therefore the head is parsed a second time, without `Upgrade`, and then what follows it.
"""

from typing import Protocol

import httptools

CONNECT, UPGRADE = b"CONNECT", b"upgrade"


class RequestHead(Protocol):
    """What the parser's callbacks have stored of the current request's head."""

    url: bytes
    headers: list[tuple[bytes, bytes]]  # names in lower case


class RequestParser(httptools.HttpRequestParser):
    """A parser whose `protocol` ignores `on_headers_complete` and `on_message_complete` while `should_upgrade` is true.

    Both are called again for the same request, as are the callbacks before them.
    """

    def __init__(self, protocol: RequestHead) -> None:
        super().__init__(protocol)
        self._head = protocol
        self._permit_data_after_close()

    def _permit_data_after_close(self) -> None:
        """Ignore what follows a request with `Connection: close`, as uvicorn's own parser does: it is no error."""
        self.set_dangerous_leniencies(lenient_data_after_close=True)

    def feed_data(self, data: bytes | bytearray | memoryview) -> None:  # type: ignore[override] # no arrays are parsed
        """Parse bytes of requests.

        :raises httptools.HttpParserError: they are malformed, or ask for a tunnel, which can't be ignored.
        """
        while True:
            try:
                super().feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self.get_method() == CONNECT:
                    raise httptools.HttpParserError("CONNECT is not supported") from upgrade
                data = memoryview(data)[upgrade.args[0] :]
                head = self._head_without_upgrade()
                super().__init__(self._head)  # otherwise `Connection: close` would end the parsing here
                self._permit_data_after_close()
                super().feed_data(head)
            else:
                return

    def _head_without_upgrade(self) -> bytes:
        lines = [b"%s %s HTTP/%s" % (self.get_method(), self._head.url, self.get_http_version().encode())]
        lines += [b"%s: %s" % header for header in self._head.headers if header[0] != UPGRADE]
        return b"\r\n".join([*lines, b"", b""])
