"""Sums for reports: what attempts met at a node, and what became of ops of a slice."""

from dataclasses import dataclass


@dataclass(slots=True)
class TrySum:
    """`time` is that of the good attempts, in ns."""

    count: int = 0
    failed: int = 0
    time: int = 0

    def add(self, good: bool, time: int) -> None:
        """Count an attempt that has ended.

        :param time: ns that it took.
        """
        self.count += 1
        if good:
            self.time += time
        else:
            self.failed += 1

    def mean(self) -> float | None:
        """Return the mean time (ns) of the good attempts; None where there was none."""
        good = self.count - self.failed
        return self.time / good if good else None


@dataclass(slots=True)
class OpSum:
    """Ops that were asked for, and those among them that were aborted."""

    count: int = 0
    aborted: int = 0
