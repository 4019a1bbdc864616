"""One attempt of a client's request at a server, until it ends or its retry replaces it."""

import asyncio
import time
from dataclasses import dataclass

from kestrelplank.edge.exchange_context import ExchangeContext
from kestrelplank.edge.request_head import attempt_headers
from kestrelplank.edge.server_connections import AttemptResult, ServerRequest
from kestrelplank.forwarding.forwarder import EARLY_RETRY_INTERVAL_NS
from kestrelplank.forwarding.request import ForwardedRequest
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.forwarding.steps import Send
from kestrelplank.time_units import SECOND


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """The end of an attempt.

    :param retry: the retry that has replaced the attempt; None: `Forwarder.attempt_ended` decides what follows.
    """

    result: AttemptResult
    retry: Send | None = None


class FirstByte:
    """Whether the first byte of an attempt was sent; it is not sent once the client has disconnected."""

    def __init__(self, disconnected: asyncio.Future[None]) -> None:
        self._disconnected = disconnected
        self.sent = False

    def may_be_sent(self) -> bool:
        """Return whether to send the first byte, which is sent right after."""
        self.sent = not self._disconnected.done()
        return self.sent


async def make_attempt(
    context: ExchangeContext,
    request: ForwardedRequest,
    step: Send,
    server_request: ServerRequest,
    disconnected: asyncio.Future[None],
) -> EndedAttempt:
    """Send the request to a server, and return how the attempt ended. Raises nothing except on cancellation.

    If the client disconnects meanwhile, an attempt at a request that may run again is aborted by a reset of its
    connection; one that must not run twice is awaited once its first byte has been sent.

    :param disconnected: done once the client has disconnected.
    """
    forwarder, endpoint = context.forwarder, step.endpoint
    first_byte = FirstByte(disconnected)
    sending = asyncio.ensure_future(
        context.connections.send(
            endpoint.address,
            server_request.with_headers(attempt_headers(endpoint.server, step.timeout_ns)),
            step.timeout_ns,
            forwarder.max_connections(request),
            should_send=first_byte.may_be_sent,
            on_stall=lambda: forwarder.attempt_stalled(time.monotonic_ns(), request),
        )
    )
    wait_ns = step.early_timeout_ns
    try:
        while not await _first_done(sending, disconnected, wait_ns):
            retry = forwarder.retry_early(time.monotonic_ns(), request) if first_byte.sent else None
            if retry is not None:
                return EndedAttempt(AttemptResult(CallOutcome.TIMEOUT), retry)
            wait_ns = EARLY_RETRY_INTERVAL_NS
        if not sending.done() and forwarder.may_abandon(request):
            return EndedAttempt(AttemptResult(CallOutcome.ABANDONED))
        return EndedAttempt(await sending)
    finally:
        sending.cancel()


async def _first_done(
    sending: asyncio.Future[AttemptResult], disconnected: asyncio.Future[None], wait_ns: int | None
) -> bool:
    """Wait until one of the two is done, or for that time; return whether one is done.

    :param wait_ns: None: without a limit.
    """
    timeout_s = None if wait_ns is None else wait_ns / SECOND
    done, _ = await asyncio.wait((sending, disconnected), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    return bool(done)
