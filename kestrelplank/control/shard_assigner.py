"""The leader's decisions for one sharded service.

They are: which server holds which keys, which records are written to the log, and what edge machines are sent. No I/O.

Key ranges are recorded in the log (`CommitRecord`) before they are granted. Edge machines are sent a record once it is
committed, and ranges that are being released at once.
"""

from dataclasses import dataclass
from typing import assert_never

from kestrelplank.control.shard_record import ShardRecord, encode_record, range_holders
from kestrelplank.sharding.effects import (
    GrantKeyRange,
    KeyRangeReleasing,
    KeyRangeStalled,
    KeyRangeUnownedFor,
    RecordKeyRanges,
    ReleaseKeyRange,
    ServerCallResult,
    ServerRequest,
)
from kestrelplank.sharding.key_range import KEY_COUNT, KeyRange, KeyRangeState, RecordedKeyRange
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.lease_terms import LeaseTermsPolicy
from kestrelplank.sharding.placement import Placement
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.key_range_table import KeyRangeTable
from kestrelplank.transport.messages import KeyRangesDelta, KeyRangesUpdate, KeyRangesVersion, RangeHolder

DEFAULT_MAX_LEASE_NS = 10 * SECOND
FIRST_RANGES_PER_SERVER = 4
SERVER_LIST_STABLE_NS = 1600 * MILLISECOND
"""At the first start the list fills slowly; it counts as complete once it has not changed for this time."""


@dataclass(frozen=True, slots=True)
class CommitRecord:
    """Commit this record in the log, then call `ShardAssigner.handle_record_committed`."""

    record: bytes


@dataclass(frozen=True, slots=True)
class PushKeyRanges:
    """Send `message` to every edge machine."""

    message: KeyRangesUpdate | KeyRangesDelta


ShardAssignerEffect = CommitRecord | PushKeyRanges | ServerRequest | KeyRangeUnownedFor | KeyRangeStalled


class ShardAssigner:
    """Assigns the keys of one service to its servers while this member leads.

    :param since: the leader's term, and the number of the last record of the service in that term; 0: none.
    :param record: the newest record in the log.
    :param latency_target_ns: the target for the service's response times.
    :param seed: seed of the placement's random numbers.
    :param max_lease_ns: the longest lease that servers accept.
    """

    def __init__(
        self,
        now: int,
        service: str,
        since: KeyRangesVersion,
        record: ShardRecord,
        servers: list[ShardServer],
        latency_target_ns: int,
        seed: int,
        max_lease_ns: int = DEFAULT_MAX_LEASE_NS,
    ) -> None:
        self.service = service
        self.key_ranges = KeyRanges(now, since.term, record.ranges, record.max_lease_ns)
        self._lease_terms = LeaseTermsPolicy(max_lease_ns)
        self.key_ranges.handle_server_list(now, servers)
        self.placement = Placement(now, seed, self.key_ranges, latency_target_ns, record.learned_speeds)
        self._term, self.last_record_number = since.term, since.record
        self._committed = record
        self._proposed: ShardRecord | None = None
        # Above the record's: edge machines may have announcements of a former leader that this one doesn't know.
        self._version = since

    @property
    def version(self) -> KeyRangesVersion:
        """The version of the key ranges at an edge machine that received all updates."""
        return self._version

    def unowned_s(self) -> float:
        """Return how long keys had no holder since this member leads (s), weighted by their share of all keys."""
        return self.key_ranges.unowned_key_ns / KEY_COUNT / SECOND

    # Events.

    def handle_server_list(self, now: int, servers: list[ShardServer]) -> None:
        """Handle a change of the platform's list of servers."""
        self.key_ranges.handle_server_list(now, servers)
        self.placement.handle_server_list()

    def handle_call_ended(self, now: int, request: ServerRequest, result: ServerCallResult) -> bool:
        """Handle the result of a grant or release.

        Return whether `tick` must be called at once; after a renewal the next regular tick is soon enough.
        """
        if request.key_range not in self.key_ranges.ranges:
            return False
        self.key_ranges.handle_call_ended(now, request, result)
        return request.key_range.state is not KeyRangeState.HELD

    def handle_record_committed(self, now: int) -> PushKeyRanges:
        """Handle the commit of the last proposed record; its key ranges may now be granted."""
        assert self._proposed is not None
        record, self._proposed = self._proposed, None
        self.key_ranges.handle_recorded(now)
        changes = self._changes(record)
        base_version, self._committed, self._version = self._version, record, record.version
        return PushKeyRanges(KeyRangesDelta(self.service, base_version, self._version, changes))

    def _changes(self, record: ShardRecord) -> list[RangeHolder]:
        """Return the key ranges that `record` changes for edge machines.

        Ranges are compared with their fencing tokens, as a range may have left its server and returned to it.
        """
        known = {(old.first, old.last, old.fencing_token) for old in self._committed.ranges}
        holders = {
            key_range.first: key_range.server if key_range.state is KeyRangeState.HELD else ""
            for key_range in self.key_ranges.ranges
        }
        changes = []
        for new in record.ranges:
            if (new.first, new.last, new.fencing_token) in known:
                continue
            if holders.get(new.first, new.server) == new.server:
                changes.append(RangeHolder(new.first, new.last, new.server, new.address))
            else:  # it was released from that server after the record was proposed
                changes.append(without_holder(new))
        return changes

    # Effects.

    def tick(self, now: int, list_changed_at: int, *, voter_missing: bool = False) -> list[ShardAssignerEffect]:
        """Return the effects that are due. Only called while this member leads.

        :param list_changed_at: when the platform's list of servers last changed (ns).
        :param voter_missing: whether a voter of the replicated log has not replied recently.
        """
        if not self.key_ranges.ranges:
            if not self.key_ranges.servers or now - list_changed_at < SERVER_LIST_STABLE_NS:
                return []
            self.key_ranges.create_initial_ranges(FIRST_RANGES_PER_SERVER * len(self.key_ranges.servers))
        range_count = len(self.key_ranges.ranges)
        self.key_ranges.terms = self._lease_terms.terms(now, range_count, voter_missing=voter_missing)
        self.placement.tick(now)
        effects: list[ShardAssignerEffect] = []
        releasing: list[KeyRange] = []
        for effect in self.key_ranges.tick(now):
            match effect:
                case RecordKeyRanges():
                    effects.append(self._propose(effect))
                case KeyRangeReleasing(key_range):
                    releasing.append(key_range)
                case GrantKeyRange() | ReleaseKeyRange() | KeyRangeUnownedFor():
                    effects.append(effect)
                case _:
                    assert_never(effect)
        effects += self.key_ranges.newly_stalled(now)
        # Edge machines are notified of releasing ranges first, so that they hold requests for these keys back.
        return [self._push_releasing(releasing), *effects] if releasing else effects

    def _propose(self, due: RecordKeyRanges) -> CommitRecord:
        self.last_record_number += 1
        learned_speeds = self.placement.learned_speeds()
        self._proposed = ShardRecord(self._term, self.last_record_number, due.ranges, learned_speeds, due.max_lease_ns)
        return CommitRecord(encode_record(self._proposed))

    def _push_releasing(self, releasing: list[KeyRange]) -> PushKeyRanges:
        base_version = self._version
        self._version = KeyRangesVersion(base_version.term, base_version.record, base_version.notice + 1)
        in_order = sorted(releasing, key=lambda key_range: key_range.first)
        changes = [without_holder(key_range) for key_range in in_order]
        return PushKeyRanges(KeyRangesDelta(self.service, base_version, self._version, changes))

    def full_update(self) -> KeyRangesUpdate:
        """Return all recorded ranges, and those that left their servers since, for an edge machine that lacks some."""
        recorded = KeyRangeTable(self._version, range_holders(self._committed.ranges))
        releasing = []
        for key_range in self.key_ranges.ranges:
            holder = recorded.holder_of(key_range.first)
            if holder is not None and (key_range.state is not KeyRangeState.HELD or key_range.server != holder.server):
                releasing.append(without_holder(key_range))
        return KeyRangesUpdate(self.service, self._version, recorded.key_ranges, releasing)


def without_holder(key_range: KeyRange | RecordedKeyRange) -> RangeHolder:
    """Return this key range without a holder, in the form that edge machines are sent."""
    return RangeHolder(key_range.first, key_range.last, "", "")
