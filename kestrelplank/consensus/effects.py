"""Effects requested by the consensus core. An adapter carries them out in order."""

from dataclasses import dataclass
from enum import StrEnum

from kestrelplank.consensus.consensus_messages import ConsensusMessage
from kestrelplank.consensus.log_entries import Entry, HardState, Snapshot


@dataclass(frozen=True, slots=True)
class Send:
    """Send `message` to the member with identity `to`; it is dropped if no session to that member is open."""

    to: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class Persist:
    """Write all of this to disk atomically, after every `Persist` before it.

    Then call `ConsensusNode.persisted(now, number)`. A write that fails is retried unchanged and in the same order.

    :param number: increases by one with each write of a process.
    :param hard_state: replaces the one on disk; None: leave it.
    :param snapshot: replaces the complete log on disk; None: leave the log.
    :param entries: replace those on disk from the first one's index on.
    """

    number: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Applied:
    """Apply this committed entry. Each index is emitted once, in order."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Restored:
    """Replace the replicated state by this snapshot's, which includes or supersedes everything applied before."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Elected:
    """This member leads the term and has every entry that was ever committed."""

    term: int


class StepDownReason(StrEnum):
    """Why a member stepped down; the values are written to the log."""

    NEWER_TERM = "a newer term has begun"
    LEASE_EXPIRED = "its lease expired, as no majority of the voters replied"
    HANDED_OVER = "it transferred leadership"
    DISK_HANGS = "a disk write has stalled, and another voter can lead"


@dataclass(frozen=True, slots=True)
class Deposed:
    """This member has stepped down. Emitted once after each `Elected`."""

    reason: StepDownReason


Effect = Send | Persist | Applied | Restored | Elected | Deposed
