"""Measures an edge member's requests and load reports by the number of servers: `python benchmarks/endpoints.py`.

Also measured: memory of the server list and of key ranges. Runs without sockets; `benchmarks/edge.py` uses them.
"""

import json
from random import Random

import msgspec
from server_list import entries
from slopes import format_number, markdown_table, measure_memory, min_processor_ms

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.forwarding.retry_policy import CallOutcome
from kestrelplank.forwarding.steps import Send
from kestrelplank.sharding.key_range import KEY_COUNT
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    KeyRangesDelta,
    KeyRangesUpdate,
    KeyRangesVersion,
    LoadReport,
    RangeHolder,
    decode_at_edge,
    encode,
)
from kestrelplank.transport.wire import encode_frame

S, MS = 1_000_000_000, 1_000_000
MEMBERS = ("10.0.0.1:80",)
RANGES_PER_SERVER = 6  # what placement converges to
REQUESTS, REPORT_INTERVAL_NS = 500, S // 2
REQUESTS_PER_S = 71  # of one edge member: 39,000 requests a second over 550 members


def configuration(services: list[str], sharded: bool) -> bytes:
    """A configuration with one route for each service."""
    routes = [
        {"path_prefix": f"/{name}/", "route_type": "idempotent", "timeout_s": 1.5, "target_service": name}
        for name in services
    ]
    hosts = [{"host_name": "shop.example", "host_routes": routes}]
    return json.dumps(
        {
            "config_version": "00000007",
            "service_table": [{"name": name, "sharded": sharded} for name in services],
            "virtual_hosts": hosts,
            "limits": {},
        }
    ).encode()


class Edge:
    """An edge member with a server list of `count` servers over `services` services."""

    def __init__(self, count: int, services: int, sharded: bool) -> None:
        self.random, self.now = Random(1), 100 * S
        server_list = [
            (server[0], f"service-{index % services:03d}", *server[2:]) for index, server in enumerate(entries(count))
        ]
        self.services = sorted({server[1] for server in server_list})
        self.view = EdgeView("edge-1", MEMBERS)
        self.forwarder = Forwarder(self.random, self.view, "zone-0", 0.2, 144)
        self.view.receive(self.now, MEMBERS[0], ConfigurationUpdate(7, configuration(self.services, sharded)))
        self.view.receive(self.now, MEMBERS[0], ServerListUpdate(0, server_list))
        self.forwarder.endpoints.update(self.now, self.view.servers.entries.values())
        for name in self.services if sharded else ():
            self.view.receive(
                self.now,
                MEMBERS[0],
                key_ranges_update(name, [server for server in server_list if server[1] == name], 1),
            )

    def requests(self) -> None:
        """Forward requests one after the other; each is answered successfully."""
        for _ in range(REQUESTS):
            self.now += S // REQUESTS_PER_S
            service = self.random.choice(self.services)
            key = str(self.random.randrange(KEY_COUNT))
            request = self.forwarder.admit(self.now, "shop.example", f"/{service}/x", key, S)
            step = self.forwarder.next_step(self.now, request)
            assert isinstance(step, Send), step
            self.forwarder.attempt_ended(self.now + 100 * MS, request, CallOutcome.ANSWERED, (1, 0, 2))

    def report(self) -> bytes:
        """The encoded load reports for half a second of requests."""
        for _ in range(REQUESTS_PER_S * REPORT_INTERVAL_NS // S):
            service = self.random.choice(self.services)
            request = self.forwarder.admit(self.now, "shop.example", f"/{service}/x", "4711", S)
            self.forwarder.next_step(self.now, request)
            self.forwarder.attempt_ended(self.now + 100 * MS, request, CallOutcome.ANSWERED, (1, 0, 2))
        reports = self.forwarder.take_load_reports().items()
        return b"".join(
            encode_frame(LoadReport(name, keys, servers)) for name, (keys, servers) in reports if keys or servers
        )


def key_ranges_update(service: str, servers: list[tuple], seq: int) -> KeyRangesUpdate:
    """A complete update of a service's key ranges, dealt to its servers in turn."""
    count = RANGES_PER_SERVER * len(servers)
    holders = [
        RangeHolder(
            KEY_COUNT * index // count,
            KEY_COUNT * (index + 1) // count - 1,
            servers[index % len(servers)][0],
            servers[index % len(servers)][2],
        )
        for index in range(count)
    ]
    return KeyRangesUpdate(service, KeyRangesVersion(1, seq), holders)


def measure(count: int, services: int) -> dict[str, float]:
    """Time of a request in us and of an update in ms, and sizes in KB."""
    unsharded, unsharded_kb = measure_memory(lambda: Edge(count, services, False))
    sharded, sharded_kb = measure_memory(lambda: Edge(count, services, True))
    updates = [
        key_ranges_update(
            name, [server for server in sharded.view.servers.entries.values() if server.service == name], 2
        )
        for name in sharded.services
    ]
    updates = [decode_at_edge(encode(update)) for update in updates]
    seq = 2

    def receive_all_ranges() -> None:
        nonlocal seq
        seq += 1
        for update in updates:
            sharded.view.receive(
                sharded.now, MEMBERS[0], msgspec.structs.replace(update, version=KeyRangesVersion(1, seq))
            )

    def receive_one_range() -> None:
        nonlocal seq
        seq += 1
        update, base_version = updates[0], sharded.view.key_ranges[sharded.services[0]].version
        delta = KeyRangesDelta(update.service, base_version, KeyRangesVersion(1, seq), update.key_ranges[3:4])
        sharded.view.receive(sharded.now, MEMBERS[0], delta)

    return {
        "request, us": 1000 * min_processor_ms(unsharded.requests) / REQUESTS,
        "request with a key, us": 1000 * min_processor_ms(sharded.requests) / REQUESTS,
        "all ranges updated, ms": min_processor_ms(receive_all_ranges),
        "one range updated, ms": min_processor_ms(receive_one_range),
        "half a second of requests and its report, ms": min_processor_ms(sharded.report),
        "reports, KB/s": 2 * len(sharded.report()) / 1000,
        "heartbeat, KB": len(encode_frame(sharded.view.heartbeat(0))) / 1000,
        "ranges, KB": sum(len(encode_frame(update)) for update in updates) / 1000,
        "memory, KB": unsharded_kb,
        "memory with ranges, KB": sharded_kb,
    }


def main() -> None:
    for services, sizes in ((1, (23, 230, 2300)), (180, (180, 1000, 6200))):
        rows = [(f"{count:,}", count, measure(count, services)) for count in sizes]
        print(markdown_table(f"servers in {format_number(services)} service{'s' * (services > 1)}", rows) + "\n")


if __name__ == "__main__":
    main()
