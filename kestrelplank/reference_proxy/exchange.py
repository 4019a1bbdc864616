"""One exchange of the proxy: a client's request, its op, and the answer on its way back."""

from enum import Enum
from typing import NamedTuple, Protocol

from kestrelplank.load_balancing.operations import AttemptOutcome, Op
from kestrelplank.reference_proxy.client_request import ClientRequest
from kestrelplank.reference_proxy.http_messages import (
    CLOSE_HEADER,
    LAST_CHUNK,
    STATUSES_WITHOUT_BODY,
    Header,
    end_to_end,
    first_value,
    render_chunk,
    render_head,
)
from kestrelplank.reference_proxy.node_connection import NodeConnection
from kestrelplank.sockets.loop import Timer
from kestrelplank.time_units import MILLISECOND

MAX_WAITING_BYTES = 1 << 18  # to be written on one side, from which on the other side is not read
NOT_STARTED_HEADER = b"x-not-started"  # a node's own word that the op has not begun
SERVICE_UNAVAILABLE, FIRST_SERVER_ERROR = 503, 500


class ExchangeLimits(NamedTuple):
    """Limits of one exchange.

    :param head_bytes: of a request's head.
    :param kept_body_bytes: of a request's body, to be sent again.
    :param body_bytes: of a request's body at the most.
    :param kept_answer_bytes: of an answer that is kept for a deduplicated op.
    :param dial_timeout_ns: for a connection to a node to come up.
    :param key_header: names a key.
    """

    head_bytes: int = 1 << 15
    kept_body_bytes: int = 1 << 16
    body_bytes: int = 64 << 20
    kept_answer_bytes: int = 1 << 16
    dial_timeout_ns: int = 250 * MILLISECOND
    key_header: bytes = b"idempotency-key"


class Stage(Enum):
    """How far an exchange has come; the request's body comes in beside that."""

    READING_HEAD = "reading head"
    QUEUED = "queued"  # its head is complete
    ASKED = "asked"  # its op was asked for
    ANSWERING = "answering"
    DONE = "done"


class ClientSide(Protocol):
    """The connection that a request came on."""

    def refuse(self, status: int, why: str) -> None:
        """Answer that the request can't be served; nothing after it is read."""
        ...

    def hold(self, held: bool) -> None:
        """Read no further for now, as the node is behind; or go on."""
        ...

    def write(self, data: bytes) -> None:
        """Send bytes of an answer."""
        ...

    def waiting(self) -> int:
        """Return how many bytes the client has not taken yet."""
        ...

    def close(self, why: str) -> None:
        """End the connection."""
        ...

    def finished(self, exchange: "Exchange") -> None:
        """Take note that the exchange has its answer."""
        ...


class ExchangeOwner(Protocol):
    """What an exchange needs of the proxy that it is in."""

    limits: ExchangeLimits
    stopping: bool

    def now(self) -> int:
        """Return the present instant (ns)."""
        ...

    def attempt_ended(
        self, exchange: "Exchange", connection: NodeConnection, *, keep: bool, outcome: AttemptOutcome
    ) -> None:
        """Take the end of an attempt by the node's doing; `keep`: its connection may be used again."""
        ...


class Exchange:
    """The sink of its node's connection (`reference_proxy/node_connection.py`).

    :ivar number: its op's.
    :ivar op_type: the index of its op type.
    :ivar key: that of a deduplicated op while it holds one.
    :ivar deadline: the instant at which its client stops waiting.
    :ivar keep: whether the client's connection may be kept after the answer.
    :ivar node: the node that its attempt is for.
    :ivar connection: the one that its attempt is on.
    :ivar record: of an answer that is to be kept; None for any other, or once it is too long.
    """

    def __init__(self, client: ClientSide, owner: ExchangeOwner) -> None:
        self.client, self._owner, self.request = client, owner, ClientRequest()
        self.number, self.op_type, self.key, self.deadline = 0, 0, "", 0
        self.stage = Stage.READING_HEAD
        self.keep = True
        self.op: Op | None = None
        self.timer: Timer | None = None
        self.node: int | None = None
        self.connection: NodeConnection | None = None
        self.record: list[bytes] | None = None
        self._recorded_bytes = self._status = 0
        self._not_started = False  # the node's answer says so, and is not forwarded
        self._sends_chunks = False
        self._answered_early = False  # before the request had come: the rest of it goes nowhere
        self._unwritten: list[bytes] = []

    # From the client.

    def receive(self, data: bytes) -> None:
        """Take a piece of the request's body."""
        request, limits = self.request, self._owner.limits
        request.size += len(data)
        if request.size > limits.body_bytes:
            self.client.refuse(413, "the body is too long")
            return
        connection = self._connection_in_use()
        if request.body is not None:
            request.body.append(data)
            if request.size > limits.kept_body_bytes and connection is not None:
                request.body = None
        if connection is not None and not self._answered_early:
            connection.write(request.encode_piece(data))
            if connection.waiting() > MAX_WAITING_BYTES:
                self.client.hold(True)
        elif request.size > limits.kept_body_bytes:
            self.client.hold(True)  # until some node takes it

    def body_complete(self) -> None:
        """Take note that the request's body has come."""
        self.request.complete = True
        connection = self._connection_in_use()
        if self.request.chunked and connection is not None and not self._answered_early:
            connection.write(LAST_CHUNK)

    def _connection_in_use(self) -> NodeConnection | None:
        """Return the connection to the node that has been sent the beginning of this request, and answers it."""
        connection = self.connection
        return connection if connection is not None and connection.written and connection.sink is self else None

    # To a node.

    def send(self, connection: NodeConnection) -> None:
        """Send the head, and what of the body has come."""
        assert self.op is not None, "only a request whose op was asked for is sent"
        self.connection = connection
        remaining_ms = max(1, (self.op.deadline - self._owner.now()) // MILLISECOND)
        connection.begin(self, self.request.render(remaining_ms), without_body=self.request.method == b"HEAD")
        if self.request.size > self._owner.limits.kept_body_bytes:
            self.request.body = None
        self.client.hold(False)

    def is_repeatable(self) -> bool:
        """Whether the complete request could be sent once more."""
        return self.request.body is not None

    def forget_attempt(self) -> None:
        """Forget the last attempt, as another may follow."""
        self._not_started = False

    # From the node (`AnswerSink`).

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None:
        """Forward the answer's head, unless the node has not started the op."""
        self._status = status
        if status == SERVICE_UNAVAILABLE and first_value(headers, NOT_STARTED_HEADER) is not None:
            self._not_started = True
            return
        self.stage, self._answered_early = Stage.ANSWERING, not self.request.complete
        in_chunks = chunked and self.request.method != b"HEAD" and status not in STATUSES_WITHOUT_BODY
        self._sends_chunks = in_chunks and self.request.version == "1.1"
        until_close = in_chunks and not self._sends_chunks  # HTTP/1.0: the end of the connection is the answer's end
        self.keep = self.keep and self.request.complete and not self._owner.stopping and not until_close
        first_line = b"HTTP/1.1 %d %s" % (status, reason)
        forwarded, announced_length = end_to_end(headers), None if in_chunks else length
        if self.record is not None:  # without what is said of this connection alone
            has_end = length is not None or self._sends_chunks
            kept = render_head(first_line, forwarded, announced_length, chunked=self._sends_chunks)
            self.record = [kept] if has_end else None
        more = () if self.keep else (CLOSE_HEADER,)
        head = render_head(first_line, forwarded, announced_length, chunked=self._sends_chunks, more=more)
        self._unwritten.append(head)

    def on_body(self, data: bytes) -> None:
        """Forward a piece of the answer's body."""
        if not self._not_started:
            self._write(render_chunk(data) if self._sends_chunks else data)

    def flush(self) -> None:
        """Write what one read of the node brought in one piece."""
        if not self._unwritten:
            return
        data = b"".join(self._unwritten)
        self._unwritten.clear()
        self.client.write(data)
        if self.client.waiting() > MAX_WAITING_BYTES and self.connection is not None:
            self.connection.read(False)

    def on_complete(self, keep: bool) -> None:
        """Take the answer's end."""
        if self._sends_chunks and not self._not_started:
            self._write(LAST_CHUNK)
        self.flush()
        if self._not_started:
            outcome = AttemptOutcome.NOT_STARTED
        else:
            failed = self._status >= FIRST_SERVER_ERROR
            outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.SUCCEEDED
        self._end_attempt(keep=keep and self.request.complete, outcome=outcome)

    def on_lost(self, why: str) -> None:  # noqa: ARG002 - as the connection calls it
        """Take the end of the connection before the answer's."""
        assert self.connection is not None
        if not self.connection.written:
            outcome = AttemptOutcome.UNSENT
        elif self.stage is Stage.ANSWERING or self._not_started:
            outcome = AttemptOutcome.TRUNCATED
        else:
            outcome = AttemptOutcome.RESET
        self._not_started = False
        self._end_attempt(keep=False, outcome=outcome)

    def _end_attempt(self, *, keep: bool, outcome: AttemptOutcome) -> None:
        connection, self.connection = self.connection, None
        assert connection is not None, "an answer comes on the connection of the attempt"
        self._owner.attempt_ended(self, connection, keep=keep, outcome=outcome)

    def _write(self, data: bytes) -> None:
        if self.record is not None:
            self.record.append(data)
            self._recorded_bytes += len(data)
            if self._recorded_bytes > self._owner.limits.kept_answer_bytes:
                self.record = None
        self._unwritten.append(data)

    # From the proxy itself.

    def answer(self, data: bytes) -> None:
        """Send an answer of the proxy's own, or one that was kept."""
        self.stage = Stage.ANSWERING
        self.client.write(data)
