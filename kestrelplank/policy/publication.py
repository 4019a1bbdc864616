"""Publishes what has changed, within what the channel holds. Paper: actuation.

A load move is one message, the new endpoint first; off a withdrawn node new endpoints go first, then the withdrawal,
and the old endpoints are removed later. Departure: exclusive slices close before they open elsewhere.
"""

from collections.abc import Container

from kestrelplank.interface import ALL_TABLES, SECOND, OrderWriter
from kestrelplank.policy.channel import Channel
from kestrelplank.policy.load_shedding import LoadShedder
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.policy.parameters import ORDINARY_QUEUE_SHARES, RETRY_MODE, SPARE_MESSAGES, URGENT_QUEUE_SHARE
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState


class Publisher:
    """Orders differences between what is desired and what was ordered, what binds first (rules 1, 3, 4)."""

    def __init__(self, state: AssignerState, channel: Channel, shedder: LoadShedder) -> None:
        self._state, self._channel, self._shedder = state, channel, shedder
        settings = state.settings
        least, most = ORDINARY_QUEUE_SHARES
        in_deadline = settings.withdrawal_deadline_ns / SECOND * settings.orders_per_s / max(1, settings.queue_limit)
        self.ordinary_share = min(most, max(least, in_deadline / 3))  # of the queue: a drain must still get through
        self._orders, self._room = 0, 0.0  # of the present message

    def publish(self, now: int, out: OrderWriter) -> None:
        """Order what is due as one message, as far as there is room."""
        withdrawn = {node.index: node for node in self._state.nodes.values() if node.withdrawn}
        urgent, ordinary = self._changed_slices(withdrawn)
        due = [node for node in self._state.nodes.values() if node.order_due]
        due.sort(key=lambda node: (node.withdrawn, not node.bound_to_withdraw()))
        self._orders = 0
        self._room = self._channel.room(now, URGENT_QUEUE_SHARE, 0, len(urgent) + len(due))
        self._order_withdrawals_that_do_not_wait(now, due, out)
        self._order_slices(now, urgent, withdrawn, out)
        self._order_other_withdrawals(now, due, withdrawn, out)
        self._order_admission(out)
        self._room = 0
        if ordinary:
            self._room = self._channel.room(now, self.ordinary_share, SPARE_MESSAGES, 2 * len(ordinary))
        self._order_slices(now, ordinary, (), out)
        if self._orders:
            self._channel.send(now, self._orders, out)

    def _changed_slices(self, withdrawn: dict[int, Node]) -> tuple[list[Slice], list[Slice]]:
        """Return urgent slices, which need an endpoint in place of one on a withdrawn node, and the other changed ones.

        Urgent ones that a rule binds go first, and of these those that nothing else serves; of the others those that
        keep a node from being let in again.
        """
        bound = {index for index, node in withdrawn.items() if node.bound_to_withdraw()}
        waiting = {index for index, node in withdrawn.items() if node.state is NodeState.UP}
        urgent: list[Slice] = []
        ordinary: list[Slice] = []
        for owned in self._state.slices.values():
            if owned.desired != owned.ordered:
                gains = not owned.ordered.keys() >= owned.desired.keys()
                loses = not withdrawn.keys().isdisjoint(owned.ordered)
                (urgent if loses and gains or not owned.ordered else ordinary).append(owned)
        urgent.sort(key=lambda owned: (bound.isdisjoint(owned.ordered), not withdrawn.keys() >= owned.ordered.keys()))
        ordinary.sort(key=lambda owned: waiting.isdisjoint(owned.ordered.keys() - owned.desired.keys()))
        return urgent, ordinary

    def _order_withdrawals_that_do_not_wait(self, now: int, due: list[Node], out: OrderWriter) -> None:
        """Let nodes in; withdraw restarted ones, and bound ones late in their deadline, whatever they still serve."""
        late_ns = self._state.settings.withdrawal_deadline_ns // 4
        for node in due:
            late = node.bound_to_withdraw() and now - node.withdrawal_changed_at > late_ns
            if self._orders < self._room and (not node.withdrawn or not node.emptied or late):
                self._order_withdrawal(now, node, out)

    def _order_other_withdrawals(self, now: int, due: list[Node], withdrawn: dict[int, Node], out: OrderWriter) -> None:
        """Withdraw nodes where that leaves no slice without an endpoint."""
        needed: set[int] = set()
        for owned in self._state.slices.values():
            if withdrawn.keys() >= owned.ordered.keys():
                needed.update(owned.ordered)
        for node in due:
            if self._orders < self._room and node.order_due and node.index not in needed:
                self._order_withdrawal(now, node, out)

    def _order_withdrawal(self, now: int, node: Node, out: OrderWriter) -> None:
        out.set_withdrawn(node.index, node.withdrawn)
        node.order_due, node.ordered_at = False, now
        self._orders += 1

    def _order_admission(self, out: OrderWriter) -> None:
        if self._shedder.active and self._orders < self._room:
            for op_type, share in self._shedder.shares().items():
                if self._shedder.ordered.get(op_type, 1.0) != share:
                    out.set_admission(ALL_TABLES, 1 << op_type, share, RETRY_MODE)
                    self._shedder.ordered[op_type] = share
                    self._orders += 1

    def _order_slices(self, now: int, changed: list[Slice], kept_nodes: Container[int], out: OrderWriter) -> None:
        """Order slices while there is room, without removing endpoints on `kept_nodes`."""
        exclusive = self._state.settings.exclusive_slices
        for owned in changed:
            if self._orders < self._room:
                self._orders += self.hand_over(now, owned, out) if exclusive else order_slice(owned, kept_nodes, out)

    def hand_over(self, now: int, owned: Slice, out: OrderWriter) -> int:
        """Order the next step of an exclusive slice's handover; return the number of orders.

        The old endpoint goes; the new one comes once all proxies have acknowledged that and writes are over (rule 2).
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
    """Order a slice's new endpoints, then the end of old ones; return the number of orders."""
    changes = [(index, weight) for index, weight in owned.desired.items() if owned.ordered.get(index) != weight]
    changes += [(index, 0) for index in owned.ordered if index not in owned.desired and index not in kept_nodes]
    for index, weight in changes:
        out.set_endpoint(owned.number, index, weight)
    kept = {index: weight for index, weight in owned.ordered.items() if index in kept_nodes}
    owned.ordered = {**kept, **owned.desired}
    return len(changes)
