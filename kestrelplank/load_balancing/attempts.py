"""What a proxy does with one op: admit it, choose a node, wait for one, retry once and only with proof, or give up.

The proxy acts on the steps returned here (`Send`, `Wait`, `End`); nothing here sends or waits. An op that has ended is
answered at once: holding the answer back would only stop the caller from asking again.
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
    """How ops are attempted.

    :param op_timeouts_ns: by op type.
    :param max_wait_ns: the longest wait for a node of a table that has none; 0 rejects at once.
    :param proofs: outcomes that prove that an attempt never ran. Only tests may widen this, to plant a fault.
    """

    op_timeouts_ns: Sequence[int]
    selection: SelectionMethod
    max_wait_ns: int
    proofs: Sequence[AttemptOutcome] = PROOFS_NOT_EXECUTED


@dataclass(frozen=True, slots=True)
class OverloadControl:
    """What bounds the work that is sent: retries, ops in flight at a node, ops that wait for capacity."""

    retry_budget: RetryBudget | None = None
    limits: ConcurrencyLimits | None = None
    queue: WaitingQueue | None = None


class Attempts:
    """The ops of one proxy.

    Where there is a queue, call `take_queued_steps` after each of the other calls: what one op does may settle others.

    Invariants: no op is sent after an attempt that may have run, nor twice to one node (test
    `test_no_op_is_sent_after_an_attempt_that_may_have_run_nor_twice_to_one_node`); there is at most one retry (test
    `test_there_is_no_third_attempt`).

    :param weight_factor: the share of its weight that a node is given as yet.
    :param zones: the preference among zones, where there is one.
    """

    def __init__(
        self,
        random: Random,
        tables: Tables,
        settings: AttemptSettings,
        ejection: OutlierEjection,
        overload: OverloadControl = OverloadControl(),  # noqa: B008 - it is frozen
        weight_factor: Callable[[int], float] | None = None,
        zones: ZonePreference | None = None,
    ) -> None:
        self._random, self._tables, self._settings, self._ejection = random, tables, settings, ejection
        self._retry_budget, self._limits, self._queue = overload.retry_budget, overload.limits, overload.queue
        self._weight_factor, self._zones = weight_factor, zones
        self._queued: dict[int, Op] = {}  # those that wait for capacity, by number
        self._waiting: dict[int, dict[int, Op]] = {}  # those that wait for a node, by table, in order of arrival
        self._settled: list[tuple[Op, Step]] = []
        self._round_robins: dict[int, WeightedRoundRobin] = {}  # by table
        self.in_flight: Counter[int] = Counter()  # attempts, by node
        self.counts: Counter[str] = Counter()

    # What happens to an op.

    def submit(
        self, now: int, number: int, op_type: int, table: int, caller_timeout_ns: int | None = None, key: str = ""
    ) -> tuple[Op, Step]:
        """Take a new op.

        :param caller_timeout_ns: how long its caller waits, where that is less than its op timeout.
        :param key: what its node is chosen by where nodes are chosen by key.
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
        """Take the outcome of the attempt that was in flight."""
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
        """End an op whose time is over, or whose caller has gone.

        An attempt in flight may yet run: the proxy closes it, which is no proof, and the op is never sent again.
        """
        if op.node is None:
            self._stop_waiting(op)
            return self._end(Verdict.REJECTED, reason)
        self._record_end(now, op, AttemptOutcome.TIMED_OUT)
        return self._end(Verdict.ABORTED, reason)

    def wait_expired(self, op: Op) -> End:
        """End an op whose wait for a node, or for capacity at one, is over."""
        reason = EndReason.QUEUE_TIMEOUT if op.number in self._queued else EndReason.NO_NODE
        self._stop_waiting(op)
        return self._end(Verdict.REJECTED, reason)

    # What happens to others meanwhile.

    def tables_changed(self, now: int, tables: Iterable[int]) -> list[tuple[Op, Step]]:
        """Return what becomes of ops that wait for a node of these tables and now get one, in order of arrival."""
        steps: list[tuple[Op, Step]] = []
        for table in tables if self._waiting else ():
            for op in list(self._waiting.get(table, {}).values()):
                node = self._choose(now, op)
                if node is not None:
                    self._stop_waiting(op)
                    steps.append((op, self._send(now, op, node)))
        return steps

    def take_queued_steps(self, now: int) -> list[tuple[Op, Step]]:
        """Return what the last calls have settled of queued ops: displaced, or sent as there is capacity now."""
        if self._queued and self._queue is not None:
            self._queue.release(lambda number: self._send_queued(now, self._queued[number]))
        settled, self._settled = self._settled, []
        return settled

    def _send_queued(self, now: int, op: Op) -> bool:
        """Send an op that waits for capacity, if some node has it; return whether one has."""
        node = self._choose(now, op)
        if node is None:
            return False
        del self._queued[op.number]
        op.waits_until = None
        self._settled.append((op, self._send(now, op, node)))
        return True

    # Ops that wait.

    def waiting_count(self) -> int:
        """Return how many ops wait, for a node or for capacity."""
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
            self._settled.append((other, self._end(Verdict.REJECTED, EndReason.DISPLACED)))
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

    # The choice of a node.

    def _choose(self, now: int, op: Op) -> int | None:
        """Return the node for the next attempt; None where there is none."""
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
        """Return the nodes that the op may go to now: not attempted yet, with capacity, preferably not ejected."""
        candidates: WeightedNodes = self._tables.available(op.table)
        if op.attempted_nodes:
            candidates = [candidate for candidate in candidates if candidate[0] not in op.attempted_nodes]
        if self._zones is not None and candidates:
            candidates = self._zones.eligible(now, candidates)
        if self._limits:
            limits, op_type = self._limits, op.op_type
            candidates = [candidate for candidate in candidates if limits.has_capacity(candidate[0], op_type)]
        return self._ejection.without_ejected(now, candidates) if candidates else candidates

    # Attempts in flight, and the end.

    def _send(self, now: int, op: Op, node: int) -> Send:
        op.node, op.attempted_nodes, op.sent_at = node, (*op.attempted_nodes, node), now
        self.in_flight[node] += 1
        if self._limits:
            self._limits.attempt_started(node, op.op_type)
        if self._zones is not None:
            self._zones.attempt_started(node)
        return Send(node)

    def _record_end(self, now: int, op: Op, outcome: AttemptOutcome) -> None:
        """Take note that the op's attempt is no longer in flight."""
        node = op.node
        assert node is not None, "an attempt has ended that was never sent"
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
