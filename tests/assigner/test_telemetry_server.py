import socket
import struct

import pytest
from assigner_parties import REPORT
from parties import MS, read_available, sample_ids, wait_until

from kestrelplank.assigner.telemetry_server import TelemetryServer
from kestrelplank.interface import (
    NodeReport,
)
from kestrelplank.sockets import resp

JOIN = resp.encode(b"telemetry", b"locality", b"a")
HB, HB_OK = resp.encode(b"hb"), b"*1\r\n$5\r\nhb_ok\r\n"


def caller(front):
    sock = socket.create_connection(front.at)
    sock.setblocking(False)
    return sock


@pytest.fixture
def front(kit):
    made = TelemetryServer(kit.loop, kit.pool, kit.counters, ("127.0.0.1", 0), sample_ids(), 9, kit.events.append)
    yield made
    made.close()


@pytest.fixture
def collector(kit, front):
    sock = caller(front)
    sock.send(JOIN)
    wait_until(kit.loop, lambda: front._collectors)
    yield sock
    sock.close()


def test_a_report_that_cannot_be_read_costs_neither_its_neighbours_nor_the_connection(kit, front, collector):
    collector.send(
        resp.encode(b"nonsense") + resp.encode(*REPORT) + resp.encode(*REPORT[:9]) + resp.encode(*REPORT) + HB
    )
    got = []
    wait_until(kit.loop, lambda: got.append(read_available(collector)) or got[-1])
    assert (
        got[-1] == HB_OK
        and [type(event) for event in kit.events] == [NodeReport] * 2
        and kit.counters.counts["reports_skipped"] == 2
    )


@pytest.mark.parametrize(
    "said, events",
    [
        (b"GET / HTTP/1.1\r\n\r\n", 0),
        (b"*2\r\n$2000000000\r\n", 0),
        (b"*1\r\n$4097\r\n", 0),
        (b"\xfa\xdf\xf4\xf6" * 9, 0),
        (resp.encode(b"telemetry", b"locality", b"nowhere"), 0),
        (resp.encode(b"telemetry"), 0),
        (resp.encode(b"attach", b"node", b"1"), 0),
        (resp.encode(b"put", b"cluster", b"1"), 0),
        (HB + resp.encode(*REPORT) + JOIN, 0),
        (JOIN + resp.encode(*REPORT) + b"junk\r\n", 1),
    ],
)
def test_who_cannot_join_or_breaks_the_form_is_rejected_at_once(kit, front, said, events):
    sock, got = caller(front), bytearray()
    sock.send(said)
    end = kit.loop.now() + 900 * MS
    wait_until(kit.loop, lambda: b"reject" in got.__iadd__(read_available(sock) or b""))
    assert kit.loop.now() < end and not front._unjoined and not front._collectors and len(kit.events) == events
    sock.close()


@pytest.mark.parametrize("said", [b"", HB, JOIN[:-5], JOIN[:9]])
def test_who_has_not_joined_in_time_is_rejected_and_who_has_stays(kit, front, collector, said):
    sock, got = caller(front), bytearray()
    sock.send(said)
    came = kit.loop.now()

    def let_go():
        if said == HB and kit.loop.now() - came < 500 * MS:  # nor does asking for signs of life keep it
            sock.send(HB)
        got.extend(read_available(sock) or b"")
        return b"reject" in got

    wait_until(kit.loop, let_go)
    assert 900 * MS < kit.loop.now() - came < 2900 * MS and (HB_OK in got) is (said == HB)
    assert read_available(collector) is None and list(front._collectors) and not front._unjoined
    sock.close()


def test_hundreds_at_once_are_all_answered_and_push_out_no_collector(kit, front, collector):
    crowd = [caller(front) for _ in range(300)]
    late = caller(front)
    late.send(JOIN)
    most, gone = 0, set()

    def all_heard():
        nonlocal most
        most = max(most, len(front._unjoined))
        gone.update(sock for sock in crowd if sock not in gone and read_available(sock))
        return len(gone) == 300

    wait_until(kit.loop, all_heard)
    assert most <= 64 and read_available(collector) is read_available(late) is None and len(front._collectors) == 2
    for sock in (*crowd, late):
        sock.close()


def test_of_too_many_collectors_of_a_zone_the_longest_silent_goes(kit, front, collector):
    others = []
    for number in range(1, 5):
        collector.send(resp.encode(*REPORT))
        wait_until(kit.loop, lambda number=number: len(kit.events) == number)
        others.append(caller(front))
        others[-1].send(JOIN)
        wait_until(
            kit.loop, lambda number=number: kit.counters.counts["accepted"] == 1 + number and not front._unjoined
        )
    assert len(front._collectors) == 4 and b"reject" in read_available(others[0]) and read_available(collector) is None
    for sock in others:
        sock.close()


@pytest.mark.parametrize("lasts, stays", [(119_000, True), (121_000, False)])
def test_a_collector_that_says_nothing_for_long_is_rejected(kit, front, collector, lasts, stays):
    (held,) = front._collectors.values()
    held.heard_at = kit.loop.now() - lasts * MS
    front._timer.cancel()
    front._sweep()
    assert bool(front._collectors) is stays


def test_a_caller_that_resets_costs_nobody_else(kit, front, collector):
    rude = caller(front)
    rude.send(resp.encode(*REPORT)[:30])
    wait_until(kit.loop, lambda: kit.counters.counts["accepted"] == 2)
    rude.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    rude.close()
    collector.send(HB)
    wait_until(kit.loop, lambda: read_available(collector) == HB_OK)
    wait_until(kit.loop, lambda: not front._unjoined)


def test_short_of_descriptors_unjoined_callers_make_room(kit, front):
    unjoined = [caller(front) for _ in range(2)]
    wait_until(kit.loop, lambda: len(front._unjoined) == 2)
    assert (
        front._make_room("EMFILE")
        and len(front._unjoined) == 1
        and front._make_room("EMFILE")
        and not front._make_room("EMFILE")
    )
    for sock in unjoined:
        sock.close()
