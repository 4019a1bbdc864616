"""A pool of connections to one node: which connection to use, when to dial and when to close.

It does no I/O: the caller dials and closes connections, and identifies them by numbers.
"""

from collections import deque
from collections.abc import Container
from enum import Enum
from typing import NamedTuple

from kestrelplank.time_units import MILLISECOND, SECOND


class NoConnection(Enum):
    """What to do for an op if no idle connection is available."""

    DIAL = "dial"
    WAIT = "wait"  # all connections are busy, and the pool is at its limit
    WITHDRAWN = "shut"  # the node is withdrawn and accepts no ops


class PoolSettings(NamedTuple):
    """Settings of the connection pool of one node.

    :param max_connections: limit on connections to the node, including those being dialled.
    :param idle_timeout_ns: time after which an unused connection is closed.
    :param max_uses: ops per connection, 0 for no limit.
    :param withdrawal_grace_ns: time within which ops in flight must end after the node is withdrawn.
    :param slow_start_ns: time until a new node has its full weight, growing linearly from `initial_weight_share`.
    """

    max_connections: int = 64
    idle_timeout_ns: int = 15 * SECOND
    max_uses: int = 0
    withdrawal_grace_ns: int = 1_500 * MILLISECOND
    slow_start_ns: int = 0
    initial_weight_share: float = 0.2


class ConnectionPool:
    """The connections of one node. The most recently used one is reused first, so that surplus ones time out.

    Invariants: no connection is used by two ops at once, none is kept once the node is withdrawn, and there are never
    more than `max_connections` (test
    `test_connections_are_never_shared_kept_after_withdrawal_or_over_the_limit`).
    """

    def __init__(self, now: int, settings: PoolSettings) -> None:
        self._settings, self._added_at = settings, now
        self._idle: deque[tuple[int, int]] = deque()  # (connection, released at), the most recently released last
        self._busy: dict[int, int] = {}  # connection to uses so far
        self._uses: dict[int, int] = {}  # uses so far of released connections
        self._dialling = 0
        self.withdrawn_at: int | None = None

    def acquire(self, now: int, excluded: Container[int] = ()) -> int | NoConnection:
        """Return a connection for one op and mark it busy, or what to do if there is none.

        After `NoConnection.DIAL` the caller must call either `dial_succeeded` or `dial_failed`.

        :param excluded: connections that this op must not use.
        """
        if self.withdrawn_at is not None:
            return NoConnection.WITHDRAWN
        connection = self._take_idle(now, excluded)
        if connection is not None:
            self._busy[connection] = self._uses.get(connection, 0)
            return connection
        if self._is_full():
            return NoConnection.WAIT
        self._dialling += 1
        return NoConnection.DIAL

    def _take_idle(self, now: int, excluded: Container[int]) -> int | None:
        """Remove the most recently used idle connection that may be used, and return it."""
        for index in reversed(range(len(self._idle))):
            connection, released_at = self._idle[index]
            if now - released_at >= self._settings.idle_timeout_ns:
                return None  # the others have expired as well: see `expire_idle`
            if connection not in excluded:
                del self._idle[index]
                return connection
        return None

    def idle(self) -> list[int]:
        """Return the idle connections, the most recently used one last."""
        return [connection for connection, _ in self._idle]

    def _is_full(self) -> bool:
        return len(self._busy) + len(self._idle) + self._dialling >= self._settings.max_connections

    def limit_connections(self, max_connections: int) -> None:
        """Change the limit on connections; those over it are closed as their ops end."""
        if max_connections != self._settings.max_connections:
            self._settings = self._settings._replace(max_connections=max_connections)

    def limit_idle_time(self, idle_timeout_ns: int) -> None:
        """Change the time after which an unused connection is closed."""
        if idle_timeout_ns != self._settings.idle_timeout_ns:
            self._settings = self._settings._replace(idle_timeout_ns=idle_timeout_ns)

    def dial_succeeded(self, connection: int) -> None:
        """Add a connection that was dialled; it is busy with the op that it was dialled for."""
        self._dialling -= 1
        self._busy[connection] = 0

    def dial_failed(self) -> None:
        """Record that a connection could not be established."""
        self._dialling -= 1

    def release(self, now: int, connection: int, reusable: bool) -> bool:
        """Return a connection to the pool after its op; return whether it is kept.

        :param reusable: whether the node allows another op on it.
        """
        uses = self._busy.pop(connection) + 1
        used_up = bool(self._settings.max_uses) and uses >= self._settings.max_uses
        if not reusable or used_up or self.withdrawn_at is not None or self._is_full():
            self._uses.pop(connection, None)
            return False
        self._uses[connection] = uses
        self._idle.append((connection, now))
        return True

    def connection_lost(self, connection: int) -> None:
        """Remove a connection that the node has closed, whether busy or idle."""
        self._busy.pop(connection, None)
        self._uses.pop(connection, None)
        self._idle = deque(entry for entry in self._idle if entry[0] != connection)

    def expire_idle(self, now: int) -> list[int]:
        """Remove the connections that have been idle too long; return them for the caller to close."""
        expired = []
        while self._idle and now - self._idle[0][1] >= self._settings.idle_timeout_ns:
            connection, _ = self._idle.popleft()
            self._uses.pop(connection, None)
            expired.append(connection)
        return expired

    def withdraw(self, now: int) -> list[int]:
        """Stop sending ops to the node; return its idle connections for the caller to close.

        Ops in flight may finish until they are `overdue`. An op for which a connection is still being dialled must be
        sent to another node.
        """
        if self.withdrawn_at is None:
            self.withdrawn_at = now
        idle, self._idle = self.idle(), deque()
        for connection in idle:
            self._uses.pop(connection, None)
        return idle

    def restore(self, now: int) -> None:
        """Resume sending ops to the node, with slow start as for a new node."""
        if self.withdrawn_at is not None:
            self.withdrawn_at, self._added_at = None, now

    def overdue(self, now: int) -> list[int]:
        """Return the connections still busy after the withdrawal grace period, for the caller to close."""
        if self.withdrawn_at is None or now - self.withdrawn_at < self._settings.withdrawal_grace_ns:
            return []
        return list(self._busy)

    def weight_factor(self, now: int) -> float:
        """Return the fraction of its weight that the node has now, for slow start.

        Prevents all proxies from sending full load to a new node at once.
        """
        settings, age_ns = self._settings, now - self._added_at
        if not settings.slow_start_ns or age_ns >= settings.slow_start_ns:
            return 1.0
        return settings.initial_weight_share + (1 - settings.initial_weight_share) * age_ns / settings.slow_start_ns

    def counts(self) -> tuple[int, int, int]:
        """Return the numbers of busy, idle and dialling connections."""
        return len(self._busy), len(self._idle), self._dialling
