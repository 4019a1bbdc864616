"""Orders and reads of the operator that have not been answered yet, at the leader and at a member that passed them on.
No I/O.

An order is answered once its own entry of the log is applied: the same index and the same term. If another entry is
applied at that index, or the member leads no longer, or it takes too long, nothing is known of it: the operator sends
it again, and whoever then leads finds it in force, or proposes it anew.
"""

from dataclasses import dataclass, field

from kestrelplank.consensus.log_entries import Entry, PutConfiguration
from kestrelplank.consensus.member_messages import CallId

S = 1_000_000_000
PATIENCE = 800_000_000  # ns that a call waits: the operator goes elsewhere after a second
MOST = 64  # calls under way, beyond which new ones are turned away


@dataclass(frozen=True, slots=True)
class Ticket:
    """A call that the operator made to this member."""

    number: int


@dataclass(frozen=True, slots=True)
class PassedOn:
    """A call that another member passed on to us; `sender`: its identity."""

    sender: str
    call: CallId


Caller = Ticket | PassedOn


@dataclass(slots=True)
class PendingOrder:
    """An order in the log that is not committed as far as is known here."""

    order: PutConfiguration
    index: int
    term: int
    waiting: list[tuple[Caller, int]] = field(default_factory=list)  # and until when


class PendingOrders:
    """Orders that this member proposed as the leader."""

    def __init__(self) -> None:
        self._orders: list[PendingOrder] = []

    def full(self) -> bool:
        return sum(len(order.waiting) for order in self._orders) >= MOST

    def attach(self, now: int, caller: Caller, order: PutConfiguration) -> bool:
        """Lets the caller wait for the very same order, if that is under way already."""
        for pending in self._orders:
            if (pending.order.version, pending.order.digest) == (order.version, order.digest):
                pending.waiting.append((caller, now + PATIENCE))
                return True
        return False

    def add(self, now: int, caller: Caller, order: PutConfiguration, index: int, term: int) -> None:
        self._orders.append(PendingOrder(order, index, term, [(caller, now + PATIENCE)]))

    def applied(self, entry: Entry) -> tuple[list[Caller], list[Caller]]:
        """Who is acknowledged by this entry, and whose order has not become the entry at its index."""
        acknowledged: list[Caller] = []
        unknown: list[Caller] = []
        left = []
        for order in self._orders:
            if order.index > entry.index:
                left.append(order)
                continue
            same = (order.index, order.term) == (entry.index, entry.term)
            (acknowledged if same else unknown).extend(caller for caller, _ in order.waiting)
        self._orders = left
        return acknowledged, unknown

    def expired(self, now: int) -> list[Caller]:
        """Who has waited too long. The order itself stays, for who sends it again."""
        found = []
        for order in self._orders:
            found += [caller for caller, until in order.waiting if now >= until]
            order.waiting = [(caller, until) for caller, until in order.waiting if now < until]
        return found

    def drop(self) -> list[Caller]:
        """This member leads no longer: nothing is known of any."""
        found = [caller for order in self._orders for caller, _ in order.waiting]
        self._orders = []
        return found


@dataclass(frozen=True, slots=True)
class Passed:
    """A call that we passed on to `leader` and that is not answered."""

    ticket: int
    leader: str
    until: int
    reads: bool


class PassedCalls:
    """Calls of the operator to this member, passed on to the leader. `life` is drawn anew at each start of a member, so
    that an answer to a former life's call matches none of ours."""

    def __init__(self, member: str, life: int) -> None:
        self._member, self._life, self._number = member, life, 0
        self._calls: dict[int, Passed] = {}

    def full(self) -> bool:
        return len(self._calls) >= MOST

    def add(self, now: int, ticket: int, leader: str, reads: bool) -> CallId:
        self._number += 1
        self._calls[self._number] = Passed(ticket, leader, now + PATIENCE, reads)
        return CallId(self._member, self._life, self._number)

    def answered(self, sender: str, call: CallId, reads: bool) -> Passed | None:
        """The call that this answers, if it is one of ours, of this kind, and waits for that sender."""
        passed = self._calls.get(call.number)
        if passed is None or (call.member, call.incarnation) != (self._member, self._life):
            return None
        if passed.leader != sender or passed.reads != reads:
            return None
        return self._calls.pop(call.number)

    def expired(self, now: int, leader: str) -> list[Passed]:
        """Calls that have waited too long, or whose leader leads no longer."""
        ended = [number for number, call in self._calls.items() if now >= call.until or call.leader != leader]
        return [self._calls.pop(number) for number in ended]
