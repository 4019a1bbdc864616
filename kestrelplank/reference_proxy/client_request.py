"""A client's request: its head, the body received so far, and its encoding for a node."""

from typing import NamedTuple

from kestrelplank.reference_proxy.http_messages import (
    LAST_CHUNK,
    Header,
    end_to_end_headers,
    first_value,
    framing,
    list_values,
    render_chunk,
    render_head,
)
from kestrelplank.state.sealed import digest_of

DEADLINE_HEADER = b"X-Deadline-Ms"  # sent to the node: time left until the op's deadline (ms)
REPLACED_HEADERS = (b"host", DEADLINE_HEADER.lower())  # not forwarded, but set by the proxy


class OpType(NamedTuple):
    """An op type: its matching rule, and how its requests are handled.

    A request belongs to the first op type whose `method` and target `prefix` match; an empty one matches any.
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
    """A response that rejects a request; `may_retry`: the client may retry later."""

    status: int
    reason: str
    may_retry: bool = False


class ClientRequest:
    """A request of which at least the first byte has been received.

    :ivar body: the body data received so far, kept for a retry; None once it exceeds the limit for that.
    :ivar size: number of body bytes received so far.
    :ivar complete: whether the request has been received completely.
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

    def complete_head(self, method: bytes, version: str, max_body_bytes: int) -> Rejection | None:
        """Complete the head once all headers are parsed; return a rejection if the request can't be served."""
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
        """Whether the client waits for `100 Continue` before sending the body."""
        return self.header(b"expect") is not None and not self.complete

    def encode_body_data(self, data: bytes) -> bytes:
        """Return body data as it is sent to a node."""
        return render_chunk(data) if self.chunked else data

    def render(self, remaining_ms: int) -> bytes:
        """Return the head for a node, with the remaining time, and the body received so far."""
        own = [(DEADLINE_HEADER, b"%d" % remaining_ms), (b"Host", self.header(b"host") or b"")]
        headers = [
            (name, value) for name, value in end_to_end_headers(self.headers) if name.lower() not in REPLACED_HEADERS
        ]
        first_line = self.method + b" " + self.target + b" HTTP/1.1"
        head = render_head(first_line, headers, self.length, chunked=self.chunked, extra_headers=own)
        parts = [head, *map(self.encode_body_data, self.body or ())]
        if self.chunked and self.complete:
            parts.append(LAST_CHUNK)
        return b"".join(parts)

    def digest(self) -> str:
        """Return a hexadecimal digest that distinguishes different requests with the same idempotency key."""
        parts = self.method, self.target, b"".join(self.body or ())
        return digest_of(b"\0".join(parts))
