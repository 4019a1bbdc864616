"""Counts of all edges at one member."""

from kestrelplank.time_units import SECOND
from kestrelplank.usage.messages import UsageCounts, WindowCounts
from kestrelplank.usage.usage_collector import EDGE_TIMEOUT_NS, MAX_WINDOWS, UsageCollector
from kestrelplank.usage.windows import AFTER_ALL_WINDOWS


def message(edge, windows, final_through=-1, incarnation=1):
    return UsageCounts(edge, incarnation, 0, 0, final_through, [WindowCounts(*window) for window in windows])


def collector_of(*messages, now=0):
    collector = UsageCollector()
    for each in messages:
        collector.handle_counts(now, each)
    return collector


def test_totals_add_all_edges_in_the_order_of_tenants_without_zeros():
    collector = collector_of(
        message("e1", [(5, {"b": 2, "zero": 0})]), message("e2", [(5, {"b": 1, "a": 4}), (6, {"c": 1})])
    )
    assert list(collector.totals(5).items()) == [("a", 4), ("b", 3)]
    assert collector.totals(6) == {"c": 1} and collector.totals(7) == {}


def test_a_repeated_message_changes_nothing():
    twice = message("e1", [(5, {"a": 2})])
    collector = collector_of(twice, twice, message("e1", [(5, {"a": 3})]))
    assert collector.totals(5) == {"a": 3}


def test_the_counts_of_a_restarted_edge_are_added_to_those_of_its_former_process():
    collector = collector_of(
        message("e1", [(5, {"a": 2})], incarnation=1),
        message("e1", [(5, {"a": 1})], incarnation=2),
        message("e1", [(5, {"a": 1})], incarnation=3),
    )
    assert collector.totals(5) == {"a": 4}


def test_a_window_is_complete_once_every_edge_has_it_final():
    collector = collector_of(message("e1", [], 5), message("e2", [], 4))
    assert collector.is_complete(4) and not collector.is_complete(5)
    collector.handle_counts(1, message("e2", [], AFTER_ALL_WINDOWS))  # it stops
    assert collector.is_complete(5) and not collector.is_complete(6)


def test_a_member_without_edges_has_no_complete_window():
    assert not UsageCollector().is_complete(5)


def test_a_silent_edge_is_waited_for_until_its_time_out():
    """Guards against: an edge that is cut off for seconds goes on forwarding, and its counts are left out."""
    collector = collector_of(message("e1", [], 4))
    collector.handle_counts(6 * SECOND, message("e2", [], 9))
    collector.tick(6 * SECOND)
    assert not collector.is_complete(5)
    collector.tick(EDGE_TIMEOUT_NS + 1)
    assert collector.is_complete(5)


def test_counts_of_fixed_windows_are_dropped():
    collector = collector_of(message("e1", [(5, {"a": 2}), (6, {"a": 1})]))
    collector.drop_through(5)
    collector.handle_counts(1, message("e1", [(5, {"a": 3})]))
    assert collector.totals(5) == {} and collector.totals(6) == {"a": 1} and collector.late_counts == 1


def test_the_oldest_window_is_dropped_beyond_the_limit():
    collector = collector_of(message("e1", [(window, {"a": 1}) for window in range(MAX_WINDOWS + 2)]))
    assert collector.dropped_windows == 2
    assert collector.first_counted_window() == 2
