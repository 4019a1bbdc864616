"""Writes the policy's orders for the simulator, as one line of the reply each."""

import base64
from collections.abc import Mapping

import msgspec

from kestrelplank.decode import NS_PER_MS, Ids, encode_peer_loads
from kestrelplank.interface import ALL_TABLES

WIRE_ALL_TABLES = 65535  # represents ALL_TABLES in this protocol


class OrderLines:
    """The `OrderWriter` of one instance."""

    def __init__(self, instance: int, ids: Ids, reply: list[bytes]) -> None:
        self._instance, self._ids, self._reply = instance, ids, reply

    def _write(self, name: str, *values: object) -> None:
        self._reply.append(msgspec.json.encode([name, self._instance, *values]))

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        """Write ENDPOINT."""
        self._write("ENDPOINT", self._ids.node_ids[node], weight, table)

    def clear_table(self, table: int) -> None:
        """Write DROP_LINES."""
        self._write("DROP_LINES", table)

    def set_withdrawn(self, node: int, withdrawn: bool) -> None:
        """Write TAKE_OUT."""
        self._write("TAKE_OUT", self._ids.node_ids[node], withdrawn)

    def set_admission(self, table: int, op_types: int, share: float, retry_mode: int) -> None:
        """Write ADMIT."""
        self._write("ADMIT", WIRE_ALL_TABLES if table == ALL_TABLES else table, op_types, share, retry_mode)

    def request_acknowledgement(self, watermark: int, all_proxies: bool, backlog_ns: int = 0) -> None:  # noqa: ARG002 - not in this protocol
        """Write NONCE."""
        self._write("NONCE", watermark, all_proxies)

    def bind_proxy(self, proxy: int, table: int, op_types: int) -> None:
        """Write BIND."""
        self._write("BIND", proxy, table, op_types)

    def check_health(self, node: int) -> None:
        """Write TEST."""
        self._write("TEST", self._ids.node_ids[node])

    def send_to_peers(self, peer: int | None, body: bytes) -> None:
        """Write BROADCAST_TO."""
        self._write("BROADCAST_TO", peer, base64.b64encode(body).decode())

    def share_loads(self, loads: Mapping[int, float]) -> None:
        """Write the loads as BROADCAST_TO lines, one per datagram."""
        for datagram in encode_peer_loads(loads, self._ids.node_ids):
            self.send_to_peers(None, datagram)

    def watch_nodes(self, enabled: bool) -> None:
        """Write KEEP_INFORMED."""
        self._write("KEEP_INFORMED", enabled)

    def fetch_nodes(self) -> None:
        """Write FETCH."""
        self._write("FETCH")

    def set_timer(self, at: int, name: str) -> None:
        """Write SET_ALARM."""
        self._write("SET_ALARM", at / NS_PER_MS, name)

    def forget_node(self, node: int) -> None:
        """Remove the node's name; nothing is written."""
        self._ids.forget(node)

    def log(self, text: str) -> None:
        """Write TRACE."""
        self._write("TRACE", text)
