"""Answers kept for deduplicated ops, so that a client that asks again with the same key gets the first answer.

Bounded by number, by bytes and by age. The bounds are what the promise is worth: one relay, so many answers, for so
long; a client that asks again later, elsewhere, or after much else may run its op twice. State that is lost with the
relay. Times are whole ns.
"""

from collections import OrderedDict
from typing import NamedTuple

NEW, BUSY, KNOWN, FULL, OTHER = "new", "busy", "known", "full", "other"


class Terms(NamedTuple):
    """`most` answers and `most_bytes` of them in all, each for `age` from when its op was first asked."""

    most: int = 10_000
    most_bytes: int = 16 << 20
    age: int = 60_000_000_000


class Kept:
    __slots__ = ("asked_at", "body", "answer", "waiting")

    def __init__(self, asked_at: int, body: str) -> None:
        self.asked_at, self.body = asked_at, body
        self.answer: bytes | None = None  # None while the first is in hand
        self.waiting: list[int] = []


class Answers:
    """`ask` before an op is sent, then one of `done` and `failed`."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._kept: OrderedDict[str, Kept] = OrderedDict()  # in the order in which they were first asked
        self.bytes, self.busy = 0, 0

    def __len__(self) -> int:
        return len(self._kept)

    def ask(self, now: int, key: str, body: str, number: int) -> tuple[str, bytes | None]:
        """An op with that key and that body's digest. `new`: send it; `known`: here is its answer; `busy`: the first is
        in hand, `number` is told when it is done; `full`: all that are kept are in hand; `other`: the key was used
        with another body, which is a client's mistake and must not get that answer."""
        self.age(now)
        kept = self._kept.get(key)
        if kept is not None:
            if kept.body != body:
                return OTHER, None
            if kept.answer is None:
                kept.waiting.append(number)
                return BUSY, None
            return KNOWN, kept.answer
        if self.busy >= self._terms.most:
            return FULL, None
        self._kept[key] = Kept(now, body)
        self.busy += 1
        self._shrink()
        return NEW, None

    def done(self, key: str, answer: bytes) -> list[int]:
        """The op has its final answer. Returns who waits for the same."""
        kept = self._kept[key]
        kept.answer, waiting, kept.waiting = answer, kept.waiting, []
        self.busy -= 1
        self.bytes += len(answer)
        self._shrink()
        return waiting

    def failed(self, key: str, ran: bool) -> list[int]:
        """The op has none. `ran`: it may have run, so that the key stays taken, unanswered, until it has aged: whoever
        asks again must not run it a second time by our doing. Returns who waits; they hear the same."""
        kept = self._kept[key]
        waiting, kept.waiting = kept.waiting, []
        self.busy -= 1
        if ran:
            kept.answer = b""
        else:
            del self._kept[key]
        return waiting

    def gone(self, key: str, number: int) -> None:
        """Whoever waited for the first has left."""
        kept = self._kept.get(key)
        if kept is not None and number in kept.waiting:
            kept.waiting.remove(number)

    def age(self, now: int) -> None:
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            if kept.answer is None or now - kept.asked_at < self._terms.age:
                return
            self._drop(key)

    def _shrink(self) -> None:
        """Oldest answers go first; what is in hand stays."""
        if len(self._kept) <= self._terms.most and self.bytes <= self._terms.most_bytes:
            return
        for key in [key for key, kept in self._kept.items() if kept.answer is not None]:
            self._drop(key)
            if len(self._kept) <= self._terms.most and self.bytes <= self._terms.most_bytes:
                return

    def _drop(self, key: str) -> None:
        self.bytes -= len(self._kept.pop(key).answer or b"")
