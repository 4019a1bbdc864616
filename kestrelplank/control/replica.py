"""This member's part in the replicated log, with what the log adds up to, and the effects gathered while a call is
carried out. No I/O."""

from collections import deque
from collections.abc import Iterable

from kestrelplank.consensus import effects as consensus
from kestrelplank.consensus.log_entries import Command
from kestrelplank.consensus.member_messages import Message
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.control.effects import Effect, LogLine, SendMessage
from kestrelplank.control.shard_record import NO_RECORD, ShardRecord, read_record
from kestrelplank.state.control_state import ControlState

COMPACT_FROM = 256 << 10  # bytes of the log on disk, besides twice the state, from which it is cut short


class Replica:
    """`committed`: the newest membership known to be committed, None where none is known. `events`: what the node wants
    done, in order; whoever carries a call out takes them one by one, as each may lead to more."""

    def __init__(self, node: ConsensusNode, state: ControlState, committed: Membership | None) -> None:
        self.node, self.state, self.committed = node, state, committed
        self.events: deque[consensus.Effect] = deque()
        self._effects: list[Effect] = []
        self._records: dict[str, tuple[bytes, ShardRecord]] = {}  # decoded, by service
        self._compacting: int | None = None  # the number of the write that cuts the log short

    # The log.

    def add(self, events: Iterable[consensus.Effect]) -> None:
        """What a call of the node returned."""
        self.events.extend(events)

    def propose(self, now: int, command: Command) -> int | None:
        """Puts a command at the end of the log. Returns its index, None where this member does not lead."""
        index, events = self.node.propose(now, command)
        self.add(events)
        return index

    def persisted(self, now: int, number: int) -> None:
        """The write with that number is durable, and all before it."""
        if self._compacting is not None and number >= self._compacting:
            self._compacting = None
        self.add(self.node.persisted(now, number))

    def compact(self, log_size: int) -> None:
        """Cuts the log short if its `log_size` bytes on disk are far more than the state."""
        if self._compacting is not None or log_size <= COMPACT_FROM:
            return
        state = self.state.snapshot()
        if log_size <= COMPACT_FROM + 2 * len(state):
            return
        events = self.node.compact(state)
        self.add(events)
        for event in events:
            if isinstance(event, consensus.Persist):
                self._compacting = event.number

    # What the log adds up to.

    def voters(self) -> tuple[str, ...]:
        """All that count by the newest membership in our log, committed or not."""
        return self.node.membership.all_voters() if self.node.membership else ()

    def counts(self, membership: Membership) -> None:
        """That membership is committed."""
        if self.committed is None or membership.epoch > self.committed.epoch:
            self.committed = membership
            self.log(f"epoch {membership.epoch}: {', '.join(membership.all_voters())} count")

    def sharded(self) -> list[str]:
        """The services that the configuration in force divides by key."""
        force = self.state.parsed
        return [service.name for service in force.services.values() if service.sharded] if force else []

    def record(self, service: str) -> ShardRecord:
        """The newest record of a service."""
        data = self.state.records.get(service)
        if data is None:
            return NO_RECORD
        known = self._records.get(service)
        if known is None or known[0] is not data:
            known = self._records[service] = (data, read_record(data))
        return known[1]

    # Effects.

    def emit(self, effect: Effect) -> None:
        self._effects.append(effect)

    def send(self, to: str, message: Message) -> None:
        """Sends to the member of that identity."""
        self.emit(SendMessage(to, message))

    def log(self, text: str) -> None:
        self.emit(LogLine(text))

    def take_effects(self) -> list[Effect]:
        """All effects since the last time."""
        effects, self._effects = self._effects, []
        return effects
