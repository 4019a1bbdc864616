"""The calls of the role's holder to the platform."""

from random import Random

from kestrelplank.time_units import SECOND
from kestrelplank.usage.policy import UsagePolicy
from kestrelplank.usage.usage_reporter import (
    MAX_BACKOFF_NS,
    MIN_BACKOFF_NS,
    UNREACHABLE_TIMEOUT_NS,
    CallResult,
    UsageReporter,
    call_result,
)

UNREPORTED = {5: b"five", 6: b"six"}


def reporter_of(calls_per_s=1000):
    return UsageReporter(Random(1), UsagePolicy(calls_per_s=calls_per_s))


def test_there_is_one_call_at_a_time_and_the_oldest_window_goes_first():
    reporter = reporter_of()
    call = reporter.next_call(0, 9, UNREPORTED)
    assert (call.window, call.content, call.token) == (5, b"five", 9)
    assert reporter.next_call(10 * SECOND, 9, UNREPORTED) is None
    reporter.handle_result(10 * SECOND, call, CallResult.ACCEPTED)
    call = reporter.next_call(10 * SECOND, 9, UNREPORTED)
    assert call.window == 6
    reporter.handle_result(10 * SECOND, call, CallResult.ACCEPTED)
    assert reporter.next_call(20 * SECOND, 9, UNREPORTED) is None


def test_a_failed_call_is_repeated_with_the_same_content_after_a_growing_delay():
    for result in (CallResult.FAILED, CallResult.THROTTLED, CallResult.UNANSWERED):
        reporter, now, delays = reporter_of(), 0, []
        for _ in range(8):
            call = reporter.next_call(now, 9, UNREPORTED)
            assert call.window == 5 and call.content == b"five"
            reporter.handle_result(now, call, result)
            begin = now
            while reporter.next_call(now, 9, {}) is None and reporter._next_call_at > now:
                now += SECOND // 100
            delays.append(now - begin)
        assert delays[0] >= MIN_BACKOFF_NS and delays[0] < delays[2] < delays[4]
        assert MAX_BACKOFF_NS <= delays[-1] <= 1.6 * MAX_BACKOFF_NS


def test_a_rejected_token_is_never_used_again():
    reporter = reporter_of()
    call = reporter.next_call(0, 9, UNREPORTED)
    reporter.handle_result(1, call, CallResult.REJECTED)
    assert reporter.next_call(100 * SECOND, 9, UNREPORTED) is None
    assert reporter.next_call(100 * SECOND, 8, UNREPORTED) is None
    assert reporter.next_call(100 * SECOND, 10, UNREPORTED).token == 10


def test_a_backlog_is_sent_below_the_rate_of_the_platform():
    reporter, calls = reporter_of(calls_per_s=2), 0
    backlog = {window: b"x" for window in range(100)}
    for now in range(0, 20 * SECOND, SECOND // 20):
        call = reporter.next_call(now, 9, backlog)
        if call:
            calls += 1
            reporter.handle_result(now, call, CallResult.ACCEPTED)
    assert 10 <= calls <= 40


def test_the_role_is_released_if_the_platform_does_not_answer():
    reporter = reporter_of()
    assert not reporter.should_release(10**12)
    now = 0
    while now < UNREACHABLE_TIMEOUT_NS:
        assert not reporter.should_release(now)
        call = reporter.next_call(now, 9, UNREPORTED)
        if call:
            reporter.handle_result(now, call, CallResult.UNANSWERED)
        now += SECOND // 10
    assert reporter.should_release(now)
    reporter.handle_released()
    assert not reporter.should_release(now)


def test_an_answer_of_the_platform_keeps_the_role():
    reporter = reporter_of()
    for now, result in (
        (0, CallResult.UNANSWERED),
        (4 * SECOND, CallResult.FAILED),
        (8 * SECOND, CallResult.UNANSWERED),
    ):
        reporter.handle_result(now, reporter.next_call(now, 9, UNREPORTED), result)
    assert not reporter.should_release(9 * SECOND)


def test_the_mark_of_reported_windows_has_no_gap():
    reporter = reporter_of()
    assert reporter.reported_through(UNREPORTED) == -1
    for window in (5, 6):
        call = reporter.next_call(window * SECOND, 9, UNREPORTED)
        reporter.handle_result(window * SECOND, call, CallResult.ACCEPTED)
        assert reporter.reported_through(UNREPORTED) == window
    assert reporter.reported_through({4: b"", **UNREPORTED}) == -1


def test_results_of_statuses():
    assert [call_result(status) for status in (200, 409, 429, 500, 404)] == [
        CallResult.ACCEPTED,
        CallResult.REJECTED,
        CallResult.THROTTLED,
        CallResult.FAILED,
        CallResult.FAILED,
    ]
