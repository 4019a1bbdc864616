"""All key ranges of one sharded service while this member leads.

No I/O: `tick` returns effects. The adapter checks the leader's lease again right before it sends a grant.
"""

from collections.abc import Iterable, Sequence

from kestrelplank.forwarding.retry_policy import CallKind, CallOutcome, Execution, verdict
from kestrelplank.sharding.effects import (
    GrantKeyRange,
    KeyRangeReleasing,
    KeyRangesEffect,
    KeyRangeStalled,
    KeyRangeUnownedFor,
    RecordKeyRanges,
    ReleaseKeyRange,
    ServerCallResult,
    ServerRequest,
)
from kestrelplank.sharding.key_range import KEY_COUNT, KeyRange, KeyRangeState, RecordedKeyRange
from kestrelplank.sharding.lease_terms import LeaseTerms
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.sharding.timing import (
    GRANT_TIMEOUT_NS,
    LATE_DELIVERY_NS,
    LEASE_DURATION_NS,
    MAX_QUEUED_NS,
    RELEASE_INTERVAL_NS,
    RENEWAL_INTERVAL_NS,
    RETRY_INTERVAL_NS,
    STALLED_AFTER_NS,
    latest_lease_end,
)

FENCING_TOKENS_PER_TERM = 1_000_000
MAX_REJECTIONS = 24  # consecutive rejected grants, after each of which the fencing token is raised, before a release
GRANTED, INVALID, FENCED = 200, 400, 409  # HTTP statuses of a server's answers

# Module constants, as `tick` compares them for every range 20 times a second.
HELD, RELEASING, UNOWNED = KeyRangeState.HELD, KeyRangeState.RELEASING, KeyRangeState.UNOWNED


class KeyRanges:
    """All key ranges of one service, in the order of their keys.

    Two servers never hold a key at once, because:

    - A recorded range names the only server that may have been granted its keys. It is committed in the log before the
      first grant is sent (`test_merged_range_is_recorded_with_a_higher_token_before_it_is_renewed`,
      `test_each_removed_safeguard_is_detected_with_a_shortest_trace`, defect "no record").
    - Another server gets the keys only after the old one answered the release
      (`test_release_ends_only_with_its_own_answer`), or after every lease has certainly ended
      (`test_unanswered_release_ends_when_the_lease_ends`). A call without an answer may have arrived, as late as
      `LATE_DELIVERY_NS` after its connection was reset (`test_grant_that_may_have_arrived_counts_as_a_lease`).
    - Fencing tokens grow with the leader's term and with each change, so a server rejects calls of a former leader and
      outdated calls of the present one, once it has received a newer call
      (`test_fencing_tokens_rise_above_those_seen_by_servers_after_the_log_was_lost`).
    - An answer to a call counts only for the server that the call went to
      (`test_answer_of_a_replaced_server_is_ignored`).
    - A lease longer than the recorded bound is granted only once a higher bound is committed, and the bound is lowered
      only after every longer lease has certainly ended, so a new leader knows how long leases may run
      (`test_longer_leases_are_granted_only_after_their_length_is_recorded`,
      `test_recorded_lease_length_is_lowered_only_after_longer_leases_have_ended`).

    `terms`: duration and renewal interval of the next grants; set by the owner.

    :param term: the leader's term in the log.
    :param recorded: the newest recorded ranges; None or empty if none were ever recorded.
    :param max_lease_ns: upper bound of the leases granted under that record.
    """

    def __init__(
        self,
        now: int,
        term: int,
        recorded: Sequence[RecordedKeyRange] | None,
        max_lease_ns: int = LEASE_DURATION_NS,
    ) -> None:
        recorded = recorded or ()
        # Recorded tokens may be above those of their leader's term, as `_raise_fencing_token` takes large steps.
        token_term = max(term, *(entry.fencing_token // FENCING_TOKENS_PER_TERM + 1 for entry in recorded), 0)
        self.highest_token = token_term * FENCING_TOKENS_PER_TERM
        self.ranges = [KeyRange(*entry) for entry in recorded]
        for key_range in self.ranges:  # the former leader may have renewed each lease until now
            key_range.held_until = latest_lease_end(now + GRANT_TIMEOUT_NS + LATE_DELIVERY_NS, max_lease_ns)
        self.terms = LeaseTerms(LEASE_DURATION_NS, RENEWAL_INTERVAL_NS)
        self._max_lease_ns = max_lease_ns  # as recorded
        self._max_lease_being_recorded_ns = max_lease_ns
        # When every lease longer than `LEASE_DURATION_NS` has certainly ended.
        self._long_leases_until = max((key_range.held_until for key_range in self.ranges), default=0)
        self.servers: dict[str, ShardServer] = {}
        self.moved_keys = 0  # number of keys that changed server
        self.unowned_key_ns = 0  # time without a holder, summed over keys
        self._being_recorded: list[KeyRange] | None = None
        self._pending_effects: list[KeyRangesEffect] = []

    # Changes requested by the placement.

    def create_initial_ranges(self, count: int) -> None:
        """Create `count` unowned ranges of equal length. Called if no ranges were ever recorded."""
        for number in range(count):
            key_range = KeyRange(KEY_COUNT * number // count, KEY_COUNT * (number + 1) // count - 1, "", "", 0)
            key_range.state = UNOWNED
            self.ranges.append(key_range)

    def split(self, key_range: KeyRange, at: int) -> KeyRange:
        """Split off the keys from `at` on as a new range, and return it. Not allowed while a call is in flight."""
        upper = key_range.split(at)
        self.ranges.insert(self.ranges.index(key_range) + 1, upper)
        return upper

    def can_merge(self, lower: KeyRange, upper: KeyRange) -> bool:
        """Whether `lower` and `upper`, the range after it, may be merged: one server holds both, none is changing."""
        return lower.server == upper.server and lower.can_merge() and upper.can_merge()

    def merge(self, lower: KeyRange, upper: KeyRange) -> None:
        """Merge `upper` into `lower`, under a fencing token above both, which is recorded before it is used."""
        lower.last = upper.last
        lower.fencing_token = self._next_token()
        lower.recorded = False
        lower.handover = None
        lower.held_until = max(lower.held_until, upper.held_until)
        self.ranges.remove(upper)

    def assignable(self) -> list[KeyRange]:
        """Return the unowned ranges without an assignment that is still to be recorded."""
        return [key_range for key_range in self.ranges if key_range.state is UNOWNED and key_range.recorded]

    def assign(self, key_range: KeyRange, server: ShardServer) -> None:
        """Assign an unowned range to `server`, which is sent grants once that is recorded."""
        if key_range.server != server.name:
            self.moved_keys += key_range.key_count
        key_range.assign(server.name, server.address, self._next_token())

    def start_release(self, now: int, key_range: KeyRange, successor: str | None) -> None:
        """Start the release of a held range; it is assigned to `successor` next if one is known."""
        if key_range.state is HELD:
            key_range.start_release(now, successor)
            self._pending_effects.append(KeyRangeReleasing(key_range))

    def to_record(self) -> list[RecordedKeyRange]:
        """Return all ranges as they are recorded in the log."""
        return [key_range.to_record() for key_range in self.ranges]

    # Events.

    def handle_server_list(self, now: int, servers: Iterable[ShardServer]) -> None:
        """Process the platform's list of this service's servers."""
        self.servers = {server.name: server for server in servers}
        addresses = {server.address for server in self.servers.values()}
        for key_range in self.ranges:
            if key_range.state is UNOWNED:
                continue
            server = self.servers.get(key_range.server)
            if server is None and key_range.address in addresses:
                self._handle_replaced_server(now, key_range)
            elif key_range.state is HELD and (server is None or not server.ready):
                self.start_release(now, key_range, None)
                if server is None:
                    key_range.mark_unowned(now)

    def _handle_replaced_server(self, now: int, key_range: KeyRange) -> None:
        """Mark the range as unowned: its server has ended, as another one is listed at its address."""
        key_range.lose_holder(now)
        key_range.held_until = 0
        key_range.answer_is_stale = key_range.call_in_flight

    def handle_recorded(self, now: int) -> None:
        """Allow grants of the ranges in the newest requested record, which is committed."""
        for key_range in self._being_recorded or ():
            key_range.recorded = True
            key_range.next_call_at = now
        self._being_recorded = None
        self._max_lease_ns = self._max_lease_being_recorded_ns

    def handle_call_ended(self, now: int, request: ServerRequest, result: ServerCallResult) -> None:
        """Process the result of a grant or release; ignore it if the server has ended."""
        key_range = request.key_range
        key_range.call_in_flight = False
        if key_range.answer_is_stale:
            key_range.answer_is_stale = False
            key_range.next_call_at = now
        elif isinstance(request, GrantKeyRange):
            self._handle_grant_ended(now, request, result)
        elif key_range.state is RELEASING:
            self._handle_release_ended(now, key_range, result)

    def _handle_grant_ended(self, now: int, grant: GrantKeyRange, result: ServerCallResult) -> None:
        outcome, key_range = outcome_of_grant(result), grant.key_range
        if outcome is CallOutcome.ANSWERED:
            key_range.held_until = max(key_range.held_until, latest_lease_end(now, grant.lease_ns))
            key_range.handover = None
            key_range.rejections = 0
            self._mark_owned(now, key_range)
            return
        if verdict(CallKind.GRANT, outcome).execution is not Execution.NOT_EXECUTED:
            ends_at = latest_lease_end(now + LATE_DELIVERY_NS, grant.lease_ns)
            key_range.held_until = max(key_range.held_until, ends_at)
        if result.status == FENCED:
            self._raise_fencing_token(now, key_range)
        else:
            key_range.next_call_at = now + RETRY_INTERVAL_NS

    def _handle_release_ended(self, now: int, key_range: KeyRange, result: ServerCallResult) -> None:
        """Process a release's result: only its own answer proves that the server no longer works on the keys."""
        if verdict(CallKind.RELEASE, outcome_of_release(result)).execution is Execution.EXECUTED:
            key_range.lose_holder(now, result.handover)
            key_range.held_until = 0
        else:
            key_range.next_call_at = now + RETRY_INTERVAL_NS

    def _mark_owned(self, now: int, key_range: KeyRange) -> None:
        """Record that the range's server holds its keys."""
        key_range.stall_reported = False
        if key_range.unowned_since is None or key_range.state is not HELD:
            return
        duration_ns = now - key_range.unowned_since
        key_range.unowned_since = None
        self.unowned_key_ns += duration_ns * key_range.key_count
        self._pending_effects.append(KeyRangeUnownedFor(key_range, duration_ns))

    def _raise_fencing_token(self, now: int, key_range: KeyRange) -> None:
        """Raise the range's fencing token, as the server has seen a higher one; it is recorded before it is used.

        After `MAX_REJECTIONS` consecutive rejections the range is released instead.
        """
        key_range.rejections += 1
        if key_range.rejections > MAX_REJECTIONS and key_range.state is HELD:
            self.start_release(now, key_range, None)
            return
        # In growing steps: the server may have seen tokens of a log that was lost with all disks.
        self.highest_token += 1 if key_range.rejections == 1 else FENCING_TOKENS_PER_TERM << key_range.rejections
        key_range.fencing_token = self.highest_token
        key_range.recorded = False

    # Effects.

    def tick(self, now: int) -> list[KeyRangesEffect]:
        """Return the effects that are due: grants, releases, records and pending notifications."""
        effects, self._pending_effects = self._pending_effects, []
        for key_range in self.ranges:
            if key_range.state is RELEASING and not key_range.call_in_flight and now >= key_range.held_until:
                key_range.lose_holder(now)
            if key_range.call_in_flight or not key_range.recorded or now < key_range.next_call_at:
                continue
            if key_range.state is HELD:
                effects.append(self._grant(now, key_range))
            elif key_range.state is RELEASING:
                effects.append(self._release(now, key_range))
        changed = [key_range for key_range in self.ranges if not key_range.recorded]
        longer_leases_wanted = bool(self.ranges) and self.terms.duration_ns > self._max_lease_ns
        if (changed or longer_leases_wanted) and self._being_recorded is None:
            effects.append(self._record(now, changed))
        return effects

    def _record(self, now: int, changed: list[KeyRange]) -> RecordKeyRanges:
        """Record all ranges and the bound of their leases, which is lowered only after longer leases have ended."""
        self._being_recorded = changed
        lowest_ns = LEASE_DURATION_NS if now >= self._long_leases_until else self._max_lease_ns
        self._max_lease_being_recorded_ns = max(self.terms.duration_ns, lowest_ns)
        return RecordKeyRanges(self.to_record(), self._max_lease_being_recorded_ns)

    def _grant(self, now: int, key_range: KeyRange) -> GrantKeyRange:
        """Grant the range by the current terms, limited by the recorded bound and the one being recorded."""
        key_range.call_in_flight = True
        key_range.next_call_at = now + self.terms.renewal_interval_ns
        lease_ns = min(self.terms.duration_ns, self._max_lease_ns, self._max_lease_being_recorded_ns)
        if lease_ns > LEASE_DURATION_NS:
            ends_at = latest_lease_end(now + MAX_QUEUED_NS + GRANT_TIMEOUT_NS + LATE_DELIVERY_NS, lease_ns)
            self._long_leases_until = max(self._long_leases_until, ends_at)
        return GrantKeyRange(key_range.server, key_range.address, key_range, lease_ns)

    def _release(self, now: int, key_range: KeyRange) -> ReleaseKeyRange:
        key_range.call_in_flight = True
        key_range.next_call_at = now + RELEASE_INTERVAL_NS
        key_range.fencing_token = self._next_token()  # the server rejects a grant that arrives after the release
        return ReleaseKeyRange(key_range.server, key_range.address, key_range)

    def _next_token(self) -> int:
        self.highest_token += 1
        return self.highest_token

    def newly_stalled(self, now: int) -> list[KeyRangeStalled]:
        """Return the ranges without a holder for `STALLED_AFTER_NS`, each once until it has a holder again."""
        stalled = [
            key_range
            for key_range in self.ranges
            if not key_range.stall_reported
            and key_range.unowned_since is not None
            and now - key_range.unowned_since >= STALLED_AFTER_NS
        ]
        for key_range in stalled:
            key_range.stall_reported = True
        return [KeyRangeStalled(key_range) for key_range in stalled]


def outcome_of_grant(result: ServerCallResult) -> CallOutcome:
    """Return the outcome of a grant as defined by `forwarding.retry_policy`.

    Servers refuse a grant with 400 or 409. Any other status proves nothing, so the grant counts as a lease.
    """
    if result.status is None:
        return CallOutcome.TIMEOUT if result.sent else CallOutcome.CONNECT_FAIL
    if result.status == GRANTED:
        return CallOutcome.ANSWERED
    return CallOutcome.NOT_EXECUTED if result.status in (INVALID, FENCED) else CallOutcome.SERVER_ERROR


def outcome_of_release(result: ServerCallResult) -> CallOutcome:
    """Return the outcome of a release as defined by `forwarding.retry_policy`.

    A release is answered with a handover: a 200 without one may be the answer to an older grant.
    """
    outcome = outcome_of_grant(result)
    return CallOutcome.MALFORMED if outcome is CallOutcome.ANSWERED and result.handover is None else outcome
