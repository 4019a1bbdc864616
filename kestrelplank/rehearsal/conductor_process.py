"""A conductor of a live rehearsal: the real program as a process, its relay and its agent on sockets."""

import json
import os
import signal
import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

from kestrelplank.emulator.conductors import Conductor
from kestrelplank.emulator.script import conf
from kestrelplank.interface import ALL_TABLES
from kestrelplank.rehearsal.parties import MS, StubConnection, StubServer, instance, news, node_list
from kestrelplank.rehearsal.process import CONDUCTOR, Process
from kestrelplank.sockets import resp
from kestrelplank.sockets.connection import Dialled

if TYPE_CHECKING:
    from kestrelplank.rehearsal.live import LiveWorld

LIFE = 1000 * MS  # between signs of life
DIAL, REDIAL = 250 * MS, 200 * MS  # of a collector
LISTENS = 20 * MS  # between looks whether a process listens
CONDITIONS = {"up": "in_service", "draining": "terminating", "removed": "terminated"}


class Collector:
    """A zone's connection to a conductor, which is dialled again when it ends."""

    def __init__(self, conductor: "ConductorProcess", zone: int) -> None:
        self._conductor, self._zone, self._connection, self._closed = conductor, zone, None, False
        self._timer = None
        self._dial()

    def _dial(self) -> None:
        kit = self._conductor.world.kit
        self._up = False
        self._connection = Dialled(kit.loop, kit.pool, self._conductor.at, self, 1 << 20, DIAL)

    def on_open(self) -> None:
        self._up = True
        self.send(b"telemetry", b"locality", self._conductor.zone_name(self._zone))

    def on_data(self, data: memoryview) -> None:
        """A conductor writes nothing to a collector but why it is let go."""

    def on_close(self, why: str) -> None:
        self._up = False
        if not self._closed:
            loop = self._conductor.world.kit.loop
            self._timer = loop.at(loop.now() + REDIAL, self._dial)

    def send(self, *parts: bytes) -> None:
        if self._up:
            self._connection.write(resp.encode(*parts))

    def close(self) -> None:
        self._closed = True
        if self._timer:
            self._timer.cancel()
        self._connection.close("over")


class ConductorProcess(Conductor):
    """A conductor's place: its relay and its agent, kept over its lives, and its process."""

    def __init__(self, world: "LiveWorld", number: int) -> None:
        super().__init__(world, number)
        self._relay = StubServer(world.kit, self._relay_asked)
        self._agent = StubServer(world.kit, self._agent_asked)
        self._streams: list[StubConnection] = []
        self._watches: list[StubConnection] = []
        self._entries: dict[int, dict] = {}
        self._version, self._signs = 0, None
        self._process: Process | None = None
        self._collectors: list[Collector] = []
        self.at: tuple[str, int] | None = None
        self._path = os.path.join(world.folder, f"n{number}.json")
        self.logs: list[bytes] = []
        self._lines = {
            "joined": self._attach,
            "left": lambda proxy: news("detach", node=proxy),
            "applied": lambda proxy, mark, wait: news("done", node=proxy, nonce=mark, latency=wait / MS),
            "tenure": lambda table, held: news("owner", shard=table, set=held),
            "line": self._entry,
        }

    def zone_name(self, zone: int) -> bytes:
        return self.world.script.site.zones[zone].encode()

    def start(self) -> None:
        self.alive, self.life, self.at = True, self.life + 1, None
        config = {
            "name": f"n{self.number}",
            "listen": "127.0.0.1:0",
            "discovery": self._agent.at,
            "hub": {"address": self._relay.at},
            "known": self._list(),
            "seed": f"{self.world.seed * 977 + self.number * 31 + self.life:x}",
            "settings": conf(self.world.script, self.number),
        }
        with open(self._path, "w") as file:
            json.dump(config, file)
        self._process = Process(self.world.kit.loop, CONDUCTOR, NODE_CONFIG=self._path)
        self._join()
        self._sign()

    def _join(self) -> None:
        """Collectors come once it listens."""
        if not self.alive:
            return
        self.at = self._process.address()
        if self.at is None:
            self.clock.at(self.clock.now() + LISTENS, self._join)
        else:
            self._collectors = [Collector(self, zone) for zone in range(len(self.world.script.site.zones))]

    def _sign(self) -> None:
        for stream in self._streams:
            stream.tell({})
        for watch in self._watches:
            watch.tell(b"\n")
        self._signs = self.clock.at(self.clock.now() + LIFE, self._sign)

    def kill(self) -> None:
        self.alive = False
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

    def pause(self, until: int) -> None:
        process = self._process
        if process:
            process.kill(signal.SIGSTOP)
            self.clock.at(until, lambda: process.kill(signal.SIGCONT))

    def close(self) -> None:
        self.kill()
        self._relay.close()
        self._agent.close()

    # What the world tells it.

    def hear(self, word: str, *fields: Any) -> None:
        if word == "tries":
            self._report_tries(*fields)
        elif word == "heat":
            self._report_heat(*fields)
        elif word == "roster":
            self._listed(*fields)
        else:
            line = self._lines[word](*fields)
            for stream in self._streams:
                stream.tell(line)

    def _attach(self, proxy: int, zone: int, rate: float, fresh: bool) -> dict:
        return news("attach", node=proxy, locality=self.world.script.site.zones[zone], w=rate, cold=fresh)

    def _entry(self, table: int, node: int, weight: float) -> dict:
        return news("entry", shard=table, endpoint=f"s-{node}", w=weight)

    def _report_tries(self, node: int, zone: int, count: int, failed: int, mean: int, span: int, _: dict) -> None:
        where = "locality", self.world.script.site.zones[zone], "endpoint", f"s-{node}"
        rtt = ("rtt", f"{mean / MS:.3f}") if mean else ()
        self._report(zone, span, "upstream_stats", *where, "total", count, "errors", failed, *rtt)

    def _report_heat(self, table: int, op_type: int, count: int, aborted: int, span: int) -> None:
        where = "shard", table, "route", self.world.names[op_type]
        self._report(0, span, "range_stats", *where, "total", count, "errors", aborted)

    def _report(self, zone: int, span: int, *told: object) -> None:
        """Sends it with the length of the span (ns), if the zone's collector is there."""
        if self._collectors:
            self._collectors[zone].send(*(str(word).encode() for word in (*told, "interval", f"{span / MS:.1f}")))

    # Its relay.

    def _relay_asked(self, visitor: StubConnection, path: str, body: bytes) -> None:
        if path == "/api/stream":
            self._begin_stream(visitor)
            return
        orders = [self._order(order) for order in json.loads(body)["ops"]]
        if self.alive:
            self.world.hub.call(self.number, orders)
        visitor.reply({"ok_count": len(orders)})

    def _begin_stream(self, visitor: StubConnection) -> None:
        """All that stands is told first."""
        world = self.world
        rate = world.clients.rate(world.kit.loop.now()) / len(world.relays)
        joined = [relay for relay in world.relays if self.number in relay.streams]
        lines = [self._attach(relay.number, relay.zone, rate, False) for relay in joined]
        for table, owner in enumerate(world.hub.owner):
            if owner == self.number:
                lines.append(news("owner", shard=table, set=True))
                lines += [self._entry(table, node, weight) for node, weight in world.hub.lines[table].items()]
        visitor.begin()
        visitor.tell(b"".join(json.dumps(line).encode() + b"\n" for line in (*lines, {})))
        self._streams = [stream for stream in self._streams if stream.gone is None] + [visitor]

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
        new = [self._instance(*entry) for entry in entries]
        self._entries.update((entry[0], instance) for entry, instance in zip(entries, new))
        self._version += 1
        if how == "delta":
            self._watches = [watch for watch in self._watches if watch.gone is None]
            for watch in self._watches:
                watch.tell(node_list(self._version, *new))

    def _instance(self, node: int, condition: str, zone: int, cell: int, weight: float, boot: int | None) -> dict:
        unix = time.time_ns() - self.clock.now()
        told = instance(f"s-{node}", CONDITIONS[condition], (boot + unix) / MS if boot else 0)
        where = {"hostPort": self.world.addresses[node], "zone": self.world.script.site.zones[zone], "cell": cell}
        return told | where | {"weight": weight}

    def _list(self) -> dict:
        live = [entry for entry in self._entries.values() if entry["lifecycle"] != "terminated"]
        return node_list(self._version, *live, reset=True)

    def _agent_asked(self, visitor: StubConnection, path: str, body: bytes) -> None:
        query = dict(parse_qsl(urlsplit(path).query))
        if "follow" not in query:
            visitor.reply(self._list())
            return
        visitor.begin()
        visitor.tell(b"\n" if query.get("since") == str(self._version) else self._list())
        self._watches.append(visitor)
