"""The table of what may be sent again: whole, and never beyond what is proved."""

import pathlib

import pytest

import kestrelplank
from kestrelplank.forwarding.resend import TABLE, Again, Call, Ran, Seen, harmless, verdict

PAIRS = [(call, seen) for call in Call for seen in Seen]
PROOFS = {Seen.NOT_RUN, Seen.NO_ROOM, Seen.UNSENT, Seen.UNSENDABLE}  # that a client's request has not run
MAY_RUN_TWICE = {Call.REPEATABLE, Call.GRANT, Call.RELEASE, Call.SERVER_LIST, Call.STATE}


def test_every_kind_of_call_and_every_end_has_its_row():
    assert [(call, seen) for call in TABLE for seen in TABLE[call] if (call, seen) not in PAIRS] == []
    assert all(verdict(call, seen) is TABLE[call][seen] for call, seen in PAIRS)


@pytest.mark.parametrize("call, seen", PAIRS)
def test_without_proof_only_what_may_run_twice_is_sent_again(call, seen):
    found = verdict(call, seen)
    if found.again is not Again.NO and call not in MAY_RUN_TWICE:
        assert found.ran is Ran.NO
    if call is Call.SINGLE:
        assert (found.ran is Ran.NO) == (seen in PROOFS)
        assert (found.again is not Again.NO) == (seen in PROOFS - {Seen.UNSENDABLE})
    if seen is Seen.ANSWERED:
        assert found.again is Again.NO
    if not found.arrived:  # it does not count as a further try, so nothing of it may have left us
        assert seen in (Seen.NO_ROOM, Seen.UNSENT, Seen.UNSENDABLE)


def test_what_may_be_broken_off_is_what_may_run_twice():
    assert {call for call in Call if harmless(call)} == MAY_RUN_TWICE


def test_nothing_else_decides_what_is_sent_again():
    """Adapters report what they saw; only the table and the cores that limit it know `Again`."""
    root = pathlib.Path(kestrelplank.__file__).parent
    users = {str(path.relative_to(root)) for path in root.rglob("*.py") if "import Again" in path.read_text()}
    assert users == {"forwarding/forwarder.py"}
