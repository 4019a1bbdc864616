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
from kestrelplank.decode import Malformed

FORM = 1  # of a snapshot
NO_VERSION = -1


class SnapshotForm(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot as it is encoded. `records`: services and their records, in the order of the services' names."""

    form: int
    configuration: PutConfiguration | None
    records: tuple[tuple[str, bytes], ...]


class ServiceOutline(msgspec.Struct, frozen=True):
    """What decides whether a service may have a record."""

    name: str
    sharded: bool = False


class Outline(msgspec.Struct, frozen=True):
    """The part of a configuration that decides which records there may be."""

    service_table: list[ServiceOutline]


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """What one entry changed. `in_force`: the configuration that took force with it; `dropped`: services whose records
    went with that; `record_of`: the service whose record is now the entry's."""

    in_force: PutConfiguration | None = None
    dropped: tuple[str, ...] = ()
    record_of: str | None = None

    @property
    def changed(self) -> bool:
        return self.in_force is not None or self.record_of is not None


NO_CHANGE = ApplyResult()


class ControlState:
    """The replicated state machine. Before the first configuration it holds nothing."""

    def __init__(self) -> None:
        self._configuration: PutConfiguration | None = None
        self._records: dict[str, bytes] = {}
        self._sharded: frozenset[str] | None = frozenset()
        self._parsed: Configuration | None = None
        self._parse_due = False

    @property
    def configuration(self) -> PutConfiguration | None:
        """The configuration in force."""
        return self._configuration

    @property
    def version(self) -> int:
        """Its version, NO_VERSION where none is in force."""
        return NO_VERSION if self._configuration is None else self._configuration.version

    @property
    def parsed(self) -> Configuration | None:
        """The configuration in force, compiled when first asked for. None where none is in force, and where this
        release refuses a text that the member which took the order had accepted."""
        if self._parse_due:
            self._parse_due = False
            self._parsed = parse_configuration(self._configuration.text).value_or(None)
        return self._parsed

    @property
    def records(self) -> Mapping[str, bytes]:
        """The record of each sharded service that has one."""
        return MappingProxyType(self._records)

    def holds(self, order: PutConfiguration) -> bool:
        """Whether the order's very text is in force."""
        held = self.configuration
        return held is not None and (held.version, held.digest) == (order.version, order.digest)

    def acknowledges(self, order: PutConfiguration) -> bool:
        """Whether its operator may be told 200: it is in force, or overtaken, or its number is taken."""
        return order.version <= self.version

    def apply(self, entry: Entry) -> ApplyResult:
        """Applies a committed entry; each index comes once, in order."""
        command = entry.command
        if isinstance(command, PutConfiguration):
            return self._put_configuration(command)
        if isinstance(command, PutRecord):
            return self._put_record(command)
        return NO_CHANGE  # memberships count from when they are in the log: the consensus core holds them

    def snapshot(self) -> bytes:
        """The whole state, the same bytes at each member that applied the same entries."""
        records = tuple(sorted(self._records.items()))
        return msgspec.msgpack.encode(SnapshotForm(FORM, self._configuration, records))

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by that of `snapshot`. Raises Malformed where it can't be read; then nothing changed."""
        found = decoded(snapshot)
        self._hold(found.configuration)
        self._records = dict(found.records)

    def _put_configuration(self, order: PutConfiguration) -> ApplyResult:
        if self.acknowledges(order):
            return NO_CHANGE
        self._hold(order)
        dropped = tuple(service for service in sorted(self._records) if not self._may_have_record(service))
        for service in dropped:
            del self._records[service]
        return ApplyResult(in_force=order, dropped=dropped)

    def _put_record(self, command: PutRecord) -> ApplyResult:
        if not self._may_have_record(command.service):
            return NO_CHANGE
        self._records[command.service] = command.record
        return ApplyResult(record_of=command.service)

    def _hold(self, order: PutConfiguration | None) -> None:
        self._configuration = order
        self._sharded = frozenset() if order is None else sharded_services(order.text)
        self._parsed = None
        self._parse_due = order is not None

    def _may_have_record(self, service: str) -> bool:
        return self._sharded is None or service in self._sharded


def sharded_services(text: bytes) -> frozenset[str] | None:
    """The services that a configuration shards, without reading the rest; None where the text does not tell."""
    try:
        outline = msgspec.json.decode(text, type=Outline)
    except (msgspec.DecodeError, RecursionError):
        return None
    return frozenset(service.name for service in outline.service_table if service.sharded)


def decoded(snapshot: bytes) -> SnapshotForm:
    """A snapshot's content. Raises Malformed."""
    try:
        found = msgspec.msgpack.decode(snapshot, type=SnapshotForm)
    except msgspec.DecodeError as err:
        raise Malformed(f"snapshot of the control state: {err}") from err
    if found.form != FORM:
        raise Malformed(f"snapshot of the control state: form {found.form} is not known, {FORM} is")
    return found
