import socket
import struct

import pytest
from assigner_parties import NODE_REPORT
from parties import MS, read_available, sample_ids, wait_until

from kestrelplank.assigner.telemetry_server import TelemetryServer
from kestrelplank.interface import (
    NodeReport,
)
from kestrelplank.sockets import resp

JOIN = resp.encode(b"telemetry", b"locality", b"a")
HB, HB_OK = resp.encode(b"hb"), b"*1\r\n$5\r\nhb_ok\r\n"


def connect(server):
    sock = socket.create_connection(server.at)
    sock.setblocking(False)
    return sock


@pytest.fixture
def server(kit):
    server = TelemetryServer(kit.loop, kit.pool, kit.counters, ("127.0.0.1", 0), sample_ids(), 9, kit.events.append)
    yield server
    server.close()


@pytest.fixture
def collector(kit, server):
    sock = connect(server)
    sock.send(JOIN)
    wait_until(kit.loop, lambda: server._collectors)
    yield sock
    sock.close()


def test_invalid_report_affects_neither_other_reports_nor_the_connection(kit, server, collector):
    collector.send(
        resp.encode(b"nonsense")
        + resp.encode(*NODE_REPORT)
        + resp.encode(*NODE_REPORT[:9])
        + resp.encode(*NODE_REPORT)
        + HB
    )
    received = []
    wait_until(kit.loop, lambda: received.append(read_available(collector)) or received[-1])
    assert (
        received[-1] == HB_OK
        and [type(event) for event in kit.events] == [NodeReport] * 2
        and kit.counters.counts["reports_skipped"] == 2
    )


@pytest.mark.parametrize(
    "sent, events",
    [
        (b"GET / HTTP/1.1\r\n\r\n", 0),
        (b"*2\r\n$2000000000\r\n", 0),
        (b"*1\r\n$4097\r\n", 0),
        (b"\xfa\xdf\xf4\xf6" * 9, 0),
        (resp.encode(b"telemetry", b"locality", b"nowhere"), 0),
        (resp.encode(b"telemetry"), 0),
        (resp.encode(b"attach", b"node", b"1"), 0),
        (resp.encode(b"put", b"cluster", b"1"), 0),
        (HB + resp.encode(*NODE_REPORT) + JOIN, 0),
        (JOIN + resp.encode(*NODE_REPORT) + b"junk\r\n", 1),
    ],
)
def test_caller_that_cannot_join_or_violates_the_protocol_is_rejected_at_once(kit, server, sent, events):
    sock, received = connect(server), bytearray()
    sock.send(sent)
    end = kit.loop.now() + 900 * MS
    wait_until(kit.loop, lambda: b"reject" in received.__iadd__(read_available(sock) or b""))
    assert kit.loop.now() < end and not server._unjoined and not server._collectors and len(kit.events) == events
    sock.close()


@pytest.mark.parametrize("sent", [b"", HB, JOIN[:-5], JOIN[:9]])
def test_caller_that_does_not_join_in_time_is_rejected_and_collectors_stay(kit, server, collector, sent):
    sock, received = connect(server), bytearray()
    sock.send(sent)
    connected_at = kit.loop.now()

    def is_rejected():
        if sent == HB and kit.loop.now() - connected_at < 500 * MS:  # heartbeats do not extend the time to join
            sock.send(HB)
        received.extend(read_available(sock) or b"")
        return b"reject" in received

    wait_until(kit.loop, is_rejected)
    assert 900 * MS < kit.loop.now() - connected_at < 2900 * MS and (HB_OK in received) is (sent == HB)
    assert read_available(collector) is None and list(server._collectors) and not server._unjoined
    sock.close()


def test_hundreds_of_callers_are_all_rejected_and_collectors_stay(kit, server, collector):
    callers = [connect(server) for _ in range(300)]
    late = connect(server)
    late.send(JOIN)
    max_unjoined, rejected = 0, set()

    def all_rejected():
        nonlocal max_unjoined
        max_unjoined = max(max_unjoined, len(server._unjoined))
        rejected.update(sock for sock in callers if sock not in rejected and read_available(sock))
        return len(rejected) == 300

    wait_until(kit.loop, all_rejected)
    assert (
        max_unjoined <= 64
        and read_available(collector) is read_available(late) is None
        and len(server._collectors) == 2
    )
    for sock in (*callers, late):
        sock.close()


def test_longest_idle_collector_of_a_zone_is_rejected_beyond_the_limit(kit, server, collector):
    others = []
    for number in range(1, 5):
        collector.send(resp.encode(*NODE_REPORT))
        wait_until(kit.loop, lambda number=number: len(kit.events) == number)
        others.append(connect(server))
        others[-1].send(JOIN)
        wait_until(
            kit.loop, lambda number=number: kit.counters.counts["accepted"] == 1 + number and not server._unjoined
        )
    assert len(server._collectors) == 4 and b"reject" in read_available(others[0]) and read_available(collector) is None
    for sock in others:
        sock.close()


@pytest.mark.parametrize("idle_ms, stays", [(119_000, True), (121_000, False)])
def test_collector_is_rejected_after_the_idle_timeout(kit, server, collector, idle_ms, stays):
    (caller,) = server._collectors.values()
    caller.last_received_at = kit.loop.now() - idle_ms * MS
    server._timer.cancel()
    server._sweep()
    assert bool(server._collectors) is stays


def test_reset_of_a_connection_does_not_affect_others(kit, server, collector):
    resetting = connect(server)
    resetting.send(resp.encode(*NODE_REPORT)[:30])
    wait_until(kit.loop, lambda: kit.counters.counts["accepted"] == 2)
    resetting.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    resetting.close()
    collector.send(HB)
    wait_until(kit.loop, lambda: read_available(collector) == HB_OK)
    wait_until(kit.loop, lambda: not server._unjoined)


def test_unjoined_callers_are_rejected_when_descriptors_run_out(kit, server):
    unjoined = [connect(server) for _ in range(2)]
    wait_until(kit.loop, lambda: len(server._unjoined) == 2)
    assert (
        server._free_descriptor("EMFILE")
        and len(server._unjoined) == 1
        and server._free_descriptor("EMFILE")
        and not server._free_descriptor("EMFILE")
    )
    for sock in unjoined:
        sock.close()
