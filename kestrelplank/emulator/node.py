"""An emulated order node without I/O: cores, slots, a queue, warm-up, a cache of keys, and faults.

All running ops share the cores evenly, so each advances at one pace (processor sharing); the progress is what an op
that ran throughout would have had done by now, and an op ends when the progress has grown by its work. That makes a
step cost the logarithm of what runs, and the sum of work done is the pace times who shared it, never over cores x time.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from random import Random

from kestrelplank.emulator.node_faults import NodeFaultKind, NodeFaults
from kestrelplank.emulator.script_sections import NodeKind
from kestrelplank.time_units import MILLISECOND

COLD_STEP_NS = 50 * MILLISECOND  # a cold node's pace grows: it is looked at anew that often
OVERLOAD_TOLERANCE = 1.1  # of what makes a cold node fall, for chance
COMPLETION_TOLERANCE = 0.5  # ns of work that may be missing at an op's end


class OfferResult(Enum):
    """What becomes of an op that is offered to a node."""

    TAKEN = "taken"
    NOT_STARTED = "not started"
    FAILED = "failed"


class NodeOp:
    """An op at a node; it ends when the node's progress has come to `ends_at`."""

    __slots__ = ("number", "op_type", "work", "ends_at")

    def __init__(self, number: int, op_type: int, work: float) -> None:
        self.number, self.op_type, self.work, self.ends_at = number, op_type, work, 0.0


class EmulatedNode:
    """One node.

    A node that is `down` refuses connections, one that is `silent` swallows all.

    Invariants: no more ops run than there are slots, and no more work is done than the cores can do (test
    `test_work_is_never_over_cores_times_time_and_nothing_acked_has_not_run`).

    :param on_run: called with number and op type when an op begins to run: from then on its effect counts as made.
    :param on_fall: called when the node fell as it was sent too much while cold.
    """

    def __init__(
        self, kind: NodeKind, random: Random, now: int, on_run: Callable[[int, int], None], on_fall: Callable[[], None]
    ) -> None:
        self.kind, self._random, self._on_run, self._on_fall = kind, random, on_run, on_fall
        self._progress, self._advanced_at, self._started_at = 0.0, now, now
        self._warming_from: float | None = None  # the work done when it started; None: it is warm
        self._running: list[tuple[float, int, NodeOp]] = []
        self._waiting: dict[int, NodeOp] = {}
        self._sent: deque[tuple[int, float, float]] = deque()  # while cold: when, work, and work sent knowingly
        self._sent_work, self._knowing_work, self._last_order = 0.0, 0.0, 0
        self._key_seen_at: dict[int, int] = {}
        self.faults = NodeFaults()
        self.down, self.fallen, self.work_done = False, False, 0.0
        self.worst_overload = 0.0  # of what was mostly sent knowingly, against the budget: over 1 breaks the rule
        self.counts: Counter[str] = Counter()

    # Faults and the process.

    def add_fault(self, now: int, name: object, kind: NodeFaultKind, strength: float) -> None:
        """Let a fault hold, until it is removed by its name."""
        self._advance(now)
        self.faults.add(name, kind, strength)

    def remove_fault(self, now: int, name: object) -> None:
        """Let a fault end."""
        self._advance(now)
        self.faults.remove(name)
        self._fill_slots()

    @property
    def silent(self) -> bool:
        """Whether it is out of reach."""
        return self.faults.has(NodeFaultKind.SILENT)

    def kill(self, now: int) -> None:
        """End the process: all that it had is lost."""
        self._advance(now)
        self.down = True
        self._running, self._waiting = [], {}
        self._key_seen_at.clear()

    def start(self, now: int, *, keeps_queue: bool = False) -> None:
        """Start the process, cold, unless it has fallen.

        :param keeps_queue: with what waited, as its machine had only been out of reach.
        """
        if self.fallen:
            return
        self._advance(now)
        waiting = self._waiting if keeps_queue else {}
        self.kill(now)
        self.down, self._started_at, self._warming_from, self._waiting = False, now, self.work_done, waiting
        self._sent.clear()
        self._sent_work = self._knowing_work = 0.0
        self._fill_slots()

    # Progress.

    def capacity_share(self, now: int) -> float:
        """Return the share of its capacity that it has by now."""
        kind = self.kind
        if self._warming_from is None:
            return 1.0
        if kind.warm_work:
            warmed = (self.work_done - self._warming_from) / kind.warm_work
        else:
            warmed = (now - self._started_at) / kind.warm_up if kind.warm_up else 1.0
        return min(1.0, kind.cold_from + (1 - kind.cold_from) * warmed)

    def _pace(self, capacity_share: float) -> float:
        """Return the work that each running op has done in 1 ns."""
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
        self, now: int, number: int, op_type: int, work: float, key: int, *, new_connection: bool, knowing: bool = True
    ) -> OfferResult:
        """Take one attempt of an op, or not.

        :param work: what the op is to a node that does not know its key, in ns of one core at speed 1.
        :param knowing: whether the sender could know of the node's last start.
        """
        self._advance(now)
        self._count_cold_load(now, work, work if knowing else 0.0)
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
        """Return the op's work, which is less for a key that is remembered; the key is remembered from now on."""
        if now - self._key_seen_at.pop(key, -self.kind.key_for) < self.kind.key_for:
            work *= 1 - self.kind.key_gain
        self._key_seen_at[key] = now
        if len(self._key_seen_at) > self.kind.keys:
            del self._key_seen_at[next(iter(self._key_seen_at))]
        return work

    def _count_cold_load(self, now: int, work: float, knowing_work: float) -> None:
        """Let a cold node fall if it was sent more than its budget.

        What is sent in any `tip_after` must stay under the multiple of what the node can do by then. Any work makes it
        fall; the rule is broken where two thirds of it were sent knowingly.
        """
        if self._warming_from is None or self.down:
            return
        kind = self.kind
        self._sent.append((now, work, knowing_work))
        self._sent_work += work
        self._knowing_work += knowing_work
        while self._sent[0][0] <= now - kind.tip_after:
            _, old_work, old_knowing_work = self._sent.popleft()
            self._sent_work -= old_work
            self._knowing_work -= old_knowing_work
        capacity = kind.cores * kind.speed * self.capacity_share(now)
        budget = kind.fall_multiple * capacity * kind.tip_after * OVERLOAD_TOLERANCE
        overload = self._sent_work / budget if kind.tip_after else 0.0
        if self._knowing_work * 3 >= self._sent_work * 2:
            self.worst_overload = max(self.worst_overload, overload)
        if overload > 1:
            self.kill(now)
            self.fallen = True
            self._on_fall()

    def _fill_slots(self) -> None:
        """Give free slots to who waits longest. A frozen node reads nothing."""
        while self._waiting and len(self._running) < self.kind.slots and not self.faults.is_frozen:
            op = self._waiting.pop(next(iter(self._waiting)))
            op.ends_at = self._progress + op.work
            self._last_order += 1
            heapq.heappush(self._running, (op.ends_at, self._last_order, op))
            self._on_run(op.number, op.op_type)

    def cancel(self, now: int, number: int) -> None:
        """Take note that nobody waits for an op any more."""
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
        """Return when to call `step`, if nothing else happens; None while nothing advances."""
        self._advance(now)
        pace = self._pace(self.capacity_share(now))
        if not pace:
            return None
        ends_at = now + max(1, int((self._running[0][0] - self._progress) / pace) + 1)
        return ends_at if self._warming_from is None else min(ends_at, now + COLD_STEP_NS)

    def step(self, now: int) -> list[int]:
        """Return the ops that have ended by now, but for those whose answer a fault swallows."""
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
        """Return how many ops run, and how many wait."""
        return len(self._running), len(self._waiting)
