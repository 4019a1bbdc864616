"""The ops that wait for capacity at a node, and when a caller that was rejected may come again."""

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from typing import NamedTuple

from kestrelplank.time_units import SECOND


class WaitingOp(NamedTuple):
    """One op that waits; `order` grows with each arrival."""

    order: int
    op_type: int


class WaitingQueue:
    """Ops that wait for capacity, each for a share of its latency target at the most.

    The op of most value goes first, of equals the one that came first; when one too many waits, the one of least value
    that came last is displaced. Guards against work that is answered too late to be of any use (R. Nichols and
    V. Jacobson, CoDel, 2012, bound the time in a queue for the same reason). Harm: what is displaced might have been
    answered in time.

    Invariant: no more than `max_length` ops wait, and none is lost (test
    `test_a_queue_is_never_over_its_length_and_loses_nobody`).

    :param target_latencies_ns: by op type, as are `values`.
    :param target_share: the share of the latency target that may be spent waiting.
    """

    def __init__(
        self, max_length: int, target_latencies_ns: Sequence[int], values: Sequence[float], target_share: float
    ) -> None:
        self._max_length, self._target_latencies_ns = max_length, target_latencies_ns
        self._values, self._target_share = values, target_share
        self._heap: list[tuple[float, int, int]] = []  # (-value, order, number), also of ops that wait no longer
        self._waiting: dict[int, WaitingOp] = {}  # by number
        self._last_order = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, now: int, number: int, op_type: int, deadline: int) -> tuple[int | None, list[int]]:
        """Let an op wait.

        Return until when it may (None: it is rejected), and the numbers of those that it displaces.
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
        """Let an op wait no longer, for whatever reason; return whether it did."""
        return self._waiting.pop(number, None) is not None

    def release(self, accepts: Callable[[int], bool]) -> list[int]:
        """Return the ops whose turn it is, in order, as far as `accepts(number)` takes them.

        One that is not accepted holds back none behind it, as it may need another node.
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
    """Return the whole seconds after which a caller that was rejected may come again.

    It grows with the queue, so that not all return into the same moment, and is at least 1, as the field has no
    fraction (RFC 9110, section 10.2.3, Retry-After).
    """
    return max(1, round(wait_ns / SECOND * (1 + queued / max(1, queue_length))))
