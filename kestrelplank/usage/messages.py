"""Messages on usage between edges and control members. `transport.messages` includes them in its unions.

Tags and the order of fields determine the bytes on the wire; field names do not.
"""

import msgspec

from kestrelplank.usage.windows import NO_WINDOW


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Executed requests of one window, by tenant."""

    window: int
    counts: dict[str, int]


class UsageCounts(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """An edge's counts that have changed since its last message on the same connection.

    Counts are absolute: a repeated message changes nothing. The first message on a connection has all windows that are
    not fixed yet.

    :param edge: the machine's name.
    :param incarnation: random number of the edge's process, as a restarted process counts from 0 again.
    :param sent_at: ns on the edge's steady clock; the reply returns it.
    :param wall_time_ns: time of day at the edge, in ns since 1970.
    :param final_through: the counts of this window and all earlier ones will not change any more.
    :param reply_sent_at: `sent_at` of the last reply received on this connection; 0: none.
    :param reply_held_ns: time from the arrival of that reply until `sent_at`.
    """

    edge: str
    incarnation: int
    sent_at: int
    wall_time_ns: int
    final_through: int
    windows: list[WindowCounts]
    reply_sent_at: int = 0
    reply_held_ns: int = 0


class UsageCountsReply(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """A member's answer to `UsageCounts`.

    :param counts_sent_at: `sent_at` of the message that this answers.
    :param sent_at: ns on the member's steady clock.
    :param true_time_ns: the member's estimate of true time, in ns since 1970; 0: unknown.
    :param fixed_through: this window and all earlier ones are fixed, so that their counts are not needed any more.
    """

    counts_sent_at: int
    sent_at: int
    true_time_ns: int = 0
    fixed_through: int = NO_WINDOW
