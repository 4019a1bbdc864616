"""Recent attempts and failures by server."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from kestrelplank.sharding.request_window import WINDOW_NS

# An edge machine's measurements of a server since its last report, as in `transport.messages.LoadReport`:
# attempts, failures, then the four measurements that `ServiceTimeEstimate.add` takes.
ServerReport = tuple[float, ...]


@dataclass(slots=True)
class AttemptSums:
    """Sums over the reports that include a server."""

    attempts: float = 0
    failures: float = 0
    reports: int = 0


class AttemptWindow:
    """Sums by server over all reports received within `WINDOW_NS`.

    Tested by `test_window_sums_equal_the_sums_of_the_reports_in_the_window`.
    """

    def __init__(self) -> None:
        self.sums: dict[str, AttemptSums] = {}
        self._reports: deque[tuple[int, Mapping[str, ServerReport]]] = deque()

    def add(self, now: int, servers: Mapping[str, ServerReport]) -> None:
        """Add an edge machine's report.

        :param servers: its measurements by server name.
        """
        self._reports.append((now, servers))
        for name, (attempts, failures, *_) in servers.items():
            sums = self.sums.get(name)
            if sums is None:
                sums = self.sums[name] = AttemptSums()
            sums.attempts += attempts
            sums.failures += failures
            sums.reports += 1

    def advance(self, now: int) -> None:
        """Remove reports that are older than the window."""
        while self._reports and now - self._reports[0][0] >= WINDOW_NS:
            for name, (attempts, failures, *_) in self._reports.popleft()[1].items():
                sums = self.sums[name]
                sums.attempts -= attempts
                sums.failures -= failures
                sums.reports -= 1
                if not sums.reports:
                    del self.sums[name]
