"""The messages of a hub's stream, read and applied to a proxy's tables.

Each is `{"type": ..., "object": {...}}`: `node` (name, address, zone), `joined` (source), `table` (table, source,
lines) and `orders` (source, number, orders). Messages of an assigner (`source`) are numbered from 0 on each stream.
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

ORDER_FIELDS = {"line": 3, "take_out": 2, "level": 4, "clear": 1, "mark": 1}  # how many follow the word


class TableMessages:
    """Applies messages to the tables, and keeps node addresses up to date.

    :param addresses: by node.
    :param on_tables_changed: called with tables that may have other open nodes now.
    :param on_node_zone: called with a node and its zone.
    :param acknowledge: called with an assigner and a watermark that has been reached.
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

        :raises MalformedError: where it is no message.
        :raises UpdateRejectedError: where it can't be applied; nothing of it has taken effect.
        """
        message = object_value(parse_json(line))
        if not message:
            return False
        kind, fields = message.get("type"), object_value(message.get("object"))
        match kind:
            case "node":
                self._take_node(fields)
            case "joined":
                self._tables.begin_stream(non_negative_int(fields.get("source")))
            case "table":
                self._take_table(fields)
            case "orders":
                self._take_orders(fields)
            case _:
                raise MalformedError(f"nothing is called {str(kind)[:40]!r}")
        return kind == "orders"

    def _take_node(self, fields: Mapping[str, object]) -> None:
        node = self._node(fields.get("name"))
        self._addresses[node] = text(fields.get("address"))
        zone = fields.get("zone")
        if zone is not None:
            self._on_node_zone(node, self._ids.zone(text(zone)))

    def _take_table(self, fields: Mapping[str, object]) -> None:
        table = non_negative_int(fields.get("table"))
        if table >= self._tables.size:
            raise MalformedError(f"no table has the number {table}")
        weights = {self._node(name): non_negative(weight) for name, weight in object_value(fields.get("lines")).items()}
        nonzero = {node: weight for node, weight in weights.items() if weight}
        self._tables.set_table(table, non_negative_int(fields.get("source")), nonzero)
        self._on_tables_changed([table])

    def _take_orders(self, fields: Mapping[str, object]) -> None:
        source, number = non_negative_int(fields.get("source")), non_negative_int(fields.get("number"))
        orders = [self._read_order(order) for order in list_value(fields.get("orders"))]
        changed, watermarks = self._tables.apply(source, number, orders)
        if changed:
            self._on_tables_changed(changed)
        for watermark in watermarks:
            self._acknowledge(source, watermark)

    def _read_order(self, order: object) -> TableOrder:
        word, *fields = list_value(order) or [None]
        if not isinstance(word, str) or len(fields) != ORDER_FIELDS.get(word):
            raise MalformedError(f"no order is {str(order)[:60]!r}")
        match word:
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
            case _:  # "mark": no other word is in ORDER_FIELDS
                return RequestAcknowledgement(non_negative_int(fields[0]))

    def _node(self, name: object) -> int:
        return self._ids.node(name)
