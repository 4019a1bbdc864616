"""Collects the effects that a call returns, in order, and the messages that wait until a write is durable."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from kestrelplank.consensus.consensus_messages import ConsensusMessage
from kestrelplank.consensus.effects import Effect, Persist, Send
from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot


@dataclass(slots=True)
class PendingWrite:
    """A `Persist` that is not durable yet.

    :param first_index: log index of the first entry that it replaces or adds on disk; 0: it has no entries.
    :param last_index: log index of the last entry on disk after it; 0: it has no entries.
    :param has_hard_state: whether it writes a hard state.
    :param messages: sent once it is durable.
    """

    number: int
    first_index: int = 0
    last_index: int = 0
    has_hard_state: bool = False
    messages: list[Send] = field(default_factory=list)


class EffectQueue:
    """The effects of the current call, and the writes that are not durable yet.

    All components of a member add their effects here; `ConsensusNode` takes them at the end of each call. Writes become
    durable in the order of their numbers, so a message waits for the last write that it depends on.

    `durable_index`: log index up to which the log in memory is on disk. Entries that a pending write replaces do not
    count, even if they are on disk.
    """

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index
        self._effects: list[Effect] = []
        self._writes: deque[PendingWrite] = deque()
        self._last_number = 0

    def emit(self, effect: Effect) -> None:
        """Append an effect to those of the current call."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects of the current call and clear them."""
        effects, self._effects = self._effects, []
        return effects

    def send(self, to: str, message: ConsensusMessage) -> None:
        """Send without waiting for any write; for messages that remain valid if a restart loses pending writes."""
        self._effects.append(Send(to, message))

    def send_when_durable(self, to: str, message: ConsensusMessage) -> None:
        """Send once term, vote and leader are on disk, as the message must stay valid after a restart."""
        for write in reversed(self._writes):
            if write.has_hard_state:
                write.messages.append(Send(to, message))
                return
        self._effects.append(Send(to, message))

    def persist_hard_state(self, hard_state: HardState) -> None:
        """Add a write of the hard state."""
        write = self._enqueue(PendingWrite(self._next_number(), has_hard_state=True))
        self._effects.append(Persist(write.number, hard_state))

    def persist_entries(self, entries: tuple[Entry, ...], then: Send | None = None) -> None:
        """Add a write of entries, which replace those on disk from the first index on; once durable, send `then`."""
        messages = [] if then is None else [then]
        first_index, last_index = entries[0].index, entries[-1].index
        write = self._enqueue(PendingWrite(self._next_number(), first_index, last_index, messages=messages))
        self._effects.append(Persist(write.number, entries=entries))

    def persist_snapshot(
        self,
        snapshot: Snapshot,
        entries: tuple[Entry, ...],
        hard_state: HardState,
        matching_until: int,
        then: Send | None = None,
    ) -> None:
        """Add a write of a snapshot and the entries after it, which replace the complete log on disk.

        :param hard_state: the current one, written again so that it stays on disk.
        :param matching_until: log index up to which the log on disk matches the new one.
        :param then: sent once the write is durable.
        """
        messages = [] if then is None else [then]
        last_index = max(entries[-1].index if entries else 0, snapshot.index)
        write = self._enqueue(PendingWrite(self._next_number(), matching_until + 1, last_index, messages=messages))
        self._effects.append(Persist(write.number, hard_state, snapshot, entries))

    def truncate(self, first_index: int) -> None:
        """Lower `durable_index` below `first_index`, as the log in memory changes from there on."""
        self.durable_index = min(self.durable_index, first_index - 1)

    def complete(self, number: int) -> Iterator[Send]:
        """Mark the writes up to `number` as durable, one by one; yield the messages that waited for each.

        The caller handles each message before the next write is marked.
        """
        while self._writes and self._writes[0].number <= number:
            write = self._writes.popleft()
            if write.last_index:
                self._update_durable_index(write)
            yield from write.messages

    def oldest_pending_write(self) -> int | None:
        """Return the number of the first write that is not durable yet; None if all are."""
        return self._writes[0].number if self._writes else None

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _enqueue(self, write: PendingWrite) -> PendingWrite:
        self._writes.append(write)
        return write

    def _update_durable_index(self, write: PendingWrite) -> None:
        """Set `durable_index` after this write, but below any entry that a pending write replaces."""
        with_entries = [later for later in self._writes if later.last_index]
        replaced_from = [later.first_index for later in with_entries if later.first_index <= write.last_index]
        self.durable_index = min([write.last_index, *(first_index - 1 for first_index in replaced_from)])
