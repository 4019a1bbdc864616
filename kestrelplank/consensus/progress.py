"""What a leader knows of another member: how far its log goes, when it was heard, and which heartbeats it answered."""

from kestrelplank.consensus.messages import AppendReply, SnapshotReply
from kestrelplank.consensus.snapshots import OutgoingSnapshot

MOST_AHEAD = 256  # entries that are sent before the follower has said that it has them
CAUGHT_UP = 8  # entries that a follower may lack and yet count as caught up


class Progress:
    """One follower, as the leader of the current term sees it. `match`: what is durable there and alike; `next`: the
    entry to send next; `heard_at` (ns): when it last replied, 0 for never in this term; `answered_at` (ns): when the
    newest heartbeat round was begun that it answered."""

    def __init__(self, next_index: int) -> None:
        self.match = 0
        self.next = next_index
        self.heard_at = 0
        self.answered_at = 0
        self.probe = 0
        self.snapshot: OutgoingSnapshot | None = None
        self.alike = False  # whether `next` is known to be where the logs begin to differ

    def heard(self, now: int, round_begun_at: int | None) -> None:
        """A reply has come; `round_begun_at`: when the heartbeat that it answers was begun, if it answers one."""
        self.heard_at = now
        if round_begun_at is not None:
            self.answered_at = max(self.answered_at, round_begun_at)

    def appended(self, reply: AppendReply) -> None:
        """Moves on by what the follower says of its log."""
        self.probe = reply.probe or self.probe
        if reply.success:
            self.alike = self.alike or reply.match > 0
            self.match = max(self.match, reply.match)
            self.next = max(self.next, self.match + 1)
            if self.snapshot is not None and self.match >= self.snapshot.index:
                self.snapshot = None
        else:
            self.alike = False
            self.next = max(self.match, reply.match) + 1

    def piece_taken(self, reply: SnapshotReply) -> bool:
        """Returns whether the next piece is to be sent at once."""
        return self.snapshot is not None and self.snapshot.confirmed(reply.digest, reply.offset)

    def may_send(self, last_index: int) -> bool:
        """Whether there are entries that the follower has not been sent and may be sent now."""
        return self.snapshot is None and self.next <= last_index and self.next <= self.match + MOST_AHEAD

    def caught_up(self, commit: int) -> bool:
        """Whether it has all that is committed but for a little that is on its way."""
        return self.match > 0 and self.match + CAUGHT_UP >= commit
