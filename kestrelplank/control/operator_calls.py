"""Operators' orders (replace the configuration) and reads (return the newest one). No I/O.

The leader answers them, any other current member forwards them to the leader, and a member that is not current rejects
them at once.
"""

from typing import assert_never

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
    """Handles calls that an operator made to this member or that another member forwarded to it.

    :param start_id: random, drawn at each start of the member.
    """

    def __init__(self, replica: Replica, start_id: int) -> None:
        self._replica = replica
        self._node = replica.node
        self._orders = PendingOrders()
        self._forwarded = ForwardedCalls(replica.node.identity, start_id)

    # Calls of an operator to this member.

    def handle_replace_call(self, now: int, ticket: int, configuration: Configuration) -> None:
        """Handle a validated order; `AnswerOrder` follows."""
        order = PutConfiguration(configuration.key.version, configuration.key.digest, configuration.text)
        if self._node.leads(now):
            self._handle_order(now, LocalCaller(ticket), order)
        elif self._can_forward(now):
            call = self._forwarded.add(now, ticket, self._node.leader, is_read=False)
            self._replica.send(self._node.leader, SubmitOrder(call, order))
        else:
            self._answer_order_unknown(LocalCaller(ticket))

    def handle_show_call(self, now: int, ticket: int) -> None:
        """Handle a read; `AnswerRead` follows."""
        if self._node.leads(now):
            self._answer_read_by_state(now, LocalCaller(ticket))
        elif self._can_forward(now):
            call = self._forwarded.add(now, ticket, self._node.leader, is_read=True)
            self._replica.send(self._node.leader, ReadConfiguration(call))
        else:
            self._answer_read_unknown(LocalCaller(ticket))

    # Messages from other members.

    def handle_message(
        self, now: int, sender: str, message: SubmitOrder | ReadConfiguration | OrderResult | ReadResult
    ) -> None:
        """Handle a call that another member forwarded, or the leader's result of one forwarded here."""
        match message:
            case SubmitOrder():
                self._handle_submit_order(now, sender, message)
            case ReadConfiguration():
                self._handle_read_configuration(now, sender, message)
            case OrderResult():
                self._handle_order_result(sender, message)
            case ReadResult():
                self._handle_read_result(sender, message)
            case _:
                assert_never(message)

    def _handle_submit_order(self, now: int, sender: str, message: SubmitOrder) -> None:
        """Handle an order that another member forwarded."""
        self._handle_order(now, ForwardingMember(sender, message.call), message.order)

    def _handle_read_configuration(self, now: int, sender: str, message: ReadConfiguration) -> None:
        """Answer a read that another member forwarded."""
        self._answer_read_by_state(now, ForwardingMember(sender, message.call))

    def _handle_order_result(self, sender: str, result: OrderResult) -> None:
        """Answer an operator's order that this member forwarded with the leader's result."""
        forwarded = self._forwarded.take_answered(sender, result.call, is_read=False)
        if forwarded is not None:
            self._answer_order(LocalCaller(forwarded.ticket), result.acknowledged, result.in_force)

    def _handle_read_result(self, sender: str, result: ReadResult) -> None:
        """Answer an operator's read that this member forwarded with the leader's result."""
        forwarded = self._forwarded.take_answered(sender, result.call, is_read=True)
        if forwarded is not None:
            self._answer_read(LocalCaller(forwarded.ticket), result.known, result.text)

    # Events of the replicated log, and time-outs.

    def handle_applied(self, entry: Entry, *, came_into_force: bool) -> None:
        """Answer the callers whose order is decided by this committed entry.

        :param came_into_force: the entry is an order, and it has just put its configuration in force.
        """
        decided = self._orders.handle_applied(entry)
        for caller in decided.acknowledged:
            self._answer_order(caller, True, came_into_force)
        for caller in decided.unknown:
            self._answer_order_unknown(caller)

    def handle_deposed(self) -> None:
        """Answer all pending orders with an unknown outcome, as this member no longer leads."""
        for caller in self._orders.take_all():
            self._answer_order_unknown(caller)

    def tick(self, now: int) -> None:
        """End calls that have timed out; without contact to a majority or the leader, end all calls."""
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
        """Answer the order at once, or add the caller to those waiting for its commit."""
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
        """Answer a read if this member leads: only the leader has surely applied every acknowledged configuration."""
        if not self._node.leads(now):
            self._answer_read_unknown(caller)
            return
        configuration = self._replica.state.configuration
        self._answer_read(caller, True, configuration.text if configuration else None)

    def _answer_order_unknown(self, caller: Caller) -> None:
        """Answer that the order's outcome is unknown: the caller may send it again."""
        self._answer_order(caller, False, False)

    def _answer_order(self, caller: Caller, acknowledged: bool, in_force: bool) -> None:
        match caller:
            case LocalCaller():
                self._replica.emit(AnswerOrder(caller.ticket, acknowledged, in_force))
            case ForwardingMember():
                self._replica.send(caller.identity, OrderResult(caller.call, acknowledged, in_force))

    def _answer_read_unknown(self, caller: Caller) -> None:
        """Answer that this member can't determine the newest configuration."""
        self._answer_read(caller, False, None)

    def _answer_read(self, caller: Caller, known: bool, text: bytes | None) -> None:
        match caller:
            case LocalCaller():
                self._replica.emit(AnswerRead(caller.ticket, known, text))
            case ForwardingMember():
                self._replica.send(caller.identity, ReadResult(caller.call, known, text))
