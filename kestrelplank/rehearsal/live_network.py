"""The network of a live rehearsal: each attempt is sent over loopback after its simulated delay."""

from collections.abc import Sequence

from kestrelplank.emulator.clients import EmulatedClients
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.network import AttemptInTransit, EmulatedNetwork
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.slice_store import SliceStore
from kestrelplank.load_balancing.operations import AttemptOutcome
from kestrelplank.rehearsal.node_server import NodeServer
from kestrelplank.rehearsal.stub_server import SocketKit
from kestrelplank.sockets.http import Client
from kestrelplank.time_units import SECOND

IDLE_TIMEOUT_NS = 15 * SECOND  # of an unused connection to a node
MAX_ANSWER_BYTES = 1 << 12
CALL_TIMEOUT_NS = 3600 * SECOND  # never reached: the proxy times attempts out, not the connection
OUTCOMES_BY_STATUS = {
    200: AttemptOutcome.SUCCEEDED,
    503: AttemptOutcome.NOT_STARTED,
    500: AttemptOutcome.FAILED,
}  # any other status: TRUNCATED
DIAL_FAILURES = ("does not come up", "ECONNREFUSED")


class ProxyConnection:
    """A persistent connection of a proxy to a node, with one attempt at a time."""

    def __init__(self, network: "LiveNetwork", proxy: EmulatedProxy, node: int) -> None:
        self._network, self.proxy, self.node, self.idle_since = network, proxy, node, 0
        self._number: int | None = None
        self._was_used = False
        self._client = network.make_client(self, node)

    def send(self, attempt: AttemptInTransit) -> None:
        """Send an attempt."""
        self._number = attempt.number
        op = attempt.client_op
        path = (
            f"/op?number={attempt.number}&type={op.op_type}&work={op.work}&key={op.key}"
            f"&new={int(not self._was_used)}&knowing={int(attempt.start_known)}"
        )
        self._was_used = True
        self._client.call("POST", path, b"", CALL_TIMEOUT_NS)

    def on_answer(self, status: int, body: bytes) -> None:  # noqa: ARG002 - as the client calls it
        """Handle the node's answer; the connection can be used for another attempt."""
        number = self._finish()
        self._network.keep(self)
        self._end(number, OUTCOMES_BY_STATUS.get(status, AttemptOutcome.TRUNCATED))

    def on_failure(self, why: str) -> None:
        """Handle the end of the connection."""
        self._was_used = False
        outcome = AttemptOutcome.RESET if self._client.sent else AttemptOutcome.UNSENT
        if why in DIAL_FAILURES:
            outcome = AttemptOutcome.REFUSED
        self._end(self._finish(), outcome)

    def _finish(self) -> int | None:
        """Unregister the attempt that is over; return the number of its op."""
        number, self._number = self._number, None
        self._network.finish(self.proxy, number)
        return number

    def _end(self, number: int | None, outcome: AttemptOutcome) -> None:
        if number is not None:
            delay_ns = self._network.delay_to_node_ns(self.proxy, self.node)
            self._network.notify_proxy(self.proxy, number, self.node, outcome, delay_ns)

    def close(self) -> None:
        """End the connection."""
        self._client.close()


class LiveNetwork(EmulatedNetwork):
    """Carries attempts over real connections to `servers`; the caller adds one for each node."""

    def __init__(self, environment: Environment, store: SliceStore, clients: EmulatedClients, kit: SocketKit) -> None:
        super().__init__(environment, store, clients)
        self._kit = kit
        self.servers: list[NodeServer] = []
        self._in_use: dict[tuple[int, int | None], ProxyConnection] = {}  # by proxy and op
        self._idle: dict[tuple[int, int], list[ProxyConnection]] = {}  # by proxy and node

    @property
    def addresses(self) -> Sequence[str]:
        """The addresses of nodes, by number."""
        return [server.address for server in self.servers]

    def make_client(self, connection: ProxyConnection, node: int) -> Client:
        """Return an HTTP client for a node that calls back to the connection."""
        dial_timeout_ns, kit = self._environment.script.proxies.dial, self._kit
        address = self.servers[node].address
        return Client(kit.loop, kit.pool, address, connection, dial_timeout_ns, MAX_ANSWER_BYTES)

    def begin_attempt(self, attempt: AttemptInTransit) -> None:
        """Send an attempt after its delay."""
        self._clock.at(self._clock.now() + attempt.delay_ns, lambda: self._send(attempt))

    def _send(self, attempt: AttemptInTransit) -> None:
        proxy, node, now = attempt.proxy, attempt.node, self._clock.now()
        if attempt.number not in proxy.ops or proxy.ops[attempt.number].op.node != node:
            return  # abandoned in transit
        idle = self._idle.get((proxy.number, node), [])
        while idle and now - idle[0].idle_since > IDLE_TIMEOUT_NS:
            idle.pop(0).close()
        connection = idle.pop() if idle else ProxyConnection(self, proxy, node)
        self._in_use[proxy.number, attempt.number] = connection
        connection.send(attempt)

    def finish(self, proxy: EmulatedProxy, number: int | None) -> None:
        """Unregister the connection of an attempt that is over."""
        self._in_use.pop((proxy.number, number), None)

    def keep(self, connection: ProxyConnection) -> None:
        """Return a connection to the idle pool for another attempt."""
        connection.idle_since = self._clock.now()
        self._idle.setdefault((connection.proxy.number, connection.node), []).append(connection)

    def cancel_attempt(self, proxy: EmulatedProxy, number: int, node: int) -> None:  # noqa: ARG002 - as in the base class
        """Close the connection of an attempt that the proxy has cancelled."""
        connection = self._in_use.pop((proxy.number, number), None)
        if connection is not None:
            connection.close()

    def op_done(self, node: int, number: int) -> None:
        """Send a node's answer to an op."""
        self.servers[node].op_done(number)

    def drop_connections(self, node: int) -> None:
        """Close all connections to a node; it listens again if it runs."""
        self.generations[node] += 1
        self.servers[node].close()
        if not self._environment.nodes[node].down:
            self.servers[node].open()

    def close(self) -> None:
        """Close all connections and servers."""
        for connection in [*self._in_use.values(), *(kept for idle in self._idle.values() for kept in idle)]:
            connection.close()
        for server in self.servers:
            server.close()
