"""When the content of a file that is being written counts."""

from enum import Enum

BUSY_FACTOR = 10  # quiet periods that files which have settled wait for one that is still written


class DebounceResult(Enum):
    """What a reading of a file means, where it need not be read again."""

    SAME = "same"  # as what counts already
    SETTLED = "settled"  # it counts from now on


class Debounce:
    """A file's content counts once two readings at least a quiet period apart found the same.

    Guards against a write that is under way, and against a file that is gone for a moment, as editors rename. Harm: a
    change counts that much later, and one that never rests never does.
    """

    def __init__(self, quiet_period_ns: int) -> None:
        self._quiet_period_ns = quiet_period_ns
        self._settled: dict[str, str | None] = {}  # digests that count, by path
        self._pending: dict[str, tuple[str | None, int]] = {}  # digest, and when it was first seen
        self._busy_since = 0

    def observe(self, now: int, path: str, digest: str | None) -> DebounceResult | int:
        """Take a reading; return what it means, or the time at which to read again.

        :param digest: of the file's content, None: no such file.
        """
        if path in self._settled and self._settled[path] == digest:
            self._pending.pop(path, None)
            return DebounceResult.SAME
        if not self._pending:
            self._busy_since = now
        seen = self._pending.get(path)
        if seen is None or seen[0] != digest:
            seen = self._pending[path] = digest, now
        if now - seen[1] < self._quiet_period_ns:
            return seen[1] + self._quiet_period_ns
        del self._pending[path]
        self._settled[path] = digest
        return DebounceResult.SETTLED

    def forget(self, path: str) -> None:
        """Forget a file: whatever is found there next counts as new."""
        self._settled.pop(path, None)
        self._pending.pop(path, None)

    def may_decide(self, now: int) -> bool:
        """Whether to decide now: no file is being written, or one has been for so long that others shall not wait.

        Guards against deciding between two writes that only make sense together.
        """
        return not self._pending or now - self._busy_since >= BUSY_FACTOR * self._quiet_period_ns
