"""Answers kept by idempotency key, so that a client that asks again with the same key gets the first answer.

Bounded by number, by bytes and by age. The bounds are what the promise is worth: one proxy, so many answers, for so
long; a client that asks again later, elsewhere, or after much else may run its op twice. The cache is lost with the
proxy's process.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple


class LookupStatus(StrEnum):
    """What the cache knows of a key; the values are in the names of counters."""

    NEW = "new"  # nothing: its op is to be sent
    PENDING = "busy"  # the first op with it has no answer yet
    ANSWERED = "known"  # here is its answer, empty where the first op's end is unknown
    FULL = "full"  # nothing, and as many ops are pending as may be kept
    MISMATCH = "other"  # it was used with another body, which is a client's mistake


class Lookup(NamedTuple):
    """The result of a lookup."""

    status: LookupStatus
    answer: bytes | None = None


class CacheLimits(NamedTuple):
    """Bounds of the cache.

    :param max_entries: pending and answered together.
    :param max_bytes: of all answers.
    :param max_age_ns: of an answer, from when its op was first asked.
    """

    max_entries: int = 10_000
    max_bytes: int = 16 << 20
    max_age_ns: int = 60_000_000_000


class _Entry:
    __slots__ = ("asked_at", "body_digest", "answer", "waiting")

    def __init__(self, asked_at: int, body_digest: str) -> None:
        self.asked_at, self.body_digest = asked_at, body_digest
        self.answer: bytes | None = None  # None while the first op is pending
        self.waiting: list[int] = []


class IdempotencyCache:
    """Call `look_up` before an op is sent, then, where it is new, one of `handle_answered` and `handle_failed`.

    Invariant: at most `max_entries` ops are pending, answers stay within `max_bytes`, and no key is new while its op is
    pending (`tests/state/test_idempotency_cache.py::test_bounds_hold_and_no_key_is_new_while_it_is_pending`).
    """

    def __init__(self, limits: CacheLimits) -> None:
        self._limits = limits
        self._entries: OrderedDict[str, _Entry] = OrderedDict()  # in the order in which they were first asked
        self.answer_bytes, self.pending = 0, 0

    def __len__(self) -> int:
        return len(self._entries)

    def look_up(self, now: int, key: str, body_digest: str, number: int) -> Lookup:
        """Look up an op's key. Where its first op is pending, `number` waits for that one's answer."""
        self.expire(now)
        entry = self._entries.get(key)
        if entry is not None:
            return self._known(entry, body_digest, number)
        if self.pending >= self._limits.max_entries:
            return Lookup(LookupStatus.FULL)
        self._entries[key] = _Entry(now, body_digest)
        self.pending += 1
        self._evict()
        return Lookup(LookupStatus.NEW)

    def _known(self, entry: _Entry, body_digest: str, number: int) -> Lookup:
        if entry.body_digest != body_digest:
            return Lookup(LookupStatus.MISMATCH)
        if entry.answer is None:
            entry.waiting.append(number)
            return Lookup(LookupStatus.PENDING)
        return Lookup(LookupStatus.ANSWERED, entry.answer)

    def handle_answered(self, key: str, answer: bytes) -> list[int]:
        """Keep the op's final answer; return who waits for it."""
        entry = self._entries[key]
        entry.answer, waiting, entry.waiting = answer, entry.waiting, []
        self.pending -= 1
        self.answer_bytes += len(answer)
        self._evict()
        return waiting

    def handle_failed(self, key: str, may_have_run: bool) -> list[int]:
        """Take note that the op has no answer; return who waits for it.

        :param may_have_run: the key stays taken, with an empty answer, until it expires: whoever asks again must not
            run the op a second time by our doing.
        """
        entry = self._entries[key]
        waiting, entry.waiting = entry.waiting, []
        self.pending -= 1
        if may_have_run:
            entry.answer = b""
        else:
            del self._entries[key]
        return waiting

    def cancel_wait(self, key: str, number: int) -> None:
        """Take note that whoever waited for the first answer has left."""
        entry = self._entries.get(key)
        if entry is not None and number in entry.waiting:
            entry.waiting.remove(number)

    def expire(self, now: int) -> None:
        """Drop answers that are too old."""
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.answer is None or now - entry.asked_at < self._limits.max_age_ns:
                return
            self._drop(key)

    def _evict(self) -> None:
        """Drop the oldest answers until the bounds hold; what is pending stays."""
        if self._within_limits():
            return
        for key in [key for key, entry in self._entries.items() if entry.answer is not None]:
            self._drop(key)
            if self._within_limits():
                return

    def _within_limits(self) -> bool:
        return len(self._entries) <= self._limits.max_entries and self.answer_bytes <= self._limits.max_bytes

    def _drop(self, key: str) -> None:
        self.answer_bytes -= len(self._entries.pop(key).answer or b"")
