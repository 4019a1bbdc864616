"""What a request and a report cost an edge member by the number of servers that it knows, and what it keeps of them and
of key ranges, by hand: `python benchmarks/endpoints.py`. Without sockets, which `benchmarks/edge.py` has."""

import json
from random import Random

import msgspec
from server_list import entries
from slopes import held, number, spent, table

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
RANGES = 6  # a server, as the pass ends up with
REQUESTS, REPORT = 500, S // 2
PER_S = 71  # requests a second of one edge member: 39,000 before 550


def configuration(services: list[str], sharded: bool) -> bytes:
    """A route for each service."""
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
    """An edge member that knows so many servers of so many services."""

    def __init__(self, count: int, services: int, sharded: bool) -> None:
        self.random, self.now = Random(1), 100 * S
        listed = [(one[0], f"service-{at % services:03d}", *one[2:]) for at, one in enumerate(entries(count))]
        self.services = sorted({one[1] for one in listed})
        self.view = EdgeView("edge-1", MEMBERS)
        self.forwarder = Forwarder(self.random, self.view, "zone-0", 0.2, 144)
        self.view.receive(self.now, MEMBERS[0], ConfigurationUpdate(7, configuration(self.services, sharded)))
        self.view.receive(self.now, MEMBERS[0], ServerListUpdate(0, listed))
        self.forwarder.endpoints.update(self.now, self.view.servers.entries.values())
        for name in self.services if sharded else ():
            self.view.receive(self.now, MEMBERS[0], ranges(name, [one for one in listed if one[1] == name], 1))

    def requests(self) -> None:
        """Requests one after the other, each answered at once, and told of every so often."""
        for _ in range(REQUESTS):
            self.now += S // PER_S
            service = self.random.choice(self.services)
            key = str(self.random.randrange(KEY_COUNT))
            request = self.forwarder.admit(self.now, "shop.example", f"/{service}/x", key, S)
            step = self.forwarder.next_step(self.now, request)
            assert isinstance(step, Send), step
            self.forwarder.attempt_ended(self.now + 100 * MS, request, CallOutcome.ANSWERED, (1, 0, 2))

    def report(self) -> bytes:
        """What it tells in half a second, as it goes over the wire."""
        for _ in range(PER_S * REPORT // S):
            service = self.random.choice(self.services)
            request = self.forwarder.admit(self.now, "shop.example", f"/{service}/x", "4711", S)
            self.forwarder.next_step(self.now, request)
            self.forwarder.attempt_ended(self.now + 100 * MS, request, CallOutcome.ANSWERED, (1, 0, 2))
        reports = self.forwarder.take_load_reports().items()
        return b"".join(
            encode_frame(LoadReport(name, keys, servers)) for name, (keys, servers) in reports if keys or servers
        )


def ranges(service: str, listed: list[tuple], seq: int) -> KeyRangesUpdate:
    """All key ranges of a service, each server having some."""
    count = RANGES * len(listed)
    lines = [
        RangeHolder(
            KEY_COUNT * at // count,
            KEY_COUNT * (at + 1) // count - 1,
            listed[at % len(listed)][0],
            listed[at % len(listed)][2],
        )
        for at in range(count)
    ]
    return KeyRangesUpdate(service, KeyRangesVersion(1, seq), lines)


def figures(count: int, services: int) -> dict[str, float]:
    """Microseconds a request, milliseconds a list, kilobytes kept and told."""
    plain, plain_kept = held(lambda: Edge(count, services, False))
    keyed, keyed_kept = held(lambda: Edge(count, services, True))
    whole = [
        ranges(name, [one for one in keyed.view.servers.entries.values() if one.service == name], 2)
        for name in keyed.services
    ]
    whole = [decode_at_edge(encode(news)) for news in whole]
    seq = 2

    def told_whole() -> None:
        nonlocal seq
        seq += 1
        for news in whole:
            keyed.view.receive(keyed.now, MEMBERS[0], msgspec.structs.replace(news, version=KeyRangesVersion(1, seq)))

    def told_one() -> None:
        nonlocal seq
        seq += 1
        news, since = whole[0], keyed.view.key_ranges[keyed.services[0]].version
        changed = KeyRangesDelta(news.service, since, KeyRangesVersion(1, seq), news.key_ranges[3:4])
        keyed.view.receive(keyed.now, MEMBERS[0], changed)

    return {
        "request, us": 1000 * spent(plain.requests) / REQUESTS,
        "request by key, us": 1000 * spent(keyed.requests) / REQUESTS,
        "all ranges taken, ms": spent(told_whole),
        "one range changed, ms": spent(told_one),
        "half a second and its report, ms": spent(keyed.report),
        "reports, KB/s": 2 * len(keyed.report()) / 1000,
        "a beat, KB": len(encode_frame(keyed.view.heartbeat(0))) / 1000,
        "ranges, KB": sum(len(encode_frame(news)) for news in whole) / 1000,
        "kept, KB": plain_kept,
        "kept with ranges, KB": keyed_kept,
    }


def main() -> None:
    for services, sizes in ((1, (23, 230, 2300)), (180, (180, 1000, 6200))):
        rows = [(f"{count:,}", count, figures(count, services)) for count in sizes]
        print(table(f"servers in {number(services)} service{'s' * (services > 1)}", rows) + "\n")


if __name__ == "__main__":
    main()
