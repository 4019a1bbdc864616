"""The proxy's connections to nodes, in one `ConnectionPool` a node, and the exchanges that wait for one of them."""

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

    :param addresses: by node.
    :param on_failed: called with an exchange and the outcome of an attempt that ended before anything of it was sent.
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
        self.connections: dict[int, NodeConnection] = {}  # those that are up, by number
        self.waiting: dict[int, deque[Exchange]] = {}  # for a connection, by node

    def send(self, exchange: Exchange, node: int) -> None:
        """Begin an attempt of the exchange at that node, on a connection kept or new; it waits where all are busy."""
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
        """Take back a connection whose attempt has ended; `keep`: it may be used again."""
        if not connection.closed and connection.number in self.connections:
            connection.finish_op()
            self._give_back(node, connection, keep)

    def detach(self, exchange: Exchange) -> NodeConnection | None:
        """Part an exchange from its attempt.

        Return the connection that the attempt is on, if it is still open: to be closed, as an answer may yet come.
        """
        connection, exchange.connection = exchange.connection, None
        if exchange.node is not None and exchange in self.waiting.get(exchange.node, ()):
            self.waiting[exchange.node].remove(exchange)
        exchange.node = None
        if connection is None:
            return None
        connection.sink = None
        return None if connection.closed else connection

    def use_only(self, nodes: dict[int, None]) -> None:
        """Let only these nodes get new attempts; those in flight at others may end by themselves."""
        now = self._loop.now()
        for node, pool in self.pools.items():
            if node in nodes:
                pool.restore(now)
            elif pool.withdrawn_at is None:
                for number in pool.withdraw(now):
                    self.connections[number].close("withdrawn")
                for exchange in self.waiting.pop(node, ()):
                    self._on_failed(exchange, AttemptOutcome.UNSENT)

    def close_late(self) -> None:
        """Close connections that have been idle too long, or whose ops outlive the grace of a withdrawn node."""
        now = self._loop.now()
        for pool in self.pools.values():
            for number in pool.expire_idle(now) + pool.overdue(now):
                if number in self.connections:
                    self.connections[number].close("idle, or past the grace")

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections.values()):
            connection.close("we end")

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
                lambda connection: self._dialled(exchange, node, connection),
                lambda connection: self._ended(exchange, node, connection),
            )
            connection.on_drained(lambda: self._drained(connection))
        except OSError as err:  # short of descriptors
            self._counters.record_fault("dials_failed", err)
            pool.dial_failed()
            self._on_failed(exchange, AttemptOutcome.REFUSED)

    def _dialled(self, exchange: Exchange, node: int, connection: NodeConnection) -> None:
        """Take a connection that was dialled for the exchange, now that it can be written to."""
        pool = self.pools[node]
        pool.dial_succeeded(connection.number)
        self.connections[connection.number] = connection
        if self._is_attempted_at(exchange, node) and pool.withdrawn_at is None:
            exchange.send(connection)
            return
        # Abandoned meanwhile, or the node was withdrawn while it was dialled: nothing has been sent.
        self._give_back(node, connection, True)
        if self._is_attempted_at(exchange, node):
            self._on_failed(exchange, AttemptOutcome.UNSENT)

    def _ended(self, exchange: Exchange, node: int, connection: NodeConnection) -> None:
        """Take the end of a connection, or that it did not come up for the exchange that it was dialled for."""
        pool = self.pools[node]
        if connection.is_up:
            if self.connections.pop(connection.number, None) is not None:
                pool.connection_lost(connection.number)
                self._next_waiting(node)
            return
        pool.dial_failed()
        if self._is_attempted_at(exchange, node):
            self._on_failed(exchange, AttemptOutcome.REFUSED)
        self._next_waiting(node)

    def _drained(self, connection: NodeConnection) -> None:
        """Read the client again, as the node has taken what waited for it."""
        sink = connection.sink
        if connection.number in self.connections and isinstance(sink, Exchange) and not sink.request.complete:
            sink.client.hold(False)

    def _give_back(self, node: int, connection: NodeConnection, keep: bool) -> None:
        if not self.pools[node].release(self._loop.now(), connection.number, keep):
            del self.connections[connection.number]
            connection.close("done with")
        self._next_waiting(node)

    def _next_waiting(self, node: int) -> None:
        """Begin the attempt that waits longest, as there may be a connection to the node."""
        waiting = self.waiting.get(node)
        if waiting:
            exchange = waiting.popleft()
            if not waiting:
                del self.waiting[node]
            self.send(exchange, node)

    @staticmethod
    def _is_attempted_at(exchange: Exchange, node: int) -> bool:
        return exchange.op is not None and exchange.node == node
