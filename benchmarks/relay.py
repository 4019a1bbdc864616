"""Compares throughput and latency of the reference proxy on one core with a pass-through and with direct requests.

    python benchmarks/relay.py [--seconds 4]

The pass-through is a minimal proxy with the same parser and event loop. Four processes run: nodes, proxy, pass-through,
and this one with the clients; each has a core of its own where there are four. Only the ratio is comparable between
machines. Needs `hdrhistogram` (the extra `bench`).
"""

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httptools
from hdrh.histogram import HdrHistogram

from kestrelplank.rehearsal.stub_server import SocketKit, StubServer, raise_error
from kestrelplank.sockets.buffers import BufferPool
from kestrelplank.sockets.connection import Connection, Listener, OutboundConnection, address

MS = 1_000_000
ROOT = str(Path(__file__).parents[1])


class NodeConnection:
    """Responds to each request with a body of the length given in its path."""

    def __init__(self, kit: SocketKit, sock: object) -> None:
        self.parser, self.size = httptools.HttpRequestParser(self), 0
        self.connection = Connection(kit.loop, kit.pool, sock, self, 1 << 24)

    def on_data(self, data: memoryview) -> None:
        self.parser.feed_data(data)

    def on_close(self, reason: str) -> None: ...

    def on_url(self, url: bytes) -> None:
        self.size = int(url.rpartition(b"/")[2])

    def on_message_complete(self) -> None:
        self.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size + b"x" * self.size)


class PassThroughSide:
    """One side of the pass-through: parses the bytes and forwards them unchanged."""

    def __init__(self, parser: object) -> None:
        self.parser, self.peer, self.connection, self.buffered = parser(self), None, None, []

    def on_data(self, data: memoryview) -> None:
        self.parser.feed_data(data)
        if self.peer.connection.open and getattr(self.peer, "connected", True):
            self.peer.connection.write(bytes(data))
        else:
            self.peer.buffered.append(bytes(data))

    def on_open(self) -> None:
        self.connected = True
        for data in self.buffered:
            self.connection.write(data)

    def on_close(self, reason: str) -> None:
        if self.peer.connection is not None:
            self.peer.connection.close(reason)


def run_server(role: str, node_address: str) -> None:
    """Run the node or the pass-through, and print its address."""
    kit = SocketKit()
    kit.pool = BufferPool(1 << 16, 64)
    if role == "node":

        def accept(sock: object) -> None:
            NodeConnection(kit, sock)
    else:

        def accept(sock: object) -> None:
            client_side, node_side = (
                PassThroughSide(httptools.HttpRequestParser),
                PassThroughSide(httptools.HttpResponseParser),
            )
            client_side.peer, node_side.peer = node_side, client_side
            node_side.connected = False
            client_side.connection = Connection(kit.loop, kit.pool, sock, client_side, 1 << 24)
            node_side.connection = OutboundConnection(
                kit.loop, kit.pool, address(node_address), node_side, 1 << 24, 250 * MS
            )

    listener = Listener(kit.loop, ("127.0.0.1", 0), accept, raise_error, MS)
    print("%s:%d" % listener.at, flush=True)
    kit.loop.run()


class Client:
    """A connection that sends a request, waits for the complete response, and sends the next one."""

    def __init__(self, kit: SocketKit, address_text: str, path: bytes, times: HdrHistogram) -> None:
        self.kit, self.times = kit, times
        self.request = b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path
        self.parser, self.completed, self.failed = httptools.HttpResponseParser(self), 0, 0
        self.connection = OutboundConnection(kit.loop, kit.pool, address(address_text), self, 1 << 16, 2000 * MS)

    def on_open(self) -> None:
        self.send_request()

    def send_request(self) -> None:
        self.started = time.perf_counter_ns()
        self.connection.write(self.request)

    def on_data(self, data: memoryview) -> None:
        self.complete = False
        self.parser.feed_data(data)
        if self.complete:
            if self.parser.get_status_code() == 200:
                self.times.record_value((time.perf_counter_ns() - self.started) // 1000)
                self.completed += 1
            else:
                self.failed += 1
            self.send_request()

    def on_message_complete(self) -> None:
        self.complete = True

    def on_close(self, reason: str) -> None: ...


def measure_load(to: str, connections: int, size: int, seconds: float) -> tuple[float, list[float]]:
    """Ops a second, and latency percentiles (50, 99, 99.9) in ms."""
    kit, times = SocketKit(), HdrHistogram(1, 60_000_000, 3)
    kit.pool = BufferPool(1 << 16, 64)
    clients = [Client(kit, to, b"/look/%d" % size, times) for _ in range(connections)]
    end = time.monotonic() + 0.5
    completed_before, started = 0, 0.0
    while True:
        kit.loop.at(kit.loop.now() + 5 * MS, lambda: None)
        kit.loop.run_once()
        if time.monotonic() > end:
            if started:
                break
            times.reset()
            completed_before, started, end = (
                sum(client.completed for client in clients),
                time.monotonic(),
                time.monotonic() + seconds,
            )
    completed = sum(client.completed for client in clients) - completed_before
    rate = completed / (time.monotonic() - started)
    failed = sum(client.failed for client in clients)
    if failed:
        print(f"not counted: {failed} responses with a status other than 200")
    for client in clients:
        client.connection.close("over")
    kit.loop.close()
    return rate, [times.get_value_at_percentile(percent) / 1000 for percent in (50, 99, 99.9)]


SETTINGS = """[relay]
listen = 127.0.0.1:0
hub = %s
zone = a
slices = 64
[tries]
limited = no
[clients]
most = 4000
each = 4000
[nodes]
most = 2000
[op look]
prefix = /look
timeout = 30s
target = 1s
effect = retryable
"""


def main(seconds: float) -> None:
    update_source_kit, nodes, started = SocketKit(), 4, []

    def start(*arguments: str) -> subprocess.Popen:
        started.append(
            subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                env=os.environ | {"PYTHONPATH": ROOT},
            )
        )
        return started[-1]

    def handle_request(connection: object, path: str, body: bytes) -> None:
        if not path.startswith("/v1/tables"):
            connection.reply({})
            return
        connection.begin_stream()
        for number in range(nodes):
            connection.send({"type": "node", "object": {"name": f"s-{number}", "address": node_address}})
        connection.send({"type": "joined", "object": {"source": 0}})
        for table in range(64):
            lines = {f"s-{table % nodes}": 1.0}
            connection.send({"type": "table", "object": {"table": table, "source": 0, "lines": lines}})

    try:
        node_address = start(__file__, "--serve", "node").stdout.readline().decode().strip()
        pass_through_address = (
            start(__file__, "--serve", "plain", "--to", node_address).stdout.readline().decode().strip()
        )
        update_source = StubServer(update_source_kit, handle_request)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "relay.ini"
            path.write_text(SETTINGS % update_source.at)
            proxy = start("-c", "from kestrelplank.cli import main; main()", "relay", "--config", str(path))
            os.set_blocking(proxy.stderr.fileno(), False)
            proxy_log, end = "", time.monotonic() + 5
            while "listen=" not in proxy_log and time.monotonic() < end:
                proxy_log += (proxy.stderr.read() or b"").decode()
                update_source_kit.loop.at(update_source_kit.loop.now() + 10 * MS, lambda: None)
                update_source_kit.loop.run_once()
            end = time.monotonic() + 1  # to send the tables; the proxy keeps serving without further updates
            while time.monotonic() < end:
                update_source_kit.loop.at(update_source_kit.loop.now() + 10 * MS, lambda: None)
                update_source_kit.loop.run_once()
            proxy_address = proxy_log.split("listen=")[1].split()[0]
            headings = "".join(f"{heading:>27}" for heading in ("node alone: p50, p99", "pass-through", "proxy"))
            print(f"{'connections':>11} {'body':>8}  {headings}  ratio")
            for connections in (1, 64, 1000):
                for size in (1 << 10, 1 << 18):
                    row, rates = "", []
                    for to in (node_address, pass_through_address, proxy_address):
                        rate, (p50, p99, _) = measure_load(to, connections, size, seconds)
                        rates.append(rate)
                        row += f" {rate:6.0f}/s {p50:6.1f} {p99:7.1f} ms"
                    print(f"{connections:>11} {size:>8}  {row} {rates[2] / rates[1]:6.2f}", flush=True)
            status = Path(f"/proc/{proxy.pid}/status").read_text()
            resident = next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]
            print("proxy resident memory:", resident, "KiB,", len(os.listdir(f"/proc/{proxy.pid}/fd")), "descriptors")
    finally:
        for process in started:
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--serve", choices=("node", "plain"))
    parser.add_argument("--to", default="")
    options = parser.parse_args()
    if options.serve:
        run_server(options.serve, options.to)
    else:
        main(options.seconds)
