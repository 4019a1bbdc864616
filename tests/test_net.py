import gc
import json
import socket
import struct
import tracemalloc

import pytest
from parties import MS, Kit, StubServer, attach, instance, message, names, node_list, orders, until

from kestrelplank.assigner import proxy_updates
from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.assigner.peer_datagrams import PeerDatagrams
from kestrelplank.assigner.proxy_updates import ProxyUpdates
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.assigner.telemetry_messages import read_report
from kestrelplank.assigner.telemetry_server import TelemetryServer
from kestrelplank.decode import Malformed
from kestrelplank.interface import (
    EndpointStored,
    HealthChecked,
    NodeEntry,
    NodeListKind,
    NodeListUpdate,
    NodeReport,
    PeerLoads,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    SliceReport,
    WatermarkAcknowledged,
)
from kestrelplank.sockets import resp
from kestrelplank.sockets.connection import Connection, Dialled, Listener, address
from kestrelplank.sockets.http import Client

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
JOIN = resp.encode(b"telemetry", b"locality", b"a")
HB, HB_OK = resp.encode(b"hb"), b"*1\r\n$5\r\nhb_ok\r\n"


@pytest.fixture
def kit():
    made = Kit()
    yield made
    made.loop.close()


# RESP2


@pytest.mark.parametrize("piece", [1, 2, 7, 10_000])
def test_messages_come_whole_out_of_pieces(piece):
    parser, data = resp.Parser(), resp.encode(b"hb") + resp.encode(*REPORT) + resp.encode(b"x", b"a\r\nb", b"")
    found = [m for at in range(0, len(data), piece) for m in parser.feed(data[at : at + piece])]
    assert found == [[b"hb"], list(REPORT), [b"x", b"a\r\nb", b""]]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n:5\r\n",
        b"*99999999999\r\n",
        b"*1025\r\n",
        b"*1\r\n$1048577\r\n",
        b"*2\r\n$700000\r\n" + b"x" * 700_000 + b"\r\n$700000\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"\x00" * 40,
        b"*1x\r\n",
        b"*" + b"1" * 30,
    ],
)
def test_garbage_and_too_much_are_refused_before_anything_is_kept(data):
    with pytest.raises(Malformed):
        list(resp.Parser().feed(data))


# Reports


def test_a_report_becomes_an_event_in_our_units():
    assert read_report(list(REPORT), names(), 9, 0) == NodeReport(
        0,
        0,
        9.0,
        3.0,
        41_500_000,
        1_000_000_000,
        {"in_flight": 7.0, "utilization": 0.5},
    )
    assert read_report(list(HEAT), names(), 9, 0) == SliceReport(8, 0, 4.0, 1.0, 500_000_000)
    aborted_earlier = read_report([*HEAT[:8], b"5", *HEAT[9:]], names(), 9, 0)
    assert (aborted_earlier.ops, aborted_earlier.aborted) == (4.0, 5.0)  # of those that came earlier
    assert read_report([*REPORT[:7], b"errors", b"9", *REPORT[11:13]], names(), 9, 0).mean_latency_ns is None


@pytest.mark.parametrize(
    "message, place, value",
    [
        (REPORT, 2, b"mars"),
        (REPORT, 2, b"b"),
        (REPORT, 4, b"s-9"),
        (REPORT, 6, b"nan"),
        (REPORT, 6, b"-1"),
        (REPORT, 6, b"38654705664"),
        (REPORT, 6, b"1_0"),
        (REPORT, 6, b" 9"),
        (REPORT, 6, b"2"),
        (REPORT, 8, b"inf"),
        (REPORT, 8, b"10"),
        (REPORT, 9, b"rt"),
        (REPORT, 10, b"soon"),
        (REPORT, 10, b"-41"),
        (REPORT, 10, b"1e30"),
        (REPORT, 12, b"1e999"),
        (REPORT, 12, b"0"),
        (REPORT, 12, b"-5"),
        (REPORT, 11, b"total"),
        (REPORT, 5, b"sum"),
        (REPORT, 2, b"\xff"),
        (REPORT, 0, b"downstream"),
        (REPORT, 14, b"util:1e30"),
        (REPORT, 14, b"util:-1"),
        (REPORT, 14, b"util"),
        (REPORT, 14, b"util:0.5:1"),
        (HEAT, 2, b"9"),
        (HEAT, 2, b"-1"),
        (HEAT, 2, b"1_0"),
        (HEAT, 2, b""),
        (HEAT, 2, b"9" * 5000),
        (HEAT, 4, b"sing"),
        (HEAT, 6, b"-1"),
        (HEAT, 8, b"1e30"),
        (HEAT, 10, b"0"),
        (HEAT, 9, b"route"),
    ],
)
def test_a_report_that_cannot_be_used_is_skipped(message, place, value):
    message = list(message)
    message[place] = value
    ids = names()
    ids.zone("b")
    with pytest.raises(Malformed):
        read_report(message, ids, 9, 0)


def caller(front):
    sock = socket.create_connection(front.at)
    sock.setblocking(False)
    return sock


def heard(sock):
    try:
        return sock.recv(1 << 20)
    except BlockingIOError:
        return None


@pytest.fixture
def front(kit):
    made = TelemetryServer(kit.loop, kit.pool, kit.counters, ("127.0.0.1", 0), names(), 9, kit.events.append)
    yield made
    made.close()


@pytest.fixture
def collector(kit, front):
    sock = caller(front)
    sock.send(JOIN)
    until(kit.loop, lambda: front._collectors)
    yield sock
    sock.close()


def test_a_report_that_is_spoilt_costs_neither_its_neighbours_nor_the_connection(kit, front, collector):
    collector.send(
        resp.encode(b"nonsense") + resp.encode(*REPORT) + resp.encode(*REPORT[:9]) + resp.encode(*REPORT) + HB
    )
    got = []
    until(kit.loop, lambda: got.append(heard(collector)) or got[-1])
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
def test_who_cannot_join_or_breaks_the_form_is_let_go_at_once(kit, front, said, events):
    sock, got = caller(front), bytearray()
    sock.send(said)
    end = kit.loop.now() + 900 * MS
    until(kit.loop, lambda: b"reject" in got.__iadd__(heard(sock) or b""))
    assert kit.loop.now() < end and not front._strangers and not front._collectors and len(kit.events) == events
    sock.close()


@pytest.mark.parametrize("said", [b"", HB, JOIN[:-5], JOIN[:9]])
def test_who_has_not_joined_in_time_is_let_go_and_who_has_stays(kit, front, collector, said):
    sock, got = caller(front), bytearray()
    sock.send(said)
    came = kit.loop.now()

    def let_go():
        if said == HB and kit.loop.now() - came < 500 * MS:  # nor does asking for signs of life keep it
            sock.send(HB)
        got.extend(heard(sock) or b"")
        return b"reject" in got

    until(kit.loop, let_go)
    assert 900 * MS < kit.loop.now() - came < 2900 * MS and (HB_OK in got) is (said == HB)
    assert heard(collector) is None and list(front._collectors) and not front._strangers
    sock.close()


def test_hundreds_at_once_all_hear_and_push_out_no_collector(kit, front, collector):
    crowd = [caller(front) for _ in range(300)]
    late = caller(front)
    late.send(JOIN)
    most, gone = 0, set()

    def all_heard():
        nonlocal most
        most = max(most, len(front._strangers))
        gone.update(sock for sock in crowd if sock not in gone and heard(sock))
        return len(gone) == 300

    until(kit.loop, all_heard)
    assert most <= 64 and heard(collector) is heard(late) is None and len(front._collectors) == 2
    for sock in (*crowd, late):
        sock.close()


def test_of_too_many_collectors_of_a_zone_the_longest_silent_goes(kit, front, collector):
    others = []
    for number in range(1, 5):
        collector.send(resp.encode(*REPORT))
        until(kit.loop, lambda number=number: len(kit.events) == number)
        others.append(caller(front))
        others[-1].send(JOIN)
        until(kit.loop, lambda number=number: kit.counters.counts["accepted"] == 1 + number and not front._strangers)
    assert len(front._collectors) == 4 and b"reject" in heard(others[0]) and heard(collector) is None
    for sock in others:
        sock.close()


@pytest.mark.parametrize("lasts, stays", [(119_000, True), (121_000, False)])
def test_a_collector_that_says_nothing_for_long_is_let_go(kit, front, collector, lasts, stays):
    (held,) = front._collectors.values()
    held.heard_at = kit.loop.now() - lasts * MS
    front._timer.cancel()
    front._sweep()
    assert bool(front._collectors) is stays


def test_a_caller_that_resets_costs_nobody_else(kit, front, collector):
    rude = caller(front)
    rude.send(resp.encode(*REPORT)[:30])
    until(kit.loop, lambda: kit.counters.counts["accepted"] == 2)
    rude.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    rude.close()
    collector.send(HB)
    until(kit.loop, lambda: heard(collector) == HB_OK)
    until(kit.loop, lambda: not front._strangers)


def test_short_of_descriptors_strangers_make_room(kit, front):
    strangers = [caller(front) for _ in range(2)]
    until(kit.loop, lambda: len(front._strangers) == 2)
    assert (
        front._make_room("EMFILE")
        and len(front._strangers) == 1
        and front._make_room("EMFILE")
        and not front._make_room("EMFILE")
    )
    for sock in strangers:
        sock.close()


def test_a_listener_short_of_descriptors_looks_away_and_comes_back(kit, monkeypatch):
    taken, troubles = [], []
    listener = Listener(kit.loop, ("127.0.0.1", 0), taken.append, troubles.append, 20 * MS)
    accept, calls = listener._sock.accept, []

    class Short:
        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            calls.append(1)
            if len(calls) == 1:
                raise OSError(24, "EMFILE")
            return accept()

    real, listener._sock = listener._sock, Short()
    sock = socket.create_connection(listener.at)
    until(kit.loop, lambda: taken)
    assert troubles == ["EMFILE"] and len(calls) <= 4
    listener._sock = real
    listener.close()
    for each in (sock, *taken):
        each.close()


# Connections


class End:
    def __init__(self):
        self.got, self.gone = bytearray(), []

    def on_data(self, data):
        self.got += data

    def on_close(self, why):
        self.gone.append(why)


def pair(kit, most_waiting):
    ours, theirs = connected()
    end = End()
    return Connection(kit.loop, kit.pool, ours, end, most_waiting), end, theirs


def connected():
    with socket.create_server(("127.0.0.1", 0)) as server:
        one = socket.create_connection(server.getsockname())
        return one, server.accept()[0]


def test_what_a_slow_reader_leaves_waits_in_order_up_to_a_bound(kit):
    connection, end, theirs = pair(kit, 8 << 20)
    theirs.setblocking(False)
    sent, got = b"".join(b"%07d" % i for i in range(900_000)), bytearray()
    connection.write(sent)
    until(kit.loop, lambda: got.extend(heard(theirs) or b"") or len(got) == len(sent))
    assert bytes(got) == sent and not end.gone
    connection.write(b"x" * (9 << 20))
    connection.close("again")
    assert end.gone == ["the other side does not read"] and kit.pool.out == 0
    theirs.close()


def test_a_dial_given_up_in_the_pass_in_which_it_comes_up_is_not_looked_at_again(kit):
    """Guards against a socket that was given back being asked for its error: EBADF, or another's by now."""

    class Rival:
        def on_open(self):
            opened.append(self)
            for other in dialled:
                if other is not self.ours:
                    other.close("one is enough")

        def on_close(self, why):
            gone.append(why)

    opened, gone, dialled = [], [], []
    with socket.create_server(("127.0.0.1", 0)) as server:
        to = address("127.0.0.1:%d" % server.getsockname()[1])
        for rival in (Rival(), Rival()):
            rival.ours = Dialled(kit.loop, kit.pool, to, rival, 99, 250 * MS)
            dialled.append(rival.ours)
        until(kit.loop, lambda: opened)
        assert len(opened) == 1 and gone == ["one is enough"]


# HTTP


class Asker:
    def __init__(self):
        self.outcomes = []

    def on_answer(self, status, body):
        self.outcomes.append((status, body))

    def on_broken(self, why):
        self.outcomes.append(why.split(":")[0])


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"


@pytest.mark.parametrize(
    "answer, outcome, kept",
    [
        (GOOD, (200, b"yes"), True),
        (b"HTTP/1.1 503 no\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", (503, b"no"), True),
        (GOOD.replace(b"\r\n\r", b"\r\nConnection: close\r\n\r"), (200, b"yes"), False),
        (b"RELAY 9\r\n\r\n", "unreadable", False),
        (b"\x00\xff\x00", "unreadable", False),
        (b"HTTP/1.1 200 OK\r\n" + b"X" * 40_000, "too large", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"x" * 900, "too large", False),
        (GOOD[:-1], "silent", False),
        (b"", "silent", False),
        (None, "ended", False),
    ],
)
@pytest.mark.parametrize("piece", [1, 100_000])
def test_a_call_ends_in_one_outcome_however_the_answer_comes(kit, answer, outcome, kept, piece):
    def does(visitor, path, body):
        if answer is None:
            visitor.connection.close("broken off")
        for at in range(0, len(answer or b""), piece):
            visitor.connection.write(answer[at : at + piece])

    party, asker = StubServer(kit, does), Asker()
    client = Client(kit.loop, kit.pool, party.at, asker, 250 * MS, 500)
    for number in (1, 2):
        client.call("GET", "/", b"", (100 if outcome == "silent" else 20_000) * MS)
        until(kit.loop, lambda number=number: len(asker.outcomes) == number)
    assert asker.outcomes == [outcome] * 2 and len(party.connections) == (1 if kept else 2)
    client.close()
    party.close()


def test_a_connection_that_never_comes_up_is_given_up(kit):
    with socket.socket() as full:  # takes one connection that nobody accepts, and leaves the next unanswered
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        first, asker = socket.create_connection(full.getsockname()), Asker()
        client = Client(kit.loop, kit.pool, "%s:%d" % full.getsockname(), asker, 100 * MS, 500)
        client.call("GET", "/", b"", 5000 * MS)
        until(kit.loop, lambda: asker.outcomes)
        assert asker.outcomes == ["does not come up"]
        first.close()


@pytest.mark.parametrize("outcome", [GOOD, "silent", "ended"])
def test_a_call_that_is_out_ends_where_it_went_and_the_next_goes_to_the_new_address(kit, outcome):
    old, new = StubServer(kit), StubServer(kit, lambda visitor, path, body: visitor.connection.write(GOOD))
    asker = Asker()
    client = Client(kit.loop, kit.pool, old.at, asker, 250 * MS, 500)
    client.call("GET", "/", b"", (50 if outcome == "silent" else 20_000) * MS)
    until(kit.loop, lambda: old.requests)
    client.move(new.at)
    if outcome == GOOD:
        old.connections[0].connection.write(GOOD)
    elif outcome == "ended":
        old.connections[0].connection.close("over")
    until(kit.loop, lambda: asker.outcomes)
    client.call("GET", "/", b"", 20_000 * MS)
    until(kit.loop, lambda: len(asker.outcomes) == 2)
    assert asker.outcomes == [(200, b"yes") if outcome == GOOD else outcome, (200, b"yes")]
    assert len(old.requests) == len(old.connections) == len(new.requests) == 1
    client.close()
    old.close()
    new.close()


# Orders


def end(made, outcome):
    made._client.busy = False
    made.on_answer(200, outcome) if isinstance(outcome, bytes) else made.on_broken("silent")


def ordered(made, *tables, behind=0):
    for table in tables:
        made.set_endpoint(table, 0, 1.0)
    made.request_acknowledgement(tables[-1], True, behind)
    made.close_round()


@pytest.mark.parametrize(
    "outcome",
    [
        None,
        b"{",
        b"[]",
        b'{"ok_count":3,"\xff":1}',
        b"[" * 3000,
        b"\xff\x00",
        b'{"ok_count":true}',
        b'{"ok_count":9}',
        b'{"ok_count":-1}',
        b'{"error":"limit"}',
    ],
)
def test_a_call_of_unknown_outcome_is_sent_again_whole_before_anything_newer(kit, outcome):
    made = orders(kit)
    ordered(made, 1, 2)
    ordered(made, 3)
    end(made, outcome)
    assert len(made._client.bodies) == 1  # not at once: no spin
    until(kit.loop, lambda: len(made._client.bodies) == 2)
    end(made, b'{"ok_count":3}')
    first = [("put", 1), ("put", 2), ("fence", 2)]
    assert made._client.bodies == [first, first, [("put", 3), ("fence", 3)]]


@pytest.mark.parametrize("transit, behind", [(20_000 * MS, 0), (0, 20_000 * MS)])
@pytest.mark.parametrize("answered", [6, 7])
def test_a_call_of_unknown_outcome_that_a_proxy_proves_is_not_sent_again(kit, answered, transit, behind):
    """Nothing newer goes before that, or before it was sent again; no proof comes before what waits has left."""
    relay, told, made = relayed(kit, *STANDING)
    made._transit_ns = transit
    ordered(made, 7, behind=behind)
    ordered(made, 8)
    end(made, None)
    relay.connections[-1].send(message("done", node=1, nonce=answered, latency=1.0))
    until(kit.loop, lambda: isinstance(kit.events[-1], WatermarkAcknowledged))
    assert len(made._client.bodies) == (1 if answered == 6 else 2) and made._client.bodies[-1] == [
        ("put", 7 + (answered == 7)),
        ("fence", 7 + (answered == 7)),
    ]
    told.close()
    relay.close()


@pytest.mark.parametrize(
    "taken, left", [(0, [("put", 2), ("fence", 2)]), (1, [("fence", 2)]), (2, [("put", 3), ("fence", 3)])]
)
def test_only_the_order_that_failed_is_dropped(kit, taken, left):
    made = orders(kit)
    ordered(made, 1, 2)
    ordered(made, 3)
    end(made, b'{"ok_count":%d}' % taken)
    assert made._client.bodies[-1] == left and kit.counters.counts["orders_dropped"] == 1


@pytest.mark.parametrize("first, number, stamp", [(0, 5, 5), (65_000, 5, 65_005), (65_000, 600, 64)])
def test_marks_are_told_apart_from_those_of_a_former_life(kit, first, number, stamp):
    made = orders(kit, first)
    made.request_acknowledgement(number, True)
    made.close_round()
    assert made._client.bodies == [[("fence", stamp)]] and made.watermark_of(stamp) == number


def test_a_call_that_the_relay_can_never_read_does_not_stop_the_queue(kit):
    made = orders(kit)
    ordered(made, 1)
    ordered(made, 2)
    for number in range(1, 6):
        until(kit.loop, lambda number=number: len(made._client.bodies) == number)
        end(made, b'{"error":"malformed"}')
    assert made._client.bodies[-1] == [("put", 2), ("fence", 2)]


def test_every_order_has_its_words_and_a_long_round_is_several_calls(kit):
    made = orders(kit)
    made.clear_table(4)
    made.set_withdrawn(1, True)
    made.set_withdrawn(1, False)
    made.set_admission(-1, 0, 1.0, 1)
    made.set_admission(4, 2, 0.5, 1)
    made.close_round()
    assert [json.loads(order.encoded) for order in made._queue[0]] == [
        {"verb": "wipe", "cluster": 4},
        {"verb": "eject", "endpoint": "s-2"},
        {"verb": "uneject", "endpoint": "s-2"},
        {"verb": "gate", "cluster": "*", "gate": 1.0, "again": 1},
        {"verb": "gate", "cluster": 4, "gate": 0.5, "again": 1, "for": ["buy"]},
    ]
    ordered(made, *range(2500))
    sizes = [sum(len(order.encoded) + 1 for order in call) + 10 for call in made._queue]
    assert len(sizes) > 3 and max(sizes) <= 60_000
    ordered(made, *range(2500))
    assert made.is_full()


def test_orders_wait_while_the_news_is_away_and_go_with_a_slice_that_is_lost(kit):
    made = orders(kit)
    made.suspend()
    made.slice_given(1)
    ordered(made, 1, 2)
    made.slice_taken_back(1)
    assert not made._client.bodies
    made.resume()
    assert made._client.bodies == [[("put", 2), ("fence", 2)]]


def test_a_call_that_is_out_is_sent_again_without_orders_for_a_slice_lost_meanwhile(kit):
    made = orders(kit)
    made.slice_given(1)
    ordered(made, 1, 2)
    made.slice_given(1)
    ordered(made, 1)
    made.slice_taken_back(3)
    end(made, None)
    until(kit.loop, lambda: len(made._client.bodies) == 2)
    end(made, b'{"ok_count":2}')
    assert made._client.bodies[1:] == [[("put", 2), ("fence", 2)], [("put", 1), ("fence", 1)]]


@pytest.mark.parametrize("lines, agrees", [({}, True), ({0: 1.0}, True), ({1: 1.0}, False), ({0: 1.0, 1: 1.0}, False)])
def test_what_the_store_tells_is_held_against_what_was_ordered(kit, lines, agrees):
    made = orders(kit)
    made.slice_given(1)
    ordered(made, 1)  # may have been carried out, or not
    assert made.explains(1, lines) is agrees


@pytest.mark.parametrize("lines", [{}, {0: 1.0}])
def test_an_answer_that_comes_while_the_news_is_away_waits_for_what_stands(kit, lines):
    made = orders(kit)
    made.slice_given(1)
    ordered(made, 1)
    made.suspend()
    end(made, b'{"ok_count":2}')
    assert made.explains(1, lines)
    made.resume()
    assert made.explains(1, {0: 1.0}) and not made.explains(1, {}) and not made._queue


# Updates of proxies


def relayed(kit, *known):
    relay = StubServer(kit, lambda visitor, path, body: visitor.begin_stream() if path == "/api/stream" else None)
    made = orders(kit)
    told = ProxyUpdates(kit.loop, kit.pool, kit.counters, relay.at, names(), 9, 9, made, kit.events.append)
    until(kit.loop, lambda: kit.counters.counts["news_started"])
    relay.connections[-1].send(*known, {})
    until(kit.loop, lambda: told._reconciliation is None)
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
    until(kit.loop, lambda: kit.counters.counts["news_started"] == 2)
    relay.connections[-1].send(*lines)


def test_news_become_events_and_nobody_writes_there(kit):
    relay, told, _ = relayed(kit, *STANDING)
    asked = relay.connections[-1].bytes_received
    for line in (
        b'{"type":"moon","object":{}}\n',
        message("attach", node=99, locality="a", w=1, cold=True),
        message("entry", shard=8, endpoint="s-1", w=1.0),
        message("done", node=1, nonce=7, latency=2.5),
        message("done", node=1, nonce=7, latency=9.5),
        message("owner", shard=3, set=False),
        message("detach", node=2),
    ):
        relay.connections[-1].send(line)
    until(kit.loop, lambda: kit.events[-1:] == [ProxyLeft(2)])
    assert kit.events == [
        ProxyJoined(1, 0, 2.0, True),
        ProxyJoined(2, 0, 2.0, True),
        SliceOwnership(3, True),
        EndpointStored(3, 0, 1.0),
        SliceOwnership(4, True),
        EndpointStored(4, 0, 1.0),
        WatermarkAcknowledged(1, 7, 2_500_000),
        SliceOwnership(3, False),
        ProxyLeft(2),
    ]
    assert kit.counters.counts["news_skipped"] == 3 and relay.connections[-1].bytes_received == asked
    told.close()
    relay.close()


@pytest.mark.parametrize(
    "after", [None, message("entry", shard=3, endpoint="s-1", w=1.0), message("owner", shard=4, set=True)]
)
def test_a_slice_is_given_with_its_lines_however_late_they_come(kit, monkeypatch, after):
    """Also where nothing follows: then it is bare."""
    monkeypatch.setattr("kestrelplank.assigner.proxy_updates.QUIET_NS", 1000 * MS)
    relay, told, _ = relayed(kit)
    relay.connections[-1].send(message("owner", shard=3, set=True))
    until(kit.loop, lambda: told._new_slice)
    for _ in range(5):
        kit.loop.at(kit.loop.now() + MS, lambda: None)
        kit.loop.turn()
    assert not kit.events
    relay.connections[-1].send(*[after] if after else [])
    until(kit.loop, lambda: kit.events and not (after and after["type"] == "entry" and told._new_slice))
    assert kit.events[:2] == [SliceOwnership(3, True)] + [EndpointStored(3, 0, 1.0)] * bool(
        after and after["type"] == "entry"
    )
    told.close()
    relay.close()


@pytest.mark.parametrize("line", [b"{\n", b"[]\n", b'{"type":"\xff"}\n', b"7\n"])
def test_a_line_of_news_that_cannot_be_read_makes_all_that_stands_be_told_anew(kit, line):
    relay, told, _ = relayed(kit, *STANDING)
    relay.connections[-1].send(line + json.dumps(message("detach", node=1)).encode() + b"\n")
    until(kit.loop, lambda: kit.counters.counts["news_started"] == 2)
    relay.connections[-1].send(*STANDING[1:], {})
    until(kit.loop, lambda: told._reconciliation is None)
    assert kit.events[6:] == [ProxyLeft(1), ProxyJoined(2, 0, 2.0, False)]
    told.close()
    relay.close()


@pytest.mark.parametrize("end", [{}, None])
def test_after_a_break_only_what_changed_is_told(kit, end):
    """Also where no sign of life ends what stands: it is over when the burst is."""
    relay, told, made = relayed(kit, *STANDING)
    again(kit, relay, attach(1), attach(5), *STANDING[2:4], *([end] if end is not None else []))
    until(kit.loop, lambda: told._reconciliation is None)
    assert kit.events == [
        ProxyJoined(5, 0, 2.0, True),
        ProxyLeft(2),
        SliceOwnership(4, False),
        ProxyJoined(1, 0, 2.0, False),
    ]
    told.close()
    relay.close()


def test_a_slice_taken_back_right_after_what_stands_stays_taken_back(kit):
    relay, told, made = relayed(kit, *STANDING)
    again(kit, relay, *STANDING, message("owner", shard=3, set=False))
    until(kit.loop, lambda: told._reconciliation is None and kit.events)
    assert [event for event in kit.events if isinstance(event, SliceOwnership)] == [SliceOwnership(3, False)]
    told.close()
    relay.close()


def test_a_slice_that_passed_through_other_hands_is_taken_up_anew(kit):
    relay, told, made = relayed(kit, *STANDING)
    made.suspend()
    ordered(made, 3, 4)
    again(kit, relay, *STANDING[:3], message("entry", shard=3, endpoint="s-2", w=1.0), *STANDING[4:], {})
    until(kit.loop, lambda: told._reconciliation is None)
    assert kit.events[:3] == [SliceOwnership(3, False), SliceOwnership(3, True), EndpointStored(3, 1, 1.0)]
    assert made._client.bodies == [[("put", 4), ("fence", 4)]]
    told.close()
    relay.close()


@pytest.mark.parametrize("answered, asked", [([1, 2], []), ([1], [[("fence", 6)]])])
def test_answers_lost_with_the_news_are_asked_for_again(kit, answered, asked):
    relay, told, made = relayed(kit, *STANDING)
    ordered(made, 6)
    end(made, b'{"ok_count":2}')
    relay.connections[-1].send(*(message("done", node=proxy, nonce=6, latency=1.0) for proxy in answered))
    until(kit.loop, lambda: [type(event) for event in kit.events].count(WatermarkAcknowledged) == len(answered))
    again(kit, relay, *STANDING, {})
    until(kit.loop, lambda: told._reconciliation is None)
    assert made._client.bodies[1:] == asked
    told.close()
    relay.close()


def test_a_stream_that_falls_silent_is_dialled_again(kit, monkeypatch):
    limits = proxy_updates.STREAM_LIMITS._replace(silence_ns=50 * MS)
    monkeypatch.setattr(proxy_updates, "STREAM_LIMITS", limits)
    relay, told, _ = relayed(kit, *STANDING)
    until(kit.loop, lambda: len(relay.connections) > 1)
    assert kit.counters.counts["news_broken"] >= 1 and not any(isinstance(event, ProxyLeft) for event in kit.events)
    told.close()
    relay.close()


# Discovery


def discovering(kit, watch, known=None):
    """`watch` holds what each watch in turn is told; asked for the whole list, the agent has version 5."""

    def answer(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
            visitor.send(*watch.pop(0) if watch else ())
        else:
            visitor.reply(node_list(5, instance("s-1"), reset=True))

    agent = StubServer(kit, answer)
    made = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, names(), kit.events.append)
    made.start(known)
    return agent, made


@pytest.mark.parametrize("broken", [b"{]\n", b'{"generation":9,"reset":false}\n', b"[1]\n"])
def test_the_watch_goes_on_from_the_newest_list(kit, monkeypatch, broken):
    """Also after one that can't be read: what it changed would be lost else."""
    monkeypatch.setattr("kestrelplank.assigner.node_discovery.ANSWER_TIMEOUT_NS", 20_000 * MS)
    started = instance("s-2", "terminating", 1000.5)
    agent, made = discovering(
        kit,
        [[node_list(5, started), b"\n", broken], [node_list(6, instance("s-2"))]],
        node_list(4, instance("s-1"), {"instanceId": 7}, instance("s-1", "asleep"), reset=True),
    )
    until(kit.loop, lambda: kit.counters.counts["lists_in"] == 3)
    watched = [path for _, path, _ in agent.requests if "follow" in path]
    assert watched == [f"/v1/endpoints?follow=1&since={version}" for version in (4, 5)]
    boot = kit.loop.from_unix(1_000_500_000)
    assert kit.counters.counts["entries_skipped"] == 2 and kit.events == [
        NodeListUpdate(NodeListKind.CACHED, [NodeEntry(0, "up", 0, 1, 1.0, None)]),
        NodeListUpdate(NodeListKind.DELTA, [NodeEntry(1, "draining", 0, 1, 1.0, boot)]),
        NodeListUpdate(NodeListKind.DELTA, [NodeEntry(1, "up", 0, 1, 1.0, None)]),
    ]
    made.fetch()
    until(kit.loop, lambda: kit.events[-1] == NodeListUpdate(NodeListKind.FULL, [NodeEntry(0, "up", 0, 1, 1.0, None)]))
    made.close()
    agent.close()


def test_a_node_that_is_forgotten_leaves_nothing_and_its_index_is_not_used_again(kit):
    agent, made = discovering(kit, [])
    probes = HealthChecks(kit.loop, kit.pool, kit.counters, made.addresses, True, 250 * MS, True, kit.events.append)
    conductor = RoundRunner(
        kit.loop,
        kit.counters,
        Rounds(),
        MS,
        OrderQueue(kit.loop, kit.pool, kit.counters, agent.at, made._ids, [], 0),
        made,
        probes,
        None,
    )
    before = None
    for number in range(3000):
        made._take(node_list(number, instance(f"n-{number}")), None)
        probes.check(index := made._ids.nodes[f"n-{number}"])
        conductor.forget_node(index)
        kit.events.clear()
        if number == 1000:
            gc.collect()
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert (
        index == 3001
        and list(made._ids.nodes) == ["s-1", "s-2"]
        and not made.addresses
        and not probes._checks
        and grown < 100_000
    )
    made.close()
    agent.close()


def test_what_was_known_is_told_to_be_the_list_where_nothing_has_changed(kit):
    agent, made = discovering(kit, [], node_list(5, instance("s-1"), reset=True))
    until(kit.loop, lambda: kit.events[1:] == [NodeListUpdate(NodeListKind.DELTA, [])])
    made.on_answer(200, json.dumps(node_list(5, instance("s-1"), reset=True)).encode())
    assert len(kit.events) == 2
    made.close()
    agent.close()


def test_a_watch_that_lies_behind_what_the_agent_has_is_replaced(kit):
    """It counts as told what the agent wrote to a connection that has silently died."""
    agent, made = discovering(kit, [[node_list(4, reset=True)], [node_list(5, instance("s-1", "terminating"))]])
    until(
        kit.loop,
        lambda: kit.events[-1:] == [NodeListUpdate(NodeListKind.DELTA, [NodeEntry(0, "draining", 0, 1, 1.0, None)])],
    )
    assert kit.counters.counts["watches_behind"] == 1
    made.close()
    agent.close()


def test_a_list_that_does_not_come_is_told_as_failed(kit):
    agent = StubServer(kit)
    made = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, names(), kit.events.append)
    made.fetch()
    until(kit.loop, lambda: kit.events == [NodeListUpdate(NodeListKind.FAILED, ())])
    made.close()
    agent.close()


# HealthChecks and peers


@pytest.mark.parametrize(
    "status, body, verdict, load",
    [
        (200, b"inflight=7,util=0.5,moon=2", "ok", {"in_flight": 7.0, "utilization": 0.5}),
        (503, b"", "full", {}),
        (200, b"util=much", "ok", {}),
        (404, b"", "failed", {}),
        (None, b"", "broken", {}),
    ],
)
def test_a_probe_tells_what_the_node_answered(kit, status, body, verdict, load):
    node = StubServer(
        kit, lambda visitor, path, _: visitor.reply(body, status) if status else visitor.connection.close("broken off")
    )
    probes = HealthChecks(kit.loop, kit.pool, kit.counters, {0: node.at}, True, 250 * MS, True, kit.events.append)
    probes.check(0)
    until(kit.loop, lambda: kit.events)
    checked = kit.events[0]
    assert isinstance(checked, HealthChecked)
    assert (checked.node, checked.verdict, checked.load) == (0, verdict, load)
    probes.check(0)
    until(kit.loop, lambda: len(kit.events) == 2)
    assert len(node.connections) == (1 if status else 2) and node.requests[0][1] == "/status/load"
    probes.check(1)
    assert kit.counters.counts["probes_not_sent"] == 1
    probes.close()
    node.close()


def test_datagrams_go_to_one_peer_or_to_all_and_strangers_are_not_heard(kit):
    others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for sock in others:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
    at = ["%s:%d" % sock.getsockname() for sock in others]
    peers = PeerDatagrams(kit.loop, kit.counters, "127.0.0.1:0", at[:2], at[2], names(), kit.events.append)
    peers.send(1, b"one")
    peers.send(None, b"all")
    peers.send(7, b"nobody")
    peers.send(0, b"x" * 257)
    assert others[1].recv(300) == b"one" and others[2].recv(300) == b"all"
    others[2].sendto(b"stranger", peers._sock.getsockname())
    others[0].sendto(b"x" * 257, peers._sock.getsockname())
    others[1].sendto(b"peer", peers._sock.getsockname())
    peers.share_loads({1: 7.5})
    others[0].sendto(others[2].recv(300), peers._sock.getsockname())
    until(kit.loop, lambda: len(kit.events) == 2)
    assert (
        kit.events == [PeerMessage(1, b"peer"), PeerLoads(0, [(1, 7.5)])]
        and kit.counters.counts["datagrams_skipped"] == 2
    )
    peers.close()
    for sock in others:
        sock.close()


# The conductor


class Rounds:
    def __init__(self):
        self.held = []

    def round(self, now, events, out):
        self.held.append(events)
        out.set_endpoint(0, 0, 1.0)


def test_a_round_gathers_what_came_and_waits_while_orders_pile_up(kit):
    made = orders(kit)
    policy = Rounds()
    conductor = RoundRunner(
        kit.loop,
        kit.counters,
        policy,
        5 * MS,
        made,
        NodeDiscovery(kit.loop, kit.pool, kit.counters, "127.0.0.1:1", names(), kit.events.append),
        HealthChecks(kit.loop, kit.pool, kit.counters, {}, False, MS, False, kit.events.append),
        None,
    )
    for number in range(9):
        conductor.on_event(ProxyLeft(number))
    until(kit.loop, lambda: policy.held)
    assert [len(events) for events in policy.held] == [9] and made._client.bodies == [[("put", 0)]]
    made._queued_bytes += 1 << 20
    conductor.on_event(ProxyLeft(1))
    until(kit.loop, lambda: kit.counters.counts["rounds_held_up"])
    assert len(policy.held) == 1
    made._queued_bytes -= 1 << 20
    until(kit.loop, lambda: len(policy.held) == 2)
