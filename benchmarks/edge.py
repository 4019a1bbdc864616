"""What a request costs the edge program, by hand: one edge process, a server that answers at once and clients that ask
again at once, each in a process of its own on loopback. `python benchmarks/edge.py [SECONDS] [--profile]`."""

import asyncio
import cProfile
import json
import multiprocessing
import pstats
import resource
import sys
import time

from kestrelplank.config import lean  # noqa: F401
from kestrelplank.config.platform import Bounds, CloudApi, Local, Network, Settings
from kestrelplank.http.serve import listener

IP, CLIENTS = "127.0.0.1", 8
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


async def serve(port):
    server = await asyncio.get_running_loop().create_server(Serving, IP, port)
    await server.serve_forever()


async def edge(port, behind, seconds, profile, told):
    from kestrelplank.edge.program import EdgeProgram

    found = EdgeProgram(
        Settings(
            Local("edge-1", IP, "hall"),
            Network([port + 2], [f"{IP}:{port + 3}"], {"frontend": f"{IP}:{port}", "readiness": f"{IP}:{port + 1}"}),
            CloudApi("127.0.0.1:9"),
            Bounds(),
        )
    )
    found.listen()
    wire = type("FrameConnection", (), {"peer": "m"})()
    found.on_frame(wire, {"t": "word", "key": (7, ""), "text": CONFIGURATION})
    found.on_frame(
        wire, {"t": "roster", "age": 0, "list": [("views-0", "views", f"{IP}:{behind}", "hall", 64, "ready", 0)]}
    )
    await asyncio.sleep(1)
    profiler, spent = cProfile.Profile(), time.process_time()
    if profile:
        profiler.enable()
    await asyncio.sleep(seconds)
    profiler.disable()
    told.send((time.process_time() - spent, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss))
    if profile:
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)


async def ask(port, seconds, told):
    await asyncio.sleep(0.9)
    until, counts = time.monotonic() + seconds, [0] * CLIENTS

    async def client(place):
        reader, writer = await asyncio.open_connection(IP, port)
        number = place << 32
        while time.monotonic() < until:
            number += 1
            writer.write(ASK % number)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            await reader.readexactly(400)
            counts[place] += 1
        writer.close()

    await asyncio.gather(*map(client, range(CLIENTS)))
    told.send(sum(counts))


def main():
    seconds = float(next((word for word in sys.argv[1:] if not word.startswith("-")), "5"))
    sock = listener(IP, 0)
    port = sock.getsockname()[1]
    sock.close()
    ends = [multiprocessing.Pipe(False) for _ in range(2)]
    work = [
        (serve, (port + 9,)),
        (edge, (port, port + 9, seconds, "--profile" in sys.argv, ends[0][1])),
        (ask, (port, seconds, ends[1][1])),
    ]
    processes = [multiprocessing.Process(target=run, args=one, daemon=True) for one in work]
    for process in processes:
        process.start()
    if not all(end.poll(seconds + 10) for end, _ in ends):
        sys.exit("one of the processes failed")
    (spent, memory), count = ends[0][0].recv(), ends[1][0].recv()
    print(
        f"{count / seconds:.0f} requests a second, {1e6 * spent / count:.0f} us of processor each, "
        f"{memory / 1024:.0f} MB at most"
    )
    processes[1].join(5)
    processes[0].terminate()


def run(what, given):
    asyncio.run(what(*given))


if __name__ == "__main__":
    main()
