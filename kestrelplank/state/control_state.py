"""The replicated state of the control members: what the log's entries, applied in order, add up to.

No I/O, no clock, no chance: members that applied the same entries hold the same state, and their snapshots are the same
bytes. The state is bounded by the configuration in force: one configuration, and one record for each service that it
shards.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.log_entries import Entry, PutConfiguration, PutRecord
from kestrelplank.decode import MalformedError

SNAPSHOT_FORMAT = 1
NO_VERSION = -1


class SnapshotContent(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot as it is encoded: the order of the fields is the format on disk and on the wire.

    :param format_version: `SNAPSHOT_FORMAT`.
    :param records: services and their records, in the order of the services' names.
    """

    format_version: int
    configuration: PutConfiguration | None
    records: tuple[tuple[str, bytes], ...]


class ServiceOutline(msgspec.Struct, frozen=True):
    """The part of a service that decides whether it may have a record."""

    name: str
    sharded: bool = False


class ConfigurationOutline(msgspec.Struct, frozen=True):
    """The part of a configuration, as the operator sent it, that decides which services may have records."""

    service_table: list[ServiceOutline]


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """What one entry changed.

    :param in_force: the configuration that the entry put in force.
    :param dropped: services whose records were removed with that.
    :param recorded_service: the service whose record is now the entry's.
    """

    in_force: PutConfiguration | None = None
    dropped: tuple[str, ...] = ()
    recorded_service: str | None = None

    @property
    def changed(self) -> bool:
        """Whether the entry changed anything."""
        return self.in_force is not None or self.recorded_service is not None


NO_CHANGE = ApplyResult()


class ControlState:
    """The replicated state machine. Before the first configuration it holds nothing.

    What holds at all times, and the test of each (`tests/state/test_control_state.py`):

    - The version in force never falls, and a version has one text, the first that came:
      `test_the_version_never_falls_and_the_state_stays_bounded`.
    - Members that applied the same entries have snapshots of the same bytes, also after a restore:
      `test_a_snapshot_holds_the_complete_state`.
    - A snapshot that can't be read changes nothing: `test_a_snapshot_that_cannot_be_read_changes_nothing`.
    """

    def __init__(self) -> None:
        self._configuration: PutConfiguration | None = None
        self._records: dict[str, bytes] = {}
        self._sharded_services: frozenset[str] | None = frozenset()  # None: any service may be
        self._parsed: Configuration | None = None
        self._parse_pending = False

    @property
    def configuration(self) -> PutConfiguration | None:
        """The configuration in force."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force; `NO_VERSION` where none is."""
        return NO_VERSION if self._configuration is None else self._configuration.version

    @property
    def parsed(self) -> Configuration | None:
        """The configuration in force, parsed when first asked for.

        None where none is in force, and where this release rejects a text that the member which took the order had
        accepted.
        """
        if self._parse_pending and self._configuration is not None:
            self._parse_pending = False
            self._parsed = parse_configuration(self._configuration.text).value_or(None)
        return self._parsed

    @property
    def records(self) -> Mapping[str, bytes]:
        """The record of each sharded service that has one."""
        return MappingProxyType(self._records)

    def is_in_force(self, order: PutConfiguration) -> bool:
        """Whether the order's very text is in force."""
        in_force = self._configuration
        return in_force is not None and (in_force.version, in_force.digest) == (order.version, order.digest)

    def is_decided(self, order: PutConfiguration) -> bool:
        """Whether the operator may be told that the order is decided.

        It is in force, or a higher version is, or its version has another text: it can't come into force any more.
        """
        return order.version <= self.version

    def apply(self, entry: Entry) -> ApplyResult:
        """Apply a committed entry; each index comes once, in order."""
        command = entry.command
        if isinstance(command, PutConfiguration):
            return self._put_configuration(command)
        if isinstance(command, PutRecord):
            return self._put_record(command)
        return NO_CHANGE  # a membership is in effect from when it is in the log: the consensus core keeps it

    def snapshot(self) -> bytes:
        """Return the complete state, the same bytes at each member that applied the same entries."""
        records = tuple(sorted(self._records.items()))
        return msgspec.msgpack.encode(SnapshotContent(SNAPSHOT_FORMAT, self._configuration, records))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of `snapshot`.

        :raises MalformedError: it can't be read; then nothing has changed.
        """
        content = decode_snapshot(snapshot)
        self._set_configuration(content.configuration)
        self._records = dict(content.records)

    def _put_configuration(self, order: PutConfiguration) -> ApplyResult:
        if self.is_decided(order):
            return NO_CHANGE
        self._set_configuration(order)
        dropped = tuple(service for service in sorted(self._records) if not self._may_have_record(service))
        for service in dropped:
            del self._records[service]
        return ApplyResult(in_force=order, dropped=dropped)

    def _put_record(self, command: PutRecord) -> ApplyResult:
        if not self._may_have_record(command.service):
            return NO_CHANGE
        self._records[command.service] = command.record
        return ApplyResult(recorded_service=command.service)

    def _set_configuration(self, order: PutConfiguration | None) -> None:
        self._configuration = order
        self._sharded_services = frozenset() if order is None else sharded_services(order.text)
        self._parsed = None
        self._parse_pending = order is not None

    def _may_have_record(self, service: str) -> bool:
        return self._sharded_services is None or service in self._sharded_services


def sharded_services(text: bytes) -> frozenset[str] | None:
    """Return the services that a configuration shards, without reading the rest; None where the text does not say."""
    try:
        outline = msgspec.json.decode(text, type=ConfigurationOutline)
    except (msgspec.DecodeError, RecursionError):
        return None
    return frozenset(service.name for service in outline.service_table if service.sharded)


def decode_snapshot(snapshot: bytes) -> SnapshotContent:
    """Return a snapshot's content.

    :raises MalformedError: it can't be read, or is of an unknown form.
    """
    try:
        content = msgspec.msgpack.decode(snapshot, type=SnapshotContent)
    except msgspec.DecodeError as err:
        raise MalformedError(f"snapshot of the control state: {err}") from err
    if content.format_version != SNAPSHOT_FORMAT:
        raise MalformedError(
            f"snapshot of the control state: form {content.format_version} is not known, {SNAPSHOT_FORMAT} is"
        )
    return content
