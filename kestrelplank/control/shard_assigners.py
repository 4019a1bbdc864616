"""The shard assigners of all sharded services: one `ShardAssigner` each while this member leads. No I/O."""

from dataclasses import dataclass
from random import Random
from typing import assert_never

from kestrelplank.consensus.log_entries import Entry, PutRecord
from kestrelplank.control.effects import CallServer, PushToEdges
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assigner import CommitRecord, PushKeyRanges, ShardAssigner, ShardAssignerEffect
from kestrelplank.sharding.effects import (
    GrantKeyRange,
    KeyRangeStalled,
    KeyRangeUnownedFor,
    ReleaseKeyRange,
    ServerCallResult,
)
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.sharding.timing import latest_lease_end
from kestrelplank.state.control_state import REMOVED_RECORD
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import KeyRangesVersion, LoadReport
from kestrelplank.transport.server_list import READY, ServerList

DEFAULT_LATENCY_TARGET_NS = SECOND  # for a service without routes
RECORD_RETENTION_NS = 600 * SECOND  # of a service that left the configuration, before its leases are waited for


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """The log index and term of a service's record that is proposed but not committed yet."""

    index: int
    term: int


class ShardAssigners:
    """The assigners of all sharded services that this member has assigned keys for since it leads.

    The assigner of a service that leaves the configuration is suspended: it sends nothing, but keeps its leases,
    fencing tokens and version, as servers hold the keys until their leases end and edge machines compare versions. It
    goes on if the service comes back (`test_a_sharded_service_that_leaves_and_comes_back_keeps_its_servers`). The
    record of a service that stays away is removed once its leases have certainly ended.

    :param servers: the platform's list of servers.
    :param max_key_lease_ns: the longest lease on keys that servers accept.
    """

    def __init__(self, random: Random, replica: Replica, servers: ServerList, max_key_lease_ns: int) -> None:
        self._random = random
        self._max_key_lease_ns = max_key_lease_ns
        self._replica = replica
        self._servers = servers
        self.by_service: dict[str, ShardAssigner] = {}  # of the services that the configuration in force shards
        self._suspended: dict[str, ShardAssigner] = {}
        self._absent_since: dict[str, int] = {}  # services with a record that the configuration does not shard
        self._last_record_number = 0  # bound of the numbers used for services whose record was removed
        self._pending_records: dict[str, PendingRecord] = {}

    def leading_assigner(self, now: int, service: str) -> ShardAssigner | None:
        """Return the service's assigner; None if this member does not lead or has not started one."""
        return self.by_service.get(service) if self._replica.node.leads(now) else None

    def stop_leading(self) -> None:
        """Drop the assigners of all services, as this member no longer leads."""
        for service in self.by_service:
            self._log_stopped(service, "this member no longer leads")
        self.by_service.clear()
        self._suspended.clear()
        self._absent_since.clear()
        self._pending_records.clear()

    def handle_configuration(self) -> None:
        """Handle a new configuration in force: suspend the assigners of services that it does not shard."""
        services = self._replica.sharded_services()
        for service in [service for service in self.by_service if service not in services]:
            self._suspended[service] = self.by_service.pop(service)
            self._log_stopped(service, "the configuration in force does not shard it")
            if service not in self._replica.state.records and service not in self._pending_records:
                self._forget(service)

    def _log_stopped(self, service: str, reason: str) -> None:
        self._replica.log(f"{service}: no longer assigning its key ranges, as {reason}")

    # Events.

    def tick(self, now: int) -> None:
        """Do the leader's work that is due; start assigners for services that have none."""
        services = self._replica.sharded_services()
        self._remove_unused_records(now, services)
        self.resume(now)
        if self._servers.fetched_at is None:
            return
        for service in services:
            assigner = self.by_service.get(service)
            if assigner is None:
                assigner = self._start_assigner(now, service)
            self._tick(now, assigner)

    def resume(self, now: int) -> None:
        """Let suspended assigners go on whose services are back, so that these are served at once.

        Called only when all committed entries known here are applied.
        """
        if not self._suspended or not self._replica.node.leads(now):
            return
        for service in self._replica.sharded_services():
            assigner = self._suspended.pop(service, None)
            if assigner is not None:
                self.by_service[service] = assigner
                self._replica.log(f"{service}: assigning its key ranges again, as the configuration shards it again")
                self._replica.emit(PushToEdges(assigner.full_update()))
                self._tick(now, assigner)

    def handle_call_ended(self, now: int, call: CallServer, result: ServerCallResult) -> None:
        """Handle the result of a grant or release."""
        assigner = self._assigner_of(call.service)
        if assigner is not None and assigner.handle_call_ended(now, call.request, result):
            self._tick(now, assigner)

    def handle_record_committed(self, now: int, entry: Entry, command: PutRecord) -> None:
        """Handle a committed record; if it is the last one that this member proposed, grants may follow."""
        service = command.service
        if service not in self._replica.state.records:
            self._forget(service)
            return
        pending, assigner = self._pending_records.get(service), self._assigner_of(service)
        if pending is None or assigner is None or (pending.index, pending.term) != (entry.index, entry.term):
            return
        del self._pending_records[service]
        push = assigner.handle_record_committed(now)
        if self._replica.node.leads(now):
            self._replica.emit(PushToEdges(push.message))
            self._tick(now, assigner)

    def _forget(self, service: str) -> None:
        """Drop the suspended assigner of a service without a record: no server has its keys.

        The record was removed, or it was proposed too late: the configuration had dropped the service before.
        """
        assigner = self._suspended.pop(service, None)
        if assigner is None:
            return
        self._pending_records.pop(service, None)
        # A later assigner in this term uses higher numbers, as edge machines may have versions with these.
        self._last_record_number = max(self._last_record_number, assigner.last_record_number + 1)

    def handle_server_list(self, now: int) -> None:
        """Handle a change of the platform's list of servers."""
        for service, assigner in (*self.by_service.items(), *self._suspended.items()):
            assigner.handle_server_list(now, self._servers_of(service))

    def handle_load_report(self, now: int, report: LoadReport) -> None:
        """Pass an edge machine's load report to the placement of its service."""
        assigner = self.by_service.get(report.service)
        if assigner is not None:
            assigner.placement.handle_load_report(now, report.keys, report.servers)

    # Effects.

    def _start_assigner(self, now: int, service: str) -> ShardAssigner:
        term = self._replica.node.term
        assigner = self.by_service[service] = ShardAssigner(
            now,
            service,
            KeyRangesVersion(term, self._last_record_number),
            self._replica.record(service),
            self._servers_of(service),
            self._latency_target_ns(service),
            self._random.getrandbits(32),
            self._max_key_lease_ns,
        )
        self._replica.log(f"{service}: assigning its key ranges, as this member leads term {term}")
        self._replica.emit(PushToEdges(assigner.full_update()))
        return assigner

    def _assigner_of(self, service: str) -> ShardAssigner | None:
        """Return the service's assigner, suspended or not; None if there is none."""
        return self.by_service.get(service) or self._suspended.get(service)

    def _remove_unused_records(self, now: int, services: list[str]) -> None:
        """Propose to remove the records of services that left the configuration long ago, so that the state is bounded.

        None is proposed while an entry is not applied: a configuration before the removal could bring the service back.

        :param services: those that the configuration in force shards.
        """
        absent = sorted(self._replica.state.records.keys() - services)
        self._absent_since = {service: self._absent_since.get(service, now) for service in absent}
        if not self._replica.has_applied_all():
            return
        for service in absent:
            retained_until = self._absent_since[service] + RECORD_RETENTION_NS
            if now >= latest_lease_end(retained_until, self._replica.record(service).max_lease_ns):
                self._absent_since[service] = now  # proposed again if this proposal is lost
                self._replica.propose(now, PutRecord(service, REMOVED_RECORD))

    def _tick(self, now: int, assigner: ShardAssigner) -> None:
        """Do the work that is due for a service's key ranges; none while its assigner is suspended."""
        if not self._replica.node.leads(now) or assigner.service not in self.by_service:
            return
        voter_missing = self._replica.node.voter_missing(now)
        for effect in assigner.tick(now, self._servers.changed_at, voter_missing=voter_missing):
            self._carry_out(now, assigner.service, effect)

    def _carry_out(self, now: int, service: str, effect: ShardAssignerEffect) -> None:
        match effect:
            case CommitRecord(record):
                index = self._replica.propose(now, PutRecord(service, record))
                if index is not None:  # None: this member no longer leads and will drop the assigner
                    self._pending_records[service] = PendingRecord(index, self._replica.node.term)
            case PushKeyRanges(message):
                self._replica.emit(PushToEdges(message))
            case GrantKeyRange() | ReleaseKeyRange():
                self._replica.emit(CallServer(service, effect, self._replica.node.lease_until))
            case KeyRangeUnownedFor(keys, duration_ns):
                duration_s = duration_ns / SECOND
                self._replica.log(f"{service}: keys {keys.first}-{keys.last} had no holder for {duration_s:.3f} s")
            case KeyRangeStalled(keys):
                last_holder = keys.server or "none"
                self._replica.log(
                    f"{service}: keys {keys.first}-{keys.last} still have no holder, last holder: {last_holder}"
                )
            case _:
                assert_never(effect)

    def _servers_of(self, service: str) -> list[ShardServer]:
        fetched_at = self._servers.fetched_at or 0
        return [
            ShardServer(
                entry.server,
                entry.address,
                entry.zone,
                entry.slots,
                entry.state == READY,
                fetched_at + entry.warm_up_ns,
            )
            for entry in self._servers.entries.values()
            if entry.service == service
        ]

    def _latency_target_ns(self, service: str) -> int:
        """Return the shortest latency target of the routes that lead to the service."""
        configuration = self._replica.state.parsed
        assert configuration is not None, "a sharded service comes from the configuration in force"
        routes = [route for paths in configuration.routes_by_host.values() for route in paths.values()]
        targets = [
            route.latency_target_ns for route in routes if any(name == service for name, _ in route.traffic_split)
        ]
        return min(targets, default=DEFAULT_LATENCY_TARGET_NS)
