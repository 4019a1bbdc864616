"""An emulated order node without I/O: cores, slots, a waiting room, warm-up, a cache of keys, and faults.

Time goes in with each call, in whole ns. All running ops share the cores evenly, so each advances at one pace; `V` is
what an op that ran throughout would have had done by now, and an op ends when V has grown by its work. That makes a
step cost the logarithm of what runs, and the sum of work done is the pace times who shared it, never over cores x time.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from random import Random

from msgspec import Struct

from kestrelplank.settings.ini_fields import Count, Duration, Fraction, Number

GLIDE = 50_000_000  # a cold node's pace grows: it is looked at anew so often
SLACK = 1.1  # of what pushes a cold node over, for chance
TAKEN, NOT_STARTED, FAILED, ACKED = "taken", "not started", "failed", "acked"


class Kind(Struct, frozen=True, kw_only=True):
    """What a node is. `speed` is work done a core and second; of work and warm-up see the fields' units."""

    cores: Count = 3
    slots: Count = 6  # ops that run at once
    room: Count = 36  # ops that wait; one more is told that it is not started
    speed: Number = 1.0
    warm_up: Duration = 10_000_000_000
    warm_work: Duration = 0  # above 0: warm by so much work done instead of by time
    cold_from: Fraction = 0.3
    fall_multiple: Number = 3.0  # sent more than so many times its present capacity
    tip_after: Duration = 3_000_000_000  # over so long, a cold node falls and stays down
    connection: Duration = 2_500_000  # work that a new connection costs
    keys: Count = 600  # remembered
    key_for: Duration = 16_000_000_000
    key_gain: Fraction = 0.5  # less work for a key it remembers
    cancel: str = "waiting"  # what an op's cancel ends: waiting, all or none


class Run:
    __slots__ = ("number", "op_type", "work", "ends_at")

    def __init__(self, number: int, op_type: int, work: float) -> None:
        self.number, self.op_type, self.work, self.ends_at = number, op_type, work, 0.0


class Node:
    """`on_run(number, op_type)` is called when an op begins to run: from then on its effect counts as made.
    `on_fall()` when it was pushed over. `down` nodes refuse connections, `silent` ones swallow all."""

    def __init__(
        self, kind: Kind, random: Random, now: int, on_run: Callable[[int, int], None], on_fall: Callable[[], None]
    ) -> None:
        self.kind, self._random, self._on_run, self._on_fall = kind, random, on_run, on_fall
        self._base, self._looked, self._started, self._warm_from = 0.0, now, now, None
        self._running: list[tuple[float, int, Run]] = []
        self._waiting: dict[int, Run] = {}
        self._sent: deque[tuple[int, float, float]] = deque()  # while cold: when, work, and work sent knowingly
        self._sent_sum, self._known_sum, self._order = 0.0, 0.0, 0
        self._keys: dict[int, int] = {}
        self._faults: dict[object, tuple[str, float]] = {}
        self.down, self.fallen, self.work_done = False, False, 0.0
        self.worst_push = 0.0  # of what was mostly sent knowingly, against the budget: over 1 breaks the rule
        self.counts: Counter[str] = Counter()

    # Faults. Several may hold at once; each is taken away by the name under which it was set.

    def fault(self, now: int, name: object, kind: str, strength: float) -> None:
        """kinds: stall, silent, slow (times slower), fail (share of ops at once), mute (share of answers lost)."""
        self._advance(now)
        self._faults[name] = kind, strength

    def mend(self, now: int, name: object) -> None:
        self._advance(now)
        self._faults.pop(name, None)
        self._fill()

    def faults(self) -> list[tuple[str, float]]:
        """Kind and strength of what holds now."""
        return list(self._faults.values())

    def _has(self, *kinds: str) -> bool:
        return any(kind in kinds for kind, _ in self._faults.values())

    def _most(self, kind: str) -> float:
        return max((strength for name, strength in self._faults.values() if name == kind), default=0.0)

    @property
    def silent(self) -> bool:
        return self._has("silent")

    def kill(self, now: int) -> None:
        """The process ends: all that it had is lost."""
        self._advance(now)
        self.down = True
        self._running, self._waiting = [], {}
        self._keys.clear()

    def start(self, now: int, keeps_queue: bool = False) -> None:
        """It comes (back) cold, unless it has fallen; with what waited, where its machine had only been out of
        reach."""
        if self.fallen:
            return
        self._advance(now)
        waiting = self._waiting if keeps_queue else {}
        self.kill(now)
        self.down, self._started, self._warm_from, self._waiting = False, now, self.work_done, waiting
        self._sent.clear()
        self._sent_sum = self._known_sum = 0.0
        self._fill()

    # Work.

    def warmth(self, now: int) -> float:
        """The share of its capacity that it has by now."""
        kind = self.kind
        if self._warm_from is None:
            return 1.0
        if kind.warm_work:
            part = (self.work_done - self._warm_from) / kind.warm_work
        else:
            part = (now - self._started) / kind.warm_up if kind.warm_up else 1.0
        return min(1.0, kind.cold_from + (1 - kind.cold_from) * part)

    def _pace(self, warmth: float) -> float:
        if not self._running or self.down or self._has("stall", "silent"):
            return 0.0
        slow = 1.0
        for kind, strength in self._faults.values():
            if kind == "slow":
                slow *= strength
        return self.kind.speed * warmth * min(1.0, self.kind.cores / len(self._running)) / slow

    def _advance(self, now: int) -> None:
        if now <= self._looked:
            return
        warmth = 1.0 if self._warm_from is None else (self.warmth(self._looked) + self.warmth(now)) / 2
        done = self._pace(warmth) * (now - self._looked)
        self._base += done
        self.work_done += done * len(self._running)
        self._looked = now
        if self._warm_from is not None and self.warmth(now) >= 1.0:
            self._warm_from = None

    def offer(
        self, now: int, number: int, op_type: int, work: float, key: int, new_connection: bool, knowing: bool = True
    ) -> str:
        """One try of an op comes in, with the work (ns of one core at speed 1) that it would be to a node that
        does not know its key; `knowing`: whoever sent it could know of the node's last start. Returns taken, not
        started or failed."""
        self._advance(now)
        self._push(now, work, work if knowing else 0.0)
        if self.down:
            return NOT_STARTED
        if self._has("fail") and self._random.random() < self._most("fail"):
            self.counts[FAILED] += 1
            return FAILED
        if len(self._waiting) >= self.kind.room and not self._has("stall", "silent"):
            self.counts[NOT_STARTED] += 1
            return NOT_STARTED
        if now - self._keys.pop(key, -self.kind.key_for) < self.kind.key_for:
            work *= 1 - self.kind.key_gain
        self._keys[key] = now
        if len(self._keys) > self.kind.keys:
            del self._keys[next(iter(self._keys))]
        self._waiting[number] = Run(number, op_type, work + (self.kind.connection if new_connection else 0))
        self.counts[TAKEN] += 1
        self._fill()
        return TAKEN

    def _push(self, now: int, work: float, known: float) -> None:
        """A cold node has a budget: what is sent in any span must stay under the multiple of what it can do by
        then. Any work pushes it over; the rule is broken where two thirds of it was sent knowingly."""
        if self._warm_from is None or self.down:
            return
        span = self.kind.tip_after
        self._sent.append((now, work, known))
        self._sent_sum += work
        self._known_sum += known
        while self._sent[0][0] <= now - span:
            _, old, old_known = self._sent.popleft()
            self._sent_sum -= old
            self._known_sum -= old_known
        capacity = self.kind.cores * self.kind.speed * self.warmth(now)
        push = self._sent_sum / (self.kind.fall_multiple * capacity * span * SLACK) if span else 0.0
        if self._known_sum * 3 >= self._sent_sum * 2:
            self.worst_push = max(self.worst_push, push)
        if push > 1:
            self.kill(now)
            self.fallen = True
            self._on_fall()

    def _fill(self) -> None:
        """Free slots go to who waits longest. A node that stands still reads nothing."""
        while self._waiting and len(self._running) < self.kind.slots and not self._has("stall", "silent"):
            run = self._waiting.pop(next(iter(self._waiting)))
            run.ends_at = self._base + run.work
            self._order += 1
            heapq.heappush(self._running, (run.ends_at, self._order, run))
            self._on_run(run.number, run.op_type)

    def cancel(self, now: int, number: int) -> None:
        """Whoever asked has gone."""
        self._advance(now)
        if self.kind.cancel == "none":
            return
        if self._waiting.pop(number, None) is None and self.kind.cancel == "all":
            kept = [entry for entry in self._running if entry[2].number != number]
            if len(kept) < len(self._running):
                heapq.heapify(kept)
                self._running = kept
                self._fill()

    def due(self, now: int) -> int | None:
        """When to call `step` next, if nothing else happens; None while nothing advances."""
        self._advance(now)
        pace = self._pace(self.warmth(now))
        if not pace:
            return None
        ends = now + max(1, int((self._running[0][0] - self._base) / pace) + 1)
        return ends if self._warm_from is None else min(ends, now + GLIDE)

    def step(self, now: int) -> list[tuple[int, str]]:
        """Ops that have ended by now, with how; none of those whose answer a fault swallows."""
        self._advance(now)
        ended = []
        while self._running and self._running[0][0] <= self._base + 0.5:
            run = heapq.heappop(self._running)[2]
            self.counts[ACKED] += 1
            if not (self._has("mute") and self._random.random() < self._most("mute")):
                ended.append((run.number, ACKED))
        self._fill()
        return ended

    def load(self) -> tuple[int, int]:
        """Ops that run, and that wait."""
        return len(self._running), len(self._waiting)
