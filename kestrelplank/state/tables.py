"""A proxy's load-balancing tables, which several assigners update, and the nodes available in them.

Each assigner sends its orders in numbered messages over a stream. A message is applied atomically, once, and in order;
a duplicate changes nothing and is acknowledged again, as the first acknowledgement may have been lost. Tables and
withdrawals outlive the stream: a proxy that has lost its assigner continues with the last state.
"""

from collections.abc import Callable, Sequence
from math import isfinite
from typing import TypedDict, assert_never

from kestrelplank.interface import ALL_TABLES
from kestrelplank.state.table_orders import (
    ClearTable,
    RequestAcknowledgement,
    SetAdmission,
    SetEndpoint,
    SetWithdrawn,
    TableOrder,
)

RETRY_MODES = (0, 1)  # 0: no retry; 1: one retry, if the first attempt provably did not run


class UpdateRejectedError(ValueError):
    """An update can't be applied; the text says why. Nothing of it has taken effect."""


class MessageGapError(UpdateRejectedError):
    """A message of the stream is missing; the stream must be restarted."""


class TablesContent(TypedDict):
    """The content of all tables as stored in a file; the keys are those of the file.

    :param lines: by table, the weight of each node by name.
    :param sources: assigner, names of the nodes that it withdrew, admission shares by op type, retry mode.
    :param charge: by table, the assigner that owns it.
    :param levels: table, admission shares by op type.
    :param again: table, retry mode.
    """

    lines: list[dict[str, float]]
    sources: list[tuple[int, list[str], list[tuple[int, float]], int | None]]
    charge: list[int | None]
    levels: list[tuple[int, list[tuple[int, float]]]]
    again: list[tuple[int, int]]


class AssignerOrders:
    """The orders of one assigner that apply to all of its tables.

    `next_message` is the number expected of the next message on the current stream.
    """

    def __init__(self) -> None:
        self.next_message = 0
        self.withdrawn: dict[int, None] = {}  # nodes, in order
        self.shares: dict[int, float] = {}  # by op type
        self.retry_mode: int | None = None


def with_weight(weights: dict[int, float], node: int, weight: float) -> dict[int, float]:
    """Return a copy of a table's weights with the node's set; a weight of 0 removes the node."""
    changed = dict(weights)
    if weight:
        changed[node] = weight
    else:
        changed.pop(node, None)
    return changed


class Tables:
    """All tables of a proxy, numbered from 0.

    The available nodes are computed once per change, not once per op.

    Invariants, each with the test in `tests/state/test_tables.py` that checks it:

    - A message with an invalid order changes nothing: `test_message_with_an_invalid_order_changes_nothing`.
    - The available nodes are those of the table that its owner has not withdrawn:
      `test_available_nodes_equal_those_of_a_simple_replay`.

    :param tables: the number of tables.
    :param op_types: the number of op types.
    :param initial_retry_mode: the retry mode until an assigner sets one.
    """

    def __init__(self, tables: int, op_types: int, initial_retry_mode: int) -> None:
        self.size, self._op_types, self._initial_retry_mode = tables, op_types, initial_retry_mode
        self._weights: list[dict[int, float]] = [{}] * tables  # never modified in place: proxies may share them
        self._available: list[tuple[tuple[int, float], ...] | None] = [None] * tables
        self._owners: list[int | None] = [None] * tables
        self._shares: dict[int, dict[int, float]] = {}  # by table and op type
        self._retry_modes: dict[int, int] = {}  # by table
        self._assigners: dict[int | None, AssignerOrders] = {}  # by owner; there is no entry for None

    # Updates.

    def begin_stream(self, assigner: int) -> None:
        """Start a new stream of an assigner; its messages are numbered from 0."""
        self._assigners.setdefault(assigner, AssignerOrders()).next_message = 0

    def set_table(self, table: int, owner: int, weights: dict[int, float]) -> None:
        """Set a table's owner and weights; reset its own admission shares and retry mode."""
        self._weights[table], self._owners[table], self._available[table] = weights, owner, None
        self._shares.pop(table, None)
        self._retry_modes.pop(table, None)

    def apply(self, assigner: int, number: int, orders: Sequence[TableOrder]) -> tuple[list[int], list[int]]:
        """Apply a message of orders; for a duplicate, only return its watermarks again.

        :returns: the tables whose available nodes may have changed, and the watermarks to acknowledge.
        :raises UpdateRejectedError: an order is invalid, or the assigner has no stream; nothing has changed.
        :raises MessageGapError: a message before this one is missing; nothing has changed.
        """
        assigner_orders = self._assigners.get(assigner)
        if assigner_orders is None:
            raise UpdateRejectedError(f"assigner {assigner} has no open stream")
        watermarks = [order.watermark for order in orders if isinstance(order, RequestAcknowledgement)]
        if number < assigner_orders.next_message:
            return [], watermarks
        if number > assigner_orders.next_message:
            raise MessageGapError(f"received message {number}, expected {assigner_orders.next_message}")
        for index, order in enumerate(orders):
            problem = self._problem_with(order)
            if problem:
                raise UpdateRejectedError(f"order {index}: {problem}")
        assigner_orders.next_message += 1
        changed = self._apply_orders(assigner, assigner_orders, orders)
        for table in changed:
            self._available[table] = None
        return list(changed), watermarks

    def _apply_orders(
        self, assigner: int, assigner_orders: AssignerOrders, orders: Sequence[TableOrder]
    ) -> dict[int, None]:
        """Apply valid orders; return the tables whose available nodes may have changed, in order."""
        changed: dict[int, None] = {}
        nodes: dict[int, None] = {}  # whose withdrawal was set or cleared
        for order in orders:
            match order:
                case SetEndpoint(table=table):
                    self._weights[table] = with_weight(self._weights[table], order.node, order.weight)
                    changed[table] = None
                case ClearTable(table=table):
                    self.set_table(table, assigner, {})
                    changed[table] = None
                case SetWithdrawn():
                    self._set_withdrawn(assigner_orders, order)
                    nodes[order.node] = None
                case SetAdmission():
                    self._set_admission(assigner_orders, order)
                case RequestAcknowledgement():
                    pass  # `apply` has collected its watermark
                case _:
                    assert_never(order)
        if nodes:  # one pass per message, however many nodes it withdraws
            changed.update(
                (table, None)
                for table, weights in enumerate(self._weights)
                if self._owners[table] == assigner and not nodes.keys().isdisjoint(weights)
            )
        return changed

    def _problem_with(self, order: TableOrder) -> str:
        """Return why an order is invalid, or an empty text."""
        match order:
            case SetEndpoint():
                if not self._has(order.table):
                    return f"table {order.table} does not exist"
                return (
                    ""
                    if isfinite(order.weight) and order.weight >= 0
                    else f"weight {order.weight}, expected a finite number >= 0"
                )
            case ClearTable():
                return "" if self._has(order.table) else f"table {order.table} does not exist"
            case SetAdmission():
                return self._problem_with_admission(order)
            case SetWithdrawn() | RequestAcknowledgement():
                return ""
            case _:
                assert_never(order)

    def _problem_with_admission(self, order: SetAdmission) -> str:
        if order.table != ALL_TABLES and not self._has(order.table):
            return f"table {order.table} does not exist"
        if not (isfinite(order.share) and order.share >= 0):
            return f"admission share {order.share}, expected a finite number >= 0"
        if order.retry_mode not in RETRY_MODES:
            return f"retry mode {order.retry_mode} is not supported"
        return ""

    def _has(self, table: int) -> bool:
        return 0 <= table < self.size

    def _set_withdrawn(self, assigner_orders: AssignerOrders, order: SetWithdrawn) -> None:
        if order.withdrawn:
            assigner_orders.withdrawn[order.node] = None
        else:
            assigner_orders.withdrawn.pop(order.node, None)

    def _set_admission(self, assigner_orders: AssignerOrders, order: SetAdmission) -> None:
        table = order.table
        shares = assigner_orders.shares if table == ALL_TABLES else self._shares.setdefault(table, {})
        for op_type in range(self._op_types):
            if not order.op_types or order.op_types >> op_type & 1:
                shares[op_type] = order.share
        if table == ALL_TABLES:
            assigner_orders.retry_mode = order.retry_mode
        else:
            self._retry_modes[table] = order.retry_mode

    # Persistence.

    def content(self, name_of: Callable[[int], str]) -> TablesContent:
        """Return the content to store, with nodes by name; streams and message numbers are not stored."""
        return {
            "lines": [{name_of(node): weight for node, weight in weights.items()} for weights in self._weights],
            "sources": [
                (
                    assigner,
                    [name_of(node) for node in assigner_orders.withdrawn],
                    list(assigner_orders.shares.items()),
                    assigner_orders.retry_mode,
                )
                for assigner, assigner_orders in self._assigners.items()
                if assigner is not None
            ],
            "charge": self._owners,
            "levels": [(table, list(shares.items())) for table, shares in self._shares.items()],
            "again": list(self._retry_modes.items()),
        }

    def restore(self, content: TablesContent, node_of: Callable[[str], int]) -> None:
        """Replace all tables with those that `content` returned.

        :raises UpdateRejectedError: the number of tables differs; nothing has changed.
        """
        if len(content["lines"]) != self.size or len(content["charge"]) != self.size:
            raise UpdateRejectedError(f"{len(content['lines'])} tables are stored, but {self.size} are configured")
        self._weights = [{node_of(name): weight for name, weight in weights.items()} for weights in content["lines"]]
        self._owners, self._available = list(content["charge"]), [None] * self.size
        for assigner, withdrawn, shares, retry_mode in content["sources"]:
            assigner_orders = self._assigners[assigner] = AssignerOrders()
            assigner_orders.withdrawn = dict.fromkeys(map(node_of, withdrawn))
            assigner_orders.shares, assigner_orders.retry_mode = dict(shares), retry_mode
        self._shares = {table: dict(shares) for table, shares in content["levels"]}
        self._retry_modes = dict(content["again"])

    # Queries.

    def has_assigner(self, assigner: int) -> bool:
        """Whether the assigner has ever started a stream, or its orders were restored."""
        return assigner in self._assigners

    def weights(self, table: int) -> dict[int, float]:
        """Return the weight of each node of a table, withdrawn or not."""
        return self._weights[table]

    def owner(self, table: int) -> int | None:
        """Return the assigner that owns a table; None if it has no owner yet."""
        return self._owners[table]

    def withdrawn(self, assigner: int) -> list[int]:
        """Return the nodes that an assigner has withdrawn, in the order in which it withdrew them."""
        return list(self._assigners[assigner].withdrawn) if assigner in self._assigners else []

    def available(self, table: int) -> tuple[tuple[int, float], ...]:
        """Return (node, weight) of the table's nodes that its owner has not withdrawn."""
        available = self._available[table]
        if available is None:
            assigner_orders = self._assigners.get(self._owners[table])
            withdrawn = assigner_orders.withdrawn if assigner_orders else {}
            weights = self._weights[table].items()
            available = tuple((node, weight) for node, weight in weights if node not in withdrawn)
            self._available[table] = available
        return available

    def admitted_share(self, table: int, op_type: int) -> float:
        """Return the share of ops to admit: the lower of the table's share and its owner's share for all tables."""
        assigner_orders = self._assigners.get(self._owners[table])
        table_share = self._shares.get(table, {}).get(op_type, 1.0) if self._shares else 1.0
        return min(table_share, assigner_orders.shares.get(op_type, 1.0) if assigner_orders else 1.0)

    def retry_mode(self, table: int) -> int:
        """Return the retry mode: the table's, else its owner's, else the initial one."""
        if table in self._retry_modes:
            return self._retry_modes[table]
        assigner_orders = self._assigners.get(self._owners[table])
        return (
            self._initial_retry_mode
            if assigner_orders is None or assigner_orders.retry_mode is None
            else assigner_orders.retry_mode
        )
