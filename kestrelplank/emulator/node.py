"""An emulated order node without I/O: cores, slots, a queue, warm-up, a cache of keys, and faults.

All running ops share the cores evenly, so they advance at the same pace (processor sharing). The node's progress is the
work that an op running since the beginning would have received; an op ends when the progress has grown by the op's
work since it began. A step costs O(log n) in the number of running ops. The work done per ns is the pace times the
number of running ops, at most cores x speed.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from random import Random

from kestrelplank.emulator.node_faults import NodeFaultKind, NodeFaults
from kestrelplank.emulator.script_sections import NodeKind
from kestrelplank.time_units import MILLISECOND

COLD_STEP_NS = 50 * MILLISECOND  # longest time between steps of a cold node, as its pace grows
OVERLOAD_TOLERANCE = 1.1  # factor on the budget of a cold node, for random variation of the load
COMPLETION_TOLERANCE = 0.5  # ns of work that may be missing at an op's end


class OfferResult(Enum):
    """The result of offering an op to a node."""

    TAKEN = "taken"
    NOT_STARTED = "not started"
    FAILED = "failed"


class NodeOp:
    """An op at a node; it ends when the node's progress reaches `ends_at`."""

    __slots__ = ("number", "op_type", "work", "ends_at")

    def __init__(self, number: int, op_type: int, work: float) -> None:
        self.number, self.op_type, self.work, self.ends_at = number, op_type, work, 0.0


class EmulatedNode:
    """One node.

    A node that is `down` refuses connections; one that is `silent` accepts data and never answers.

    Invariants: no more ops run than there are slots, and no more work is done than the cores can do (test
    `test_work_done_is_at_most_cores_times_time_and_every_acked_op_has_run_once`).

    :param on_run: called with number and op type when an op begins to run; from then on its effect counts as done.
    :param on_fall: called when the node fails because it was overloaded while cold.
    """

    def __init__(
        self, kind: NodeKind, random: Random, now: int, on_run: Callable[[int, int], None], on_fall: Callable[[], None]
    ) -> None:
        self.kind, self._random, self._on_run, self._on_fall = kind, random, on_run, on_fall
        self._progress, self._advanced_at, self._started_at = 0.0, now, now
        self._warming_from: float | None = None  # `work_done` at its start; None: it is warm
        self._running: list[tuple[float, int, NodeOp]] = []
        self._waiting: dict[int, NodeOp] = {}
        # While cold, by attempt: time, work, and that work again if its sender could know of the start (else 0).
        self._sent: deque[tuple[int, float, float]] = deque()
        self._sent_work, self._start_known_work, self._last_order = 0.0, 0.0, 0
        self._key_seen_at: dict[int, int] = {}
        self.faults = NodeFaults()
        self.down, self.fallen, self.work_done = False, False, 0.0
        self.worst_overload = 0.0  # as a multiple of the budget, where most senders could know of the start
        self.counts: Counter[str] = Counter()

    # Faults and the process.

    def add_fault(self, now: int, name: object, kind: NodeFaultKind, strength: float) -> None:
        """Add a fault, which is active until it is removed by its name."""
        self._advance(now)
        self.faults.add(name, kind, strength)

    def remove_fault(self, now: int, name: object) -> None:
        """Remove a fault, if it is active."""
        self._advance(now)
        self.faults.remove(name)
        self._fill_slots()

    @property
    def silent(self) -> bool:
        """Whether the node is unreachable."""
        return self.faults.has(NodeFaultKind.SILENT)

    def kill(self, now: int) -> None:
        """End the process; all its ops and cached keys are lost."""
        self._advance(now)
        self.down = True
        self._running, self._waiting = [], {}
        self._key_seen_at.clear()

    def start(self, now: int, *, keeps_queue: bool = False) -> None:
        """Start the process, which is cold, unless the node has failed from overload.

        :param keeps_queue: keep the queued ops, for a node that was only unreachable.
        """
        if self.fallen:
            return
        self._advance(now)
        waiting = self._waiting if keeps_queue else {}
        self.kill(now)
        self.down, self._started_at, self._warming_from, self._waiting = False, now, self.work_done, waiting
        self._sent.clear()
        self._sent_work = self._start_known_work = 0.0
        self._fill_slots()

    # Progress.

    def capacity_share(self, now: int) -> float:
        """Return the share of full capacity that the node has reached in its warm-up."""
        kind = self.kind
        if self._warming_from is None:
            return 1.0
        if kind.warm_work:
            warmed = (self.work_done - self._warming_from) / kind.warm_work
        else:
            warmed = (now - self._started_at) / kind.warm_up if kind.warm_up else 1.0
        return min(1.0, kind.cold_from + (1 - kind.cold_from) * warmed)

    def _pace(self, capacity_share: float) -> float:
        """Return the work that each running op receives per ns."""
        if not self._running or self.down or self.faults.is_frozen:
            return 0.0
        share_of_cores = min(1.0, self.kind.cores / len(self._running))
        return self.kind.speed * capacity_share * share_of_cores / self.faults.slowdown()

    def _advance(self, now: int) -> None:
        if now <= self._advanced_at:
            return
        share = 1.0
        if self._warming_from is not None:
            share = (self.capacity_share(self._advanced_at) + self.capacity_share(now)) / 2
        done = self._pace(share) * (now - self._advanced_at)
        self._progress += done
        self.work_done += done * len(self._running)
        self._advanced_at = now
        if self._warming_from is not None and self.capacity_share(now) >= 1.0:
            self._warming_from = None

    # Ops.

    def offer(
        self,
        now: int,
        number: int,
        op_type: int,
        work: float,
        key: int,
        *,
        new_connection: bool,
        start_known: bool = True,
    ) -> OfferResult:
        """Queue one attempt of an op, or reject it.

        :param work: at a node that does not have the op's key cached, in ns of one core at speed 1.
        :param start_known: whether the sender could know of the node's last start.
        """
        self._advance(now)
        self._count_cold_load(now, work, work if start_known else 0.0)
        if self.down:
            return OfferResult.NOT_STARTED
        if self.faults.has(NodeFaultKind.FAIL) and self._random.random() < self.faults.strongest(NodeFaultKind.FAIL):
            return self._counted(OfferResult.FAILED)
        if len(self._waiting) >= self.kind.room and not self.faults.is_frozen:
            return self._counted(OfferResult.NOT_STARTED)
        work = self._work_with_key(now, work, key) + (self.kind.connection if new_connection else 0)
        self._waiting[number] = NodeOp(number, op_type, work)
        self._fill_slots()
        return self._counted(OfferResult.TAKEN)

    def _counted(self, result: OfferResult) -> OfferResult:
        self.counts[result.value] += 1
        return result

    def _work_with_key(self, now: int, work: float, key: int) -> float:
        """Return the op's work, which is less for a cached key, and cache the key."""
        if now - self._key_seen_at.pop(key, -self.kind.key_for) < self.kind.key_for:
            work *= 1 - self.kind.key_gain
        self._key_seen_at[key] = now
        if len(self._key_seen_at) > self.kind.keys:
            del self._key_seen_at[next(iter(self._key_seen_at))]
        return work

    def _count_cold_load(self, now: int, work: float, start_known_work: float) -> None:
        """Count work sent to a cold node; the node fails if it exceeds its budget.

        The budget for the work sent within any `tip_after` is `fall_multiple` times what the node can do in that time
        at its present capacity. All work counts for the failure; the rule is broken only where senders of at least two
        thirds of it could know of the node's start.
        """
        if self._warming_from is None or self.down:
            return
        kind = self.kind
        self._sent.append((now, work, start_known_work))
        self._sent_work += work
        self._start_known_work += start_known_work
        while self._sent[0][0] <= now - kind.tip_after:
            _, old_work, old_start_known_work = self._sent.popleft()
            self._sent_work -= old_work
            self._start_known_work -= old_start_known_work
        capacity = kind.cores * kind.speed * self.capacity_share(now)
        budget = kind.fall_multiple * capacity * kind.tip_after * OVERLOAD_TOLERANCE
        overload = self._sent_work / budget if kind.tip_after else 0.0
        if self._start_known_work * 3 >= self._sent_work * 2:
            self.worst_overload = max(self.worst_overload, overload)
        if overload > 1:
            self.kill(now)
            self.fallen = True
            self._on_fall()

    def _fill_slots(self) -> None:
        """Start the ops that have waited longest in free slots; a frozen node starts none."""
        while self._waiting and len(self._running) < self.kind.slots and not self.faults.is_frozen:
            op = self._waiting.pop(next(iter(self._waiting)))
            op.ends_at = self._progress + op.work
            self._last_order += 1
            heapq.heappush(self._running, (op.ends_at, self._last_order, op))
            self._on_run(op.number, op.op_type)

    def cancel(self, now: int, number: int) -> None:
        """Cancel an op, as far as the node's `cancel` mode allows."""
        self._advance(now)
        if self.kind.cancel == "none":
            return
        if self._waiting.pop(number, None) is None and self.kind.cancel == "all":
            kept = [entry for entry in self._running if entry[2].number != number]
            if len(kept) < len(self._running):
                heapq.heapify(kept)
                self._running = kept
                self._fill_slots()

    def next_step_at(self, now: int) -> int | None:
        """Return when to call `step` if nothing else happens; None while no op advances."""
        self._advance(now)
        pace = self._pace(self.capacity_share(now))
        if not pace:
            return None
        ends_at = now + max(1, int((self._running[0][0] - self._progress) / pace) + 1)
        return ends_at if self._warming_from is None else min(ends_at, now + COLD_STEP_NS)

    def step(self, now: int) -> list[int]:
        """Return the ops that have ended by now, except those whose answer a fault drops."""
        self._advance(now)
        ended = []
        while self._running and self._running[0][0] <= self._progress + COMPLETION_TOLERANCE:
            op = heapq.heappop(self._running)[2]
            self.counts["acked"] += 1
            mute = self.faults.has(NodeFaultKind.MUTE)
            if not (mute and self._random.random() < self.faults.strongest(NodeFaultKind.MUTE)):
                ended.append(op.number)
        self._fill_slots()
        return ended

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of queued ops."""
        return len(self._running), len(self._waiting)
