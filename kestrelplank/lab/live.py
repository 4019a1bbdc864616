"""The same world over real sockets and in real time: nodes behind HTTP/1.1 on loopback, the real program as processes.

Relays, clients, the hub's store and channels, discovery and the faults are those of `lab/world.py`. Here a conductor's
seat speaks the protocol to a process, and tries travel over kept connections. Ways between zones are waited for.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from kestrelplank.interface import ALL_TABLES
from kestrelplank.lab.node import FAILED as ERROR
from kestrelplank.lab.node import NOT_STARTED as FULL
from kestrelplank.lab.parties import MS, Kit, Party, Visitor, news
from kestrelplank.lab.rehearsal import report
from kestrelplank.lab.script import Script, conf
from kestrelplank.lab.world import Ask, Relay, World
from kestrelplank.net import resp
from kestrelplank.net.connection import Dialled, address
from kestrelplank.net.http import Client
from kestrelplank.net.loop import READ, Loop
from kestrelplank.plan.attempts import CUT, FAILED, NOT_STARTED, REFUSED, RESET, UNSENT

LIFE = 1000 * MS  # between signs of life
FRESH = 2000 * MS  # between empty lines of the node list
ENDS_WITHIN = 5.0  # s that a process gets to end after SIGTERM
IDLE = 15_000 * MS
MOST_ANSWER = 1 << 12
CONDUCTOR = ("-m", "kestrelplank")
CONDITIONS = {"up": "in_service", "draining": "terminating", "removed": "terminated"}


class Process:
    """A program of ours, its log read by our loop: nothing here blocks while it runs, as whoever starts it plays the
    other side too."""

    def __init__(self, loop: Loop, words: tuple[str, ...], **variables: str) -> None:
        self._loop, self.log = loop, b""
        self.process = subprocess.Popen([sys.executable, *words], stderr=subprocess.PIPE, env=os.environ | variables)
        os.set_blocking(self.process.stderr.fileno(), False)
        loop.watch(self.process.stderr, READ, self._read)

    def _read(self, events: int) -> None:
        data = self.process.stderr.read()
        self.log += data or b""
        if data == b"":
            self._loop.forget(self.process.stderr)
            self.process.stderr.close()

    def lines(self, what: str) -> list[str]:
        """Whole lines of its log so far that say that."""
        whole = self.log[: self.log.rfind(b"\n") + 1].decode()
        return [line for line in whole.splitlines() if what in line]

    def address(self) -> tuple[str, int] | None:
        """Where it listens, once it has said so."""
        started = self.lines("event=started")
        return address(started[0].split("listen=")[1].split()[0]) if started else None

    def ended(self) -> bool:
        return self.process.poll() is not None and self.process.stderr.closed

    def kill(self, number: int = signal.SIGKILL) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """Ends it in order, or else at once."""
        self.kill(signal.SIGCONT)
        self.kill(signal.SIGTERM)
        try:
            self.process.wait(ENDS_WITHIN)
        except subprocess.TimeoutExpired:
            self.kill()
            self.process.wait()
        if not self.process.stderr.closed:
            self._loop.forget(self.process.stderr)
            self.process.stderr.close()


class Collector:
    """A zone's connection to a conductor, which is dialled again when it ends."""

    def __init__(self, seat: "LiveSeat", zone: int) -> None:
        self._seat, self._zone, self._connection, self._closed, self._timer = seat, zone, None, False, None
        self._dial()

    def _dial(self) -> None:
        kit = self._seat.world.kit
        self._up = False
        self._connection = Dialled(kit.loop, kit.pool, self._seat.at, self, 1 << 20, 250 * MS)

    def on_open(self) -> None:
        self._up = True
        self.send(b"telemetry", b"locality", self._seat.zone_name(self._zone))

    def on_data(self, data: memoryview) -> None:
        """A conductor writes nothing to a collector but why it is let go."""

    def on_close(self, why: str) -> None:
        self._up = False
        if not self._closed:
            loop = self._seat.world.kit.loop
            self._timer = loop.at(loop.now() + 200 * MS, self._dial)

    def send(self, *parts: bytes) -> None:
        if self._up:
            self._connection.write(resp.encode(*parts))

    def close(self) -> None:
        self._closed = True
        if self._timer:
            self._timer.cancel()
        self._connection.close("over")


class LiveSeat:
    """A conductor's place: its relay and its agent, kept over its lives, and its process."""

    def __init__(self, world: "LiveWorld", number: int) -> None:
        self.world, self.number, self.zone = world, number, number % len(world.script.site.zones)
        self.alive, self.life = False, 0
        self.relay = Party(world.kit, self._relay_asked)
        self.agent = Party(world.kit, self._agent_asked)
        self.streams: list[Visitor] = []
        self.watches: list[Visitor] = []
        self._entries: dict[int, dict] = {}
        self._version, self._signs = 0, None
        self._process: Process | None = None
        self._collectors: list[Collector] = []
        self.at: tuple[str, int] | None = None
        self.path = os.path.join(world.folder, f"n{number}.json")
        self.logs: list[bytes] = []

    def zone_name(self, zone: int) -> bytes:
        return self.world.script.site.zones[zone].encode()

    def start(self) -> None:
        self.alive, self.life, self.at = True, self.life + 1, None
        config = {
            "name": f"n{self.number}",
            "listen": "127.0.0.1:0",
            "discovery": self.agent.at,
            "hub": {"address": self.relay.at},
            "known": self._list(True),
            "seed": f"{self.world.seed * 977 + self.number * 31 + self.life:x}",
            "settings": conf(self.world.script, self.number),
        }
        with open(self.path, "w") as file:
            json.dump(config, file)
        self._process = Process(self.world.kit.loop, CONDUCTOR, NODE_CONFIG=self.path)
        self._join()
        self._sign()

    def _join(self) -> None:
        """Collectors come once it listens."""
        if not self.alive:
            return
        self.at = self._process.address()
        if self.at is None:
            loop = self.world.kit.loop
            loop.at(loop.now() + 20 * MS, self._join)
        else:
            self._collectors = [Collector(self, zone) for zone in range(len(self.world.script.site.zones))]

    def _sign(self) -> None:
        loop = self.world.kit.loop
        for stream in self.streams:
            stream.tell({})
        for watch in self.watches:
            watch.tell(b"\n")
        self._signs = loop.at(loop.now() + LIFE, self._sign)

    def kill(self) -> None:
        self.alive = False
        self._end()

    def _end(self) -> None:
        for collector in self._collectors:
            collector.close()
        self._collectors = []
        if self._signs:
            self._signs.cancel()
        if self._process:
            self._process.kill()
            self._process.close()
            self.logs.append(self._process.log)
            self._process = None

    def stand(self, until: int) -> None:
        process = self._process
        if process:
            process.kill(signal.SIGSTOP)
            self.world.kit.loop.at(until, lambda: process.kill(signal.SIGCONT))

    def close(self) -> None:
        self.alive = False
        self._end()
        self.relay.close()
        self.agent.close()

    # What the world tells it.

    def tell(self, event: tuple, after: int = 0) -> None:
        loop, life = self.world.kit.loop, self.life
        if self.alive:
            loop.at(loop.now() + after, lambda: self._hear(*event) if self.alive and self.life == life else None)

    def _hear(self, word: str, *fields: Any) -> None:
        if word in ("tries", "heat"):
            self._report(word, *fields)
        elif word == "roster":
            self._listed(*fields)
        else:
            line = {
                "joined": self._attach,
                "left": lambda proxy: news("detach", node=proxy),
                "applied": lambda proxy, mark, wait: news("done", node=proxy, nonce=mark, latency=wait / MS),
                "tenure": lambda table, held: news("owner", shard=table, set=held),
                "line": self._entry,
            }[word](*fields)
            for stream in self.streams:
                stream.tell(line)

    def _attach(self, proxy: int, zone: int, rate: float, fresh: bool) -> dict:
        return news("attach", node=proxy, locality=self.world.script.site.zones[zone], w=rate, cold=fresh)

    def _entry(self, table: int, node: int, weight: float) -> dict:
        return news("entry", shard=table, endpoint=f"s-{node}", w=weight)

    def _report(self, word: str, *fields: Any) -> None:
        if not self._collectors:
            return
        if word == "tries":
            node, zone, count, failed, mean, span, _ = fields
            parts = [
                b"upstream_stats",
                b"locality",
                self.zone_name(zone),
                b"endpoint",
                b"s-%d" % node,
                b"total",
                b"%d" % count,
                b"errors",
                b"%d" % failed,
            ]
            parts += [b"rtt", b"%.3f" % (mean / MS)] if mean else []
        else:
            table, op_type, count, aborted, span = fields
            zone = 0
            parts = [
                b"range_stats",
                b"shard",
                b"%d" % table,
                b"route",
                self.world.names[op_type].encode(),
                b"total",
                b"%d" % count,
                b"errors",
                b"%d" % aborted,
            ]
        self._collectors[zone].send(*parts, b"interval", b"%.1f" % (span / MS))

    # Its relay.

    def _relay_asked(self, visitor: Visitor, path: str, body: bytes) -> None:
        world = self.world
        if path == "/api/stream":
            visitor.begin()
            lines = [
                self._attach(relay.number, relay.zone, world.rate(world.kit.loop.now()) / len(world.relays), False)
                for relay in world.relays
                if self.number in relay.streams
            ]
            for table, charge in enumerate(world.hub.charge):
                if charge == self.number:
                    lines.append(news("owner", shard=table, set=True))
                    lines += [self._entry(table, node, weight) for node, weight in world.hub.lines[table].items()]
            visitor.tell(b"".join(json.dumps(line).encode() + b"\n" for line in (*lines, {})))
            self.streams = [stream for stream in self.streams if stream.gone is None] + [visitor]
            return
        orders = [self._order(order) for order in json.loads(body)["ops"]]
        if self.alive:
            world.hub.call(self.number, orders)
        visitor.reply({"ok_count": len(orders)})

    def _order(self, order: dict) -> tuple:
        verb = order["verb"]
        if verb == "put":
            return "line", order["cluster"], int(order["endpoint"][2:]), order["w"]
        if verb == "wipe":
            return "clear", order["cluster"]
        if verb in ("eject", "uneject"):
            return "take_out", int(order["endpoint"][2:]), verb == "eject"
        if verb == "fence":
            return "mark", order["stamp"]
        table = ALL_TABLES if order.get("cluster", "*") == "*" else order["cluster"]
        kinds = sum(1 << self.world.names.index(name) for name in order.get("for", ()))
        return "level", table, kinds, order["gate"], order["again"]

    # Its agent.

    def _listed(self, how: str, entries: list[tuple]) -> None:
        unix = time.time_ns() - self.world.kit.loop.now()
        new = []
        for node, condition, zone, cell, weight, boot in entries:
            new.append(
                {
                    "instanceId": f"s-{node}",
                    "hostPort": self.world.addresses[node],
                    "zone": self.world.script.site.zones[zone],
                    "machineType": "m",
                    "cell": cell,
                    "lifecycle": CONDITIONS[condition],
                    "weight": weight,
                    "startedAtMs": (boot + unix) / MS if boot else 0,
                }
            )
            self._entries[node] = new[-1]
        self._version += 1
        if how == "delta":
            self.watches = [watch for watch in self.watches if watch.gone is None]
            for watch in self.watches:
                watch.tell({"generation": self._version, "reset": False, "instances": new})

    def _list(self, reset: bool) -> dict:
        return {
            "generation": self._version,
            "reset": reset,
            "instances": [entry for entry in self._entries.values() if entry["lifecycle"] != "terminated"],
        }

    def _agent_asked(self, visitor: Visitor, path: str, body: bytes) -> None:
        query = dict(parse_qsl(urlsplit(path).query))
        if "follow" not in query:
            visitor.reply(self._list(True))
            return
        visitor.begin()
        if query.get("since") != str(self._version):
            visitor.tell(self._list(True))
        else:
            visitor.tell(b"\n")
        self.watches.append(visitor)


class Server:
    """An emulated node behind HTTP/1.1 on loopback: `/op` with the op's figures, and `/health`."""

    def __init__(self, world: "LiveWorld", node: int) -> None:
        self._world, self._node = world, node
        self._party: Party | None = Party(world.kit, self._asked)
        self._party.left = self._left
        self._at = address(self._party.at)
        self.address = self._party.at
        self._asking: dict[int, Visitor] = {}
        self._numbers: dict[int, int] = {}  # visitor to the op that it waits for

    def _asked(self, visitor: Visitor, path: str, body: bytes) -> None:
        target, now = self._world.nodes[self._node], self._world.kit.loop.now()
        if target.silent:
            if not path.startswith("/health"):
                self._offer(visitor, path, now)
            return
        if path.startswith("/health"):
            visitor.reply(b"ok\n" if not target.fallen else b"fallen\n", 503 if target.fallen else 200)
            return
        told = self._offer(visitor, path, now)
        if told == FULL:
            visitor.reply(b"not started\n", 503)
        elif told == ERROR:
            visitor.reply(b"failed\n", 500)
        else:
            self._world.look_at(self._node)

    def _offer(self, visitor: Visitor, path: str, now: int) -> str:
        op = dict(parse_qsl(urlsplit(path).query))
        number = int(op["number"])
        self._asking[number] = visitor
        self._numbers[id(visitor)] = number
        target = self._world.nodes[self._node]
        told = target.offer(
            now, number, int(op["type"]), float(op["work"]), int(op["key"]), op["new"] == "1", op["knowing"] == "1"
        )
        self._world.rules.pushed(self._node, target.worst_push)
        return told

    def done(self, number: int) -> None:
        visitor = self._asking.pop(number, None)
        if visitor is not None and visitor.gone is None:
            self._numbers.pop(id(visitor), None)
            visitor.reply(b"done\n")

    def _left(self, visitor: Visitor) -> None:
        if self._party and visitor in self._party.visitors:
            self._party.visitors.remove(visitor)
        number = self._numbers.pop(id(visitor), None)
        if number is not None:
            self._asking.pop(number, None)
            target = self._world.nodes[self._node]
            if not target.silent:
                target.cancel(self._world.kit.loop.now(), number)
                self._world.look_at(self._node)

    def close(self) -> None:
        """Its process ends, and every connection with it."""
        if self._party:
            self._asking.clear()
            self._numbers.clear()
            party, self._party = self._party, None
            party.close()

    def open(self) -> None:
        """It listens again where it did."""
        if self._party is None:
            self._party = Party(self._world.kit, self._asked, self._at)
            self._party.left = self._left


class Line:
    """One kept connection of a relay to a node, with one try at a time."""

    def __init__(self, world: "LiveWorld", relay: Relay, node: int) -> None:
        self.world, self.relay, self.node, self.number, self.idle_since = world, relay, node, -1, 0
        self.client = Client(
            world.kit.loop, world.kit.pool, world.addresses[node], self, world.script.relays.dial, MOST_ANSWER
        )
        self.used = False

    def ask(self, number: int, ask: Ask, knowing: bool) -> None:
        self.number = number
        path = (
            f"/op?number={number}&type={ask.op_type}&work={ask.work}&key={ask.key}"
            f"&new={int(not self.used)}&knowing={int(knowing)}"
        )
        self.used = True
        self.client.call("POST", path, b"", 3600_000 * MS)  # the relay's own core gives up, not the connection

    def on_answer(self, status: int, body: bytes) -> None:
        outcome = {200: "acked", 503: NOT_STARTED, 500: FAILED}.get(status, CUT)
        number, self.number = self.number, -1
        self.world.lines.pop((self.relay.number, number), None)
        self.world.idle(self)
        self._end(number, outcome)

    def on_broken(self, why: str) -> None:
        number, self.number = self.number, -1
        self.used = False
        self.world.lines.pop((self.relay.number, number), None)
        if why in ("does not come up", "ECONNREFUSED"):
            self._end(number, REFUSED)
        else:
            self._end(number, RESET if self.client.sent else UNSENT)

    def _end(self, number: int, outcome: str) -> None:
        world, relay, node = self.world, self.relay, self.node
        way = world.way(relay.zone, world.zone_of(node))
        world.kit.loop.at(world.kit.loop.now() + way, lambda: relay.awake(relay.ended, number, node, outcome))


class LiveWorld(World):
    def __init__(self, script: Script, seed: int, kit: Kit, folder: str) -> None:
        self.kit, self.folder = kit, folder
        self.lines: dict[tuple[int, int], Line] = {}  # relay and op to the connection that its try is on
        self._idle: dict[tuple[int, int], list[Line]] = {}
        self.addresses: list[str] = []
        super().__init__(script, seed, kit.loop, seat=LiveSeat)
        self.servers = [Server(self, node) for node in range(script.site.nodes)]
        self.addresses = [server.address for server in self.servers]

    def reach(self, relay: Relay, number: int, ask: Ask, node: int, way: int, knowing: bool) -> None:
        self.clock.at(self.clock.now() + way, lambda: self._reach(relay, number, ask, node, knowing))

    def _reach(self, relay: Relay, number: int, ask: Ask, node: int, knowing: bool) -> None:
        if number not in relay.ops or relay.ops[number][0].node != node:
            return  # given up while it was on its way
        idle = self._idle.get((relay.number, node), [])
        now = self.clock.now()
        while idle and now - idle[0].idle_since > IDLE:
            idle.pop(0).client.close()
        line = idle.pop() if idle else Line(self, relay, node)
        self.lines[relay.number, number] = line
        line.ask(number, ask, knowing)

    def idle(self, line: Line) -> None:
        line.idle_since = self.clock.now()
        self._idle.setdefault((line.relay.number, line.node), []).append(line)

    def hang_up(self, relay: Relay, number: int, node: int) -> None:
        line = self.lines.pop((relay.number, number), None)
        if line is not None:
            line.client.close()

    def done(self, node: int, number: int) -> None:
        self.servers[node].done(number)

    def drop(self, node: int) -> None:
        self.lives[node] += 1
        self.servers[node].close()
        if not self.nodes[node].down:
            self.servers[node].open()

    def close(self) -> None:
        for seat in self.seats:
            seat.close()
        for line in [*self.lines.values(), *(line for lines in self._idle.values() for line in lines)]:
            line.client.close()
        for server in self.servers:
            server.close()


def play(script: Script, seed: int, progress: Callable[[float], None] = lambda done: None) -> dict:
    """Plays a script in real time and returns its report. Everything it started has ended by then."""
    kit = Kit()
    with tempfile.TemporaryDirectory() as folder:
        world = LiveWorld(script, seed, kit, folder)
        try:
            world.start()
            step = 200 * MS

            def tick() -> None:
                progress(min(1.0, (kit.loop.now() - world.begun) / (world.over - world.begun)))
                kit.loop.at(kit.loop.now() + step, tick)

            tick()
            while kit.loop.now() < world.over:
                kit.loop.turn()
            found = report(world, "live")
        finally:
            world.close()
            kit.loop.close()
    logs = [log for seat in world.seats for log in seat.logs]
    found["defects"] = sum(log.count(b"event=defects") for log in logs)
    return found
