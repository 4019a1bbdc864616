"""Health checks of nodes, each over a persistent connection that the first check of the node opens."""

from collections.abc import Callable, Mapping

from kestrelplank.assigner.counters import Counters
from kestrelplank.assigner.telemetry_messages import read_load
from kestrelplank.decode import NS_PER_MS, MalformedError
from kestrelplank.interface import Event, HealthChecked, HealthVerdict, NodeLoad
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.http import Client
from kestrelplank.sockets.loop import Loop

MAX_NODES = 256  # the least recently checked node is disconnected beyond this
MAX_BODY_BYTES = 1 << 14
ANSWER_TIMEOUT_NS = 1000 * NS_PER_MS
VERDICTS_OF_STATUS = {200: HealthVerdict.OK, 503: HealthVerdict.OVERLOADED}  # any other status: FAILED
VERDICTS_OF_FAILURE = {
    "silent": HealthVerdict.TIMED_OUT,
    "does not come up": HealthVerdict.UNREACHABLE,
    "ECONNREFUSED": HealthVerdict.UNREACHABLE,
}  # any other reason: BROKEN


class HealthChecks:
    """Checks the nodes in `addresses` (address by index), if the settings allow it.

    :param dial_timeout_ns: limit for a connection to be established.
    :param with_load: request the node's load together with its health.
    """

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: Mapping[int, str],
        allowed: bool,
        dial_timeout_ns: int,
        with_load: bool,
        on_event: Callable[[Event], None],
    ) -> None:
        self.loop, self.pool, self.counters, self.on_event = loop, pool, counters, on_event
        self._addresses, self._allowed, self.dial_timeout_ns = addresses, allowed, dial_timeout_ns
        self.path = "/status/load" if with_load else "/health"
        self._checks: dict[int, NodeCheck] = {}  # in order of last use

    def check(self, node: int) -> None:
        """Start a check of a node, unless one is in flight."""
        to = self._address_of(node)
        if not self._allowed or not to:
            self.counters.record_fault(
                "probes_not_sent", "the settings allow no health checks" if to else f"node {node} has no valid address"
            )
            return
        check = self._checks.pop(node, None)
        if check is None or check.client.to != to:
            if check:
                check.client.close()
            check = NodeCheck(self, node, to)
        self._checks[node] = check
        if len(self._checks) > MAX_NODES:
            self._checks.pop(next(iter(self._checks))).client.close()
        check.start()

    def _address_of(self, node: int) -> str:
        """Return a node's address; empty if it has none or an invalid one."""
        to = self._addresses.get(node, "")
        try:
            address(to)
        except ValueError:
            return ""
        return to

    def forget(self, node: int) -> None:
        """Close a node's connection."""
        check = self._checks.pop(node, None)
        if check:
            check.client.close()

    def close(self) -> None:
        """Close all connections."""
        for check in self._checks.values():
            check.client.close()


class NodeCheck:
    """The checks of one node, one at a time."""

    def __init__(self, checks: HealthChecks, node: int, to: str) -> None:
        self._checks, self._node, self._sent_at = checks, node, 0
        self.client = Client(checks.loop, checks.pool, to, self, checks.dial_timeout_ns, MAX_BODY_BYTES)

    def start(self) -> None:
        """Send a check, unless one is in flight."""
        if not self.client.busy:
            self._checks.counters.add("probes_sent")
            self._sent_at = self._checks.loop.now()
            self.client.call("GET", self._checks.path, b"", ANSWER_TIMEOUT_NS)

    def on_answer(self, status: int, body: bytes) -> None:
        """Report the verdict for a response, with the load if it is valid."""
        verdict = VERDICTS_OF_STATUS.get(status, HealthVerdict.FAILED)
        load = NodeLoad()
        try:
            pairs = (pair.split("=") for pair in body.decode(errors="replace").strip().split(","))
            load = read_load(pairs) if verdict is HealthVerdict.OK else load
        except MalformedError:
            pass  # the verdict is reported without the load
        self._report(verdict, load)

    def on_failure(self, why: str) -> None:
        """Report the verdict for a check that got no response."""
        self._report(VERDICTS_OF_FAILURE.get(why, HealthVerdict.BROKEN), NodeLoad())

    def _report(self, verdict: HealthVerdict, load: NodeLoad) -> None:
        self._checks.counters.add("probes_answered")
        duration_ns = self._checks.loop.now() - self._sent_at
        self._checks.on_event(HealthChecked(self._node, verdict, duration_ns, load))
