"""The safety invariants of a simulated cluster (see `simulated_cluster`), checked on the members' observable actions.

An `Invariants` object is notified of each entry applied, each snapshot restored, each message sent, each durable write and
each answer to an operator, and raises `InvariantViolationError` at the first that contradicts an earlier one."""

from collections.abc import Callable

from kestrelplank.consensus.consensus_messages import AppendReply, VoteReply
from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Entry,
    HardState,
    PutConfiguration,
    PutRecord,
    Snapshot,
)
from kestrelplank.consensus.member_messages import Message
from kestrelplank.consensus.membership import Membership


class InvariantViolationError(AssertionError):
    """An invariant does not hold; the text names it and lists the last steps."""


class Replica:
    """The replicated state: the configuration in force, the records, and the log index of the last applied entry."""

    def __init__(self) -> None:
        self.index = 0
        self.version = 0
        self.text: bytes | None = None
        self.records: dict[str, bytes] = {}

    def apply(self, entry: Entry) -> None:
        self.index = entry.index
        command = entry.command
        if isinstance(command, PutConfiguration) and command.version > self.version:
            self.version, self.text = command.version, command.text
        if isinstance(command, PutRecord):
            self.records[command.service] = command.record

    def state(self) -> bytes:
        """The encoded state for a snapshot; equal states have equal bytes."""
        return repr((self.version, self.text, sorted(self.records.items()))).encode()

    def restore(self, snapshot: Snapshot) -> None:
        self.index = snapshot.index
        self.version, self.text, records = eval(snapshot.state, {})  # noqa: S307 - written by `state`
        self.records = dict(records)


class Invariants:
    """The history of one cluster, as needed to check the invariants."""

    def __init__(self, trace_text: Callable[[], str]) -> None:
        self._trace_text = trace_text  # returns the last steps as text
        self.entries: dict[int, Entry] = {}  # committed entries by index
        self.states: list[bytes] = [Replica().state()]  # the state after each committed index
        self._applied_at: list[int] = [0]  # when each index was first applied by any member
        self.reference = Replica()
        self.texts: dict[int, bytes] = {}  # by version: every text that was in force at any member
        self.acknowledged: dict[int, bytes] = {}  # by version: every text acknowledged to an operator
        self.newest_acknowledged = 0
        self._commands: dict[tuple[int, int], object] = {}  # (index, term) -> command, of every durable entry
        self._votes: dict[tuple[str, int], str] = {}  # (voter, term) -> candidate
        self._leaders: dict[int, str] = {}  # term -> identity

    def require(self, holds: bool, *reason: object) -> None:
        """Raise `InvariantViolationError` unless `holds`."""
        if not holds:
            raise InvariantViolationError(" ".join(str(part) for part in reason) + "\n" + self._trace_text())

    def membership(self, initial: Membership) -> Membership:
        """The newest committed membership; `initial` if no change was ever committed."""
        changes = [entry.command for entry in self.entries.values() if isinstance(entry.command, ChangeMembership)]
        return max((change.membership for change in changes), key=lambda membership: membership.epoch, default=initial)

    @property
    def last_index(self) -> int:
        """The highest index that any member has ever applied."""
        return len(self.states) - 1

    def applied(self, time: int, member: str, replica: Replica, entry: Entry) -> None:
        """`member` applies `entry` to `replica`."""
        self.require(entry.index == replica.index + 1, member, "applies", entry.index, "after", replica.index)
        known = self.entries.setdefault(entry.index, entry)
        self.require(
            known == entry, "two different entries committed at index", entry.index, known, "and, at", member, entry
        )
        if entry.index == self.last_index + 1:
            self.reference.apply(entry)
            self.states.append(self.reference.state())
            self._applied_at.append(time)
        self.require(entry.index <= self.last_index, member, "applies", entry.index, "before the leader does")

    def restored(self, member: str, replica: Replica, snapshot: Snapshot) -> None:
        """`member` replaces the state in `replica` by a snapshot."""
        self.require(
            snapshot.index >= replica.index,
            member,
            "restores an older state: from index",
            replica.index,
            "to",
            snapshot.index,
        )
        self.require(
            snapshot.index <= self.last_index, member, "has a snapshot at", snapshot.index, "which is not committed"
        )
        self.require(snapshot.state == self.states[snapshot.index], member, "has a different state at", snapshot.index)
        if snapshot.index:
            self.require(
                snapshot.term == self.entries[snapshot.index].term, member, "has a different term at", snapshot.index
            )

    def in_force(self, member: str, replica: Replica) -> None:
        """Check the text that `member` has in force against the other members'."""
        if replica.text is not None:
            known = self.texts.setdefault(replica.version, replica.text)
            self.require(
                known == replica.text,
                member,
                "has",
                replica.text,
                "for version",
                replica.version,
                "but another has",
                known,
            )

    def order_acknowledged(self, member: str, order: PutConfiguration, replica: Replica) -> None:
        """`member` leads and acknowledges to an operator that `order` is in force."""
        self.require(
            replica.version == order.version and replica.text == order.text,
            member,
            "acknowledges",
            order,
            "which is not in force",
        )
        known = self.acknowledged.setdefault(order.version, order.text)
        self.require(known == order.text, "two texts acknowledged for version", order.version, known, order.text)
        self.newest_acknowledged = max(self.newest_acknowledged, order.version)

    def leads(self, member: str, replica: Replica) -> None:
        """`member` may act as the leader now: it must have everything that was ever acknowledged or applied."""
        self.require(
            replica.version >= self.newest_acknowledged, member, "leads without version", self.newest_acknowledged
        )
        self.require(
            replica.index == self.last_index,
            member,
            "leads with applied index",
            replica.index,
            "below",
            self.last_index,
        )

    def current(self, member: str, replica: Replica, time: int) -> None:
        """`member` claims to be current: it must have everything that any member had applied at `time`."""
        if replica.index < self.last_index:
            self.require(self._applied_at[replica.index + 1] > time, member, "claims to be current at", replica.index)

    def elected(self, member: str, term: int, replica: Replica) -> None:
        known = self._leaders.setdefault(term, member)
        self.require(known == member, "two leaders in term", term, known, member)
        self.leads(member, replica)
        last = self.entries.get(replica.index)
        self.require(
            last is None or last.term == term, member, "leads term", term, "before its first entry is committed"
        )

    def persisted(self, member: str, write: Persist) -> None:
        """`write` became durable."""
        for entry in write.entries:
            known = self._commands.setdefault((entry.index, entry.term), entry.command)
            self.require(
                known == entry.command, "two commands at (index, term)", (entry.index, entry.term), known, entry.command
            )

    def sent(self, member: str, to: str, message: Message, hard_state: HardState, last_durable: int) -> None:
        """`member` sends a message; `hard_state` and `last_durable` are what its disk has at this moment."""
        if isinstance(message, VoteReply) and message.granted and not message.pre_vote:
            known = self._votes.setdefault((member, message.term), to)
            self.require(known == to, member, "votes twice in term", message.term, known, to)
            durable = hard_state.term == message.term and hard_state.voted_for == to
            self.require(
                durable or hard_state.term > message.term, member, "votes before it is durable", hard_state, message
            )
        if isinstance(message, AppendReply) and message.success:
            self.require(
                message.match_index <= last_durable, member, "acknowledges", message, "durable to", last_durable
            )
            self.require(
                hard_state.term >= message.term, member, "acknowledges", message, "before its term", hard_state
            )
