"""Requests with a key, of deduplicated op types: one of them runs, the others get its answer."""

from dataclasses import dataclass

from kestrelplank.assigner.counters import Counters
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.reference_proxy.exchange import Exchange
from kestrelplank.reference_proxy.request import Refusal
from kestrelplank.state.idempotency_cache import IdempotencyCache, LookupStatus

UNKNOWN = "the first may have run, and its end is not known"
TOO_LONG = Refusal(413, "too long for an op with a key")
TOO_MANY = Refusal(503, "too many keys in hand", retry=True)
OTHER_REQUEST = Refusal(409, "the key was used with another request")
MAY_HAVE_RUN = Refusal(409, UNKNOWN)
FIRST_REJECTED = Refusal(503, "the first was rejected", retry=True)


@dataclass(frozen=True, slots=True)
class Forward:
    """It is the first with its key: its op is asked for."""


@dataclass(frozen=True, slots=True)
class AwaitFirst:
    """The first with its key is in hand: it hears of that one's end."""


@dataclass(frozen=True, slots=True)
class Replay:
    """It gets this answer, which the first one got."""

    answer: bytes


Found = Forward | AwaitFirst | Replay | Refusal


class KeyedRequests:
    """An exchange holds its key from `look_up` until it is settled or released."""

    def __init__(self, answers: IdempotencyCache, counters: Counters) -> None:
        self._answers, self._counters = answers, counters

    def look_up(self, now: int, exchange: Exchange, most_body: int) -> Found:
        """What becomes of a request that has come whole. Its body has at most so many bytes."""
        if exchange.request.size > most_body:
            exchange.key = ""
            return TOO_LONG
        told, answer = self._answers.look_up(now, exchange.key, exchange.request.digest(), exchange.number)
        self._counters.add(f"keys_{told}")
        if told == LookupStatus.PENDING:
            return AwaitFirst()
        if told == LookupStatus.NEW:
            return Forward()
        exchange.key = ""
        if told == LookupStatus.ANSWERED and answer:
            return Replay(answer)
        return {LookupStatus.FULL: TOO_MANY, LookupStatus.MISMATCH: OTHER_REQUEST}.get(told, MAY_HAVE_RUN)

    def settle(
        self, exchange: Exchange, verdict: Verdict, answer: list[bytes] | None
    ) -> tuple[list[int], Replay | Refusal]:
        """The first one's op has ended; `answer`: it had this one. Returns the numbers of those who wait for it, and
        what they get."""
        key, exchange.key = exchange.key, ""
        if answer:
            whole = b"".join(answer)
            return self._answers.handle_answered(key, whole), Replay(whole)
        ran = verdict is not Verdict.REJECTED
        return self._answers.handle_failed(key, ran), MAY_HAVE_RUN if ran else FIRST_REJECTED

    def release(self, exchange: Exchange) -> None:
        """It no longer waits for the first one."""
        if exchange.key:
            self._answers.cancel_wait(exchange.key, exchange.number)
            exchange.key = ""
