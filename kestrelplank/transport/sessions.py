"""Sessions of peers that dial us: which connection carries each peer's messages.

A peer that dials anew has ended its former connection, as it was restarted or its session timed out. What still comes
on the former connection is older than what the peer sends now, and must not count.
"""

from typing import Generic, Protocol, TypeVar


class Resettable(Protocol):
    """A connection that can be ended."""

    def reset(self) -> None:
        """End it at once."""


Connection = TypeVar("Connection", bound=Resettable)


class Session(Generic[Connection]):
    """A peer in session.

    :param heard_at: when its newest message came.
    """

    __slots__ = ("connection", "heard_at", "reported_version")

    def __init__(self, connection: Connection, heard_at: int) -> None:
        self.connection, self.heard_at = connection, heard_at
        self.reported_version: int | None = None  # of the configuration that the peer reports to have in force

    def idle_ns(self, now: int) -> int:
        """Return for how long nothing has come."""
        return now - self.heard_at


class Sessions(Generic[Connection]):
    """All sessions that peers have begun with us, by name.

    Invariants, each with the test in `tests/transport/test_sessions.py` that holds it:

    - A peer has one connection, its newest; nothing that comes on an older one counts
      (`test_a_newer_connection_takes_the_place_of_the_older_whose_late_messages_count_for_nothing`).
    - The end of an older connection ends no session (`test_the_end_of_an_older_connection_ends_no_session`).
    - A connection speaks for one peer only (`test_a_connection_speaks_for_one_peer_only`).
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Session[Connection]] = {}
        self._names: dict[Connection, str] = {}  # "" for a connection that has been replaced

    def on_message(self, now: int, connection: Connection, name: str) -> Session[Connection] | None:
        """Take note that a connection has brought a message of that peer, and begin a session with its first one.

        Return the peer's session; None where the message does not count.
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
        """Take note that a connection has ended; return whose session ended with it, if any."""
        name = self._names.pop(connection, "")
        session = self.by_name.get(name)
        if session is None or session.connection is not connection:
            return None
        del self.by_name[name]
        return name

    def connections(self) -> list[Connection]:
        """Return the connection of each peer in session."""
        return [session.connection for session in self.by_name.values()]
