"""Requests of clients as an ASGI application: it reads them whole, does what `Forwarder` says, and answers.

Each request has its own `ClientExchange`. An answer goes to the client whose connection the request came on, in the
order of that connection; what a server answered is matched to its request in `edge.server_connections`.
"""

import asyncio
import logging
import time
from typing import Any
from zlib import crc32

from kestrelplank.edge.server_connections import HOP, Outcome, ServerConnections, ServerRequest
from kestrelplank.forwarding.errors import (
    BadRequestError,
    BodyMemoryError,
    BodyTimeoutError,
    BodyTooLargeError,
    GatewayDefectError,
    OutcomeUnknownError,
    RequestError,
    ShuttingDownError,
)
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.forwarding.request import ForwardedRequest
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.forwarding.steps import ForwardAnswer, Send, Step, Wait
from kestrelplank.http.call import Answer

S = 1_000_000_000
DEFAULT_WAIT = 30 * S  # of a client that does not say how long it waits
LONGEST_WAIT = 600 * S  # no route holds a request longer
BODY_BEFORE_CONFIGURATION = 1 << 20  # bytes that a body may have while no configuration is known
COME_BACK = S // 2  # what a refusal says where the body could not be taken
ATTEMPT, DEADLINE, KEY, TARGET = b"x-attempt-id", b"x-deadline-remaining", b"x-shard-key", b"x-target-instance"
ONCE = (ATTEMPT, DEADLINE, KEY)  # headers that a request can't have twice: we and its server might heed different ones
BODILESS = (204, 304)
log = logging.getLogger("edge")
Headers = list[tuple[bytes, bytes]]


class ClientRequests:
    """All requests of clients at one edge member. `most_held`: bytes of bodies that may be here at once; `trace`: one
    request in so many is logged, 0 for none."""

    def __init__(
        self,
        forwarder: Forwarder,
        connections: ServerConnections,
        readiness_port: int,
        most_held: int,
        trace: int = 0,
    ) -> None:
        self.forwarder, self.connections = forwarder, connections
        self.readiness_port, self.most_held, self.trace = readiness_port, most_held, trace
        self.held = 0
        self.stopping = False
        self.counts: dict[str, int] = {}
        self.changed = asyncio.Event()

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """The application, for clients and for the platform's question whether we are ready."""
        exchange = ClientExchange(self, scope, receive, send)
        if scope["server"][1] == self.readiness_port:
            good = self.forwarder.view.ready() and not self.stopping
            await exchange.answer(200 if good else 503, [], b"")
        else:
            await exchange.run()

    def wake(self) -> None:
        """Requests that wait look again."""
        self.changed.set()
        self.changed.clear()

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def most_body(self) -> int:
        """Bytes that one body may have."""
        configuration = self.forwarder.view.configuration
        return configuration.max_body_bytes if configuration else BODY_BEFORE_CONFIGURATION


class ClientExchange:
    """One request of a client and its answer."""

    def __init__(self, owner: ClientRequests, scope: dict[str, Any], receive: Any, send: Any) -> None:
        self.owner, self.scope, self._receive, self._send = owner, scope, receive, send
        self.headers: Headers = scope["headers"]
        self.fields = dict(self.headers)
        self.came = time.monotonic_ns()
        self.held = 0  # bytes of its body
        self.request: ForwardedRequest | None = None
        self.server = ""  # of the last try
        self.outcome: Outcome | None = None  # of the last try
        self.answered = False
        self.tries: list[dict[str, Any]] = []

    async def run(self) -> None:
        """From its head to its answer, whatever happens."""
        try:
            await self._run()
        except asyncio.CancelledError:  # the time to finish is over
            await self._break_off(ShuttingDownError(COME_BACK))
        except Exception:  # noqa: BLE001 - else the client got an answer that says nothing of what ran
            log.exception("Edge: a request met a defect")
            await self._break_off(GatewayDefectError(COME_BACK))
        finally:
            self.owner.held -= self.held

    async def _run(self) -> None:
        try:
            if self._ambiguous():
                raise BadRequestError
            body = await self._body()
            if body is None:  # the client has gone
                return
            now = time.monotonic_ns()
            self.request = self.owner.forwarder.admit(
                now,
                self.fields.get(b"host", b"").decode("latin-1"),
                self.scope["path"],
                self.fields.get(KEY, b"").decode("latin-1") or None,
                waits(self.fields) - (now - self.came),
                len(body),
            )
        except RequestError as error:
            await self.refuse(error)
            return
        step = self.owner.forwarder.next_step(now, self.request)
        gone = asyncio.ensure_future(self._gone())
        try:
            await self._carry_out(step, self._for_server(body), gone)
        finally:
            gone.cancel()
            self._log()

    async def _break_off(self, error: RequestError) -> None:
        """Answers at once, with what is certain of the request."""
        request = self.request
        if request is not None and request.endpoint is not None:
            self.owner.forwarder.attempt_ended(time.monotonic_ns(), request, CallOutcome.ABANDONED)
        if request is not None and request.may_have_run:
            error = OutcomeUnknownError()
        if self.answered:
            return
        await self.refuse(error)

    # What the client sends.

    def _ambiguous(self) -> bool:
        """Whether it is not certain whose request it is, or what it asks for."""
        names = [name for name, _ in self.headers if name in ONCE]
        return len(names) != len(set(names)) or not self.fields.get(ATTEMPT)

    async def _body(self) -> bytes | None:
        """The whole body, None where the client has gone. Raises RequestError where it can't be taken."""
        parts, size, most = [], 0, self.owner.most_body()
        try:
            async with asyncio.timeout(waits(self.fields) / S):
                while True:
                    message = await self._receive()
                    if message["type"] != "http.request":
                        return None
                    part = message["body"]
                    parts.append(part)
                    size += len(part)
                    self.held += len(part)
                    self.owner.held += len(part)
                    if size > most:
                        raise BodyTooLargeError
                    if self.owner.held > self.owner.most_held:
                        raise BodyMemoryError(COME_BACK)
                    if not message.get("more_body"):
                        return b"".join(parts)
        except TimeoutError as err:
            raise BodyTimeoutError(COME_BACK) from err

    async def _gone(self) -> None:
        """Returns when the client has ended the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def _for_server(self, body: bytes) -> ServerRequest:
        """The request as it goes to servers, but for what differs from try to try."""
        query = self.scope["query_string"]
        passed = [(name, value) for name, value in self.headers if name not in HOP and name not in (DEADLINE, TARGET)]
        if body or b"content-length" in self.fields or b"transfer-encoding" in self.fields:
            passed.append((b"content-length", str(len(body)).encode()))
        return ServerRequest(
            self.scope["method"].encode(),
            self.scope["raw_path"] + (b"?" + query if query else b""),
            passed,
            body,
            self.fields[ATTEMPT],
        )

    # Steps.

    async def _carry_out(self, step: Step, sent: ServerRequest, gone: asyncio.Future[None]) -> None:
        """Does what the forwarder says until the request has its answer, or nobody waits for one."""
        forwarder = self.owner.forwarder
        while True:
            if isinstance(step, Send):
                self.outcome = await self._try(step, sent, gone)
                endpoint = step.endpoint
                step = forwarder.attempt_ended(
                    time.monotonic_ns(), self.request, self.outcome.seen, self.outcome.load()
                )
                endpoint.idle_connections = self.owner.connections.unused(endpoint.address)
                self._tried()
                if gone.done():
                    return
            elif isinstance(step, Wait):
                self.owner.count("wait")
                await self._wait(step, gone)
                if gone.done():
                    return
                step = forwarder.next_step(time.monotonic_ns(), self.request)
            elif isinstance(step, ForwardAnswer):
                await self._give(self.outcome.answer)
                return
            else:
                await self.refuse(step.error)
                return

    async def _try(self, step: Send, sent: ServerRequest, gone: asyncio.Future[None]) -> Outcome:
        """One try; where the client goes meanwhile and a run that nobody waits for does harm, it is not broken off."""
        endpoint = step.endpoint
        self.server = endpoint.server
        more = [
            (DEADLINE, str(max(1, step.timeout_ns // 1_000_000)).encode()),
            (TARGET, endpoint.server.encode()),
        ]
        request = ServerRequest(sent.method, sent.target, [*sent.headers, *more], sent.body, sent.attempt)
        most = self.owner.forwarder.max_connections(self.request)
        trying = asyncio.ensure_future(self.owner.connections.send(endpoint.address, request, step.timeout_ns, most))
        try:
            await asyncio.wait((trying, gone), return_when=asyncio.FIRST_COMPLETED)
            if not trying.done() and self.owner.forwarder.may_abandon(self.request):
                return Outcome(CallOutcome.ABANDONED)
            return await trying
        finally:
            trying.cancel()

    def _tried(self) -> None:
        """A try has ended: it is counted, and who waits looks again."""
        owner, request, seen = self.owner, self.request, self.outcome.seen
        owner.count(f"try {seen.value}")
        answer = self.outcome.answer
        self.tries.append(
            {
                "server": self.server,
                "ended": seen.value,
                "status": answer.status if answer else 0,
                "ms": (time.monotonic_ns() - request.sent_at) // 1_000_000,
            }
        )
        owner.wake()

    async def _wait(self, step: Wait, gone: asyncio.Future[None]) -> None:
        left = max(0, step.until - time.monotonic_ns()) / S
        changed = asyncio.ensure_future(self.owner.changed.wait())
        try:
            await asyncio.wait((changed, gone), timeout=left, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()

    # Answers.

    async def _give(self, answer: Answer) -> None:
        """A server's answer, as it came."""
        headers = [(name.lower(), value) for name, value in answer.headers if name.lower() not in HOP]
        length = answer.fields.get(b"content-length") if self.scope["method"] == "HEAD" else None
        await self.answer(answer.status, headers, answer.body, length)

    async def refuse(self, error: RequestError) -> None:
        """An answer of our own, as the table of errors has it."""
        self.owner.count(f"refused: {error.reason}")
        headers = []
        if error.retry_after_ns:
            headers.append((b"retry-after", f"{error.retry_after_ns / S:.3f}".encode()))
        if isinstance(error, BodyTimeoutError):
            headers.append((b"connection", b"close"))  # the rest of its body may come yet
        await self.answer(error.status, headers, error.reason.encode())

    async def answer(self, status: int, headers: Headers, body: bytes, length: bytes | None = None) -> None:
        """Answers the client, once. `length`: of a body that is not sent, to a HEAD."""
        self.answered = True
        if status not in BODILESS:
            headers.append((b"content-length", length or str(len(body)).encode()))
        if self.owner.stopping and self.scope["connection"].ends_with_this_answer():
            headers.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": status, "headers": headers})
        await self._send({"type": "http.response.body", "body": body})

    def _log(self) -> None:
        """One line of the log, if this request is one of those that are traced."""
        attempt = self.fields[ATTEMPT]
        if not self.owner.trace or crc32(attempt) % self.owner.trace:
            return
        log.info(
            "Edge: request",
            extra={
                "attempt": attempt.decode("latin-1"),
                "path": self.scope["path"],
                "service": self.request.service,
                "key": self.request.key,
                "tries": self.tries,
                "ms": (time.monotonic_ns() - self.came) // 1_000_000,
            },
        )


def waits(fields: dict[bytes, bytes]) -> int:
    """How long the client waits (ns)."""
    try:
        return min(LONGEST_WAIT, max(0, round(float(fields.get(DEADLINE, b"")) * 1_000_000)))
    except (ValueError, OverflowError):
        return DEFAULT_WAIT
