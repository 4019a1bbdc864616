"""What a request costs the edge program, by hand: one edge process, a server that answers at once and clients that ask
again at once, each in a process of its own on loopback. `python benchmarks/edge.py [SECONDS] [--profile]`.

With `--rate=N` requests come at so many a second, at random times, and what the edge adds to each is told: the time to
the whole answer, beside that of the same requests sent straight to the server. `--servers=N`: so many are listed, in
180 services, 34 of them or all if fewer of the one that is asked."""

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

from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.settings import skip_unused_libraries  # noqa: F401
from kestrelplank.settings.platform import Bounds, CloudApi, LocalSystem, Network, PlatformSettings
from kestrelplank.transport.messages import ConfigurationUpdate

IP, CLIENTS = "127.0.0.1", 8
ASKED_SERVERS, OTHER_SERVICES = 34, 179  # servers of the service that is asked, and the other services
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
ASK = (
    b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %016x\r\nX-Deadline-Remaining: 1500\r\n"
    b"X-Shard-Key: 4711\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nX-Server-Load: 1,0,2\r\n"
    b"Keep-Alive: timeout=10\r\nContent-Length: 400\r\n\r\n" + bytes(400)
)


class Serving(asyncio.Protocol):
    """A server that answers each request at once."""

    def connection_made(self, transport):
        self.transport, self.buffer = transport, b""

    def data_received(self, data):
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = (line for line in head.split(b"\r\n") if line.lower().startswith(b"x-attempt"))
            self.transport.write(ANSWER % next(lines).split(b": ")[1])


def listed(servers, server_port):
    """The platform's list: the servers that are asked, each at an address of its own, and those of other services."""
    asked = min(servers, ASKED_SERVERS)
    found = [(f"views-{at}", "views", f"127.0.0.{at + 1}:{server_port}", "hall", 64, "ready", 0) for at in range(asked)]
    for at in range(servers - asked):
        address = f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:80"
        found.append((f"i-{at:08x}", f"other-{at % OTHER_SERVICES}", address, "hall", 2, "ready", 0))
    return found


async def serve(port, servers):
    hosts = [f"127.0.0.{at + 1}" for at in range(min(servers, ASKED_SERVERS))]
    server = await asyncio.get_running_loop().create_server(Serving, hosts, port)
    await server.serve_forever()


async def edge(port, server_port, servers, seconds, profile, results):
    from kestrelplank.edge.program import EdgeProgram

    program = EdgeProgram(
        PlatformSettings(
            LocalSystem("edge-1", IP, "hall"),
            Network([port + 2], [f"{IP}:{port + 3}"], {"frontend": f"{IP}:{port}", "readiness": f"{IP}:{port + 1}"}),
            CloudApi("127.0.0.1:9"),
            Bounds(),
        )
    )
    program.listen()
    program.receive("member", ConfigurationUpdate(7, CONFIGURATION))
    program.receive("member", ServerListUpdate(0, listed(servers, server_port)))
    await asyncio.sleep(1)
    profiler, processor_s = cProfile.Profile(), time.process_time()
    if profile:
        profiler.enable()
    await asyncio.sleep(seconds)
    profiler.disable()
    results.send((time.process_time() - processor_s, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss))
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)


async def ask(port, seconds, results):
    await asyncio.sleep(0.9)
    until, counts = time.monotonic() + seconds, [0] * CLIENTS

    async def client(index):
        reader, writer = await asyncio.open_connection(IP, port)
        number = index << 32
        while time.monotonic() < until:
            number += 1
            writer.write(ASK % number)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            await reader.readexactly(400)
            counts[index] += 1
        writer.close()

    await asyncio.gather(*map(client, range(CLIENTS)))
    results.send(sum(counts))


async def pace(ports, seconds, rate, results):
    """Requests at random times to each of the ports by turns; milliseconds that each took, by port."""
    await asyncio.sleep(0.9)
    spare, took, number = {port: [] for port in ports}, {port: [] for port in ports}, 0

    async def one(port, number):
        began = time.perf_counter()
        reader, writer = spare[port].pop() if spare[port] else await asyncio.open_connection(IP, port)
        writer.write(ASK % number)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(400)
        took[port].append(1000 * (time.perf_counter() - began))
        spare[port].append((reader, writer))

    due, until, tasks = time.monotonic(), time.monotonic() + seconds, []
    while due < until:
        await asyncio.sleep(max(0, due - time.monotonic()))
        number += 1
        tasks.append(asyncio.create_task(one(ports[number % len(ports)], number)))
        due += random.expovariate(rate * len(ports))
    await asyncio.gather(*tasks)
    results.send([took[port] for port in ports])


def option(name, usual):
    """The number that was given as `--name=N`."""
    return int(next((word.split("=")[1] for word in sys.argv[1:] if word.startswith(f"--{name}=")), usual))


def free_ports():
    """The first of ten ports of which those used here are free, below those that the system gives away by itself."""
    while True:
        first = random.randrange(20_000, 30_000)
        try:
            for port in (first, first + 1, first + 9):
                listening_socket(IP, port).close()
        except OSError:
            continue
        return first


def main():
    seconds = float(next((word for word in sys.argv[1:] if not word.startswith("-")), "5"))
    rate, servers = option("rate", 0), option("servers", 1)
    port = free_ports()
    pipes = [multiprocessing.Pipe(False) for _ in range(2)]
    work = [
        (serve, (port + 9, servers)),
        (edge, (port, port + 9, servers, seconds, "--profile" in sys.argv, pipes[0][1])),
        (pace, ((port, port + 9), seconds, rate, pipes[1][1])) if rate else (ask, (port, seconds, pipes[1][1])),
    ]
    processes = [multiprocessing.Process(target=run, args=one, daemon=True) for one in work]
    for process in processes:
        process.start()
    if not all(end.poll(seconds + 10) for end, _ in pipes):
        sys.exit("one of the processes failed")
    (processor_s, memory), count = pipes[0][0].recv(), pipes[1][0].recv()
    if rate:
        through, straight = ([quantiles(took, n=1000)[at] for at in (499, 899, 989)] for took in count)
        for name, one, other in zip(("half", "9 in 10", "99 in 100"), through, straight):
            print(f"{name}: {one:.2f} ms, straight to the server {other:.2f}, added {one - other:.2f}")
        count = len(count[0])
    print(
        f"{count / seconds:.0f} requests a second, {1e6 * processor_s / count:.0f} us of processor each, "
        f"{memory / 1024:.0f} MB at most"
    )
    processes[1].join(5)
    processes[0].terminate()


def run(what, given):
    asyncio.run(what(*given))


if __name__ == "__main__":
    main()
