"""Measures what a request costs the edge program: `python benchmarks/edge.py [SECONDS] [--profile]`.

One edge process, a server that responds immediately and clients that send the next request as soon as they have a
response run on loopback, each in a process of its own.

With `--rate=N`, N requests a second arrive at random times, and the latency that the edge adds is printed: the time to
the complete response, compared with requests sent directly to the server. `--servers=N` sets the length of the server
list: 180 services, of which the requested one has 34 servers, or all if there are fewer.
"""

import asyncio
import cProfile
import json
import multiprocessing
import pstats
import random
import resource
import sys
import time
from statistics import quantiles
from typing import NamedTuple

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.settings import skip_unused_libraries  # noqa: F401
from kestrelplank.settings.platform import Bounds, CloudApi, LocalSystem, Network, PlatformSettings
from kestrelplank.transport.messages import ConfigurationUpdate

IP, CLIENTS = "127.0.0.1", 8
TARGET_SERVERS, OTHER_SERVICES = 34, 179  # servers of the requested service; number of other services
CONFIGURATION = json.dumps(
    {
        "config_version": "00000007",
        "service_table": [{"name": "views", "max_connections": 120}],
        "virtual_hosts": [
            {
                "host_name": "shop.example",
                "host_routes": [
                    {"path_prefix": "/a/", "route_type": "idempotent", "timeout_s": 2, "target_service": "views"}
                ],
            }
        ],
    }
).encode()
REQUEST = (
    b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %016x\r\nX-Deadline-Remaining: 1500\r\n"
    b"X-Shard-Key: 4711\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nX-Server-Load: 1,0,2\r\n"
    b"Keep-Alive: timeout=10\r\nContent-Length: 400\r\n\r\n" + bytes(400)
)


class Ports(NamedTuple):
    """The ports of one run: of the server, of the edge, and of a control member that does not run."""

    server: int
    frontend: int
    readiness: int
    sessions: int
    control: int


class ServerProtocol(asyncio.Protocol):
    """A server that responds to each request immediately."""

    def connection_made(self, transport):
        self.transport, self.buffer = transport, b""

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = (line for line in head.split(b"\r\n") if line.lower().startswith(b"x-attempt"))
            self.transport.write(RESPONSE % next(lines).split(b": ")[1])


def server_list(servers, server_port):
    """A server list: servers of the requested service, each at an address of its own, and those of other services."""
    target_count = min(servers, TARGET_SERVERS)
    entries = [
        (f"views-{index}", "views", f"127.0.0.{index + 1}:{server_port}", "hall", 64, "ready", 0)
        for index in range(target_count)
    ]
    for index in range(servers - target_count):
        address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:80"
        entries.append((f"i-{index:08x}", f"other-{index % OTHER_SERVICES}", address, "hall", 2, "ready", 0))
    return entries


async def run_server(port, servers):
    hosts = [f"127.0.0.{index + 1}" for index in range(min(servers, TARGET_SERVERS))]
    server = await asyncio.get_running_loop().create_server(ServerProtocol, hosts, port)
    await server.serve_forever()


async def run_edge(ports, servers, seconds, profile, results):
    from kestrelplank.edge.program import EdgeProgram

    program = EdgeProgram(
        PlatformSettings(
            LocalSystem("edge-1", IP, "hall"),
            Network(
                [ports.sessions],
                [f"{IP}:{ports.control}"],
                {"frontend": f"{IP}:{ports.frontend}", "readiness": f"{IP}:{ports.readiness}"},
            ),
            CloudApi("127.0.0.1:9"),
            Bounds(),
        )
    )
    program.listen()
    program.receive("member", ConfigurationUpdate(7, CONFIGURATION))
    program.receive("member", ServerListUpdate(0, server_list(servers, ports.server)))
    await asyncio.sleep(1)
    profiler, processor_s = cProfile.Profile(), time.process_time()
    if profile:
        profiler.enable()
    await asyncio.sleep(seconds)
    profiler.disable()
    results.send((time.process_time() - processor_s, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss))
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)


async def run_clients(port, seconds, results):
    await asyncio.sleep(0.9)
    until, counts = time.monotonic() + seconds, [0] * CLIENTS

    async def client(index):
        reader, writer = await asyncio.open_connection(IP, port)
        number = index << 32
        while time.monotonic() < until:
            number += 1
            writer.write(REQUEST % number)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            await reader.readexactly(400)
            counts[index] += 1
        writer.close()

    await asyncio.gather(*map(client, range(CLIENTS)))
    results.send(sum(counts))


async def run_paced_clients(ports, seconds, rate, results):
    """Send requests at random times to the ports in turn; the result is each request's duration in ms, by port."""
    await asyncio.sleep(0.9)
    idle, durations_ms, number = {port: [] for port in ports}, {port: [] for port in ports}, 0

    async def send_request(port, number):
        started = time.perf_counter()
        reader, writer = idle[port].pop() if idle[port] else await asyncio.open_connection(IP, port)
        writer.write(REQUEST % number)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(400)
        durations_ms[port].append(1000 * (time.perf_counter() - started))
        idle[port].append((reader, writer))

    due, until, tasks = time.monotonic(), time.monotonic() + seconds, []
    while due < until:
        await asyncio.sleep(max(0, due - time.monotonic()))
        number += 1
        tasks.append(asyncio.create_task(send_request(ports[number % len(ports)], number)))
        due += random.expovariate(rate * len(ports))
    await asyncio.gather(*tasks)
    results.send([durations_ms[port] for port in ports])


def integer_option(name, default):
    """The number given as `--name=N` on the command line, or the default."""
    return int(
        next((argument.split("=")[1] for argument in sys.argv[1:] if argument.startswith(f"--{name}=")), default)
    )


def main():
    with PortReservations() as reservations:
        server_ips = [f"127.0.0.{index + 1}" for index in range(TARGET_SERVERS)]
        run(Ports(reservations.reserve(server_ips), *(reservations.reserve([IP]) for _ in range(4))))


def run(ports):
    seconds = float(next((argument for argument in sys.argv[1:] if not argument.startswith("-")), "5"))
    rate, servers = integer_option("rate", 0), integer_option("servers", 1)
    pipes = [multiprocessing.Pipe(False) for _ in range(2)]
    tasks = [
        (run_server, (ports.server, servers)),
        (run_edge, (ports, servers, seconds, "--profile" in sys.argv, pipes[0][1])),
        (run_paced_clients, ((ports.frontend, ports.server), seconds, rate, pipes[1][1]))
        if rate
        else (run_clients, (ports.frontend, seconds, pipes[1][1])),
    ]
    processes = [multiprocessing.Process(target=run_coroutine, args=task, daemon=True) for task in tasks]
    for process in processes:
        process.start()
    if not all(receiver.poll(seconds + 10) for receiver, _ in pipes):
        sys.exit("no result in time from the edge process or the clients")
    (processor_s, memory_kb), count = pipes[0][0].recv(), pipes[1][0].recv()
    if rate:
        via_edge, direct = (
            [quantiles(durations_ms, n=1000)[rank] for rank in (499, 899, 989)] for durations_ms in count
        )
        for name, edge_ms, direct_ms in zip(("p50", "p90", "p99"), via_edge, direct):
            print(f"{name}: {edge_ms:.2f} ms, directly to the server {direct_ms:.2f}, added {edge_ms - direct_ms:.2f}")
        count = len(count[0])
    print(
        f"{count / seconds:.0f} requests a second, {1e6 * processor_s / count:.0f} us of processor time each, "
        f"{memory_kb / 1024:.0f} MB peak memory"
    )
    processes[1].join(5)
    processes[0].terminate()


def run_coroutine(function, arguments):
    asyncio.run(function(*arguments))


if __name__ == "__main__":
    main()
