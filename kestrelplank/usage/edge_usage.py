"""The usage that one edge process counts, and the true time that it counts by. No I/O."""

from kestrelplank.usage.true_time import TrueTimeEstimate
from kestrelplank.usage.usage_counter import UsageCounter


class EdgeUsage:
    """The usage of one edge process, which all its connections share.

    :param edge: the machine's name.
    :param incarnation: random number of this process.
    """

    def __init__(self, edge: str, incarnation: int, interval_ns: int) -> None:
        self.edge, self.incarnation = edge, incarnation
        self.counter = UsageCounter(interval_ns)
        self.time = TrueTimeEstimate()
        self._own_offset_ns: int | None = None  # of the own time of day to the steady clock

    def set_own_clock(self, now: int, wall_time_ns: int) -> None:
        """Record the own time of day: it is used until a member has told the true time."""
        self._own_offset_ns = wall_time_ns - now

    def attempt_started(self, now: int, tenant: str) -> int | None:
        """Count an attempt that is sent now; return its window, for `UsageCounter.attempt_ended`.

        None: not counted, as no time is known. That is before the first message to a member, when no edge is ready.
        """
        true_time_ns = self.time.true_time(now)
        if true_time_ns is None and self._own_offset_ns is not None:
            true_time_ns = now + self._own_offset_ns
        return None if true_time_ns is None else self.counter.attempt_started(true_time_ns, tenant)
