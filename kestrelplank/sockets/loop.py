"""One loop: a selector, a heap of timers, a clock. Everything else is called back from here."""

import heapq
import selectors
import time
from collections.abc import Callable
from socket import socket

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
FEW = 128  # timers that are held without looking whether they are still wanted


class Timer:
    """One call at a time to come; cancelled, it is forgotten when it falls due, or when many are."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback

    def cancel(self) -> None:
        self.callback = None


class Loop:
    def __init__(self, on_defect: Callable[[Exception], None]) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[int, int, Timer]] = []
        self._given, self._running, self._on_defect = 0, False, on_defect
        self._sweep_at = FEW
        # Unix time is read once, so that a clock that is set while we run shifts nothing we were told.
        self._unix = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns()

    def from_unix(self, at: int) -> int:
        return at - self._unix

    def at(self, due: int, callback: Callable[[], None]) -> Timer:
        if len(self._timers) >= self._sweep_at:  # against deadlines that are set and met faster than they fall due
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._sweep_at = max(FEW, 2 * len(self._timers))
        timer = Timer(callback)
        self._given += 1
        heapq.heappush(self._timers, (due, self._given, timer))
        return timer

    def watch(self, sock: socket, events: int, callback: Callable[[int], None]) -> None:
        self._selector.register(sock, events, callback)

    def change(self, sock: socket, events: int, callback: Callable[[int], None]) -> None:
        self._selector.modify(sock, events, callback)

    def forget(self, sock: socket) -> None:
        self._selector.unregister(sock)

    def stop(self) -> None:
        self._running = False

    def run(self) -> None:
        self._running = True
        while self._running:
            self.turn()

    def turn(self) -> None:
        """One pass. What has arrived is read before any deadline is held against it: after a stall of ours an
        answer that came in time must not count as missing. So the selector is asked again before timers are
        called; stopped and resumed while it waits, it says that nothing came."""
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        self._read(max(0, self._timers[0][0] - self.now()) / 1e9 if self._timers else None)
        now = self.now()
        if self._timers and self._timers[0][0] <= now:
            self._read(0)
        while self._timers and self._timers[0][0] <= now:
            callback = heapq.heappop(self._timers)[2].callback
            if callback is not None:
                self._call(callback)

    def _read(self, wait: float | None) -> None:
        watched = self._selector.get_map()
        for key, events in self._selector.select(wait):
            entry = watched.get(key.fd)  # forgotten earlier in this pass, or its number given to another since
            if entry is not None and entry.fileobj is key.fileobj:
                self._call(entry.data, events)

    def _call(self, callback: Callable, *arguments: int) -> None:
        # Against a defect of our own: one message that trips it must not take the conductor down.
        try:
            callback(*arguments)
        except Exception as err:  # noqa: BLE001
            self._on_defect(err)

    def close(self) -> None:
        self._timers.clear()
        self._selector.close()
