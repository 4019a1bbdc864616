"""An edge's messages on usage to one member, on one connection. No I/O."""

from kestrelplank.usage.edge_usage import EdgeUsage
from kestrelplank.usage.messages import UsageCounts, UsageCountsReply


class CountsSender:
    """Builds the messages on one connection: each has what changed since the one before, the first has everything.

    A connection delivers its messages in order or ends, so that nothing needs to be repeated on it. In
    `tests/usage/test_counts_sender.py`:
    `test_a_new_connection_is_sent_all_windows_and_later_messages_only_changes`.

    :param member: address of the member at the other end.
    """

    def __init__(self, usage: EdgeUsage, member: str) -> None:
        self._usage, self._member = usage, member
        self._sent_revision = 0
        self._reply: UsageCountsReply | None = None  # the last one
        self._reply_received_at = 0

    def next_message(self, now: int, wall_time_ns: int) -> UsageCounts:
        """Return the message to send now."""
        usage, reply = self._usage, self._reply
        usage.set_own_clock(now, wall_time_ns)
        changes = usage.counter.changes_since(self._sent_revision)
        self._sent_revision = usage.counter.revision
        return UsageCounts(
            usage.edge,
            usage.incarnation,
            now,
            wall_time_ns,
            usage.counter.final_through(usage.time.true_time(now)),
            changes,
            reply.sent_at if reply else 0,
            now - self._reply_received_at if reply else 0,
        )

    def handle_reply(self, now: int, reply: UsageCountsReply) -> None:
        """Record the reply: it has a reading of the member's clock, and tells which windows are fixed."""
        self._reply, self._reply_received_at = reply, now
        if reply.true_time_ns:
            self._usage.time.add_reading(now, self._member, reply.true_time_ns, now - reply.counts_sent_at)
        self._usage.counter.drop_through(reply.fixed_through)
