"""Sums for reports: what tries met at a node, and what became of ops of a slice."""

from dataclasses import dataclass


@dataclass(slots=True)
class TrySum:
    """`time` is that of the good tries, in ns."""

    count: int = 0
    failed: int = 0
    time: int = 0

    def add(self, good: bool, time: int) -> None:
        """A try has ended after that time (ns)."""
        self.count += 1
        if good:
            self.time += time
        else:
            self.failed += 1

    def mean(self) -> float | None:
        """The mean time (ns) of the good tries; None where there was none."""
        good = self.count - self.failed
        return self.time / good if good else None


@dataclass(slots=True)
class OpSum:
    """Ops that were asked for, and those among them that were aborted."""

    count: int = 0
    aborted: int = 0
