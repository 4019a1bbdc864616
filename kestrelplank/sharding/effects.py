"""Effects that the leader's key ranges request, and the result of a call to a server."""

import msgspec

from kestrelplank.sharding.key_range import KeyRange, RecordedKeyRange
from kestrelplank.sharding.timing import LEASE_DURATION_NS


class GrantKeyRange(msgspec.Struct, frozen=True):
    """Send the server a grant of the keys or a lease renewal; then call `KeyRanges.handle_call_ended`.

    `server` and `address` are copied from the range, which may be assigned to another server during the call.

    :param lease_ns: how long the server may hold the keys, counted from the arrival of the grant.
    """

    server: str
    address: str
    key_range: KeyRange
    lease_ns: int = LEASE_DURATION_NS


class ReleaseKeyRange(msgspec.Struct, frozen=True):
    """Ask the server to release the keys; then call `KeyRanges.handle_call_ended`."""

    server: str
    address: str
    key_range: KeyRange


class RecordKeyRanges(msgspec.Struct, frozen=True):
    """Commit all ranges with their servers to the log; then call `KeyRanges.handle_recorded`.

    :param max_lease_ns: upper bound of all leases that are running or are granted under this record.
    """

    ranges: list[RecordedKeyRange]
    max_lease_ns: int = LEASE_DURATION_NS


class KeyRangeReleasing(msgspec.Struct, frozen=True):
    """The release of the range has started: edge machines should be notified."""

    key_range: KeyRange


class KeyRangeUnownedFor(msgspec.Struct, frozen=True):
    """The keys have a holder again, after `duration_ns` without one."""

    key_range: KeyRange
    duration_ns: int


class KeyRangeStalled(msgspec.Struct, frozen=True):
    """The keys have had no holder for `STALLED_AFTER_NS`. Returned by `KeyRanges.newly_stalled`."""

    key_range: KeyRange


ServerRequest = GrantKeyRange | ReleaseKeyRange
# The effects that `KeyRanges.tick` returns.
KeyRangesEffect = ServerRequest | RecordKeyRanges | KeyRangeReleasing | KeyRangeUnownedFor


class ServerCallResult(msgspec.Struct, frozen=True):
    """The result of a grant or release.

    :param sent: at least a part of the request was sent.
    :param status: the response's HTTP status; None without a complete response.
    :param handover: data in the response that is for the next holder.
    """

    sent: bool
    status: int | None = None
    handover: str | None = None
