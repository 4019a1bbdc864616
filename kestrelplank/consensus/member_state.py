"""The state shared by all components of a member."""

from kestrelplank.consensus.effect_queue import EffectQueue
from kestrelplank.consensus.effects import Applied
from kestrelplank.consensus.lease import LeaderLease
from kestrelplank.consensus.log import ReplicatedLog
from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.roles import Role


class MemberState:
    """Identity, log, term and role of one member, and the effects that its components add.

    - `leader`: identity of the leader of the current term; "": not known.
    - `lease`: the lease of a leader; None in any other role.
    - `commit_index`, `applied_index`: log indexes up to which entries are committed, and were emitted as `Applied`.

    :param membership: the membership before any entry; None for a member that gets it from the log.
    """

    def __init__(
        self,
        identity: str,
        membership: Membership | None,
        hard_state: HardState,
        entries: tuple[Entry, ...],
        snapshot: Snapshot | None,
    ) -> None:
        self.identity = identity
        self.log = ReplicatedLog(membership, snapshot, entries)
        self.hard_state = hard_state
        self.effects = EffectQueue(durable_index=self.log.last_index)
        self.commit_index = self.applied_index = self.log.snapshot_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.lease: LeaderLease | None = None

    @property
    def term(self) -> int:
        """The newest term known."""
        return self.hard_state.term

    @property
    def epoch(self) -> int:
        """Epoch of the newest membership known; -1 if none is."""
        membership = self.log.membership
        return membership.epoch if membership else -1

    @property
    def membership(self) -> Membership:
        """The newest membership, which a candidate or leader always knows."""
        membership = self.log.membership
        assert membership is not None
        return membership

    @property
    def all_voters(self) -> tuple[str, ...]:
        """All voters of the newest membership known, on both sides of a change."""
        membership = self.log.membership
        return membership.all_voters() if membership else ()

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of the newest membership known."""
        return self.identity in self.all_voters

    def update_hard_state(self, term: int, voted_for: str, leader: str) -> None:
        """Persist term, vote and leader if any of them has changed."""
        hard_state = HardState(term, voted_for, leader)
        if hard_state != self.hard_state:
            self.hard_state = hard_state
            self.effects.persist_hard_state(hard_state)

    def commit(self, index: int) -> None:
        """Advance the commit index to `index`, and emit `Applied` for the newly committed entries."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.applied_index < index:
            self.applied_index += 1
            self.effects.emit(Applied(self.log.entry(self.applied_index)))

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot that covers entries beyond the local commit index."""
        self.log.install(snapshot)
        self.commit_index = self.applied_index = snapshot.index
