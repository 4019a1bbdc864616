"""Everything that the parties of a soak saw, which the rules are checked against. Times are seconds since its start."""

import time
from dataclasses import dataclass, field
from enum import Enum

from kestrelplank.rehearsal.soak_configurations import Handling, PlannedConfiguration, Ran, Refused


class Ending(Enum):
    """How an attempt of a client ended."""

    ANSWERED = "answered"
    CLOSED = "closed"  # the connection ended, in order or by a reset, without a complete answer
    MALFORMED = "malformed"  # bytes that are no answer
    GAVE_UP = "gave_up"  # the client's deadline is over
    NOT_SENT = "not_sent"  # the connection ended before the request was sent whole


@dataclass(slots=True)
class ClientAttempt:
    """A request as its client saw it."""

    attempt_id: str
    edge: str
    method: str
    path: str
    body_digest: str
    repeatable: bool
    api_key: str | None
    deadline_s: float
    sent_from: float
    sent_at: float | None = None  # its last byte; None: not sent whole
    ended_at: float = 0.0
    ending: Ending = Ending.NOT_SENT
    status: int = 0
    seal: str | None = None
    answered_id: str | None = None
    answer_body: bytes = b""


@dataclass(slots=True)
class ServerCall:
    """A request as a server saw it.

    :param executed: whether it ran, not turned away.
    :param ended_at: when the answer was sent; None: still at work.
    :param deadline_at: when the server stops its work, by the time that it was handed.
    """

    attempt_id: str
    server: str
    service: str
    at: float
    method: str
    path: str
    body_digest: str
    tenants: tuple[str, ...]
    key_passed_on: bool
    executed: bool
    status: int = 0
    answer_body: bytes = b""
    ended_at: float | None = None
    deadline_at: float = float("inf")

    def runs_at(self, at: float) -> bool:
        """Whether the server is at work on it at that time."""
        return self.executed and at < self.deadline_at and (self.ended_at is None or self.ended_at > at)


@dataclass(slots=True)
class ConfigurationCall:
    """A configuration sent by an operator; `answered_at` and `status` of the answer, if there was one."""

    planned: PlannedConfiguration
    member: str
    sent_at: float
    answered_at: float | None = None
    status: int = 0

    @property
    def acknowledged(self) -> bool:
        """Whether the answer was 200."""
        return self.status == 200  # noqa: PLR2004 - HTTP status code


@dataclass(slots=True)
class ConfigurationRead:
    """The newest configuration as a control member answered it."""

    member: str
    sent_at: float
    text: bytes


@dataclass(slots=True)
class Disturbance:
    """Trouble or planned work on a machine; `end` is infinite while it lasts."""

    machine: str
    kind: str
    start: float
    end: float = float("inf")


@dataclass(slots=True)
class UsageCall:
    """A usage report that the platform answered."""

    at: float
    holder: str
    fence: int
    window: int
    counts: dict[str, int]
    status: int


@dataclass(slots=True)
class KeyConflict:
    """A server began a request on a key that another server held as well."""

    at: float
    key: int
    server: str
    holders: tuple[str, ...]


@dataclass(slots=True)
class StrayBytes:
    """Bytes that arrived on a connection without a request."""

    at: float
    edge: str
    data: bytes


@dataclass(slots=True)
class ProcessEnd:
    """A process that ended by itself."""

    machine: str
    at: float
    exit_code: int


@dataclass(slots=True)
class SoakRecords:
    """All records of a soak."""

    started_at: float = field(default_factory=time.monotonic)
    members: list[str] = field(default_factory=list)
    edges: list[str] = field(default_factory=list)
    attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    calls: dict[str, list[ServerCall]] = field(default_factory=dict)
    configurations: list[ConfigurationCall] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    final_reads: list[ConfigurationRead] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    usage_calls: list[UsageCall] = field(default_factory=list)
    conflicts: list[KeyConflict] = field(default_factory=list)
    stray_bytes: list[StrayBytes] = field(default_factory=list)
    process_ends: list[ProcessEnd] = field(default_factory=list)
    refusal_copies: int = 0  # that servers have sent, of refusals of requests and of grants
    ended_at: float = 0.0  # when the last request was sent

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def disturb(self, machine: str, kind: str) -> Disturbance:
        """Record the beginning of trouble on a machine."""
        self.disturbances.append(Disturbance(machine, kind, self.now()))
        return self.disturbances[-1]

    def valid_calls(self) -> list[ConfigurationCall]:
        """Return the calls with a valid configuration."""
        return [call for call in self.configurations if call.planned.defect is None]

    def valid_versions(self) -> list[PlannedConfiguration]:
        """Return the valid configurations that were sent, in the order of their versions."""
        by_version = {call.planned.version: call.planned for call in self.valid_calls()}
        return [by_version[version] for version in sorted(by_version)]

    def runs(self, attempt_id: str) -> list[ServerCall]:
        """Return the calls of that attempt which ran."""
        return [call for call in self.calls.get(attempt_id, []) if call.executed]

    def handlings(self, attempt: ClientAttempt) -> list[Handling]:
        """Return how an attempt was handled, as far as that shows a configuration."""
        handlings: list[Handling] = [
            Ran(run.service, run.tenants[0] if run.tenants else None) for run in self.runs(attempt.attempt_id)
        ]
        if attempt.ending is Ending.ANSWERED and attempt.seal is None and attempt.status in (401, 404):
            handlings.append(Refused(attempt.status))
        return handlings
