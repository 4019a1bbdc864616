"""Which requests a server has refused on which connections.

A server may send a copy of a refusal later, with the id of the refused request. If that request is in flight again on
the same connection, nothing tells the copy from the answer, so no connection carries a request again that was refused
on it.
"""

from collections.abc import Set

MAX_REFUSED_REQUESTS = 64  # remembered for one connection, which is then not used again
NO_CONNECTIONS: frozenset[int] = frozenset()


class RefusedRequests:
    """Refused requests by connection, for as long as the connection is open."""

    def __init__(self) -> None:
        self._connections: dict[bytes, set[int]] = {}  # by `X-Attempt-Id`
        self._attempt_ids: dict[int, set[bytes]] = {}  # by connection

    def connections_of(self, attempt_id: bytes) -> Set[int]:
        """Return the numbers of the connections on which this request was refused."""
        return self._connections.get(attempt_id, NO_CONNECTIONS)

    def add(self, connection: int, attempt_id: bytes) -> bool:
        """Remember that the request was refused on this connection; return whether the connection may be used again."""
        self._connections.setdefault(attempt_id, set()).add(connection)
        refused = self._attempt_ids.setdefault(connection, set())
        refused.add(attempt_id)
        return len(refused) < MAX_REFUSED_REQUESTS

    def forget(self, connection: int) -> None:
        """Forget the requests that were refused on this connection, which has been closed."""
        for attempt_id in self._attempt_ids.pop(connection, ()):
            connections = self._connections[attempt_id]
            connections.discard(connection)
            if not connections:
                del self._connections[attempt_id]
