"""A server with a queue on a simulated clock: the waiting times follow from the work of the requests."""

import math
from heapq import heappop, heappush

from kestrelplank.sharding.attempt_window import ServerReport


class QueueingServer:
    """Serves requests in order of arrival, `slots` at a time. Times are in seconds.

    Counts requests since `begin_report`, for a report like that of an edge machine.

    :param speed: work done per second, relative to the usual speed.
    """

    def __init__(self, slots: int, speed: float) -> None:
        self.slots = slots
        self.speed = speed
        self._slot_free_at = [0.0] * slots
        self._in_service: list[tuple[float, float, int]] = []  # end, total duration and key of each request
        self.begin_report()

    def begin_report(self) -> None:
        """Reset the counts."""
        self.attempts = 0
        self.answers = 0
        self._busy_slots = 0
        self._log_seconds = 0.0
        self._unqueued_answers = 0

    def report(self) -> ServerReport:
        """Return the counts since `begin_report`."""
        return (
            self.attempts,
            0,
            float(self._busy_slots),
            self.answers,
            self._log_seconds,
            self._unqueued_answers,
        )

    def finish_until(self, until: float) -> None:
        """End all requests that are due by then; each adds the number of slots that stay busy."""
        while self._in_service and self._in_service[0][0] <= until:
            duration = heappop(self._in_service)[1]
            self._busy_slots += min(len(self._in_service), self.slots)
            self.answers += 1
            if len(self._in_service) < self.slots:
                self._log_seconds += math.log(duration)
                self._unqueued_answers += 1

    def serve(self, at: float, work: float, key: int = 0) -> float:
        """Queue a request that arrives at `at`; return when it ends."""
        self.finish_until(at)
        ends_at = max(at, heappop(self._slot_free_at)) + work / self.speed
        heappush(self._slot_free_at, ends_at)
        heappush(self._in_service, (ends_at, ends_at - at, key))
        self.attempts += 1
        return ends_at

    def keys_idle_at(self, first: int, last: int) -> float:
        """Return when the last of the present requests for these keys ends."""
        return max((ends_at for ends_at, _, key in self._in_service if first <= key <= last), default=0.0)
