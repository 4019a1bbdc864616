import gc
import json
import os
import signal
import socket
import subprocess
import sys
import tracemalloc
from random import Random

import pytest
from parties import (
    MS,
    StubServer,
    attach,
    instance,
    message,
    node_list,
    order_queue,
    running_kit,
    sample_ids,
    wait_until,
)

from kestrelplank.assigner import proxy_updates
from kestrelplank.assigner.counters import NonBlockingOutput
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.proxy_updates import ProxyUpdates
from kestrelplank.assigner.telemetry_server import TelemetryServer
from kestrelplank.rehearsal.program_process import ASSIGNER, ProgramProcess
from kestrelplank.sockets import resp
from kestrelplank.sockets.loop import READ

SETTINGS = {
    "Areas": ["a"],
    "Categories": [{"Name": "look", "Target": 750.0, "Effect": "pure", "Importance": 1.0}],
    "Specifics": {
        "Shards": 4,
        "DataPlaneSize": 3,
        "MostWaiting": 9000.0,
        "EgressPerS": 6000.0,
        "Envelope": 8.0,
        "ReportEvery": 1000.0,
        "BaseMode": 1,
    },
    "Rules": {"StopSendingWithin": 1500.0},
    "Tick": 4.0,
}
SNAPSHOT = [
    attach(1, cold=False),
    message("owner", shard=2, set=True),
    message("entry", shard=2, endpoint="s-1", w=1.0),
    {},
]


class Program(ProgramProcess):
    """An assigner process that is listening, and a collector connected to it."""

    def __init__(self, kit, path, **config):
        config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": SETTINGS, **config}
        path.write_text(json.dumps(config))
        super().__init__(kit.loop, ASSIGNER, NODE_CONFIG=str(path))
        kit.programs.append(self)
        self.loop, self.answers = kit.loop, b""
        wait_until(self.loop, lambda: self.address() or self.process.poll() is not None)
        assert self.address(), f"the program ended before it was listening: {self.log}"
        self.connect_collector()

    def connect_collector(self):
        """Connect a collector, which doesn't join: the program ends its connection soon."""
        self.collector = socket.create_connection(self.address(), timeout=20)
        self.collector.setblocking(False)
        self.loop.watch(self.collector, READ, self._read_answer)

    def _read_answer(self, events):
        try:
            data = self.collector.recv(100)
        except ConnectionResetError:
            data = b""
        self.answers += data
        if not data:
            self._close_collector()

    def _close_collector(self):
        if self.collector.fileno() >= 0:
            self.loop.forget(self.collector)
            self.collector.close()

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def most_descriptors(self):
        """Return the most descriptors open at once in 2 s, in which each connection that is made again is open."""
        counts, end = [], self.loop.now() + 2000 * MS
        wait_until(self.loop, lambda: counts.append(self.count_descriptors()) or self.loop.now() > end)
        return max(counts)

    def send_heartbeat(self):
        self.answers = b""
        self.collector.send(resp.encode(b"hb"))
        wait_until(self.loop, lambda: self.answers.endswith(b"hb_ok\r\n") or self.collector.fileno() < 0)
        return self.answers

    def stop(self, number):
        self.kill(number)
        wait_until(self.loop, self.has_ended)
        self._close_collector()
        return self.process.returncode, self.log.decode()


def serve_relay(visitor, path, body):
    """Answer as a relay that sends a snapshot and accepts every order."""
    if path == "/api/stream":
        visitor.begin_stream()
        visitor.send(*SNAPSHOT)
    else:
        visitor.reply({"ok_count": len(json.loads(body)["ops"])})


def closed_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return "127.0.0.1:%d" % server.getsockname()[1]


@pytest.mark.parametrize(
    "change, message_part",
    [
        (None, "NODE_CONFIG is not set"),
        ("gone", "can't be read"),
        ("{", "not JSON"),
        ("[]", "expected an object"),
        ({"listen": None}, "field listen"),
        ({"discovery": "here"}, "field discovery"),
        ({"hub": {}}, "field hub"),
        ({"peers": ["there"]}, "field peers"),
        ({"peers": 5}, "field peers"),
        ({"peer_listen": 5}, "field peer_listen"),
        ({"settings": {"Areas": 5}}, "settings.Areas"),
        ({"settings": {"Categories": {}}}, "settings.Categories"),
        ({"settings": 4}, "settings: expected an object"),
        ({"seed": "xyz"}, "field seed"),
        ({"settings": {"Tick": "soon"}}, "settings.Tick"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(tmp_path, change, message_part):
    good = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "hub": {"address": "127.0.0.1:1"},
        "seed": "1f",
        "settings": SETTINGS,
    }
    path = tmp_path / "config.json"
    if change != "gone" and change is not None:
        path.write_text(change if isinstance(change, str) else json.dumps(good | change))
    env = os.environ | {"NODE_CONFIG": "" if change is None else str(path)}
    process = subprocess.run(
        [sys.executable, "-m", "kestrelplank"], env=env, capture_output=True, text=True, timeout=20, check=False
    )
    assert process.returncode == 2 and message_part in process.stderr and process.stderr.count("\n") == 1


def test_assigner_answers_heartbeats_without_relay_and_discovery(kit, tmp_path):
    program = Program(kit, tmp_path / "c.json", discovery=closed_port(), hub={"address": closed_port()})
    assert program.send_heartbeat() == b"*1\r\n$5\r\nhb_ok\r\n"
    code, log = program.stop(signal.SIGTERM)
    assert code == 0 and "event=counters" in log and "hb_answered=1" in log


def test_programs_of_a_failed_test_are_ended(tmp_path):
    """Guards against assigners that run on and call the ports of their stubs, which later tests are given."""
    with pytest.raises(ZeroDivisionError), running_kit() as kit:
        program = Program(kit, tmp_path / "c.json", discovery=closed_port(), hub={"address": closed_port()})
        raise ZeroDivisionError
    assert program.process.poll() == 0


def test_drain_reaches_the_relay_despite_failed_calls_and_after_a_kill(kit, tmp_path):
    failed_calls = []

    def serve_relay(visitor, path, body):
        if path == "/api/stream":
            visitor.begin_stream()
            visitor.send(*SNAPSHOT)
        elif len(failed_calls) < 3:  # no response, a closed connection, an unreadable response
            failed_calls.append(body)
            [lambda: None, lambda: visitor.connection.close("broken off"), lambda: visitor.reply(b"\xff{")][
                len(failed_calls) - 1
            ]()
        else:
            calls.append(json.loads(body)["ops"])
            visitor.reply({"ok_count": len(calls[-1])})

    def serve_discovery(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
            visitor.send(node_list(2, instance("s-1", "terminating")))

    calls = []
    relay, agent = StubServer(kit, serve_relay), StubServer(kit, serve_discovery)
    known = node_list(1, instance("s-1"), instance("s-2"), reset=True)
    for number in (signal.SIGKILL, signal.SIGTERM):
        program = Program(kit, tmp_path / "c.json", discovery=agent.at, hub={"address": relay.at}, known=known)
        calls.clear()
        wait_until(kit.loop, lambda: any(order["verb"] == "eject" for call in calls for order in call))
        orders = [order for call in calls for order in call]
        assert {"verb": "put", "cluster": 2, "endpoint": "s-2", "w": 1.0} in orders
        assert {"verb": "eject", "endpoint": "s-1"} in orders
        program.process.send_signal(signal.SIGUSR1)
        wait_until(kit.loop, lambda lines=program.log_lines: lines("event=counters"))
        code, _ = program.stop(number)
        assert code == (0 if number == signal.SIGTERM else -signal.SIGKILL)
    assert len(failed_calls) == 3 and failed_calls[0] == failed_calls[1] == failed_calls[2]
    relay.close()
    agent.close()


def test_reload_moves_all_connections_and_an_invalid_file_changes_nothing(kit, tmp_path):
    def serve_discovery(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
            visitor.send(
                node_list(
                    1 + agents.index(visitor.server),
                    instance("s-1", "in_service" if visitor.server is agents[0] else "terminating"),
                )
            )

    relays, agents = ([StubServer(kit, serve) for _ in range(2)] for serve in (serve_relay, serve_discovery))
    addresses = [{"discovery": agent.at, "hub": {"address": relay.at}} for agent, relay in zip(agents, relays)]
    known = node_list(1, instance("s-1"), instance("s-2"), reset=True)
    program = Program(kit, path := tmp_path / "c.json", known=known, **addresses[0])
    good = json.loads(path.read_text())

    def reload(written):
        (tmp_path / "next").write_text(written)
        os.replace(tmp_path / "next", path)
        program.process.send_signal(signal.SIGHUP)

    def is_connected_only_to(index):
        return lambda: all(
            [visitor.closed_because for visitor in server.connections].count(None) == number
            for servers, number in ((relays, 2), (agents, 2))
            for server, number in ((servers[index], number), (servers[1 - index], 0))
        )

    wait_until(kit.loop, lambda: program.collector.fileno() < 0)  # its descriptor must not be counted
    baseline = program.most_descriptors()
    for number, bad in enumerate(
        ("{", json.dumps(good | {"hub": {}}), json.dumps(good | {"settings": {"Tick": "soon"}})), 1
    ):
        reload(bad)
        wait_until(kit.loop, lambda number=number: len(program.log_lines("event=reloads_refused")) == number)
    assert not relays[1].connections and not agents[1].connections
    wait_until(kit.loop, is_connected_only_to(0))  # a poll that is not answered closes its connection for a moment
    for attempt in range(6):
        reload(json.dumps(good | addresses[1 - attempt % 2]))  # also while the previous move is in progress
    wait_until(kit.loop, is_connected_only_to(0))
    reload(json.dumps(good | addresses[1]))
    wait_until(kit.loop, lambda: any(b'"eject","endpoint":"s-1"' in body for _, _, body in relays[1].requests))
    wait_until(kit.loop, is_connected_only_to(1))
    # A closing connection may hold a descriptor for a moment; a leak keeps it.
    wait_until(kit.loop, lambda: program.count_descriptors() <= baseline)
    assert program.most_descriptors() == baseline
    program.connect_collector()
    assert program.send_heartbeat()
    code, log = program.stop(signal.SIGTERM)
    assert code == 0 and "reloads_refused=3" in log and "defects" not in log
    for server in (*relays, *agents):
        server.close()


NODES = "[zone a]\ns-1 = 127.0.0.1:1%s\ns-2 = 127.0.0.1:2\ns-3 = 127.0.0.1:3\ns-4 = 127.0.0.1:4\n"


def test_operators_file_adds_watched_node_files_and_an_invalid_one_is_rejected(kit, tmp_path, monkeypatch):
    """Discovery is unreachable; a drain in a watched file reaches the relay; SIGHUP reloads the operator's settings."""
    relay, ini = StubServer(kit, serve_relay), tmp_path / "k.ini"
    (tmp_path / "nodes.ini").write_text(NODES % "")
    good = f"[nodes]\nfiles = {tmp_path}/nodes.ini\nquiet = 20ms\npoll = 50ms\nstate = {tmp_path}/state\n"
    ini.write_text(good)
    monkeypatch.setenv("KESTRELPLANK_INI", str(ini))
    program = Program(kit, tmp_path / "c.json", discovery=closed_port(), hub={"address": relay.at})
    wait_until(kit.loop, lambda: program.log_lines("event=files_accepted"))
    (tmp_path / "nodes.ini").write_text(NODES.replace("\n", " draining\n") % "")
    wait_until(kit.loop, lambda: program.log_lines("event=files_refused"))
    (tmp_path / "nodes.ini").write_text(NODES % " draining")
    wait_until(kit.loop, lambda: any(b'"eject","endpoint":"s-1"' in body for _, _, body in relay.requests))
    ini.write_text(good.replace("quiet", "quite"))
    program.process.send_signal(signal.SIGHUP)
    wait_until(kit.loop, lambda: program.log_lines("did you mean quiet?"))
    ini.write_text(good + "most_closed = 100%\n")
    program.process.send_signal(signal.SIGHUP)
    wait_until(kit.loop, lambda: program.log_lines("event=reloaded"))
    (tmp_path / "nodes.ini").write_text(NODES.split("s-3")[0] % " draining")
    wait_until(kit.loop, lambda: len(program.log_lines("event=files_accepted")) == 3)
    code, log = program.stop(signal.SIGTERM)
    assert code == 0 and "defects" not in log and b'"version":3' in (tmp_path / "state").read_bytes()
    relay.close()


def test_invalid_operators_file_is_reported_in_one_line(tmp_path):
    (tmp_path / "c.json").write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "1f",
                "hub": {"address": "127.0.0.1:1"},
                "settings": SETTINGS,
            }
        )
    )
    (tmp_path / "k.ini").write_text("[nodes]\npoll = often\n")
    env = os.environ | {"NODE_CONFIG": str(tmp_path / "c.json"), "KESTRELPLANK_INI": str(tmp_path / "k.ini")}
    process = subprocess.run(
        [sys.executable, "-m", "kestrelplank"], env=env, capture_output=True, text=True, timeout=20, check=False
    )
    assert process.returncode == 2 and process.stderr.count("\n") == 1
    assert "k.ini, line 2, [nodes], field poll: expected a duration" in process.stderr


def run_cycles(kit, server, relay, number):
    """Open and close connections in several ways, and break the stream of updates; return the resources in use."""
    for attempt in range(number):
        sock = socket.create_connection(server.at)
        sock.send([b"", b"*2\r\n$1000\r\nx", b"junk\r\n\r\n", resp.encode(b"hb")][attempt % 4])
        before = kit.counters.counts["news_started"]
        relay.connections[-1].connection.close("broken off")
        del relay.connections[:-1], relay.requests[:]
        wait_until(kit.loop, lambda before=before: kit.counters.counts["news_started"] > before)
        relay.connections[-1].send(*SNAPSHOT)
        sock.close()
        wait_until(kit.loop, lambda: not server._unjoined)
    kit.events.clear()
    end = kit.loop.now() + 300 * MS  # longer than the dial timeout, so that its timers have left the heap
    wait_until(kit.loop, lambda: kit.loop.now() > end)
    gc.collect()
    pending_timers = sum(timer.callback is not None for due, _, timer in kit.loop._timers if due > end + 50 * MS)
    return len(os.listdir("/proc/self/fd")), pending_timers, kit.pool.in_use


def test_cancelled_timers_do_not_fill_the_heap(kit):
    for _ in range(10_000):
        kit.loop.at(kit.loop.now() + 10_000 * MS, kit.events.clear).cancel()
    assert len(kit.loop._timers) <= 128


def test_connecting_and_disconnecting_leaks_no_resources(kit, monkeypatch):
    limits = proxy_updates.STREAM_LIMITS._replace(initial_backoff_ns=MS, max_backoff_ns=10 * MS)
    monkeypatch.setattr(proxy_updates, "STREAM_LIMITS", limits)
    relay = StubServer(kit, lambda visitor, path, body: visitor.begin_stream() if path == "/api/stream" else None)
    server = TelemetryServer(kit.loop, kit.pool, kit.counters, ("127.0.0.1", 0), sample_ids(), 9, kit.events.append)
    updates = ProxyUpdates(
        kit.loop, kit.pool, kit.counters, relay.at, sample_ids(), 9, 9, order_queue(kit), kit.events.append
    )
    wait_until(kit.loop, lambda: relay.requests)
    before = run_cycles(kit, server, relay, 8)
    tracemalloc.start()
    run_cycles(kit, server, relay, 8)
    baseline = tracemalloc.get_traced_memory()[0]
    after = run_cycles(kit, server, relay, 60)
    growth = tracemalloc.get_traced_memory()[0] - baseline
    tracemalloc.stop()
    # Only the timers of the stream and of the server remain; all others have fired or been cancelled.
    assert after[0] == before[0] and after[1] <= 4 and after[2] == 0 and growth < 50_000
    server.close()
    updates.close()
    relay.close()


@pytest.mark.parametrize("seed", range(12))
def test_random_input_from_any_peer_raises_no_exception(kit, seed):
    random, server = (
        Random(seed),
        TelemetryServer(kit.loop, kit.pool, kit.counters, ("127.0.0.1", 0), sample_ids(), 9, kit.events.append),
    )
    unreachable = closed_port()
    updates = ProxyUpdates(
        kit.loop, kit.pool, kit.counters, unreachable, sample_ids(), 9, 9, order_queue(kit), kit.events.append
    )
    updates.on_stream_start()
    discovery_client = NodeDiscovery(kit.loop, kit.pool, kit.counters, unreachable, sample_ids(), kit.events.append)
    discovery_client.start(None)
    queue = order_queue(kit)
    values = [None, True, -1, 0, 1, 2.5, 1e400, 10**30, "s-1", "a", "", [], {}, [{}], "x" * 99, float("nan")]
    fields = [
        "node",
        "locality",
        "w",
        "cold",
        "nonce",
        "latency",
        "shard",
        "set",
        "endpoint",
        "instanceId",
        "zone",
        "cell",
        "lifecycle",
        "weight",
        "startedAtMs",
    ]
    for _ in range(400):
        payload = {field: random.choice(values) for field in random.sample(fields, 9)}
        payload = json.dumps(
            random.choice(
                [
                    {"type": random.choice(["attach", "detach", "done", "owner", "entry", None, 5]), "object": payload},
                    {"generation": random.choice(values), "reset": random.choice(values), "instances": [payload]},
                    payload,
                    [payload],
                ]
            )
        ).encode()
        if random.random() < 0.3:
            cut = random.randrange(len(payload))
            payload = payload[:cut] + random.choice([random.randbytes(2), b"\xff" + payload[cut:], b"[" * 2000])
        updates.on_stream_line(payload)
        discovery_client.on_stream_line(payload)
        discovery_client.on_answer(200, payload)
        queue.set_endpoint(0, 0, 1.0)
        queue.close_round()
        queue.on_answer(200, payload)
        server.handle_report(
            [
                random.choice([b"upstream_stats", b"range_stats", b"hb", b"\xff"]),
                *(
                    random.choice([b"shard", b"total", b"errors", b"1", b"nan", b"-0", b"\xc2\xb2", b"a"])
                    for _ in range(8)
                ),
            ],
            0,
        )
    assert (
        kit.counters.counts["news_skipped"] + kit.counters.counts["news_unreadable"] > 100
        and kit.counters.counts["reports_skipped"] > 100
    )
    for component in (server, updates, discovery_client):
        component.close()


@pytest.mark.parametrize("empty_waits", [0, 1])
def test_data_received_during_a_stall_is_read_before_timers_run(kit, monkeypatch, empty_waits):
    """If the process is stopped and resumed, the selector's wait may return nothing although data has arrived."""
    local, remote = socket.socketpair()
    kit.loop.watch(local, 1, lambda events: kit.events.append(local.recv(9)))
    kit.loop.at(kit.loop.now(), lambda: kit.events.append("deadline"))
    remote.send(b"answer")
    select, waits = kit.loop._selector.select, []
    monkeypatch.setattr(
        kit.loop._selector,
        "select",
        lambda wait: waits.append(wait) or ([] if len(waits) <= empty_waits else select(wait)),
    )
    kit.loop.run_once()
    assert kit.events == [b"answer", "deadline"]
    local.close()
    remote.close()


def test_log_output_does_not_block_or_raise_when_unread_or_closed():
    read, write = os.pipe()
    output = NonBlockingOutput(write)
    for _ in range(3000):
        output.write("x" * 99 + "\n")
    os.close(read)
    output.write("gone\n")
    os.close(write)
    output.write("closed\n")
