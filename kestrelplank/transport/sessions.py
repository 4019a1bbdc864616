"""Sessions of peers that connect to this process: the current connection of each peer.

A peer that reconnects has ended its former connection, as it was restarted or its session timed out. Messages that
still arrive on the former connection are outdated and must be ignored.
"""

from typing import Generic, Protocol, TypeVar


class Resettable(Protocol):
    """A connection that can be reset."""

    def reset(self) -> None:
        """End the connection at once."""


Connection = TypeVar("Connection", bound=Resettable)


class Session(Generic[Connection]):
    """The session of one peer.

    :param heard_at: when the newest message was received.
    """

    __slots__ = ("connection", "heard_at", "reported_version", "behind_since", "sent_version")

    def __init__(self, connection: Connection, heard_at: int) -> None:
        self.connection, self.heard_at = connection, heard_at
        self.reported_version: int | None = None  # version of the peer's configuration
        self.behind_since: int | None = None  # when the peer was first heard to have an older one than this process
        self.sent_version: int | None = None  # of the newest configuration sent on the connection

    def idle_ns(self, now: int) -> int:
        """Return the time since the newest message."""
        return now - self.heard_at


class Sessions(Generic[Connection]):
    """All sessions, by the name of the peer.

    Invariants, each with its test in `tests/transport/test_sessions.py`:

    - Only the newest connection of a peer counts; messages on an older one are ignored
      (`test_a_newer_connection_replaces_the_older_whose_late_messages_are_ignored`).
    - Closing a replaced connection ends no session (`test_closing_a_replaced_connection_ends_no_session`).
    - A connection carries messages of one peer only (`test_a_connection_carries_messages_of_one_peer_only`).
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Session[Connection]] = {}
        self._names: dict[Connection, str] = {}  # "" for a connection that has been replaced

    def on_message(self, now: int, connection: Connection, name: str) -> Session[Connection] | None:
        """Record a message of the peer `name` on a connection; the connection's first message starts a session.

        Return the peer's session; None if the message must be ignored.
        """
        known_name = self._names.get(connection)
        session = self.by_name.get(name)
        if known_name is None:
            if session is not None:
                session.connection.reset()
                self._names[session.connection] = ""
            session = self.by_name[name] = Session(connection, now)
            self._names[connection] = name
        elif known_name != name or session is None or session.connection is not connection:
            return None
        session.heard_at = now
        return session

    def on_closed(self, connection: Connection) -> str | None:
        """Record that a connection has ended; return the peer whose session ended with it, if any."""
        name = self._names.pop(connection, "")
        session = self.by_name.get(name)
        if session is None or session.connection is not connection:
            return None
        del self.by_name[name]
        return name

    def connections(self) -> list[Connection]:
        """Return the connections of all sessions."""
        return [session.connection for session in self.by_name.values()]
