"""What a leader decides of key ranges is, byte for byte, what 4f929ce decided: records, calls, messages to edges."""

import msgspec
import pytest
from sharding.recorded_run import RecordedRun, recorded

from kestrelplank.control import shard_assignment
from kestrelplank.control.shard_assignment import ShardAssigner, read_record
from kestrelplank.sharding.key_ranges import Server

SECOND = 1_000_000_000


class Subject:
    """The code under test, by neutral names."""

    def __init__(self, now, term, record, servers, seed):
        self.assigner = ShardAssigner(now, "views", term, read_record(record), self.listing(servers), SECOND // 2, seed)

    def listing(self, servers):
        return [Server(name, *fields[:5]) for name, fields in servers.items()]

    def listed(self, now, servers):
        self.assigner.listed(now, self.listing(servers))

    def report(self, now, keys, met):
        self.assigner.placement.report(now, keys, met)

    def called(self, now, action, key_range, sent, status, handover):
        return self.assigner.called(now, action, key_range, sent, status, handover)

    def recorded(self, now):
        return msgspec.msgpack.encode(self.assigner.recorded(now).news)

    def update(self):
        return msgspec.msgpack.encode(self.assigner.news())

    def counters(self):
        return self.assigner.lines.moved, self.assigner.bare(), self.assigner.placement.learnt()

    def work(self, now):
        for step in self.assigner.work(now, 0):
            if isinstance(step, shard_assignment.Lay):
                yield "record", step.record
            elif isinstance(step, shard_assignment.Call):
                line = step.line
                yield step.action, step.server, step.address, line, (line.first, line.last, line.fence, line.handover)
            elif isinstance(step, shard_assignment.Tell):
                yield "push", msgspec.msgpack.encode(step.news)
            elif isinstance(step, shard_assignment.Bare):
                yield "unowned", step.line.first, step.line.last, step.spell
            else:
                yield "stalled", step.line.first, step.line.last


@pytest.mark.parametrize("seed", [1, 2])
def test_a_recorded_run_is_decided_as_it_was(seed):
    assert RecordedRun(Subject, seed).run() == recorded()[str(seed)]
