"""The replicated part of usage reports: which windows are fixed, and the contents that are not reported yet.

No I/O, no clock: part of `state.control_state`.
"""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from kestrelplank.consensus.log_entries import FixUsage

MAX_UNREPORTED = 120  # beyond that the oldest window is dropped without a report
NO_WINDOW = -1


class LedgerContent(msgspec.Struct, frozen=True, array_like=True):
    """The ledger in a snapshot; the order of the fields is the format on disk and on the wire.

    :param unreported: windows and their contents, in ascending order.
    """

    fixed_through: int = NO_WINDOW
    reported_through: int = NO_WINDOW
    unreported: tuple[tuple[int, bytes], ...] = ()


class UsageLedger:
    """Fixed windows; empty before the first one.

    Invariants, each with its test in `tests/state/test_usage_ledger.py`:

    - A window is fixed once, with one content (`test_a_window_keeps_the_content_that_was_fixed_first`).
    - A content stays until it is reported, or `MAX_UNREPORTED` newer ones are waiting
      (`test_a_content_stays_until_it_is_reported`, `test_the_oldest_contents_are_dropped_beyond_the_limit`).
    """

    def __init__(self) -> None:
        self._fixed_through = self._reported_through = NO_WINDOW
        self._unreported: dict[int, bytes] = {}

    @property
    def fixed_through(self) -> int:
        """The last fixed window; `NO_WINDOW` if there is none."""
        return self._fixed_through

    @property
    def reported_through(self) -> int:
        """The last window up to which all are known to be reported; `NO_WINDOW` if there is none."""
        return self._reported_through

    @property
    def unreported(self) -> Mapping[int, bytes]:
        """Contents of the fixed windows that are not known to be reported, by window."""
        return MappingProxyType(self._unreported)

    def apply(self, command: FixUsage) -> tuple[int, ...]:
        """Apply a log entry; return the windows that were dropped without a report."""
        if command.window > self._fixed_through:
            self._fixed_through = command.window
            self._unreported[command.window] = command.content
        self._reported_through = max(self._reported_through, min(command.reported_through, self._fixed_through))
        for window in [window for window in self._unreported if window <= self._reported_through]:
            del self._unreported[window]
        dropped = tuple(sorted(self._unreported)[:-MAX_UNREPORTED])
        for window in dropped:
            del self._unreported[window]
        return dropped

    def content(self) -> LedgerContent | None:
        """Return the ledger for a snapshot; None before the first window is fixed."""
        if self._fixed_through == NO_WINDOW:
            return None
        return LedgerContent(self._fixed_through, self._reported_through, tuple(sorted(self._unreported.items())))

    def restore(self, content: LedgerContent | None) -> None:
        """Replace the ledger by that of a snapshot."""
        content = content or LedgerContent()
        self._fixed_through, self._reported_through = content.fixed_through, content.reported_through
        self._unreported = dict(content.unreported)
