"""Counts of executed requests at one edge, by window and tenant. No I/O."""

from dataclasses import dataclass, field

from kestrelplank.usage.messages import WindowCounts
from kestrelplank.usage.windows import AFTER_ALL_WINDOWS, NO_WINDOW, window_at

MAX_WINDOWS = 12  # not fixed yet; beyond that the oldest is dropped


@dataclass(slots=True)
class TenantCount:
    """Attempts of one tenant in one window, and the revision that changed them last."""

    count: int = 0
    revision: int = 0


@dataclass(slots=True)
class CountedWindow:
    """One window: counts by tenant, and the number of attempts in flight that were sent in it."""

    tenants: dict[str, TenantCount] = field(default_factory=dict)
    active_attempts: int = 0


class UsageCounter:
    """Counts the attempts that ran, or may have run, in the window in which they were sent.

    An attempt counts from the moment it is sent, and is taken out again if its outcome proves that it has not run.

    Invariants, each with its test in `tests/usage/test_usage_counter.py`:

    - An attempt counts once, unless it is proved not to have run
      (`test_an_attempt_counts_in_the_window_in_which_it_was_sent`,
      `test_an_attempt_that_has_not_run_is_taken_out_again`).
    - The counts of a final window do not change (`test_a_window_is_final_once_it_is_over_and_its_attempts_have_ended`,
      `test_no_attempt_is_counted_in_a_final_window_after_the_time_was_corrected_back`).
    - Memory is bounded (`test_the_oldest_window_is_dropped_beyond_the_limit`).

    `dropped_windows` and `late_attempts` count windows dropped beyond `MAX_WINDOWS`, and attempts that were not counted
    as their window was fixed already.
    """

    def __init__(self, interval_ns: int) -> None:
        self._interval_ns = interval_ns
        self._windows: dict[int, CountedWindow] = {}
        self._final_through = self._fixed_through = NO_WINDOW
        self._closed = False
        self.revision = 0  # of the newest change
        self.dropped_windows = self.late_attempts = 0

    def attempt_started(self, true_time_ns: int, tenant: str) -> int:
        """Count an attempt that is sent now; return its window, for `attempt_ended`."""
        number = max(window_at(true_time_ns, self._interval_ns), self._final_through + 1)
        if number <= self._fixed_through:
            self.late_attempts += 1
            return number
        window = self._windows.get(number)
        if window is None:
            window = self._windows[number] = CountedWindow()
            self._drop_oldest_beyond_limit()
        window.active_attempts += 1
        self._add(window, tenant, 1)
        return number

    def attempt_ended(self, number: int, tenant: str, *, executed: bool) -> None:
        """Record the end of an attempt that `attempt_started` counted in window `number`.

        :param executed: false only if it is proved that the attempt has not run.
        """
        window = self._windows.get(number)
        if window is None:
            return  # fixed or dropped meanwhile
        window.active_attempts -= 1
        if not executed:
            self._add(window, tenant, -1)

    def _add(self, window: CountedWindow, tenant: str, difference: int) -> None:
        self.revision += 1
        entry = window.tenants.setdefault(tenant, TenantCount())
        entry.count += difference
        entry.revision = self.revision

    def _drop_oldest_beyond_limit(self) -> None:
        if len(self._windows) > MAX_WINDOWS:
            del self._windows[min(self._windows)]
            self.dropped_windows += 1

    def final_through(self, true_time_ns: int | None) -> int:
        """Return the window up to which no count will change: those are over and their attempts have ended.

        :param true_time_ns: None: unknown, so that no further window is final.
        """
        if self._closed:
            return AFTER_ALL_WINDOWS
        if true_time_ns is not None:
            active = [number for number, window in self._windows.items() if window.active_attempts > 0]
            current = window_at(true_time_ns, self._interval_ns)
            self._final_through = max(self._final_through, min([current, *active]) - 1)
        return self._final_through

    def close(self) -> None:
        """Record that no further attempt is made, so that all windows are final."""
        self._closed = True

    def changes_since(self, revision: int) -> list[WindowCounts]:
        """Return all counts that changed after that revision, as absolute numbers, the oldest window first."""
        changes = []
        for number in sorted(self._windows):
            tenants = self._windows[number].tenants
            counts = {tenant: entry.count for tenant, entry in tenants.items() if entry.revision > revision}
            if counts:
                changes.append(WindowCounts(number, counts))
        return changes

    def drop_through(self, fixed_through: int) -> None:
        """Drop all windows up to that one, whose content is fixed."""
        self._fixed_through = max(self._fixed_through, fixed_through)
        for number in [number for number in self._windows if number <= self._fixed_through]:
            del self._windows[number]
