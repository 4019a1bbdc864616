"""Sessions when peers reconnect: messages and closes of a replaced connection are ignored."""

import pytest

from kestrelplank.time_units import SECOND
from kestrelplank.transport.sessions import Sessions


class Connection:
    def __init__(self):
        self.resets = 0

    def reset(self):
        self.resets += 1


def test_a_newer_connection_replaces_the_older_whose_late_messages_are_ignored():
    sessions, old, new = Sessions(), Connection(), Connection()
    assert sessions.on_message(1 * SECOND, old, "a").idle_ns(3 * SECOND) == 2 * SECOND
    session = sessions.on_message(2 * SECOND, new, "a")
    assert session.connection is new and old.resets == 1
    assert sessions.on_message(3 * SECOND, old, "a") is None  # sent before the peer reconnected
    assert sessions.by_name["a"].heard_at == 2 * SECOND


@pytest.mark.parametrize("order", ["old first", "new first"])
def test_closing_a_replaced_connection_ends_no_session(order):
    sessions, old, new = Sessions(), Connection(), Connection()
    sessions.on_message(1, old, "a")
    sessions.on_message(2, new, "a")
    if order == "old first":
        assert sessions.on_closed(old) is None and sessions.connections() == [new]
        assert sessions.on_closed(new) == "a" and sessions.by_name == {}
    else:
        assert sessions.on_closed(new) == "a" and sessions.on_closed(old) is None and sessions.by_name == {}


def test_a_connection_carries_messages_of_one_peer_only():
    sessions, connection = Sessions(), Connection()
    sessions.on_message(1, connection, "a")
    assert sessions.on_message(2, connection, "b") is None and list(sessions.by_name) == ["a"]


def test_closing_a_connection_without_messages_ends_no_session():
    assert Sessions().on_closed(Connection()) is None


def test_member_reconnects_while_frames_of_the_old_connection_are_still_read():
    """Once the new connection has sent a message, later messages and the end of the old one are ignored."""
    sessions, old, new = Sessions(), Connection(), Connection()
    accepted = []
    for now, connection in enumerate([old, old, new, old, new, old, new]):
        if sessions.on_message(now, connection, "a") is not None:
            accepted.append(connection)
    assert accepted == [old, old, new, new, new] and old.resets == 1 and new.resets == 0
    assert sessions.on_closed(old) is None and sessions.by_name["a"].connection is new
