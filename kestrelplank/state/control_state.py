"""The replicated state machine of the control members, to which the entries of the log are applied in order.

No I/O, no clock, no randomness: members that applied the same entries have the same state, and their snapshots have the
same bytes. The state is bounded: one configuration, and one record for each service that it shards, or that an earlier
one sharded and whose record the leader has not removed yet.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.log_entries import AssignRole, Entry, FixUsage, PutConfiguration, PutRecord
from kestrelplank.decode import MalformedError
from kestrelplank.state.role_table import RoleAssignment, RoleTable
from kestrelplank.state.usage_ledger import LedgerContent, UsageLedger

SNAPSHOT_FORMAT = 1
REQUIRED_SNAPSHOT_FIELDS = 3  # later ones have defaults
NO_VERSION = -1
REMOVED_RECORD = b""
"""Record that removes the service's record. Older releases ignore it, as they have no record of such a service."""


class SnapshotContent(msgspec.Struct, frozen=True, array_like=True):
    """An encoded snapshot; the order of the fields is the format on disk and on the wire.

    :param format_version: `SNAPSHOT_FORMAT`.
    :param records: services and their records, in the order of the services' names.
    :param roles: the newest assignment of each singleton role, in the order of the roles.
    :param usage: None before the first window of usage is fixed.
    """

    format_version: int
    configuration: PutConfiguration | None
    records: tuple[tuple[str, bytes], ...]
    roles: tuple[RoleAssignment, ...] = ()
    usage: LedgerContent | None = None


class ServiceOutline(msgspec.Struct, frozen=True):
    """The fields of a service that decide whether it may have a record."""

    name: str
    sharded: bool = False


class ConfigurationOutline(msgspec.Struct, frozen=True):
    """The fields of an operator's configuration that decide which services may have records."""

    service_table: list[ServiceOutline]


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The changes made by one entry.

    :param in_force: the configuration that the entry put in force.
    :param recorded_service: the service whose record the entry set.
    :param removed_service: the service whose record the entry removed.
    :param unreported_windows: windows of usage that were dropped without a report, as too many were waiting.
    """

    in_force: PutConfiguration | None = None
    recorded_service: str | None = None
    removed_service: str | None = None
    unreported_windows: tuple[int, ...] = ()

    @property
    def changed(self) -> bool:
        """Whether the entry changed anything."""
        return (self.in_force, self.recorded_service, self.removed_service) != (None, None, None)


NO_CHANGE = ApplyResult()


class ControlState:
    """The replicated state machine; empty before the first configuration.

    Invariants, each with the test in `tests/state/test_control_state.py` that checks it:

    - The version in force never decreases, and a version has one text, the first one applied:
      `test_version_never_decreases_and_state_stays_bounded`.
    - Members that applied the same entries have snapshots with the same bytes, also after a restore:
      `test_snapshot_contains_the_complete_state`.
    - A snapshot that can't be decoded changes nothing: `test_undecodable_snapshot_changes_nothing`.
    - A record stays when its service leaves the configuration, as servers may hold its keys and edge machines have its
      version: `test_record_of_a_service_that_left_the_configuration_stays_until_it_is_removed`.
    """

    def __init__(self) -> None:
        self._configuration: PutConfiguration | None = None
        self._records: dict[str, bytes] = {}
        self.roles = RoleTable()
        self.usage = UsageLedger()
        self._sharded_services: frozenset[str] | None = frozenset()  # None: unknown, so any service may be
        self._parsed: Configuration | None = None  # while `_parse_pending`, of the former order
        self._parse_pending = False

    @property
    def configuration(self) -> PutConfiguration | None:
        """The configuration in force; None if there is none."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force; `NO_VERSION` if there is none."""
        return NO_VERSION if self._configuration is None else self._configuration.version

    @property
    def parsed(self) -> Configuration | None:
        """The configuration in force, parsed on first use.

        None if there is none, or if this release rejects a text that the release of the accepting member had accepted.
        """
        if self._parse_pending and self._configuration is not None:
            self._parse_pending = False
            self._parsed = parse_configuration(self._configuration.text, self._parsed).value_or(None)
        return self._parsed

    @property
    def records(self) -> Mapping[str, bytes]:
        """The record of each service that has one, whether or not the configuration in force shards it."""
        return MappingProxyType(self._records)

    def is_in_force(self, order: PutConfiguration) -> bool:
        """Whether the configuration in force has the order's version and text."""
        in_force = self._configuration
        return in_force is not None and (in_force.version, in_force.digest) == (order.version, order.digest)

    def is_decided(self, order: PutConfiguration) -> bool:
        """Whether the order is decided, so that the operator can be answered.

        Either it is in force, or it never will be: a higher version is in force, or its version with another text.
        """
        return order.version <= self.version

    def apply(self, entry: Entry) -> ApplyResult:
        """Apply a committed entry; the caller applies each index once, in order."""
        command = entry.command
        if isinstance(command, PutConfiguration):
            return self._put_configuration(command)
        if isinstance(command, PutRecord):
            return self._put_record(command)
        if isinstance(command, AssignRole):
            self.roles.apply(entry, command)
        if isinstance(command, FixUsage):
            return ApplyResult(unreported_windows=self.usage.apply(command))
        return NO_CHANGE  # the consensus core applies a membership as soon as it is in the log

    def snapshot(self) -> bytes:
        """Return the encoded state; members that applied the same entries return the same bytes."""
        records = tuple(sorted(self._records.items()))
        return encode_snapshot(
            SnapshotContent(SNAPSHOT_FORMAT, self._configuration, records, self.roles.content(), self.usage.content())
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of `snapshot`.

        :raises MalformedError: it can't be decoded; nothing has changed.
        """
        content = decode_snapshot(snapshot)
        self._set_configuration(content.configuration)
        self._records = dict(content.records)
        self.roles.restore(content.roles)
        self.usage.restore(content.usage)

    def _put_configuration(self, order: PutConfiguration) -> ApplyResult:
        if self.is_decided(order):
            return NO_CHANGE
        self._set_configuration(order)
        return ApplyResult(in_force=order)

    def _put_record(self, command: PutRecord) -> ApplyResult:
        if command.record == REMOVED_RECORD:
            return self._remove_record(command.service)
        # A record that was proposed before its service left the configuration still replaces the former one.
        if not self._may_be_sharded(command.service) and command.service not in self._records:
            return NO_CHANGE
        self._records[command.service] = command.record
        return ApplyResult(recorded_service=command.service)

    def _remove_record(self, service: str) -> ApplyResult:
        """Remove the record of a service; nothing changes if the service may be back in the configuration."""
        if self._may_be_sharded(service) or service not in self._records:
            return NO_CHANGE
        del self._records[service]
        return ApplyResult(removed_service=service)

    def _set_configuration(self, order: PutConfiguration | None) -> None:
        self._configuration = order
        self._sharded_services = frozenset() if order is None else sharded_services(order.text)
        self._parse_pending = order is not None
        if order is None:
            self._parsed = None

    def _may_be_sharded(self, service: str) -> bool:
        """Whether the configuration in force shards the service, as far as its text can be decoded."""
        return self._sharded_services is None or service in self._sharded_services


def sharded_services(text: bytes) -> frozenset[str] | None:
    """Return the services that a configuration shards, without parsing the rest; None if the text can't be decoded."""
    try:
        outline = msgspec.json.decode(text, type=ConfigurationOutline)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return frozenset(service.name for service in outline.service_table if service.sharded)


def encode_snapshot(content: SnapshotContent) -> bytes:
    """Return the bytes of a snapshot. Empty trailing fields are left out, so that older releases can read them."""
    values = list(msgspec.structs.astuple(content))
    while len(values) > REQUIRED_SNAPSHOT_FIELDS and not values[-1]:
        values.pop()
    return msgspec.msgpack.encode(values)


def decode_snapshot(snapshot: bytes) -> SnapshotContent:
    """Return a snapshot's content.

    :raises MalformedError: it can't be decoded, or its format version is not supported.
    """
    try:
        content = msgspec.msgpack.decode(snapshot, type=SnapshotContent)
    except msgspec.DecodeError as err:
        raise MalformedError(f"control state snapshot: {err}") from err
    if content.format_version != SNAPSHOT_FORMAT:
        raise MalformedError(
            f"control state snapshot: format version {content.format_version}, expected {SNAPSHOT_FORMAT}"
        )
    return content
