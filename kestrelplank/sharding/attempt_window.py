"""How many attempts servers were sent lately, and how many of them failed."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from kestrelplank.sharding.request_window import WINDOW_NS

# What an edge machine measured of a server since its last report, as `transport.messages.LoadReport` carries it:
# attempts, failures, then the four numbers of `ServiceTimeEstimate.add`.
ServerReport = tuple[float, ...]


@dataclass(slots=True)
class AttemptSums:
    """Sums over the reports that name a server."""

    attempts: float = 0
    failures: float = 0
    reports: int = 0


class AttemptWindow:
    """Sums by server over all reports within `WINDOW_NS`.

    Guarded by `test_the_window_holds_the_sums_of_all_reports_in_it`.
    """

    def __init__(self) -> None:
        self.sums: dict[str, AttemptSums] = {}
        self._reports: deque[tuple[int, Mapping[str, ServerReport]]] = deque()

    def add(self, now: int, servers: Mapping[str, ServerReport]) -> None:
        """Take an edge machine's report, by server."""
        self._reports.append((now, servers))
        for name, (attempts, failures, *_) in servers.items():
            sums = self.sums.get(name)
            if sums is None:
                sums = self.sums[name] = AttemptSums()
            sums.attempts += attempts
            sums.failures += failures
            sums.reports += 1

    def advance(self, now: int) -> None:
        """Drop what has grown too old."""
        while self._reports and now - self._reports[0][0] >= WINDOW_NS:
            for name, (attempts, failures, *_) in self._reports.popleft()[1].items():
                sums = self.sums[name]
                sums.attempts -= attempts
                sums.failures -= failures
                sums.reports -= 1
                if not sums.reports:
                    del self.sums[name]
