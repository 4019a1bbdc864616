"""What must hold after every step of a simulated cluster (see `simulated_cluster`), by what members do, not by what they think.

An `Invariants` object is notified of each entry applied, each snapshot taken over, each message sent, each write made durable and
each answer given, and raises `Broken` at the first that contradicts the ones before it."""

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


class Broken(AssertionError):
    """An invariant does not hold; the text names it, and the last steps before."""


class Replica:
    """The replicated state, as the design has it: the configuration in force, records, and the index it stands for."""

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
        """The state as it stands in a snapshot; equal states have equal bytes."""
        return repr((self.version, self.text, sorted(self.records.items()))).encode()

    def restore(self, snapshot: Snapshot) -> None:
        self.index = snapshot.index
        self.version, self.text, records = eval(snapshot.state, {})  # noqa: S307 - written by `state`
        self.records = dict(records)


class Invariants:
    """All that has ever happened in one cluster, as far as an invariant needs it."""

    def __init__(self, trace_text: Callable[[], str]) -> None:
        self._trace_text = trace_text  # gives the text of the last steps
        self.entries: dict[int, Entry] = {}  # committed, by index
        self.states: list[bytes] = [Replica().state()]  # the state after each committed index
        self._applied_at: list[int] = [0]  # when each index was first applied anywhere
        self.reference = Replica()
        self.texts: dict[int, bytes] = {}  # by version, as ever in force at any member
        self.acknowledged: dict[int, bytes] = {}  # by version, as answered to operators
        self.newest_acknowledged = 0
        self._commands: dict[tuple[int, int], object] = {}  # (index, term) -> command, as ever durable
        self._votes: dict[tuple[str, int], str] = {}  # (voter, term) -> candidate
        self._leaders: dict[int, str] = {}  # term -> identity

    def need(self, holds: bool, *reason: object) -> None:
        """Raise `Broken` unless `holds`."""
        if not holds:
            raise Broken(" ".join(str(part) for part in reason) + "\n" + self._trace_text())

    def membership(self, first: Membership) -> Membership:
        """The newest that is committed; `first` where no change ever was."""
        changes = [entry.command for entry in self.entries.values() if isinstance(entry.command, ChangeMembership)]
        return max((change.membership for change in changes), key=lambda membership: membership.epoch, default=first)

    @property
    def last_index(self) -> int:
        """The highest index that any member has ever applied."""
        return len(self.states) - 1

    def applied(self, time: int, who: str, replica: Replica, entry: Entry) -> None:
        """`who` applies `entry` on top of `replica`."""
        self.need(entry.index == replica.index + 1, who, "applies", entry.index, "after", replica.index)
        known = self.entries.setdefault(entry.index, entry)
        self.need(known == entry, "two entries committed at", entry.index, known, "and, at", who, entry)
        if entry.index == self.last_index + 1:
            self.reference.apply(entry)
            self.states.append(self.reference.state())
            self._applied_at.append(time)
        self.need(entry.index <= self.last_index, who, "applies", entry.index, "before its leader does")

    def restored(self, who: str, replica: Replica, snapshot: Snapshot) -> None:
        """`who` replaces `replica` by a snapshot."""
        self.need(snapshot.index >= replica.index, who, "goes back from", replica.index, "to", snapshot.index)
        self.need(snapshot.index <= self.last_index, who, "has a snapshot at", snapshot.index, "that nobody committed")
        self.need(snapshot.state == self.states[snapshot.index], who, "has another state at", snapshot.index)
        if snapshot.index:
            self.need(snapshot.term == self.entries[snapshot.index].term, who, "has another term at", snapshot.index)

    def in_force(self, who: str, replica: Replica) -> None:
        """This is what `who` has in force, and may answer."""
        if replica.text is not None:
            known = self.texts.setdefault(replica.version, replica.text)
            self.need(known == replica.text, who, "has", replica.text, "under", replica.version, "elsewhere", known)

    def order_acknowledged(self, who: str, order: PutConfiguration, replica: Replica) -> None:
        """`who` leads and answers an operator that `order` is in force."""
        self.need(
            replica.version == order.version and replica.text == order.text, who, "acknowledges", order, "without it"
        )
        known = self.acknowledged.setdefault(order.version, order.text)
        self.need(known == order.text, "two texts acknowledged under", order.version, known, order.text)
        self.newest_acknowledged = max(self.newest_acknowledged, order.version)

    def leads(self, who: str, replica: Replica) -> None:
        """`who` may act as the leader at this moment: it has all that was ever acknowledged, and all ever applied."""
        self.need(replica.version >= self.newest_acknowledged, who, "leads without", self.newest_acknowledged)
        self.need(replica.index == self.last_index, who, "leads at", replica.index, "of", self.last_index)

    def current(self, who: str, replica: Replica, time: int) -> None:
        """`who` calls itself current: it has all that anybody had applied at `time`, which is not long ago."""
        if replica.index < self.last_index:
            self.need(self._applied_at[replica.index + 1] > time, who, "is called current at", replica.index)

    def elected(self, who: str, term: int, replica: Replica) -> None:
        known = self._leaders.setdefault(term, who)
        self.need(known == who, "two leaders of term", term, known, who)
        self.leads(who, replica)
        last = self.entries.get(replica.index)
        self.need(last is None or last.term == term, who, "leads term", term, "before its first entry is committed")

    def persisted(self, who: str, write: Persist) -> None:
        """`write` became durable."""
        for entry in write.entries:
            known = self._commands.setdefault((entry.index, entry.term), entry.command)
            self.need(known == entry.command, "two commands at", (entry.index, entry.term), known, entry.command)

    def sent(self, who: str, to: str, message: Message, hard_state: HardState, last_durable: int) -> None:
        """`who` hands a message to its transport; `hard_state`, `last_durable`: what its disk has at this moment."""
        if isinstance(message, VoteReply) and message.granted and not message.pre_vote:
            known = self._votes.setdefault((who, message.term), to)
            self.need(known == to, who, "votes twice in term", message.term, known, to)
            durable = hard_state.term == message.term and hard_state.voted_for == to
            self.need(durable or hard_state.term > message.term, who, "votes before it is durable", hard_state, message)
        if isinstance(message, AppendReply) and message.success:
            self.need(message.match_index <= last_durable, who, "acknowledges", message, "durable to", last_durable)
            self.need(hard_state.term >= message.term, who, "acknowledges", message, "before its term", hard_state)
