"""What the pass over key ranges costs who decides, by number of servers: `python benchmarks/key_ranges.py [SECONDS]`.

One service of 23, 230 and 2,300 servers at the same load for each server, and 180 services of 34. Servers answer each
call at once and records last at once, so what is measured is the decider's own: reports taken, the pass, renewals and
records. A server meets six requests a second, half of what it can do; each edge member reports twice a second."""

import sys
import time
from random import Random

import msgspec
from slopes import held, number, spent, table

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
PER_SERVER = 6.0  # requests a second
RANGES_PER_SERVER = 4  # at first
WARM_UP_S = 10  # are played before anything counts
GRANTED = ServerCallResult(True, 200)
COSTS = ("reports", "pass", "renewals", "records")


class Service:
    """One sharded service, all its servers and so many edge members, as its decider sees it."""

    def __init__(self, seed: int, servers: int, edges: int) -> None:
        self.random, self.edges, self.now = Random(seed), edges, 100 * SECOND
        self.names = [f"i-{number:08x}" for number in range(servers)]
        self.key_ranges = KeyRanges(self.now, 1, None)
        self.key_ranges.handle_server_list(
            self.now,
            [
                ShardServer(name, f"10.1.{at >> 8}.{at & 255}:8080", f"z{at % 8}", 2, True, 0)
                for at, name in enumerate(self.names)
            ],
        )
        self.key_ranges.create_initial_ranges(RANGES_PER_SERVER * servers)
        self.placement = Placement(self.now, seed, self.key_ranges, SECOND, None)
        self.hottest = self.random.randrange(KEY_COUNT)
        self.spent = dict.fromkeys(COSTS, 0.0)
        self.calls = self.records = self.record_bytes = 0

    def key(self) -> int:
        """Busy keys lie close together: every second request is for a quarter of them."""
        part = 4 if self.random.random() < 0.5 else 1
        return (self.hottest + int(self.random.random() * KEY_COUNT / part)) % KEY_COUNT

    def report(self) -> None:
        """What each edge member tells: the keys that it was asked for, and what it met at their servers."""
        each = PER_SERVER * len(self.names) * TICKS_PER_REPORT * TICK_NS / SECOND / self.edges
        for _ in range(self.edges):
            keys = [self.key() for _ in range(int(each + self.random.random()))]
            met = {self.random.choice(self.names): (1, 0, 1.0, 1, -1.8, 1) for _ in keys}
            began = time.process_time()
            self.placement.handle_load_report(self.now, keys, met)
            self.spent["reports"] += time.process_time() - began

    def step(self, number: int) -> None:
        """A tick of the decider, with all that it asks for done at once."""
        self.now += TICK_NS
        if number % TICKS_PER_REPORT == 0:
            self.report()
        began = time.process_time()
        self.placement.tick(self.now)
        passed = time.process_time()
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
        self.spent["pass"] += passed - began
        self.spent["renewals"] += renewed - passed
        self.spent["records"] += time.process_time() - renewed

    def start_measuring(self) -> None:
        """What was measured so far does not count."""
        self.spent = dict.fromkeys(COSTS, 0.0)
        self.calls = self.records = self.record_bytes = 0


def play(services: list[Service], seconds: int) -> dict[str, float]:
    """A second of these services, in milliseconds of processor by part, calls, records and bytes."""
    ticks = SECOND // TICK_NS
    for tick in range((WARM_UP_S + seconds) * ticks):
        for service in services:
            if tick == WARM_UP_S * ticks:
                service.start_measuring()
            service.step(tick)
    costs = {f"{part}, ms/s": 1000 * sum(one.spent[part] for one in services) / seconds for part in COSTS}
    ranges = [key_range for one in services for key_range in one.key_ranges.ranges]
    return {
        "ranges": len(ranges),
        "held": sum(key_range.state is KeyRangeState.HELD for key_range in ranges) / len(ranges),
        **costs,
        "all, ms/s": sum(costs.values()),
        "calls/s": sum(one.calls for one in services) / seconds,
        "records/s": sum(one.records for one in services) / seconds,
        "a record, KB": sum(one.record_bytes for one in services) / 1000 / max(1, sum(one.records for one in services)),
        "records, KB/s": sum(one.record_bytes for one in services) / 1000 / seconds,
        "complete update, ms": spent(lambda: [encode_frame(complete_update(one)) for one in services]),
        "complete update, KB": sum(len(encode_frame(complete_update(one))) for one in services) / 1000,
    }


def complete_update(service: Service) -> KeyRangesUpdate:
    """All ranges of a service as an edge machine is sent them that missed a change."""
    return KeyRangesUpdate("views", KeyRangesVersion(1, 1), range_holders(service.key_ranges.to_record()))


def main() -> None:
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    rows = []
    for servers in SIZES:
        (service,), kept = held(lambda servers=servers: [Service(1, servers, 100)])
        rows.append((f"{servers:,}", servers, play([service], seconds)))
        print(f"{servers:,} servers: {kept:.0f} KB at the start", file=sys.stderr)
    print(table("servers in one service", rows))
    print("\n180 services of 34 servers:")
    for name, value in play([Service(seed, 34, 100) for seed in range(180)], seconds).items():
        print(f"- {name}: {number(value)}")
    print(f"- one range, packed: {len(msgspec.msgpack.encode(service.key_ranges.ranges[0].to_record()))} bytes")


if __name__ == "__main__":
    main()
