"""How long a server works on a request, without the time in its queue."""

import math
from collections.abc import Sequence

RETENTION_PER_PERIOD = 0.985  # of what is known of a server, from one report period to the next


class ServiceTimeEstimate:
    """A server's service time, by two methods whose errors are independent.

    Little's law: requests in service over answers a second, as an answer that leaves sees the same queue as time does
    (PASTA, and level crossing). And the times of answers that left no queue behind, by the mean of their logarithms,
    which a single long one does not spoil.

    `busy_s`: seconds that slots were busy, in sum. `answers`: the answers that this was measured by.
    `log_seconds`: of the answers that left no queue, the logarithms of their seconds in sum. `unqueued_answers`: how
    many these are. All are weighted by age.
    """

    __slots__ = ("busy_s", "answers", "log_seconds", "unqueued_answers")

    def __init__(self, recorded: Sequence[float] = (0.0, 0.0, 0.0, 0.0)) -> None:
        self.busy_s, self.answers, self.log_seconds, self.unqueued_answers = recorded

    def to_record(self) -> list[float]:
        """Return what is known, for the next leader's estimate."""
        return [round(sum_, 2) for sum_ in (self.busy_s, self.answers, self.log_seconds, self.unqueued_answers)]

    def add(
        self, period_s: float, busy_slots: float, answers: float, log_seconds: float, unqueued_answers: float
    ) -> None:
        """Take what was measured by the answers of one period.

        :param busy_slots: the slots that were busy as each of `answers` left, in sum.
        :param log_seconds: of the `unqueued_answers`, those that left no queue, the logarithms of their seconds in sum.
        """
        busy_s = busy_slots / answers * period_s if answers else 0.0
        self.busy_s = self.busy_s * RETENTION_PER_PERIOD + busy_s
        self.answers = self.answers * RETENTION_PER_PERIOD + answers
        self.log_seconds = self.log_seconds * RETENTION_PER_PERIOD + log_seconds
        self.unqueued_answers = self.unqueued_answers * RETENTION_PER_PERIOD + unqueued_answers

    def evidence(self) -> float:
        """Return how many answers the estimate rests on; 0 before the first that shows a load."""
        return self.answers + self.unqueued_answers if self.answers and self.busy_s > 0 else 0.0

    def log_service_time(self, log_offset: float) -> float:
        """Return the logarithm of the service time in seconds.

        :param log_offset: by how much the mean of all servers' logarithms lies below the logarithm of their mean time.
        """
        by_load = self.answers * math.log(self.busy_s / self.answers)
        return (by_load + self.log_seconds + log_offset * self.unqueued_answers) / self.evidence()
