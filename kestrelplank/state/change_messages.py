"""Messages between the leader of a configuration change and the proxies, and the leader's effects.

The protocol is single-decree Paxos for each version (L. Lamport, The Part-Time Parliament, 1998), with proxies as
acceptors: `Prepare` and `Promise` are its first phase, `Stage` and `Staged` its second.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class StagedChange:
    """A version that is staged but not known to be decided, with the epoch in which it was staged."""

    version: int
    epoch: int
    content: object


# Requests from the leader to a proxy.


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks the proxy to reject older epochs from now on, and to report its state."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Stage:
    """Asks the proxy to store this version without using it."""

    epoch: int
    version: int
    content: object


@dataclass(frozen=True, slots=True)
class Use:
    """Asks the proxy to use this version, which is decided."""

    epoch: int
    version: int
    content: object


Request = Prepare | Stage | Use


# Replies from a proxy to the leader. `epoch` is that of the request.


@dataclass(frozen=True, slots=True)
class Promise:
    """The proxy rejects older epochs; it uses `version`, and has stored `staged`."""

    epoch: int
    version: int
    content: object
    staged: StagedChange | None


@dataclass(frozen=True, slots=True)
class Staged:
    """The proxy has stored this version."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Using:
    """The proxy uses this version."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """The proxy rejected the request, as it has promised a newer epoch."""

    epoch: int
    promised_epoch: int


Reply = Promise | Staged | Using | Fenced


# Effects of the leader, to be carried out in order.


class Outcome(Enum):
    """The outcome of a change."""

    COMMITTED = "committed"  # decided: all proxies will use it
    CONFIRMED = "confirmed"  # used by all joined proxies
    ABANDONED = "abandoned"  # this leadership ended; a later epoch completes or drops the change


@dataclass(frozen=True, slots=True)
class StoreEpoch:
    """Make the epoch durable before carrying out any later effect."""

    epoch: int


@dataclass(frozen=True, slots=True)
class StoreStaged:
    """Make the change about to be staged durable before carrying out any later effect."""

    epoch: int
    version: int
    content: object


@dataclass(frozen=True, slots=True)
class StoreDecided:
    """Make the decision durable before carrying out any later effect."""

    epoch: int
    version: int
    content: object


@dataclass(frozen=True, slots=True)
class SendToProxy:
    """Send the request to the proxy."""

    proxy: int
    request: Request


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Report the outcome to the client that proposed the change."""

    outcome: Outcome
    version: int
    reason: str = ""


Effect = StoreEpoch | StoreStaged | StoreDecided | SendToProxy | ReportOutcome
