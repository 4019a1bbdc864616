"""An estimate of true time: the steady clock plus the median offset of other processes' clocks. No I/O.

Clocks of single machines may be seconds off and may be set at any time, forwards or back. The steady clock is not
affected, and the median is right while most of the clocks are.
"""

from dataclasses import dataclass
from statistics import median_low

from kestrelplank.time_units import MILLISECOND, SECOND

MAX_ROUND_TRIP_NS = 250 * MILLISECOND  # bounds a sample's error to half of it; a delayed message gives no sample
SAMPLE_MAX_AGE_NS = 10 * SECOND
UPDATE_INTERVAL_NS = 100 * MILLISECOND  # the median of many samples is not computed for each message


@dataclass(frozen=True, slots=True)
class OffsetSample:
    """A peer's clock minus the own steady clock, and when it was measured."""

    offset_ns: int
    taken_at: int


class TrueTimeEstimate:
    """True time as this process knows it.

    Invariants, each with its test in `tests/usage/test_true_time.py`:

    - The estimate is right while fewer than half of the clocks are off
      (`test_the_estimate_is_right_while_fewer_than_half_of_the_clocks_are_off`).
    - A delayed message does not shift it (`test_a_reading_with_a_long_round_trip_is_ignored`).
    - It stays when all peers are silent (`test_the_estimate_is_kept_while_all_peers_are_silent`).

    :param min_samples: clocks that must be known before there is an estimate, in the first `settling_ns`.
    :param settling_ns: after this time from the first sample on, one clock is sufficient.
    """

    def __init__(self, min_samples: int = 1, settling_ns: int = 0) -> None:
        self._min_samples, self._settling_ns = min_samples, settling_ns
        self._samples: dict[str, OffsetSample] = {}  # by peer
        self._first_sample_at: int | None = None
        self._offset_ns: int | None = None  # as of the last estimate
        self._updated_at: int | None = None

    def add_reading(self, now: int, peer: str, clock_ns: int, round_trip_ns: int) -> None:
        """Record a reading of a peer's clock that has just arrived.

        :param round_trip_ns: duration of the exchange that brought it, without the time that the peer waited.
        """
        if not 0 <= round_trip_ns <= MAX_ROUND_TRIP_NS:
            return
        self._samples[peer] = OffsetSample(clock_ns + round_trip_ns // 2 - now, now)
        if self._first_sample_at is None:
            self._first_sample_at = now

    def true_time(self, now: int) -> int | None:
        """Return the true time in ns since 1970; None while it is not known."""
        if self._offset_ns is None or self._updated_at is None or now - self._updated_at >= UPDATE_INTERVAL_NS:
            self._updated_at = now
            self._update(now)
        return None if self._offset_ns is None else now + self._offset_ns

    def _update(self, now: int) -> None:
        """Set the offset to the median of recent samples; keep the former one if there are too few."""
        expired = [peer for peer, sample in self._samples.items() if now - sample.taken_at > SAMPLE_MAX_AGE_NS]
        for peer in expired:
            del self._samples[peer]
        if self._first_sample_at is None or not self._samples:
            return
        settled = now - self._first_sample_at >= self._settling_ns
        if len(self._samples) >= self._min_samples or settled:
            self._offset_ns = median_low(sample.offset_ns for sample in self._samples.values())
