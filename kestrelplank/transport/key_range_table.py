"""Who holds which keys of one service, as an edge machine looks it up."""

from bisect import bisect_right

from kestrelplank.transport.messages import KeyRangesVersion, RangeHolder


class KeyRangeTable:
    """The key ranges of one service at one version.

    Ranges are in the order of their keys and do not overlap
    (`tests/transport/test_key_range_table.py::test_changed_ranges_cover_what_they_say_and_nothing_else`).
    """

    def __init__(self, version: KeyRangesVersion, key_ranges: list[RangeHolder]) -> None:
        self.version, self.key_ranges = version, key_ranges
        self._first_keys = [key_range.first for key_range in key_ranges]

    def updated(self, version: KeyRangesVersion, changes: list[RangeHolder]) -> "KeyRangeTable":
        """Return the table of that version, in which `changes` replace what was there for their keys.

        :param changes: in the order of their keys, none overlapping another.
        """
        result, remaining = [], changes[::-1]  # the next change last
        for key_range in self.key_ranges:
            first = key_range.first  # of the keys of this range that no change before covers
            while remaining and remaining[-1].first <= key_range.last:
                change = remaining[-1]
                if first < change.first:  # the keys before the change stay as they were
                    result.append(RangeHolder(first, change.first - 1, key_range.server, key_range.address))
                first = max(first, change.last + 1)
                if change.last > key_range.last:
                    break  # it reaches into the next range, and is appended there
                result.append(remaining.pop())
            if first <= key_range.last:
                result.append(RangeHolder(first, key_range.last, key_range.server, key_range.address))
        return KeyRangeTable(version, result + remaining[::-1])

    def holder_of(self, key: int) -> RangeHolder | None:
        """Return the range that `key` is in; None where it is in none, or in one that no server holds."""
        index = bisect_right(self._first_keys, key) - 1
        if index < 0 or self.key_ranges[index].last < key or not self.key_ranges[index].server:
            return None
        return self.key_ranges[index]
