"""When the leader fixes a window."""

from kestrelplank.time_units import SECOND
from kestrelplank.usage.messages import UsageCounts, WindowCounts
from kestrelplank.usage.policy import UsagePolicy
from kestrelplank.usage.usage_collector import MAX_WINDOWS, UsageCollector
from kestrelplank.usage.window_fixing import ELECTION_DELAY_NS, MIN_DELAY_NS, WindowFixing, report_content
from kestrelplank.usage.windows import NO_WINDOW, window_end

POLICY = UsagePolicy()
FIRST = 300
END = window_end(FIRST, POLICY.interval_ns)
STEADY = END - 1000 * SECOND  # true time minus the steady clock


def collector_of(final_through, counts=((FIRST, {"a": 1}),)):
    collector = UsageCollector()
    windows = [WindowCounts(*window) for window in counts]
    collector.handle_counts(0, UsageCounts("e1", 1, 0, 0, final_through, windows))
    return collector


def fixed_at(true_time, collector, fixed_through=NO_WINDOW, elected_at=0):
    fixing = WindowFixing(POLICY)
    fixing.handle_elected(elected_at)
    return fixing.next_window(true_time - STEADY, true_time, fixed_through, collector)


def test_a_window_is_fixed_soon_after_all_edges_have_it_final():
    assert fixed_at(END + MIN_DELAY_NS, collector_of(FIRST)) == FIRST
    assert fixed_at(END + MIN_DELAY_NS - 1, collector_of(FIRST)) is None
    assert fixed_at(END + MIN_DELAY_NS, collector_of(FIRST - 1)) is None


def test_a_window_is_fixed_at_the_latest_when_its_report_must_be_sent():
    assert POLICY.fixing_delay_ns == 7 * SECOND
    assert fixed_at(END + 7 * SECOND - 1, collector_of(FIRST - 1)) is None
    assert fixed_at(END + 7 * SECOND, collector_of(FIRST - 1)) == FIRST
    assert fixed_at(END + 7 * SECOND, UsageCollector(), fixed_through=FIRST - 1) == FIRST


def test_the_first_window_is_the_first_with_any_count():
    assert fixed_at(END + 9 * SECOND, collector_of(FIRST + 5, counts=())) is None
    assert fixed_at(END + 9 * SECOND, collector_of(FIRST + 5, counts=((FIRST + 1, {"a": 1}),))) == FIRST + 1


def test_windows_are_fixed_in_order_empty_ones_too():
    collector = collector_of(FIRST + 5, counts=((FIRST + 2, {"a": 1}),))
    assert fixed_at(END + 30 * SECOND, collector, fixed_through=FIRST) == FIRST + 1


def test_a_new_leader_waits_for_the_edges():
    now = END + 9 * SECOND - STEADY
    assert fixed_at(END + 9 * SECOND, collector_of(FIRST), elected_at=now - ELECTION_DELAY_NS + 1) is None
    assert fixed_at(END + 9 * SECOND, collector_of(FIRST), elected_at=now - ELECTION_DELAY_NS) == FIRST


def test_nothing_is_fixed_while_the_time_is_unknown_or_before_an_election():
    fixing = WindowFixing(POLICY)
    assert fixing.next_window(10**18, END + 9 * SECOND, NO_WINDOW, collector_of(FIRST)) is None
    fixing.handle_elected(0)
    assert fixing.next_window(10**18, None, NO_WINDOW, collector_of(FIRST)) is None


def test_after_a_long_outage_old_windows_are_skipped():
    """Guards against: thousands of entries and calls for windows in which nothing ran."""
    later = END + 3600 * SECOND
    assert fixed_at(later, UsageCollector(), fixed_through=FIRST) == later // POLICY.interval_ns - MAX_WINDOWS


def test_a_report_has_the_text_that_the_platform_expects():
    assert report_content(353445120, {"cuka621": 412, "yefi830": 7}) == (
        b'{"window_number":353445120,"counts":{"cuka621":412,"yefi830":7}}'
    )
    assert report_content(1, {}) == b'{"window_number":1,"counts":{}}'
