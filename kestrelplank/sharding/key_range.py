"""One key range of a sharded service: the server that may hold it, and the state of a change of server.

HELD ──start_release──> RELEASING ──lose_holder──> UNOWNED ──assign──> HELD
  └──────────────────lose_holder────────────────────┘
"""

from enum import Enum
from typing import NamedTuple

KEY_COUNT = 65536  # keys of every sharded service are 0 to KEY_COUNT - 1


class KeyRangeState(Enum):
    """State of a range's ownership. `GET /api/status` shows the values."""

    HELD = "held"  # granted to its server, or a grant is due
    RELEASING = "releasing"  # its server may hold it until it answers the release or its lease ends
    UNOWNED = "unowned"  # certainly held by no server


class RecordedKeyRange(NamedTuple):
    """A key range as recorded in the log. The order of the fields is the format on disk."""

    first: int
    last: int
    server: str
    address: str
    fencing_token: int
    handover: str | None


class KeyRange:
    """The leader's state of keys `first` to `last`, both included.

    `server`, `address`: the only server that may hold the keys; "" if none ever did.
    `fencing_token`: sent with the next grant or release; a server rejects tokens lower than the highest it has seen.
    `handover`: data that the former holder returned with its release, for the next grant.
    `recorded`: the assignment to `server` is committed in the log. No grant is sent before.
    `held_until`: when the last lease that `server` can have has certainly ended (ns); 0 or past if it has none.
    `call_in_flight`: a grant or release is in flight, at most one for a range.
    `answer_is_stale`: the call in flight went to a server that has ended, so its answer is ignored.
    `next_call_at`: when the next grant or release is due (ns).
    `rejections`: consecutive grants rejected because the server had seen a higher fencing token.
    `successor`: the server to assign once the range is UNOWNED, if known.
    `unowned_since`: when the keys were left without a server, as far as is known (ns); None while one serves them.
    `stall_reported`: it was logged that the range is stalled.
    """

    __slots__ = (
        "first",
        "last",
        "server",
        "address",
        "fencing_token",
        "handover",
        "state",
        "recorded",
        "held_until",
        "call_in_flight",
        "answer_is_stale",
        "next_call_at",
        "rejections",
        "successor",
        "unowned_since",
        "stall_reported",
    )

    def __init__(
        self, first: int, last: int, server: str, address: str, fencing_token: int, handover: str | None = None
    ) -> None:
        self.first = first
        self.last = last
        self.server = server
        self.address = address
        self.fencing_token = fencing_token
        self.handover = handover
        self.state = KeyRangeState.HELD
        self.recorded = True
        self.held_until = 0
        self.call_in_flight = False
        self.answer_is_stale = False
        self.next_call_at = 0
        self.rejections = 0
        self.successor: str | None = None
        self.unowned_since: int | None = None
        self.stall_reported = False

    @property
    def key_count(self) -> int:
        """The number of keys in the range."""
        return self.last - self.first + 1

    def to_record(self) -> RecordedKeyRange:
        """Return the range as it is recorded in the log."""
        return RecordedKeyRange(self.first, self.last, self.server, self.address, self.fencing_token, self.handover)

    def start_release(self, now: int, successor: str | None) -> None:
        """Change from HELD to RELEASING; a release is due at once."""
        self.state = KeyRangeState.RELEASING
        self.successor = successor
        self.next_call_at = now

    def lose_holder(self, now: int, handover: str | None = None) -> None:
        """Change from any state to UNOWNED, as `server` certainly holds no key of the range.

        :param handover: data that `server` returned with its release, if any.
        """
        self.state = KeyRangeState.UNOWNED
        self.handover = handover
        self.mark_unowned(now)

    def assign(self, server: str, address: str, fencing_token: int) -> None:
        """Change from UNOWNED to HELD; grants to `server` are sent once that is recorded."""
        self.server = server
        self.address = address
        self.fencing_token = fencing_token
        self.successor = None
        self.state = KeyRangeState.HELD
        self.recorded = False
        self.held_until = 0
        self.next_call_at = 0
        self.rejections = 0

    def mark_unowned(self, now: int) -> None:
        """Set `unowned_since` to `now` unless it is set."""
        if self.unowned_since is None:
            self.unowned_since = now

    def split(self, at: int) -> "KeyRange":
        """Shorten the range to the keys below `at`; return the keys from `at` on as a new range in the same state.

        Not allowed while a call is in flight, whose answer is for the range as it was sent.
        """
        upper = KeyRange(at, self.last, self.server, self.address, self.fencing_token, self.handover)
        upper.state = self.state
        upper.recorded = self.recorded
        upper.held_until = self.held_until
        upper.next_call_at = self.next_call_at
        upper.successor = self.successor
        upper.unowned_since = self.unowned_since
        self.last = at - 1
        return upper

    def can_merge(self) -> bool:
        """Whether the range is held, recorded and served, with no call in flight, so that it may be merged."""
        return (
            self.state is KeyRangeState.HELD
            and self.recorded
            and not self.call_in_flight
            and self.unowned_since is None
        )
