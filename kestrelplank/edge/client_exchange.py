"""One client request, from its first byte to the last byte of its answer.

The request is read in full, then the steps that `forwarding.forwarder` returns are executed one by one. The answer is
sent on the connection on which the request arrived, in the order of that connection's requests; server answers are
matched to requests in `edge.server_connections`.
"""

import asyncio
import logging
import time
from typing import TypedDict, assert_never
from zlib import crc32

from kestrelplank.edge.attempt import make_attempt
from kestrelplank.edge.attempt_counting import counted_attempt
from kestrelplank.edge.counters import UPSTREAM_RQ_PENDING, UPSTREAM_RQ_RETRY
from kestrelplank.edge.exchange_context import ExchangeContext
from kestrelplank.edge.request_head import (
    ATTEMPT_ID,
    HOP_BY_HOP_HEADERS,
    HOST,
    SHARD_KEY,
    authorizations,
    client_timeout_ns,
    is_ambiguous,
    server_headers,
)
from kestrelplank.edge.request_target import origin_form, path_of
from kestrelplank.edge.server_connections import FORWARDABLE_OUTCOMES, AttemptResult, ServerRequest
from kestrelplank.forwarding.errors import (
    BadRequestError,
    BodyMemoryError,
    BodyTimeoutError,
    BodyTooLargeError,
    GatewayDefectError,
    OutcomeUnknownError,
    RequestError,
    ShuttingDownError,
    UnauthorizedError,
)
from kestrelplank.forwarding.request import ForwardedRequest
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.forwarding.steps import ForwardAnswer, Refuse, Send, Step, Wait
from kestrelplank.http.answer import Answer
from kestrelplank.http.asgi import Headers, Receive, Scope
from kestrelplank.http.asgi import Send as AsgiSend
from kestrelplank.time_units import MILLISECOND, SECOND

RETRY_AFTER_NS = SECOND // 2  # `Retry-After` for a body that was not accepted, a shutdown or an internal error
BODILESS_STATUSES = (204, 304)
log = logging.getLogger("edge")


class AttemptTrace(TypedDict):
    """The log entry of one attempt of a traced request."""

    server: str
    connection: int | None  # number of the connection; None: there was none
    outcome: str
    status: int  # HTTP status code; 0: no complete answer
    not_executed: bool  # the server stated that it has not run the request
    ms: int


class ClientExchange:
    """One client request and its answer.

    Invariants: the client gets exactly one answer unless it has disconnected
    (`test_each_client_gets_its_own_answer_and_no_non_idempotent_request_runs_twice`); the memory of the body is
    released (`test_buffered_bodies_are_limited_and_their_memory_is_released`); an attempt is aborted only where running
    the request again is harmless (`test_client_disconnect_does_not_abort_a_non_idempotent_request`).
    """

    def __init__(self, context: ExchangeContext, scope: Scope, receive: Receive, send: AsgiSend) -> None:
        self._context, self._scope, self._receive, self._send = context, scope, receive, send
        self._headers: Headers = scope["headers"]
        self._fields = dict(self._headers)  # see `request_head.Fields`
        self._target = b""  # as servers receive it; set once the request has been checked
        self._received_at = time.monotonic_ns()
        self._client_timeout_ns = client_timeout_ns(self._fields)  # counted from `_received_at`
        self._buffered_body_bytes = 0  # this request's part of the context's `buffered_body_bytes`
        self._request: ForwardedRequest | None = None  # None until it is admitted
        self._configuration_version = 0  # that of its route; 0 until it is admitted
        self._server_answer: Answer | None = None  # the last that counts as run
        self._attempts: list[AttemptTrace] = []
        self._reading: list[asyncio.Task[None]] = []  # of servers that answered before they had read the whole body
        self._answered = False
        self._answered_status = 0  # HTTP status code that the client got; 0: none so far

    async def run(self) -> None:
        """Read, forward and answer the request; an exception is turned into an answer.

        The body is held until each server that has run the request has read it, also while this edge shuts down.
        """
        try:
            await self._run()
            if self._reading:
                await asyncio.wait(self._reading)
        except asyncio.CancelledError:  # by the HTTP server: the grace period for requests in progress is over
            await self._abort(ShuttingDownError(RETRY_AFTER_NS))
        except Exception:  # noqa: BLE001 - uvicorn's own 500 would not say whether the request ran
            log.exception("Edge: refusing a request because of a defect of the gateway")
            await self._abort(GatewayDefectError(RETRY_AFTER_NS))
        finally:
            self._context.buffered_body_bytes -= self._buffered_body_bytes

    async def _run(self) -> None:
        """Read and admit the request, then execute the forwarder's steps."""
        try:
            body = await self._read()
            if body is None:
                return
            now = time.monotonic_ns()
            request = self._request = self._admit(now, body)
        except RequestError as error:
            await self._refuse(error)
            return
        step = self._context.forwarder.next_step(now, request)
        disconnected = asyncio.ensure_future(self._wait_for_disconnect())
        try:
            await self._execute_steps(request, step, self._server_request(request, body), disconnected)
        finally:
            disconnected.cancel()
            self._trace(request)

    async def _abort(self, error: RequestError) -> None:
        """Answer at once: with `error` if the request has certainly not run, otherwise with 502.

        An attempt in progress ends as `ABANDONED`; the step that the forwarder returns for it is not executed.
        """
        request = self._request
        if request is not None and request.endpoint is not None:
            self._context.forwarder.attempt_ended(time.monotonic_ns(), request, CallOutcome.ABANDONED)
        if request is not None and request.may_have_run:
            error = OutcomeUnknownError()
        if not self._answered:
            await self._refuse(error)

    # 1. Reading the request.

    async def _read(self) -> bytes | None:
        """Return the complete body, or None if the client has disconnected.

        :raises RequestError: the request is ambiguous, or its body is too large, too slow or exceeds the body memory.
        """
        if is_ambiguous(self._headers, self._fields):
            raise BadRequestError
        self._target = origin_form(self._scope["target"], self._fields.get(HOST, b""))
        try:
            async with asyncio.timeout(self._client_timeout_ns / SECOND):
                return await self._read_body(self._context.max_body_bytes())
        except TimeoutError as err:
            raise BodyTimeoutError(RETRY_AFTER_NS) from err

    async def _read_body(self, max_bytes: int) -> bytes | None:
        """Collect the body; check each chunk against the limits for one body and for all buffered bodies."""
        context, chunks = self._context, []
        while True:
            message = await self._receive()
            if message["type"] != "http.request":
                return None
            chunk = message["body"]
            chunks.append(chunk)
            self._buffered_body_bytes += len(chunk)
            context.buffered_body_bytes += len(chunk)
            if self._buffered_body_bytes > max_bytes:
                raise BodyTooLargeError
            if context.buffered_body_bytes > context.max_buffered_body_bytes:
                raise BodyMemoryError(RETRY_AFTER_NS)
            if not message.get("more_body"):
                return b"".join(chunks)

    def _admit(self, now: int, body: bytes) -> ForwardedRequest:
        fields, forwarder = self._fields, self._context.forwarder
        request = forwarder.admit(
            now,
            host=fields.get(HOST, b"").decode("latin-1"),
            path=path_of(self._target),
            shard_key=fields.get(SHARD_KEY, b"").decode("latin-1") or None,
            client_timeout_ns=self._client_timeout_ns - (now - self._received_at),
            body_bytes=len(body),
            authorizations=authorizations(self._headers),
        )
        if forwarder.view.configuration is not None:
            self._configuration_version = forwarder.view.configuration.key.version
        return request

    def _server_request(self, request: ForwardedRequest, body: bytes) -> ServerRequest:
        """Return the request for servers, without the headers that differ between attempts."""
        return ServerRequest(
            self._scope["method"].encode(),
            self._target,
            server_headers(self._headers, self._fields, body, request),
            body,
            self._fields[ATTEMPT_ID],
        )

    async def _wait_for_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass

    # 2. Executing the forwarder's steps.

    async def _execute_steps(
        self, request: ForwardedRequest, step: Step, server_request: ServerRequest, disconnected: asyncio.Future[None]
    ) -> None:
        """Execute the forwarder's steps until the request is answered or its client has disconnected."""
        while not disconnected.done():
            if isinstance(step, Send):
                step = await self._attempt(request, step, server_request, disconnected)
            elif isinstance(step, Wait):
                await self._wait(step, disconnected)
                if not disconnected.done():
                    step = self._context.forwarder.next_step(time.monotonic_ns(), request)
            elif isinstance(step, ForwardAnswer):
                await self._forward_answer()
                return
            elif isinstance(step, Refuse):
                await self._refuse(step.error)
                return
            else:
                assert_never(step)

    async def _attempt(
        self, request: ForwardedRequest, step: Send, server_request: ServerRequest, disconnected: asyncio.Future[None]
    ) -> Step:
        """Make one attempt and return the next step."""
        context, endpoint = self._context, step.endpoint
        if request.last_outcome is not None:
            context.counters.add(UPSTREAM_RQ_RETRY)
        tenant = request.tenant.name if request.tenant else None
        sent_at = request.sent_at
        with counted_attempt(context.usage, tenant, request.call_kind) as counted:
            ended = await make_attempt(context, request, step, server_request, disconnected)
            counted.outcome = ended.result.outcome
        now, result = time.monotonic_ns(), ended.result
        self._record_attempt(endpoint.server, result, now - sent_at)
        if result.outcome in FORWARDABLE_OUTCOMES:
            self._server_answer = result.answer
        if result.reading is not None:
            self._reading.append(result.reading)
        next_step = ended.retry or self._after_attempt(now, request, result, disconnected)
        endpoint.idle_connections = context.connections.idle_count(endpoint.address)
        context.wake_pending()  # a waiting request can use the freed capacity
        return next_step

    def _after_attempt(
        self, now: int, request: ForwardedRequest, result: AttemptResult, disconnected: asyncio.Future[None]
    ) -> Step:
        """Tell the forwarder how the attempt ended, and return its next step."""
        if disconnected.done():
            self._context.forwarder.client_disconnected(request)
        return self._context.forwarder.attempt_ended(now, request, result.outcome, result.load())

    def _record_attempt(self, server: str, result: AttemptResult, duration_ns: int) -> None:
        """Count the attempt by its outcome and store it for the trace."""
        self._context.counters.attempt_ended(result.outcome)
        self._attempts.append(
            {
                "server": server,
                "connection": result.connection,
                "outcome": result.outcome.value,
                "status": result.answer.status if result.answer else 0,
                "not_executed": result.answer is not None and result.answer.states_not_executed(),
                "ms": duration_ns // MILLISECOND,
            }
        )

    async def _wait(self, step: Wait, disconnected: asyncio.Future[None]) -> None:
        """Wait until the step's time, a change of the shared state, or the client's disconnect."""
        self._context.counters.add(UPSTREAM_RQ_PENDING)
        timeout_s = max(0, step.until - time.monotonic_ns()) / SECOND
        changed = asyncio.ensure_future(self._context.changed.wait())
        try:
            await asyncio.wait((changed, disconnected), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()

    # 3. Answering.

    async def _forward_answer(self) -> None:
        """Forward the server's answer to the client, without its hop-by-hop headers."""
        answer = self._server_answer
        assert answer is not None  # the step is `ForwardAnswer`
        headers = [
            (lower_name, value)
            for name, value in answer.headers
            if (lower_name := name.lower()) not in HOP_BY_HOP_HEADERS
        ]
        length = answer.fields.get(b"content-length") if self._scope["method"] == "HEAD" else None
        await self.answer(answer.status, headers, answer.body, length)

    async def _refuse(self, error: RequestError) -> None:
        """Answer the client with the status, reason and headers of the error."""
        self._context.counters.refused(error)
        headers = []
        if error.retry_after_ns:
            headers.append((b"retry-after", f"{error.retry_after_ns / SECOND:.3f}".encode()))
        if isinstance(error, BodyTimeoutError):
            headers.append((b"connection", b"close"))  # the rest of the body may still arrive
        if isinstance(error, UnauthorizedError):
            headers.append((b"www-authenticate", b"Bearer"))  # RFC 9110, section 15.5.2
        await self.answer(error.status, headers, error.reason.encode())

    async def answer(self, status: int, headers: Headers, body: bytes, length: bytes | None = None) -> None:
        """Answer the client; called at most once.

        :param length: `Content-Length` of the answer to a HEAD request, whose body is not sent.
        """
        self._answered, self._answered_status = True, status
        if status not in BODILESS_STATUSES:
            headers.append((b"content-length", length or str(len(body)).encode()))
        # `ClientProtocol` stores itself in the scope as "connection".
        if self._context.readiness.draining and self._scope["connection"].may_close_after_answer():
            headers.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": status, "headers": headers})
        await self._send({"type": "http.response.body", "body": body})

    def _trace(self, request: ForwardedRequest) -> None:
        """Log one line if this request is sampled: by a hash of its id, so that all edges trace the same requests."""
        attempt_id, one_in = self._fields[ATTEMPT_ID], self._context.trace_one_in
        if not one_in or crc32(attempt_id) % one_in:
            return
        log.info(
            "Edge: request",
            extra={
                "attempt": attempt_id.decode("latin-1"),
                "path": path_of(self._target),
                "route": request.route.host + request.route.path_prefix,
                "configuration": f"{self._configuration_version:08x}",
                "service": request.service,
                "tenant": request.tenant.name if request.tenant else None,
                "key": request.key,
                "attempts": self._attempts,
                "status": self._answered_status,
                "ms": (time.monotonic_ns() - self._received_at) // MILLISECOND,
            },
        )
