"""The life cycle of an op in a proxy: admission, choice of a node, waiting, at most one retry, and the final verdict.

An op is retried only with proof that its first attempt was not executed. Nothing here does I/O: the proxy carries out
the returned steps (`Send`, `Wait`, `End`). An op that has ended is answered at once, so that its caller can retry.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits
from kestrelplank.load_balancing.operations import (
    PROOFS_NOT_EXECUTED,
    UNREACHABLE,
    AttemptOutcome,
    End,
    EndReason,
    Op,
    Send,
    Step,
    Verdict,
    Wait,
)
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.retry_budget import RetryBudget
from kestrelplank.load_balancing.selection import (
    SelectionMethod,
    WeightedRoundRobin,
    less_loaded_of_two,
    rendezvous,
    weighted_random,
)
from kestrelplank.load_balancing.waiting_queue import WaitingQueue
from kestrelplank.load_balancing.weights import WeightedNodes
from kestrelplank.load_balancing.zone_preference import ZonePreference
from kestrelplank.state.tables import Tables


@dataclass(frozen=True, slots=True)
class AttemptSettings:
    """Settings for attempts.

    :param op_timeouts_ns: by op type.
    :param max_wait_ns: the longest time an op waits while its table has no available node; 0 rejects at once.
    :param proofs: outcomes that prove that an attempt was not executed. Only tests extend this, to inject a fault.
    """

    op_timeouts_ns: Sequence[int]
    selection: SelectionMethod
    max_wait_ns: int
    proofs: Sequence[AttemptOutcome] = PROOFS_NOT_EXECUTED


@dataclass(frozen=True, slots=True)
class OverloadControl:
    """Limits on the load sent to nodes: retries, ops in flight per node, and queued ops. None disables a limit."""

    retry_budget: RetryBudget | None = None
    limits: ConcurrencyLimits | None = None
    queue: WaitingQueue | None = None


class Attempts:
    """The ops of one proxy.

    If there is a queue, call `take_queued_steps` after a call of any other method, as that may release or displace
    queued ops.

    Invariants: no op is sent after an attempt that may have been executed, nor twice to one node (test
    `test_op_is_not_resent_after_an_attempt_that_may_have_run_or_to_the_same_node`); there is at most one retry (test
    `test_op_ends_after_its_second_attempt`).

    :param weight_factor: the fraction of its weight that a node has now, for slow start.
    :param zones: restricts candidates by zone; None for no preference.
    """

    def __init__(
        self,
        random: Random,
        tables: Tables,
        settings: AttemptSettings,
        ejection: OutlierEjection,
        overload: OverloadControl = OverloadControl(),  # noqa: B008 - the default is immutable
        weight_factor: Callable[[int], float] | None = None,
        zones: ZonePreference | None = None,
    ) -> None:
        self._random, self._tables, self._settings, self._ejection = random, tables, settings, ejection
        self._retry_budget, self._limits, self._queue = overload.retry_budget, overload.limits, overload.queue
        self._weight_factor, self._zones = weight_factor, zones
        self._queued: dict[int, Op] = {}  # waiting for capacity at a node, by op number
        self._waiting: dict[int, dict[int, Op]] = {}  # waiting for an available node, by table, then op number
        self._queued_steps: list[tuple[Op, Step]] = []
        self._round_robins: dict[int, WeightedRoundRobin] = {}  # by table
        self.in_flight: Counter[int] = Counter()  # attempts in flight, by node
        self.counts: Counter[str] = Counter()

    # The life cycle of an op.

    def submit(
        self, now: int, number: int, op_type: int, table: int, caller_timeout_ns: int | None = None, key: str = ""
    ) -> tuple[Op, Step]:
        """Admit a new op or reject it; return it with its first step.

        :param caller_timeout_ns: how long its caller waits; it applies if shorter than the op type's time-out.
        :param key: the key that determines the node under `SelectionMethod.KEY`.
        """
        self.counts["asked"] += 1
        timeout_ns = self._settings.op_timeouts_ns[op_type]
        if caller_timeout_ns is not None:
            timeout_ns = min(timeout_ns, caller_timeout_ns)
        op = Op(number, op_type, table, now + timeout_ns, key)
        if self._retry_budget:
            self._retry_budget.earn(op_type)
        admitted_share = self._tables.admitted_share(table, op_type)
        if admitted_share < 1.0 and self._random.random() >= admitted_share:
            return op, self._end(Verdict.REJECTED, EndReason.ADMISSION_LEVEL)
        node = self._choose(now, op)
        if node is not None:
            return op, self._send(now, op, node)
        if self._limits is not None and self._tables.available(table):
            return op, self._enqueue(now, op)
        return op, self._wait_for_node(now, op)

    def attempt_ended(self, now: int, op: Op, outcome: AttemptOutcome) -> Step:
        """Record the outcome of the attempt in flight; return the next step."""
        self._record_end(now, op, outcome)
        if outcome == AttemptOutcome.SUCCEEDED:
            return self._end(Verdict.ACKED, EndReason.NONE)
        if outcome not in self._settings.proofs:
            return self._end(Verdict.ABORTED, outcome)
        if len(op.attempted_nodes) > 1 or not self._tables.retry_mode(op.table):
            return self._end(Verdict.REJECTED, outcome)
        return self._retry(now, op)

    def _retry(self, now: int, op: Op) -> Step:
        if now >= op.deadline:
            return self._end(Verdict.REJECTED, EndReason.OP_TIMEOUT)
        node = self._choose(now, op)
        if node is None:
            return self._end(Verdict.REJECTED, EndReason.NO_OTHER_NODE)
        if self._retry_budget and not self._retry_budget.spend(op.op_type):
            return self._end(Verdict.REJECTED, EndReason.RETRY_BUDGET)
        self.counts["second_tries"] += 1
        return self._send(now, op, node)

    def abandon(self, now: int, op: Op, reason: EndReason | AttemptOutcome = EndReason.OP_TIMEOUT) -> End:
        """End an op whose deadline has passed, or whose caller has disconnected.

        The proxy closes an attempt in flight. That does not prove that it was not executed, so the op is not retried.
        """
        if op.node is None:
            self._stop_waiting(op)
            return self._end(Verdict.REJECTED, reason)
        self._record_end(now, op, AttemptOutcome.TIMED_OUT)
        return self._end(Verdict.ABORTED, reason)

    def wait_expired(self, op: Op) -> End:
        """End an op that has reached the end of its wait for a node or for capacity."""
        reason = EndReason.QUEUE_TIMEOUT if op.number in self._queued else EndReason.NO_NODE
        self._stop_waiting(op)
        return self._end(Verdict.REJECTED, reason)

    # Waiting ops that can be sent after a change.

    def tables_changed(self, now: int, tables: Iterable[int]) -> list[tuple[Op, Step]]:
        """Send the ops that waited for a node of these tables and now have one; return their steps.

        The steps are in the order of `tables`, and for each table in the order in which the ops arrived.
        """
        steps: list[tuple[Op, Step]] = []
        for table in tables if self._waiting else ():
            for op in list(self._waiting.get(table, {}).values()):
                node = self._choose(now, op)
                if node is not None:
                    self._stop_waiting(op)
                    steps.append((op, self._send(now, op, node)))
        return steps

    def take_queued_steps(self, now: int) -> list[tuple[Op, Step]]:
        """Send queued ops for which there is capacity; return the steps of these and of displaced ops."""
        if self._queued and self._queue is not None:
            self._queue.release(lambda number: self._send_queued(now, self._queued[number]))
        queued_steps, self._queued_steps = self._queued_steps, []
        return queued_steps

    def _send_queued(self, now: int, op: Op) -> bool:
        """Send a queued op if a node has capacity for it; return whether it was sent."""
        node = self._choose(now, op)
        if node is None:
            return False
        del self._queued[op.number]
        op.waits_until = None
        self._queued_steps.append((op, self._send(now, op, node)))
        return True

    # Waiting for a node or for capacity.

    def waiting_count(self) -> int:
        """Return the number of ops that wait for a node or for capacity."""
        return sum(map(len, self._waiting.values())) + len(self._queued)

    def _wait_for_node(self, now: int, op: Op) -> Wait | End:
        if not self._settings.max_wait_ns:
            return self._end(Verdict.REJECTED, EndReason.NO_NODE)
        op.waits_until = min(now + self._settings.max_wait_ns, op.deadline)
        self._waiting.setdefault(op.table, {})[op.number] = op
        return Wait(op.waits_until)

    def _enqueue(self, now: int, op: Op) -> Wait | End:
        until: int | None = None
        displaced: list[int] = []
        if self._queue is not None:
            until, displaced = self._queue.enqueue(now, op.number, op.op_type, op.deadline)
        for number in displaced:
            other = self._queued.pop(number)
            other.waits_until = None
            self._queued_steps.append((other, self._end(Verdict.REJECTED, EndReason.DISPLACED)))
        if until is None:
            return self._end(Verdict.REJECTED, EndReason.QUEUE_FULL)
        op.waits_until = until
        self._queued[op.number] = op
        return Wait(until)

    def _stop_waiting(self, op: Op) -> None:
        op.waits_until = None
        if self._queued.pop(op.number, None) is not None:
            if self._queue is not None:
                self._queue.remove(op.number)
            return
        waiting = self._waiting.get(op.table, {})
        waiting.pop(op.number, None)
        if not waiting:
            self._waiting.pop(op.table, None)

    # Node selection.

    def _choose(self, now: int, op: Op) -> int | None:
        """Return the node for the next attempt, or None if there is no candidate."""
        candidates = self._candidates(now, op)
        if not candidates:
            return None
        if self._weight_factor and len(candidates) > 1:
            candidates = [(node, weight * self._weight_factor(node)) for node, weight in candidates]
        selection = self._settings.selection
        if selection is SelectionMethod.KEY:
            return rendezvous(op.key, candidates)
        if selection is SelectionMethod.TWO_CHOICES:
            return less_loaded_of_two(self._random, candidates, self.in_flight)
        if selection is SelectionMethod.ROUND_ROBIN:
            return self._round_robins.setdefault(op.table, WeightedRoundRobin()).select(candidates)
        return weighted_random(self._random, candidates)

    def _candidates(self, now: int, op: Op) -> WeightedNodes:
        """Return the eligible nodes: not yet attempted, with capacity, and preferably not ejected."""
        candidates: WeightedNodes = self._tables.available(op.table)
        if op.attempted_nodes:
            candidates = [candidate for candidate in candidates if candidate[0] not in op.attempted_nodes]
        if self._zones is not None and candidates:
            candidates = self._zones.eligible(now, candidates)
        if self._limits:
            limits, op_type = self._limits, op.op_type
            candidates = [candidate for candidate in candidates if limits.has_capacity(candidate[0], op_type)]
        return self._ejection.without_ejected(now, candidates) if candidates else candidates

    # Attempts in flight and final verdicts.

    def _send(self, now: int, op: Op, node: int) -> Send:
        op.node, op.attempted_nodes, op.sent_at = node, (*op.attempted_nodes, node), now
        self.in_flight[node] += 1
        if self._limits:
            self._limits.attempt_started(node, op.op_type)
        if self._zones is not None:
            self._zones.attempt_started(node)
        return Send(node)

    def _record_end(self, now: int, op: Op, outcome: AttemptOutcome) -> None:
        """Record that the op's attempt is no longer in flight, and its outcome."""
        node = op.node
        assert node is not None, "attempt ended for an op that has no attempt in flight"
        succeeded = outcome == AttemptOutcome.SUCCEEDED
        if self._zones is not None:
            self._zones.attempt_ended(now, node, outcome not in UNREACHABLE)
        if self._limits:
            self._limits.attempt_ended(node, op.op_type, now - op.sent_at if succeeded else None)
        self.in_flight[node] -= 1
        if not self.in_flight[node]:
            del self.in_flight[node]
        self._ejection.record_attempt(now, node, succeeded)
        op.node = None

    def _end(self, verdict: Verdict, reason: EndReason | AttemptOutcome) -> End:
        self.counts[verdict] += 1
        return End(verdict, reason)
