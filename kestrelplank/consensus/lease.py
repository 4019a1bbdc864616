"""The leader's lease, and the age of a follower's contact with its leader, both on the member's own steady clock.

Source: C. Gray and D. Cheriton, *Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency*
(1989). A lease is counted from before its heartbeat was sent, so no delay or pause of a process can lengthen it.
"""

from random import Random

from kestrelplank.consensus.consensus_messages import Append
from kestrelplank.consensus.timing import CURRENT_TIMEOUT_NS, LEASE_MARGIN_NS, LEASE_NS

MAX_PENDING_NONCES = 1_024  # bounds memory; an echo of a dropped nonce is ignored
NONCE_PREFIX_BITS, NONCE_NUMBER_BITS = 40, 20  # the prefix is random and differs between processes


class LeaderLease:
    """The lease of the leader of one term.

    It runs until `LEASE_NS - LEASE_MARGIN_NS` after the start of the newest heartbeat round that a quorum replied to.

    - `until`: when it ends; 0: no quorum has replied yet.
    - `round`: number of the newest heartbeat round.
    - `elected`: the first entry of the term was committed while the lease ran, so the leader has every entry that was
      ever committed.

    :param now: when this member won the vote.
    """

    def __init__(self, now: int) -> None:
        self.until = 0
        self.elected = False
        self.round = 0
        self._voted_for_at = now
        self._rounds_begun_at: dict[int, int] = {}

    def begin_round(self, now: int) -> None:
        """Begin the next heartbeat round, and drop those too old to extend the lease."""
        self.round += 1
        self._rounds_begun_at[self.round] = now
        too_old = [number for number, begun_at in self._rounds_begun_at.items() if now - begun_at > LEASE_NS]
        for number in too_old:
            del self._rounds_begun_at[number]

    def round_begun_at(self, number: int) -> int | None:
        """Return when that heartbeat round began; None if it was dropped."""
        return self._rounds_begun_at.get(number)

    def extend(self, begun_at: int) -> None:
        """Extend the lease, as a quorum replied to heartbeat rounds begun at `begun_at` or later; 0: no quorum did."""
        if begun_at:
            self.until = max(self.until, begun_at + LEASE_NS - LEASE_MARGIN_NS)

    def leads(self, now: int) -> bool:
        """Whether the lease holder may act as the leader."""
        return self.elected and now < self.until

    def renewed_within(self, now: int, duration_ns: int) -> bool:
        """Whether a quorum replied to a heartbeat round that began less than `duration_ns` ago."""
        return now < self.until - (LEASE_NS - LEASE_MARGIN_NS) + duration_ns

    def expired(self, now: int) -> bool:
        """Whether the lease holder must step down. It has `LEASE_NS` to get its first replies."""
        return now >= max(self.until, self._voted_for_at + LEASE_NS)

    def remaining_ns(self, now: int) -> int:
        """Return how long the lease holder may still act as the leader; 0: it may not."""
        return max(0, self.until - now) if self.elected else 0


class LeaderContact:
    """How recent the leader's messages to a follower are.

    Each reply of a follower carries a new nonce, which the leader echoes. A message counts as being as old as the
    nonce in it, which was sent before the message, so a delayed message never counts as newer than it is.

    - `heard_at`: when the last message from a leader arrived; 0: never.
    - `leader`: the identity of that leader; "": none yet.
    - `commit_index`: the highest commit index that the leader of this term has sent.
    """

    def __init__(self, random: Random) -> None:
        self.heard_at = 0
        self.leader = ""
        self.commit_index = 0
        self._current_until = 0  # until then the last received commit index counts as up to date
        self._nonce = random.getrandbits(NONCE_PREFIX_BITS) << NONCE_NUMBER_BITS
        self._nonces_sent_at: dict[int, int] = {}

    def next_nonce(self, now: int) -> int:
        """Return a new nonce for a reply that is sent now."""
        self._nonce += 1
        self._nonces_sent_at[self._nonce] = now
        while len(self._nonces_sent_at) > MAX_PENDING_NONCES:
            del self._nonces_sent_at[next(iter(self._nonces_sent_at))]
        return self._nonce

    def update(self, message: Append) -> None:
        """Record the commit index and the lease from a message of the leader."""
        self.commit_index = max(self.commit_index, message.commit_index)
        sent_at = self._nonces_sent_at.get(message.nonce)
        if sent_at is not None and message.lease_ns > 0:
            self._current_until = max(self._current_until, sent_at + min(CURRENT_TIMEOUT_NS, message.lease_ns))

    def begin_term(self, commit_index: int) -> None:
        """Discard what the leader of an earlier term has sent.

        :param commit_index: of this member.
        """
        self._current_until, self.commit_index = 0, commit_index
        self._nonces_sent_at.clear()

    def has_applied_all(self, applied_index: int) -> bool:
        """Whether a follower that has applied entries up to `applied_index` has reached the leader's commit index."""
        return applied_index >= self.commit_index

    def current(self, now: int, applied_index: int) -> bool:
        """Whether a follower that has applied entries up to `applied_index` is up to date."""
        return now < self._current_until and self.has_applied_all(applied_index)
