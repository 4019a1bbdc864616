"""How many ops a relay keeps out at a node at once, learned from how long they take, and who waits when all are full.

The limit of a node and op type follows the gradient between the best time seen and the present one, as TCP Vegas judges
a path by the gap between expected and actual rate (Brakmo and Peterson, 1995), in the form that was published for
services as adaptive concurrency limits (E. Nawrocki and others, 2018). The best time is forgotten by generations, each
begun with a moment of less, as BBR looks for the shortest round trip (Cardwell and others, 2016): a best that merely
aged would creep up to whatever an overload makes of it. Times are whole ns.
"""

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from math import sqrt
from typing import NamedTuple

GENERATION = 500  # samples after which the best time is sought anew: a node may have become slower for good
SMOOTH = 0.2  # of each new window in the limit
LEAST_GRADIENT = 0.5  # one window never takes away more than that


class Terms(NamedTuple):
    """`first`, `least`, `most`: ops out at one node. `tolerance`: how many times the best an answer may take before the
    limit shrinks. `window`: samples to a judgement."""

    first: int = 20
    least: int = 2
    most: int = 1000
    tolerance: float = 2.0
    window: int = 10


class Gradient:
    """One node's limit for one op type. Guards against a queue that builds up at a node while its answers still come.
    Also catches a node that slows down. Harm: work that is slow by itself shrinks the limit, until two generations have
    seen nothing better."""

    __slots__ = "_terms", "limit", "out", "_best", "_older", "_age", "_sum", "_count", "_peak"

    def __init__(self, terms: Terms) -> None:
        self._terms, self.limit, self.out = terms, float(terms.first), 0
        self._best = self._older = 0  # of this generation and of the one before; 0 for none yet
        self._age = 0
        self._sum, self._count, self._peak = 0, 0, 0

    def room(self) -> bool:
        return self.out < int(self.limit)

    def best(self) -> int:
        """The shortest time of this generation and of the one before."""
        return min(self._best, self._older) if self._best and self._older else self._best or self._older

    def began(self) -> None:
        self.out += 1
        self._peak = max(self._peak, self.out)

    def ended(self, time: int | None) -> None:
        """A try has ended after `time` ns; None: with no good answer, which halves the limit as a loss does there."""
        self.out -= 1
        terms = self._terms
        if time is None:
            self.limit = max(float(terms.least), self.limit * (1 - SMOOTH / 2))
            return
        self._best = min(self._best, time) if self._best else time
        self._age += 1
        if self._age == GENERATION:
            self._age, self._older, self._best = 0, self._best, 0
            self.limit = max(float(terms.least), self.limit / 2)
        self._sum += time
        self._count += 1
        if self._count < terms.window:
            return
        mean, peak = self._sum / self._count, self._peak
        self._sum, self._count, self._peak = 0, 0, self.out
        gradient = max(LEAST_GRADIENT, min(1.0, terms.tolerance * self.best() / mean)) if mean else 1.0
        wanted = self.limit * gradient + sqrt(self.limit)
        if gradient == 1.0 and peak * 2 < self.limit:
            return  # what was never tried proves nothing about more
        self.limit = min(float(terms.most), max(float(terms.least), self.limit + SMOOTH * (wanted - self.limit)))


class Limits:
    """All limits of a relay, by node and op type."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._held: dict[tuple[int, int], Gradient] = {}

    def _of(self, node: int, op_type: int) -> Gradient:
        found = self._held.get((node, op_type))
        if found is None:
            found = self._held[node, op_type] = Gradient(self._terms)
        return found

    def room(self, node: int, op_type: int) -> bool:
        return self._of(node, op_type).room()

    def began(self, node: int, op_type: int) -> None:
        self._of(node, op_type).began()

    def ended(self, node: int, op_type: int, time: int | None) -> None:
        self._of(node, op_type).ended(time)

    def room_of(self, node: int, op_types: int) -> tuple[float, int]:
        """Over all op types: how many a node may have out, and how many it has."""
        found = [self._of(node, op_type) for op_type in range(op_types)]
        return sum(one.limit for one in found), sum(one.out for one in found)

    def forget(self, node: int) -> None:
        """A node that is in no table any more; what is out there ends unseen."""
        for key in [key for key in self._held if key[0] == node and not self._held[key].out]:
            del self._held[key]

    def shown(self) -> list[tuple[int, int, float, int]]:
        """Node, op type, limit, ops out, in order."""
        return [(*key, round(found.limit, 1), found.out) for key, found in sorted(self._held.items())]


class Queue:
    """Ops that wait for room, at most `most`, each for a share of its target latency at the most. The dearest goes
    first, of equals the one that came first; when one too many waits, the cheapest and youngest is turned away.

    Guards against work that is answered too late to be worth anything (R. Nichols and V. Jacobson, CoDel, 2012, bound
    the time in a queue for the same reason). Harm: what is turned away might have been answered in time."""

    def __init__(self, most: int, targets: Sequence[int], values: Sequence[float], part: float) -> None:
        self._most, self._targets, self._values, self._part = most, targets, values, part
        self._heap: list[tuple[float, int, int]] = []  # (-value, order, number)
        self._waiting: dict[int, tuple[int, int, int]] = {}  # number to (order, op type, until)
        self._order = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, now: int, number: int, op_type: int, deadline: int) -> tuple[int | None, list[int]]:
        """An op wants to wait. Returns until when it may (None: it is turned away), and others turned away for it."""
        if not self._most:
            return None, []
        until = min(deadline, now + round(self._targets[op_type] * self._part))
        turned: list[int] = []
        if len(self._waiting) >= self._most:
            worst = max(
                self._waiting, key=lambda number: (-self._values[self._waiting[number][1]], self._waiting[number][0])
            )
            if self._values[self._waiting[worst][1]] >= self._values[op_type]:
                return None, []
            self.drop(worst)
            turned.append(worst)
        self._order += 1
        self._waiting[number] = self._order, op_type, until
        heappush(self._heap, (-self._values[op_type], self._order, number))
        return until, turned

    def drop(self, number: int) -> bool:
        """It waits no longer, for whatever reason; whether it did."""
        return self._waiting.pop(number, None) is not None

    def next(self, fits: Callable[[int], bool]) -> list[int]:
        """The ops whose turn it is, dearest first, as long as `fits(number)` says that they find room and takes it.
        One that does not fit holds back none behind it, as it may want another node."""
        kept, taken = [], []
        while self._heap:
            entry = heappop(self._heap)
            number = entry[2]
            if number not in self._waiting or self._waiting[number][0] != entry[1]:
                continue
            if fits(number):
                del self._waiting[number]
                taken.append(number)
            else:
                kept.append(entry)
        for entry in kept:
            heappush(self._heap, entry)
        return taken


def comes_back(wait: int, queued: int, most: int) -> int:
    """Whole seconds after which a caller that was turned away may come again: longer the fuller the queue, so that all
    do not return into the same moment; at least 1, as the field has no fraction (RFC 9110, Retry-After)."""
    return max(1, round(wait / 1e9 * (1 + queued / max(1, most))))
