"""Debouncing of changes to files: content is accepted only once it has stopped changing."""

from enum import Enum

MAX_BUSY_PERIODS = 10  # quiet periods that settled files wait for a file that keeps changing


class DebounceResult(Enum):
    """The result of a read after which the file need not be read again."""

    SAME = "same"  # equals the accepted content
    SETTLED = "settled"  # accepted from now on


class Debounce:
    """Accepts a file's content once two reads at least a quiet period apart found the same.

    Guards against reading a file while it is written, and against a file that is briefly missing while an editor
    renames it. The cost: a change is accepted one quiet period later, and never if the content keeps changing.
    """

    def __init__(self, quiet_period_ns: int) -> None:
        self._quiet_period_ns = quiet_period_ns
        self._settled: dict[str, str | None] = {}  # accepted digests, by path
        self._pending: dict[str, tuple[str | None, int]] = {}  # digest, and when it was first seen
        self._busy_since = 0

    def observe(self, now: int, path: str, digest: str | None) -> DebounceResult | int:
        """Record a read; return its result, or the time of the next read.

        :param digest: digest of the file's content; None if there is no such file.
        """
        if path in self._settled and self._settled[path] == digest:
            self._pending.pop(path, None)
            return DebounceResult.SAME
        if not self._pending:
            self._busy_since = now
        pending = self._pending.get(path)
        if pending is None or pending[0] != digest:
            pending = self._pending[path] = digest, now
        if now - pending[1] < self._quiet_period_ns:
            return pending[1] + self._quiet_period_ns
        del self._pending[path]
        self._settled[path] = digest
        return DebounceResult.SETTLED

    def forget(self, path: str) -> None:
        """Forget a file, so that its next content counts as new."""
        self._settled.pop(path, None)
        self._pending.pop(path, None)

    def may_decide(self, now: int) -> bool:
        """Whether to decide now: no file is changing, or one has been changing for too long to wait for it.

        Guards against deciding between two writes that belong together.
        """
        return not self._pending or now - self._busy_since >= MAX_BUSY_PERIODS * self._quiet_period_ns
