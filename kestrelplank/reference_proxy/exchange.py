"""One exchange of the proxy: a client's request, its op, and the response."""

from enum import Enum
from typing import NamedTuple, Protocol

from kestrelplank.load_balancing.operations import AttemptOutcome, Op
from kestrelplank.reference_proxy.client_request import ClientRequest
from kestrelplank.reference_proxy.http_messages import (
    CLOSE_HEADER,
    LAST_CHUNK,
    STATUSES_WITHOUT_BODY,
    Header,
    end_to_end_headers,
    first_value,
    render_chunk,
    render_head,
)
from kestrelplank.reference_proxy.node_connection import NodeConnection
from kestrelplank.sockets.loop import Timer
from kestrelplank.time_units import MILLISECOND

MAX_PENDING_BYTES = 1 << 18  # pending on one side; beyond it, reading from the other side is paused
NOT_STARTED_HEADER = b"x-not-started"  # with status 503: the node states that it has not started the op
SERVICE_UNAVAILABLE, FIRST_SERVER_ERROR = 503, 500


class ExchangeLimits(NamedTuple):
    """Limits of one exchange.

    :param max_head_bytes: maximum size of a request's head.
    :param max_resend_body_bytes: maximum size of a request's body that is kept for a retry.
    :param max_body_bytes: maximum size of a request's body.
    :param max_cached_response_bytes: maximum size of a response that is cached for a deduplicated op.
    :param dial_timeout_ns: time limit for connecting to a node.
    :param idempotency_key_header: name of the header with the idempotency key, in lower case.
    """

    max_head_bytes: int = 1 << 15
    max_resend_body_bytes: int = 1 << 16
    max_body_bytes: int = 64 << 20
    max_cached_response_bytes: int = 1 << 16
    dial_timeout_ns: int = 250 * MILLISECOND
    idempotency_key_header: bytes = b"idempotency-key"


class Stage(Enum):
    """The progress of an exchange; the request's body may arrive at any stage."""

    READING_HEAD = "reading head"
    QUEUED = "queued"  # its head is complete
    PROCESSING = "processing"  # the proxy has begun to handle the request
    ANSWERING = "answering"
    DONE = "done"


class ClientSide(Protocol):
    """The client's connection, as an exchange uses it."""

    def reject(self, status: int, reason: str) -> None:
        """Reject the incoming request; nothing more is read."""
        ...

    def pause_reading(self, paused: bool) -> None:
        """Pause reading from the client while the node is slower than it, or resume it."""
        ...

    def write(self, data: bytes) -> None:
        """Send bytes of a response."""
        ...

    def unsent_bytes(self) -> int:
        """Return the number of bytes that have not been written to the client's socket yet."""
        ...

    def close(self, why: str) -> None:
        """Close the connection."""
        ...

    def exchange_finished(self, exchange: "Exchange") -> None:
        """Handle the end of the exchange's response."""
        ...


class ExchangeOwner(Protocol):
    """The proxy, as an exchange uses it."""

    limits: ExchangeLimits
    stopping: bool

    def now(self) -> int:
        """Return the current time (ns)."""
        ...

    def attempt_ended(
        self, exchange: "Exchange", connection: NodeConnection, *, keep: bool, outcome: AttemptOutcome
    ) -> None:
        """Handle the end of an attempt by the node; `keep`: its connection may be reused."""
        ...


class Exchange:
    """A request and its response; the sink of the node's connection (`reference_proxy/node_connection.py`).

    :ivar number: number of its op.
    :ivar op_type: index of its op type.
    :ivar idempotency_key: idempotency key of a deduplicated op; empty without one, or once it is released.
    :ivar deadline: time at which the client stops waiting (ns).
    :ivar keep: whether the client's connection may stay open after the response.
    :ivar node: node of the current attempt.
    :ivar connection: connection of the current attempt.
    :ivar recorded_response: bytes of a response that is to be cached; None if it is not, or is too long.
    """

    def __init__(self, client: ClientSide, owner: ExchangeOwner) -> None:
        self.client, self._owner, self.request = client, owner, ClientRequest()
        self.number, self.op_type, self.idempotency_key, self.deadline = 0, 0, "", 0
        self.stage = Stage.READING_HEAD
        self.keep = True
        self.op: Op | None = None
        self.timer: Timer | None = None
        self.node: int | None = None
        self.connection: NodeConnection | None = None
        self.recorded_response: list[bytes] | None = None
        self._recorded_bytes = self._status = 0
        self._not_started = False  # the node has not started the op; its response is not forwarded
        self._sends_chunks = False
        self._responded_early = False  # before the request was complete: the rest of it is dropped
        self._unwritten: list[bytes] = []

    # Data from the client

    def receive(self, data: bytes) -> None:
        """Handle data of the request's body."""
        request, limits = self.request, self._owner.limits
        request.size += len(data)
        if request.size > limits.max_body_bytes:
            self.client.reject(413, "the body is too long")
            return
        connection = self._connection_in_use()
        if request.body is not None:
            request.body.append(data)
            if request.size > limits.max_resend_body_bytes and connection is not None:
                request.body = None
        if connection is not None and not self._responded_early:
            connection.write(request.encode_body_data(data))
            if connection.unsent_bytes() > MAX_PENDING_BYTES:
                self.client.pause_reading(True)
        elif request.size > limits.max_resend_body_bytes:
            self.client.pause_reading(True)  # until the request is sent to a node

    def body_complete(self) -> None:
        """Handle the end of the request's body."""
        self.request.complete = True
        connection = self._connection_in_use()
        if self.request.chunked and connection is not None and not self._responded_early:
            connection.write(LAST_CHUNK)

    def _connection_in_use(self) -> NodeConnection | None:
        """Return the connection on which this request has been begun and its response is expected."""
        connection = self.connection
        return connection if connection is not None and connection.request_begun and connection.sink is self else None

    # Sending to a node

    def send(self, connection: NodeConnection) -> None:
        """Send the head and the body received so far."""
        assert self.op is not None, "only a request with a submitted op is sent"
        self.connection = connection
        remaining_ms = max(1, (self.op.deadline - self._owner.now()) // MILLISECOND)
        connection.begin_request(self, self.request.render(remaining_ms), without_body=self.request.method == b"HEAD")
        if self.request.size > self._owner.limits.max_resend_body_bytes:
            self.request.body = None
        self.client.pause_reading(False)

    def can_resend(self) -> bool:
        """Whether the request can be sent again, as its body has been kept."""
        return self.request.body is not None

    def reset_attempt(self) -> None:
        """Reset the state of the last attempt, as another may follow."""
        self._not_started = False

    # Data from the node (`ResponseSink`)

    def on_head(self, status: int, reason: bytes, headers: list[Header], length: int | None, chunked: bool) -> None:
        """Forward the response's head, unless the node has not started the op."""
        self._status = status
        if status == SERVICE_UNAVAILABLE and first_value(headers, NOT_STARTED_HEADER) is not None:
            self._not_started = True
            return
        self.stage, self._responded_early = Stage.ANSWERING, not self.request.complete
        in_chunks = chunked and self.request.method != b"HEAD" and status not in STATUSES_WITHOUT_BODY
        self._sends_chunks = in_chunks and self.request.version == "1.1"
        until_close = in_chunks and not self._sends_chunks  # HTTP/1.0: the response ends with the connection
        self.keep = self.keep and self.request.complete and not self._owner.stopping and not until_close
        first_line = b"HTTP/1.1 %d %s" % (status, reason)
        forwarded, announced_length = end_to_end_headers(headers), None if in_chunks else length
        if self.recorded_response is not None:  # without the Connection header
            has_end = length is not None or self._sends_chunks
            recorded_head = render_head(first_line, forwarded, announced_length, chunked=self._sends_chunks)
            self.recorded_response = [recorded_head] if has_end else None
        extra_headers = () if self.keep else (CLOSE_HEADER,)
        head = render_head(
            first_line, forwarded, announced_length, chunked=self._sends_chunks, extra_headers=extra_headers
        )
        self._unwritten.append(head)

    def on_body(self, data: bytes) -> None:
        """Forward data of the response's body."""
        if not self._not_started:
            self._write(render_chunk(data) if self._sends_chunks else data)

    def flush(self) -> None:
        """Write the data of one read from the node to the client in one call."""
        if not self._unwritten:
            return
        data = b"".join(self._unwritten)
        self._unwritten.clear()
        self.client.write(data)
        if self.client.unsent_bytes() > MAX_PENDING_BYTES and self.connection is not None:
            self.connection.read(False)

    def on_complete(self, keep: bool) -> None:
        """Handle the end of the response."""
        if self._sends_chunks and not self._not_started:
            self._write(LAST_CHUNK)
        self.flush()
        if self._not_started:
            # Responses bear no id: a copy of this one could be taken for the response to the connection's next request.
            self._end_attempt(keep=False, outcome=AttemptOutcome.NOT_STARTED)
            return
        failed = self._status >= FIRST_SERVER_ERROR
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.SUCCEEDED
        self._end_attempt(keep=keep and self.request.complete, outcome=outcome)

    def on_lost(self, why: str) -> None:  # noqa: ARG002 - the connection's callback signature
        """Handle the loss of the connection before the response is complete."""
        assert self.connection is not None
        if not self.connection.request_begun:
            outcome = AttemptOutcome.UNSENT
        elif self.stage is Stage.ANSWERING or self._not_started:
            outcome = AttemptOutcome.TRUNCATED
        else:
            outcome = AttemptOutcome.RESET
        self._not_started = False
        self._end_attempt(keep=False, outcome=outcome)

    def _end_attempt(self, *, keep: bool, outcome: AttemptOutcome) -> None:
        connection, self.connection = self.connection, None
        assert connection is not None, "a response arrives on the connection of the attempt"
        self._owner.attempt_ended(self, connection, keep=keep, outcome=outcome)

    def _write(self, data: bytes) -> None:
        if self.recorded_response is not None:
            self.recorded_response.append(data)
            self._recorded_bytes += len(data)
            if self._recorded_bytes > self._owner.limits.max_cached_response_bytes:
                self.recorded_response = None
        self._unwritten.append(data)

    # Responses of the proxy itself

    def send_response(self, data: bytes) -> None:
        """Send a response that the proxy has generated or cached."""
        self.stage = Stage.ANSWERING
        self.client.write(data)
