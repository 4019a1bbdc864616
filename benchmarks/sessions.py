"""What sessions cost a control member, by hand: beats, reports and lines of so many edge members, without sockets: each
frame is packed, unpacked and answered as the program does it. `python benchmarks/sessions.py`."""

import time
from random import Random

from kestrelplank.configuration.plan import read
from kestrelplank.control.box import Box
from kestrelplank.sharding.lines import KEYS
from kestrelplank.transport.outlook import EdgeView
from kestrelplank.transport.sessions import Sessions
from kestrelplank.transport.wire import packed, unpacked

S = 1_000_000_000
ME, PER_S, SECONDS = "10.0.0.1:80", 125, 10
BEAT, REPORT = 2 * S // 5, S // 2
TEXT = b"""{"config_version": "00000007", "service_table": [{"name": "views", "sharded": true}], "virtual_hosts": [
{"host_name": "shop.example", "host_routes": [{"path_prefix": "/a/", "route_type": "idempotent", "timeout_s": 1.5,
"target_service": "views"}]}], "limits": {}}"""


class End:
    def reset(self):
        pass


def settled(box, now, effects):
    """The member alone: what it would write lasts at once, what it would call answers."""
    for effect in effects:
        if effect[0] == "disk":
            for then in effect[3]:
                settled(box, now, box.stored(now, then[1]) if then[0] == "stored" else box.frame(now, ME, then[2]))
        elif effect[0] == "call":
            settled(box, now, box.called(now, effect[2], effect[1], effect[5], True, 200, "h"))


def over(frame, tally):
    data = packed(frame)
    tally[0] += 66 + len(data)  # and the packet round it
    head = int.from_bytes(data[:4])
    return unpacked(data[4:], bool(head >> 31))


def play(edges, servers=23):
    """Milliseconds of processor and bytes, in and out, a second."""
    random, now = Random(1), 100 * S
    box = Box(now, random, ME, (ME,), True, True, None, {})
    box.listed(
        now, 0, [(f"i-{number}", "views", f"10.1.0.{number}:80", "z", 2, "ready", 0) for number in range(servers)]
    )
    settled(box, now, box.put(now, 1, read(TEXT).unwrap()))
    for _ in range(80):
        now += S // 20
        settled(box, now, box.tick(now))
    sessions, outlooks, ends = Sessions(), [EdgeView(f"edge-{number}", (ME,)) for number in range(edges)], {}
    into, out, spent = [0], [0], 0.0
    for step in range(20 * SECONDS):
        now += S // 20
        for number, outlook in enumerate(outlooks):
            if not (step + number) * S // 20 % BEAT:
                frame = over(outlook.stand(), into)
                began = time.process_time()
                session = sessions.heard(now, ends.setdefault(number, End()), frame["edge"])
                session.said = frame["key"] and frame["key"][0]
                answers = [over(answer, out) for answer in [box.beat_frame(edges), *box.lacking(now, frame)]]
                spent += time.process_time() - began
                for answer in answers:
                    outlook.frame(now, ME, answer)
            if not (step + number) * S // 20 % REPORT:
                keys = [random.randrange(KEYS) for _ in range(round(PER_S * REPORT / S / edges + random.random()))]
                servers_met = {f"i-{random.randrange(servers)}": (1, 0, 1.0, 1) for _ in keys}
                frame = over({"t": "report", "service": "views", "keys": keys, "servers": servers_met}, into)
                began = time.process_time()
                box.report(now, frame)
                spent += time.process_time() - began
        began = time.process_time()
        settled(box, now, box.tick(now))
        spent += time.process_time() - began
    return 1000 * spent / SECONDS, into[0] / SECONDS, out[0] / SECONDS


if __name__ == "__main__":
    for edges in (12, 63, 250, 300, 1000):
        cost, into, out = play(edges)
        print(f"{edges} edges: {cost:.0f} ms/s of processor, {into / 1000:.0f} KB/s in, {out / 1000:.0f} KB/s out")
