"""The keys of recent requests, and the request rate of each key range.

Rates are averaged over a longer window than the greedy pass uses, as a server gets only a few requests a second. Where
the newest requests differ significantly from the window (by the counting error of a Poisson process), only they count.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Sequence

from kestrelplank.sharding.key_range import KEY_COUNT, KeyRange
from kestrelplank.time_units import MILLISECOND, SECOND

REPORT_PERIOD_NS = 500 * MILLISECOND  # interval of edge machines' reports
WINDOW_NS = 12 * SECOND
NEWEST_NS = 1500 * MILLISECOND  # requests within this time are the newest
SIGNIFICANT_DEVIATIONS = 3.0  # standard deviations that make a difference significant
BASELINE_SHARE = 0.02  # share of all requests that is added, spread evenly over the keys
MIN_SAMPLE = 10  # fewest requests for a range's keys that make a sample


class RequestWindow:
    """The keys of all requests that edge machines reported within `WINDOW_NS`.

    `sorted_keys`: these keys, sorted, as of the last `advance`. `newest_keys`: likewise, those within `NEWEST_NS`.
    Tested by `test_window_sums_equal_the_sums_of_the_reports_in_the_window`.
    """

    def __init__(self) -> None:
        self.sorted_keys: list[int] = []
        self.newest_keys: list[int] = []
        self._reports: deque[tuple[int, Sequence[int]]] = deque()  # when each was received (ns), and its keys
        self._unsorted: list[int] = []  # keys received since the last `advance`
        self._first_request_at: int | None = None
        self._changed_ranges: set[KeyRange] = set()  # whose newest requests differ significantly from the window's

    def add(self, now: int, keys: Sequence[int]) -> None:
        """Add the keys of an edge machine's requests since its last report."""
        if keys and self._first_request_at is None:
            self._first_request_at = now - REPORT_PERIOD_NS
        self._reports.append((now, keys))
        self._unsorted += keys

    def advance(self, now: int) -> None:
        """Remove reports that are older than the window, and merge in the keys of new ones.

        Only expired and new keys are sorted, as this runs twice a second over a window of 12 s.
        """
        expired: list[int] = []
        while self._reports and now - self._reports[0][0] > WINDOW_NS:
            expired += self._reports.popleft()[1]
        # New keys first, as some may have expired already. Sorting two sorted runs only merges them (Timsort).
        self.sorted_keys = without_expired(sorted(self.sorted_keys + sorted(self._unsorted)), sorted(expired))
        self._unsorted.clear()
        self.newest_keys = sorted(key for at, keys in self._reports if now - at <= NEWEST_NS for key in keys)

    def _span_ns(self, now: int) -> int:
        """Return the time that the window's requests cover."""
        if self._first_request_at is None:
            return REPORT_PERIOD_NS
        return max(REPORT_PERIOD_NS, min(WINDOW_NS, now - self._first_request_at))

    def total_rate(self, now: int) -> float:
        """Return the requests a second over the window or over the newest requests, whichever is higher."""
        span_ns = self._span_ns(now)
        newest_rate = len(self.newest_keys) / min(span_ns, NEWEST_NS)
        return max(len(self.sorted_keys) / span_ns, newest_rate) * SECOND

    def range_rates(self, now: int, ranges: Sequence[KeyRange], server_count: int) -> dict[KeyRange, float]:
        """Return the requests a second for each of `ranges`, which must be all ranges in order."""
        span_ns = self._span_ns(now)
        newest_ns = min(span_ns, NEWEST_NS)
        ends = [key_range.last for key_range in ranges]
        counts, newest_counts = count_by_range(self.sorted_keys, ends), count_by_range(self.newest_keys, ends)
        rates: dict[KeyRange, float] = {}
        self._changed_ranges = set()
        for key_range, count, newest_count in zip(ranges, counts, newest_counts):
            expected = count * newest_ns / span_ns
            if abs(newest_count - expected) > SIGNIFICANT_DEVIATIONS * max(1.0, expected) ** 0.5:
                self._changed_ranges.add(key_range)
                rates[key_range] = newest_count / newest_ns * SECOND
            else:
                rates[key_range] = count / span_ns * SECOND
        # No range has a rate of 0: all ranges without recent requests would move to the least loaded server.
        baseline = BASELINE_SHARE * max(sum(rates.values()), server_count) / KEY_COUNT
        return {key_range: rate + baseline * key_range.key_count for key_range, rate in rates.items()}

    def sample(self, key_range: KeyRange) -> list[int]:
        """Return the sorted keys of requests in the range, over the time that its rate was computed from.

        Empty if there are fewer than `MIN_SAMPLE`.
        """
        keys = keys_in_range(self.newest_keys, key_range) if key_range in self._changed_ranges else []
        if len(keys) < MIN_SAMPLE:
            keys = keys_in_range(self.sorted_keys, key_range)
        return keys if len(keys) >= MIN_SAMPLE else []


def without_expired(keys: list[int], expired: list[int]) -> list[int]:
    """Return the sorted `keys` without the sorted `expired`, each of which removes one equal key that is in `keys`."""
    remaining: list[int] = []
    begin = 0
    for key in expired:
        at = bisect_left(keys, key, begin)
        remaining += keys[begin:at]
        begin = at + 1
    remaining += keys[begin:]
    return remaining


def keys_in_range(keys: list[int], key_range: KeyRange) -> list[int]:
    """Return the sorted keys that are in the range."""
    return keys[bisect_left(keys, key_range.first) : bisect_right(keys, key_range.last)]


def count_by_range(keys: list[int], ends: list[int]) -> list[int]:
    """Return the number of sorted keys in each range, given the ranges' last keys."""
    below = [bisect_right(keys, end) for end in ends]
    return [up_to_end - before_range for before_range, up_to_end in zip([0, *below], below)]
