"""Measures what edge sessions cost a control member, without sockets: heartbeats, load reports and key ranges.

Each message is encoded, decoded and answered as the program does it: run with
`PYTHONPATH=.:tests python benchmarks/sessions.py`.
"""

import time
from random import Random

from storage.memory import MemoryLog

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.consensus.effects import Persist
from kestrelplank.control.bootstrap import start_member
from kestrelplank.control.effects import CallServer
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.sharding.effects import ServerCallResult
from kestrelplank.sharding.key_range import KEY_COUNT
from kestrelplank.time_units import SECOND
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import LoadReport, decode_at_edge, decode_at_member
from kestrelplank.transport.server_list import ListedServer
from kestrelplank.transport.sessions import Sessions
from kestrelplank.transport.wire import COMPRESSED_FLAG, encode_frame, uncompressed_body

MEMBER_ADDRESS, REQUESTS_PER_S, SECONDS = "10.0.0.1:80", 125, 10
HEARTBEAT_INTERVAL_NS, REPORT_INTERVAL_NS = 2 * SECOND // 5, SECOND // 2
TEXT = b"""{"config_version": "00000007", "service_table": [{"name": "views", "sharded": true}], "virtual_hosts": [
{"host_name": "shop.example", "host_routes": [{"path_prefix": "/a/", "route_type": "idempotent", "timeout_s": 1.5,
"target_service": "views"}]}], "limits": {}}"""


class FakeConnection:
    def reset(self):
        pass


def execute_effects(member, disk, now, effects):
    """Carry out the member's effects immediately: writes persist, and calls to servers succeed."""
    for effect in effects:
        if isinstance(effect, Persist):
            disk.write([effect])
            execute_effects(member, disk, now, member.handle_persisted(now, effect.number))
        elif isinstance(effect, CallServer):
            next_effects = member.handle_server_call_ended(now, effect, ServerCallResult(True, 200, "h"))
            execute_effects(member, disk, now, next_effects)


def transmit(message, decode, byte_count):
    """Encode and decode the message, and add its size on the wire to `byte_count[0]`."""
    data = encode_frame(message)
    byte_count[0] += 66 + len(data)  # headers of the packet
    header = int.from_bytes(data[:4])
    return decode(uncompressed_body(data[4:], bool(header & COMPRESSED_FLAG)))


def start_leader(now, random, servers):
    """A leader without other voters that knows that many servers; returns the member, its disk and the time."""
    disk = MemoryLog()
    member = start_member(
        now, random, MEMBER_ADDRESS, MemberProfile("z", True, (MEMBER_ADDRESS,), 0, 6 * SECOND), disk, True
    )
    for _ in range(20):
        now += SECOND // 20
        execute_effects(member, disk, now, member.tick(now))
    entries = [
        ListedServer(f"i-{number}", "views", f"10.1.0.{number}:80", "z", 2, "ready", 0) for number in range(servers)
    ]
    execute_effects(member, disk, now, member.handle_servers_fetched(now, entries))
    execute_effects(member, disk, now, member.handle_replace_call(now, 1, parse_configuration(TEXT).unwrap()))
    for _ in range(80):
        now += SECOND // 20
        execute_effects(member, disk, now, member.tick(now))
    return member, disk, now


def measure(edges, servers=23):
    """Processor time in ms, bytes received and bytes sent, each per second."""
    random = Random(1)
    member, disk, now = start_leader(100 * SECOND, random, servers)
    sessions, views, connections = (
        Sessions(),
        [EdgeView(f"edge-{number}", (MEMBER_ADDRESS,)) for number in range(edges)],
        {},
    )
    bytes_in, bytes_out, processor_s = [0], [0], 0.0
    for step in range(20 * SECONDS):
        now += SECOND // 20
        for number, view in enumerate(views):
            if not (step + number) * SECOND // 20 % HEARTBEAT_INTERVAL_NS:
                heartbeat = transmit(view.heartbeat(now), decode_at_member, bytes_in)
                started = time.process_time()
                session = sessions.on_message(now, connections.setdefault(number, FakeConnection()), heartbeat.edge)
                session.reported_version = heartbeat.configuration_version
                responses = [
                    transmit(response, decode_at_edge, bytes_out)
                    for response in member.handle_edge_heartbeat(now, heartbeat, edges)
                ]
                processor_s += time.process_time() - started
                for response in responses:
                    view.receive(now, MEMBER_ADDRESS, response)
            if not (step + number) * SECOND // 20 % REPORT_INTERVAL_NS:
                keys = [
                    random.randrange(KEY_COUNT)
                    for _ in range(round(REQUESTS_PER_S * REPORT_INTERVAL_NS / SECOND / edges + random.random()))
                ]
                server_statistics = {f"i-{random.randrange(servers)}": (1, 0, 1.0, 1, 0.0, 0) for _ in keys}
                report = transmit(LoadReport("views", keys, server_statistics), decode_at_member, bytes_in)
                started = time.process_time()
                member.handle_load_report(now, report)
                processor_s += time.process_time() - started
        started = time.process_time()
        execute_effects(member, disk, now, member.tick(now))
        processor_s += time.process_time() - started
    assert all(view.ready() for view in views)
    return 1000 * processor_s / SECONDS, bytes_in[0] / SECONDS, bytes_out[0] / SECONDS


if __name__ == "__main__":
    for edges in (30, 100, 300, 1000):
        cost, bytes_in, bytes_out = measure(edges)
        print(
            f"{edges} edges: {cost:.0f} ms/s processor time, {bytes_in / 1000:.0f} KB/s in, "
            f"{bytes_out / 1000:.0f} KB/s out"
        )
