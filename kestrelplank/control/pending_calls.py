"""Operators' orders and reads that are not answered yet. No I/O.

They are kept at the leader, and at a member that forwarded them to the leader. An order is answered once its own log
entry, with the same index and term, is applied. If another entry is applied at that index, the leader is deposed, or
the call times out, the outcome is unknown: the operator sends the order again, and the leader at that time finds it in
force or proposes it again.
"""

from dataclasses import dataclass, field

from kestrelplank.consensus.log_entries import Entry, PutConfiguration
from kestrelplank.consensus.member_messages import CallId
from kestrelplank.time_units import MILLISECOND

CALL_TIMEOUT_NS = 800 * MILLISECOND  # shorter than the operator's time-out of one second
MAX_PENDING_CALLS = 64  # further calls are rejected


@dataclass(frozen=True, slots=True)
class LocalCaller:
    """An operator that called this member; `ticket` identifies the call."""

    ticket: int


@dataclass(frozen=True, slots=True)
class ForwardingMember:
    """The member `identity` that forwarded an operator's call to this one."""

    identity: str
    call: CallId


Caller = LocalCaller | ForwardingMember


@dataclass(frozen=True, slots=True)
class Waiter:
    """A caller that waits for an order's outcome until `expires_at` (ns)."""

    caller: Caller
    expires_at: int


@dataclass(slots=True)
class PendingOrder:
    """An order in the log at `index` and `term` that is not known to be committed."""

    order: PutConfiguration
    index: int
    term: int
    waiters: list[Waiter] = field(default_factory=list)

    def take_expired(self, now: int) -> list[Caller]:
        """Remove and return the callers whose time-out has passed."""
        expired = [waiter.caller for waiter in self.waiters if now >= waiter.expires_at]
        self.waiters = [waiter for waiter in self.waiters if now < waiter.expires_at]
        return expired


@dataclass(frozen=True, slots=True)
class DecidedCallers:
    """Callers whose orders are decided by an applied entry.

    :param acknowledged: callers whose order is the entry.
    :param unknown: callers whose order lost its index to another entry.
    """

    acknowledged: list[Caller]
    unknown: list[Caller]


class PendingOrders:
    """Orders that this member proposed as leader and that are not decided."""

    def __init__(self) -> None:
        self._orders: list[PendingOrder] = []

    def full(self) -> bool:
        """Whether the limit of waiting callers is reached."""
        return sum(len(pending.waiters) for pending in self._orders) >= MAX_PENDING_CALLS

    def join(self, now: int, caller: Caller, order: PutConfiguration) -> bool:
        """Add the caller to a pending order with the same version and text. Return False if there is none."""
        for pending in self._orders:
            if (pending.order.version, pending.order.digest) == (order.version, order.digest):
                pending.waiters.append(Waiter(caller, now + CALL_TIMEOUT_NS))
                return True
        return False

    def add(self, now: int, caller: Caller, order: PutConfiguration, index: int, term: int) -> None:
        """Add a pending order, proposed at `index` in `term`, with its first caller."""
        self._orders.append(PendingOrder(order, index, term, [Waiter(caller, now + CALL_TIMEOUT_NS)]))

    def handle_applied(self, entry: Entry) -> DecidedCallers:
        """Remove the orders that this entry decides, and return their callers."""
        callers = DecidedCallers([], [])
        undecided = []
        for pending in self._orders:
            if pending.index > entry.index:
                undecided.append(pending)
                continue
            is_this_entry = (pending.index, pending.term) == (entry.index, entry.term)
            decided = callers.acknowledged if is_this_entry else callers.unknown
            decided.extend(waiter.caller for waiter in pending.waiters)
        self._orders = undecided
        return callers

    def take_expired(self, now: int) -> list[Caller]:
        """Remove and return timed-out callers. Their orders stay pending, so that a repeated call can join them."""
        return [caller for pending in self._orders for caller in pending.take_expired(now)]

    def take_waiting(self) -> list[Caller]:
        """Remove and return all waiting callers. Their orders stay pending, as in `take_expired`."""
        callers = [waiter.caller for pending in self._orders for waiter in pending.waiters]
        for pending in self._orders:
            pending.waiters = []
        return callers

    def take_all(self) -> list[Caller]:
        """Remove all orders and return their callers: the outcome is unknown, as this member no longer leads."""
        callers = self.take_waiting()
        self._orders = []
        return callers


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """An operator's call that this member forwarded to `leader` and that is not answered yet.

    :param ticket: identifies the call between the program and this member.
    :param expires_at: when it times out (ns).
    :param is_read: true for a read, false for an order.
    """

    ticket: int
    leader: str
    expires_at: int
    is_read: bool


class ForwardedCalls:
    """Operators' calls that this member forwarded to the leader.

    :param member: this member's identity.
    :param start_id: random, drawn at each start, so that replies to calls made before the start match no pending call.
    """

    def __init__(self, member: str, start_id: int) -> None:
        self._member = member
        self._start_id = start_id
        self._last_number = 0
        self._calls: dict[int, ForwardedCall] = {}

    def full(self) -> bool:
        """Whether the limit of forwarded calls is reached."""
        return len(self._calls) >= MAX_PENDING_CALLS

    def add(self, now: int, ticket: int, leader: str, *, is_read: bool) -> CallId:
        """Add a call that is being forwarded. Return the identifier that its reply will carry."""
        self._last_number += 1
        self._calls[self._last_number] = ForwardedCall(ticket, leader, now + CALL_TIMEOUT_NS, is_read)
        return self._call_id(self._last_number)

    def take_answered(self, sender: str, call: CallId, *, is_read: bool) -> ForwardedCall | None:
        """Remove and return the call that `sender` answers; None unless it is pending, of this kind and sent to it."""
        forwarded = self._calls.get(call.number)
        if forwarded is None or call != self._call_id(call.number):
            return None
        if forwarded.leader != sender or forwarded.is_read != is_read:
            return None
        return self._calls.pop(call.number)

    def take_expired(self, now: int, leader: str) -> list[ForwardedCall]:
        """Remove and return calls that have timed out or were sent to a member other than the current leader.

        :param leader: the leader's identity; "" if this member has no contact with a leader.
        """
        ended = [number for number, call in self._calls.items() if now >= call.expires_at or call.leader != leader]
        return [self._calls.pop(number) for number in ended]

    def _call_id(self, number: int) -> CallId:
        return CallId(self._member, self._start_id, number)
