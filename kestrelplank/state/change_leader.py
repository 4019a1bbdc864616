"""The leader of configuration changes: each is staged at the proxies, decided, and used by all, or by none.

A change is decided once a quorum of the proxies holds it for the same epoch; only then is any told to use it. An
assigner leads in an epoch of its own, higher than any before: proxies that have answered it refuse what an older one
still sends, and say what they hold. Whoever takes over finishes what may have been decided and drops what can't have
been. An undo is a new version, so nobody ever goes back to an older one.
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
    """A change was made from another version than the one in use; the text says which."""


class ChangeUnderWayError(ValueError):
    """Another change is on its way."""


class Phase(Enum):
    """What a lead is doing; from `OVER` it never returns."""

    IDLE = "idle"
    PREPARING = "preparing"
    STAGING = "staging"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class LeadTerms:
    """What a leader goes by.

    :param voters: numbers of the proxies that count for a quorum.
    :param staging_timeout_ns: after which staging is given up, or goes on without the silent.
    :param max_silent_share: of the joined proxies, without which it goes on.
    """

    voters: tuple[int, ...]
    staging_timeout_ns: int
    max_silent_share: float

    @property
    def quorum(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class LeadStatus:
    """What an operator is shown of a lead.

    :param staging_version: the version that is being staged, if any.
    :param taken_over: whether that was begun by a former leader.
    :param awaited: proxies that have not answered yet.
    :param remaining_ns: until the deadline of the phase.
    """

    epoch: int
    phase: Phase
    version: int
    staging_version: int | None
    taken_over: bool
    awaited: tuple[int, ...]
    remaining_ns: int


class ChangeLeader:
    """One assigner's lead in one epoch. No I/O, no clock; each method returns what to do, in order.

    Invariants, each with the test in `tests/state/test_change_leader.py` that holds it:

    - No version is ever used with two contents, whatever is lost, late or taken over
      (`test_no_order_of_messages_losses_and_takeovers_makes_two_contents_of_a_version`).
    - No proxy uses a version before a quorum holds it
      (`test_a_change_is_staged_by_all_before_any_uses_it_and_confirmed_when_all_do`).
    - A lead under an older epoch changes nothing (`test_a_leader_that_was_only_cut_off_is_fenced_when_it_comes_back`).

    :param version: known to be decided, with its content.
    """

    def __init__(self, epoch: int, terms: LeadTerms, version: int = 0, content: object = None) -> None:
        self.epoch, self._terms, self.version, self.content = epoch, terms, version, content
        self.phase = Phase.IDLE
        self.joined: tuple[int, ...] = ()
        self._wanted: tuple[int, object] | None = None  # version and content being staged
        self._own_change = False  # whether that was proposed here, and not found at a takeover
        self._promises: dict[int, Promise] = {}  # by voter, in this epoch
        self._staged_at: dict[int, None] = {}
        self._versions_used: dict[int, int] = {}  # by proxy
        self._deadline_at = 0

    def copy(self) -> "ChangeLeader":
        """Return a lead in the same state that goes its own way from here."""
        other = ChangeLeader(self.epoch, self._terms, self.version, self.content)
        other.phase, other.joined = self.phase, self.joined
        other._wanted, other._own_change = self._wanted, self._own_change
        other._promises, other._staged_at = dict(self._promises), dict(self._staged_at)
        other._versions_used, other._deadline_at = dict(self._versions_used), self._deadline_at
        return other

    def state(self) -> tuple[object, ...]:
        """Return all that distinguishes this state from another, for whoever compares them."""
        return (
            self.epoch,
            self.phase,
            self.version,
            self.content,
            self.joined,
            self._wanted,
            self._own_change,
            tuple(sorted(self._promises.items())),
            tuple(sorted(self._staged_at)),
            tuple(sorted(self._versions_used.items())),
        )

    def status(self, now: int) -> LeadStatus:
        """Return what an operator is shown."""
        if self.phase is Phase.PREPARING:
            awaited = tuple(proxy for proxy in self._terms.voters if proxy not in self._promises)
        elif self.phase is Phase.STAGING:
            awaited = tuple(self._missing())
        else:
            awaited = tuple(self._behind())
        busy = self.phase in (Phase.PREPARING, Phase.STAGING)
        return LeadStatus(
            epoch=self.epoch,
            phase=self.phase,
            version=self.version,
            staging_version=self._wanted[0] if self._wanted else None,
            taken_over=bool(self._wanted) and not self._own_change,
            awaited=awaited,
            remaining_ns=max(0, self._deadline_at - now) if busy else 0,
        )

    # What happens.

    def take_over(self, now: int, joined: tuple[int, ...]) -> list[Effect]:
        """Lead from now on: ask all what they hold before anything else is done."""
        self.joined, self.phase = joined, Phase.PREPARING
        self._deadline_at = now + self._terms.staging_timeout_ns
        self._promises, self._staged_at, self._wanted = {}, {}, None
        return [StoreEpoch(self.epoch), *self._send_to_all(Prepare(self.epoch))]

    def propose(self, now: int, base_version: int, content: object) -> list[Effect]:
        """Begin a change that was made from `base_version`.

        :raises ChangeUnderWayError: this lead is not idle; nothing is done.
        :raises StaleChangeError: another version is in use; nothing is done.
        """
        if self.phase is not Phase.IDLE:
            raise ChangeUnderWayError(f"the lead of epoch {self.epoch} is {self.phase.value}")
        if base_version != self.version:
            raise StaleChangeError(f"the change was made from version {base_version}, in use is {self.version}")
        return self._stage(now, content, own_change=True)

    def proxy_joined(self, proxy: int) -> list[Effect]:
        """Bring a proxy that has joined up to what is decided, and into what is under way."""
        if proxy not in self.joined:
            self.joined = (*self.joined, proxy)
        self._versions_used.pop(proxy, None)
        return self._unanswered(proxy)

    def proxy_left(self, now: int, proxy: int) -> list[Effect]:
        """Wait no longer for a proxy that has left, or has been silent for too long; its vote stays what it was."""
        self.joined = tuple(other for other in self.joined if other != proxy)
        return self._advance(now)

    def handle_reply(self, now: int, proxy: int, reply: Reply) -> list[Effect]:
        """Take a proxy's reply. One to another epoch means nothing, but that of a newer one ends this lead."""
        if isinstance(reply, Fenced) and reply.promised_epoch > self.epoch:
            return self._end("a newer epoch leads")
        if isinstance(reply, Using) and reply.version > self._versions_used.get(proxy, 0):
            return self._handle_using(proxy, reply)
        if reply.epoch != self.epoch:
            return []
        if isinstance(reply, Promise) and self.phase is Phase.PREPARING and proxy in self._terms.voters:
            self._promises[proxy] = reply
        elif isinstance(reply, Staged) and self._wanted is not None and reply.version == self._wanted[0]:
            self._staged_at[proxy] = None
        return self._advance(now)

    def tick(self, now: int) -> list[Effect]:
        """Look whether a deadline is over; else send again what has not been answered."""
        return self._advance(now) or [effect for proxy in self.joined for effect in self._unanswered(proxy)]

    # What is decided.

    def _handle_using(self, proxy: int, reply: Using) -> list[Effect]:
        self._versions_used[proxy] = reply.version
        if reply.version > self.version:
            return self._end(f"proxy {proxy} uses version {reply.version}, which this lead knows nothing of")
        if self.phase is Phase.IDLE and self.version and not self._behind():
            return [ReportOutcome(Outcome.CONFIRMED, self.version)]
        return []

    def _advance(self, now: int) -> list[Effect]:
        """Go on to the next phase if enough have answered, or if it is too late to wait for more."""
        if self.phase is Phase.PREPARING and self._enough_promises(now):
            return self._choose(now)
        if self.phase is Phase.STAGING:
            if self._enough_staged(now):
                return self._decide()
            if now >= self._deadline_at:  # what is staged somewhere may be decided by whoever leads next
                return self._end("not staged in time")
        return []

    def _enough_promises(self, now: int) -> bool:
        voters = self._terms.voters
        if all(proxy in self._promises for proxy in voters):
            return True
        awaited = any(proxy in self.joined and proxy not in self._promises for proxy in voters)
        return len(self._promises) >= self._terms.quorum and (not awaited or now >= self._deadline_at)

    def _enough_staged(self, now: int) -> bool:
        votes = sum(proxy in self._terms.voters for proxy in self._staged_at)
        missing = len(self._missing())
        may_leave_behind = now >= self._deadline_at and missing <= self._terms.max_silent_share * len(self.joined)
        return votes >= self._terms.quorum and (not missing or may_leave_behind)

    def _choose(self, now: int) -> list[Effect]:
        """Settle what former leads left, as a quorum has answered, which refuses all older epochs from now on.

        What one of it uses is decided. What one of it has staged for the next version may have been decided, unless too
        few can hold it; of several the one of the newest epoch.
        """
        for promise in self._promises.values():
            if promise.version > self.version:
                self.version, self.content = promise.version, promise.content
        self._versions_used.update((proxy, promise.version) for proxy, promise in self._promises.items())
        self.phase = Phase.IDLE
        effects = [effect for proxy in self.joined for effect in self._unanswered(proxy)]
        candidate = self._possibly_decided()
        if candidate is not None:
            effects += self._stage(now, candidate.content, own_change=False)
        return effects

    def _possibly_decided(self) -> StagedChange | None:
        """Return the change of the next version that a former lead may have decided, None where there is none."""
        candidates = [
            promise.staged
            for promise in self._promises.values()
            if promise.staged is not None and promise.staged.version == self.version + 1
        ]
        if not candidates:
            return None
        newest = max(candidates, key=lambda change: change.epoch)
        holders = sum(change.epoch == newest.epoch for change in candidates)
        unheard = sum(proxy not in self._promises for proxy in self._terms.voters)
        return newest if holders + unheard >= self._terms.quorum else None

    def _stage(self, now: int, content: object, *, own_change: bool) -> list[Effect]:
        """Begin to stage this content as the next version."""
        version = self.version + 1
        self.phase, self._wanted, self._staged_at = Phase.STAGING, (version, content), {}
        self._own_change, self._deadline_at = own_change, now + self._terms.staging_timeout_ns
        return [
            StoreStaged(self.epoch, version, content),
            *self._send_to_all(Stage(self.epoch, version, content)),
        ]

    def _decide(self) -> list[Effect]:
        assert self._wanted is not None  # it is staged
        self.version, self.content = self._wanted
        self._wanted, self.phase = None, Phase.IDLE
        return [
            StoreDecided(self.epoch, self.version, self.content),
            *self._send_to_all(Use(self.epoch, self.version, self.content)),
            ReportOutcome(Outcome.COMMITTED, self.version),
        ]

    def _end(self, reason: str) -> list[Effect]:
        """End this lead; another epoch settles what was under way."""
        if self.phase is Phase.OVER:
            return []
        wanted, self._wanted, self.phase = self._wanted, None, Phase.OVER
        return [ReportOutcome(Outcome.ABANDONED, wanted[0] if wanted else self.version, reason)]

    # Whom it waits for, and what is sent.

    def _missing(self) -> list[int]:
        """Return the joined proxies that have not staged what is being staged."""
        return [proxy for proxy in self.joined if proxy not in self._staged_at]

    def _behind(self) -> list[int]:
        """Return the joined proxies that are not known to use what is decided."""
        return [proxy for proxy in self.joined if self._versions_used.get(proxy, 0) < self.version]

    def _unanswered(self, proxy: int) -> list[Effect]:
        """Return what that proxy has not answered yet, to be sent again."""
        if self.phase is Phase.PREPARING:
            return [SendToProxy(proxy, Prepare(self.epoch))] if proxy not in self._promises else []
        effects: list[Effect] = []
        if self.version and self._versions_used.get(proxy, 0) < self.version:
            effects.append(SendToProxy(proxy, Use(self.epoch, self.version, self.content)))
        if self._wanted is not None and proxy not in self._staged_at:
            effects.append(SendToProxy(proxy, Stage(self.epoch, *self._wanted)))
        return effects

    def _send_to_all(self, request: Request) -> Sequence[Effect]:
        return [SendToProxy(proxy, request) for proxy in self.joined]
