"""Which connection speaks for whom."""

import pytest

from kestrelplank.transport.sessions import Sessions

S = 1_000_000_000


class End:
    def __init__(self):
        self.resets = 0

    def reset(self):
        self.resets += 1


def test_a_newer_connection_takes_the_place_of_the_older_whose_late_words_count_for_nothing():
    sessions, old, new = Sessions(), End(), End()
    assert sessions.heard(1 * S, old, "a").silent_for(3 * S) == 2 * S
    session = sessions.heard(2 * S, new, "a")
    assert session.wire is new and old.resets == 1
    assert sessions.heard(3 * S, old, "a") is None  # it was under way, or the former life's
    assert sessions.by_name["a"].heard_at == 2 * S


@pytest.mark.parametrize("order", ["old first", "new first"])
def test_the_end_of_an_older_connection_ends_no_session(order):
    sessions, old, new = Sessions(), End(), End()
    sessions.heard(1, old, "a")
    sessions.heard(2, new, "a")
    if order == "old first":
        assert sessions.ended(old) is None and sessions.wires() == [new]
        assert sessions.ended(new) == "a" and sessions.by_name == {}
    else:
        assert sessions.ended(new) == "a" and sessions.ended(old) is None and sessions.by_name == {}


def test_a_connection_speaks_for_one_only():
    sessions, wire = Sessions(), End()
    sessions.heard(1, wire, "a")
    assert sessions.heard(2, wire, "b") is None and list(sessions.by_name) == ["a"]


def test_what_never_said_who_it_is_ends_unseen():
    assert Sessions().ended(End()) is None


def test_member_reconnects_while_frames_of_the_old_connection_are_still_read():
    """Whatever the order in which both are read: once the new one has spoken, the old one never does again, and its end
    ends nothing."""
    sessions, old, new = Sessions(), End(), End()
    counted = []
    for now, wire in enumerate([old, old, new, old, new, old, new]):
        if sessions.heard(now, wire, "a") is not None:
            counted.append(wire)
    assert counted == [old, old, new, new, new] and old.resets == 1 and new.resets == 0
    assert sessions.ended(old) is None and sessions.by_name["a"].wire is new
