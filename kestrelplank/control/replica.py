"""One member's replica of the log and of the state built from it. No I/O.

All components of a member share it: they propose commands, read the state and add effects (`emit`, `send`, `log`),
which `ControlMember` returns from the call that caused them.
"""

from collections import deque
from collections.abc import Iterable

from kestrelplank.consensus import effects as consensus
from kestrelplank.consensus.log_entries import Command
from kestrelplank.consensus.member_messages import Message
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.control.effects import Effect, LogLine, SendMessage
from kestrelplank.control.shard_record import EMPTY_RECORD, ShardRecord, read_record
from kestrelplank.state.control_state import ControlState

COMPACTION_MIN_BYTES = 256 << 10
"""The log is compacted if its size on disk exceeds twice the size of the state by more than this."""


class Replica:
    """The consensus node, the replicated state, and their pending events and effects.

    `committed_membership` is the newest membership known to be committed, None if none is known. `events` are the
    node's effects (`consensus.effects`) in order; `ControlMember` handles them one by one, as each may add more.
    """

    def __init__(self, node: ConsensusNode, state: ControlState, committed_membership: Membership | None) -> None:
        self.node = node
        self.state = state
        self.committed_membership = committed_membership
        self.events: deque[consensus.Effect] = deque()
        self._effects: list[Effect] = []
        self._decoded_records: dict[str, tuple[bytes, ShardRecord]] = {}  # by service: stored bytes and decoded record
        self._compaction_number: int | None = None  # the number of the `Persist` that compacts the log
        self._led_term = 0

    # The log.

    def add_events(self, events: Iterable[consensus.Effect]) -> None:
        """Queue effects returned by the consensus node for `ControlMember` to handle."""
        self.events.extend(events)

    def propose(self, now: int, command: Command) -> int | None:
        """Append a command to the log. Return its index; None if this member does not lead."""
        index, events = self.node.propose(now, command)
        self.add_events(events)
        return index

    def transfer_leadership(self, now: int) -> None:
        """Transfer leadership, so that another member is elected without waiting for a time-out."""
        self.add_events(self.node.transfer_leadership(now))

    def handle_elected(self, term: int) -> None:
        """Log that this member now leads `term`, and why."""
        self._led_term = term
        self.log(f"leads term {term}: elected by a majority, and the first entry of the term is committed")

    def handle_deposed(self, reason: consensus.StepDownReason) -> None:
        """Log that this member no longer leads, and why."""
        self.log(f"steps down from leading term {self._led_term}: {reason}")

    def handle_persisted(self, now: int, number: int) -> None:
        """Handle the report that the `Persist` with that number, and all before it, are durable."""
        if self._compaction_number is not None and number >= self._compaction_number:
            self._compaction_number = None
        self.add_events(self.node.persisted(now, number))

    def compact_if_due(self, log_size_bytes: int) -> None:
        """Replace applied entries by a snapshot if the log on disk is much larger than the state."""
        if self._compaction_number is not None or log_size_bytes <= COMPACTION_MIN_BYTES:
            return
        state = self.state.snapshot()
        if log_size_bytes <= COMPACTION_MIN_BYTES + 2 * len(state):
            return
        events = self.node.compact(state)
        self.add_events(events)
        for event in events:
            if isinstance(event, consensus.Persist):
                self._compaction_number = event.number

    def has_applied_all(self) -> bool:
        """Whether every entry of this member's log is applied to the state."""
        return self.node.applied_index == self.node.log.last_index

    # Committed state.

    def voters(self) -> tuple[str, ...]:
        """Return all voters of the newest membership in this member's log, committed or not."""
        return self.node.membership.all_voters() if self.node.membership else ()

    def handle_membership_committed(self, membership: Membership) -> None:
        """Store the membership if it is newer than the one known to be committed."""
        if self.committed_membership is None or membership.epoch > self.committed_membership.epoch:
            self.committed_membership = membership
            self.log(membership_line(membership))

    def sharded_services(self) -> list[str]:
        """Return the services that are sharded by key in the configuration in force."""
        configuration = self.state.parsed
        if configuration is None:
            return []
        return [service.name for service in configuration.services.values() if service.sharded]

    def record(self, service: str) -> ShardRecord:
        """Return the newest committed record of a service's key ranges."""
        data = self.state.records.get(service)
        if data is None:
            return EMPTY_RECORD
        decoded = self._decoded_records.get(service)
        if decoded is None or decoded[0] is not data:
            decoded = self._decoded_records[service] = (data, read_record(data))
        return decoded[1]

    # Effects.

    def emit(self, effect: Effect) -> None:
        """Add an effect, which is carried out after all effects emitted before it."""
        self._effects.append(effect)

    def send(self, to: str, message: Message) -> None:
        """Send a message to the member with that identity."""
        self.emit(SendMessage(to, message))

    def log(self, text: str) -> None:
        """Write a line to the program's log."""
        self.emit(LogLine(text))

    def take_effects(self) -> list[Effect]:
        """Return the effects emitted since the last call, and remove them."""
        effects, self._effects = self._effects, []
        return effects


def membership_line(membership: Membership) -> str:
    """Return the log line for a committed membership: who the voters are."""
    line = f"membership epoch {membership.epoch} is committed: voters {', '.join(membership.voters)}"
    if membership.joint:
        line += f", and until the change has ended also {', '.join(membership.outgoing)}"
    return line
