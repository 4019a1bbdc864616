"""The ASGI application of an edge: requests of clients, and the platform's question whether we are ready."""

import asyncio

from kestrelplank.edge.client_exchange import ClientExchange
from kestrelplank.edge.counters import Counters
from kestrelplank.edge.readiness import Readiness
from kestrelplank.edge.server_connections import ServerConnections
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.http.asgi import Receive, Scope, Send

MAX_BODY_BEFORE_CONFIGURATION = 1 << 20  # bytes that a body may have while no configuration is known


class ClientApplication:
    """All requests of clients at one edge, and what they share.

    :param readiness_port: where the platform asks whether we are ready.
    :param max_body_memory: bytes of bodies that may be in hand at once.
    :param trace: one request in so many is logged, 0 for none.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        connections: ServerConnections,
        readiness: Readiness,
        readiness_port: int,
        max_body_memory: int,
        trace: int = 0,
    ) -> None:
        self.forwarder, self.connections, self.readiness = forwarder, connections, readiness
        self.readiness_port, self.max_body_memory, self.trace = readiness_port, max_body_memory, trace
        self.body_memory = 0  # bytes of bodies in hand
        self.counters = Counters()
        self.changed = asyncio.Event()  # key ranges, servers or their load

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        exchange = ClientExchange(self, scope, receive, send)
        if scope["server"][1] == self.readiness_port:
            await exchange.answer(200 if self.readiness.is_ready() else 503, [], b"")
        else:
            await exchange.run()

    def wake_pending(self) -> None:
        """Let requests that wait look again whether a server can be used."""
        self.changed.set()
        self.changed.clear()

    def max_body_bytes(self) -> int:
        """Return how many bytes one body may have."""
        configuration = self.forwarder.view.configuration
        return configuration.max_body if configuration else MAX_BODY_BEFORE_CONFIGURATION
