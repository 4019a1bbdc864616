"""HTTP/1.1 messages on both sides of the relay: heads, framing, and what is never passed on.

httptools parses, and refuses what could be read in two ways: two lengths, a length beside chunks, a bare LF, a folded
line, white space before a colon. What it lets through and we do not is refused here.
"""

from collections.abc import Iterable
from typing import NamedTuple

HOP = frozenset(
    (  # looked up, never walked
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
NO_BODY = (204, 304)

Header = tuple[bytes, bytes]


def one(headers: Iterable[Header], name: bytes) -> bytes | None:
    """The first value of a header, by its name in lower case."""
    return next((value for held, value in headers if held.lower() == name), None)


def tokens(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """The words of a list header, in lower case."""
    return [word.strip().lower() for held, value in headers if held.lower() == name for word in value.split(b",")]


def passed_on(headers: list[Header]) -> list[Header]:
    """The headers that are for the other end: none that belong to one connection (RFC 9110, 7.6.1)."""
    named = tokens(headers, b"connection")
    return [(name, value) for name, value in headers if name.lower() not in HOP and name.lower() not in named]


class Framing(NamedTuple):
    """How a message's body is delimited; `wrong` says why it can't be read, and is empty where it can."""

    length: int | None
    chunked: bool
    wrong: str = ""


def framing(headers: list[Header]) -> Framing:
    """The framing of a head that the parser let through."""
    coding = tokens(headers, b"transfer-encoding")
    length = one(headers, b"content-length")
    if coding and coding != [b"chunked"]:
        return Framing(None, True, "a transfer coding other than chunked")
    return Framing(int(length) if length is not None else None, bool(coding))


def head(
    first: bytes, headers: Iterable[Header], length: int | None, chunked: bool, more: Iterable[Header] = ()
) -> bytes:
    """A head as it goes out, with framing of its own."""
    lines = [first, *(name + b": " + value for name, value in (*headers, *more))]
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """A piece of a body in the chunked coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST = b"0\r\n\r\n"


def own_answer(status: int, why: str, keep: bool, more: Iterable[Header] = ()) -> bytes:
    """An answer of the relay's own: a line of text."""
    body = why.encode() + b"\n"
    extra = (*more, *(() if keep else ((b"Connection", b"close"),)))
    first = f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}".encode()
    return head(first, [(b"Content-Type", b"text/plain")], len(body), False, extra) + body
