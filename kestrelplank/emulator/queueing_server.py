"""A server with a queue on a clock of its own: how long requests take is drawn, how long they wait follows."""

import math
from heapq import heappop, heappush

from kestrelplank.sharding.attempt_window import ServerReport


class QueueingServer:
    """Serves requests first come, first served, in `slots` at a time. Times are in seconds.

    What it saw since `begin_report` is kept as an edge machine would report it.

    :param speed: the work that it does in a second, as a multiple of the usual.
    """

    def __init__(self, slots: int, speed: float) -> None:
        self.slots = slots
        self.speed = speed
        self._slot_free_at = [0.0] * slots
        self._in_service: list[tuple[float, float, int]] = []  # when each ends, how long it took by then, its key
        self.begin_report()

    def begin_report(self) -> None:
        """Start counting anew."""
        self.attempts = 0
        self.answers = 0
        self._busy_slots = 0
        self._log_seconds = 0.0
        self._unqueued_answers = 0

    def report(self) -> ServerReport:
        """Return what was counted since the last report began."""
        return (
            self.attempts,
            0,
            float(self._busy_slots),
            self.answers,
            self._log_seconds,
            self._unqueued_answers,
        )

    def finish_until(self, until: float) -> None:
        """Answer all requests that end by then; each tells how busy the server is that it leaves."""
        while self._in_service and self._in_service[0][0] <= until:
            took = heappop(self._in_service)[1]
            self._busy_slots += min(len(self._in_service), self.slots)
            self.answers += 1
            if len(self._in_service) < self.slots:
                self._log_seconds += math.log(took)
                self._unqueued_answers += 1

    def serve(self, at: float, work: float, key: int = 0) -> float:
        """Take a request that comes at `at`; return when it ends."""
        self.finish_until(at)
        ends_at = max(at, heappop(self._slot_free_at)) + work / self.speed
        heappush(self._slot_free_at, ends_at)
        heappush(self._in_service, (ends_at, ends_at - at, key))
        self.attempts += 1
        return ends_at

    def free_of(self, first: int, last: int) -> float:
        """Return when all requests for these keys that it has now will have ended."""
        return max((ends_at for ends_at, _, key in self._in_service if first <= key <= last), default=0.0)
