"""Parses the messages of an update stream and applies them to a proxy's tables.

A message is `{"type": ..., "object": {...}}`. Types and fields: `node` (name, address, zone), `joined` (source),
`table` (table, source, lines) and `orders` (source, number, orders). On each stream, the `orders` messages of an
assigner (`source`) are numbered from 0.
"""

from collections.abc import Callable, Mapping

from kestrelplank.decode import (
    Ids,
    MalformedError,
    boolean,
    list_value,
    non_negative,
    non_negative_int,
    object_value,
    parse_json,
    text,
)
from kestrelplank.interface import ALL_TABLES
from kestrelplank.state.table_orders import (
    ClearTable,
    RequestAcknowledgement,
    SetAdmission,
    SetEndpoint,
    SetWithdrawn,
    TableOrder,
)
from kestrelplank.state.tables import Tables

ORDER_FIELD_COUNTS = {"line": 3, "take_out": 2, "level": 4, "clear": 1, "mark": 1}  # fields after the order's name


class TableMessages:
    """Applies messages to the tables and the node addresses.

    :param addresses: by node index; updated.
    :param on_tables_changed: called with the tables whose available nodes may have changed.
    :param on_node_zone: called with a node and its zone.
    :param acknowledge: called with an assigner and the watermark that it asked to have acknowledged.
    """

    def __init__(
        self,
        ids: Ids,
        tables: Tables,
        addresses: dict[int, str],
        on_tables_changed: Callable[[list[int]], None],
        on_node_zone: Callable[[int, int], None],
        acknowledge: Callable[[int, int], None],
    ) -> None:
        self._ids, self._tables, self._addresses = ids, tables, addresses
        self._on_tables_changed, self._on_node_zone, self._acknowledge = on_tables_changed, on_node_zone, acknowledge

    def apply(self, line: bytes) -> bool:
        """Apply a line of the stream; return whether it held orders. An empty object is a heartbeat.

        :raises MalformedError: it is not a valid message.
        :raises UpdateRejectedError: it can't be applied; the tables are unchanged.
        """
        message = object_value(parse_json(line))
        if not message:
            return False
        kind, fields = message.get("type"), object_value(message.get("object"))
        match kind:
            case "node":
                self._apply_node(fields)
            case "joined":
                self._tables.begin_stream(non_negative_int(fields.get("source")))
            case "table":
                self._apply_table(fields)
            case "orders":
                self._apply_orders(fields)
            case _:
                raise MalformedError(f"unknown message type {str(kind)[:40]!r}")
        return kind == "orders"

    def _apply_node(self, fields: Mapping[str, object]) -> None:
        node = self._node(fields.get("name"))
        self._addresses[node] = text(fields.get("address"))
        zone = fields.get("zone")
        if zone is not None:
            self._on_node_zone(node, self._ids.zone(text(zone)))

    def _apply_table(self, fields: Mapping[str, object]) -> None:
        table = non_negative_int(fields.get("table"))
        if table >= self._tables.size:
            raise MalformedError(f"table number {table} is out of range")
        weights = {self._node(name): non_negative(weight) for name, weight in object_value(fields.get("lines")).items()}
        nonzero = {node: weight for node, weight in weights.items() if weight}
        self._tables.set_table(table, non_negative_int(fields.get("source")), nonzero)
        self._on_tables_changed([table])

    def _apply_orders(self, fields: Mapping[str, object]) -> None:
        source, number = non_negative_int(fields.get("source")), non_negative_int(fields.get("number"))
        orders = [self._parse_order(order) for order in list_value(fields.get("orders"))]
        changed, watermarks = self._tables.apply(source, number, orders)
        if changed:
            self._on_tables_changed(changed)
        for watermark in watermarks:
            self._acknowledge(source, watermark)

    def _parse_order(self, order: object) -> TableOrder:
        name, *fields = list_value(order) or [None]
        if not isinstance(name, str) or len(fields) != ORDER_FIELD_COUNTS.get(name):
            raise MalformedError(f"unknown order or wrong number of fields: {str(order)[:60]!r}")
        match name:
            case "line":
                return SetEndpoint(non_negative_int(fields[0]), self._node(fields[1]), non_negative(fields[2]))
            case "take_out":
                return SetWithdrawn(self._node(fields[0]), boolean(fields[1]))
            case "level":
                table = ALL_TABLES if fields[0] == ALL_TABLES else non_negative_int(fields[0])
                op_types, share = non_negative_int(fields[1]), non_negative(fields[2])
                return SetAdmission(table, op_types, share, non_negative_int(fields[3]))
            case "clear":
                return ClearTable(non_negative_int(fields[0]))
            case _:  # "mark", the only other name in ORDER_FIELD_COUNTS
                return RequestAcknowledgement(non_negative_int(fields[0]))

    def _node(self, name: object) -> int:
        return self._ids.node(name)
