"""One request as a client sent it: its head, the bytes of its body so far, and its form towards a node."""

from typing import NamedTuple

from kestrelplank.reference_proxy.message import LAST, Header, chunk, framing, head, one, passed_on, tokens
from kestrelplank.state.sealed import digest_of

DEADLINE_HEADER = b"X-Deadline-Ms"  # the time that the op has left, for the node
REPLACED = (b"host", DEADLINE_HEADER.lower())  # headers that are written anew towards a node


class OpType(NamedTuple):
    """An op type as the proxy needs it. A request is of the first op type whose `method` and `prefix` of the target
    match; an empty one matches any. `timeout` in ns."""

    name: str
    method: bytes
    prefix: bytes
    deduplicated: bool
    timeout: int

    def matches(self, request: "Request") -> bool:
        return self.method in (b"", request.method) and request.target.startswith(self.prefix)


class Refusal(NamedTuple):
    """An answer of the relay's own in place of a node's; `retry`: the client may come again later."""

    status: int
    why: str
    retry: bool = False


class Request:
    """`body` holds the pieces that have come, to be sent again; None once that is too much. `size` counts its bytes,
    `whole` says that all have come."""

    __slots__ = ("method", "target", "version", "headers", "length", "chunked", "body", "size", "whole")

    def __init__(self) -> None:
        self.method, self.target, self.version = b"", b"", "1.1"
        self.headers: list[Header] = []
        self.length: int | None = None
        self.chunked = False
        self.body: list[bytes] | None = []
        self.size, self.whole = 0, False

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header, by its name in lower case."""
        return one(self.headers, name)

    def head_came(self, method: bytes, version: str, most_body: int) -> Refusal | None:
        """All headers are there. Returns why the request can't be served, if so; `most_body` in bytes."""
        self.method, self.version = method, version
        self.length, self.chunked, wrong = framing(self.headers)
        if wrong:
            return Refusal(501, wrong)
        if method == b"CONNECT" or b"upgrade" in tokens(self.headers, b"connection"):
            return Refusal(501, "upgrades are not passed on")
        if version == "1.1" and self.header(b"host") is None:
            return Refusal(400, "no Host")
        if self.length is not None and self.length > most_body:
            return Refusal(413, "the body is too long")
        if tokens(self.headers, b"expect") not in ([], [b"100-continue"]):
            return Refusal(417, "an expectation that can't be met")
        return None

    def expects_continue(self) -> bool:
        """Whether the client waits for a word before it sends the body."""
        return self.header(b"expect") is not None and not self.whole

    def piece(self, data: bytes) -> bytes:
        """A piece of the body as it goes to a node."""
        return chunk(data) if self.chunked else data

    def towards_node(self, left_ms: int) -> bytes:
        """Its head, and what of its body has come; the node has so much time left for it."""
        own = [(DEADLINE_HEADER, b"%d" % left_ms), (b"Host", self.header(b"host") or b"")]
        headers = [(name, value) for name, value in passed_on(self.headers) if name.lower() not in REPLACED]
        first = self.method + b" " + self.target + b" HTTP/1.1"
        parts = [head(first, headers, self.length, self.chunked, own), *map(self.piece, self.body or ())]
        if self.chunked and self.whole:
            parts.append(LAST)
        return b"".join(parts)

    def digest(self) -> str:
        """Tells one request with a key from another; hexadecimal."""
        parts = self.method, self.target, b"".join(self.body or ())
        return digest_of(b"\0".join(parts))
