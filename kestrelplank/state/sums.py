"""Counters for reports: results of attempts at a node, and of the ops of a slice."""

from dataclasses import dataclass


@dataclass(slots=True)
class AttemptSum:
    """Completed attempts.

    :param latency_ns: total latency of the attempts that succeeded.
    """

    count: int = 0
    failed: int = 0
    latency_ns: int = 0

    def add(self, succeeded: bool, latency_ns: int) -> None:
        """Count a completed attempt."""
        self.count += 1
        if succeeded:
            self.latency_ns += latency_ns
        else:
            self.failed += 1

    def mean_latency_ns(self) -> float | None:
        """Return the mean latency of the attempts that succeeded; None if there was none."""
        succeeded = self.count - self.failed
        return self.latency_ns / succeeded if succeeded else None


@dataclass(slots=True)
class OpSum:
    """Requested ops, and how many of them were aborted."""

    count: int = 0
    aborted: int = 0
