"""All key ranges of one sharded service while this member leads.

No I/O: `tick` returns effects, and the adapter checks the leader's lease once more right before it sends a grant.
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
MAX_REFUSALS = 24  # grants refused in a row, each followed by a higher fencing token, before another server is tried
GRANTED, FENCED = 200, 409  # statuses of a server's answers
CLIENT_ERROR = 4  # first digit of a status by which the server says that it did nothing

# As module names, since `tick` compares them for every range 20 times a second.
HELD, RELEASING, UNOWNED = KeyRangeState.HELD, KeyRangeState.RELEASING, KeyRangeState.UNOWNED


class KeyRanges:
    """All key ranges of one service, in the order of their keys.

    What keeps two servers from holding a key at once:

    - A recorded range names the only server that may have been granted its keys. It is committed in the log before the
      first grant goes out (`test_neighbours_of_one_server_become_one_range_under_a_token_above_both`,
      `test_each_safeguard_left_out_is_found_with_a_shortest_trace`, defect "no record").
    - Another server gets the keys only after the old one answered the release
      (`test_only_its_own_answer_ends_a_release`), or after every lease has surely ended
      (`test_a_release_that_is_never_answered_is_waited_for_and_no_longer_than_the_lease`). A call without an answer may
      have arrived, as late as `LATE_DELIVERY_NS` after it was reset
      (`test_a_grant_that_may_have_arrived_may_hold_the_keys`).
    - Fencing tokens grow with the leader's term and with each change, so a server that has heard from us refuses what a
      former leader, or a former call of ours, still sends it
      (`test_fencing_tokens_after_everything_was_lost_but_the_servers_live`).
    - An answer to a call counts only for the server that it went to
      (`test_the_answer_of_a_server_that_is_gone_counts_for_nothing`).

    - A lease longer than the recorded bound is granted only once a higher bound is committed, and the bound is lowered
      only after every longer lease has surely ended, so a new leader knows how long leases may run
      (`test_longer_leases_are_granted_only_once_their_length_is_recorded`,
      `test_the_recorded_length_of_leases_falls_only_when_no_longer_one_can_run`).

    `terms`: of the leases that are wanted now; set by the owner.

    :param term: the leader's term in the log.
    :param recorded: the ranges that were recorded last; None or empty if none ever were.
    :param max_lease_ns: the longest lease that may have been granted by that record.
    """

    def __init__(
        self,
        now: int,
        term: int,
        recorded: Sequence[RecordedKeyRange] | None,
        max_lease_ns: int = LEASE_DURATION_NS,
    ) -> None:
        recorded = recorded or ()
        # Recorded tokens may be above those of their leader's term: `_handle_fenced` raises them in large steps.
        token_term = max(term, *(known.fencing_token // FENCING_TOKENS_PER_TERM + 1 for known in recorded), 0)
        self.highest_token = token_term * FENCING_TOKENS_PER_TERM
        self.ranges = [KeyRange(*known) for known in recorded]
        for key_range in self.ranges:  # the former leader may have renewed each until just now
            key_range.held_until = latest_lease_end(now + GRANT_TIMEOUT_NS + LATE_DELIVERY_NS, max_lease_ns)
        self.terms = LeaseTerms(LEASE_DURATION_NS, RENEWAL_INTERVAL_NS)
        self._max_lease_ns = max_lease_ns  # as recorded
        self._max_lease_being_recorded_ns = max_lease_ns
        # When every lease has surely ended that is longer than those of ordinary terms.
        self._long_leases_until = max((key_range.held_until for key_range in self.ranges), default=0)
        self.servers: dict[str, ShardServer] = {}
        self.moved_keys = 0  # keys that changed server
        self.unowned_key_ns = 0  # sum over keys of the time that they had no holder
        self._being_recorded: list[KeyRange] | None = None
        self._pending_effects: list[KeyRangesEffect] = []

    # Changes that the placement asks for.

    def create_initial_ranges(self, count: int) -> None:
        """Make `count` unowned ranges of equal length, as nothing was ever recorded."""
        for number in range(count):
            key_range = KeyRange(KEY_COUNT * number // count, KEY_COUNT * (number + 1) // count - 1, "", "", 0)
            key_range.state = UNOWNED
            self.ranges.append(key_range)

    def split(self, key_range: KeyRange, at: int) -> KeyRange:
        """Make the keys from `at` on a range of their own, and return it. Not while a call is in flight."""
        upper = key_range.split(at)
        self.ranges.insert(self.ranges.index(key_range) + 1, upper)
        return upper

    def can_merge(self, lower: KeyRange, upper: KeyRange) -> bool:
        """Whether `upper`, the range behind `lower`, can become part of it: one server holds both, undisturbed."""
        return lower.server == upper.server and lower.can_merge() and upper.can_merge()

    def merge(self, lower: KeyRange, upper: KeyRange) -> None:
        """Make `upper` part of `lower`, under a fencing token above both, which is recorded before it is used."""
        lower.last = upper.last
        lower.fencing_token = self._next_token()
        lower.recorded = False
        lower.handover = None
        lower.held_until = max(lower.held_until, upper.held_until)
        self.ranges.remove(upper)

    def assignable(self) -> list[KeyRange]:
        """Return the ranges that nobody holds and that are not being recorded for a server."""
        return [key_range for key_range in self.ranges if key_range.state is UNOWNED and key_range.recorded]

    def assign(self, key_range: KeyRange, server: ShardServer) -> None:
        """Give an unowned range to `server`, which gets grants once that is recorded."""
        if key_range.server != server.name:
            self.moved_keys += key_range.key_count
        key_range.assign(server.name, server.address, self._next_token())

    def start_release(self, now: int, key_range: KeyRange, successor: str | None) -> None:
        """Take a held range from its server, for `successor` if one is known."""
        if key_range.state is HELD:
            key_range.start_release(now, successor)
            self._pending_effects.append(KeyRangeReleasing(key_range))

    def to_record(self) -> list[RecordedKeyRange]:
        """Return all ranges as the log is to keep them."""
        return [key_range.to_record() for key_range in self.ranges]

    # Events.

    def handle_server_list(self, now: int, servers: Iterable[ShardServer]) -> None:
        """Take the platform's list of this service's servers."""
        self.servers = {server.name: server for server in servers}
        addresses = {server.address for server in self.servers.values()}
        for key_range in self.ranges:
            if key_range.state is UNOWNED:
                continue
            server = self.servers.get(key_range.server)
            if server is None and key_range.address in addresses:
                self._handle_server_replaced(now, key_range)
            elif key_range.state is HELD and (server is None or not server.ready):
                self.start_release(now, key_range, None)
                if server is None:
                    key_range.mark_unowned(now)

    def _handle_server_replaced(self, now: int, key_range: KeyRange) -> None:
        """Take the range from its server at once, which has ended: another one is listed at its address."""
        key_range.lose_holder(now)
        key_range.held_until = 0
        key_range.answer_is_stale = key_range.call_in_flight

    def handle_recorded(self, now: int) -> None:
        """Let grants go out by the record that was asked for last, as it is committed."""
        for key_range in self._being_recorded or ():
            key_range.recorded = True
            key_range.next_call_at = now
        self._being_recorded = None
        self._max_lease_ns = self._max_lease_being_recorded_ns

    def handle_call_ended(self, now: int, request: ServerRequest, result: ServerCallResult) -> None:
        """Take the end of a grant or release, unless it was that of a server that has ended."""
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
            key_range.refusals = 0
            self._handle_served(now, key_range)
            return
        if verdict(CallKind.GRANT, outcome).execution is not Execution.NOT_EXECUTED:
            ends_at = latest_lease_end(now + LATE_DELIVERY_NS, grant.lease_ns)
            key_range.held_until = max(key_range.held_until, ends_at)
        if result.status == FENCED:
            self._handle_fenced(now, key_range)
        else:
            key_range.next_call_at = now + RETRY_INTERVAL_NS

    def _handle_release_ended(self, now: int, key_range: KeyRange, result: ServerCallResult) -> None:
        """Only the release's own answer proves that the work on these keys has ended."""
        if verdict(CallKind.RELEASE, outcome_of_release(result)).execution is Execution.EXECUTED:
            key_range.lose_holder(now, result.handover)
            key_range.held_until = 0
        else:
            key_range.next_call_at = now + RETRY_INTERVAL_NS

    def _handle_served(self, now: int, key_range: KeyRange) -> None:
        """Note that the range's server holds its keys."""
        key_range.stall_reported = False
        if key_range.unowned_since is None or key_range.state is not HELD:
            return
        duration_ns = now - key_range.unowned_since
        key_range.unowned_since = None
        self.unowned_key_ns += duration_ns * key_range.key_count
        self._pending_effects.append(KeyRangeUnownedFor(key_range, duration_ns))

    def _handle_fenced(self, now: int, key_range: KeyRange) -> None:
        """Give the range a higher fencing token, as the server has seen a higher one; it is recorded before it is used.

        After `MAX_REFUSALS` in a row the range is taken from that server instead.
        """
        key_range.refusals += 1
        if key_range.refusals > MAX_REFUSALS and key_range.state is HELD:
            self.start_release(now, key_range, None)
            return
        # In growing steps, as it may have seen the tokens of a system whose disks are all lost.
        self.highest_token += 1 if key_range.refusals == 1 else FENCING_TOKENS_PER_TERM << key_range.refusals
        key_range.fencing_token = self.highest_token
        key_range.recorded = False

    # Effects.

    def tick(self, now: int) -> list[KeyRangesEffect]:
        """Return the grants, releases and records that are due, after what happened since the last tick."""
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
        """Record all ranges, and the bound of their leases: it falls only when no longer lease can run any more."""
        self._being_recorded = changed
        lowest_ns = LEASE_DURATION_NS if now >= self._long_leases_until else self._max_lease_ns
        self._max_lease_being_recorded_ns = max(self.terms.duration_ns, lowest_ns)
        return RecordKeyRanges(self.to_record(), self._max_lease_being_recorded_ns)

    def _grant(self, now: int, key_range: KeyRange) -> GrantKeyRange:
        """Grant the range by the terms of now, within what is recorded, and within what is being recorded."""
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
        key_range.fencing_token = self._next_token()  # a grant that arrives after it meets a higher token
        return ReleaseKeyRange(key_range.server, key_range.address, key_range)

    def _next_token(self) -> int:
        self.highest_token += 1
        return self.highest_token

    def newly_stalled(self, now: int) -> list[KeyRangeStalled]:
        """Return the ranges that have had no holder for long, each once until it has one again."""
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
    """Return what the end of a grant shows, in the terms of `forwarding.retry_policy`."""
    if result.status is None:
        return CallOutcome.TIMEOUT if result.sent else CallOutcome.CONNECT_FAIL
    if result.status == GRANTED:
        return CallOutcome.ANSWERED
    return CallOutcome.NOT_EXECUTED if result.status // 100 == CLIENT_ERROR else CallOutcome.SERVER_ERROR


def outcome_of_release(result: ServerCallResult) -> CallOutcome:
    """Return what the end of a release shows.

    A release is answered with a handover: a 200 without one is not its answer, but may be an older grant's.
    """
    outcome = outcome_of_grant(result)
    return CallOutcome.MALFORMED if outcome is CallOutcome.ANSWERED and result.handover is None else outcome
