"""A clock that advances only in calls to `run`: the loop's `now` and `at`, without sockets."""

import heapq
from collections.abc import Callable
from typing import Protocol

from kestrelplank.sockets.loop import Timer


class Clock(Protocol):
    """The interface that the virtual clock and the loop of real sockets share."""

    def now(self) -> int:
        """Return the present time (ns)."""
        ...

    def at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at that time."""
        ...


class VirtualClock:
    """A clock that makes calls due at the same time in the order in which they were scheduled."""

    def __init__(self, now: int = 0) -> None:
        self._now, self._last_order = now, 0
        self._timers: list[tuple[int, int, Timer]] = []
        self.calls = 0

    def now(self) -> int:
        """Return the present time (ns)."""
        return self._now

    def at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at that time, or as soon as possible if it has passed."""
        timer = Timer(callback)
        self._last_order += 1
        heapq.heappush(self._timers, (max(due, self._now), self._last_order, timer))
        return timer

    def run(self, until: int) -> None:
        """Make all calls that are due until that time, and advance the clock to it."""
        timers = self._timers
        while timers and timers[0][0] <= until:
            self._now, _, timer = heapq.heappop(timers)
            if timer.callback is not None:
                self.calls += 1
                timer.callback()
        self._now = max(self._now, until)
