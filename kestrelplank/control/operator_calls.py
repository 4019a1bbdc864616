"""Operators' orders and reads: confirmed and answered by the leader, passed on to it by a member that is current,
refused at once by any other. No I/O."""

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.log_entries import Entry, PutConfiguration
from kestrelplank.consensus.member_messages import OrderResult, ReadConfiguration, ReadResult, SubmitOrder
from kestrelplank.control.effects import AnswerOrder, AnswerRead
from kestrelplank.control.pending_calls import Caller, PassedCalls, PassedOn, PendingOrders, Ticket
from kestrelplank.control.replica import Replica


class OperatorCalls:
    """Calls that this member has been asked, by an operator or by a member that passed one on. `life`: drawn anew at
    each start."""

    def __init__(self, replica: Replica, life: int) -> None:
        self._replica, self._node = replica, replica.node
        self._orders = PendingOrders()
        self._passed = PassedCalls(replica.node.identity, life)

    # What the operator asks this member.

    def put(self, now: int, ticket: int, configuration: Configuration) -> None:
        """`AnswerOrder` follows."""
        order = PutConfiguration(configuration.key.version, configuration.key.digest, configuration.text)
        if self._node.leads(now):
            self._confirm(now, Ticket(ticket), order)
        elif self._can_pass_on(now):
            call = self._passed.add(now, ticket, self._node.leader, reads=False)
            self._replica.send(self._node.leader, SubmitOrder(call, order))
        else:
            self._answer_order(Ticket(ticket), False)

    def show(self, now: int, ticket: int) -> None:
        """`AnswerRead` follows."""
        if self._node.leads(now):
            self._read(now, Ticket(ticket))
        elif self._can_pass_on(now):
            call = self._passed.add(now, ticket, self._node.leader, reads=True)
            self._replica.send(self._node.leader, ReadConfiguration(call))
        else:
            self._answer_read(Ticket(ticket), False, None)

    # What other members ask, and what they answer.

    def on_submit(self, now: int, sender: str, message: SubmitOrder) -> None:
        self._confirm(now, PassedOn(sender, message.call), message.order)

    def on_read(self, now: int, sender: str, message: ReadConfiguration) -> None:
        self._read(now, PassedOn(sender, message.call))

    def on_order_result(self, sender: str, result: OrderResult) -> None:
        passed = self._passed.answered(sender, result.call, reads=False)
        if passed is not None:
            self._answer_order(Ticket(passed.ticket), result.acknowledged, result.in_force)

    def on_read_result(self, sender: str, result: ReadResult) -> None:
        passed = self._passed.answered(sender, result.call, reads=True)
        if passed is not None:
            self._answer_read(Ticket(passed.ticket), result.known, result.text)

    # What happens meanwhile.

    def applied(self, entry: Entry, took_force: bool) -> None:
        """That entry is committed and applied; `took_force`: it was an order that is in force now."""
        acknowledged, unknown = self._orders.applied(entry)
        for caller in acknowledged:
            self._answer_order(caller, True, took_force)
        for caller in unknown:
            self._answer_order(caller, False)

    def deposed(self) -> None:
        """This member leads no longer."""
        for caller in self._orders.drop():
            self._answer_order(caller, False)

    def expire(self, now: int) -> None:
        """Ends calls that have waited too long."""
        for caller in self._orders.expired(now):
            self._answer_order(caller, False)
        for passed in self._passed.expired(now, self._node.leader):
            if passed.reads:
                self._answer_read(Ticket(passed.ticket), False, None)
            else:
                self._answer_order(Ticket(passed.ticket), False)

    def _can_pass_on(self, now: int) -> bool:
        known = self._node.leader not in ("", self._node.identity)
        return known and self._node.current(now) and not self._passed.full()

    def _confirm(self, now: int, caller: Caller, order: PutConfiguration) -> None:
        """An order that we are to put in force, if we lead."""
        if not self._node.leads(now):
            self._answer_order(caller, False)
        elif self._replica.state.acknowledges(order):
            self._answer_order(caller, True, self._replica.state.holds(order))
        elif self._orders.full():
            self._answer_order(caller, False)
        elif not self._orders.attach(now, caller, order):
            index = self._replica.propose(now, order)
            if index is None:
                self._answer_order(caller, False)
            else:
                self._orders.add(now, caller, order, index, self._node.term)

    def _read(self, now: int, caller: Caller) -> None:
        """A read that we are to answer, if we lead: then all that was ever acknowledged is applied here."""
        known = self._node.leads(now)
        force = self._replica.state.configuration if known else None
        self._answer_read(caller, known, force.text if force else None)

    def _answer_order(self, caller: Caller, acknowledged: bool, in_force: bool = False) -> None:
        if isinstance(caller, Ticket):
            self._replica.emit(AnswerOrder(caller.number, acknowledged, in_force))
        else:
            self._replica.send(caller.sender, OrderResult(caller.call, acknowledged, in_force))

    def _answer_read(self, caller: Caller, known: bool, text: bytes | None) -> None:
        if isinstance(caller, Ticket):
            self._replica.emit(AnswerRead(caller.number, known, text))
        else:
            self._replica.send(caller.sender, ReadResult(caller.call, known, text))
