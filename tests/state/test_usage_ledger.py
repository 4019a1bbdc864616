"""The replicated record of fixed windows."""

import msgspec
import pytest

from kestrelplank.consensus.log_entries import Entry, FixUsage, PutConfiguration
from kestrelplank.state.control_state import ControlState
from kestrelplank.state.usage_ledger import MAX_UNREPORTED, UsageLedger


def ledger_of(*commands):
    ledger = UsageLedger()
    for command in commands:
        ledger.apply(command)
    return ledger


def test_a_window_keeps_the_content_that_was_fixed_first():
    """Guards against: two leaders fix a window, and two reports with different counts are accepted (ONE)."""
    ledger = ledger_of(FixUsage(5, b"first"), FixUsage(5, b"second"), FixUsage(4, b"older"))
    assert dict(ledger.unreported) == {5: b"first"} and ledger.fixed_through == 5


def test_a_content_stays_until_it_is_reported():
    ledger = ledger_of(FixUsage(5, b"5"), FixUsage(6, b"6"), FixUsage(7, b"7", reported_through=5))
    assert dict(ledger.unreported) == {6: b"6", 7: b"7"} and ledger.reported_through == 5


@pytest.mark.parametrize("mark", [9, 1 << 60])
def test_a_mark_beyond_the_last_fixed_window_marks_no_later_one(mark):
    ledger = ledger_of(FixUsage(5, b"5", mark), FixUsage(6, b"6"))
    assert dict(ledger.unreported) == {6: b"6"}


def test_the_oldest_contents_are_dropped_beyond_the_limit():
    ledger = UsageLedger()
    dropped = [ledger.apply(FixUsage(window, b"x")) for window in range(MAX_UNREPORTED + 2)]
    assert dropped[-2:] == [(0,), (1,)] and len(ledger.unreported) == MAX_UNREPORTED


def state_of(*commands):
    state = ControlState()
    for index, command in enumerate(commands):
        state.apply(Entry(index, 1, command))
    return state


def test_a_snapshot_has_the_ledger():
    commands = [FixUsage(5, b"5"), FixUsage(6, b"6", 5)]
    state = state_of(*commands)
    restored = state_of(FixUsage(3, b"other"))
    restored.restore(state.snapshot())
    assert restored.usage.content() == state.usage.content()
    assert restored.snapshot() == state.snapshot()
    restored.apply(Entry(9, 1, FixUsage(6, b"again")))
    assert dict(restored.usage.unreported) == {6: b"6"}


def test_a_snapshot_of_an_unused_ledger_has_the_bytes_of_the_former_format():
    order = PutConfiguration(1, "d", b"{}")
    assert state_of(order).snapshot() == msgspec.msgpack.encode((1, order, ()))
