"""The one loop of a program: a selector, a heap of timers, a clock. Everything else is called back from here."""

import heapq
import selectors
import time
from collections.abc import Callable
from socket import socket

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
FEWEST_TIMERS_SWEPT = 128  # that are held without looking whether they are still wanted
NS_PER_S = 1e9


class Timer:
    """One call at a time to come; cancelled, it is forgotten when it falls due, or when many are."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Call nothing."""
        self.callback = None


class Loop:
    """Calls back what is ready and what is due. `on_defect` takes what a callback raises."""

    def __init__(self, on_defect: Callable[[Exception], None]) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[int, int, Timer]] = []  # due at, number, timer
        self._timers_made, self._running, self._on_defect = 0, False, on_defect
        self._sweep_at_size = FEWEST_TIMERS_SWEPT
        # Unix time is read once, so that a clock that is set while we run shifts no instant that was told to us.
        self._unix_offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the instant of the steady clock, in ns."""
        return time.monotonic_ns()

    def from_unix(self, unix_ns: int) -> int:
        """Return the instant of the steady clock for a Unix time."""
        return unix_ns - self._unix_offset_ns

    def at(self, due_at: int, callback: Callable[[], None]) -> Timer:
        """Call back at an instant; those of one instant in the order of asking."""
        if len(self._timers) >= self._sweep_at_size:  # deadlines may be set and met faster than they fall due
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._sweep_at_size = max(FEWEST_TIMERS_SWEPT, 2 * len(self._timers))
        timer = Timer(callback)
        self._timers_made += 1
        heapq.heappush(self._timers, (due_at, self._timers_made, timer))
        return timer

    def watch(self, sock: socket, events: int, callback: Callable[[int], None]) -> None:
        """Call back with the events for which a socket is ready, out of these."""
        self._selector.register(sock, events, callback)

    def change(self, sock: socket, events: int, callback: Callable[[int], None]) -> None:
        """Watch a watched socket for other events."""
        self._selector.modify(sock, events, callback)

    def forget(self, sock: socket) -> None:
        """Watch a socket no longer."""
        self._selector.unregister(sock)

    def stop(self) -> None:
        """End `run` after the present turn."""
        self._running = False

    def run(self) -> None:
        """Turn until stopped."""
        self._running = True
        while self._running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for what comes first, and call back what is ready and what is due.

        What has arrived is read before any deadline is held against it: after a stall of ours an answer that came in
        time must not count as missing. So the selector is asked again before timers are called; stopped and resumed
        while it waits, it says that nothing came.
        """
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        self._call_ready(max(0, self._timers[0][0] - self.now()) / NS_PER_S if self._timers else None)
        now = self.now()
        if self._timers and self._timers[0][0] <= now:
            self._call_ready(0)
        while self._timers and self._timers[0][0] <= now:
            callback = heapq.heappop(self._timers)[2].callback
            if callback is not None:
                self._call(callback)

    def _call_ready(self, timeout_s: float | None) -> None:
        watched = self._selector.get_map()
        for key, events in self._selector.select(timeout_s):
            entry = watched.get(key.fd)  # forgotten earlier in this turn, or its number given to another since
            if entry is not None and entry.fileobj is key.fileobj:
                self._call(entry.data, events)

    def _call(self, callback: Callable[..., None], *arguments: int) -> None:
        # Against a defect of our own: one message that trips it must not take the program down.
        try:
            callback(*arguments)
        except Exception as err:  # noqa: BLE001  whatever it is
            self._on_defect(err)

    def close(self) -> None:
        """Forget all timers and sockets."""
        self._timers.clear()
        self._selector.close()
