"""Tells a peer that reads late from one that is gone, while it leaves bytes unread. No I/O.

TCP_USER_TIMEOUT (RFC 5482) ends a connection whose peer is silent for that long. Linux ends by it also a connection
whose peer acknowledges each probe, but keeps its receive window closed for that long (RFC 9293, section 3.8.6.1, wants
that connection kept). So the time-out is extended for as long as the peer acknowledges what it is sent.

Linux sends the next probe at the end of the time-out at the latest, and answers one probe each half second
(`net.ipv4.tcp_invalid_ratelimit`).
"""

from enum import Enum

from kestrelplank.http.tcp_info import TcpInfo
from kestrelplank.time_units import MILLISECOND, SECOND

USER_TIMEOUT_NS = SECOND  # a peer that acknowledges nothing for this long is unreachable
# By how much each check extends the time-out: the longest interval between two probes.
EXTENSION_NS = 700 * MILLISECOND
# The same as the user time-out for a peer that is only sent probes: one probe too soon after another is not answered,
# the next is. 200 ms are for the round trip.
PROBED_TIMEOUT_NS = 500 * MILLISECOND + EXTENSION_NS + 200 * MILLISECOND
# A peer whose receive window stays closed for this long reads late, or stands still.
STALL_NS = SECOND
MIN_UNANSWERED_CHECKS = 2  # data or a probe may have been sent right before a check


class PeerState(Enum):
    """What a check shows of the peer."""

    UP_TO_DATE = "has acknowledged every byte"
    REACHABLE = "acknowledges what it is sent, but has not taken every byte"
    SILENT = "is not known to have acknowledged what was sent last"
    UNREACHABLE = "has acknowledged nothing for too long"


class UnreadBytes:
    """The checks of one connection, from its first outstanding byte until the peer has acknowledged all.

    Invariants, each with its test in `tests/http/test_unread_bytes.py`:

    - The kernel's time-out is never over at a peer that answers its probes
      (`test_the_time_out_is_extended_while_the_peer_answers`).
    - A peer that falls silent is unreachable after the user time-out, though that was extended
      (`test_a_peer_that_falls_silent_is_unreachable_after_the_time_out`).
    """

    def __init__(self) -> None:
        self.user_timeout_ns = USER_TIMEOUT_NS  # as the kernel has to count it, from `_written_at` on
        self._extended = False
        self._written_at: int | None = None  # None: no byte is outstanding
        self._progress_at = 0  # of the newest check that showed newly acknowledged bytes
        self._acknowledged_bytes: int | None = None
        self._unanswered_checks = 0

    def written(self, now: int) -> None:
        """Record that bytes are written at that time; it counts from the first of them."""
        if self._written_at is None:
            self._written_at = self._progress_at = now
            self._acknowledged_bytes, self._unanswered_checks = None, 0

    def forget(self) -> None:
        """Record that nothing is known of outstanding bytes."""
        self._written_at, self.user_timeout_ns, self._extended = None, USER_TIMEOUT_NS, False

    def check(self, now: int, info: TcpInfo) -> PeerState:
        """Return the peer's state by the connection's state at that time, and update the user time-out."""
        if self._written_at is None or not info.has_outstanding_bytes:
            self.forget()
            return PeerState.UP_TO_DATE
        if info.acknowledged_bytes != self._acknowledged_bytes and self._acknowledged_bytes is not None:
            self._progress_at = now
        self._acknowledged_bytes = info.acknowledged_bytes
        if not info.has_times:
            return PeerState.SILENT
        silent_ns = min(info.since_acknowledgement_ms * MILLISECOND, now - self._written_at)
        if info.peer_answers or info.window_is_closed and silent_ns < PROBED_TIMEOUT_NS:
            self._extend(now - self._written_at)
            return PeerState.REACHABLE
        self._unanswered_checks += 1
        timeout_ns = PROBED_TIMEOUT_NS if info.window_is_closed else USER_TIMEOUT_NS
        # Where the time-out was never extended, the kernel ends the connection in time.
        if self._extended and silent_ns >= timeout_ns and self._unanswered_checks >= MIN_UNANSWERED_CHECKS:
            return PeerState.UNREACHABLE
        return PeerState.SILENT

    def _extend(self, outstanding_ns: int) -> None:
        self._extended, self._unanswered_checks = True, 0
        self.user_timeout_ns = max(USER_TIMEOUT_NS, outstanding_ns + EXTENSION_NS)

    def is_stalled(self, now: int) -> bool:
        """Whether bytes are outstanding, none of which the peer has acknowledged for `STALL_NS`."""
        return self._written_at is not None and now - self._progress_at >= STALL_NS
