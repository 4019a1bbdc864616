"""Which client connections a proxy holds: a bounded number, where a new client's takes the place of the fullest one's.

Guards against one client that opens connections without end, by mistake or not, and against connections on which
nothing comes. Harm: many clients behind one address are taken for one.
"""

from enum import Enum, StrEnum
from typing import NamedTuple

from kestrelplank.time_units import SECOND

STOPPING_IDLE_TIMEOUT_NS = 1 * SECOND  # without a request, after which a connection may be closed while we stop


class AdmissionSettings(NamedTuple):
    """How many connections are held, and for how long.

    :param max_connections: in all.
    :param max_per_client: of one client, as long as others want to connect and all are in use.
    :param head_timeout_ns: time within which a request's head must have come.
    :param idle_timeout_ns: time for which a connection may be open between requests.
    """

    max_connections: int = 1000
    max_per_client: int = 100
    head_timeout_ns: int = 5 * SECOND
    idle_timeout_ns: int = 60 * SECOND


class ConnectionState(Enum):
    """What a client's connection is doing."""

    NEW = "new"
    READING_HEAD = "head"  # the first byte of a request has come
    BUSY = "busy"  # the head is complete, and the answer is not
    IDLE = "idle"  # the request has been answered


class CloseReason(StrEnum):
    """Why a connection is to be closed. The values are shown to clients."""

    IDLE = "idle"
    HEAD_TIMEOUT = "no whole head came"


class AdmissionDecision(NamedTuple):
    """Whether a client may connect, and which connection is evicted for it."""

    admitted: bool
    evicted: int | None = None


class ClientState:
    """One connection, and since when it is in its state."""

    __slots__ = ("client", "entered_at", "state")

    def __init__(self, client: str, now: int) -> None:
        self.client, self.entered_at, self.state = client, now, ConnectionState.NEW


class Admission:
    """The client connections of a proxy.

    Invariants: there are never more than `max_connections`, and no busy one is evicted (test
    `test_there_are_never_more_than_allowed_and_what_is_busy_is_never_evicted`).
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._connections: dict[int, ClientState] = {}  # in order of arrival
        self._by_client: dict[str, dict[int, None]] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def connect(self, now: int, connection: int, client: str) -> AdmissionDecision:
        """Decide on a client that connects; where all connections are in use, the client with most gives one."""
        evicted = None
        if len(self._connections) >= self.settings.max_connections:
            fullest = max(self._by_client, key=lambda name: len(self._by_client[name]))
            own_count = len(self._by_client.get(client, ()))
            if own_count >= self.settings.max_per_client or own_count >= len(self._by_client[fullest]):
                return AdmissionDecision(admitted=False)
            evicted = self._longest_not_busy(fullest)
            if evicted is None:
                return AdmissionDecision(admitted=False)
            self.disconnect(evicted)
        self._connections[connection] = ClientState(client, now)
        self._by_client.setdefault(client, {})[connection] = None
        return AdmissionDecision(admitted=True, evicted=evicted)

    def _longest_not_busy(self, client: str) -> int | None:
        not_busy = [
            connection
            for connection in self._by_client[client]
            if self._connections[connection].state is not ConnectionState.BUSY
        ]
        return min(not_busy, key=lambda connection: self._connections[connection].entered_at, default=None)

    def enter_state(self, now: int, connection: int, state: ConnectionState) -> None:
        """Take note of what a connection does now; more of the same changes nothing."""
        held = self._connections.get(connection)
        if held is not None and held.state is not state:
            held.state, held.entered_at = state, now

    def disconnect(self, connection: int) -> None:
        """Forget a connection that has ended."""
        held = self._connections.pop(connection, None)
        if held is not None:
            of_client = self._by_client[held.client]
            del of_client[connection]
            if not of_client:
                del self._by_client[held.client]

    def expired_connections(self, now: int, *, stopping: bool = False) -> list[tuple[int, CloseReason]]:
        """Return the connections to close, with why: a head that does not come, or nothing for too long.

        While we stop, an idle connection is closed after `STOPPING_IDLE_TIMEOUT_NS`: a request that is on its way on it
        must still find us, and has `Connection: close` in its answer; closed at once, it would be lost.
        """
        late = []
        for connection, held in self._connections.items():
            reason = self._close_reason(held.state, now - held.entered_at, stopping)
            if reason is not None:
                late.append((connection, reason))
        return late

    def _close_reason(self, state: ConnectionState, in_state_ns: int, stopping: bool) -> CloseReason | None:
        at_rest = state in (ConnectionState.NEW, ConnectionState.IDLE)
        if stopping and at_rest and in_state_ns >= STOPPING_IDLE_TIMEOUT_NS:
            return CloseReason.IDLE
        if state in (ConnectionState.NEW, ConnectionState.READING_HEAD):
            return CloseReason.HEAD_TIMEOUT if in_state_ns >= self.settings.head_timeout_ns else None
        if state is ConnectionState.IDLE and in_state_ns >= self.settings.idle_timeout_ns:
            return CloseReason.IDLE
        return None
