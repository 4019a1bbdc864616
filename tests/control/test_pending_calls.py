"""Pending operator calls: each reply ends the right call, and time-outs and limits apply."""

import pytest

from kestrelplank.consensus.log_entries import Entry, Noop, PutConfiguration
from kestrelplank.consensus.member_messages import CallId
from kestrelplank.control.pending_calls import (
    CALL_TIMEOUT_NS,
    MAX_PENDING_CALLS,
    DecidedCallers,
    ForwardedCalls,
    ForwardingMember,
    LocalCaller,
    PendingOrders,
)

NOW = 100
ORDER = PutConfiguration(5, "digest", b"text")
OTHER_ORDER = PutConfiguration(5, "other", b"other text")
LEADER = "10.0.0.1:80/first"


def test_an_order_is_acknowledged_by_its_own_entry_only():
    orders = PendingOrders()
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.handle_applied(Entry(6, 2, Noop())) == DecidedCallers([], [])
    assert orders.handle_applied(Entry(7, 2, ORDER)) == DecidedCallers([LocalCaller(1)], [])
    assert orders.handle_applied(Entry(8, 2, ORDER)) == DecidedCallers([], [])


def test_an_order_whose_index_has_an_entry_of_another_term_has_an_unknown_outcome():
    orders = PendingOrders()
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.handle_applied(Entry(7, 3, ORDER)) == DecidedCallers([], [LocalCaller(1)])


def test_an_identical_order_joins_the_pending_one_and_another_text_does_not():
    orders, forwarder = PendingOrders(), ForwardingMember("10.0.0.2:80/first", CallId("10.0.0.2:80/first", 9, 1))
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.join(NOW, forwarder, ORDER) and not orders.join(NOW, LocalCaller(3), OTHER_ORDER)
    assert orders.handle_applied(Entry(7, 2, ORDER)) == DecidedCallers([LocalCaller(1), forwarder], [])


def test_a_timed_out_caller_is_returned_once_and_its_order_can_be_joined_again():
    orders = PendingOrders()
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.take_expired(NOW + CALL_TIMEOUT_NS - 1) == [] and orders.take_expired(NOW + CALL_TIMEOUT_NS) == [
        LocalCaller(1)
    ]
    assert orders.take_expired(NOW + CALL_TIMEOUT_NS) == []
    assert orders.join(NOW + CALL_TIMEOUT_NS, LocalCaller(2), ORDER)
    assert orders.handle_applied(Entry(7, 2, ORDER)) == DecidedCallers([LocalCaller(2)], [])


def test_a_deposed_leader_returns_all_waiting_callers_once():
    orders = PendingOrders()
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    orders.add(NOW, LocalCaller(2), OTHER_ORDER, 8, 2)
    assert orders.take_all() == [LocalCaller(1), LocalCaller(2)] and orders.take_all() == []


def test_the_number_of_pending_calls_is_limited():
    orders, forwarded = PendingOrders(), ForwardedCalls("a", 1)
    for number in range(MAX_PENDING_CALLS):
        assert not orders.full() and not forwarded.full()
        orders.add(NOW, LocalCaller(number), ORDER, 7 + number, 2)
        forwarded.add(NOW, number, LEADER, is_read=False)
    assert orders.full() and forwarded.full()


@pytest.mark.parametrize(
    "sender, call, is_read, matches",
    [
        (LEADER, CallId("a", 9, 1), False, True),
        (LEADER, CallId("a", 8, 1), False, False),  # made before a restart
        (LEADER, CallId("b", 9, 1), False, False),  # of another member
        (LEADER, CallId("a", 9, 2), False, False),  # of a call that was never made
        (LEADER, CallId("a", 9, 1), True, False),  # a reply to a read
        ("10.0.0.3:80/first", CallId("a", 9, 1), False, False),  # from a member that was not called
    ],
)
def test_a_reply_ends_only_the_call_that_it_names(sender, call, is_read, matches):
    forwarded = ForwardedCalls("a", 9)
    assert forwarded.add(NOW, 31, LEADER, is_read=False) == CallId("a", 9, 1)
    call_taken = forwarded.take_answered(sender, call, is_read=is_read)
    assert (call_taken is not None and call_taken.ticket == 31) if matches else call_taken is None
    # Each call ends only once.
    assert forwarded.take_answered(LEADER, CallId("a", 9, 1), is_read=False) is None or not matches


def test_a_forwarded_call_ends_at_its_timeout_or_when_the_leader_changes():
    forwarded = ForwardedCalls("a", 9)
    forwarded.add(NOW, 1, LEADER, is_read=False)
    forwarded.add(NOW + 5, 2, LEADER, is_read=True)
    assert [call.ticket for call in forwarded.take_expired(NOW + CALL_TIMEOUT_NS, LEADER)] == [1]
    assert [call.ticket for call in forwarded.take_expired(NOW + 6, "")] == [2]
