"""Stand-ins, messages and steps that several tests of the assigner use."""

from parties import StubServer, attach, message, order_queue, sample_ids, wait_until

from kestrelplank.assigner.proxy_updates import ProxyUpdates

REPORT = (
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
HEAT = (b"range_stats", b"shard", b"8", b"route", b"look", b"total", b"4", b"errors", b"1", b"interval", b"500")


def end(made, outcome):
    made._client.busy = False
    made.on_answer(200, outcome) if isinstance(outcome, bytes) else made.on_failure("silent")


def ordered(made, *tables, behind=0):
    for table in tables:
        made.set_endpoint(table, 0, 1.0)
    made.request_acknowledgement(tables[-1], True, behind)
    made.close_round()


def relayed(kit, *known):
    relay = StubServer(kit, lambda visitor, path, body: visitor.begin_stream() if path == "/api/stream" else None)
    made = order_queue(kit)
    told = ProxyUpdates(kit.loop, kit.pool, kit.counters, relay.at, sample_ids(), 9, 9, made, kit.events.append)
    wait_until(kit.loop, lambda: kit.counters.counts["news_started"])
    relay.connections[-1].send(*known, {})
    wait_until(kit.loop, lambda: told._reconciliation is None)
    return relay, told, made


STANDING = (
    attach(1),
    attach(2),
    message("owner", shard=3, set=True),
    message("entry", shard=3, endpoint="s-1", w=1.0),
    message("owner", shard=4, set=True),
    message("entry", shard=4, endpoint="s-1", w=1.0),
)


def again(kit, relay, *lines):
    kit.events.clear()
    relay.connections[-1].connection.close("broken off")
    wait_until(kit.loop, lambda: kit.counters.counts["news_started"] == 2)
    relay.connections[-1].send(*lines)


class Rounds:
    def __init__(self):
        self.held = []

    def round(self, now, events, out):
        self.held.append(events)
        out.set_endpoint(0, 0, 1.0)
