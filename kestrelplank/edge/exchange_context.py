"""What all requests of clients at one edge share."""

import asyncio

from kestrelplank.edge.counters import Counters
from kestrelplank.edge.readiness import Readiness
from kestrelplank.edge.server_connections import ServerConnections
from kestrelplank.forwarding.forwarder import Forwarder

MAX_BODY_BYTES_BEFORE_CONFIGURATION = 1 << 20


class ExchangeContext:
    """The parts of an edge that its exchanges with clients use.

    :param max_held_body_bytes: bytes of bodies that may be in hand at once.
    :param trace_one_in: one request in so many is logged with its attempts, 0 for none.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        connections: ServerConnections,
        readiness: Readiness,
        max_held_body_bytes: int,
        trace_one_in: int = 0,
    ) -> None:
        self.forwarder, self.connections, self.readiness = forwarder, connections, readiness
        self.max_held_body_bytes, self.trace_one_in = max_held_body_bytes, trace_one_in
        self.held_body_bytes = 0  # bytes of bodies in hand
        self.counters = Counters()
        self.changed = asyncio.Event()  # key ranges, servers or their load; never stays set

    def wake_pending(self) -> None:
        """Wake the requests that wait at this moment: each asks the forwarder again whether a server can be used."""
        self.changed.set()
        self.changed.clear()

    def max_body_bytes(self) -> int:
        """Return how many bytes one body may have."""
        configuration = self.forwarder.view.configuration
        return configuration.max_body_bytes if configuration else MAX_BODY_BYTES_BEFORE_CONFIGURATION
