"""Measures the processor cost of key-range placement by number of servers: `python benchmarks/key_ranges.py [SECONDS]`.

One service of 23, 230 and 2,300 servers at the same load for each server, and 180 services of 34. Calls to servers
succeed and records are committed immediately, so that only the owner's own work is measured: load reports, placement,
lease renewals and records. Each server gets six requests a second, half its capacity; each edge member reports twice a
second.
"""

import sys
import time
from random import Random

import msgspec
from slopes import format_number, markdown_table, measure_memory, min_processor_ms

from kestrelplank.consensus.log_entries import PutRecord
from kestrelplank.control.shard_record import ShardRecord, range_holders
from kestrelplank.sharding.effects import GrantKeyRange, RecordKeyRanges, ReleaseKeyRange, ServerCallResult
from kestrelplank.sharding.key_range import KEY_COUNT, KeyRangeState
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.placement import Placement
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import SECOND
from kestrelplank.transport.messages import KeyRangesUpdate, KeyRangesVersion
from kestrelplank.transport.wire import encode_frame

SIZES = (23, 230, 2300)
TICK_NS = SECOND // 20
TICKS_PER_REPORT = 10
REQUESTS_PER_SERVER = 6.0  # a second
RANGES_PER_SERVER = 4  # at the start
WARM_UP_S = 10  # before the measurement
GRANTED = ServerCallResult(True, 200)
COSTS = ("reports", "placement", "renewals", "records")


class Service:
    """One sharded service with its servers and `edges` edge members, as the owner of its ranges sees it."""

    def __init__(self, seed: int, servers: int, edges: int) -> None:
        self.random, self.edges, self.now = Random(seed), edges, 100 * SECOND
        self.names = [f"i-{number:08x}" for number in range(servers)]
        self.key_ranges = KeyRanges(self.now, 1, None)
        self.key_ranges.handle_server_list(
            self.now,
            [
                ShardServer(name, f"10.1.{index >> 8}.{index & 255}:8080", f"z{index % 8}", 2, True, 0)
                for index, name in enumerate(self.names)
            ],
        )
        self.key_ranges.create_initial_ranges(RANGES_PER_SERVER * servers)
        self.placement = Placement(self.now, seed, self.key_ranges, SECOND, None)
        self.first_hot_key = self.random.randrange(KEY_COUNT)
        self.processor_s = dict.fromkeys(COSTS, 0.0)
        self.calls = self.records = self.record_bytes = 0

    def key(self) -> int:
        """A random key; half of the requests go to one contiguous quarter of the keys."""
        divisor = 4 if self.random.random() < 0.5 else 1
        return (self.first_hot_key + int(self.random.random() * KEY_COUNT / divisor)) % KEY_COUNT

    def report(self) -> None:
        """Handle a load report of each edge member: requested keys and statistics of their servers."""
        requests_per_edge = REQUESTS_PER_SERVER * len(self.names) * TICKS_PER_REPORT * TICK_NS / SECOND / self.edges
        for _ in range(self.edges):
            keys = [self.key() for _ in range(int(requests_per_edge + self.random.random()))]
            server_statistics = {self.random.choice(self.names): (1, 0, 1.0, 1, -1.8, 1) for _ in keys}
            started = time.process_time()
            self.placement.handle_load_report(self.now, keys, server_statistics)
            self.processor_s["reports"] += time.process_time() - started

    def step(self, tick_number: int) -> None:
        """Run one tick of the owner; its calls and records succeed immediately."""
        self.now += TICK_NS
        if tick_number % TICKS_PER_REPORT == 0:
            self.report()
        started = time.process_time()
        self.placement.tick(self.now)
        placed = time.process_time()
        effects = self.key_ranges.tick(self.now)
        for effect in effects:
            if isinstance(effect, GrantKeyRange | ReleaseKeyRange):
                self.calls += 1
                self.key_ranges.handle_call_ended(self.now, effect, GRANTED)
        renewed = time.process_time()
        for effect in effects:
            if isinstance(effect, RecordKeyRanges):
                record = ShardRecord(1, self.records, effect.ranges, self.placement.learned_speeds())
                command = PutRecord("views", msgspec.msgpack.encode(record))
                self.records += 1
                self.record_bytes += len(encode_frame(command))
                self.key_ranges.handle_recorded(self.now)
        self.processor_s["placement"] += placed - started
        self.processor_s["renewals"] += renewed - placed
        self.processor_s["records"] += time.process_time() - renewed

    def start_measuring(self) -> None:
        """Reset the measurements."""
        self.processor_s = dict.fromkeys(COSTS, 0.0)
        self.calls = self.records = self.record_bytes = 0


def measure(services: list[Service], seconds: int) -> dict[str, float]:
    """Run these services; returns processor time by part, calls, records and bytes, each per second."""
    ticks = SECOND // TICK_NS
    for tick in range((WARM_UP_S + seconds) * ticks):
        for service in services:
            if tick == WARM_UP_S * ticks:
                service.start_measuring()
            service.step(tick)
    costs = {f"{part}, ms/s": 1000 * sum(service.processor_s[part] for service in services) / seconds for part in COSTS}
    ranges = [key_range for service in services for key_range in service.key_ranges.ranges]
    return {
        "ranges": len(ranges),
        "held": sum(key_range.state is KeyRangeState.HELD for key_range in ranges) / len(ranges),
        **costs,
        "total, ms/s": sum(costs.values()),
        "calls/s": sum(service.calls for service in services) / seconds,
        "records/s": sum(service.records for service in services) / seconds,
        "record, KB": sum(service.record_bytes for service in services)
        / 1000
        / max(1, sum(service.records for service in services)),
        "records, KB/s": sum(service.record_bytes for service in services) / 1000 / seconds,
        "complete update, ms": min_processor_ms(
            lambda: [encode_frame(complete_update(service)) for service in services]
        ),
        "complete update, KB": sum(len(encode_frame(complete_update(service))) for service in services) / 1000,
    }


def complete_update(service: Service) -> KeyRangesUpdate:
    """All ranges of a service, as sent to an edge member that missed a delta."""
    return KeyRangesUpdate("views", KeyRangesVersion(1, 1), range_holders(service.key_ranges.to_record()))


def main() -> None:
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    rows = []
    for servers in SIZES:
        (service,), memory_kb = measure_memory(lambda servers=servers: [Service(1, servers, 100)])
        rows.append((f"{servers:,}", servers, measure([service], seconds)))
        print(f"{servers:,} servers: {memory_kb:.0f} KB of memory at the start", file=sys.stderr)
    print(markdown_table("servers in one service", rows))
    print("\n180 services of 34 servers:")
    for name, value in measure([Service(seed, 34, 100) for seed in range(180)], seconds).items():
        print(f"- {name}: {format_number(value)}")
    print(f"- one range, encoded: {len(msgspec.msgpack.encode(service.key_ranges.ranges[0].to_record()))} bytes")


if __name__ == "__main__":
    main()
