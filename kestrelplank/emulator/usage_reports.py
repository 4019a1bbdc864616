"""Reports on attempts and ops to the assigners of a simulation: sums, delayed and limited in rate."""

from collections.abc import Sequence

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.environment import Environment
from kestrelplank.interface import NodeReport, SliceReport
from kestrelplank.state.sums import AttemptSum, OpSum
from kestrelplank.time_units import SECOND


class UsageReports:
    """Sums for each assigner: of attempts by zone of the proxy and node, and of ops by slice and op type."""

    def __init__(self, environment: Environment, assigners: Sequence[Assigner]) -> None:
        self._environment, self._assigners = environment, assigners
        self._random = environment.random("reports")
        count = environment.script.site.conductors
        self._attempts: list[dict[tuple[int, int], AttemptSum]] = [{} for _ in range(count)]
        self._ops: list[dict[tuple[int, int], OpSum]] = [{} for _ in range(count)]
        self._queues: list[list[NodeReport | SliceReport]] = [[] for _ in range(count)]

    def record_attempt(self, owner: int, zone: int, node: int, succeeded: bool, latency_ns: int) -> None:
        """Count an attempt for a slice of that assigner."""
        self._attempts[owner].setdefault((zone, node), AttemptSum()).add(succeeded, latency_ns)

    def op_sum(self, owner: int, slice_: int, op_type: int) -> OpSum:
        """Return the sum of an assigner for ops of that slice and op type."""
        return self._ops[owner].setdefault((slice_, op_type), OpSum())

    def close_window(self) -> None:
        """Report the window's sums to each assigner, within its rate limit, and start the next window."""
        settings, clock = self._environment.script.reports, self._environment.clock
        for assigner in self._assigners:
            number = assigner.number
            attempts, self._attempts[number] = self._attempts[number], {}
            ops, self._ops[number] = self._ops[number], {}
            if assigner.alive:
                self._queues[number] += self._reports(attempts, ops)
                self._send(assigner)
            else:
                self._queues[number].clear()
        clock.at(clock.now() + settings.every, self.close_window)

    def _reports(
        self, attempts: dict[tuple[int, int], AttemptSum], ops: dict[tuple[int, int], OpSum]
    ) -> list[NodeReport | SliceReport]:
        settings = self._environment.script.reports
        reports: list[NodeReport | SliceReport] = []
        for (zone, node), sums in attempts.items():
            noise = 1 + settings.noise * self._random.uniform(-1, 1)
            mean_ns = round((sums.mean_latency_ns() or 0) * noise) or None
            reports.append(NodeReport(node, zone, sums.count, sums.failed, mean_ns, settings.every, {}))
        for (slice_, op_type), op_sum in ops.items():
            reports.append(SliceReport(slice_, op_type, op_sum.count, op_sum.aborted, settings.every))
        return reports

    def _send(self, assigner: Assigner) -> None:
        settings, queue = self._environment.script.reports, self._queues[assigner.number]
        max_reports = max(1, settings.intake_per_s * settings.every // SECOND)
        delay_ns = self._random.randint(*settings.late)
        for report in queue[:max_reports]:
            assigner.notify(report, delay_ns)
        del queue[:max_reports]
