"""Which keys were asked for lately: the request rate of each key range.

Rates are taken from a longer window than the greedy pass averages over, as a server meets only a few requests a second.
Where the newest requests differ from that by more than chance, they are taken alone (counting errors of a Poisson
stream).
"""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Sequence

from kestrelplank.sharding.key_range import KEY_COUNT, KeyRange
from kestrelplank.time_units import MILLISECOND, SECOND

REPORT_PERIOD_NS = 500 * MILLISECOND  # edge machines report so often
WINDOW_NS = 12 * SECOND
NEWEST_NS = 1500 * MILLISECOND  # the newest requests are those within this time
SIGNIFICANT_DEVIATIONS = 3.0  # by which the newest requests differ clearly from the window's
BASELINE_SHARE = 0.02  # of all requests, spread evenly over the keys
MIN_SAMPLE = 10  # requests for a range's keys, below which they show nothing


class RequestWindow:
    """The keys of all requests that edge machines reported within `WINDOW_NS`.

    `sorted_keys`: these keys in order, as of the last `advance`. `newest_keys`: those within `NEWEST_NS`, likewise.
    Guarded by `test_the_window_holds_the_sums_of_all_reports_in_it`.
    """

    def __init__(self) -> None:
        self.sorted_keys: list[int] = []
        self.newest_keys: list[int] = []
        self._reports: deque[tuple[int, Sequence[int]]] = deque()  # when each came, and its keys
        self._unsorted: list[int] = []  # keys that came since the last `advance`
        self._first_request_at: int | None = None
        self._changed_ranges: set[KeyRange] = set()  # ranges whose newest requests differ clearly from the window's

    def add(self, now: int, keys: Sequence[int]) -> None:
        """Take the keys that an edge machine was asked for since its last report."""
        if keys and self._first_request_at is None:
            self._first_request_at = now - REPORT_PERIOD_NS
        self._reports.append((now, keys))
        self._unsorted += keys

    def advance(self, now: int) -> None:
        """Remove the reports that are older than the window, and sort in the new ones.

        Only what changes is gone through: of a window of 12 s that is little, twice a second.
        """
        expired: list[int] = []
        while self._reports and now - self._reports[0][0] > WINDOW_NS:
            expired += self._reports.popleft()[1]
        # The new ones first, as some of them may be too old already; sorted runs are merged, not sorted again.
        self.sorted_keys = without_expired(sorted(self.sorted_keys + sorted(self._unsorted)), sorted(expired))
        self._unsorted.clear()
        self.newest_keys = sorted(key for at, keys in self._reports if now - at <= NEWEST_NS for key in keys)

    def _span_ns(self, now: int) -> int:
        """Return the time that the window's requests came in."""
        if self._first_request_at is None:
            return REPORT_PERIOD_NS
        return max(REPORT_PERIOD_NS, min(WINDOW_NS, now - self._first_request_at))

    def total_rate(self, now: int) -> float:
        """Return the requests a second, by the window or by the newest, whichever are more."""
        span_ns = self._span_ns(now)
        newest_rate = len(self.newest_keys) / min(span_ns, NEWEST_NS)
        return max(len(self.sorted_keys) / span_ns, newest_rate) * SECOND

    def range_rates(self, now: int, ranges: Sequence[KeyRange], server_count: int) -> dict[KeyRange, float]:
        """Return the requests a second for each of `ranges`, which are all ranges in order."""
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
        # No range counts for nothing, or all that nobody asked for lately would go to the one least loaded server.
        baseline = BASELINE_SHARE * max(sum(rates.values()), server_count) / KEY_COUNT
        return {key_range: rate + baseline * key_range.key_count for key_range, rate in rates.items()}

    def sample(self, key_range: KeyRange) -> list[int]:
        """Return the keys asked for in the range, in order, from the span that its rate was taken from.

        Empty if these are fewer than `MIN_SAMPLE`.
        """
        keys = keys_in_range(self.newest_keys, key_range) if key_range in self._changed_ranges else []
        if len(keys) < MIN_SAMPLE:
            keys = keys_in_range(self.sorted_keys, key_range)
        return keys if len(keys) >= MIN_SAMPLE else []


def without_expired(keys: list[int], expired: list[int]) -> list[int]:
    """Return the sorted `keys` without the sorted `expired`, each of which takes away one equal key that is there."""
    remaining: list[int] = []
    begin = 0
    for key in expired:
        at = bisect_left(keys, key, begin)
        remaining += keys[begin:at]
        begin = at + 1
    remaining += keys[begin:]
    return remaining


def keys_in_range(keys: list[int], key_range: KeyRange) -> list[int]:
    """Return those of the sorted keys that lie in the range."""
    return keys[bisect_left(keys, key_range.first) : bisect_right(keys, key_range.last)]


def count_by_range(keys: list[int], ends: list[int]) -> list[int]:
    """Return how many of the sorted keys lie in each range, given the ranges' last keys."""
    below = [bisect_right(keys, end) for end in ends]
    return [upto - before for before, upto in zip([0, *below], below)]
