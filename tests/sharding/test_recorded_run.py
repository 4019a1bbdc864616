"""Guards against changed decisions on key ranges: records, calls and messages equal those of 4f929ce but for versions."""

import msgspec
import pytest
from sharding.recorded_run import RecordedRun, recorded_digests

from kestrelplank.control.shard_assigner import CommitRecord, PushKeyRanges, ShardAssigner
from kestrelplank.control.shard_record import read_record
from kestrelplank.sharding.effects import (
    GrantKeyRange,
    KeyRangeStalled,
    KeyRangeUnownedFor,
    ReleaseKeyRange,
    ServerCallResult,
)
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import MILLISECOND
from kestrelplank.transport.messages import KeyRangesVersion


class Subject:
    """Adapts the code under test to the names that RecordedRun uses."""

    def __init__(self, now, term, record, servers, seed):
        since = KeyRangesVersion(term)
        self.assigner = ShardAssigner(
            now, "views", since, read_record(record), self.shard_servers(servers), 500 * MILLISECOND, seed
        )

    def shard_servers(self, servers):
        return [ShardServer(name, *fields[:5]) for name, fields in servers.items()]

    def servers_listed(self, now, servers):
        self.assigner.handle_server_list(now, self.shard_servers(servers))

    def report(self, now, keys, measurements):
        self.assigner.placement.handle_load_report(now, keys, measurements)

    def call_ended(self, now, request, sent, status, handover):
        return self.assigner.handle_call_ended(now, request, ServerCallResult(sent, status, handover))

    def record_committed(self, now):
        return msgspec.msgpack.encode(self.assigner.handle_record_committed(now).message)

    def update(self):
        return msgspec.msgpack.encode(self.assigner.full_update())

    def counters(self):
        return (
            self.assigner.key_ranges.moved_keys,
            self.assigner.unowned_s(),
            self.assigner.placement.learned_speeds(),
        )

    def due_effects(self, now):
        for effect in self.assigner.tick(now, 0):
            match effect:
                case CommitRecord(record):
                    yield "record", record
                case GrantKeyRange(server, address, keys):
                    yield "grant", server, address, (keys.first, keys.last, keys.fencing_token, keys.handover), effect
                case ReleaseKeyRange(server, address, keys):
                    yield "release", server, address, (keys.first, keys.last, keys.fencing_token, keys.handover), effect
                case PushKeyRanges(message):
                    yield "push", msgspec.msgpack.encode(message)
                case KeyRangeUnownedFor(keys, duration_ns):
                    yield "unowned", keys.first, keys.last, duration_ns
                case KeyRangeStalled(keys):
                    yield "stalled", keys.first, keys.last


@pytest.mark.parametrize("seed", [1, 2])
def test_recorded_run_gives_the_recorded_digests(seed):
    assert RecordedRun(Subject, seed).run() == recorded_digests()[str(seed)]
