"""All connections of clients: accepted as `Admission` says, closed when they are late."""

import socket

from kestrelplank.load_balancing.admission import Admission, CloseReason
from kestrelplank.reference_proxy.client_connection import ClientConnection, RequestHandler
from kestrelplank.reference_proxy.http_messages import own_answer
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.sockets.connection import Listener
from kestrelplank.time_units import MILLISECOND

DESCRIPTOR_SHORTAGE_PAUSE_NS = 100 * MILLISECOND  # for which nobody is accepted
REQUEST_TIMEOUT = 408


class ClientConnections:
    """The listener, and the connections that it has accepted.

    :param at: the address to listen at, or a listening socket.
    """

    def __init__(
        self, io: ProxyIo, admission: Admission, handler: RequestHandler, at: tuple[str, int] | socket.socket
    ) -> None:
        self._io, self._admission, self._handler = io, admission, handler
        self.connections: dict[int, ClientConnection] = {}  # by number
        self._last_number = 0
        self.listener = Listener(io.loop, at, self._accept, self._accept_failed, DESCRIPTOR_SHORTAGE_PAUSE_NS)

    def _accept(self, sock: socket.socket) -> None:
        counters = self._io.counters
        self._last_number += 1
        number, client = self._last_number, sock.getpeername()[0] if sock.family == socket.AF_INET else ""
        decision = self._admission.connect(self._io.loop.now(), number, client)
        if decision.evicted is not None:
            counters.add("clients_pushed_out")
            self.connections[decision.evicted].close("pushed out")
        if not decision.admitted:
            counters.add("clients_refused")
            sock.close()
            return
        counters.add("clients")
        self.connections[number] = ClientConnection(self._io, self._admission, self._handler, sock, number)

    def _accept_failed(self, why: str) -> None:
        self._io.counters.record_fault("accept_failed", why)

    def forget(self, client: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(client.number, None)
        self._admission.disconnect(client.number)

    def close_late(self) -> None:
        """Close who sends no complete head in time, or nothing for too long."""
        late = self._admission.expired_connections(self._io.loop.now(), stopping=self._handler.stopping)
        for number, reason in late:
            client = self.connections.get(number)
            if client is None:
                continue
            self._io.counters.add("clients_late")
            if reason is not CloseReason.IDLE:
                client.write(own_answer(REQUEST_TIMEOUT, reason, keep=False))
            client.close(reason)

    def close(self) -> None:
        """Close all connections at once."""
        for client in list(self.connections.values()):
            client.close("we end")
