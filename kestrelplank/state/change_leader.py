"""The leader of configuration changes: each change is staged at the proxies, decided, and used by all of them or none.

A change is decided once a quorum of the proxies has staged it in the same epoch; only then are proxies asked to use it.
Each leading assigner has its own epoch, higher than any before. Proxies that have promised an epoch reject requests of
older ones, and report what they have staged. A new leader completes a change that may have been decided and drops one
that can't have been. An undo is a new version, so versions never decrease.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from kestrelplank.state.change_messages import (
    Effect,
    Fenced,
    Outcome,
    Prepare,
    Promise,
    Reply,
    ReportOutcome,
    Request,
    SendToProxy,
    Stage,
    Staged,
    StagedChange,
    StoreDecided,
    StoreEpoch,
    StoreStaged,
    Use,
    Using,
)


class StaleChangeError(ValueError):
    """A change is not based on the version in use."""


class ChangeInProgressError(ValueError):
    """The leader is not idle: another change is in progress, or its leadership has ended."""


class Phase(Enum):
    """The phase of a leadership; `OVER` is final."""

    IDLE = "idle"
    PREPARING = "preparing"
    STAGING = "staging"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class LeaderSettings:
    """Settings of a leader.

    :param voters: numbers of the proxies that count towards a quorum.
    :param staging_timeout_ns: how long to wait for all joined proxies before going on without some, or giving up.
    :param max_missing_fraction: of the joined proxies, how many may be left behind after the time-out.
    """

    voters: tuple[int, ...]
    staging_timeout_ns: int
    max_missing_fraction: float

    @property
    def quorum(self) -> int:
        """The number of voters that decide a change."""
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class LeaderStatus:
    """A leadership's status, for operators.

    :param staging_version: the version that is being staged, if any.
    :param taken_over: whether a former leader proposed it.
    :param awaited: proxies that have not replied yet.
    :param remaining_ns: the time until the deadline of the phase.
    """

    epoch: int
    phase: Phase
    version: int
    staging_version: int | None
    taken_over: bool
    awaited: tuple[int, ...]
    remaining_ns: int


class ChangeLeader:
    """One assigner's leadership in one epoch. No I/O, no clock; each method returns the effects to carry out, in order.

    Invariants, each with the test in `tests/state/test_change_leader.py` that checks it:

    - No version is ever used with two contents, whatever messages are lost or late and whoever takes over
      (`test_no_interleaving_gives_one_version_two_contents`).
    - No proxy uses a version before a quorum has staged it
      (`test_change_is_staged_by_all_before_use_and_confirmed_once_all_use_it`).
    - A leader of an older epoch changes nothing (`test_partitioned_old_leader_is_fenced_when_it_returns`).

    :param version: the newest version known to be decided; `content` is its content.
    """

    def __init__(self, epoch: int, settings: LeaderSettings, version: int = 0, content: object = None) -> None:
        self.epoch, self._settings, self.version, self.content = epoch, settings, version, content
        self.phase = Phase.IDLE
        self.joined: tuple[int, ...] = ()
        self._staging: tuple[int, object] | None = None  # version and content being staged
        self._own_change = False  # proposed to this leader, not taken over from a former one
        self._promises: dict[int, Promise] = {}  # by voter, in this epoch
        self._staged_by: dict[int, None] = {}  # proxies that have staged it, in order
        self._versions_used: dict[int, int] = {}  # by proxy
        self._deadline_at = 0

    def copy(self) -> "ChangeLeader":
        """Return an independent copy of this leader."""
        other = ChangeLeader(self.epoch, self._settings, self.version, self.content)
        other.phase, other.joined = self.phase, self.joined
        other._staging, other._own_change = self._staging, self._own_change
        other._promises, other._staged_by = dict(self._promises), dict(self._staged_by)
        other._versions_used, other._deadline_at = dict(self._versions_used), self._deadline_at
        return other

    def state(self) -> tuple[object, ...]:
        """Return a value that is equal for equal states; deadlines are left out."""
        return (
            self.epoch,
            self.phase,
            self.version,
            self.content,
            self.joined,
            self._staging,
            self._own_change,
            tuple(sorted(self._promises.items())),
            tuple(sorted(self._staged_by)),
            tuple(sorted(self._versions_used.items())),
        )

    def status(self, now: int) -> LeaderStatus:
        """Return the status for operators."""
        if self.phase is Phase.PREPARING:
            awaited = tuple(proxy for proxy in self._settings.voters if proxy not in self._promises)
        elif self.phase is Phase.STAGING:
            awaited = tuple(self._missing())
        else:
            awaited = tuple(self._behind())
        busy = self.phase in (Phase.PREPARING, Phase.STAGING)
        return LeaderStatus(
            epoch=self.epoch,
            phase=self.phase,
            version=self.version,
            staging_version=self._staging[0] if self._staging else None,
            taken_over=bool(self._staging) and not self._own_change,
            awaited=awaited,
            remaining_ns=max(0, self._deadline_at - now) if busy else 0,
        )

    # Events.

    def take_over(self, now: int, joined: tuple[int, ...]) -> list[Effect]:
        """Start leading: send `Prepare` to all joined proxies and wait for their promises."""
        self.joined, self.phase = joined, Phase.PREPARING
        self._deadline_at = now + self._settings.staging_timeout_ns
        self._promises, self._staged_by, self._staging = {}, {}, None
        return [StoreEpoch(self.epoch), *self._send_to_all(Prepare(self.epoch))]

    def propose(self, now: int, base_version: int, content: object) -> list[Effect]:
        """Start staging a change that is based on `base_version`.

        :raises ChangeInProgressError: this leader is not idle; nothing is done.
        :raises StaleChangeError: another version is in use; nothing is done.
        """
        if self.phase is not Phase.IDLE:
            raise ChangeInProgressError(f"the leader of epoch {self.epoch} is {self.phase.value}, expected idle")
        if base_version != self.version:
            raise StaleChangeError(
                f"the change is based on version {base_version}, but version {self.version} is in use"
            )
        return self._stage(now, content, own_change=True)

    def proxy_joined(self, proxy: int) -> list[Effect]:
        """Send a proxy that has joined the decided version and the requests of the current phase."""
        if proxy not in self.joined:
            self.joined = (*self.joined, proxy)
        self._versions_used.pop(proxy, None)
        return self._pending_requests(proxy)

    def proxy_left(self, now: int, proxy: int) -> list[Effect]:
        """Stop waiting for a proxy that has left or timed out; a vote that it has cast still counts."""
        self.joined = tuple(other for other in self.joined if other != proxy)
        return self._advance(now)

    def handle_reply(self, now: int, proxy: int, reply: Reply) -> list[Effect]:
        """Handle a proxy's reply. Replies of other epochs are ignored; a newer promised epoch ends the leadership."""
        if isinstance(reply, Fenced) and reply.promised_epoch > self.epoch:
            return self._end("a newer epoch leads")
        if isinstance(reply, Using) and reply.version > self._versions_used.get(proxy, 0):
            return self._handle_using(proxy, reply)
        if reply.epoch != self.epoch:
            return []
        if isinstance(reply, Promise) and self.phase is Phase.PREPARING and proxy in self._settings.voters:
            self._promises[proxy] = reply
        elif isinstance(reply, Staged) and self._staging is not None and reply.version == self._staging[0]:
            self._staged_by[proxy] = None
        return self._advance(now)

    def tick(self, now: int) -> list[Effect]:
        """Check the deadline; unless that changes the phase, resend all requests without a reply."""
        return self._advance(now) or [effect for proxy in self.joined for effect in self._pending_requests(proxy)]

    # Decisions.

    def _handle_using(self, proxy: int, reply: Using) -> list[Effect]:
        self._versions_used[proxy] = reply.version
        if reply.version > self.version:
            return self._end(f"proxy {proxy} uses version {reply.version}, which this leader does not know")
        if self.phase is Phase.IDLE and self.version and not self._behind():
            return [ReportOutcome(Outcome.CONFIRMED, self.version)]
        return []

    def _advance(self, now: int) -> list[Effect]:
        """Enter the next phase if enough proxies have replied, or end the leadership if staging timed out."""
        if self.phase is Phase.PREPARING and self._enough_promises(now):
            return self._resolve_former_changes(now)
        if self.phase is Phase.STAGING:
            if self._enough_staged(now):
                return self._decide()
            if now >= self._deadline_at:  # a later leader may still decide what some proxies staged
                return self._end("staging timed out")
        return []

    def _enough_promises(self, now: int) -> bool:
        voters = self._settings.voters
        if all(proxy in self._promises for proxy in voters):
            return True
        awaited = any(proxy in self.joined and proxy not in self._promises for proxy in voters)
        return len(self._promises) >= self._settings.quorum and (not awaited or now >= self._deadline_at)

    def _enough_staged(self, now: int) -> bool:
        votes = sum(proxy in self._settings.voters for proxy in self._staged_by)
        missing = len(self._missing())
        may_leave_behind = now >= self._deadline_at and missing <= self._settings.max_missing_fraction * len(
            self.joined
        )
        return votes >= self._settings.quorum and (not missing or may_leave_behind)

    def _resolve_former_changes(self, now: int) -> list[Effect]:
        """Complete what former leaders left, now that a quorum has promised to reject all older epochs.

        A version that a promise reports in use is decided. A change staged as the next version may have been decided
        if enough proxies can have staged it; of several, the one of the newest epoch counts.
        """
        for promise in self._promises.values():
            if promise.version > self.version:
                self.version, self.content = promise.version, promise.content
        self._versions_used.update((proxy, promise.version) for proxy, promise in self._promises.items())
        self.phase = Phase.IDLE
        effects = [effect for proxy in self.joined for effect in self._pending_requests(proxy)]
        candidate = self._possibly_decided()
        if candidate is not None:
            effects += self._stage(now, candidate.content, own_change=False)
        return effects

    def _possibly_decided(self) -> StagedChange | None:
        """Return the change of the next version that a former leader may have decided, or None."""
        candidates = [
            promise.staged
            for promise in self._promises.values()
            if promise.staged is not None and promise.staged.version == self.version + 1
        ]
        if not candidates:
            return None
        newest = max(candidates, key=lambda change: change.epoch)
        holders = sum(change.epoch == newest.epoch for change in candidates)
        unanswered = sum(proxy not in self._promises for proxy in self._settings.voters)
        return newest if holders + unanswered >= self._settings.quorum else None

    def _stage(self, now: int, content: object, *, own_change: bool) -> list[Effect]:
        """Start staging this content as the next version."""
        version = self.version + 1
        self.phase, self._staging, self._staged_by = Phase.STAGING, (version, content), {}
        self._own_change, self._deadline_at = own_change, now + self._settings.staging_timeout_ns
        return [
            StoreStaged(self.epoch, version, content),
            *self._send_to_all(Stage(self.epoch, version, content)),
        ]

    def _decide(self) -> list[Effect]:
        assert self._staging is not None  # the phase is STAGING
        self.version, self.content = self._staging
        self._staging, self.phase = None, Phase.IDLE
        return [
            StoreDecided(self.epoch, self.version, self.content),
            *self._send_to_all(Use(self.epoch, self.version, self.content)),
            ReportOutcome(Outcome.COMMITTED, self.version),
        ]

    def _end(self, reason: str) -> list[Effect]:
        """End this leadership; a later epoch completes or drops the change in progress."""
        if self.phase is Phase.OVER:
            return []
        staging, self._staging, self.phase = self._staging, None, Phase.OVER
        return [ReportOutcome(Outcome.ABANDONED, staging[0] if staging else self.version, reason)]

    # Pending proxies and requests.

    def _missing(self) -> list[int]:
        """Return the joined proxies that have not acknowledged the change being staged."""
        return [proxy for proxy in self.joined if proxy not in self._staged_by]

    def _behind(self) -> list[int]:
        """Return the joined proxies that are not known to use the decided version."""
        return [proxy for proxy in self.joined if self._versions_used.get(proxy, 0) < self.version]

    def _pending_requests(self, proxy: int) -> list[Effect]:
        """Return the requests to a proxy that it has not answered yet, for a resend."""
        if self.phase is Phase.PREPARING:
            return [SendToProxy(proxy, Prepare(self.epoch))] if proxy not in self._promises else []
        effects: list[Effect] = []
        if self.version and self._versions_used.get(proxy, 0) < self.version:
            effects.append(SendToProxy(proxy, Use(self.epoch, self.version, self.content)))
        if self._staging is not None and proxy not in self._staged_by:
            effects.append(SendToProxy(proxy, Stage(self.epoch, *self._staging)))
        return effects

    def _send_to_all(self, request: Request) -> Sequence[Effect]:
        return [SendToProxy(proxy, request) for proxy in self.joined]
