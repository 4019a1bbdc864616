"""What the list of servers costs who keeps, tells and takes it, by hand: `python benchmarks/server_list.py`."""

from random import Random

import msgspec
from slopes import held, spent, table

from kestrelplank.forwarding.endpoints import Endpoints
from kestrelplank.transport.messages import decode_at_edge
from kestrelplank.transport.server_list import READY, ListedServer, ServerList
from kestrelplank.transport.wire import encode_frame, uncompressed_body

SIZES = (100, 1000, 6200)
SERVICES, ZONES = 180, 8
S = 1_000_000_000


def entries(count: int) -> list[tuple]:
    """A list as the platform's adapter hands it over: names by chance, as the platform's are."""
    random = Random(count)
    return [
        (
            f"i-{random.getrandbits(32):08x}",
            f"service-{number % SERVICES:03d}",
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
            f"zone-{number % ZONES}",
            2,
            READY,
            0,
        )
        for number in range(count)
    ]


def figures(count: int) -> dict[str, float]:
    """Milliseconds of processor and bytes for a list of that length."""
    listed, now = entries(count), 100 * S
    changed = [*listed[:-1], (*listed[-1][:4], 3, READY, 0)]
    servers = ServerList()
    servers.update(now, 0, listed)

    def same() -> None:
        nonlocal now
        now += S
        servers.update(now, 0, listed)

    def other() -> None:
        nonlocal now, listed, changed
        now += S
        listed, changed = changed, listed
        servers.update(now, 0, listed)

    page = msgspec.json.encode([ListedServer(*one)._asdict() for one in listed])
    frame = encode_frame(servers.update_message(now))
    body, compressed = frame[4:], bool(int.from_bytes(frame[:4]) >> 31)
    endpoints = Endpoints(Random(1), "zone-0")
    endpoints.update(now, servers.entries.values())
    kept = held(lambda: taken(now, count))[1]
    return {
        "read from JSON, ms": spent(lambda: msgspec.json.decode(page)),
        "taken, the same, ms": spent(same),
        "taken, one changed, ms": spent(other),
        "packed, ms": spent(lambda: encode_frame(servers.update_message(now))),
        "read, ms": spent(lambda: decode_at_edge(uncompressed_body(body, compressed))),
        "endpoints, ms": spent(lambda: endpoints.update(now, servers.entries.values())),
        "plain, KB": len(msgspec.msgpack.encode(servers.update_message(now))) / 1000,
        "on the wire, KB": len(frame) / 1000,
        "kept, KB": kept,
        "kept as endpoints, KB": held(lambda: endpoints_of(now, servers))[1],
    }


def taken(now: int, count: int) -> ServerList:
    """A list that has come, alone."""
    servers = ServerList()
    servers.update(now, 0, msgspec.msgpack.decode(msgspec.msgpack.encode(entries(count))))
    return servers


def endpoints_of(now: int, servers: ServerList) -> Endpoints:
    """What an edge member keeps of each server besides."""
    endpoints = Endpoints(Random(1), "zone-0")
    endpoints.update(now, servers.entries.values())
    return endpoints


if __name__ == "__main__":
    print(table("servers", [(f"{count:,}", count, figures(count)) for count in SIZES]))
