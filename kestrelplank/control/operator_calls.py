"""Operators' orders (to replace the configuration) and reads (of the newest). No I/O.

The leader answers them, a member that is current forwards them to it, any other rejects them at once.
"""

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.log_entries import Entry, PutConfiguration
from kestrelplank.consensus.member_messages import OrderResult, ReadConfiguration, ReadResult, SubmitOrder
from kestrelplank.control.effects import AnswerOrder, AnswerRead
from kestrelplank.control.pending_calls import (
    Caller,
    ForwardedCalls,
    ForwardingMember,
    LocalCaller,
    PendingOrders,
)
from kestrelplank.control.replica import Replica


class OperatorCalls:
    """Calls that an operator made to this member, or that another member forwarded to it.

    :param start_id: drawn anew at each start of the member.
    """

    def __init__(self, replica: Replica, start_id: int) -> None:
        self._replica = replica
        self._node = replica.node
        self._orders = PendingOrders()
        self._forwarded = ForwardedCalls(replica.node.identity, start_id)

    # Calls of the operator to this member.

    def handle_replace_call(self, now: int, ticket: int, configuration: Configuration) -> None:
        """Take an order that has passed the checks; `AnswerOrder` follows."""
        order = PutConfiguration(configuration.key.version, configuration.key.digest, configuration.text)
        if self._node.leads(now):
            self._handle_order(now, LocalCaller(ticket), order)
        elif self._can_forward(now):
            call = self._forwarded.add(now, ticket, self._node.leader, is_read=False)
            self._replica.send(self._node.leader, SubmitOrder(call, order))
        else:
            self._answer_order_unknown(LocalCaller(ticket))

    def handle_show_call(self, now: int, ticket: int) -> None:
        """Take a read; `AnswerRead` follows."""
        if self._node.leads(now):
            self._answer_read_by_state(now, LocalCaller(ticket))
        elif self._can_forward(now):
            call = self._forwarded.add(now, ticket, self._node.leader, is_read=True)
            self._replica.send(self._node.leader, ReadConfiguration(call))
        else:
            self._answer_read_unknown(LocalCaller(ticket))

    # Messages of other members.

    def handle_submit_order(self, now: int, sender: str, message: SubmitOrder) -> None:
        """Take an order that another member forwards."""
        self._handle_order(now, ForwardingMember(sender, message.call), message.order)

    def handle_read_configuration(self, now: int, sender: str, message: ReadConfiguration) -> None:
        """Answer a read that another member forwards."""
        self._answer_read_by_state(now, ForwardingMember(sender, message.call))

    def handle_order_result(self, sender: str, result: OrderResult) -> None:
        """Pass on the answer to an order that we forwarded."""
        forwarded = self._forwarded.take_answered(sender, result.call, is_read=False)
        if forwarded is not None:
            self._answer_order(LocalCaller(forwarded.ticket), result.acknowledged, result.in_force)

    def handle_read_result(self, sender: str, result: ReadResult) -> None:
        """Pass on the answer to a read that we forwarded."""
        forwarded = self._forwarded.take_answered(sender, result.call, is_read=True)
        if forwarded is not None:
            self._answer_read(LocalCaller(forwarded.ticket), result.known, result.text)

    # Events of the replicated log, and time.

    def handle_applied(self, entry: Entry, *, came_into_force: bool) -> None:
        """Answer those whose order this committed entry decides.

        :param came_into_force: the entry is an order, and its configuration is in force now.
        """
        decided = self._orders.handle_applied(entry)
        for caller in decided.acknowledged:
            self._answer_order(caller, True, came_into_force)
        for caller in decided.unknown:
            self._answer_order_unknown(caller)

    def handle_deposed(self) -> None:
        """Answer all whose order is pending: this member leads no longer, so its outcome is unknown."""
        for caller in self._orders.take_all():
            self._answer_order_unknown(caller)

    def tick(self, now: int) -> None:
        """End calls that have waited too long, and all of them once nobody is heard that they wait for."""
        in_contact = self._node.in_contact(now)
        for caller in self._orders.take_expired(now) if in_contact else self._orders.take_waiting():
            self._answer_order_unknown(caller)
        for forwarded in self._forwarded.take_expired(now, self._node.leader if in_contact else ""):
            caller = LocalCaller(forwarded.ticket)
            if forwarded.is_read:
                self._answer_read_unknown(caller)
            else:
                self._answer_order_unknown(caller)

    def _can_forward(self, now: int) -> bool:
        another_leads = self._node.leader not in ("", self._node.identity)
        in_reach = self._node.current(now) and self._node.in_contact(now)
        return another_leads and in_reach and not self._forwarded.full()

    def _handle_order(self, now: int, caller: Caller, order: PutConfiguration) -> None:
        """Answer the order, or let the caller wait until it is committed."""
        if not self._node.leads(now):
            self._answer_order_unknown(caller)
        elif self._replica.state.is_decided(order):
            self._answer_order(caller, True, self._replica.state.is_in_force(order))
        elif self._orders.full():
            self._answer_order_unknown(caller)
        elif not self._orders.join(now, caller, order):
            self._propose(now, caller, order)

    def _propose(self, now: int, caller: Caller, order: PutConfiguration) -> None:
        index = self._replica.propose(now, order)
        if index is None:
            self._answer_order_unknown(caller)
        else:
            self._orders.add(now, caller, order, index, self._node.term)

    def _answer_read_by_state(self, now: int, caller: Caller) -> None:
        """Answer a read. Only a leader can: all that was ever acknowledged is applied here."""
        if not self._node.leads(now):
            self._answer_read_unknown(caller)
            return
        configuration = self._replica.state.configuration
        self._answer_read(caller, True, configuration.text if configuration else None)

    def _answer_order_unknown(self, caller: Caller) -> None:
        """Say that the order may be in force later, or never: the caller may send it again."""
        self._answer_order(caller, False, False)

    def _answer_order(self, caller: Caller, acknowledged: bool, in_force: bool) -> None:
        match caller:
            case LocalCaller():
                self._replica.emit(AnswerOrder(caller.ticket, acknowledged, in_force))
            case ForwardingMember():
                self._replica.send(caller.identity, OrderResult(caller.call, acknowledged, in_force))

    def _answer_read_unknown(self, caller: Caller) -> None:
        """Say that this member can't know the newest configuration."""
        self._answer_read(caller, False, None)

    def _answer_read(self, caller: Caller, known: bool, text: bytes | None) -> None:
        match caller:
            case LocalCaller():
                self._replica.emit(AnswerRead(caller.ticket, known, text))
            case ForwardingMember():
                self._replica.send(caller.identity, ReadResult(caller.call, known, text))
