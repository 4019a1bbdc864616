"""Measures storing, encoding and decoding the server list by its length: `python benchmarks/server_list.py`."""

from random import Random

import msgspec
from slopes import markdown_table, measure_memory, min_processor_ms

from kestrelplank.forwarding.endpoints import Endpoints
from kestrelplank.transport.messages import decode_at_edge
from kestrelplank.transport.server_list import READY, ListedServer, ServerList
from kestrelplank.transport.wire import encode_frame, uncompressed_body

SIZES = (100, 1000, 6200)
SERVICES, ZONES = 180, 8
S = 1_000_000_000


def entries(count: int) -> list[tuple]:
    """A list in the form that the platform adapter returns, with random names as the platform's are."""
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


def measure(count: int) -> dict[str, float]:
    """Processor time in ms and sizes in KB for a list of that length."""
    listed, now = entries(count), 100 * S
    changed = [*listed[:-1], (*listed[-1][:4], 3, READY, 0)]
    servers = ServerList()
    servers.update(now, 0, listed)

    def update_unchanged() -> None:
        nonlocal now
        now += S
        servers.update(now, 0, listed)

    def update_changed() -> None:
        nonlocal now, listed, changed
        now += S
        listed, changed = changed, listed
        servers.update(now, 0, listed)

    json_text = msgspec.json.encode([ListedServer(*entry)._asdict() for entry in listed])
    frame = encode_frame(servers.update_message(now))
    body, compressed = frame[4:], bool(int.from_bytes(frame[:4]) >> 31)
    endpoints = Endpoints(Random(1), "zone-0")
    endpoints.update(now, servers.entries.values())
    memory_kb = measure_memory(lambda: decoded_server_list(now, count))[1]
    return {
        "decoded from JSON, ms": min_processor_ms(lambda: msgspec.json.decode(json_text)),
        "updated, unchanged, ms": min_processor_ms(update_unchanged),
        "updated, one changed, ms": min_processor_ms(update_changed),
        "encoded, ms": min_processor_ms(lambda: encode_frame(servers.update_message(now))),
        "decoded, ms": min_processor_ms(lambda: decode_at_edge(uncompressed_body(body, compressed))),
        "endpoints updated, ms": min_processor_ms(lambda: endpoints.update(now, servers.entries.values())),
        "uncompressed, KB": len(msgspec.msgpack.encode(servers.update_message(now))) / 1000,
        "on the wire, KB": len(frame) / 1000,
        "memory, KB": memory_kb,
        "memory of endpoints, KB": measure_memory(lambda: build_endpoints(now, servers))[1],
    }


def decoded_server_list(now: int, count: int) -> ServerList:
    """A server list decoded from a message, without endpoints."""
    servers = ServerList()
    servers.update(now, 0, msgspec.msgpack.decode(msgspec.msgpack.encode(entries(count))))
    return servers


def build_endpoints(now: int, servers: ServerList) -> Endpoints:
    """The endpoints that an edge member keeps in addition to the list."""
    endpoints = Endpoints(Random(1), "zone-0")
    endpoints.update(now, servers.entries.values())
    return endpoints


if __name__ == "__main__":
    print(markdown_table("servers", [(f"{count:,}", count, measure(count)) for count in SIZES]))
