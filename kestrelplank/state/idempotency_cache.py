"""Answers cached by idempotency key, so that a client that retries with the same key gets the first answer.

The cache is bounded by entries, bytes and age, and is local to one proxy process. A retry that comes after its answer
has expired or was evicted, at another proxy, or after a restart may run its op twice.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple


class LookupStatus(StrEnum):
    """The state of a key; the values appear in the names of counters."""

    NEW = "new"  # not in the cache: send the op
    PENDING = "busy"  # the first op with this key has no answer yet
    ANSWERED = "known"  # the answer is cached; empty if the first op's outcome is unknown
    FULL = "full"  # not in the cache, and the maximum number of ops is pending
    MISMATCH = "other"  # the key was used with another body: a client error


class Lookup(NamedTuple):
    """The result of a lookup."""

    status: LookupStatus
    answer: bytes | None = None


class CacheLimits(NamedTuple):
    """Limits of the cache.

    :param max_entries: pending and answered ops together.
    :param max_bytes: total size of all answers.
    :param max_age_ns: age of an answer, counted from the first request with its key.
    """

    max_entries: int = 10_000
    max_bytes: int = 16 << 20
    max_age_ns: int = 60_000_000_000


class _Entry:
    __slots__ = ("first_requested_at", "body_digest", "answer", "waiting")

    def __init__(self, first_requested_at: int, body_digest: str) -> None:
        self.first_requested_at, self.body_digest = first_requested_at, body_digest
        self.answer: bytes | None = None  # None while the first op is pending
        self.waiting: list[int] = []


class IdempotencyCache:
    """Call `look_up` before sending an op; if its key is new, then call `handle_answered` or `handle_failed` once.

    Invariant: at most `max_entries` ops are pending, answers stay within `max_bytes`, and no key is new while its op is
    pending (`tests/state/test_idempotency_cache.py::test_limits_hold_and_pending_key_is_never_new`).
    """

    def __init__(self, limits: CacheLimits) -> None:
        self._limits = limits
        self._entries: OrderedDict[str, _Entry] = OrderedDict()  # in the order of first requests
        self.answer_bytes, self.pending = 0, 0

    def __len__(self) -> int:
        return len(self._entries)

    def look_up(self, now: int, key: str, body_digest: str, number: int) -> Lookup:
        """Look up an op's key. If its first op is pending, `number` is added to those waiting for the answer."""
        self.expire(now)
        entry = self._entries.get(key)
        if entry is not None:
            return self._existing(entry, body_digest, number)
        if self.pending >= self._limits.max_entries:
            return Lookup(LookupStatus.FULL)
        self._entries[key] = _Entry(now, body_digest)
        self.pending += 1
        self._evict()
        return Lookup(LookupStatus.NEW)

    def _existing(self, entry: _Entry, body_digest: str, number: int) -> Lookup:
        if entry.body_digest != body_digest:
            return Lookup(LookupStatus.MISMATCH)
        if entry.answer is None:
            entry.waiting.append(number)
            return Lookup(LookupStatus.PENDING)
        return Lookup(LookupStatus.ANSWERED, entry.answer)

    def handle_answered(self, key: str, answer: bytes) -> list[int]:
        """Store the op's final answer; return the numbers waiting for it."""
        entry = self._entries[key]
        entry.answer, waiting, entry.waiting = answer, entry.waiting, []
        self.pending -= 1
        self.answer_bytes += len(answer)
        self._evict()
        return waiting

    def handle_failed(self, key: str, may_have_run: bool) -> list[int]:
        """Record that the op ended without an answer; return the numbers waiting for it.

        :param may_have_run: keep the key with an empty answer until it expires, so that a retry does not run the op a
            second time.
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
        """Stop waiting for the first answer on behalf of `number`."""
        entry = self._entries.get(key)
        if entry is not None and number in entry.waiting:
            entry.waiting.remove(number)

    def expire(self, now: int) -> None:
        """Drop answers older than `max_age_ns`."""
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.answer is None or now - entry.first_requested_at < self._limits.max_age_ns:
                return
            self._drop(key)

    def _evict(self) -> None:
        """Drop the oldest answers until the limits hold; pending ops stay."""
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
