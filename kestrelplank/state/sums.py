"""Sums for reports: what attempts met at a node, and what became of ops of a slice."""

from dataclasses import dataclass


@dataclass(slots=True)
class AttemptSum:
    """Attempts that have ended.

    :param latency_ns: the sum of those that succeeded.
    """

    count: int = 0
    failed: int = 0
    latency_ns: int = 0

    def add(self, succeeded: bool, latency_ns: int) -> None:
        """Count an attempt that has ended."""
        self.count += 1
        if succeeded:
            self.latency_ns += latency_ns
        else:
            self.failed += 1

    def mean_latency_ns(self) -> float | None:
        """Return the mean of the attempts that succeeded; None where there was none."""
        succeeded = self.count - self.failed
        return self.latency_ns / succeeded if succeeded else None


@dataclass(slots=True)
class OpSum:
    """Ops that were asked for, and those among them that were aborted."""

    count: int = 0
    aborted: int = 0
