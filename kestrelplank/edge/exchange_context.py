"""The state that all client requests at one edge share."""

import asyncio

from kestrelplank.edge.counters import Counters
from kestrelplank.edge.readiness import Readiness
from kestrelplank.edge.server_connections import ServerConnections
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.usage.edge_usage import EdgeUsage

MAX_BODY_BYTES_BEFORE_CONFIGURATION = 1 << 20


class ExchangeContext:
    """The components and the shared state that client exchanges use.

    :param max_buffered_body_bytes: limit for the buffered bodies of all requests together.
    :param trace_one_in: one request in this many is logged with its attempts; 0: none.
    :param usage: counts the attempts of tenants; None if usage is not reported.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        connections: ServerConnections,
        readiness: Readiness,
        max_buffered_body_bytes: int,
        trace_one_in: int = 0,
        usage: EdgeUsage | None = None,
    ) -> None:
        self.forwarder, self.connections, self.readiness = forwarder, connections, readiness
        self.max_buffered_body_bytes, self.trace_one_in = max_buffered_body_bytes, trace_one_in
        self.usage = usage
        self.buffered_body_bytes = 0  # of all requests together
        self.counters = Counters()
        self.changed = asyncio.Event()  # pulsed when key ranges, servers or their load change; never stays set

    def wake_pending(self) -> None:
        """Wake all waiting requests; each asks the forwarder again for its next step."""
        self.changed.set()
        self.changed.clear()

    def max_body_bytes(self) -> int:
        """Return the maximum size of one request body, in bytes."""
        configuration = self.forwarder.view.configuration
        return configuration.max_body_bytes if configuration else MAX_BODY_BYTES_BEFORE_CONFIGURATION
