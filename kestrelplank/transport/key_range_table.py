"""The look-up table from shard keys to the servers that hold them, of one service at an edge machine."""

from bisect import bisect_right

from kestrelplank.transport.messages import KeyRangesVersion, RangeHolder


class KeyRangeTable:
    """The key ranges of one service at one version.

    Ranges are sorted by key and do not overlap
    (`tests/transport/test_key_range_table.py::test_changed_ranges_replace_exactly_their_own_keys`).
    """

    def __init__(self, version: KeyRangesVersion, key_ranges: list[RangeHolder]) -> None:
        self.version, self.key_ranges = version, key_ranges
        self._first_keys = [key_range.first for key_range in key_ranges]

    def updated(self, version: KeyRangesVersion, changes: list[RangeHolder]) -> "KeyRangeTable":
        """Return a table of the given version in which `changes` override the holders of their keys.

        :param changes: sorted by key, without overlaps.
        """
        result, remaining = [], changes[::-1]  # reversed, so that the next change is the last element
        for key_range in self.key_ranges:
            first = key_range.first  # the first key of this range not covered by an earlier change
            while remaining and remaining[-1].first <= key_range.last:
                change = remaining[-1]
                if first < change.first:  # the keys before the change keep their holder
                    result.append(RangeHolder(first, change.first - 1, key_range.server, key_range.address))
                first = max(first, change.last + 1)
                if change.last > key_range.last:
                    break  # it extends into the next range, and is appended there
                result.append(remaining.pop())
            if first <= key_range.last:
                result.append(RangeHolder(first, key_range.last, key_range.server, key_range.address))
        return KeyRangeTable(version, result + remaining[::-1])

    def holder_of(self, key: int) -> RangeHolder | None:
        """Return the range that contains `key`; None if there is none, or no server holds it."""
        index = bisect_right(self._first_keys, key) - 1
        if index < 0 or self.key_ranges[index].last < key or not self.key_ranges[index].server:
            return None
        return self.key_ranges[index]
