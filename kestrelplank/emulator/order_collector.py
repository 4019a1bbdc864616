"""What a policy orders in one round."""

from collections.abc import Callable
from typing import cast

from kestrelplank.decode import Ids
from kestrelplank.interface import OrderWriter
from kestrelplank.state.table_orders import (
    ClearTable,
    RequestAcknowledgement,
    SetAdmission,
    SetEndpoint,
    SetWithdrawn,
    TableOrder,
)


class OrderCollector(OrderWriter):
    """Collects a round's orders, in the simulation's numbers; what a rehearsal has no use for is left undone.

    :param ids: the numbers that the assigner has given to nodes.
    """

    def __init__(self, ids: Ids, set_timer: Callable[[int, str], None]) -> None:
        self._ids, self._set_timer = ids, set_timer
        self.orders: list[TableOrder] = []

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """TableOrder the weight of a node in a slice's table."""
        self.orders.append(SetEndpoint(table, self._number(node), weight))

    def clear_table(self, table: int) -> None:
        """TableOrder that a slice's table has no nodes."""
        self.orders.append(ClearTable(table))

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        """TableOrder that no proxy sends to a node, or that it may again."""
        self.orders.append(SetWithdrawn(self._number(node), withdrawn))

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        """TableOrder the share of ops that is admitted."""
        self.orders.append(SetAdmission(table, op_types, share, retry_mode))

    def request_acknowledgement(self, watermark: int, all_proxies: bool, backlog_ns: int = 0) -> None:  # noqa: ARG002 - interface
        """TableOrder that proxies acknowledge when they have come to here."""
        self.orders.append(RequestAcknowledgement(watermark))

    def set_timer(self, at: int, name: str) -> None:
        """Fire a timer at that instant."""
        self._set_timer(at, name)

    def forget_node(self, node: int) -> None:
        """Take the number of a node back."""
        self._ids.forget(node)

    def _number(self, node: int) -> int:
        return cast(int, self._ids.node_ids[node])

    # What a rehearsal has no use for.

    def bind_proxy(self, proxy: int, table: int, op_types: int) -> None:
        """Do nothing: every proxy has all slices."""

    def check_health(self, node: int) -> None:
        """Do nothing: there are no health checks."""

    def send_to_peers(self, peer: int | None, body: bytes) -> None:
        """Do nothing: assigners don't talk."""

    def share_loads(self, loads: dict[int, float]) -> None:
        """Do nothing: assigners don't talk."""

    def watch_nodes(self, enabled: bool) -> None:
        """Do nothing: all assigners learn of changes."""

    def fetch_nodes(self) -> None:
        """Do nothing: all assigners are sent the complete list when they begin."""

    def log(self, text: str) -> None:
        """Do nothing."""
