"""Calls of the operator that wait: whose answer is whose."""

import pytest

from kestrelplank.consensus.log_entries import Entry, Noop, PutConfiguration
from kestrelplank.consensus.member_messages import CallId
from kestrelplank.control.pending_calls import MOST, PATIENCE, PassedCalls, PassedOn, PendingOrders, Ticket

NOW = 100
ORDER = PutConfiguration(5, "digest", b"text")
OTHER = PutConfiguration(5, "other", b"other text")
LEADER = "10.0.0.1:80/first"


def test_an_order_is_acknowledged_by_its_own_entry_only():
    orders = PendingOrders()
    orders.add(NOW, Ticket(1), ORDER, 7, 2)
    assert orders.applied(Entry(6, 2, Noop())) == ([], [])
    assert orders.applied(Entry(7, 2, ORDER)) == ([Ticket(1)], [])
    assert orders.applied(Entry(8, 2, ORDER)) == ([], [])


def test_of_an_order_whose_place_another_terms_entry_took_nothing_is_known():
    orders = PendingOrders()
    orders.add(NOW, Ticket(1), ORDER, 7, 2)
    assert orders.applied(Entry(7, 3, ORDER)) == ([], [Ticket(1)])


def test_the_very_same_order_waits_for_the_one_under_way_and_another_text_does_not():
    orders, passed_on = PendingOrders(), PassedOn("10.0.0.2:80/first", CallId("10.0.0.2:80/first", 9, 1))
    orders.add(NOW, Ticket(1), ORDER, 7, 2)
    assert orders.attach(NOW, passed_on, ORDER) and not orders.attach(NOW, Ticket(3), OTHER)
    assert orders.applied(Entry(7, 2, ORDER)) == ([Ticket(1), passed_on], [])


def test_who_waited_too_long_is_told_so_once_and_the_order_stays_for_who_sends_it_again():
    orders = PendingOrders()
    orders.add(NOW, Ticket(1), ORDER, 7, 2)
    assert orders.expired(NOW + PATIENCE - 1) == [] and orders.expired(NOW + PATIENCE) == [Ticket(1)]
    assert orders.expired(NOW + PATIENCE) == []
    assert orders.attach(NOW + PATIENCE, Ticket(2), ORDER)
    assert orders.applied(Entry(7, 2, ORDER)) == ([Ticket(2)], [])


def test_who_leads_no_longer_knows_nothing_of_any():
    orders = PendingOrders()
    orders.add(NOW, Ticket(1), ORDER, 7, 2)
    orders.add(NOW, Ticket(2), OTHER, 8, 2)
    assert orders.drop() == [Ticket(1), Ticket(2)] and orders.drop() == []


def test_calls_under_way_have_a_bound():
    orders, passed = PendingOrders(), PassedCalls("a", 1)
    for number in range(MOST):
        assert not orders.full() and not passed.full()
        orders.add(NOW, Ticket(number), ORDER, 7 + number, 2)
        passed.add(NOW, number, LEADER, reads=False)
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
    passed = PassedCalls("a", 9)
    assert passed.add(NOW, 31, LEADER, reads=False) == CallId("a", 9, 1)
    found = passed.answered(sender, call, reads)
    assert (found is not None and found.ticket == 31) if answers else found is None
    assert passed.answered(LEADER, CallId("a", 9, 1), False) is None or not answers  # and only once


def test_a_passed_call_ends_when_it_has_waited_too_long_or_its_leader_leads_no_longer():
    passed = PassedCalls("a", 9)
    passed.add(NOW, 1, LEADER, reads=False)
    passed.add(NOW + 5, 2, LEADER, reads=True)
    assert [call.ticket for call in passed.expired(NOW + PATIENCE, LEADER)] == [1]
    assert [call.ticket for call in passed.expired(NOW + 6, "")] == [2]
