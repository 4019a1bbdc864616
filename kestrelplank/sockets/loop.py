"""The event loop of a program: a selector, a heap of timers and a clock."""

import heapq
import selectors
import time
from collections.abc import Callable
from socket import socket

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MIN_TIMERS_TO_SWEEP = 128  # below this number cancelled timers stay in the heap until they are due
NS_PER_S = 1e9


class Timer:
    """A callback at an instant; a cancelled timer leaves the heap when it is due or when the heap is swept."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class Loop:
    """Runs callbacks of ready sockets and due timers; `on_defect` receives the exceptions that they raise."""

    def __init__(self, on_defect: Callable[[Exception], None]) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[int, int, Timer]] = []  # due at, number, timer
        self._timers_created, self._running, self._on_defect = 0, False, on_defect
        self._sweep_at_size = MIN_TIMERS_TO_SWEEP
        # Unix time is read once, so that setting the system clock does not shift instants that were converted before.
        self._unix_offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the current instant of the monotonic clock, in ns."""
        return time.monotonic_ns()

    def from_unix(self, unix_ns: int) -> int:
        """Return the instant of the monotonic clock for a Unix time, both in ns."""
        return unix_ns - self._unix_offset_ns

    def at(self, due_at: int, callback: Callable[[], None]) -> Timer:
        """Schedule a callback; callbacks of the same instant run in the order in which they were scheduled."""
        if len(self._timers) >= self._sweep_at_size:  # timers may be set and cancelled faster than they become due
            self._timers = [entry for entry in self._timers if entry[2].callback is not None]
            heapq.heapify(self._timers)
            self._sweep_at_size = max(MIN_TIMERS_TO_SWEEP, 2 * len(self._timers))
        timer = Timer(callback)
        self._timers_created += 1
        heapq.heappush(self._timers, (due_at, self._timers_created, timer))
        return timer

    def watch(self, sock: socket, events: int, callback: Callable[[int], None]) -> None:
        """Register a socket; the callback receives those of `events` that are ready."""
        self._selector.register(sock, events, callback)

    def change(self, sock: socket, events: int, callback: Callable[[int], None]) -> None:
        """Change the events and the callback of a registered socket."""
        self._selector.modify(sock, events, callback)

    def forget(self, sock: socket) -> None:
        """Unregister a socket."""
        self._selector.unregister(sock)

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self._running = False

    def run(self) -> None:
        """Run iterations until stopped."""
        self._running = True
        while self._running:
            self.run_once()

    def run_once(self) -> None:
        """Run one iteration: wait for a socket or a timer, then run the callbacks of ready sockets and due timers.

        Sockets are polled once more before due timers run: after a stall of the process, a response that arrived in
        time must not count as timed out. The first wait may return nothing if the process was stopped and resumed.
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
            # None if unregistered in this iteration; another socket if the descriptor was reused.
            entry = watched.get(key.fd)
            if entry is not None and entry.fileobj is key.fileobj:
                self._call(entry.data, events)

    def _call(self, callback: Callable[..., None], *arguments: int) -> None:
        # A bug that one message triggers must not end the program.
        try:
            callback(*arguments)
        except Exception as err:  # noqa: BLE001 - any exception is logged
            self._on_defect(err)

    def close(self) -> None:
        """Drop all timers and close the selector."""
        self._timers.clear()
        self._selector.close()
