"""Connections that other members and edge machines dialled to us.

When each was last heard, and which edge machine is in session on which.
"""

from kestrelplank.control.member_sessions import MemberConnection
from kestrelplank.control.status import EdgeStatus
from kestrelplank.time_units import SECOND
from kestrelplank.transport.sessions import Sessions

SILENCE_TIMEOUT_NS = 2 * SECOND
"""A connection on which nothing has come for so long is ended."""


class InboundConnections:
    """All connections that came in, from the first message on."""

    def __init__(self) -> None:
        self._heard_at: dict[MemberConnection, int] = {}
        self._edges: Sessions[MemberConnection] = Sessions()

    @property
    def edge_count(self) -> int:
        """How many edge machines are in session."""
        return len(self._edges.by_name)

    def handle_heard(self, now: int, connection: MemberConnection) -> None:
        """Note that a message has come on the connection."""
        self._heard_at[connection] = now

    def handle_edge_heard(self, now: int, connection: MemberConnection, edge: str, version: int | None) -> bool:
        """Note that a heartbeat of an edge machine has come. Return False where it counts for nothing.

        That is so on a connection that the edge machine has replaced by a newer one.

        :param version: of the configuration that it has in force; None: none yet.
        """
        session = self._edges.on_message(now, connection, edge)
        if session is None:
            return False
        session.reported_version = version
        return True

    def handle_ended(self, connection: MemberConnection) -> None:
        """Forget a connection that has ended."""
        self._heard_at.pop(connection, None)
        self._edges.on_closed(connection)

    def reset_silent(self, now: int) -> None:
        """End connections on which nothing has come for too long."""
        for connection, heard_at in list(self._heard_at.items()):
            if now - heard_at > SILENCE_TIMEOUT_NS:
                connection.reset()

    def send_to_edges(self, data: bytes) -> None:
        """Send a packed message to every edge machine in session."""
        for connection in self._edges.connections():
            connection.send(data)

    def edge_statuses(self, now: int) -> dict[str, EdgeStatus]:
        """Return the status of each edge machine in session, by name."""
        return {
            name: EdgeStatus(
                configuration_version=None if session.reported_version is None else f"{session.reported_version:08x}",
                last_heard_s=round(session.idle_ns(now) / SECOND, 3),
            )
            for name, session in sorted(self._edges.by_name.items())
        }
