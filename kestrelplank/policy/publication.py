"""Publishes changed state as orders, within the channel's capacity. Mirador paper: actuation.

A load move is one message, with the new endpoint first. For a withdrawn node the new endpoints are ordered first, then
the withdrawal, and later the removal of old endpoints. Departure: exclusive slices close before they open elsewhere.
"""

from collections.abc import Container

from kestrelplank.interface import ALL_TABLES, SECOND, OrderWriter
from kestrelplank.policy.channel import Channel
from kestrelplank.policy.load_shedding import LoadShedder
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.policy.parameters import ORDINARY_QUEUE_SHARES, RESERVED_MESSAGES, RETRY_MODE, URGENT_QUEUE_SHARE
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState


class Publisher:
    """Orders the differences between desired and ordered state, those that a rule requires first (rules 1, 3, 4)."""

    def __init__(self, state: AssignerState, channel: Channel, shedder: LoadShedder) -> None:
        self._state, self._channel, self._shedder = state, channel, shedder
        settings = state.settings
        min_share, max_share = ORDINARY_QUEUE_SHARES
        deadline_share = settings.withdrawal_deadline_ns / SECOND * settings.orders_per_s / max(1, settings.queue_limit)
        # Share of the queue for ordinary orders, so that orders for a drain still fit.
        self.ordinary_share = min(max_share, max(min_share, deadline_share / 3))
        self._orders, self._capacity = 0, 0.0  # of the current message

    def publish(self, now: int, out: OrderWriter) -> None:
        """Write the due orders that fit as one message."""
        withdrawn = {node.index: node for node in self._state.nodes.values() if node.withdrawn}
        urgent, ordinary = self._changed_slices(withdrawn)
        due = [node for node in self._state.nodes.values() if node.order_due]
        due.sort(key=lambda node: (node.withdrawn, not node.withdrawal_required()))
        self._orders = 0
        self._capacity = self._channel.capacity(now, URGENT_QUEUE_SHARE, 0, len(urgent) + len(due))
        self._order_unconditional_withdrawals(now, due, out)
        self._order_slices(now, urgent, withdrawn, out)
        self._order_other_withdrawals(now, due, withdrawn, out)
        self._order_admission(out)
        self._capacity = 0
        if ordinary:
            self._capacity = self._channel.capacity(now, self.ordinary_share, RESERVED_MESSAGES, 2 * len(ordinary))
        self._order_slices(now, ordinary, (), out)
        if self._orders:
            self._channel.send(now, self._orders, out)

    def _changed_slices(self, withdrawn: dict[int, Node]) -> tuple[list[Slice], list[Slice]]:
        """Return urgent slices, which need an endpoint in place of one on a withdrawn node, and the other changed ones.

        Urgent slices that a rule requires to move come first, among them those without another endpoint. Of the other
        slices those that delay the readmission of a node come first.
        """
        required = {index for index, node in withdrawn.items() if node.withdrawal_required()}
        awaiting_readmission = {index for index, node in withdrawn.items() if node.state is NodeState.UP}
        urgent: list[Slice] = []
        ordinary: list[Slice] = []
        for owned in self._state.slices.values():
            if owned.desired != owned.ordered:
                gains = not owned.ordered.keys() >= owned.desired.keys()
                loses = not withdrawn.keys().isdisjoint(owned.ordered)
                (urgent if loses and gains or not owned.ordered else ordinary).append(owned)
        urgent.sort(
            key=lambda owned: (required.isdisjoint(owned.ordered), not withdrawn.keys() >= owned.ordered.keys())
        )
        ordinary.sort(key=lambda owned: awaiting_readmission.isdisjoint(owned.ordered.keys() - owned.desired.keys()))
        return urgent, ordinary

    def _order_unconditional_withdrawals(self, now: int, due: list[Node], out: OrderWriter) -> None:
        """Readmit nodes; withdraw restarted ones, and any that a rule requires late in its deadline, even if needed."""
        late_ns = self._state.settings.withdrawal_deadline_ns // 4
        for node in due:
            late = node.withdrawal_required() and now - node.withdrawal_changed_at > late_ns
            if self._orders < self._capacity and (not node.withdrawn or not node.former_slices_removed or late):
                self._order_withdrawal(now, node, out)

    def _order_other_withdrawals(self, now: int, due: list[Node], withdrawn: dict[int, Node], out: OrderWriter) -> None:
        """Withdraw nodes whose withdrawal leaves no slice without an endpoint."""
        needed: set[int] = set()
        for owned in self._state.slices.values():
            if withdrawn.keys() >= owned.ordered.keys():
                needed.update(owned.ordered)
        for node in due:
            if self._orders < self._capacity and node.order_due and node.index not in needed:
                self._order_withdrawal(now, node, out)

    def _order_withdrawal(self, now: int, node: Node, out: OrderWriter) -> None:
        out.set_withdrawn(node.index, node.withdrawn)
        node.order_due, node.ordered_at = False, now
        self._orders += 1

    def _order_admission(self, out: OrderWriter) -> None:
        if self._shedder.active and self._orders < self._capacity:
            for op_type, share in self._shedder.shares().items():
                if self._shedder.ordered.get(op_type, 1.0) != share:
                    out.set_admission(ALL_TABLES, 1 << op_type, share, RETRY_MODE)
                    self._shedder.ordered[op_type] = share
                    self._orders += 1

    def _order_slices(self, now: int, changed: list[Slice], kept_nodes: Container[int], out: OrderWriter) -> None:
        """Order slices while the message has capacity, without removing endpoints on `kept_nodes`."""
        exclusive = self._state.settings.exclusive_slices
        for owned in changed:
            if self._orders < self._capacity:
                self._orders += self.hand_over(now, owned, out) if exclusive else order_slice(owned, kept_nodes, out)

    def hand_over(self, now: int, owned: Slice, out: OrderWriter) -> int:
        """Order the next step of an exclusive slice's handover; return the number of orders.

        First the old endpoint is removed; the new one is added once all proxies have acknowledged the removal and
        writes have ended (rule 2).
        """
        if owned.ordered:
            out.set_endpoint(owned.number, next(iter(owned.ordered)), 0)
            owned.ordered, owned.closing_watermark, owned.opens_at = {}, self._channel.next_watermark, None
            return 1
        target = owned.first_node()
        if target is None or not self._channel.acknowledged_by_all(owned.closing_watermark):
            return 0
        if owned.opens_at is None:
            owned.opens_at = max(now, self._state.proxies_left_until) + self._state.settings.write_timeout_ns
        if now < owned.opens_at:
            return 0
        out.set_endpoint(owned.number, target, 1.0)
        owned.ordered = dict(owned.desired)
        return 1


def order_slice(owned: Slice, kept_nodes: Container[int], out: OrderWriter) -> int:
    """Order a slice's new endpoints, then the removal of old ones; return the number of orders."""
    changes = [(index, weight) for index, weight in owned.desired.items() if owned.ordered.get(index) != weight]
    changes += [(index, 0) for index in owned.ordered if index not in owned.desired and index not in kept_nodes]
    for index, weight in changes:
        out.set_endpoint(owned.number, index, weight)
    kept = {index: weight for index, weight in owned.ordered.items() if index in kept_nodes}
    owned.ordered = {**kept, **owned.desired}
    return len(changes)
