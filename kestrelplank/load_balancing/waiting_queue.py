"""The queue of ops that wait for capacity at a node, and the Retry-After time for rejected callers."""

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from typing import NamedTuple

from kestrelplank.time_units import SECOND


class WaitingOp(NamedTuple):
    """A queued op; `order` increases with each arrival."""

    order: int
    op_type: int


class WaitingQueue:
    """A priority queue of ops that wait for capacity, each for at most a share of its latency target.

    Ops leave in order of value, then of arrival. When the queue is full, a new op displaces the op of lowest value that
    arrived last, if its own value is higher. Guards against responses that come too late to be of use (R. Nichols and
    V. Jacobson, CoDel, 2012, bound the time in a queue for the same reason). Drawback: a displaced op might have been
    served in time.

    Invariant: no more than `max_length` ops are queued, and none is lost (test
    `test_queue_never_exceeds_its_length_and_loses_no_op`).

    :param max_length: 0 disables queueing: every op is rejected.
    :param target_latencies_ns: by op type, as are `values`.
    :param target_share: the share of the latency target that may be spent waiting.
    """

    def __init__(
        self, max_length: int, target_latencies_ns: Sequence[int], values: Sequence[float], target_share: float
    ) -> None:
        self._max_length, self._target_latencies_ns = max_length, target_latencies_ns
        self._values, self._target_share = values, target_share
        self._heap: list[tuple[float, int, int]] = []  # (-value, order, number); may contain ops that were removed
        self._waiting: dict[int, WaitingOp] = {}  # by number
        self._last_order = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, now: int, number: int, op_type: int, deadline: int) -> tuple[int | None, list[int]]:
        """Add an op to the queue.

        Return the time until which it may wait (None if it is rejected), and the numbers of the ops it displaces.
        """
        if not self._max_length:
            return None, []
        until = min(deadline, now + round(self._target_latencies_ns[op_type] * self._target_share))
        displaced: list[int] = []
        if len(self._waiting) >= self._max_length:
            least = max(self._waiting, key=self._displacement_rank)
            if self._values[self._waiting[least].op_type] >= self._values[op_type]:
                return None, []
            self.remove(least)
            displaced.append(least)
        self._last_order += 1
        self._waiting[number] = WaitingOp(self._last_order, op_type)
        heappush(self._heap, (-self._values[op_type], self._last_order, number))
        return until, displaced

    def _displacement_rank(self, number: int) -> tuple[float, int]:
        waiting = self._waiting[number]
        return -self._values[waiting.op_type], waiting.order

    def remove(self, number: int) -> bool:
        """Remove an op from the queue; return whether it was queued."""
        return self._waiting.pop(number, None) is not None

    def release(self, accepts: Callable[[int], bool]) -> list[int]:
        """Remove the ops for which `accepts(number)` is true, and return them in queue order.

        An op that is not accepted does not block those behind it, which may be able to use another node.
        """
        kept, released = [], []
        while self._heap:
            entry = heappop(self._heap)
            _, order, number = entry
            if number not in self._waiting or self._waiting[number].order != order:
                continue
            if accepts(number):
                del self._waiting[number]
                released.append(number)
            else:
                kept.append(entry)
        for entry in kept:
            heappush(self._heap, entry)
        return released


def retry_after_s(wait_ns: int, queued: int, queue_length: int) -> int:
    """Return the Retry-After value for a rejected caller, in whole seconds.

    It grows from `wait_ns` with the number of queued ops, to twice that time for a full queue, so that callers do not
    all return at the same time. It is at least 1, as the header field has no fractions (RFC 9110, section 10.2.3).

    :param wait_ns: the time to wait if nothing is queued.
    :param queue_length: the maximum number of queued ops.
    """
    return max(1, round(wait_ns / SECOND * (1 + queued / max(1, queue_length))))
