"""One exchange of the proxy: a client's request, its op, and the answer on its way back."""

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from kestrelplank.load_balancing.operations import AttemptOutcome, Op
from kestrelplank.reference_proxy.message import LAST, NO_BODY, Header, chunk, head, one, passed_on
from kestrelplank.reference_proxy.node import NodeConnection
from kestrelplank.reference_proxy.request import Request
from kestrelplank.sockets.loop import Timer

if TYPE_CHECKING:
    from kestrelplank.reference_proxy.client import ClientConnection

MS = 1_000_000
HIGH = 1 << 18  # bytes waiting to be written, from which on the other side is not read
NOT_STARTED_HEADER = b"x-not-started"  # a node's own word that the op has not begun


class Bounds(NamedTuple):
    """`head` bytes of a request's head, `kept` bytes of its body to be sent again, `body` bytes at the most, `answer`
    bytes of an answer that is kept for a deduplicated op; `dial` in ns; `key`, the header that names a key."""

    head: int = 1 << 15
    kept: int = 1 << 16
    body: int = 64 << 20
    answer: int = 1 << 16
    dial: int = 250 * MS
    key: bytes = b"idempotency-key"


class Stage(Enum):
    """How far an exchange has come; the request's body comes in beside that."""

    READING_HEAD = "reading head"
    QUEUED = "queued"  # its head is whole
    ASKED = "asked"
    ANSWERING = "answering"
    DONE = "done"


class Exchange:
    """It is the sink of its node's connection (`reference_proxy/node.py`). `number` is its op's, `op_type` the place
    of its op type, `key` that of a deduplicated op while it holds one, `deadline` in ns."""

    def __init__(self, client: "ClientConnection") -> None:
        self.client, self.proxy, self.request = client, client.proxy, Request()
        self.number, self.op_type, self.key, self.deadline = 0, 0, "", 0
        self.stage = Stage.READING_HEAD
        self.keep = True  # whether the client's connection may be kept after the answer
        self.op: Op | None = None
        self.timer: Timer | None = None
        self.node: int | None = None  # the node that its try is for
        self.connection: NodeConnection | None = None  # the one that its try is on
        self.record: list[bytes] | None = None  # of an answer that is to be kept
        self._recorded = self._status = 0
        self._not_started = False  # the node's answer says so, and is not passed on
        self._chunked_out = False
        self._answered_early = False  # before the request had come whole: the rest of it goes nowhere
        self._out: list[bytes] = []

    # From the client.

    def receive(self, data: bytes) -> None:
        """A piece of the request's body."""
        request, bounds = self.request, self.proxy.bounds
        request.size += len(data)
        if request.size > bounds.body:
            self.client.refuse(413, "the body is too long")
            return
        if request.body is not None:
            request.body.append(data)
            if request.size > bounds.kept and self.written():
                request.body = None
        if self.written() and not self._answered_early:
            self.connection.more(request.piece(data))
            if self.connection.waiting() > HIGH:
                self.client.hold(True)
        elif request.size > bounds.kept:
            self.client.hold(True)  # until some node takes it

    def body_whole(self) -> None:
        """The request's body has come."""
        self.request.whole = True
        if self.request.chunked and self.written() and not self._answered_early:
            self.connection.more(LAST)

    def written(self) -> bool:
        """Whether a node has been sent the beginning of this request, and answers it."""
        return self.connection is not None and self.connection.written and self.connection.sink is self

    # To a node.

    def send(self, connection: NodeConnection) -> None:
        """Sends the head, and what of the body has come."""
        self.connection = connection
        left_ms = max(1, (self.op.deadline - self.proxy.loop.now()) // MS)
        connection.begin(self, self.request.towards_node(left_ms), self.request.method == b"HEAD")
        if self.request.size > self.proxy.bounds.kept:
            self.request.body = None
        self.client.hold(False)

    def repeatable(self) -> bool:
        """Whether the whole request could be sent once more."""
        return self.request.body is not None

    def forget_try(self) -> None:
        """Another try may follow: nothing of the last one counts."""
        self._not_started = False

    # From the node.

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None:
        self._status = status
        if status == 503 and one(headers, NOT_STARTED_HEADER) is not None:
            self._not_started = True
            return
        self.stage, self._answered_early = Stage.ANSWERING, not self.request.whole
        in_chunks = chunked and self.request.method != b"HEAD" and status not in NO_BODY
        self._chunked_out = in_chunks and self.request.version == "1.1"
        until_close = in_chunks and not self._chunked_out  # HTTP/1.0: the end of the connection is the answer's end
        self.keep = self.keep and self.request.whole and not self.proxy.stopping and not until_close
        first = b"HTTP/1.1 %d %s" % (status, reason)
        framed = passed_on(headers), None if in_chunks else length, self._chunked_out
        if self.record is not None:  # without what is said of this connection alone
            self.record = [head(first, *framed)] if length is not None or self._chunked_out else None
        self._out.append(head(first, *framed, () if self.keep else ((b"Connection", b"close"),)))

    def on_part(self, data: bytes) -> None:
        if not self._not_started:
            self._write(chunk(data) if self._chunked_out else data)

    def flush(self) -> None:
        """What one read of the node brought goes out as one write."""
        if not self._out:
            return
        data = b"".join(self._out)
        self._out.clear()
        self.client.write(data)
        if self.client.waiting() > HIGH and self.connection is not None:
            self.connection.read(False)

    def on_whole(self, keep: bool) -> None:
        if self._chunked_out and not self._not_started:
            self._write(LAST)
        self.flush()
        if self._not_started:
            outcome = AttemptOutcome.NOT_STARTED
        else:
            outcome = AttemptOutcome.FAILED if self._status >= 500 else AttemptOutcome.SUCCEEDED
        connection, self.connection = self.connection, None
        self.proxy.tried(self, connection, keep and self.request.whole, outcome)

    def on_lost(self, why: str) -> None:
        connection, self.connection = self.connection, None
        if not connection.written:
            outcome = AttemptOutcome.UNSENT
        elif self.stage is Stage.ANSWERING or self._not_started:
            outcome = AttemptOutcome.TRUNCATED
        else:
            outcome = AttemptOutcome.RESET
        self._not_started = False
        self.proxy.tried(self, connection, False, outcome)

    def _write(self, data: bytes) -> None:
        if self.record is not None:
            self.record.append(data)
            self._recorded += len(data)
            if self._recorded > self.proxy.bounds.answer:
                self.record = None
        self._out.append(data)

    # From the relay itself.

    def answer(self, data: bytes) -> None:
        """An answer of the relay's own, or one that was kept."""
        self.stage = Stage.ANSWERING
        self.client.write(data)
