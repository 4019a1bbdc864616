"""Throughput and latency of the reference relay on one core, against the plainest pass-through of our own with the same
parser and loop, and against the node without either.

    python benchmarks/relay.py [--seconds 4]

Four processes: nodes, the relay, the pass-through, and this one, which asks; each keeps its core where there are four.
Figures are this machine's; the ratio is what compares. Needs `hdrhistogram` (the extra `bench`).
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


class NodeVisitor:
    """Answers every request with as many bytes as its path says."""

    def __init__(self, kit: SocketKit, sock: object) -> None:
        self.parser, self.size = httptools.HttpRequestParser(self), 0
        self.connection = Connection(kit.loop, kit.pool, sock, self, 1 << 24)

    def on_data(self, data: memoryview) -> None:
        self.parser.feed_data(data)

    def on_close(self, why: str) -> None: ...

    def on_url(self, url: bytes) -> None:
        self.size = int(url.rpartition(b"/")[2])

    def on_message_complete(self) -> None:
        self.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.size + b"x" * self.size)


class Half:
    """One side of the plainest pass-through: parses what it hands on, and decides nothing."""

    def __init__(self, parser: object) -> None:
        self.parser, self.other, self.connection, self.early = parser(self), None, None, []

    def on_data(self, data: memoryview) -> None:
        self.parser.feed_data(data)
        if self.other.connection.open and getattr(self.other, "up", True):
            self.other.connection.write(bytes(data))
        else:
            self.other.early.append(bytes(data))

    def on_open(self) -> None:
        self.up = True
        for data in self.early:
            self.connection.write(data)

    def on_close(self, why: str) -> None:
        if self.other.connection is not None:
            self.other.connection.close(why)


def serve(what: str, to: str) -> None:
    """Runs the nodes or the pass-through, and prints where."""
    kit = SocketKit()
    kit.pool = BufferPool(1 << 16, 64)
    if what == "node":

        def accept(sock: object) -> None:
            NodeVisitor(kit, sock)
    else:

        def accept(sock: object) -> None:
            ours, theirs = Half(httptools.HttpRequestParser), Half(httptools.HttpResponseParser)
            ours.other, theirs.other = theirs, ours
            theirs.up = False
            ours.connection = Connection(kit.loop, kit.pool, sock, ours, 1 << 24)
            theirs.connection = OutboundConnection(kit.loop, kit.pool, address(to), theirs, 1 << 24, 250 * MS)

    listener = Listener(kit.loop, ("127.0.0.1", 0), accept, raise_error, MS)
    print("%s:%d" % listener.at, flush=True)
    kit.loop.run()


class Asker:
    """One connection that asks, waits for the whole answer, and asks again."""

    def __init__(self, kit: SocketKit, to: str, path: bytes, times: HdrHistogram) -> None:
        self.kit, self.times = kit, times
        self.request = b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path
        self.parser, self.done, self.bad = httptools.HttpResponseParser(self), 0, 0
        self.connection = OutboundConnection(kit.loop, kit.pool, address(to), self, 1 << 16, 2000 * MS)

    def on_open(self) -> None:
        self.ask()

    def ask(self) -> None:
        self.begun = time.perf_counter_ns()
        self.connection.write(self.request)

    def on_data(self, data: memoryview) -> None:
        self.whole = False
        self.parser.feed_data(data)
        if self.whole:
            if self.parser.get_status_code() == 200:
                self.times.record_value((time.perf_counter_ns() - self.begun) // 1000)
                self.done += 1
            else:
                self.bad += 1
            self.ask()

    def on_message_complete(self) -> None:
        self.whole = True

    def on_close(self, why: str) -> None: ...


def load(to: str, connections: int, size: int, seconds: float) -> tuple[float, list[float]]:
    """Ops a second, and the time at percentiles in ms."""
    kit, times = SocketKit(), HdrHistogram(1, 60_000_000, 3)
    kit.pool = BufferPool(1 << 16, 64)
    askers = [Asker(kit, to, b"/look/%d" % size, times) for _ in range(connections)]
    end = time.monotonic() + 0.5
    counted, begun = 0, 0.0
    while True:
        kit.loop.at(kit.loop.now() + 5 * MS, lambda: None)
        kit.loop.run_once()
        if time.monotonic() > end:
            if begun:
                break
            times.reset()
            counted, begun, end = sum(asker.done for asker in askers), time.monotonic(), time.monotonic() + seconds
    done = sum(asker.done for asker in askers) - counted
    rate = done / (time.monotonic() - begun)
    bad = sum(asker.bad for asker in askers)
    if bad:
        print(f"not counted: {bad} answers that were not 200")
    for asker in askers:
        asker.connection.close("over")
    kit.loop.close()
    return rate, [times.get_value_at_percentile(part) / 1000 for part in (50, 99, 99.9)]


FILE = """[relay]
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
    hub_kit, nodes, started = SocketKit(), 4, []

    def start(*words: str) -> subprocess.Popen:
        started.append(
            subprocess.Popen(
                [sys.executable, *words],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                env=os.environ | {"PYTHONPATH": ROOT},
            )
        )
        return started[-1]

    def told(visitor: object, path: str, body: bytes) -> None:
        if not path.startswith("/v1/tables"):
            visitor.reply({})
            return
        visitor.begin_stream()
        for number in range(nodes):
            visitor.send({"type": "node", "object": {"name": f"s-{number}", "address": node_at}})
        visitor.send({"type": "joined", "object": {"source": 0}})
        for table in range(64):
            lines = {f"s-{table % nodes}": 1.0}
            visitor.send({"type": "table", "object": {"table": table, "source": 0, "lines": lines}})

    try:
        node_at = start(__file__, "--serve", "node").stdout.readline().decode().strip()
        plain_at = start(__file__, "--serve", "plain", "--to", node_at).stdout.readline().decode().strip()
        hub = StubServer(hub_kit, told)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "relay.ini"
            path.write_text(FILE % hub.at)
            relay = start("-c", "from kestrelplank.cli import main; main()", "relay", "--config", str(path))
            os.set_blocking(relay.stderr.fileno(), False)
            said, end = "", time.monotonic() + 5
            while "listen=" not in said and time.monotonic() < end:
                said += (relay.stderr.read() or b"").decode()
                hub_kit.loop.at(hub_kit.loop.now() + 10 * MS, lambda: None)
                hub_kit.loop.run_once()
            end = time.monotonic() + 1  # for its tables; after that the hub is silent, and the relay goes on
            while time.monotonic() < end:
                hub_kit.loop.at(hub_kit.loop.now() + 10 * MS, lambda: None)
                hub_kit.loop.run_once()
            relay_at = said.split("listen=")[1].split()[0]
            heads = "".join(f"{what:>27}" for what in ("node alone: p50, p99", "pass-through", "relay"))
            print(f"{'connections':>11} {'body':>8}  {heads}  ratio")
            for connections in (1, 64, 1000):
                for size in (1 << 10, 1 << 18):
                    row, rates = "", []
                    for to in (node_at, plain_at, relay_at):
                        rate, (middle, most, _) = load(to, connections, size, seconds)
                        rates.append(rate)
                        row += f" {rate:6.0f}/s {middle:6.1f} {most:7.1f} ms"
                    print(f"{connections:>11} {size:>8}  {row} {rates[2] / rates[1]:6.2f}", flush=True)
            status = Path(f"/proc/{relay.pid}/status").read_text()
            resident = next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]
            print("relay resident:", resident, "KiB,", len(os.listdir(f"/proc/{relay.pid}/fd")), "descriptors")
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
    given = parser.parse_args()
    if given.serve:
        serve(given.serve, given.to)
    else:
        main(given.seconds)
