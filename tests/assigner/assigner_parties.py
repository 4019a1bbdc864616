"""Messages, fakes and helpers shared by the tests of the assigner."""

from parties import StubServer, attach, message, order_queue, sample_ids, wait_until

from kestrelplank.assigner.proxy_updates import ProxyUpdates

NODE_REPORT = (
    b"upstream_stats",
    b"locality",
    b"a",
    b"endpoint",
    b"s-1",
    b"total",
    b"9",
    b"errors",
    b"3",
    b"rtt",
    b"41.5",
    b"interval",
    b"1000.0",
    b"metrics",
    b"inflight:7,util:0.5,moon:1",
)
SLICE_REPORT = (b"range_stats", b"shard", b"8", b"route", b"look", b"total", b"4", b"errors", b"1", b"interval", b"500")


def finish_call(queue, outcome):
    queue._client.busy = False
    queue.on_answer(200, outcome) if isinstance(outcome, bytes) else queue.on_failure("silent")


def add_round(queue, *tables, backlog_ns=0):
    for table in tables:
        queue.set_endpoint(table, 0, 1.0)
    queue.request_acknowledgement(tables[-1], True, backlog_ns)
    queue.close_round()


def connect_to_relay(kit, *snapshot):
    relay = StubServer(kit, lambda visitor, path, body: visitor.begin_stream() if path == "/api/stream" else None)
    queue = order_queue(kit)
    updates = ProxyUpdates(kit.loop, kit.pool, kit.counters, relay.at, sample_ids(), 9, 9, queue, kit.events.append)
    wait_until(kit.loop, lambda: kit.counters.counts["news_started"])
    relay.connections[-1].send(*snapshot, {})
    wait_until(kit.loop, lambda: updates._reconciliation is None)
    return relay, updates, queue


SNAPSHOT = (
    attach(1),
    attach(2),
    message("owner", shard=3, set=True),
    message("entry", shard=3, endpoint="s-1", w=1.0),
    message("owner", shard=4, set=True),
    message("entry", shard=4, endpoint="s-1", w=1.0),
)


def reconnect(kit, relay, *lines):
    kit.events.clear()
    relay.connections[-1].connection.close("broken off")
    wait_until(kit.loop, lambda: kit.counters.counts["news_started"] == 2)
    relay.connections[-1].send(*lines)


class RecordingPolicy:
    def __init__(self):
        self.rounds = []

    def round(self, now, events, writer):
        self.rounds.append(events)
        writer.set_endpoint(0, 0, 1.0)
