"""A clock that only runs when it is told to: the loop's `now` and `at`, without sockets."""

import heapq
from collections.abc import Callable
from typing import Protocol

from kestrelplank.sockets.loop import Timer


class Clock(Protocol):
    """What both the virtual clock and the loop of real sockets offer."""

    def now(self) -> int:
        """Return the present instant (ns)."""
        ...

    def at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at that instant."""
        ...


class VirtualClock:
    """A clock on which calls that are due at the same instant are made in the order in which they were asked for."""

    def __init__(self, now: int = 0) -> None:
        self._now, self._last_order = now, 0
        self._timers: list[tuple[int, int, Timer]] = []
        self.calls = 0

    def now(self) -> int:
        """Return the present instant (ns)."""
        return self._now

    def at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at that instant, or next if that has passed."""
        timer = Timer(callback)
        self._last_order += 1
        heapq.heappush(self._timers, (max(due, self._now), self._last_order, timer))
        return timer

    def run(self, until: int) -> None:
        """Make all calls that are due up to that instant, which then is the present one."""
        timers = self._timers
        while timers and timers[0][0] <= until:
            self._now, _, timer = heapq.heappop(timers)
            if timer.callback is not None:
                self.calls += 1
                timer.callback()
        self._now = max(self._now, until)
