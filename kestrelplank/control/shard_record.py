"""The log record of a sharded service's key ranges, and its form for edge machines."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from kestrelplank.sharding.key_range import RecordedKeyRange
from kestrelplank.sharding.timing import LEASE_DURATION_NS
from kestrelplank.transport.messages import KeyRangesUpdate, KeyRangesVersion, RangeHolder


class ShardRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of one service. The order of the fields is the format on disk.

    :param term: of the leader that proposed it.
    :param number: of the record in that term.
    :param learned_speeds: measurements of servers, see `Placement.learned_speeds`.
    :param max_lease_ns: upper bound of the leases granted by this record. Omitted on disk if it is the default.
    """

    term: int
    number: int
    ranges: list[RecordedKeyRange]
    learned_speeds: dict[str, list[float]]
    max_lease_ns: int = LEASE_DURATION_NS

    @property
    def version(self) -> KeyRangesVersion:
        """The version of the key ranges at an edge machine whose last update was this record."""
        return KeyRangesVersion(self.term, self.number)


class LegacyShardRecord(msgspec.Struct, frozen=True, array_like=True):
    """The former record format, from before the replicated log was introduced."""

    ranges: list[RecordedKeyRange]
    learned_speeds: dict[str, list[float]]


Decoded = TypeVar("Decoded")

EMPTY_RECORD = ShardRecord(0, 0, [], {})
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: ShardRecord) -> bytes:
    """Return the record in its log format."""
    if record.max_lease_ns == LEASE_DURATION_NS:
        return _encoder.encode((record.term, record.number, record.ranges, record.learned_speeds))
    return _encoder.encode(record)


def read_record(data: bytes | None) -> ShardRecord:
    """Decode a record in the current or a former format: ranges and speeds, or only ranges.

    :param data: None if nothing was ever recorded.
    :raises ValueError: the bytes have none of these formats.
    """
    if data is None:
        return EMPTY_RECORD
    record = _decoded(data, ShardRecord)
    if record is not None:
        return record
    legacy_record = _decoded(data, LegacyShardRecord)
    if legacy_record is not None:
        return ShardRecord(0, 0, legacy_record.ranges, legacy_record.learned_speeds)
    ranges = _decoded(data, list[RecordedKeyRange])
    if ranges is not None:
        return ShardRecord(0, 0, ranges, {})
    raise ValueError("expected a key range record in the current or a former format")


def _decoded(data: bytes, expected_type: type[Decoded]) -> Decoded | None:
    """Decode these bytes as `expected_type`; None if they have another format."""
    try:
        return msgspec.msgpack.decode(data, type=expected_type)
    except msgspec.ValidationError:
        return None


def range_holders(ranges: Iterable[RecordedKeyRange]) -> list[RangeHolder]:
    """Return recorded ranges in the form that edge machines are sent."""
    return [RangeHolder(key_range.first, key_range.last, key_range.server, key_range.address) for key_range in ranges]


def key_ranges_update(service: str, record: ShardRecord) -> KeyRangesUpdate:
    """Return the update for edge machines that a member sends from a record when it does not lead."""
    return KeyRangesUpdate(service, record.version, range_holders(record.ranges))
