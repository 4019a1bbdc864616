"""Estimates a server's service time, which excludes the time that a request is queued."""

import math
from collections.abc import Sequence

RETENTION_PER_PERIOD = 0.985  # share of an estimate's weight that is kept from one report period to the next


class ServiceTimeEstimate:
    """A server's service time, by two methods whose errors are independent.

    The first is Little's law: mean requests in service divided by answers a second; the requests in service are sampled
    when answers leave, which gives the mean over time (PASTA and level crossing). The second is the mean logarithm of
    the times of answers that left no queue behind; the logarithm limits the influence of single long times.

    `busy_s`: sum of the times that slots were busy, in s. `answers`: number of answers that it was measured with.
    `log_seconds`: sum of the logarithms of the times in s of answers that left no queue. `unqueued_answers`: number of
    these answers. All four are weighted by age.
    """

    __slots__ = ("busy_s", "answers", "log_seconds", "unqueued_answers")

    def __init__(self, recorded: Sequence[float] = (0.0, 0.0, 0.0, 0.0)) -> None:
        self.busy_s, self.answers, self.log_seconds, self.unqueued_answers = recorded

    def to_record(self) -> list[float]:
        """Return the four sums, for the next leader's estimate."""
        return [round(sum_, 2) for sum_ in (self.busy_s, self.answers, self.log_seconds, self.unqueued_answers)]

    def add(
        self, period_s: float, busy_slots: float, answers: float, log_seconds: float, unqueued_answers: float
    ) -> None:
        """Add the measurements of one period.

        :param busy_slots: sum over `answers` of the number of slots that were busy when the answer left.
        :param log_seconds: sum of the logarithms of the times in s of the `unqueued_answers`, which left no queue.
        """
        busy_s = busy_slots / answers * period_s if answers else 0.0
        self.busy_s = self.busy_s * RETENTION_PER_PERIOD + busy_s
        self.answers = self.answers * RETENTION_PER_PERIOD + answers
        self.log_seconds = self.log_seconds * RETENTION_PER_PERIOD + log_seconds
        self.unqueued_answers = self.unqueued_answers * RETENTION_PER_PERIOD + unqueued_answers

    def sample_size(self) -> float:
        """Return the weighted number of answers in the estimate; 0 until one is measured with a busy slot."""
        return self.answers + self.unqueued_answers if self.answers and self.busy_s > 0 else 0.0

    def log_service_time(self, log_offset: float) -> float:
        """Return the logarithm of the service time in seconds.

        :param log_offset: logarithm of all servers' mean time, less the mean of the logarithms.
        """
        by_load = self.answers * math.log(self.busy_s / self.answers)
        return (by_load + self.log_seconds + log_offset * self.unqueued_answers) / self.sample_size()
