"""All client connections: accepted as `Admission` decides, and closed when they time out."""

import socket

from kestrelplank.load_balancing.admission import Admission, CloseReason
from kestrelplank.reference_proxy.client_connection import ClientConnection, RequestHandler
from kestrelplank.reference_proxy.http_messages import proxy_response
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.sockets.connection import Listener
from kestrelplank.time_units import MILLISECOND

DESCRIPTOR_SHORTAGE_PAUSE_NS = 100 * MILLISECOND  # without accepting connections
REQUEST_TIMEOUT = 408


class ClientConnections:
    """The listener, and the connections that it has accepted.

    :param listen_at: the address to listen on, or a listening socket.
    """

    def __init__(
        self, io: ProxyIo, admission: Admission, handler: RequestHandler, listen_at: tuple[str, int] | socket.socket
    ) -> None:
        self._io, self._admission, self._handler = io, admission, handler
        self.connections: dict[int, ClientConnection] = {}  # by number
        self._last_number = 0
        self.listener = Listener(io.loop, listen_at, self._accept, self._accept_failed, DESCRIPTOR_SHORTAGE_PAUSE_NS)

    def _accept(self, sock: socket.socket) -> None:
        counters = self._io.counters
        self._last_number += 1
        number, client = self._last_number, sock.getpeername()[0] if sock.family == socket.AF_INET else ""
        decision = self._admission.connect(self._io.loop.now(), number, client)
        if decision.evicted is not None:
            counters.add("clients_pushed_out")
            self.connections[decision.evicted].close("evicted for a new connection")
        if not decision.admitted:
            counters.add("clients_refused")
            sock.close()
            return
        counters.add("clients")
        self.connections[number] = ClientConnection(self._io, self._admission, self._handler, sock, number)

    def _accept_failed(self, why: str) -> None:
        self._io.counters.record_fault("accept_failed", why)

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that has closed."""
        self.connections.pop(client.number, None)
        self._admission.disconnect(client.number)

    def close_timed_out(self) -> None:
        """Close connections that have not sent a complete head in time or have been idle for too long."""
        timed_out = self._admission.expired_connections(self._io.loop.now(), stopping=self._handler.stopping)
        for number, reason in timed_out:
            client = self.connections.get(number)
            if client is None:
                continue
            self._io.counters.add("clients_late")
            if reason is not CloseReason.IDLE:
                client.write(proxy_response(REQUEST_TIMEOUT, reason, keep=False))
            client.close(reason)

    def close(self) -> None:
        """Close all connections immediately."""
        for client in list(self.connections.values()):
            client.close("proxy shutting down")
