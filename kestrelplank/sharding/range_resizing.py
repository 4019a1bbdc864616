"""Key ranges that are split where the requests are, and merged where they are not.

A range with much of a server's load is split, as moving it in one piece would only move the overload: the part that is
split off goes to the server where it fits. Where ranges become many, neighbours with little load are merged, so that
further splits stay possible where the requests go next. (Slicer splits and merges ranges likewise.)
"""

from bisect import bisect_right

from kestrelplank.sharding.greedy_pass import GreedyPass
from kestrelplank.sharding.key_range import KeyRange, KeyRangeState
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.request_window import RequestWindow

SPLIT_LOAD_SHARE = 0.4  # of a mean server's load; the pass splits slices at the same share elsewhere
UPPER_SHARE_BOUNDS = 0.05, 0.95  # an upper part with less or more of the requests: one key has nearly all of them
MAX_RANGES_PER_SERVER = 6  # then nothing is split any more
MERGE_ABOVE_RANGES_PER_SERVER = 5
MERGE_LOAD_SHARE = 0.1  # of a mean server's load, for the two together


class RangeResizing:
    """Splits and merges one service's ranges.

    `merging`: ranges on their way to the server of the range before them, which they are merged with there. The pass
    does not decide on them meanwhile.
    """

    def __init__(self, key_ranges: KeyRanges, greedy_pass: GreedyPass, requests: RequestWindow) -> None:
        self.merging: dict[KeyRange, KeyRange] = {}
        self._key_ranges = key_ranges
        self._pass = greedy_pass
        self._requests = requests

    def split(self, rates: dict[KeyRange, float], mean_rate: float) -> None:
        """Split ranges with too many requests, those with most first, each in two at its median request.

        :param rates: requests a second by range; brought up to date.
        :param mean_rate: requests a second for each server that is ready.
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
        """Finish merges whose two ranges are at one server now, and begin one more where ranges are many.

        :param rates: requests a second by range; brought up to date.
        :param mean_rate: requests a second for each server that is ready.
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
        *_, lower, upper = min(pairs, key=lambda pair: pair[:3])  # the one for which fewest keys change server
        self.merging[upper] = lower
        if upper.server != lower.server:
            key_ranges.start_release(now, upper, lower.server)
        self._pass.remove_range(upper)

    def _can_move(self, key_range: KeyRange) -> bool:
        return key_range.state is KeyRangeState.HELD and key_range.recorded and key_range in self._pass.slice_numbers

    def _finish_merges(self, rates: dict[KeyRange, float]) -> None:
        """Merge pairs that are neighbours at one server, and give up those that can't be any more."""
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
                del self.merging[upper]  # one of the two has gone elsewhere: the pass decides on it again
