"""Messages between the leader of a configuration change and the proxies, and what a leader wants done.

The protocol is single-decree Paxos for each version (L. Lamport, The Part-Time Parliament, 1998), with proxies as
acceptors: `Prepare` and `Promise` are its first phase, `Stage` and `Staged` its second.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class StagedChange:
    """A version that is staged but not known to be decided, and the epoch in which it was staged."""

    version: int
    epoch: int
    content: object


# From a leader to a proxy.


@dataclass(frozen=True, slots=True)
class Prepare:
    """Follow no older epoch from now on, and say what you hold."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Stage:
    """Hold this version ready."""

    epoch: int
    version: int
    content: object


@dataclass(frozen=True, slots=True)
class Use:
    """This version is decided: use it."""

    epoch: int
    version: int
    content: object


Request = Prepare | Stage | Use


# From a proxy to a leader. `epoch`: that of the request.


@dataclass(frozen=True, slots=True)
class Promise:
    """The proxy follows no older epoch; it uses `version`, and has `staged`."""

    epoch: int
    version: int
    content: object
    staged: StagedChange | None


@dataclass(frozen=True, slots=True)
class Staged:
    """The proxy holds this version ready."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Using:
    """The proxy uses this version."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """The proxy has promised to follow a newer epoch, and has done nothing."""

    epoch: int
    promised_epoch: int


Reply = Promise | Staged | Using | Fenced


# What a leader wants done, in order.


class Outcome(Enum):
    """What has become of a change."""

    COMMITTED = "committed"  # decided: it will be used by all
    CONFIRMED = "confirmed"  # used by all that are joined
    ABANDONED = "abandoned"  # this lead is over; another epoch settles what was under way


@dataclass(frozen=True, slots=True)
class StoreEpoch:
    """Make the epoch durable before anything behind this is sent."""

    epoch: int


@dataclass(frozen=True, slots=True)
class StoreStaged:
    """Make durable what is about to be staged, before anything behind this is sent."""

    epoch: int
    version: int
    content: object


@dataclass(frozen=True, slots=True)
class StoreDecided:
    """Make the decision durable before anything behind this is sent."""

    epoch: int
    version: int
    content: object


@dataclass(frozen=True, slots=True)
class SendToProxy:
    """Send this to that proxy."""

    proxy: int
    request: Request


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Answer whoever asked for the change."""

    outcome: Outcome
    version: int
    reason: str = ""


Effect = StoreEpoch | StoreStaged | StoreDecided | SendToProxy | ReportOutcome
