"""A follower's handling of the leader's entries and snapshots; its replies acknowledge only what is durable."""

from random import Random

from kestrelplank.consensus.consensus_messages import Append, AppendReply, SnapshotChunk, SnapshotReply
from kestrelplank.consensus.effects import Restored, Send, StepDownReason
from kestrelplank.consensus.election import Election
from kestrelplank.consensus.errors import CommittedEntryError
from kestrelplank.consensus.lease import LeaderContact
from kestrelplank.consensus.log_entries import Entry, Snapshot
from kestrelplank.consensus.member_state import MemberState
from kestrelplank.consensus.roles import Role, RoleTransitions
from kestrelplank.consensus.snapshots import IncomingSnapshot


class Follower:
    """Handles the messages that a leader sends to this member.

    - `contact`: how recent the leader's messages are.
    - `incoming_snapshot`: the snapshot that is being received; None if there is none.
    """

    def __init__(self, random: Random, state: MemberState, election: Election, transitions: RoleTransitions) -> None:
        self.contact = LeaderContact(random)
        self.incoming_snapshot: IncomingSnapshot | None = None
        self._state = state
        self._election = election
        self._transitions = transitions

    # Entries.

    def handle_append(self, now: int, sender: str, message: Append) -> None:
        """Append the leader's entries if they follow the local log, and adopt its commit index."""
        if not self._follow(now, sender, message.term):
            self._reject_former_leader(sender)
            return
        log = self._state.log
        self.contact.update(message)
        only_asks_for_reply = message.previous_index == 0 and not message.entries
        if only_asks_for_reply and log.base_index > 0:  # with base index 0, the code below sends the same reply
            self._reply(now, sender, message.heartbeat_round, match_index=0)
            return
        previous_index, previous_term, entries = self._after_base(message)
        if log.term_at(previous_index) != previous_term:
            self._reply(now, sender, message.heartbeat_round, likely_match_index=self._likely_match(previous_index))
            return
        last_index = previous_index + len(entries)
        self._append_entries(now, sender, entries)
        self._state.commit(min(message.commit_index, last_index))
        match_index = min(last_index, self._state.effects.durable_index)
        self._reply(now, sender, message.heartbeat_round, match_index=match_index)

    def _follow(self, now: int, sender: str, term: int) -> bool:
        """Follow the leader of that term, and promise to vote for no other member.

        Return False, and change nothing, if the sender is a former leader.
        """
        state = self._state
        if term < state.term or (term == state.term and state.role is Role.LEADER):
            return False
        if term > state.term or state.role is not Role.FOLLOWER or state.leader != sender:
            self._transitions.step_down(now, sender, StepDownReason.NEWER_TERM)
            if term > state.term:
                self.contact.begin_term(state.commit_index)
            # Keep the vote of this term, or a second one could be given in it.
            voted_for = state.hard_state.voted_for if term == state.term else ""
            state.update_hard_state(term, voted_for, sender)
        self.contact.heard_at, self.contact.leader = now, sender
        self._election.promise(now, sender)
        return True

    def _after_base(self, message: Append) -> tuple[int, int, tuple[Entry, ...]]:
        """Return the message's previous index, previous term and entries, without those up to `base_index`.

        Those are not in memory; they are committed, so they match.
        """
        log = self._state.log
        if message.previous_index >= log.base_index:
            return message.previous_index, message.previous_term, message.entries
        entries = tuple(entry for entry in message.entries if entry.index > log.base_index)
        return log.base_index, log.base_term, entries

    def _likely_match(self, mismatch_index: int) -> int:
        """Return an index below `mismatch_index` up to which the logs may match: before the term that differs.

        So each reply lets the leader go back by a term instead of an entry (end of section 5.3 of the 2014 paper).
        """
        log, commit_index = self._state.log, self._state.commit_index
        if mismatch_index > log.last_index:
            return log.last_index
        term = log.term_at(mismatch_index)
        index = mismatch_index - 1
        while index > commit_index and log.term_at(index) == term:
            index -= 1
        return max(index, commit_index)

    def _append_entries(self, now: int, sender: str, entries: tuple[Entry, ...]) -> None:
        """Replace the log from the first differing entry on, and acknowledge the new entries once they are durable.

        :raises CommittedEntryError: the local entry at that index is committed.
        """
        state = self._state
        differing = self._differing_entries(entries)
        if not differing:
            return
        first_index = differing[0].index
        if first_index <= state.commit_index:
            raise CommittedEntryError(
                f"leader's entry {first_index} differs, although local entries up to {state.commit_index} are committed"
            )
        if first_index <= state.log.last_index:
            state.log.truncate(first_index)
            state.effects.truncate(first_index)
        state.log.append(differing)
        reply = self._durable_reply(differing[-1].index)
        state.effects.persist_entries(differing, then=Send(sender, reply))
        self._election.schedule_campaign(now)

    def _differing_entries(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the entries from the first one on that is not in the local log."""
        for position, entry in enumerate(entries):
            if self._state.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    # Snapshots.

    def handle_snapshot_chunk(self, now: int, sender: str, chunk: SnapshotChunk) -> None:
        """Store a chunk; install the snapshot once it is complete."""
        if not self._follow(now, sender, chunk.term):
            self._reject_former_leader(sender)
            return
        state = self._state
        if chunk.index <= state.commit_index:
            match_index = min(chunk.index, state.effects.durable_index)
            self._reply(now, sender, chunk.heartbeat_round, match_index=match_index)
            return
        incoming = self._incoming_for(chunk)
        incoming.add(chunk)
        if not incoming.complete:
            reply = SnapshotReply(state.term, state.epoch, chunk.digest, len(incoming.data), chunk.heartbeat_round)
            state.effects.send_when_durable(sender, reply)
            return
        self.incoming_snapshot = None
        snapshot = incoming.decode()
        if snapshot is not None:
            self._install(now, sender, snapshot)

    def _incoming_for(self, chunk: SnapshotChunk) -> IncomingSnapshot:
        """Return the snapshot that the chunk belongs to; a different one that was being received is dropped."""
        if self.incoming_snapshot is None or self.incoming_snapshot.digest != chunk.digest:
            self.incoming_snapshot = IncomingSnapshot(chunk.digest, chunk.size_bytes)
        return self.incoming_snapshot

    def _install(self, now: int, sender: str, snapshot: Snapshot) -> None:
        """Replace the log by the snapshot, and acknowledge it once it is durable.

        Entries after the snapshot stay if the log matches it.
        """
        state = self._state
        matches = state.log.term_at(snapshot.index) == snapshot.term
        matching_until = snapshot.index if matches else state.commit_index
        state.restore(snapshot)
        state.effects.truncate(matching_until + 1)
        reply = self._durable_reply(snapshot.index)
        entries = state.log.entries_after_snapshot()
        state.effects.persist_snapshot(snapshot, entries, state.hard_state, matching_until, then=Send(sender, reply))
        state.effects.emit(Restored(snapshot))
        self._election.schedule_campaign(now)

    # Replies.

    def _reply(
        self, now: int, to: str, heartbeat_round: int, *, match_index: int = 0, likely_match_index: int | None = None
    ) -> None:
        """Reply to the leader, with a new nonce.

        :param match_index: log index up to which the log on disk matches the leader's.
        :param likely_match_index: given if the logs do not match: an index up to which they may. `match_index` is not
            used then.
        """
        state = self._state
        success = likely_match_index is None
        index = match_index if likely_match_index is None else likely_match_index
        nonce = self.contact.next_nonce(now)
        reply = AppendReply(state.term, state.epoch, success, index, heartbeat_round, nonce)
        state.effects.send_when_durable(to, reply)

    def _durable_reply(self, match_index: int) -> AppendReply:
        """Return the reply to send once the log up to `match_index` is on disk; it does not reply to a heartbeat."""
        state = self._state
        return AppendReply(state.term, state.epoch, success=True, match_index=match_index, heartbeat_round=0)

    def _reject_former_leader(self, sender: str) -> None:
        """Reply to a former leader with the current term, so that it steps down."""
        state = self._state
        durable_index = state.effects.durable_index
        reply = AppendReply(state.term, state.epoch, success=False, match_index=durable_index, heartbeat_round=0)
        state.effects.send_when_durable(sender, reply)
