"""One request as a client sent it: its head, the bytes of its body so far, and its form towards a node."""

from typing import NamedTuple

from kestrelplank.reference_proxy.http_messages import (
    LAST_CHUNK,
    Header,
    end_to_end,
    first_value,
    framing,
    list_values,
    render_chunk,
    render_head,
)
from kestrelplank.state.sealed import digest_of

DEADLINE_HEADER = b"X-Deadline-Ms"  # the time that the op has left, for the node
REPLACED_HEADERS = (b"host", DEADLINE_HEADER.lower())  # written anew towards a node


class OpType(NamedTuple):
    """An op type as the proxy needs it.

    A request is of the first op type whose `method` and `prefix` of the target match; an empty one matches any.
    """

    name: str
    method: bytes
    prefix: bytes
    deduplicated: bool
    timeout_ns: int

    def matches(self, request: "ClientRequest") -> bool:
        """Whether the request is of this type."""
        return self.method in (b"", request.method) and request.target.startswith(self.prefix)


class Rejection(NamedTuple):
    """An answer of the proxy's own in place of a node's; `may_retry`: the client may come again later."""

    status: int
    reason: str
    may_retry: bool = False


class ClientRequest:
    """A request of which at least the first byte has come.

    :ivar body: the pieces that have come, to be sent again; None once that is too much.
    :ivar size: of the body so far, in bytes.
    :ivar complete: whether all of it has come.
    """

    __slots__ = ("method", "target", "version", "headers", "length", "chunked", "body", "size", "complete")

    def __init__(self) -> None:
        self.method, self.target, self.version = b"", b"", "1.1"
        self.headers: list[Header] = []
        self.length: int | None = None
        self.chunked = False
        self.body: list[bytes] | None = []
        self.size, self.complete = 0, False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        return first_value(self.headers, name)

    def take_head(self, method: bytes, version: str, max_body_bytes: int) -> Rejection | None:
        """Take note that all headers are there; return why the request can't be served, if so."""
        self.method, self.version = method, version
        self.length, self.chunked, problem = framing(self.headers)
        if problem:
            return Rejection(501, problem)
        if method == b"CONNECT" or b"upgrade" in list_values(self.headers, b"connection"):
            return Rejection(501, "upgrades are not passed on")
        if version == "1.1" and self.header(b"host") is None:
            return Rejection(400, "no Host")
        if self.length is not None and self.length > max_body_bytes:
            return Rejection(413, "the body is too long")
        if list_values(self.headers, b"expect") not in ([], [b"100-continue"]):
            return Rejection(417, "an expectation that can't be met")
        return None

    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends the body."""
        return self.header(b"expect") is not None and not self.complete

    def encode_piece(self, data: bytes) -> bytes:
        """Return a piece of the body as it goes to a node."""
        return render_chunk(data) if self.chunked else data

    def render(self, remaining_ms: int) -> bytes:
        """Return the head towards a node, with the time that is left, and what of the body has come."""
        own = [(DEADLINE_HEADER, b"%d" % remaining_ms), (b"Host", self.header(b"host") or b"")]
        headers = [(name, value) for name, value in end_to_end(self.headers) if name.lower() not in REPLACED_HEADERS]
        first_line = self.method + b" " + self.target + b" HTTP/1.1"
        head = render_head(first_line, headers, self.length, chunked=self.chunked, more=own)
        parts = [head, *map(self.encode_piece, self.body or ())]
        if self.chunked and self.complete:
            parts.append(LAST_CHUNK)
        return b"".join(parts)

    def digest(self) -> str:
        """Return what tells one request with a key from another, in hexadecimal."""
        parts = self.method, self.target, b"".join(self.body or ())
        return digest_of(b"\0".join(parts))
