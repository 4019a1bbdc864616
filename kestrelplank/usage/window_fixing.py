"""The leader's decision when to fix the content of a window, and the content itself. No I/O."""

import msgspec

from kestrelplank.time_units import MILLISECOND
from kestrelplank.usage.policy import UsagePolicy
from kestrelplank.usage.usage_collector import MAX_WINDOWS, UsageCollector
from kestrelplank.usage.windows import NO_WINDOW, window_at, window_end

ELECTION_DELAY_NS = 1500 * MILLISECOND  # for edges to reconnect and send their counts to a new leader
MIN_DELAY_NS = 500 * MILLISECOND  # after the end of a window, for edges whose connection has just ended


class WindowFixing:
    """Decides which window to fix now. Windows are fixed in order, the first one being the first with any count.

    Invariants, each with its test in `tests/usage/test_window_fixing.py`:

    - A window is fixed once all edges have it final (`test_a_window_is_fixed_soon_after_all_edges_have_it_final`), or
      at the latest `UsagePolicy.fixing_delay_ns` after its end
      (`test_a_window_is_fixed_at_the_latest_when_its_report_must_be_sent`).
    - A new leader waits for the edges' counts (`test_a_new_leader_waits_for_the_edges`).
    - After a long outage only recent windows are fixed (`test_after_a_long_outage_old_windows_are_skipped`).
    """

    def __init__(self, policy: UsagePolicy) -> None:
        self._policy = policy
        self._elected_at: int | None = None

    def handle_elected(self, now: int) -> None:
        """Record that this member leads from now on."""
        self._elected_at = now

    def next_window(
        self, now: int, true_time_ns: int | None, fixed_through: int, collector: UsageCollector
    ) -> int | None:
        """Return the window to fix now; None if there is none yet.

        :param fixed_through: the last fixed window; `NO_WINDOW` if there is none.
        """
        if true_time_ns is None or self._elected_at is None or now - self._elected_at < ELECTION_DELAY_NS:
            return None
        window = self._candidate(true_time_ns, fixed_through, collector)
        if window is None:
            return None
        elapsed_ns = true_time_ns - window_end(window, self._policy.interval_ns)
        if elapsed_ns >= self._policy.fixing_delay_ns:
            return window
        return window if elapsed_ns >= MIN_DELAY_NS and collector.is_complete(window) else None

    def _candidate(self, true_time_ns: int, fixed_through: int, collector: UsageCollector) -> int | None:
        """Return the window to fix next, whether or not it is over."""
        if fixed_through == NO_WINDOW:
            return collector.first_counted_window()
        oldest = window_at(true_time_ns, self._policy.interval_ns) - MAX_WINDOWS
        return max(fixed_through + 1, oldest)


def report_content(window: int, counts: dict[str, int]) -> bytes:
    """Return the JSON text of a window's report.

    :param counts: by tenant, sorted by name, so that equal counts have equal texts.
    """
    return msgspec.json.encode({"window_number": window, "counts": counts})
