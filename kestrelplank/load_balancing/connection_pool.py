"""A proxy's connections to one node: which to use, when to dial, when to close.

The adapter dials and closes; here connections are numbers that it gives.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple

from kestrelplank.time_units import MILLISECOND, SECOND


class NoConnection(Enum):
    """What to do for an op for which no connection is idle."""

    DIAL = "dial"
    WAIT = "wait"  # all connections are busy, and there may be no more
    WITHDRAWN = "shut"  # no op may go to the node


class PoolSettings(NamedTuple):
    """Bounds of one node's connections.

    :param max_connections: to the node, those that are being dialled included.
    :param idle_timeout_ns: an unused connection is closed after that time.
    :param max_uses: ops on one connection, 0 for any number.
    :param withdrawal_grace_ns: ops in flight at a node that is withdrawn may take that long.
    :param slow_start_ns: time until a new node has its full weight, growing from `initial_weight_share` of it.
    """

    max_connections: int = 64
    idle_timeout_ns: int = 15 * SECOND
    max_uses: int = 0
    withdrawal_grace_ns: int = 1_500 * MILLISECOND
    slow_start_ns: int = 0
    initial_weight_share: float = 0.2


class ConnectionPool:
    """One node's connections. The one used last is used next: a few are used often, and the others age until closed.

    Invariants: no connection is used twice at once, none is kept once the node is withdrawn, and there are never more
    than `max_connections` (test
    `test_no_connection_is_used_twice_at_once_kept_when_withdrawn_or_over_the_limit`).
    """

    def __init__(self, now: int, settings: PoolSettings) -> None:
        self._settings, self._known_since = settings, now
        self._idle: deque[tuple[int, int]] = deque()  # connection, and when it was released; the latest last
        self._busy: dict[int, int] = {}  # connection to uses so far
        self._uses: dict[int, int] = {}
        self._dialling = 0
        self.withdrawn_at: int | None = None

    def acquire(self, now: int) -> int | NoConnection:
        """Return a connection for one op, which then is busy, or what to do instead.

        After `NoConnection.DIAL` one of `dial_succeeded` and `dial_failed` must be called.
        """
        if self.withdrawn_at is not None:
            return NoConnection.WITHDRAWN
        if self._idle:
            connection, released_at = self._idle[-1]
            if now - released_at < self._settings.idle_timeout_ns:  # else all are too old: `expire_idle` has them
                self._idle.pop()
                self._busy[connection] = self._uses.get(connection, 0)
                return connection
        if self._is_full():
            return NoConnection.WAIT
        self._dialling += 1
        return NoConnection.DIAL

    def _is_full(self) -> bool:
        return len(self._busy) + len(self._idle) + self._dialling >= self._settings.max_connections

    def limit_connections(self, max_connections: int) -> None:
        """Allow so many connections from now on; those beyond are closed as their ops end."""
        if max_connections != self._settings.max_connections:
            self._settings = self._settings._replace(max_connections=max_connections)

    def limit_idle_time(self, idle_timeout_ns: int) -> None:
        """Keep an unused connection for so long from now on."""
        if idle_timeout_ns != self._settings.idle_timeout_ns:
            self._settings = self._settings._replace(idle_timeout_ns=idle_timeout_ns)

    def dial_succeeded(self, connection: int) -> None:
        """Take a connection that has come up; it is busy with the op that it was dialled for."""
        self._dialling -= 1
        self._busy[connection] = 0

    def dial_failed(self) -> None:
        """Take note that what was dialled did not come up."""
        self._dialling -= 1

    def release(self, now: int, connection: int, reusable: bool) -> bool:
        """Take back a connection whose op has ended; return whether it is kept.

        :param reusable: the other side allows another op on it.
        """
        uses = self._busy.pop(connection) + 1
        worn_out = bool(self._settings.max_uses) and uses >= self._settings.max_uses
        if not reusable or worn_out or self.withdrawn_at is not None or self._is_full():
            self._uses.pop(connection, None)
            return False
        self._uses[connection] = uses
        self._idle.append((connection, now))
        return True

    def connection_lost(self, connection: int) -> None:
        """Forget a connection that has ended by itself, in use or not."""
        self._busy.pop(connection, None)
        self._uses.pop(connection, None)
        self._idle = deque(entry for entry in self._idle if entry[0] != connection)

    def expire_idle(self, now: int) -> list[int]:
        """Forget connections that have been idle too long; return them, to be closed."""
        expired = []
        while self._idle and now - self._idle[0][1] >= self._settings.idle_timeout_ns:
            connection, _ = self._idle.popleft()
            self._uses.pop(connection, None)
            expired.append(connection)
        return expired

    def withdraw(self, now: int) -> list[int]:
        """Let no further op go to the node; return its idle connections, to be closed.

        Ops in flight may end by themselves until they are `overdue`. A connection that is being dialled is for an op
        that must go elsewhere.
        """
        if self.withdrawn_at is None:
            self.withdrawn_at = now
        idle, self._idle = [connection for connection, _ in self._idle], deque()
        for connection in idle:
            self._uses.pop(connection, None)
        return idle

    def restore(self, now: int) -> None:
        """Let ops go to the node again, as to one that is new."""
        if self.withdrawn_at is not None:
            self.withdrawn_at, self._known_since = None, now

    def overdue(self, now: int) -> list[int]:
        """Return the connections whose ops have outlived the grace after a withdrawal, to be closed."""
        if self.withdrawn_at is None or now - self.withdrawn_at < self._settings.withdrawal_grace_ns:
            return []
        return list(self._busy)

    def weight_factor(self, now: int) -> float:
        """Return the share of its weight that the node has by now, as it was new here some time ago.

        Guards, with every proxy doing alike, against a cold node that all find idle at once.
        """
        settings, known_ns = self._settings, now - self._known_since
        if not settings.slow_start_ns or known_ns >= settings.slow_start_ns:
            return 1.0
        return settings.initial_weight_share + (1 - settings.initial_weight_share) * known_ns / settings.slow_start_ns

    def counts(self) -> tuple[int, int, int]:
        """Return how many connections are busy, idle and being dialled."""
        return len(self._busy), len(self._idle), self._dialling
