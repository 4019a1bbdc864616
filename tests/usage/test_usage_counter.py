"""Counts at one edge."""

from kestrelplank.usage.messages import WindowCounts
from kestrelplank.usage.usage_counter import MAX_WINDOWS, UsageCounter
from kestrelplank.usage.windows import AFTER_ALL_WINDOWS

INTERVAL = 5


def counts(counter, since=0):
    return {changed.window: changed.counts for changed in counter.changes_since(since)}


def test_an_attempt_counts_in_the_window_in_which_it_was_sent():
    counter = UsageCounter(INTERVAL)
    window = counter.attempt_started(14, "a")
    assert counts(counter) == {2: {"a": 1}}
    counter.attempt_ended(window, "a", executed=True)
    assert counts(counter) == {2: {"a": 1}}


def test_an_attempt_that_has_not_run_is_taken_out_again():
    counter = UsageCounter(INTERVAL)
    counter.attempt_started(10, "a")
    window = counter.attempt_started(10, "a")
    before = counter.revision
    counter.attempt_ended(window, "a", executed=False)
    assert counts(counter, before) == {2: {"a": 1}}


def test_a_retry_in_the_next_window_counts_there():
    counter = UsageCounter(INTERVAL)
    counter.attempt_ended(counter.attempt_started(14, "a"), "a", executed=True)
    counter.attempt_ended(counter.attempt_started(15, "a"), "a", executed=True)
    assert counts(counter) == {2: {"a": 1}, 3: {"a": 1}}


def test_a_window_is_final_once_it_is_over_and_its_attempts_have_ended():
    counter = UsageCounter(INTERVAL)
    window = counter.attempt_started(14, "a")
    assert counter.final_through(14) == 1
    assert counter.final_through(16) == 1
    counter.attempt_ended(window, "a", executed=False)
    assert counter.final_through(16) == 2
    assert counts(counter) == {2: {"a": 0}}


def test_no_window_is_final_while_the_time_is_unknown():
    counter = UsageCounter(INTERVAL)
    counter.attempt_ended(counter.attempt_started(14, "a"), "a", executed=True)
    assert counter.final_through(None) == -1


def test_no_attempt_is_counted_in_a_final_window_after_the_time_was_corrected_back():
    counter = UsageCounter(INTERVAL)
    assert counter.final_through(15) == 2
    assert counter.attempt_started(14, "a") == 3
    assert counter.final_through(14) == 2


def test_a_stopping_edge_has_all_windows_final():
    counter = UsageCounter(INTERVAL)
    counter.attempt_started(14, "a")
    counter.close()
    assert counter.final_through(14) == AFTER_ALL_WINDOWS


def test_fixed_windows_are_dropped_and_their_late_attempts_do_not_count():
    counter = UsageCounter(INTERVAL)
    late = counter.attempt_started(14, "a")
    counter.attempt_started(15, "a")
    counter.drop_through(2)
    counter.attempt_ended(late, "a", executed=False)
    counter.attempt_started(14, "a")
    assert counts(counter) == {3: {"a": 1}} and counter.late_attempts == 1


def test_the_oldest_window_is_dropped_beyond_the_limit():
    counter = UsageCounter(INTERVAL)
    for window in range(MAX_WINDOWS + 3):
        counter.attempt_started(window * INTERVAL, "a")
    assert sorted(counts(counter)) == list(range(3, MAX_WINDOWS + 3)) and counter.dropped_windows == 3


def test_changes_since_a_revision_are_absolute_counts():
    counter = UsageCounter(INTERVAL)
    counter.attempt_started(10, "a")
    counter.attempt_started(10, "b")
    before = counter.revision
    counter.attempt_started(10, "b")
    assert counter.changes_since(before) == [WindowCounts(2, {"b": 2})]
    assert counter.changes_since(counter.revision) == []
