"""A clock that stands still until it is told to go on: the loop's `now` and `at`, without sockets."""

import heapq
from collections.abc import Callable
from random import Random

from kestrelplank.sockets.loop import Timer


class Clock:
    """What is due at the same ns happens in the order in which it was asked for. `steps` counts calls made."""

    def __init__(self, now: int = 0) -> None:
        self._now, self._given, self.steps = now, 0, 0
        self._timers: list[tuple[int, int, Timer]] = []

    def now(self) -> int:
        return self._now

    def at(self, due: int, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        self._given += 1
        heapq.heappush(self._timers, (max(due, self._now), self._given, timer))
        return timer

    def run(self, until: int) -> None:
        """All that is due up to that time, which then is now."""
        timers = self._timers
        while timers and timers[0][0] <= until:
            self._now, _, timer = heapq.heappop(timers)
            if timer.callback is not None:
                self.steps += 1
                timer.callback()
        self._now = max(self._now, until)


def chance(seed: int, *who: object) -> Random:
    """A party's own chance, the same in every process: a text is hashed by the library with SHA-512."""
    return Random("/".join(map(str, (seed, *who))))
