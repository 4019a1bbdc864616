"""What a relay does with one op: let it in, pick a line, wait for one, try again once and only with proof that the
first try never ran, give up. The relay acts on the steps returned here (`Send`, `Wait`, `End`); nothing here sends or
waits. An op that has ended is answered at once: holding the answer back would only stop the caller from asking again.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from kestrelplank.load_balancing.limits import Limits, Queue
from kestrelplank.load_balancing.picks import WeightedRoundRobin, less_loaded, rendezvous, weighted
from kestrelplank.load_balancing.zones import Preference
from kestrelplank.state.tables import Tables

ACKED, REJECTED, ABORTED = "acked", "rejected", "aborted"

# How a try may end, as the relay saw it.
GOOD = "acked"
FAILED = "failed"  # the node answered with an error: it may have run
NOT_STARTED = "not started"  # the node's own word
REFUSED = "refused"  # no connection came up
UNSENT = "unsent"  # reset before the first byte of the op was written
RESET = "reset"  # after a byte was written
CUT = "cut short"  # the answer broke off
SILENT = "silent"  # nothing came in time

# That a try never ran is proved by these alone. A time-out proves nothing: the node may be about to run it.
PROOFS = (NOT_STARTED, REFUSED, UNSENT)
NOBODY = (REFUSED, SILENT)  # a try that met nobody: of a zone that is lost, no other


@dataclass(frozen=True, slots=True)
class Send:
    """Open a try at that node."""

    node: int


@dataclass(frozen=True, slots=True)
class Wait:
    """No node can be picked: call `expire` at that time (ns), and `changed` when tables change."""

    until: int


@dataclass(frozen=True, slots=True)
class End:
    """Answer the caller now: acked, rejected (nothing has run) or aborted (it may have)."""

    verdict: str
    why: str


Step = Send | Wait | End


class Avoidance:
    """Keeps away from a node at which `strikes` of this relay's own tries in a row have failed, for a time drawn
    from `spell` (ns, least and most). Guards against a node that fails before any conductor has heard of it. Also
    catches a cut between this relay and the node. Harm: chance failures in a row at a sound node; so where all
    lines are avoided none is, and with 0 strikes nothing ever is."""

    def __init__(self, random: Random, strikes: int, spell: tuple[int, int]) -> None:
        self._random, self._strikes, self._spell = random, strikes, spell
        self._row: dict[int, int] = {}
        self._until: dict[int, int] = {}

    def ended(self, now: int, node: int, good: bool) -> None:
        """A try at that node has ended."""
        if good:
            self._row.pop(node, None)
            return
        self._row[node] = self._row.get(node, 0) + 1
        if self._strikes and self._row[node] >= self._strikes:
            del self._row[node]
            self._until[node] = now + self._random.randint(*self._spell)

    def sound(self, now: int, lines: Sequence[tuple[int, float]]) -> Sequence[tuple[int, float]]:
        """The lines not avoided now, or all where that leaves none."""
        if not self._until:
            return lines
        for node in [node for node, until in self._until.items() if until <= now]:
            del self._until[node]
        return [line for line in lines if line[0] not in self._until] or lines


class Budget:
    """Second tries an op type may have: `share` of its first ones, and `most` saved up for a bad moment. Guards against
    a bad day that is doubled by tries again, and all relays doing so at once. Harm: in a short, sharp loss some ops are
    turned away that another node would have acked.

    Source: the retry budgets of Finagle (Twitter, 2013) and of gRPC's proposal A6 (2017), here counted by op type."""

    def __init__(self, op_types: int, share: float, most: float) -> None:
        self._share, self._most = share, most
        self._saved = [most] * op_types

    def asked(self, op_type: int) -> None:
        self._saved[op_type] = min(self._most, self._saved[op_type] + self._share)

    def spend(self, op_type: int) -> bool:
        """Whether there is one more, which then is spent."""
        if self._saved[op_type] < 1:
            return False
        self._saved[op_type] -= 1
        return True


class Op:
    """One op in hand. `node` is where its try is out, since `sent_at`; `tried` the nodes it was sent to."""

    __slots__ = ("number", "op_type", "table", "deadline", "key", "node", "tried", "until", "sent_at")

    def __init__(self, number: int, op_type: int, table: int, deadline: int, key: str) -> None:
        self.number, self.op_type, self.table, self.deadline, self.key = number, op_type, table, deadline, key
        self.node: int | None = None
        self.sent_at = 0
        self.tried: tuple[int, ...] = ()
        self.until: int | None = None  # it waits for a line, so long


class Attempts:
    """The ops of one relay. `op_timeouts` by op type and `hold`, the longest wait for a line, are in ns; `pick` is
    random, rotate, two or key. `proofs` may be widened only by tests, which plant a relay that repeats without proof.

    A relay may also have a `budget` for second tries, `limits` on what is out at a node with a `queue` of those who
    wait for room, `weigh(node)`, the share of its weight that a node is given as yet, and `zones`, which are preferred.
    Where it has a queue, call `settled` after each of the calls below: what one op does may settle others."""

    def __init__(
        self,
        random: Random,
        tables: Tables,
        op_timeouts: Sequence[int],
        pick: str,
        hold: int,
        avoidance: Avoidance,
        proofs: Sequence[str] = PROOFS,
        budget: Budget | None = None,
        limits: Limits | None = None,
        queue: Queue | None = None,
        weigh: Callable[[int], float] | None = None,
        zones: Preference | None = None,
    ) -> None:
        self._random, self._tables, self._pick, self._hold = random, tables, pick, hold
        self._op_timeouts, self._avoidance, self._proofs = op_timeouts, avoidance, proofs
        self._budget, self._limits, self._queue, self._weigh, self._zones = budget, limits, queue, weigh, zones
        self._queued: dict[int, Op] = {}
        self._steps: list[tuple[Op, Step]] = []
        self._rotations: dict[int, WeightedRoundRobin] = {}
        self.own: Counter[int] = Counter()  # tries out, by node
        self._waiting: dict[int, dict[int, Op]] = {}  # by table, in order of arrival
        self.counts: Counter[str] = Counter()

    def ask(
        self, now: int, number: int, op_type: int, table: int, within: int | None = None, key: str = ""
    ) -> tuple[Op, Step]:
        """A new op, which its caller waits for so long (ns; its op timeout if that is less or nothing is said)."""
        self.counts["asked"] += 1
        limit = self._op_timeouts[op_type]
        op = Op(number, op_type, table, now + (limit if within is None else min(limit, within)), key)
        if self._budget:
            self._budget.asked(op_type)
        share = self._tables.share(table, op_type)
        if share < 1.0 and self._random.random() >= share:
            return op, self._end(op, REJECTED, "level")
        node = self._choose(now, op)
        if node is not None:
            return op, self._send(now, op, node)
        if self._limits is not None and self._tables.open(table):
            return op, self._enqueue(now, op)
        if not self._hold:
            return op, self._end(op, REJECTED, "no line")
        op.until = min(now + self._hold, op.deadline)
        self._waiting.setdefault(table, {})[number] = op
        return op, Wait(op.until)

    def ended(self, now: int, op: Op, outcome: str) -> Step:
        """The try that was out has ended so."""
        self._back(now, op, outcome)
        if outcome == GOOD:
            return self._end(op, ACKED, "")
        if outcome not in self._proofs:
            return self._end(op, ABORTED, outcome)
        if len(op.tried) > 1 or not self._tables.again(op.table):
            return self._end(op, REJECTED, outcome)
        if now >= op.deadline:
            return self._end(op, REJECTED, "op timeout")
        node = self._choose(now, op)
        if node is None:
            return self._end(op, REJECTED, "no other line")
        if self._budget and not self._budget.spend(op.op_type):
            return self._end(op, REJECTED, "budget")
        self.counts["second_tries"] += 1
        return self._send(now, op, node)

    def give_up(self, now: int, op: Op, why: str = "op timeout") -> End:
        """Its time is over, or its caller has gone. A try that is out may yet run: the relay closes it, which is
        no proof, and the op is never sent again."""
        if op.node is None:
            self._forget(op)
            return self._end(op, REJECTED, why)
        self._back(now, op, SILENT)
        return self._end(op, ABORTED, why)

    def expire(self, now: int, op: Op) -> End:
        """The wait for a line, or for room at a node, is over."""
        queued = op.number in self._queued
        self._forget(op)
        return self._end(op, REJECTED, "no room in time" if queued else "no line")

    def changed(self, now: int, tables: Iterable[int]) -> list[tuple[Op, Step]]:
        """These tables may have other lines now: the ops that wait for one and get it, in order of arrival."""
        steps = []
        for table in tables if self._waiting else ():
            for op in list(self._waiting.get(table, {}).values()):
                node = self._choose(now, op)
                if node is not None:
                    self._forget(op)
                    steps.append((op, self._send(now, op, node)))
        return steps

    def settled(self, now: int) -> list[tuple[Op, Step]]:
        """What the last calls have settled of other ops: turned away for a dearer one, or sent as room was made."""
        if self._queued:
            self._queue.next(lambda number: self._dequeue(now, self._queued[number]))
        steps, self._steps = self._steps, []
        return steps

    def _dequeue(self, now: int, op: Op) -> bool:
        """Sends an op that waits for room, if some node has it; whether one has."""
        node = self._choose(now, op)
        if node is None:
            return False
        del self._queued[op.number]
        op.until = None
        self._steps.append((op, self._send(now, op, node)))
        return True

    def waiting(self) -> int:
        return sum(map(len, self._waiting.values())) + len(self._queued)

    def _enqueue(self, now: int, op: Op) -> Wait | End:
        until, turned = None, []
        if self._queue is not None:
            until, turned = self._queue.put(now, op.number, op.op_type, op.deadline)
        for number in turned:
            other = self._queued.pop(number)
            other.until = None
            self._steps.append((other, self._end(other, REJECTED, "turned away")))
        if until is None:
            return self._end(op, REJECTED, "full")
        op.until = until
        self._queued[op.number] = op
        return Wait(until)

    def _choose(self, now: int, op: Op) -> int | None:
        """The node for its next try; None where none may be had."""
        lines = self._candidates(now, op)
        if not lines:
            return None
        if self._weigh and len(lines) > 1:
            lines = [(node, weight * self._weigh(node)) for node, weight in lines]
        if self._pick == "key":
            return rendezvous(op.key, lines)
        if self._pick == "two":
            return less_loaded(self._random, lines, self.own)
        if self._pick == "rotate":
            return self._rotations.setdefault(op.table, WeightedRoundRobin()).pick(lines)
        return weighted(self._random, lines)

    def _candidates(self, now: int, op: Op) -> Sequence[tuple[int, float]]:
        """Nodes with their weights that the op may go to now: not tried yet, with room, preferably sound ones."""
        lines: Sequence[tuple[int, float]] = self._tables.open(op.table)
        if op.tried:
            lines = [line for line in lines if line[0] not in op.tried]
        if self._zones is not None and lines:
            lines = self._zones.narrow(now, lines)
        if self._limits:
            lines = [line for line in lines if self._limits.room(line[0], op.op_type)]
        return self._avoidance.sound(now, lines) if lines else lines

    def _send(self, now: int, op: Op, node: int) -> Send:
        op.node, op.tried, op.sent_at = node, (*op.tried, node), now
        self.own[node] += 1
        if self._limits:
            self._limits.began(node, op.op_type)
        if self._zones is not None:
            self._zones.began(node)
        return Send(node)

    def _back(self, now: int, op: Op, outcome: str) -> None:
        good = outcome == GOOD
        if self._zones is not None:
            self._zones.ended(now, op.node, outcome not in NOBODY)
        if self._limits:
            self._limits.ended(op.node, op.op_type, now - op.sent_at if good else None)
        self.own[op.node] -= 1
        if not self.own[op.node]:
            del self.own[op.node]
        self._avoidance.ended(now, op.node, good)
        op.node = None

    def _forget(self, op: Op) -> None:
        op.until = None
        if self._queued.pop(op.number, None) is not None:
            self._queue.drop(op.number)
            return
        waiting = self._waiting.get(op.table, {})
        waiting.pop(op.number, None)
        if not waiting:
            self._waiting.pop(op.table, None)

    def _end(self, op: Op, verdict: str, why: str) -> End:
        self.counts[verdict] += 1
        return End(verdict, why)
