"""A slice that an assigner owns."""

from collections import deque

from kestrelplank.interface import SECOND
from kestrelplank.policy.parameters import PERIODS


class Slice:
    """A slice with its `desired` endpoints and those last `ordered`, node to weight."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.desired: dict[int, float] = {}
        self.ordered: dict[int, float] = {}
        # Exclusive slices only: the acknowledgement that the old owner's end waits for, and when a new one may begin.
        self.closing_watermark: int | None = None
        self.opens_at: int | None = None
        self.current_ops = 0.0  # of the current report period
        self.ops_by_period: deque[float] = deque(maxlen=PERIODS)

    def load(self, period_ns: int) -> float:
        """Return the ops a second that come for it."""
        return sum(self.ops_by_period) / max(1, len(self.ops_by_period)) / (period_ns / SECOND)

    def newest_ops(self) -> float:
        """Return the ops that came for it by the newest report."""
        return max(self.current_ops, self.ops_by_period[-1] if self.ops_by_period else 0.0)

    def first_node(self) -> int | None:
        """Return the node of its oldest endpoint."""
        return next(iter(self.desired), None)

    def close_period(self) -> None:
        """Begin a report period."""
        self.ops_by_period.append(self.current_ops)
        self.current_ops = 0.0

    def split_off(self, number: int, share: float) -> "Slice":
        """Return a new slice that takes this share of the past load; it has no endpoint yet."""
        other = Slice(number)
        other.ops_by_period.extend(ops * share for ops in self.ops_by_period)
        self.ops_by_period = deque((ops * (1 - share) for ops in self.ops_by_period), PERIODS)
        return other
