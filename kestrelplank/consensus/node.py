"""One member's part in the replicated log: votes, leading, following. No I/O: each call returns effects, which an
adapter carries out in order.

Sources: D. Ongaro and J. Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014); D. Ongaro,
*Consensus: Bridging Theory and Practice* (2014) for trial votes, transfer of leadership and joint changes of
membership; C. Gray and D. Cheriton (1989) for leases. Departures:

- A lease: who answers a leader votes for nobody else for `LEASE`, and after a restart as long again, except for the
  one it last followed: if that one asks for votes it surely leads no longer. So leader and vote are durable before any
  reply.
- Replies carry a probe that the leader echoes, so a follower knows how old the leader's word is at most, whatever a cut
  or a freeze has held up.
- A candidate that is no voter of the newest membership that a voter knows to be committed is denied, unless it knows a
  newer one.
"""

from random import Random
from typing import NamedTuple

from kestrelplank.consensus.consensus_messages import (
    Append,
    AppendReply,
    ConsensusMessage,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from kestrelplank.consensus.effects import Applied, Deposed, Effect, Elected, Persist, Restored, Send
from kestrelplank.consensus.log import ReplicatedLog
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Command,
    Entry,
    HardState,
    Noop,
    Snapshot,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.progress import Progress
from kestrelplank.consensus.quorum import is_quorum, reached_by_quorum
from kestrelplank.consensus.snapshots import IncomingSnapshot, OutgoingSnapshot

MS = 1_000_000
HEARTBEAT = 200 * MS
LEASE = 1500 * MS
SLACK = 100 * MS  # the leader lets go so much before its voters do
CURRENT = 1000 * MS  # how old the leader's word may be for a follower to be current
STAGGER = 150 * MS  # between the first candidacies of members, by their place in the membership
CANDIDACY = 400 * MS  # after which votes that did not suffice are asked for again
ENTRIES_AT_ONCE = 64
BYTES_AT_ONCE = 64 << 10
KEPT_PROBES = 1024
FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
EMPTY, BEHIND, RECEIVING_SNAPSHOT, FOLLOWING, CURRENT_STATE = (
    "empty",
    "behind",
    "receiving snapshot",
    "following",
    "current",
)


class PendingWrite(NamedTuple):
    """A `Persist` that is not durable yet. `first` and `last`: entries in it (last: also a snapshot's index)."""

    number: int
    first: int
    last: int
    hard_state: bool
    then: list[Effect]


class ConsensusNode:
    """One member, known to the others as `identity`. `membership`: who counts at the very first start, None for a
    member that is told by others. `hard_state`, `entries` and `snapshot` are what its disk has. `first_start`: the
    system has never run before, so no promise of a former life need be waited for. Times are whole ns of the steady
    clock."""

    def __init__(
        self,
        now: int,
        random: Random,
        identity: str,
        membership: Membership | None,
        hard_state: HardState,
        entries: tuple[Entry, ...],
        snapshot: Snapshot | None,
        first_start: bool,
    ) -> None:
        self.identity = identity
        self.log = ReplicatedLog(membership, snapshot, entries)
        self.hard_state = hard_state
        self.commit = self.applied = snapshot.index if snapshot else 0
        self.durable = self.log.last_index
        self.role = FOLLOWER
        self.leader = ""  # of the current term, as far as known
        self.may_campaign = True
        self.learners: dict[str, None] = {}
        self.peers: dict[str, Progress] = {}
        self.incoming: IncomingSnapshot | None = None
        self.lease_until = 0
        self._random = random
        self._effects: list[Effect] = []
        self._writes: list[PendingWrite] = []
        self._number = 0
        # The promise to a leader, and to whom it was made.
        self._promised_to = hard_state.leader or hard_state.voted_for
        self._promised_until = now if first_start else now + LEASE
        self._campaign_at = now
        self._votes: dict[str, bool] = {}
        self._trial = False
        self._transferred = False
        # Leading.
        self._elected = False
        self._first_index = 0
        self._lead_since = 0
        self._round = 0
        self._rounds: dict[int, int] = {}
        self._heartbeat_at = 0
        # Following.
        self._probe = random.getrandbits(40) << 20
        self._probes: dict[int, int] = {}
        self._vouched_until = 0
        self._leader_commit = 0
        self.heard_leader_at = 0
        self._plan_campaign(now)

    # What can be asked.

    @property
    def term(self) -> int:
        return self.hard_state.term

    @property
    def membership(self) -> Membership | None:
        return self.log.membership

    @property
    def epoch(self) -> int:
        """Of the newest membership known; -1 where none is."""
        return self.membership.epoch if self.membership else -1

    @property
    def is_voter(self) -> bool:
        return self.membership is not None and self.identity in self.membership.all_voters()

    def leads(self, now: int) -> bool:
        """Whether this member may confirm, answer reads and decide at this very moment: it leads, it knows all that was
        ever committed, and nobody else can have been elected yet."""
        return self.role == LEADER and self._elected and now < self.lease_until

    def current(self, now: int) -> bool:
        """Whether this member leads, or has lately heard who does and has all that the leader called committed."""
        if self.role == LEADER:
            return self.leads(now)
        return now < self._vouched_until and self.applied >= self._leader_commit

    def catching_up(self, now: int) -> str:
        """How far this member has what is agreed."""
        if self.current(now):
            return CURRENT_STATE
        if self.incoming is not None:
            return RECEIVING_SNAPSHOT
        if self.log.last_index == 0:
            return EMPTY
        return FOLLOWING if self.applied >= self._leader_commit else BEHIND

    # What comes in.

    def receive(self, now: int, sender: str, message: ConsensusMessage) -> list[Effect]:
        """A message of another member."""
        if isinstance(message, VoteRequest):
            self._on_vote_request(now, sender, message)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(now, sender, message)
        elif isinstance(message, Append):
            self._on_append(now, sender, message)
        elif isinstance(message, AppendReply):
            self._on_append_reply(now, sender, message)
        elif isinstance(message, SnapshotChunk):
            self._on_piece(now, sender, message)
        elif isinstance(message, SnapshotReply):
            self._on_piece_reply(now, sender, message)
        elif isinstance(message, TransferLeadership):
            self._on_transfer(now, sender, message)
        return self._take_effects()

    def tick(self, now: int) -> list[Effect]:
        """Heartbeats, candidacies, the end of a lease. At least every 50 ms."""
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self._campaign_at:
            self._campaign(now)
        return self._take_effects()

    def propose(self, now: int, command: Command) -> tuple[int | None, list[Effect]]:
        """Puts a command at the end of the log. Returns its index; None where this member does not lead, or where the
        command is a change of membership and another is under way."""
        index = None
        if self.leads(now) and not self._refuses(command):
            index = self._append_own(now, command)
        return index, self._take_effects()

    def persisted(self, now: int, number: int) -> list[Effect]:
        """The `Persist` with that number is durable, and all before it."""
        while self._writes and self._writes[0].number <= number:
            write = self._writes.pop(0)
            if write.last:
                self._count_durable(write)
            for effect in write.then:
                if isinstance(effect, Send) and effect.to == self.identity:
                    self._on_vote_reply(now, self.identity, effect.message)  # our own vote, which counts from now on
                else:
                    self._effects.append(effect)
        if self.role == LEADER:
            self._advance_commit(now)
        return self._take_effects()

    def transfer(self, now: int) -> list[Effect]:
        """Gives up leading in order: the lease ends, then the voter that has most of the log may stand at once."""
        if self.role == LEADER:
            self._transfer(now)
        return self._take_effects()

    def _transfer(self, now: int) -> None:
        heirs = [
            (self.peers[voter].match, voter)
            for voter in self.membership.voters
            if voter in self.peers and now - self.peers[voter].heard_at < 2 * HEARTBEAT
        ]
        term = self.term
        self._step_down(now, "")
        self._campaign_at = now + LEASE
        if heirs:
            self._effects.append(Send(max(heirs)[1], TransferLeadership(term, self.epoch)))

    def compact(self, state: bytes) -> list[Effect]:
        """Replaces what has been applied by `state`, the replicated state after it."""
        if self.applied > (self.log.snapshot.index if self.log.snapshot else 0):
            snapshot = self.log.compact(self.applied, state)
            if snapshot is not None:
                self._persist(snapshot=snapshot, entries=self.log.after_snapshot())
        return self._take_effects()

    def add_learner(self, identity: str) -> None:
        """From now on that member, which is no voter, is sent the log too while we lead."""
        if self.role == LEADER and identity != self.identity:
            self.learners[identity] = None
            self.peers.setdefault(identity, Progress(self.log.last_index + 1))

    def remove_learner(self, identity: str) -> None:
        self.learners.pop(identity, None)
        self._keep_peers()

    # Durability.

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects

    def _persist(
        self,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: tuple[Entry, ...] = (),
        then: list[Effect] | None = None,
        alike_until: int | None = None,
    ) -> None:
        """`alike_until`: a snapshot replaces what is on disk from the entry after this one; by default it replaces
        nothing but what it covers."""
        self._number += 1
        first = entries[0].index if entries else 0
        last = entries[-1].index if entries else 0
        if snapshot is not None:
            first = (snapshot.index if alike_until is None else alike_until) + 1
            last = max(last, snapshot.index)
        self._writes.append(PendingWrite(self._number, first, last, hard_state is not None, then or []))
        if snapshot is not None:
            hard_state = self.hard_state  # the snapshot replaces the whole log, and what was durable must stay so
        self._effects.append(Persist(self._number, hard_state, snapshot, entries))

    def _count_durable(self, write: PendingWrite) -> None:
        """Entries up to the write's last are on disk; those that a later write replaces do not count."""
        replaced = [later.first - 1 for later in self._writes if later.last and later.first <= write.last]
        self.durable = min([write.last, *replaced])

    def _send_when_durable(self, to: str, message: ConsensusMessage) -> None:
        """Sends a reply once term, vote and leader are on disk: a restart must not forget what the reply promises."""
        for write in reversed(self._writes):
            if write.hard_state:
                write.then.append(Send(to, message))
                return
        self._effects.append(Send(to, message))

    def _remember(self, term: int, voted_for: str, leader: str) -> None:
        found = HardState(term, voted_for, leader)
        if found != self.hard_state:
            self.hard_state = found
            self._persist(hard_state=found)

    # Votes.

    def _plan_campaign(self, now: int) -> None:
        """Sets when this member stands for election if it hears no leader till then."""
        free_at = now if self._promised_to == self.identity else max(now, self._promised_until)
        voters = self.membership.all_voters() if self.membership else ()
        place = voters.index(self.identity) if self.identity in voters else len(voters)
        if self._promised_to == self.identity:
            place = 0
        self._campaign_at = free_at + place * STAGGER + self._random.randrange(STAGGER)

    def _campaign(self, now: int) -> None:
        """Asks whether votes would be given: a term is begun only if they would."""
        self._campaign_at = now + CANDIDACY + self._random.randrange(STAGGER)
        if not self.is_voter or not self.may_campaign:
            self.role = FOLLOWER
            return
        self.role, self._trial, self._votes = CANDIDATE, True, {self.identity: True}
        self._ask_for_votes(transfer=False)
        self._count_votes(now)

    def _stand(self, now: int, transfer: bool) -> None:
        """Begins a term and asks for votes in it."""
        self.role, self._trial, self._votes, self.leader = CANDIDATE, False, {}, ""
        self._campaign_at = now + CANDIDACY + self._random.randrange(STAGGER)
        self._remember(self.term + 1, self.identity, "")
        # Our own vote counts once it is durable, as if it were asked for by a message.
        own = VoteReply(self.term, self.epoch, granted=True)
        self._send_when_durable(self.identity, own)
        self._ask_for_votes(transfer)

    def _ask_for_votes(self, transfer: bool) -> None:
        term = self.term + 1 if self._trial else self.term
        request = VoteRequest(term, self.epoch, self.log.last_index, self.log.last_term, self._trial, transfer)
        for voter in self.membership.all_voters():
            if voter == self.identity:
                continue
            if self._trial:
                self._effects.append(Send(voter, request))
            else:
                self._send_when_durable(voter, request)

    def _on_vote_request(self, now: int, sender: str, request: VoteRequest) -> None:
        grants = self._would_vote(now, sender, request)
        if request.pre_vote:
            reply = VoteReply(request.term if grants else self.term, self.epoch, grants, pre_vote=True)
            self._effects.append(Send(sender, reply))
            return
        if request.term > self.term and (grants or self._free_for(now, sender, request)):
            self._step_down(now, "")
            self._remember(request.term, sender if grants else "", "")
        elif grants:
            self._remember(self.term, sender, self.hard_state.leader)
        if grants:
            self._plan_campaign(now)
            self._campaign_at = max(self._campaign_at, now + CANDIDACY)
        self._send_when_durable(sender, VoteReply(self.term, self.epoch, grants))

    def _would_vote(self, now: int, sender: str, request: VoteRequest) -> bool:
        if request.term < self.term or not self._free_for(now, sender, request):
            return False
        if request.term == self.term and (request.pre_vote or self.hard_state.voted_for not in ("", sender)):
            return False
        if self.role == LEADER and request.term == self.term:
            return False
        return (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)

    def _free_for(self, now: int, sender: str, request: VoteRequest) -> bool:
        """Whether no promise stands in the way of a vote for that member, and it counts as far as is known here."""
        counted = self.log.membership_at(self.commit)
        if counted is not None and sender not in counted.all_voters() and request.epoch <= counted.epoch:
            return False
        if self.role == LEADER and now < max(self.lease_until, self._lead_since + LEASE):
            return False
        if request.transfer and request.term == self.term + 1:
            return True
        return now >= self._promised_until or sender == self._promised_to

    def _on_vote_reply(self, now: int, sender: str, reply: VoteReply) -> None:
        if self.role != CANDIDATE or reply.pre_vote != self._trial:
            return
        asked = self.term + 1 if self._trial else self.term
        if reply.granted and reply.term == asked:
            self._votes[sender] = True
            self._count_votes(now)
        elif not reply.granted and reply.term > self.term:
            self._step_down(now, "")
            self._remember(reply.term, "", "")

    def _count_votes(self, now: int) -> None:
        if not is_quorum(self.membership, self._votes):
            return
        if self._trial:
            self._stand(now, transfer=False)
        else:
            self._become_leader(now)

    def _on_transfer(self, now: int, sender: str, message: TransferLeadership) -> None:
        asked_by_leader = message.term == self.term and sender in (self.leader, self.hard_state.leader)
        if asked_by_leader and self.role == FOLLOWER and self.is_voter and self.may_campaign:
            self._stand(now, transfer=True)

    # Leading.

    def _become_leader(self, now: int) -> None:
        self.role, self.leader, self._elected = LEADER, self.identity, False
        self.lease_until, self._lead_since = 0, now
        self.incoming = None
        self.learners, self.peers = {}, {}
        self._promised_to = self.identity
        self._remember(self.term, self.identity, self.identity)
        self._keep_peers()
        self._round, self._rounds, self._heartbeat_at = 0, {}, now
        self._first_index = self._append_own(now, Noop())
        self._tick_leader(now)

    def _keep_peers(self) -> None:
        """One progress for each member that is sent the log."""
        if self.role != LEADER:
            return
        wanted = dict.fromkeys((*self.membership.all_voters(), *self.learners))
        wanted.pop(self.identity, None)
        self.peers = {name: self.peers.get(name) or Progress(self.log.last_index + 1) for name in wanted}

    def _refuses(self, command: Command) -> bool:
        """A change of membership waits until the one before is committed, and begins at the next epoch."""
        if not isinstance(command, ChangeMembership):
            return False
        wanted, counted = command.membership, self.membership
        if self.log.membership_index > self.commit or counted.joint:
            return True
        return not wanted.voters or wanted.outgoing != counted.voters or wanted.epoch != counted.epoch + 1

    def _append_own(self, now: int, command: Command) -> int:
        entry = Entry(self.log.last_index + 1, self.term, command)
        self.log.append((entry,))
        if isinstance(command, ChangeMembership):
            for voter in command.membership.all_voters():
                self.learners.pop(voter, None)
            self._keep_peers()
        self._persist(entries=(entry,))
        for name, peer in self.peers.items():
            if peer.alike:
                self._send_entries(now, name, peer)
        return entry.index

    def _tick_leader(self, now: int) -> None:
        self._renew_lease(now)
        if now >= max(self.lease_until, self._lead_since + LEASE):
            self._step_down(now, "")
            return
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + HEARTBEAT
        self._round += 1
        self._rounds[self._round] = now
        for old in [number for number, begun_at in self._rounds.items() if now - begun_at > LEASE]:
            del self._rounds[old]
        for name, peer in self.peers.items():
            self._heartbeat(now, name, peer)

    def _heartbeat(self, now: int, name: str, peer: Progress) -> None:
        """Asks the follower to answer. Where entries were lost on the way it says so, as they end before ours."""
        if not self._needs_snapshot(peer):
            self._send_append(now, name, peer, ())
            return
        self._effects.append(Send(name, self._append_message(now, peer, 0, 0, ())))
        if peer.silent(now):
            peer.forget_snapshot()
        elif peer.snapshot is None or peer.piece_due(now):
            self._send_snapshot(now, name, peer)

    def _needs_snapshot(self, peer: Progress) -> bool:
        return peer.snapshot is not None or self.log.term_at(peer.next - 1) is None

    def _send_entries(self, now: int, name: str, peer: Progress) -> None:
        """Sends what the follower lacks, as far as it may be under way at once."""
        if self._needs_snapshot(peer):
            if peer.snapshot is None:
                self._send_snapshot(now, name, peer)
            return
        last = self._last_for(name)
        while peer.may_send(last):
            entries = self.log.slice(peer.next, min(ENTRIES_AT_ONCE, last - peer.next + 1), BYTES_AT_ONCE)
            self._send_append(now, name, peer, entries)
            peer.sent(now, entries)

    def _last_for(self, name: str) -> int:
        """The last entry that a member may be sent. One that does not count is told only what is committed: a log that
        is newer than those of all that may lead would keep it from voting for them."""
        return self.log.last_index if name in self.membership.all_voters() else self.commit

    def _send_append(self, now: int, name: str, peer: Progress, entries: tuple[Entry, ...]) -> None:
        previous = peer.next - 1
        term = self.log.term_at(previous) or 0
        self._effects.append(Send(name, self._append_message(now, peer, previous, term, entries)))

    def _append_message(self, now: int, peer: Progress, previous: int, term: int, entries: tuple[Entry, ...]) -> Append:
        lease = max(0, self.lease_until - now) if self._elected else 0
        return Append(
            self.term, self.epoch, previous, term, entries, self.commit, self._round, probe=peer.probe, lease_ns=lease
        )

    def _send_snapshot(self, now: int, name: str, peer: Progress) -> None:
        """Sends the piece of a snapshot that comes next, of the newest one where none is under way."""
        if peer.snapshot is None:
            if self.log.snapshot is None:
                return
            peer.snapshot = OutgoingSnapshot(self.log.snapshot)
        peer.piece_sent(now)
        self._effects.append(Send(name, peer.snapshot.piece(self.term, self.epoch, self._round)))

    def _on_append_reply(self, now: int, sender: str, reply: AppendReply) -> None:
        peer = self._heard_from(now, sender, reply.term, reply.heartbeat_round)
        if peer is None:
            return
        asked_from = peer.next
        peer.appended(now, reply)
        if reply.success or self._needs_snapshot(peer):
            self._send_entries(now, sender, peer)
        elif peer.next < asked_from:
            self._send_append(now, sender, peer, ())
        self._renew_lease(now)
        self._advance_commit(now)

    def _on_piece_reply(self, now: int, sender: str, reply: SnapshotReply) -> None:
        peer = self._heard_from(now, sender, reply.term, reply.heartbeat_round)
        if peer is not None and peer.piece_taken(reply):
            self._send_snapshot(now, sender, peer)

    def _heard_from(self, now: int, sender: str, term: int, round_number: int) -> Progress | None:
        """The progress of a member that replied to us as the leader of this term; None where it did not."""
        if term > self.term:
            self._step_down(now, "")
            self._remember(term, "", "")
            return None
        peer = self.peers.get(sender)
        if self.role != LEADER or term != self.term or peer is None:
            return None
        peer.heard(now, self._rounds.get(round_number))
        return peer

    def _renew_lease(self, now: int) -> None:
        def answered_at(voter: str) -> int:
            if voter == self.identity:
                return now
            return self.peers[voter].answered_at if voter in self.peers else 0

        reached = reached_by_quorum(self.membership, answered_at)
        if reached:
            self.lease_until = max(self.lease_until, reached + LEASE - SLACK)
        self._confirm_election(now)

    def _confirm_election(self, now: int) -> None:
        """With its first entry committed and the lease running, the leader knows all that was ever committed, and
        nobody else can have been elected since."""
        if self.role == LEADER and not self._elected and self.commit >= self._first_index and now < self.lease_until:
            self._elected = True
            self._effects.append(Elected(self.term))

    def _advance_commit(self, now: int) -> None:
        def match(voter: str) -> int:
            if voter == self.identity:
                return self.durable
            return self.peers[voter].match if voter in self.peers else 0

        if self.role != LEADER:
            return
        reached = reached_by_quorum(self.membership, match)
        if reached <= self.commit or self.log.term_at(reached) != self.term:
            return
        self.commit = reached
        self._apply()
        self._confirm_election(now)
        for name, peer in self.peers.items():
            if peer.alike:
                self._send_entries(now, name, peer)
        self._heartbeat_at = min(self._heartbeat_at, now)  # the others learn what is committed with the next tick
        self._finish_change(now)

    def _finish_change(self, now: int) -> None:
        """A joint membership that is committed is followed by the new one alone. A leader outside of it lets go first:
        were that last entry in its log alone, it could neither stand nor vote for those that have it not."""
        membership = self.membership
        if self.log.membership_index > self.commit:
            return
        if self.identity not in membership.voters:
            self._transfer(now)
        elif membership.joint:
            final = Membership(membership.epoch + 1, membership.voters, (), membership.zones)
            self._append_own(now, ChangeMembership(final))
            self._advance_commit(now)

    def _step_down(self, now: int, leader: str) -> None:
        """Follows from now on."""
        if self.role == LEADER and self._elected:
            self._effects.append(Deposed())
        self.role, self.leader = FOLLOWER, leader
        self._elected, self.lease_until = False, 0
        self.learners, self.peers = {}, {}
        self._plan_campaign(now)

    # Following.

    def _on_append(self, now: int, sender: str, message: Append) -> None:
        if not self._follow(now, sender, message.term):
            reply = AppendReply(self.term, self.epoch, False, self.durable, 0)
            self._send_when_durable(sender, reply)
            return
        self._take_vouching(now, message)
        if message.previous_index == 0 and not message.entries and self.log.base_index > 0:
            self._reply(now, sender, True, 0, message.heartbeat_round)
            return
        previous, entries = self._after_base(message)
        if self.log.term_at(previous) != (
            message.previous_term if previous == message.previous_index else self.log.base_term
        ):
            self._reply(now, sender, False, self._likely_alike(previous), message.heartbeat_round)
            return
        last = previous + len(entries)
        fresh = self._differing(entries)
        if fresh:
            self._take_entries(now, sender, fresh)
        self._commit_to(min(message.commit_index, last))
        self._reply(now, sender, True, min(last, self.durable), message.heartbeat_round)

    def _follow(self, now: int, sender: str, term: int) -> bool:
        """Follows the leader of that term, if it is not a former one, and promises it to vote for nobody else."""
        if term < self.term or (term == self.term and self.role == LEADER):
            return False
        if term > self.term or self.role != FOLLOWER or self.leader != sender:
            self._step_down(now, sender)
            if term > self.term:
                self._vouched_until, self._leader_commit = 0, self.commit
                self._probes.clear()
            voted_for = self.hard_state.voted_for if term == self.term else ""
            self._remember(term, voted_for, sender)
        self._promised_to, self._promised_until = sender, now + LEASE
        self.heard_leader_at = now
        self._plan_campaign(now)
        return True

    def _take_vouching(self, now: int, message: Append) -> None:
        """The leader answered our probe after we had sent it: its word is no older than that."""
        self._leader_commit = max(self._leader_commit, message.commit_index)
        asked_at = self._probes.get(message.probe)
        if asked_at is not None and message.lease_ns > 0:
            self._vouched_until = max(self._vouched_until, asked_at + min(CURRENT, message.lease_ns))

    def _after_base(self, message: Append) -> tuple[int, tuple[Entry, ...]]:
        """Without the entries that are covered by our snapshot and no longer here: they are committed, so alike."""
        if message.previous_index >= self.log.base_index:
            return message.previous_index, message.entries
        return self.log.base_index, tuple(entry for entry in message.entries if entry.index > self.log.base_index)

    def _likely_alike(self, previous: int) -> int:
        """An index up to which our log may be alike with the leader's, below `previous`."""
        if previous > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(previous)
        index = previous - 1
        while index > self.commit and self.log.term_at(index) == term:
            index -= 1
        return max(index, self.commit)

    def _differing(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """The entries from the first on that is not in our log."""
        for place, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                return entries[place:]
        return ()

    def _take_entries(self, now: int, sender: str, entries: tuple[Entry, ...]) -> None:
        first = entries[0].index
        if first <= self.commit:
            raise ValueError(f"entry {first} differs, and {self.commit} is committed")
        if first <= self.log.last_index:
            self.log.truncate(first)
            self.durable = min(self.durable, first - 1)
        self.log.append(entries)
        durable_reply = AppendReply(self.term, self.epoch, True, entries[-1].index, 0)
        self._persist(entries=entries, then=[Send(sender, durable_reply)])
        self._plan_campaign(now)

    def _reply(self, now: int, to: str, success: bool, match: int, round_number: int) -> None:
        self._probe += 1
        self._probes[self._probe] = now
        while len(self._probes) > KEPT_PROBES:
            del self._probes[next(iter(self._probes))]
        reply = AppendReply(self.term, self.epoch, success, match, round_number, probe=self._probe)
        self._send_when_durable(to, reply)

    def _on_piece(self, now: int, sender: str, piece: SnapshotChunk) -> None:
        if not self._follow(now, sender, piece.term):
            self._send_when_durable(sender, AppendReply(self.term, self.epoch, False, self.durable, 0))
            return
        if piece.index <= self.commit:
            self._reply(now, sender, True, min(piece.index, self.durable), piece.heartbeat_round)
            return
        if self.incoming is None or self.incoming.digest != piece.digest:
            self.incoming = IncomingSnapshot(piece.digest, piece.size_bytes)
        incoming = self.incoming
        incoming.take(piece)
        if not incoming.complete:
            reply = SnapshotReply(self.term, self.epoch, piece.digest, len(incoming.data), piece.heartbeat_round)
            self._send_when_durable(sender, reply)
            return
        self.incoming = None
        snapshot = incoming.decode()
        if snapshot is not None:
            self._install(now, sender, snapshot)

    def _install(self, now: int, sender: str, snapshot: Snapshot) -> None:
        alike_until = snapshot.index if self.log.term_at(snapshot.index) == snapshot.term else self.commit
        self.log.install(snapshot)
        self.commit = self.applied = snapshot.index
        self.durable = min(self.durable, alike_until)
        then: list[Effect] = [Send(sender, AppendReply(self.term, self.epoch, True, snapshot.index, 0))]
        self._persist(snapshot=snapshot, entries=self.log.after_snapshot(), then=then, alike_until=alike_until)
        self._effects.append(Restored(snapshot))
        self._plan_campaign(now)

    # Applying.

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            self.commit = index
            self._apply()

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            self._effects.append(Applied(self.log.entry(self.applied)))
