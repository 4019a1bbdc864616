"""Splits key ranges with much load, and merges neighbours with little.

A range with much of a server's load is split, as moving it as a whole would only move the overload; the new range can
be moved to a server with capacity for it. If there are many ranges, neighbours with little load are merged, so that
further splits stay within the limit of ranges. Source: Slicer splits and merges ranges likewise.
"""

from bisect import bisect_right

from kestrelplank.sharding.greedy_pass import GreedyPass
from kestrelplank.sharding.key_range import KeyRange, KeyRangeState
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.request_window import RequestWindow

SPLIT_LOAD_SHARE = 0.4  # share of a mean server's load above which a range is split; as for the policy's hot slices
UPPER_SHARE_BOUNDS = 0.05, 0.95  # no split if the upper range's share of requests is outside: one key has nearly all
MAX_RANGES_PER_SERVER = 6  # no range is split beyond it
MERGE_ABOVE_RANGES_PER_SERVER = 5
MERGE_LOAD_SHARE = 0.1  # share of a mean server's load, for both ranges together


class RangeResizing:
    """Splits and merges one service's ranges.

    `merging`: for each range that is to be merged, the range before it. It moves to that range's server first; the pass
    does not place it meanwhile.
    """

    def __init__(self, key_ranges: KeyRanges, greedy_pass: GreedyPass, requests: RequestWindow) -> None:
        self.merging: dict[KeyRange, KeyRange] = {}
        self._key_ranges = key_ranges
        self._pass = greedy_pass
        self._requests = requests

    def split(self, rates: dict[KeyRange, float], mean_rate: float) -> None:
        """Split ranges with too many requests in two at the median requested key, busiest ranges first.

        :param rates: requests a second by range; updated in place.
        :param mean_rate: requests a second per ready server.
        """
        key_ranges = self._key_ranges
        max_splits = MAX_RANGES_PER_SERVER * max(1, len(key_ranges.servers)) - len(key_ranges.ranges)
        busy = [key_range for key_range, rate in rates.items() if rate > SPLIT_LOAD_SHARE * mean_rate]
        candidates = [key_range for key_range in busy if self._can_split(key_range)]
        candidates.sort(key=lambda key_range: (-rates[key_range], key_range.first))
        for lower in candidates[: max(0, max_splits)]:
            keys = self._requests.sample(lower)
            if not keys:
                continue
            at = min(max(keys[len(keys) // 2], lower.first + 1), lower.last)
            upper_share = (len(keys) - bisect_right(keys, at - 1)) / len(keys)
            if not UPPER_SHARE_BOUNDS[0] < upper_share < UPPER_SHARE_BOUNDS[1]:
                continue
            upper = key_ranges.split(lower, at)
            self._pass.split_range(lower, upper, upper_share)
            rates[upper], rates[lower] = rates[lower] * upper_share, rates[lower] * (1 - upper_share)

    def _can_split(self, key_range: KeyRange) -> bool:
        return (
            key_range.last > key_range.first
            and key_range.state is KeyRangeState.HELD
            and key_range.recorded
            and not key_range.call_in_flight
            and key_range in self._pass.slice_numbers
        )

    def merge(self, now: int, rates: dict[KeyRange, float], mean_rate: float) -> None:
        """Finish merges whose two ranges are at one server, and start another if there are many ranges.

        :param rates: requests a second by range; updated in place.
        :param mean_rate: requests a second per ready server.
        """
        self._finish_merges(rates)
        key_ranges = self._key_ranges
        if self.merging or len(key_ranges.ranges) <= MERGE_ABOVE_RANGES_PER_SERVER * len(key_ranges.servers):
            return
        pairs = [
            (lower.server != upper.server, upper.last - upper.first, lower.first, lower, upper)
            for lower, upper in zip(key_ranges.ranges, key_ranges.ranges[1:])
            if rates[lower] + rates[upper] < MERGE_LOAD_SHARE * mean_rate
            and self._can_move(lower)
            and self._can_move(upper)
        ]
        if not pairs:
            return
        *_, lower, upper = min(pairs, key=lambda pair: pair[:3])  # the pair for which the fewest keys change server
        self.merging[upper] = lower
        if upper.server != lower.server:
            key_ranges.start_release(now, upper, lower.server)
        self._pass.remove_range(upper)

    def _can_move(self, key_range: KeyRange) -> bool:
        return key_range.state is KeyRangeState.HELD and key_range.recorded and key_range in self._pass.slice_numbers

    def _finish_merges(self, rates: dict[KeyRange, float]) -> None:
        """Merge pairs that are neighbours at one server, and cancel those that can no longer be merged."""
        ranges = self._key_ranges.ranges
        positions = {key_range: position for position, key_range in enumerate(ranges)}
        for upper, lower in list(self.merging.items()):
            position = positions.get(upper, 0)
            adjacent = position > 0 and ranges[position - 1] is lower and lower.state is KeyRangeState.HELD
            if adjacent and self._key_ranges.can_merge(lower, upper):
                self._key_ranges.merge(lower, upper)
                del self.merging[upper]
                rates[lower] += rates.pop(upper)
            elif not adjacent or (upper.state is KeyRangeState.HELD and upper.server != lower.server):
                del self.merging[upper]  # one of the two has moved elsewhere: the pass places it again
