"""Measurements of a rehearsal, all simulated: service, latencies, lost ops by cause, a timeline of each node."""

from collections import Counter
from collections.abc import Sequence
from math import isfinite

from kestrelplank.emulator.script import Script
from kestrelplank.state.sums import AttemptSum
from kestrelplank.time_units import MILLISECOND, SECOND

WINDOW_NS = 5 * SECOND
OP_COUNTS = ("asked", "in_time", "acked", "rejected", "aborted")
PERCENTILES = (50, 95, 99)


class ServiceScore:
    """Service: value acked within the latency target, divided by the value requested; counted by op, not by attempt."""

    def __init__(self, script: Script, started_at: int) -> None:
        self._op_types, self._names = list(script.op_types.values()), list(script.op_types)
        self._started_at, self._counted_from = started_at, started_at + script.site.settle
        self._value_asked, self._value_in_time = 0.0, 0.0
        self._windows: dict[int, list[float]] = {}  # value requested, and value acked in time
        self._counts: dict[str, Counter[str]] = {name: Counter() for name in self._names}
        self._latencies_ns: list[list[int]] = [[] for _ in self._names]
        self.lost_by_reason: Counter[str] = Counter()
        self._attempts: list[dict[int, AttemptSum]] = [{} for _ in range(script.site.nodes)]  # by node and second
        self.events: list[list[object]] = []
        self.fallen_nodes: list[int] = []
        self.ended_ops = 0
        self.latest_end_ns = 0  # longest time from an op's deadline to its end at a proxy
        self.acked_without_a_run = 0  # must stay 0

    def _window(self, at: int) -> list[float]:
        return self._windows.setdefault((at - self._started_at) // WINDOW_NS, [0.0, 0.0])

    # Recording.

    def op_requested(self, now: int, op_type: int) -> None:
        """Count an op that a client requests."""
        if now >= self._counted_from:
            value = self._op_types[op_type].value
            self._value_asked += value
            self._window(now)[0] += value
            self._counts[self._names[op_type]]["asked"] += 1

    def op_acked(self, now: int, op_type: int, requested_at: int, runs: int) -> None:
        """Count an op that has been acked.

        :param runs: how many times it has run.
        """
        self.acked_without_a_run += not runs
        if requested_at < self._counted_from:
            return
        settings, counts, latency_ns = self._op_types[op_type], self._counts[self._names[op_type]], now - requested_at
        counts["acked"] += 1
        self._latencies_ns[op_type].append(latency_ns)
        if latency_ns <= settings.target:
            counts["in_time"] += 1
            self._value_in_time += settings.value
            self._window(requested_at)[1] += settings.value

    def op_ended(self, late_ns: int) -> None:
        """Count an op's end at a proxy, `late_ns` after its deadline."""
        self.ended_ops += 1
        self.latest_end_ns = max(self.latest_end_ns, late_ns)

    def op_lost(self, now: int, op_type: int, verdict: str, reason: str) -> None:
        """Count an op that its client doesn't retry any more."""
        if now >= self._counted_from:
            self._counts[self._names[op_type]][verdict] += 1
            self.lost_by_reason[f"{verdict}: {reason}"] += 1

    def attempt_ended(self, now: int, node: int, succeeded: bool, latency_ns: int) -> None:
        """Count an attempt at a node."""
        self._attempts[node].setdefault((now - self._started_at) // SECOND, AttemptSum()).add(succeeded, latency_ns)

    def event(self, now: int, text: str, nodes: Sequence[int]) -> None:
        """Add an event to the report."""
        self.events.append([round((now - self._started_at) / SECOND, 3), text, nodes])

    # Reporting.

    @property
    def service(self) -> float:
        """The value acked in time, divided by the value requested."""
        return self._value_in_time / self._value_asked if self._value_asked else 1.0

    def report(self) -> dict[str, object]:
        """Return the report on service and lost ops."""
        worst = min((in_time / asked for asked, in_time in self._windows.values() if asked), default=1.0)
        return {
            "service": round(self.service, 6),
            "worst_5s": round(worst, 6),
            "op_types": {
                name: self._op_type_report(counts, sorted(latencies_ns))
                for (name, counts), latencies_ns in zip(self._counts.items(), self._latencies_ns)
            },
            "ended": self.ended_ops,
            "latest_end_ms": self.latest_end_ns / MILLISECOND,
            "lost": dict(sorted(self.lost_by_reason.items())),
            "fallen_nodes": self.fallen_nodes,
        }

    @staticmethod
    def _op_type_report(counts: Counter[str], latencies_ns: Sequence[int]) -> dict[str, object]:
        return {
            **{key: counts[key] for key in OP_COUNTS},
            **{f"p{percent:g}_ms": percentile_ms(latencies_ns, percent) for percent in PERCENTILES},
        }

    def timelines(self) -> list[list[list[object]]]:
        """Return for each node rows of second, attempts, failures and the mean ms of the successful attempts."""
        return [
            [self._timeline_row(second, sums) for second, sums in sorted(seconds.items())] for seconds in self._attempts
        ]

    @staticmethod
    def _timeline_row(second: int, sums: AttemptSum) -> list[object]:
        mean_ns = sums.mean_latency_ns()
        return [second, sums.count, sums.failed, None if mean_ns is None else round(mean_ns / MILLISECOND, 3)]


def percentile_ms(latencies_ns: Sequence[int], percent: float) -> float | None:
    """Return a percentile of sorted latencies, in ms; None if there are none."""
    if not latencies_ns:
        return None
    position = min(len(latencies_ns) - 1, int(percent / 100 * len(latencies_ns)))
    latency_ms = latencies_ns[position] / MILLISECOND
    return round(latency_ms, 3) if isfinite(latency_ms) else None
