"""A slice that an assigner owns."""

from collections import deque

from kestrelplank.interface import SECOND
from kestrelplank.policy.parameters import LOAD_PERIODS


class Slice:
    """A slice with its `desired` and its last `ordered` endpoints, both as weight by node."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.desired: dict[int, float] = {}
        self.ordered: dict[int, float] = {}
        # Exclusive slices only: the message that removes the old owner, and when a new owner may start.
        self.closing_watermark: int | None = None
        self.opens_at: int | None = None
        self.current_ops = 0.0  # of the current report period
        self.ops_by_period: deque[float] = deque(maxlen=LOAD_PERIODS)

    def load(self, period_ns: int) -> float:
        """Return its load in ops a second."""
        return sum(self.ops_by_period) / max(1, len(self.ops_by_period)) / (period_ns / SECOND)

    def newest_ops(self) -> float:
        """Return its ops in the newest report period."""
        return max(self.current_ops, self.ops_by_period[-1] if self.ops_by_period else 0.0)

    def first_node(self) -> int | None:
        """Return the node of its oldest endpoint."""
        return next(iter(self.desired), None)

    def close_period(self) -> None:
        """End the current report period and begin the next."""
        self.ops_by_period.append(self.current_ops)
        self.current_ops = 0.0

    def split_off(self, number: int, share: float) -> "Slice":
        """Return a new slice that takes this share of the past load and has no endpoint yet."""
        new_slice = Slice(number)
        new_slice.ops_by_period.extend(ops * share for ops in self.ops_by_period)
        self.ops_by_period = deque((ops * (1 - share) for ops in self.ops_by_period), LOAD_PERIODS)
        return new_slice
