"""Connections that other members and edge machines opened to this member.

Tracks when each last received a message and which edge machine has its session on it.
"""

from kestrelplank.control.member_sessions import MemberConnection
from kestrelplank.control.status import EdgeStatus
from kestrelplank.state.control_state import NO_VERSION
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import ConfigurationUpdate, ToEdge
from kestrelplank.transport.sessions import Session, Sessions
from kestrelplank.transport.wire import encode_frame

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

    def handle_edge_heartbeat(
        self, now: int, connection: MemberConnection, edge: str, version: int | None, version_in_force: int
    ) -> Session[MemberConnection] | None:
        """Record a heartbeat of an edge machine, and return the machine's session; None if it must be ignored.

        It is ignored on a connection that the edge machine has replaced by a newer one.

        :param version: of the configuration that the edge machine has in force; None if it has none yet.
        :param version_in_force: at this member; `NO_VERSION` if there is none.
        """
        session = self._edges.on_message(now, connection, edge)
        if session is None:
            return None
        session.reported_version = version
        if (NO_VERSION if version is None else version) >= version_in_force:
            session.behind_since = None
        elif session.behind_since is None:
            session.behind_since = now
        return session

    def handle_ended(self, connection: MemberConnection) -> None:
        """Remove a connection that has ended."""
        self._heard_at.pop(connection, None)
        self._edges.on_closed(connection)

    def reset_idle(self, now: int) -> None:
        """Reset connections that received no message for `IDLE_TIMEOUT_NS`, and those whose peers stand still."""
        for connection, heard_at in list(self._heard_at.items()):
            silent_ns = now - heard_at
            if silent_ns > IDLE_TIMEOUT_NS or connection.stands_still(now, silent_ns):
                connection.reset()

    def send_to_edge(self, session: Session[MemberConnection], message: ToEdge) -> None:
        """Send a message to the edge machine of the session."""
        self._send(session, message, message)

    def send_to_edges(self, message: ToEdge) -> None:
        """Send a message to every edge machine in session; it is encoded once."""
        frame = encode_frame(message)
        for session in self._edges.by_name.values():
            self._send(session, message, frame)

    def _send(self, session: Session[MemberConnection], message: ToEdge, data: ToEdge | bytes) -> None:
        """Send the message as `data`, and record the version of a configuration."""
        session.connection.send(data)
        if isinstance(message, ConfigurationUpdate):
            session.sent_version = message.version

    def edge_statuses(self, now: int) -> dict[str, EdgeStatus]:
        """Return the status of each edge machine in session, by name."""
        return {
            name: EdgeStatus(
                configuration_version=None if session.reported_version is None else f"{session.reported_version:08x}",
                last_heard_s=round(session.idle_ns(now) / SECOND, 3),
                behind_s=None if session.behind_since is None else round((now - session.behind_since) / SECOND, 3),
            )
            for name, session in sorted(self._edges.by_name.items())
        }
