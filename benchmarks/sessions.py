"""What sessions cost a control member, by hand: beats, reports and lines of so many edge machines, without sockets.
Each message is packed, unpacked and answered as the program does it: `PYTHONPATH=.:tests python` runs this file."""

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

ME, PER_S, SECONDS = "10.0.0.1:80", 125, 10
HEARTBEAT_INTERVAL_NS, REPORT_INTERVAL_NS = 2 * SECOND // 5, SECOND // 2
TEXT = b"""{"config_version": "00000007", "service_table": [{"name": "views", "sharded": true}], "virtual_hosts": [
{"host_name": "shop.example", "host_routes": [{"path_prefix": "/a/", "route_type": "idempotent", "timeout_s": 1.5,
"target_service": "views"}]}], "limits": {}}"""


class End:
    def reset(self):
        pass


def settled(member, disk, now, effects):
    """The member alone: what it would write lasts at once, what it would call answers."""
    for effect in effects:
        if isinstance(effect, Persist):
            disk.write([effect])
            settled(member, disk, now, member.handle_persisted(now, effect.number))
        elif isinstance(effect, CallServer):
            done = member.handle_server_call_ended(now, effect, ServerCallResult(True, 200, "h"))
            settled(member, disk, now, done)


def over(message, decode, tally):
    """The message as it comes out at the other end; `tally`: bytes so far."""
    data = encode_frame(message)
    tally[0] += 66 + len(data)  # and the packet round it
    head = int.from_bytes(data[:4])
    return decode(uncompressed_body(data[4:], bool(head & COMPRESSED_FLAG)))


def alone(now, random, servers):
    """A member that leads alone, with so many servers, and its disk."""
    disk = MemoryLog()
    member = start_member(now, random, ME, MemberProfile("z", True, (ME,), 0, 6 * SECOND), disk, True)
    for _ in range(20):
        now += SECOND // 20
        settled(member, disk, now, member.tick(now))
    entries = [
        ListedServer(f"i-{number}", "views", f"10.1.0.{number}:80", "z", 2, "ready", 0) for number in range(servers)
    ]
    settled(member, disk, now, member.handle_servers_fetched(now, entries))
    settled(member, disk, now, member.handle_replace_call(now, 1, parse_configuration(TEXT).unwrap()))
    for _ in range(80):
        now += SECOND // 20
        settled(member, disk, now, member.tick(now))
    return member, disk, now


def play(edges, servers=23):
    """Milliseconds of processor and bytes, in and out, a second."""
    random = Random(1)
    member, disk, now = alone(100 * SECOND, random, servers)
    sessions, views, ends = Sessions(), [EdgeView(f"edge-{number}", (ME,)) for number in range(edges)], {}
    into, out, spent = [0], [0], 0.0
    for step in range(20 * SECONDS):
        now += SECOND // 20
        for number, view in enumerate(views):
            if not (step + number) * SECOND // 20 % HEARTBEAT_INTERVAL_NS:
                beat = over(view.heartbeat(now), decode_at_member, into)
                began = time.process_time()
                session = sessions.on_message(now, ends.setdefault(number, End()), beat.edge)
                session.reported_version = beat.configuration_version
                answers = [
                    over(answer, decode_at_edge, out) for answer in member.handle_edge_heartbeat(now, beat, edges)
                ]
                spent += time.process_time() - began
                for answer in answers:
                    view.receive(now, ME, answer)
            if not (step + number) * SECOND // 20 % REPORT_INTERVAL_NS:
                keys = [
                    random.randrange(KEY_COUNT)
                    for _ in range(round(PER_S * REPORT_INTERVAL_NS / SECOND / edges + random.random()))
                ]
                servers_met = {f"i-{random.randrange(servers)}": (1, 0, 1.0, 1, 0.0, 0) for _ in keys}
                report = over(LoadReport("views", keys, servers_met), decode_at_member, into)
                began = time.process_time()
                member.handle_load_report(now, report)
                spent += time.process_time() - began
        began = time.process_time()
        settled(member, disk, now, member.tick(now))
        spent += time.process_time() - began
    assert all(view.ready() for view in views)
    return 1000 * spent / SECONDS, into[0] / SECONDS, out[0] / SECONDS


if __name__ == "__main__":
    for edges in (30, 100, 300, 1000):
        cost, into, out = play(edges)
        print(f"{edges} edges: {cost:.0f} ms/s of processor, {into / 1000:.0f} KB/s in, {out / 1000:.0f} KB/s out")
