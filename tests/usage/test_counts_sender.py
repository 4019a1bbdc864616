"""An edge's messages to members, and the exchange of clock readings."""

from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.usage.counts_sender import CountsSender
from kestrelplank.usage.edge_usage import EdgeUsage
from kestrelplank.usage.messages import UsageCountsReply, WindowCounts

EPOCH = 1_800_000_000 * SECOND
INTERVAL = 5 * SECOND
WINDOW = EPOCH // INTERVAL


def test_a_new_connection_is_sent_all_windows_and_later_messages_only_changes():
    usage = EdgeUsage("edge-1", 7, INTERVAL)
    usage.counter.attempt_started(EPOCH, "a")
    first = CountsSender(usage, "m1")
    assert first.next_message(0, EPOCH).windows == [WindowCounts(WINDOW, {"a": 1})]
    assert first.next_message(1, EPOCH).windows == []
    usage.counter.attempt_started(EPOCH, "b")
    assert first.next_message(2, EPOCH).windows == [WindowCounts(WINDOW, {"b": 1})]
    assert CountsSender(usage, "m1").next_message(3, EPOCH).windows == [WindowCounts(WINDOW, {"a": 1, "b": 1})]


def test_windows_that_a_member_reports_as_fixed_are_not_sent_any_more():
    usage = EdgeUsage("edge-1", 7, INTERVAL)
    usage.counter.attempt_started(EPOCH, "a")
    CountsSender(usage, "m1").handle_reply(1, UsageCountsReply(0, 5, fixed_through=WINDOW))
    assert CountsSender(usage, "m2").next_message(2, EPOCH).windows == []


def test_a_reply_sets_the_true_time_and_the_next_message_lets_the_member_measure_the_round_trip():
    usage = EdgeUsage("edge-1", 7, INTERVAL)
    sender = CountsSender(usage, "m1")
    message = sender.next_message(SECOND, EPOCH + 2 * SECOND)  # the own time of day is 1 s ahead
    assert (message.final_through, message.reply_sent_at) == (-1, 0)
    sender.handle_reply(SECOND + 4 * MILLISECOND, UsageCountsReply(SECOND, 77, EPOCH + SECOND + 2 * MILLISECOND))
    assert usage.time.true_time(2 * SECOND) == EPOCH + 2 * SECOND
    message = sender.next_message(SECOND + 400 * MILLISECOND, EPOCH)
    assert (message.reply_sent_at, message.reply_held_ns) == (77, 396 * MILLISECOND)
    assert message.final_through == WINDOW - 1


def test_a_reply_that_waited_while_the_edge_was_frozen_does_not_shift_its_time():
    """Guards against: a thawed edge takes the time of an old reply for the present time."""
    usage = EdgeUsage("edge-1", 7, INTERVAL)
    sender = CountsSender(usage, "m1")
    sender.handle_reply(SECOND, UsageCountsReply(SECOND, 1, EPOCH + SECOND))
    sender.handle_reply(9 * SECOND, UsageCountsReply(5 * SECOND, 2, EPOCH + 5 * SECOND))
    assert usage.time.true_time(9 * SECOND) == EPOCH + 9 * SECOND


def test_the_own_clock_is_used_only_until_a_member_has_told_the_true_time():
    usage = EdgeUsage("edge-1", 7, INTERVAL)
    assert usage.attempt_started(0, "a") is None
    sender = CountsSender(usage, "m1")
    sender.next_message(0, EPOCH + 2 * INTERVAL)
    assert usage.attempt_started(0, "a") == WINDOW + 2
    sender.handle_reply(1, UsageCountsReply(0, 5, EPOCH))
    sender.next_message(2, EPOCH + 2 * INTERVAL)
    assert usage.attempt_started(2, "a") == WINDOW
