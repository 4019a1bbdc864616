"""Tests of the proxy over loopback sockets: wrong retries, HTTP framing faults, missing backpressure, and leaks."""

import socket
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as some
from parties import MS, Kit, wait_until

from kestrelplank.load_balancing.admission import STOPPING_IDLE_TIMEOUT_NS, Admission, AdmissionSettings
from kestrelplank.load_balancing.attempts import Attempts, AttemptSettings, OverloadControl
from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits, ConcurrencyLimitSettings
from kestrelplank.load_balancing.connection_pool import PoolSettings
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.retry_budget import RetryBudget
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.load_balancing.waiting_queue import WaitingQueue
from kestrelplank.reference_proxy.client_request import OpType
from kestrelplank.reference_proxy.exchange import ExchangeLimits
from kestrelplank.reference_proxy.proxy import Proxy, ProxyCores, ProxyHooks
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.sockets.connection import Connection, Listener
from kestrelplank.sockets.loop import READ
from kestrelplank.state import idempotency_cache
from kestrelplank.state.table_orders import SetEndpoint, SetWithdrawn
from kestrelplank.state.tables import Tables

S = 1000 * MS
LOOK, PLACE, KEYED = 0, 1, 2
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_STARTED = b"HTTP/1.1 503 Full\r\nX-Not-Started: 1\r\nContent-Length: 5\r\n\r\nfull\n"
GET = b"GET /look HTTP/1.1\r\nHost: a\r\n\r\n"


def post(target=b"/place", body=b"x", more=b""):
    return b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n%s" % (target, len(body), more, body)


class Peer:
    """A connection that a stub node has accepted: records received bytes and writes the test's replies."""

    def __init__(self, node, sock):
        self.node, self.data, self.closed_because = node, b"", None
        self.connection = Connection(node.kit.loop, node.kit.pool, sock, self, 1 << 26)

    def on_data(self, data):
        self.data += data
        if self.node.handler:
            self.node.handler(self)

    def on_close(self, why):
        self.closed_because = why

    def write(self, data):
        self.connection.write(data)

    def requests(self):
        return self.data.count(b"HTTP/1.1\r\n")


class Node:
    def __init__(self, kit, handler=None):
        self.kit, self.handler, self.peers = kit, handler, []
        self.listener = Listener(
            kit.loop, ("127.0.0.1", 0), lambda sock: self.peers.append(Peer(self, sock)), print, MS
        )
        self.at = "%s:%d" % self.listener.at

    def seen(self):
        return b"".join(peer.data for peer in self.peers)

    def close(self):
        self.listener.close()
        for peer in self.peers:
            peer.connection.close("over")


def answers_with(*replies):
    """Return a handler that answers each complete request with the next reply and repeats the last one."""
    remaining = list(replies)

    def respond(peer):
        while peer.data.count(b"\r\n\r\n") > getattr(peer, "replied", 0):
            peer.replied = getattr(peer, "replied", 0) + 1
            peer.write(remaining.pop(0) if len(remaining) > 1 else remaining[0])

    return respond


class Client:
    def __init__(self, kit, at):
        self.kit, self.data, self.ended = kit, b"", False
        self.sock = socket.create_connection(at)
        self.sock.setblocking(False)
        kit.loop.watch(self.sock, READ, self._read)

    def _read(self, events):
        try:
            data = self.sock.recv(1 << 20)
        except ConnectionResetError:
            data = b""
        self.data += data
        if not data:
            self.close()

    def send(self, data):
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.kit.loop.at(self.kit.loop.now() + MS, lambda: None)
                self.kit.loop.run_once()
            except (BrokenPipeError, ConnectionResetError):
                return

    def close(self):
        if not self.ended:
            self.ended = True
            self.kit.loop.forget(self.sock)
            self.sock.close()


class Site:
    def __init__(self, *nodes, weights=None, tables=1, **options):
        self.kit, self.clients = Kit(), []
        self.nodes = [Node(self.kit, handler) for handler in nodes]
        self.tables = Tables(tables, 3, 1)
        self.tables.begin_stream(0)
        for table in range(tables):
            self.tables.set_table(
                table, 0, weights if weights is not None else {index: 1.0 for index in range(len(nodes))}
            )
        random = Random(options.get("seed", 1))
        timeouts = options.get("timeouts", (2 * S, S, 2 * S))
        self.attempts = Attempts(
            random,
            self.tables,
            AttemptSettings(timeouts, SelectionMethod(options.get("pick", "random")), options.get("hold", 300 * MS)),
            OutlierEjection(random, options.get("strikes", 0), (S, S)),
            OverloadControl(
                options.get("budget"),
                ConcurrencyLimits(ConcurrencyLimitSettings(*options["limits"])) if "limits" in options else None,
                WaitingQueue(4, (S, S, S), (1.0, 5.0, 2.0), 0.5),
            ),
        )
        self.addresses = {index: node.at for index, node in enumerate(self.nodes)}
        self.attempt_reports, self.ops = [], []
        op_types = [
            OpType("look", b"GET", b"/look", False, timeouts[0]),
            OpType("place", b"POST", b"/place", False, timeouts[1]),
            OpType("keyed", b"", b"/keyed", True, timeouts[2]),
        ]
        self.proxy = Proxy(
            ProxyIo(self.kit.loop, self.kit.pool, self.kit.counters),
            ("127.0.0.1", 0),
            op_types,
            options.get("exchange_limits", ExchangeLimits()),
            ProxyCores(
                self.tables,
                self.attempts,
                Admission(options.get("admission", AdmissionSettings())),
                idempotency_cache.IdempotencyCache(idempotency_cache.CacheLimits()),
            ),
            options.get("pools", PoolSettings()),
            self.addresses,
            ProxyHooks(
                options.get("table_of", lambda request: 0),
                lambda *attempt: self.attempt_reports.append(attempt),
                lambda *op: self.ops.append(op),
            ),
        )

    def client(self, data=b""):
        self.clients.append(Client(self.kit, self.proxy.listen_address))
        self.clients[-1].send(data)
        return self.clients[-1]

    def wait(self, condition, seconds=10):
        wait_until(self.kit.loop, condition, seconds)

    def pass_time(self, duration):
        end = self.kit.loop.now() + duration
        self.wait(lambda: self.kit.loop.now() >= end)

    def requests(self):
        return sum(peer.requests() for node in self.nodes for peer in node.peers)

    def order(self, *orders):
        self.number = getattr(self, "number", -1) + 1
        self.proxy.tables_changed(self.tables.apply(0, self.number, orders)[0])

    def close(self):
        self.proxy.close()
        for endpoint in (*self.clients, *self.nodes):
            endpoint.close()
        remaining = (
            self.attempts.in_flight,
            self.attempts.waiting_count(),
            self.proxy.exchanges,
            self.proxy.clients.connections,
            self.kit.pool.in_use,
        )
        self.kit.loop.close()
        assert remaining == ({}, 0, {}, {}, 0), remaining


@pytest.fixture
def make_site():
    sites = []

    def make(*nodes, **options):
        sites.append(Site(*nodes, **options))
        return sites[-1]

    yield make
    for site in sites:
        site.close()


def test_requests_are_answered_over_reused_connections(make_site):
    site = make_site(answers_with(OK))
    client = site.client()
    for turn in range(1, 4):
        client.send(GET)
        site.wait(lambda turn=turn: client.data.count(b"ok") == turn)
    assert len(site.nodes[0].peers) == 1 and client.data == OK * 3
    assert [report[2:4] for report in site.attempt_reports] == [(LOOK, True)] * 3 and site.ops == [
        (0, LOOK, "acked")
    ] * 3


def test_hop_by_hop_headers_are_dropped_and_the_deadline_header_is_set(make_site):
    site = make_site(
        answers_with(
            b"HTTP/1.1 200 OK\r\nX-A: 1\r\nKeep-Alive: 5\r\nConnection: x-b\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n"
        )
    )
    client = site.client(
        b"GET /look HTTP/1.1\r\nHost: a\r\nConnection: X-Mine, close\r\nX-Mine: 1\r\nTE: x\r\nX-Deadline-Ms: 9\r\nX-Kept: 1\r\n\r\n"
    )
    site.wait(lambda: client.ended)
    seen = site.nodes[0].seen().lower()
    assert (
        b"x-kept: 1" in seen and b"x-mine" not in seen and b"\r\nte:" not in seen and seen.count(b"x-deadline-ms") == 1
    )
    assert b"x-deadline-ms: 1" in seen and b"X-A: 1" in client.data
    assert b"X-B" not in client.data and b"Keep-Alive" not in client.data and b"Connection: close" in client.data


@pytest.mark.parametrize("second", [OK, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"])
def test_not_started_response_is_retried_once(make_site, second):
    site = make_site(answers_with(NOT_STARTED), answers_with(second), weights={0: 1e9, 1: 1e-9})
    client = site.client(post())
    site.wait(lambda: client.data)
    assert client.data.startswith(second[:12]) and site.requests() == 2 and b"full" not in client.data


# Guards against a second run: an op that runs is retried, as a copy of an earlier "not started" came first.
def test_copy_of_a_not_started_response_is_not_taken_for_the_response_to_the_next_request(make_site):
    def respond(peer):
        first_peer = peer is peer.node.peers[0]
        peer.write(OK if not first_peer else NOT_STARTED if peer.requests() == 1 else NOT_STARTED + OK)

    site = make_site(respond)
    first = site.client(post())
    site.wait(lambda: first.data)
    second = site.client(post())
    site.wait(lambda: second.data)
    assert first.data.startswith(b"HTTP/1.1 503") and second.data == OK and site.requests() == 2


def test_refused_connection_is_retried_at_another_node(make_site):
    site = make_site(answers_with(OK), answers_with(OK), weights={0: 1e9, 1: 1e-9})
    site.nodes[0].listener.close()
    client = site.client(post())
    site.wait(lambda: client.data == OK)
    assert site.attempts.counts["second_tries"] == 1


def test_timed_out_attempt_is_not_retried(make_site):
    site = make_site(None, None, timeouts=(2 * S, 80 * MS, S))
    client = site.client(post())
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 504") and b"aborted: op timeout" in client.data
    site.pass_time(50 * MS)
    assert site.requests() == 1 and site.attempts.counts["second_tries"] == 0
    assert all(
        peer.closed_because for node in site.nodes for peer in node.peers
    )  # closed, as a late response might still arrive


def test_attempt_reset_after_the_complete_request_is_not_retried(make_site):
    site = make_site(lambda peer: peer.connection.close("reset"), lambda peer: peer.connection.close("reset"))
    client = site.client(post())
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 502") and b"aborted: reset" in client.data and site.requests() == 1


def test_truncated_response_closes_the_client_connection_without_a_retry(make_site):
    def cut(peer):
        peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        peer.connection.close("cut")

    site = make_site(cut, cut)
    client = site.client(GET)
    site.wait(lambda: client.ended)
    assert client.data.endswith(b"half") and site.requests() == 1 and site.ops == [(0, LOOK, "aborted")]


def test_table_change_does_not_affect_a_retry_in_flight(make_site):
    site = make_site(answers_with(NOT_STARTED), None, weights={0: 1e9, 1: 1e-9})
    client = site.client(post())
    site.wait(lambda: site.nodes[1].peers and site.nodes[1].peers[0].data)
    site.order(SetEndpoint(0, 1, 0), SetEndpoint(0, 0, 0))
    site.nodes[1].peers[0].write(OK)
    site.wait(lambda: client.data == OK)
    assert site.requests() == 2


def test_node_withdrawn_during_connection_setup_receives_no_request(make_site):
    site = make_site(answers_with(OK), answers_with(OK), weights={0: 1e9, 1: 1e-9})
    client = site.client(GET)
    for _ in range(100):  # single polls: an iteration of the loop may start a connection and also establish it
        if site.proxy.nodes.pools:
            break
        site.kit.loop._call_ready(0.1)
    assert not site.proxy.nodes.connections  # the connection is being set up
    site.order(SetWithdrawn(0, True))
    site.wait(lambda: client.data == OK)
    assert b"GET" not in site.nodes[0].seen() and site.nodes[1].seen().count(b"GET") == 1


def test_withdrawn_node_finishes_its_op_and_gets_no_new_one(make_site):
    site = make_site(None, answers_with(OK), weights={0: 1e9, 1: 1e-9})
    first = site.client(post())
    site.wait(lambda: site.nodes[0].peers and site.nodes[0].peers[0].data)
    site.order(SetWithdrawn(0, True))
    second = site.client(GET)
    site.wait(lambda: second.data == OK)
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: first.data == OK)
    site.wait(lambda: site.nodes[0].peers[0].closed_because)
    assert site.nodes[0].seen().count(b"HTTP/1.1") == 1


def test_op_at_a_withdrawn_node_is_aborted_after_the_grace_period(make_site):
    site = make_site(
        None, weights={0: 1.0}, pools=PoolSettings(withdrawal_grace_ns=50 * MS), timeouts=(9 * S, 9 * S, S)
    )
    client = site.client(post())
    site.wait(lambda: site.nodes[0].peers and site.nodes[0].peers[0].data)
    site.order(SetWithdrawn(0, True))
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 502")


def test_ejected_nodes_are_used_if_all_are_ejected(make_site):
    site = make_site(answers_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), strikes=2)
    client = site.client()
    for turn in range(1, 7):
        client.send(GET)
        site.wait(lambda turn=turn: client.data.count(b"500 No") == turn)


def test_response_before_the_complete_body_is_forwarded_and_closes_both_connections(make_site):
    def early(peer):
        if b"\r\n\r\n" in peer.data and not getattr(peer, "replied", False):
            peer.replied = True
            peer.write(b"HTTP/1.1 413 Too long\r\nContent-Length: 0\r\n\r\n")

    site = make_site(early)
    client = site.client(b"POST /place HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nbegin")
    site.wait(lambda: client.ended)
    assert client.data.startswith(b"HTTP/1.1 413") and b"Connection: close" in client.data
    assert site.nodes[0].peers[0].closed_because  # closed, as the request was not sent completely


def test_pipelined_requests_behind_a_slow_one_are_answered_in_order(make_site):
    site = make_site(None)
    client = site.client(GET + GET.replace(b"/look", b"/look/2") + GET.replace(b"/look", b"/look/3"))
    for index in range(1, 4):
        site.wait(lambda index=index: site.nodes[0].seen().count(b"GET") == index)
        site.pass_time(5 * MS)
        assert site.nodes[0].seen().count(b"GET") == index  # one at a time
        site.nodes[0].peers[0].write(OK.replace(b"ok", b"a%d" % index))
    site.wait(lambda: client.data.endswith(b"a3"))
    assert client.data == b"".join(OK.replace(b"ok", b"a%d" % index) for index in range(1, 4))


@pytest.mark.parametrize("at", ["waiting for an answer", "in its body", "in its head", "waiting for a line"])
def test_client_closing_at_any_stage_cancels_its_attempt_without_a_retry(make_site, at):
    site = make_site(None, weights={} if at == "waiting for a line" else None)
    client = site.client({"in its head": b"GET /lo", "in its body": post(body=b"x" * 99)[:-9]}.get(at, post()))
    if at == "waiting for a line":
        site.wait(lambda: site.attempts.waiting_count())
    elif at != "in its head":
        site.wait(lambda: site.nodes[0].peers and site.nodes[0].peers[0].data)
    else:
        site.wait(lambda: len(site.proxy.admission))
    client.close()
    site.wait(lambda: not len(site.proxy.admission))
    site.wait(lambda: all(peer.closed_because for peer in site.nodes[0].peers))
    assert site.attempts.counts["second_tries"] == 0


@pytest.mark.parametrize(
    "request_",
    [
        b"GET /look HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        b"POST /place HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET /look HTTP/1.1\nHost: a\n\n",
        b"GET /look HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
        b"GET /look HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
        b"GET /look HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n",
        b"GET /look HTTP/1.1\r\n\r\n",
        b"\x00\x01\x02\r\n\r\n",
        b"GET /look HTTP/9.9\r\nHost: a\r\n\r\n",
    ],
)
def test_ambiguous_or_malformed_request_is_rejected_and_reaches_no_node(make_site, request_):
    site = make_site(answers_with(OK))
    client = site.client(request_ + GET)
    site.wait(lambda: client.ended)
    assert client.data.startswith(b"HTTP/1.1 400") and client.data.count(b"HTTP/1.1") == 1 and not site.nodes[0].peers


@pytest.mark.parametrize(
    "request_, status",
    [
        (b"GET /look HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: upgrade\r\n\r\n", 501),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501),
        (b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n", 501),
        (b"POST /place HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nExpect: tea\r\n\r\n", 417),
        (b"POST /place HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", 413),
        (b"GET /look HTTP/1.1\r\nHost: a\r\n" + b"X: %s\r\n" % (b"y" * 8000) * 5, 431),
    ],
)
def test_unsupported_request_is_rejected_with_its_status(make_site, request_, status):
    site = make_site(answers_with(OK))
    client = site.client(request_)
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 %d" % status) and not site.nodes[0].peers


@pytest.mark.parametrize(
    "reply",
    [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        b"HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\n" + b"X: %s\r\n" % (b"y" * 9000) * 5,
    ],
)
def test_ambiguous_or_malformed_response_aborts_the_op_without_a_retry(make_site, reply):
    site = make_site(answers_with(reply), answers_with(reply))
    client = site.client(post())
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 502") and site.requests() == 1
    site.wait(lambda: all(peer.closed_because for node in site.nodes for peer in node.peers))


def test_bytes_after_a_response_are_not_taken_as_the_next_response(make_site):
    site = make_site(answers_with(OK + OK.replace(b"ok", b"no"), OK))
    client = site.client(GET + GET)
    site.wait(lambda: client.data.count(b"HTTP/1.1") == 2)
    assert client.data == OK * 2 and site.nodes[0].peers[0].closed_because


@pytest.mark.parametrize(
    "reply, expected",
    [
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n",
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
        ),
        (b"HTTP/1.1 204 No\r\n\r\n", b"HTTP/1.1 204 No\r\n\r\n"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, OK),
    ],
)
def test_responses_of_every_framing_are_forwarded(make_site, reply, expected):
    site = make_site(answers_with(reply))
    client = site.client(GET)
    site.wait(lambda: client.data.endswith(expected))
    client.send(GET)
    site.wait(lambda: client.data.count(b"HTTP/1.1") == 2)
    assert len(site.nodes[0].peers) == 1


def test_response_ended_by_close_is_forwarded_completely_to_http_1_0_and_1_1_clients(make_site):
    def respond(peer):
        peer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        peer.connection.close("end")

    site = make_site(respond)
    client_1_1, client_1_0 = site.client(GET), site.client(GET.replace(b"1.1", b"1.0"))
    site.wait(lambda: client_1_1.data.endswith(b"0\r\n\r\n") and client_1_0.ended)
    assert b"9\r\nall of it\r\n" in client_1_1.data and client_1_0.data.endswith(b"\r\n\r\nall of it")


def test_response_to_head_has_no_body_despite_its_content_length(make_site):
    site = make_site(answers_with(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", OK))
    client = site.client(b"HEAD /keyed HTTP/1.1\r\nHost: a\r\n\r\n")
    site.wait(lambda: b"Content-Length: 5" in client.data)
    client.send(GET)
    site.wait(lambda: client.data.endswith(OK))


@pytest.mark.parametrize("chunked", [True, False])
def test_long_bodies_are_forwarded_in_both_directions(make_site, chunked):
    size = 3 << 20

    def echo(peer):
        peer.node.max_received = max(getattr(peer.node, "max_received", 0), len(peer.data))
        if b"0\r\n\r\n" in peer.data[-5:] if chunked else len(peer.data) >= size:
            peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"z" * size)

    site = make_site(echo, timeouts=(20 * S, 20 * S, S))
    body = b"".join(b"%x\r\n%s\r\n" % (1 << 16, b"y" * (1 << 16)) for _ in range(size >> 16)) + b"0\r\n\r\n"
    head = b"POST /place HTTP/1.1\r\nHost: a\r\n" + (
        b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"Content-Length: %d\r\n\r\n" % size
    )
    client = site.client(head + (body if chunked else b"y" * size))
    site.wait(lambda: client.data.endswith(b"z" * 9) and len(client.data) > size)
    assert site.nodes[0].peers[0].data.count(b"y") == size and client.data.count(b"z") == size


def test_slow_client_pauses_reading_from_the_node_with_bounded_memory(make_site):
    size = 12 << 20
    site = make_site(
        answers_with(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"z" * size), timeouts=(20 * S, S, S)
    )
    sock = socket.create_connection(site.proxy.listen_address)
    sock.sendall(GET)
    clients = site.proxy.clients.connections
    site.wait(lambda: any(client.unsent_bytes() for client in clients.values()))  # the kernel's buffers are full
    max_unsent_bytes = 0
    end = site.kit.loop.now() + 300 * MS
    while site.kit.loop.now() < end:
        site.kit.loop.at(site.kit.loop.now() + MS, lambda: None)
        site.kit.loop.run_once()
        max_unsent_bytes = max([max_unsent_bytes, *(client.unsent_bytes() for client in clients.values())])
    assert 0 < max_unsent_bytes < 1 << 20
    sock.setblocking(False)
    received = 0
    while received < size:
        site.kit.loop.at(site.kit.loop.now() + MS, lambda: None)
        site.kit.loop.run_once()
        try:
            received += len(sock.recv(1 << 20))
        except BlockingIOError:
            pass
    sock.close()
    site.wait(lambda: not site.proxy.clients.connections)


def test_expect_100_continue_is_answered_before_the_body_is_sent(make_site):
    def answer_after_body(peer):  # an answer before the body would rightly close the client's connection
        if peer.data.endswith(b"\r\n\r\nx"):
            peer.write(OK)

    site = make_site(answer_after_body)
    client = site.client(b"POST /place HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
    site.wait(lambda: client.data == b"HTTP/1.1 100 Continue\r\n\r\n")
    client.send(b"x")
    site.wait(lambda: client.data.endswith(OK))
    assert b"xpect" not in site.nodes[0].seen()


def test_request_with_a_body_too_long_to_keep_is_not_retried(make_site):
    site = make_site(
        answers_with(NOT_STARTED),
        answers_with(NOT_STARTED),
        exchange_limits=ExchangeLimits(max_resend_body_bytes=100),
    )
    client = site.client(post(body=b"x" * 1000))
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 502") and site.requests() == 1


def test_repeated_key_gets_the_first_response_and_another_body_is_rejected(make_site):
    site = make_site(None)
    keyed = post(b"/keyed", b"body", b"Idempotency-Key: k1\r\n")
    first, second = site.client(keyed), site.client(keyed)
    site.wait(lambda: site.kit.counters.counts["keys_busy"] == 1 and site.nodes[0].peers)
    site.wait(lambda: b"body" in site.nodes[0].seen())
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: first.data == second.data == OK)
    third = site.client(keyed)
    site.wait(lambda: third.data == OK)
    other = site.client(post(b"/keyed", b"else", b"Idempotency-Key: k1\r\n"))
    site.wait(lambda: other.data.startswith(b"HTTP/1.1 409"))
    assert site.requests() == 1


def test_repeated_key_is_rejected_if_the_first_op_may_have_run(make_site):
    site = make_site(lambda peer: peer.connection.close("reset"), timeouts=(S, S, S))
    keyed = post(b"/keyed", b"body", b"Idempotency-Key: k1\r\n")
    first = site.client(keyed)
    site.wait(lambda: first.data.startswith(b"HTTP/1.1 502"))
    second = site.client(keyed)
    site.wait(lambda: second.data.startswith(b"HTTP/1.1 409"))
    assert site.requests() == 1


def test_request_waiting_for_a_rejected_first_request_gets_retry_after(make_site):
    site = make_site(weights={}, hold=50 * MS)
    keyed = post(b"/keyed", b"body", b"Idempotency-Key: k1\r\n")
    first, second = site.client(keyed), site.client(keyed)
    site.wait(lambda: first.data and second.data)
    assert (
        first.data.startswith(b"HTTP/1.1 503")
        and second.data.startswith(b"HTTP/1.1 503")
        and b"Retry-After: 1" in second.data
    )


@pytest.mark.parametrize("weights, hold, reason", [({}, 0, "no line"), ({}, 30 * MS, "no line")])
def test_op_without_an_endpoint_is_rejected_in_time_with_retry_after(make_site, weights, hold, reason):
    site = make_site(answers_with(OK), weights=weights, hold=hold)
    began = site.kit.loop.now()
    client = site.client(GET)
    site.wait(lambda: client.data)
    assert client.data.startswith(b"HTTP/1.1 503") and f"rejected: {reason}".encode() in client.data
    assert b"Retry-After: 1" in client.data and site.kit.loop.now() - began < hold + 200 * MS


def test_waiting_op_is_sent_when_its_table_gets_an_endpoint(make_site):
    site = make_site(answers_with(OK), weights={}, hold=S)
    client = site.client(GET)
    site.wait(lambda: site.attempts.waiting_count())
    site.order(SetEndpoint(0, 0, 1.0))
    site.wait(lambda: client.data == OK)


def test_op_waits_at_a_full_node_and_is_sent_when_the_first_ends(make_site):
    site = make_site(None, limits=(1, 1, 1), timeouts=(2 * S, 2 * S, 2 * S))
    first, second = site.client(GET), site.client(GET.replace(b"look", b"look2"))
    site.wait(lambda: site.attempts.waiting_count() == 1 and site.nodes[0].peers and site.nodes[0].peers[0].data)
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: first.data == OK and b"look2" in site.nodes[0].seen())
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: second.data == OK)


def test_op_waits_for_a_connection_when_the_pool_limit_is_reached(make_site):
    site = make_site(None, pools=PoolSettings(max_connections=1))
    first, second = site.client(GET), site.client(GET)
    site.wait(lambda: site.proxy.nodes.waiting and site.nodes[0].peers and site.nodes[0].peers[0].data)
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: site.nodes[0].seen().count(b"GET") == 2)
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: first.data == second.data == OK)
    assert len(site.nodes[0].peers) == 1


@pytest.mark.parametrize("sent, expected", [(b"", b"408"), (b"GET /lo", b"408")])
def test_incomplete_head_times_out_with_status_408(make_site, sent, expected):
    site = make_site(answers_with(OK), admission=AdmissionSettings(head_timeout_ns=150 * MS))
    client = site.client(sent)
    site.wait(lambda: client.ended)
    assert expected in client.data


def test_connection_beyond_the_per_client_limit_is_refused(make_site):
    site = make_site(answers_with(OK), admission=AdmissionSettings(max_connections=4, max_per_client=4))
    others = [site.client() for _ in range(4)]
    site.wait(lambda: len(site.proxy.admission) == 4)
    fifth = site.client(GET)
    site.wait(lambda: fifth.ended)  # all come from one address
    assert not any(client.ended for client in others)


def test_stop_completes_requests_in_progress_and_closes_all_connections(make_site):
    site = make_site(None)
    began = site.kit.loop.now()
    busy, idle = site.client(GET), site.client()
    site.wait(lambda: site.nodes[0].peers and site.nodes[0].peers[0].data and len(site.proxy.admission) == 2)
    site.proxy.stop()
    site.wait(lambda: idle.ended)
    assert not site.proxy.idle() and site.kit.loop.now() - began >= STOPPING_IDLE_TIMEOUT_NS
    site.nodes[0].peers[0].write(OK)
    site.wait(lambda: busy.ended and site.proxy.idle())
    assert b"Connection: close" in busy.data and busy.data.endswith(b"ok")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(site.proxy.listen_address)


def test_slow_node_pauses_reading_from_the_client(make_site):
    site = make_site(None, timeouts=(S, 20 * S, S))
    site.nodes[0].handler = lambda peer: peer.connection.set_reading(False)
    client = site.client()
    client.send(b"POST /place HTTP/1.1\r\nHost: a\r\nContent-Length: 30000000\r\n\r\n")
    sent = 0
    end = site.kit.loop.now() + 300 * MS
    while site.kit.loop.now() < end:
        try:
            sent += client.sock.send(b"x" * 65536)
        except BlockingIOError:
            pass
        site.kit.loop.at(site.kit.loop.now() + MS, lambda: None)
        site.kit.loop.run_once()
    assert sent < 25_000_000 and all(
        connection.unsent_bytes() < 1 << 20 for connection in site.proxy.nodes.connections.values()
    )


def test_retries_are_bounded_by_the_retry_budget_when_half_of_the_nodes_are_full(make_site):
    site = make_site(answers_with(NOT_STARTED), answers_with(OK), budget=RetryBudget(3, 0.1, 1.0))
    client = site.client()
    for turn in range(1, 101):
        client.send(GET)
        site.wait(lambda turn=turn: client.data.count(b"HTTP/1.1") == turn)
    assert 100 < site.requests() <= 100 * 1.1 + 1


MESSAGE_BYTES = some.lists(
    some.sampled_from(
        [
            GET,
            post(),
            b"POST /place HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"2\r\nab\r\n",
            b"0\r\n\r\n",
            b"\r\n",
            b"\n",
            b"GET /look HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
            b"abc",
            b"\x00",
            b"Content-Length: 1\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 503 F\r\nX-Not-Started: 1\r\n",
            OK,
            NOT_STARTED,
        ]
    ),
    max_size=7,
).map(b"".join)


@given(MESSAGE_BYTES, MESSAGE_BYTES, some.integers(1, 40))
def test_arbitrary_bytes_from_client_and_node_raise_nothing_and_leak_nothing(sent, reply, cut):
    """The loop re-raises exceptions of its callbacks; `Site.close` asserts that all resources were released."""
    site = Site(
        lambda peer: peer.closed_because or peer.write(reply) or peer.connection.close("end"),
        timeouts=(60 * MS,) * 3,
        hold=0,
    )
    client = site.client()
    for index in range(0, len(sent), cut):
        client.send(sent[index : index + cut])
        site.pass_time(0)
        if client.ended:
            break
    client.close()
    site.wait(lambda: not site.proxy.clients.connections and not site.proxy.exchanges)
    ended = sum(site.attempts.counts[word] for word in ("acked", "rejected", "aborted"))
    assert ended == site.attempts.counts["asked"] == len(site.ops)
    site.close()
