"""Admission of client connections: at the limit, a new one may evict one of the client that has the most connections.

Guards against one client that opens ever more connections, and against connections that send nothing. Drawback: many
clients behind one address count as one client.
"""

from enum import Enum, StrEnum
from typing import NamedTuple

from kestrelplank.time_units import SECOND

STOPPING_IDLE_TIMEOUT_NS = 1 * SECOND  # idle time after which connections are closed during shutdown


class AdmissionSettings(NamedTuple):
    """Limits on the number and age of client connections.

    :param max_connections: limit for all clients together.
    :param max_per_client: limit for one client, enforced only while all `max_connections` are in use.
    :param head_timeout_ns: time within which a complete request head must have been received.
    :param idle_timeout_ns: time for which a connection may stay open between requests.
    """

    max_connections: int = 1000
    max_per_client: int = 100
    head_timeout_ns: int = 5 * SECOND
    idle_timeout_ns: int = 60 * SECOND


class ConnectionState(Enum):
    """The state of a client connection."""

    NEW = "new"
    READING_HEAD = "head"  # the first byte of a request has been received
    BUSY = "busy"  # the head is complete, the response is not
    IDLE = "idle"  # the response is complete


class CloseReason(StrEnum):
    """Why a connection is closed. The values are shown to clients."""

    IDLE = "idle"
    HEAD_TIMEOUT = "no whole head came"


class AdmissionDecision(NamedTuple):
    """Whether a new connection is admitted, and which connection is evicted for it."""

    admitted: bool
    evicted: int | None = None


class ConnectionRecord:
    """A client connection, its state, and when it entered that state."""

    __slots__ = ("client", "entered_at", "state")

    def __init__(self, client: str, now: int) -> None:
        self.client, self.entered_at, self.state = client, now, ConnectionState.NEW


class Admission:
    """The client connections of a proxy.

    Invariants: there are never more than `max_connections`, and busy connections are not evicted (test
    `test_connections_stay_within_the_limit_and_busy_ones_are_never_evicted`).
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._connections: dict[int, ConnectionRecord] = {}  # in the order in which they were opened
        self._by_client: dict[str, dict[int, None]] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def connect(self, now: int, connection: int, client: str) -> AdmissionDecision:
        """Admit or reject a new connection; at the limit, it may evict one of the client that has the most."""
        evicted = None
        if len(self._connections) >= self.settings.max_connections:
            largest_client = max(self._by_client, key=lambda name: len(self._by_client[name]))
            client_count = len(self._by_client.get(client, ()))
            if client_count >= self.settings.max_per_client or client_count >= len(self._by_client[largest_client]):
                return AdmissionDecision(admitted=False)
            evicted = self._oldest_not_busy(largest_client)
            if evicted is None:
                return AdmissionDecision(admitted=False)
            self.disconnect(evicted)
        self._connections[connection] = ConnectionRecord(client, now)
        self._by_client.setdefault(client, {})[connection] = None
        return AdmissionDecision(admitted=True, evicted=evicted)

    def _oldest_not_busy(self, client: str) -> int | None:
        not_busy = [
            connection
            for connection in self._by_client[client]
            if self._connections[connection].state is not ConnectionState.BUSY
        ]
        return min(not_busy, key=lambda connection: self._connections[connection].entered_at, default=None)

    def enter_state(self, now: int, connection: int, state: ConnectionState) -> None:
        """Record a connection's state; setting the same state again does not reset its time."""
        record = self._connections.get(connection)
        if record is not None and record.state is not state:
            record.state, record.entered_at = state, now

    def disconnect(self, connection: int) -> None:
        """Remove a connection that has ended."""
        record = self._connections.pop(connection, None)
        if record is not None:
            client_connections = self._by_client[record.client]
            del client_connections[connection]
            if not client_connections:
                del self._by_client[record.client]

    def expired_connections(self, now: int, *, stopping: bool = False) -> list[tuple[int, CloseReason]]:
        """Return the connections that have reached a time-out, each with the reason to close it.

        During shutdown, an idle connection is closed after `STOPPING_IDLE_TIMEOUT_NS` rather than at once, so that a
        request already under way on it is served; its response has `Connection: close`.
        """
        expired = []
        for connection, record in self._connections.items():
            reason = self._close_reason(record.state, now - record.entered_at, stopping)
            if reason is not None:
                expired.append((connection, reason))
        return expired

    def _close_reason(self, state: ConnectionState, in_state_ns: int, stopping: bool) -> CloseReason | None:
        between_requests = state in (ConnectionState.NEW, ConnectionState.IDLE)
        if stopping and between_requests and in_state_ns >= STOPPING_IDLE_TIMEOUT_NS:
            return CloseReason.IDLE
        if state in (ConnectionState.NEW, ConnectionState.READING_HEAD):
            return CloseReason.HEAD_TIMEOUT if in_state_ns >= self.settings.head_timeout_ns else None
        if state is ConnectionState.IDLE and in_state_ns >= self.settings.idle_timeout_ns:
            return CloseReason.IDLE
        return None
