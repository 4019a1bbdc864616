"""What the consensus core wants done. An adapter carries effects out in order."""

from dataclasses import dataclass

from kestrelplank.consensus.consensus_messages import ConsensusMessage
from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """Send `message` to that member; lost where no session stands."""

    to: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Make all of this durable together, or none of it, after every `Persist` before it; then call
    `ConsensusNode.persisted(now, number)`. A disk that refuses is asked again with the same, in the same order.

    Any of: a new hard state; a snapshot, which replaces the whole log; entries, which replace those from the first
    one's index on."""

    number: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Applied:
    """This entry is committed: apply it. Each index comes once, in order."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Restored:
    """The replicated state is this snapshot's from now on; what was applied before is part of it, or overtaken."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Elected:
    """This member leads the term and knows all that was ever committed."""

    term: int


@dataclass(frozen=True, slots=True)
class Deposed:
    """This member leads no longer."""


Effect = Send | Persist | Applied | Restored | Elected | Deposed
