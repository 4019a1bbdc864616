"""HTTP/1.1 messages on both sides of the proxy: heads, framing and hop-by-hop headers.

httptools parses messages and rejects ambiguous ones: two Content-Length headers, Content-Length together with chunked
coding, a bare LF, a folded header line, white space before a colon. This module rejects further messages that httptools
accepts.
"""

from collections.abc import Iterable
from typing import NamedTuple

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
REASONS = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUSES_WITHOUT_BODY = (204, 304)

Header = tuple[bytes, bytes]
CLOSE_HEADER: Header = (b"Connection", b"close")


def first_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, by its name in lower case."""
    return next((value for header_name, value in headers if header_name.lower() == name), None)


def list_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the members of a list header, in lower case (RFC 9110, section 5.6.1)."""
    return [
        word.strip().lower()
        for header_name, value in headers
        if header_name.lower() == name
        for word in value.split(b",")
    ]


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Return the headers to forward, without hop-by-hop headers (RFC 9110, section 7.6.1)."""
    named = list_values(headers, b"connection")
    return [
        (name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in named
    ]


class Framing(NamedTuple):
    """How a message's body is delimited.

    :ivar problem: why the framing is not supported; empty if it is.
    """

    length: int | None
    chunked: bool
    problem: str = ""


def framing(headers: list[Header]) -> Framing:
    """Return the framing of a head that the parser has accepted."""
    coding = list_values(headers, b"transfer-encoding")
    length = first_value(headers, b"content-length")
    if coding and coding != [b"chunked"]:
        return Framing(None, True, "a transfer coding other than chunked")
    return Framing(int(length) if length is not None else None, bool(coding))


def render_head(
    first_line: bytes,
    headers: Iterable[Header],
    length: int | None,
    *,
    chunked: bool,
    extra_headers: Iterable[Header] = (),
) -> bytes:
    """Return the bytes of a head.

    :param headers: without framing headers, which are added by `length` and `chunked`.
    """
    lines = [first_line, *(name + b": " + value for name, value in (*headers, *extra_headers))]
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def render_chunk(data: bytes) -> bytes:
    """Return body data as one chunk of the chunked coding (RFC 9112, section 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def proxy_response(status: int, text: str, *, keep: bool, extra_headers: Iterable[Header] = ()) -> bytes:
    """Return a response that the proxy itself generates: one line of text.

    :param keep: whether the client's connection stays open after it.
    """
    body = text.encode() + b"\n"
    appended = (*extra_headers, *(() if keep else (CLOSE_HEADER,)))
    first_line = f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}".encode()
    return (
        render_head(first_line, [(b"Content-Type", b"text/plain")], len(body), chunked=False, extra_headers=appended)
        + body
    )
