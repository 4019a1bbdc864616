"""The proxy's connections to nodes, with a `ConnectionPool` for each node, and the exchanges that wait for one."""

from collections import deque
from collections.abc import Callable

from kestrelplank.assigner.counters import Counters
from kestrelplank.load_balancing.connection_pool import ConnectionPool, NoConnection, PoolSettings
from kestrelplank.load_balancing.operations import AttemptOutcome
from kestrelplank.reference_proxy.exchange import Exchange
from kestrelplank.reference_proxy.node_connection import NodeConnection
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.loop import Loop


class NodeConnections:
    """All connections to nodes.

    :param addresses: by node index; the caller may change them.
    :param on_failed: called with an exchange and the outcome when an attempt ends before anything of it was sent.
    """

    def __init__(
        self,
        loop: Loop,
        buffers: BufferPool,
        counters: Counters,
        settings: PoolSettings,
        addresses: dict[int, str],
        dial_timeout_ns: int,
        on_failed: Callable[[Exchange, AttemptOutcome], None],
    ) -> None:
        self._loop, self._buffers, self._counters = loop, buffers, counters
        self._settings, self._addresses, self.dial_timeout_ns = settings, addresses, dial_timeout_ns
        self._on_failed = on_failed
        self._last_number = 0
        self.pools: dict[int, ConnectionPool] = {}  # by node
        self.connections: dict[int, NodeConnection] = {}  # established ones, by number
        self.waiting: dict[int, deque[Exchange]] = {}  # exchanges waiting for a connection, by node

    def send(self, exchange: Exchange, node: int) -> None:
        """Begin an attempt at that node, on a pooled or a new connection; wait if the pool is exhausted."""
        exchange.node = node
        now = self._loop.now()
        pool = self.pools.get(node)
        if pool is None:
            pool = self.pools[node] = ConnectionPool(now, self._settings)
        connection = pool.acquire(now)
        if connection is NoConnection.DIAL:
            self._dial(exchange, node, pool)
        elif connection is NoConnection.WAIT:
            self.waiting.setdefault(node, deque()).append(exchange)
        elif connection is NoConnection.WITHDRAWN:
            self._on_failed(exchange, AttemptOutcome.UNSENT)
        else:
            exchange.send(self.connections[connection])

    def release(self, node: int, connection: NodeConnection, keep: bool) -> None:
        """Release the connection of an attempt that has ended; `keep`: it may be reused."""
        if not connection.closed and connection.number in self.connections:
            connection.finish_op()
            self._return_to_pool(node, connection, keep)

    def detach(self, exchange: Exchange) -> NodeConnection | None:
        """Detach an exchange from its attempt.

        Return the attempt's connection if it is still open. The caller has to close it, as a response may still arrive.
        """
        connection, exchange.connection = exchange.connection, None
        if exchange.node is not None and exchange in self.waiting.get(exchange.node, ()):
            self.waiting[exchange.node].remove(exchange)
        exchange.node = None
        if connection is None:
            return None
        connection.sink = None
        return None if connection.closed else connection

    def restrict_to(self, nodes: dict[int, None]) -> None:
        """Withdraw all other nodes: they get no new attempts, while attempts in flight there may finish."""
        now = self._loop.now()
        for node, pool in self.pools.items():
            if node in nodes:
                pool.restore(now)
            elif pool.withdrawn_at is None:
                for number in pool.withdraw(now):
                    self.connections[number].close("withdrawn")
                for exchange in self.waiting.pop(node, ()):
                    self._on_failed(exchange, AttemptOutcome.UNSENT)

    def close_timed_out(self) -> None:
        """Close connections that have been idle too long, or are busy beyond a withdrawn node's grace period."""
        now = self._loop.now()
        for pool in self.pools.values():
            for number in pool.expire_idle(now) + pool.overdue(now):
                if number in self.connections:
                    self.connections[number].close("idle time-out, or withdrawn node's grace period over")

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections.values()):
            connection.close("proxy shutting down")

    def _dial(self, exchange: Exchange, node: int, pool: ConnectionPool) -> None:
        if node not in self._addresses:
            pool.dial_failed()
            self._on_failed(exchange, AttemptOutcome.REFUSED)
            return
        self._last_number += 1
        try:
            connection = NodeConnection(
                self._loop,
                self._buffers,
                self._addresses[node],
                self.dial_timeout_ns,
                self._last_number,
                lambda connection: self._handle_established(exchange, node, connection),
                lambda connection: self._handle_closed(exchange, node, connection),
            )
            connection.on_drained(lambda: self._resume_client(connection))
        except OSError as err:  # out of file descriptors
            self._counters.record_fault("dials_failed", err)
            pool.dial_failed()
            self._on_failed(exchange, AttemptOutcome.REFUSED)

    def _handle_established(self, exchange: Exchange, node: int, connection: NodeConnection) -> None:
        """Handle an established connection that was opened for the exchange."""
        pool = self.pools[node]
        pool.dial_succeeded(connection.number)
        self.connections[connection.number] = connection
        if self._is_attempted_at(exchange, node) and pool.withdrawn_at is None:
            exchange.send(connection)
            return
        # The attempt was abandoned, or the node withdrawn, during connection setup: nothing has been sent.
        self._return_to_pool(node, connection, True)
        if self._is_attempted_at(exchange, node):
            self._on_failed(exchange, AttemptOutcome.UNSENT)

    def _handle_closed(self, exchange: Exchange, node: int, connection: NodeConnection) -> None:
        """Handle a closed connection, or one that could not be established for the exchange."""
        pool = self.pools[node]
        if connection.is_established:
            if self.connections.pop(connection.number, None) is not None:
                pool.connection_lost(connection.number)
                self._begin_next_waiting(node)
            return
        pool.dial_failed()
        if self._is_attempted_at(exchange, node):
            self._on_failed(exchange, AttemptOutcome.REFUSED)
        self._begin_next_waiting(node)

    def _resume_client(self, connection: NodeConnection) -> None:
        """Resume reading from the client, as all bytes for the node have been written."""
        sink = connection.sink
        if connection.number in self.connections and isinstance(sink, Exchange) and not sink.request.complete:
            sink.client.pause_reading(False)

    def _return_to_pool(self, node: int, connection: NodeConnection, keep: bool) -> None:
        if not self.pools[node].release(self._loop.now(), connection.number, keep):
            del self.connections[connection.number]
            connection.close("not reused")
        self._begin_next_waiting(node)

    def _begin_next_waiting(self, node: int) -> None:
        """Begin the attempt that has waited longest, as a connection may be available."""
        waiting = self.waiting.get(node)
        if waiting:
            exchange = waiting.popleft()
            if not waiting:
                del self.waiting[node]
            self.send(exchange, node)

    @staticmethod
    def _is_attempted_at(exchange: Exchange, node: int) -> bool:
        return exchange.op is not None and exchange.node == node
