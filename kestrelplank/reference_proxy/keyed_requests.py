"""Deduplicated requests: of those with the same idempotency key, one is forwarded and the others get its response."""

from dataclasses import dataclass

from kestrelplank.assigner.counters import Counters
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.reference_proxy.client_request import Rejection
from kestrelplank.reference_proxy.exchange import Exchange
from kestrelplank.state.idempotency_cache import IdempotencyCache, LookupStatus

OUTCOME_UNKNOWN = "the first may have run, and its end is not known"
BODY_TOO_LONG = Rejection(413, "too long for an op with a key")
TOO_MANY_KEYS = Rejection(503, "too many keys in hand", may_retry=True)
OTHER_REQUEST = Rejection(409, "the key was used with another request")
FIRST_MAY_HAVE_RUN = Rejection(409, OUTCOME_UNKNOWN)
FIRST_REJECTED = Rejection(503, "the first was rejected", may_retry=True)


@dataclass(frozen=True, slots=True)
class Forward:
    """The request is the first with its key and is to be forwarded."""


@dataclass(frozen=True, slots=True)
class AwaitFirst:
    """The first request with the key is in progress; this request waits for its response."""


@dataclass(frozen=True, slots=True)
class Replay:
    """The request gets the response of the first request with its key."""

    answer: bytes


KeyDecision = Forward | AwaitFirst | Replay | Rejection


class KeyedRequests:
    """The exchanges with an idempotency key, from `look_up` until `settle` or `release`."""

    def __init__(self, answers: IdempotencyCache, counters: Counters) -> None:
        self._answers, self._counters = answers, counters

    def look_up(self, now: int, exchange: Exchange, max_body_bytes: int) -> KeyDecision:
        """Return how to handle a request that has been received completely."""
        if exchange.request.size > max_body_bytes:
            exchange.idempotency_key = ""
            return BODY_TOO_LONG
        state, answer = self._answers.look_up(now, exchange.idempotency_key, exchange.request.digest(), exchange.number)
        self._counters.add(f"keys_{state}")
        if state == LookupStatus.PENDING:
            return AwaitFirst()
        if state == LookupStatus.NEW:
            return Forward()
        exchange.idempotency_key = ""
        if state == LookupStatus.ANSWERED and answer:
            return Replay(answer)
        return {LookupStatus.FULL: TOO_MANY_KEYS, LookupStatus.MISMATCH: OTHER_REQUEST}.get(state, FIRST_MAY_HAVE_RUN)

    def settle(
        self, exchange: Exchange, verdict: Verdict, answer: list[bytes] | None
    ) -> tuple[list[int], Replay | Rejection]:
        """Handle the end of a forwarded request's op; return the numbers of the waiting exchanges and their response.

        :param answer: the op's response, if any.
        """
        key, exchange.idempotency_key = exchange.idempotency_key, ""
        if answer:
            complete = b"".join(answer)
            return self._answers.handle_answered(key, complete), Replay(complete)
        may_have_run = verdict is not Verdict.REJECTED
        return self._answers.handle_failed(key, may_have_run), FIRST_MAY_HAVE_RUN if may_have_run else FIRST_REJECTED

    def release(self, exchange: Exchange) -> None:
        """End an exchange's wait for the first request with its key."""
        if exchange.idempotency_key:
            self._answers.cancel_wait(exchange.idempotency_key, exchange.number)
            exchange.idempotency_key = ""
