"""All sharded services as the leader decides for them: one `ShardAssigner` each while this member leads. No I/O."""

from dataclasses import dataclass
from random import Random

from kestrelplank.consensus.log_entries import Entry, PutRecord
from kestrelplank.control import shard_assignment
from kestrelplank.control.effects import CallServer, PushToEdges
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assignment import ShardAssigner
from kestrelplank.sharding.key_ranges import KeyRange, Server
from kestrelplank.transport.messages import LoadReport
from kestrelplank.transport.server_list import READY, ServerList

S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Laying:
    """A record of a service that is on its way into the log."""

    index: int
    term: int


class ShardAssigners:
    """`servers`: the platform's list."""

    def __init__(self, random: Random, replica: Replica, servers: ServerList) -> None:
        self._random, self._replica, self._servers = random, replica, servers
        self.by_service: dict[str, ShardAssigner] = {}
        self._laying: dict[str, Laying] = {}

    def decider(self, now: int, service: str) -> ShardAssigner | None:
        """Who decides for that service here, while this member leads."""
        return self.by_service.get(service) if self._replica.node.leads(now) else None

    def tick(self, now: int) -> None:
        """What a leader does in each tick; begins with services that it has not decided for yet."""
        if self._servers.fetched_at is None:
            return
        for service in self._replica.sharded():
            decider = self.by_service.get(service)
            if decider is None:
                decider = self._begin(now, service)
            self._work(now, decider)

    def called(
        self, now: int, service: str, action: str, line: KeyRange, sent: bool, status: int | None, handover: str | None
    ) -> None:
        """A grant or release has ended."""
        decider = self.by_service.get(service)
        if decider is not None and decider.called(now, action, line, sent, status, handover):
            self._work(now, decider)

    def recorded(self, now: int, entry: Entry, command: PutRecord) -> None:
        """A record is committed; if it is the one that we proposed last, grants may follow."""
        service = command.service
        laying, decider = self._laying.get(service), self.by_service.get(service)
        if laying is None or decider is None or (laying.index, laying.term) != (entry.index, entry.term):
            return
        del self._laying[service]
        told = decider.recorded(now)
        if self._replica.node.leads(now):
            self._replica.emit(PushToEdges(told.news))
            self._work(now, decider)

    def listed(self, now: int) -> None:
        """The platform's list says something new."""
        for service, decider in self.by_service.items():
            decider.listed(now, self._servers_of(service))

    def load_report(self, now: int, report: LoadReport) -> None:
        """What an edge machine has seen of servers and keys."""
        decider = self.by_service.get(report.service)
        if decider is not None:
            decider.placement.report(now, report.keys, report.servers)

    def keep_only(self, services: list[str]) -> None:
        """Lets go of all others."""
        for service in [service for service in self.by_service if service not in services]:
            del self.by_service[service]
            self._laying.pop(service, None)
            self._replica.log(f"no longer deciding for {service}")

    def _begin(self, now: int, service: str) -> ShardAssigner:
        term = self._replica.node.term
        decider = self.by_service[service] = ShardAssigner(
            now,
            service,
            term,
            self._replica.record(service),
            self._servers_of(service),
            self._target(service),
            self._random.getrandbits(32),
        )
        self._replica.log(f"deciding for {service}, term {term}")
        self._replica.emit(PushToEdges(decider.news()))
        return decider

    def _work(self, now: int, decider: ShardAssigner) -> None:
        """Does what is due for a service's lines."""
        if not self._replica.node.leads(now):
            return
        for step in decider.work(now, self._servers.changed_at):
            self._do(now, decider.service, step)

    def _do(self, now: int, service: str, step: shard_assignment.Step) -> None:
        if isinstance(step, shard_assignment.Lay):
            index = self._replica.propose(now, PutRecord(service, step.record))
            if index is not None:
                self._laying[service] = Laying(index, self._replica.node.term)
        elif isinstance(step, shard_assignment.Tell):
            self._replica.emit(PushToEdges(step.news))
        elif isinstance(step, shard_assignment.Call):
            until = self._replica.node.lease_until
            self._replica.emit(CallServer(step.action, service, step.server, step.address, step.line, until))
        else:
            self._replica.log(f"{service}: {step.told()}")

    def _servers_of(self, service: str) -> list[Server]:
        fetched_at = self._servers.fetched_at or 0
        return [
            Server(
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

    def _target(self, service: str) -> int:
        """Within which time (ns) the requests of a service should be answered."""
        hosts = self._replica.state.parsed.routes_by_host
        routes = [route for places in hosts.values() for route in places.values()]
        aims = [route.latency_target_ns for route in routes if any(name == service for name, _ in route.traffic_split)]
        return min(aims, default=S)
