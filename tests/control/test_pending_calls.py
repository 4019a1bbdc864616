"""Calls of the operator that wait: whose answer is whose."""

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
OTHER = PutConfiguration(5, "other", b"other text")
LEADER = "10.0.0.1:80/first"


def test_an_order_is_acknowledged_by_its_own_entry_only():
    orders = PendingOrders()
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.handle_applied(Entry(6, 2, Noop())) == DecidedCallers([], [])
    assert orders.handle_applied(Entry(7, 2, ORDER)) == DecidedCallers([LocalCaller(1)], [])
    assert orders.handle_applied(Entry(8, 2, ORDER)) == DecidedCallers([], [])


def test_an_order_whose_index_another_terms_entry_took_has_an_unknown_outcome():
    orders = PendingOrders()
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.handle_applied(Entry(7, 3, ORDER)) == DecidedCallers([], [LocalCaller(1)])


def test_the_very_same_order_waits_for_the_one_under_way_and_another_text_does_not():
    orders, passed_on = PendingOrders(), ForwardingMember("10.0.0.2:80/first", CallId("10.0.0.2:80/first", 9, 1))
    orders.add(NOW, LocalCaller(1), ORDER, 7, 2)
    assert orders.join(NOW, passed_on, ORDER) and not orders.join(NOW, LocalCaller(3), OTHER)
    assert orders.handle_applied(Entry(7, 2, ORDER)) == DecidedCallers([LocalCaller(1), passed_on], [])


def test_a_caller_that_waited_too_long_is_told_so_once_and_the_order_stays_for_who_sends_it_again():
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
    orders.add(NOW, LocalCaller(2), OTHER, 8, 2)
    assert orders.take_all() == [LocalCaller(1), LocalCaller(2)] and orders.take_all() == []


def test_pending_calls_have_a_bound():
    orders, passed = PendingOrders(), ForwardedCalls("a", 1)
    for number in range(MAX_PENDING_CALLS):
        assert not orders.full() and not passed.full()
        orders.add(NOW, LocalCaller(number), ORDER, 7 + number, 2)
        passed.add(NOW, number, LEADER, is_read=False)
    assert orders.full() and passed.full()


@pytest.mark.parametrize(
    "sender, call, reads, answers",
    [
        (LEADER, CallId("a", 9, 1), False, True),
        (LEADER, CallId("a", 8, 1), False, False),  # of a former life
        (LEADER, CallId("b", 9, 1), False, False),  # another member's
        (LEADER, CallId("a", 9, 2), False, False),  # never asked
        (LEADER, CallId("a", 9, 1), True, False),  # the answer to a read
        ("10.0.0.3:80/first", CallId("a", 9, 1), False, False),  # of one that was not asked
    ],
)
def test_an_answer_ends_the_call_that_it_names_and_no_other(sender, call, reads, answers):
    passed = ForwardedCalls("a", 9)
    assert passed.add(NOW, 31, LEADER, is_read=False) == CallId("a", 9, 1)
    found = passed.take_answered(sender, call, is_read=reads)
    assert (found is not None and found.ticket == 31) if answers else found is None
    assert passed.take_answered(LEADER, CallId("a", 9, 1), is_read=False) is None or not answers  # and only once


def test_a_forwarded_call_ends_when_it_has_waited_too_long_or_its_leader_leads_no_longer():
    passed = ForwardedCalls("a", 9)
    passed.add(NOW, 1, LEADER, is_read=False)
    passed.add(NOW + 5, 2, LEADER, is_read=True)
    assert [call.ticket for call in passed.take_expired(NOW + CALL_TIMEOUT_NS, LEADER)] == [1]
    assert [call.ticket for call in passed.take_expired(NOW + 6, "")] == [2]
