"""The roles of a member, its catch-up states, and the interface for role transitions."""

from enum import StrEnum
from typing import Protocol

from kestrelplank.consensus.effects import StepDownReason


class Role(StrEnum):
    """The role of a member in the current term.

    | from | on | to | method |
    | --- | --- | --- | --- |
    | follower, candidate | no message from a leader until its campaign is due | candidate | `Election.tick` |
    | follower | the leader asks it to take over | candidate | `Election.handle_transfer_leadership` |
    | candidate | a quorum would vote for it | candidate in a new term | `Election.handle_vote_reply` |
    | candidate | a quorum voted for it | leader | `ConsensusNode.become_leader` |
    | candidate | its retry is due, but it is no longer a voter or may not campaign | follower | `Election.tick` |
    | any | it learns of a newer term or of the leader of this term | follower | `ConsensusNode.step_down` |
    | leader | its lease has expired | follower | `ConsensusNode.step_down_after_lease` |
    | leader | it transfers leadership | follower | `ConsensusNode.hand_over` |
    """

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class CatchUpState(StrEnum):
    """How far a member has caught up with the committed log; operators see the values."""

    EMPTY = "empty"  # no entry, no snapshot
    BEHIND = "behind"  # the leader has sent a higher commit index
    RECEIVING_SNAPSHOT = "receiving snapshot"
    FOLLOWING = "following"  # has applied all up to the last known commit index, which may be stale
    CURRENT = "current"  # see `ConsensusNode.current`


class RoleTransitions(Protocol):
    """Role transitions that involve several components of a member; implemented by `ConsensusNode`."""

    def become_leader(self, now: int) -> None:
        """Lead the current term, after a quorum voted for this member."""

    def step_down(self, now: int, leader: str, reason: StepDownReason) -> None:
        """Become a follower; emit `Deposed` if this member was elected.

        :param leader: identity of the leader to follow; "": not known yet.
        """

    def adopt_term(self, now: int, term: int, voted_for: str = "") -> None:
        """Step down into a newer term, whose leader is not known yet, and store the vote given in it."""

    def hand_over(self, now: int, reason: StepDownReason) -> None:
        """Step down, and ask the best successor to campaign at once; no effect if this member does not lead."""

    def step_down_after_lease(self, now: int) -> None:
        """Step down as the lease has expired; ask the last known successor, which may be reachable, to campaign."""
