"""Connections that other members and edge machines opened to this member.

Tracks when each last received a message and which edge machine has its session on it.
"""

from kestrelplank.control.member_sessions import MemberConnection
from kestrelplank.control.status import EdgeStatus
from kestrelplank.time_units import SECOND
from kestrelplank.transport.sessions import Sessions

IDLE_TIMEOUT_NS = 2 * SECOND
"""A connection is reset after this time without a message."""


class InboundConnections:
    """All inbound connections, each from its first message on."""

    def __init__(self) -> None:
        self._heard_at: dict[MemberConnection, int] = {}
        self._edges: Sessions[MemberConnection] = Sessions()

    @property
    def edge_count(self) -> int:
        """The number of edge machines in session."""
        return len(self._edges.by_name)

    def record_activity(self, now: int, connection: MemberConnection) -> None:
        """Record that a message arrived on the connection."""
        self._heard_at[connection] = now

    def handle_edge_heartbeat(self, now: int, connection: MemberConnection, edge: str, version: int | None) -> bool:
        """Record a heartbeat of an edge machine. Return False if it must be ignored.

        It is ignored on a connection that the edge machine has replaced by a newer one.

        :param version: of the configuration that the edge machine has in force; None if it has none yet.
        """
        session = self._edges.on_message(now, connection, edge)
        if session is None:
            return False
        session.reported_version = version
        return True

    def handle_ended(self, connection: MemberConnection) -> None:
        """Remove a connection that has ended."""
        self._heard_at.pop(connection, None)
        self._edges.on_closed(connection)

    def reset_idle(self, now: int) -> None:
        """Reset connections that received no message for `IDLE_TIMEOUT_NS`."""
        for connection, heard_at in list(self._heard_at.items()):
            if now - heard_at > IDLE_TIMEOUT_NS:
                connection.reset()

    def send_to_edges(self, data: bytes) -> None:
        """Send an encoded frame to every edge machine in session."""
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
