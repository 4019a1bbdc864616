"""The same world over real sockets and in real time: nodes behind HTTP/1.1 on loopback, the real program as processes.

Relays, clients, the hub's store and channels, discovery and the faults are those of `emulator/world.py`. Conductors are
processes here, and tries travel over kept connections. Ways between zones are waited for.
"""

import tempfile
from collections.abc import Callable

from kestrelplank.emulator.network import Network
from kestrelplank.emulator.rehearsal import report
from kestrelplank.emulator.relays import ClientOp, Relay
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.world import World
from kestrelplank.load_balancing.operations import AttemptOutcome
from kestrelplank.rehearsal.conductor_process import ConductorProcess
from kestrelplank.rehearsal.node_server import NodeServer
from kestrelplank.rehearsal.parties import MS, Kit
from kestrelplank.sockets.http import Client

IDLE = 15_000 * MS  # an unused connection to a node is kept so long
MOST_ANSWER = 1 << 12
TICK = 200 * MS  # between two calls of progress
FOREVER = 3_600_000 * MS  # the relay's own core gives up, not the connection
OUTCOMES = {
    200: AttemptOutcome.SUCCEEDED,
    503: AttemptOutcome.NOT_STARTED,
    500: AttemptOutcome.FAILED,
}  # by status; any other is cut short


class NodeClient:
    """One kept connection of a relay to a node, with one try at a time."""

    def __init__(self, network: "LiveNetwork", relay: Relay, node: int) -> None:
        self._network, self.relay, self.node, self.idle_since = network, relay, node, 0
        self._number, self._used = -1, False
        world = network.world
        dial = world.script.relays.dial
        self._client = Client(world.kit.loop, world.kit.pool, world.addresses[node], self, dial, MOST_ANSWER)

    def ask(self, number: int, asked: ClientOp, knowing: bool) -> None:
        self._number = number
        path = (
            f"/op?number={number}&type={asked.op_type}&work={asked.work}&key={asked.key}"
            f"&new={int(not self._used)}&knowing={int(knowing)}"
        )
        self._used = True
        self._client.call("POST", path, b"", FOREVER)

    def on_answer(self, status: int, body: bytes) -> None:
        number = self._over()
        self._network.idle(self)
        self._end(number, OUTCOMES.get(status, AttemptOutcome.TRUNCATED))

    def on_broken(self, why: str) -> None:
        self._used = False
        if why in ("does not come up", "ECONNREFUSED"):
            self._end(self._over(), AttemptOutcome.REFUSED)
        else:
            self._end(self._over(), AttemptOutcome.RESET if self._client.sent else AttemptOutcome.UNSENT)

    def _over(self) -> int:
        """Nothing more comes of its try, whose number is returned."""
        number, self._number = self._number, -1
        self._network.out.pop((self.relay.number, number), None)
        return number

    def _end(self, number: int, outcome: AttemptOutcome) -> None:
        way = self._network.way_to(self.relay, self.node)
        self._network.end(self.relay, number, self.node, outcome, way)

    def close(self) -> None:
        self._client.close()


class LiveNetwork(Network):
    """Tries over loopback, each sent once its way has passed."""

    def __init__(self, world: "LiveWorld") -> None:
        super().__init__(world)
        self.out: dict[tuple[int, int], NodeClient] = {}  # relay and op to the connection that its try is on
        self._idle: dict[tuple[int, int], list[NodeClient]] = {}

    def reach(self, relay: Relay, number: int, asked: ClientOp, node: int, way: int, knowing: bool) -> None:
        clock = self.world.clock
        clock.at(clock.now() + way, lambda: self._reach(relay, number, asked, node, knowing))

    def _reach(self, relay: Relay, number: int, asked: ClientOp, node: int, knowing: bool) -> None:
        if number not in relay.ops or relay.ops[number].op.node != node:
            return  # given up while it was on its way
        idle, now = self._idle.get((relay.number, node), []), self.world.clock.now()
        while idle and now - idle[0].idle_since > IDLE:
            idle.pop(0).close()
        client = idle.pop() if idle else NodeClient(self, relay, node)
        self.out[relay.number, number] = client
        client.ask(number, asked, knowing)

    def idle(self, client: NodeClient) -> None:
        """The connection may take another try."""
        client.idle_since = self.world.clock.now()
        self._idle.setdefault((client.relay.number, client.node), []).append(client)

    def hang_up(self, relay: Relay, number: int, node: int) -> None:
        client = self.out.pop((relay.number, number), None)
        if client is not None:
            client.close()

    def done(self, node: int, number: int) -> None:
        self.world.servers[node].done(number)

    def drop(self, node: int) -> None:
        self.lives[node] += 1
        self.world.servers[node].close()
        if not self.world.nodes[node].down:
            self.world.servers[node].open()

    def close(self) -> None:
        for client in [*self.out.values(), *(client for idle in self._idle.values() for client in idle)]:
            client.close()


class LiveWorld(World):
    """`folder` is for the conductors' settings files."""

    def __init__(self, script: Script, seed: int, kit: Kit, folder: str) -> None:
        self.kit, self.folder = kit, folder
        super().__init__(script, seed, kit.loop, conductor=ConductorProcess, network=LiveNetwork)
        self.servers = [NodeServer(self, node) for node in range(script.site.nodes)]
        self.addresses = [server.address for server in self.servers]

    def close(self) -> None:
        for conductor in self.conductors:
            conductor.close()
        self.network.close()
        for server in self.servers:
            server.close()


def play(script: Script, seed: int, progress: Callable[[float], None] = lambda done: None) -> dict:
    """Plays a script in real time and returns its report. Everything it started has ended by then."""
    kit = Kit()
    with tempfile.TemporaryDirectory() as folder:
        world = LiveWorld(script, seed, kit, folder)
        try:
            world.start()
            _run(world, progress)
            found = report(world, "live")
        finally:
            world.close()
            kit.loop.close()
    logs = [log for conductor in world.conductors for log in conductor.logs]
    found["defects"] = sum(log.count(b"event=defects") for log in logs)
    return found


def _run(world: LiveWorld, progress: Callable[[float], None]) -> None:
    loop = world.kit.loop

    def tick() -> None:
        progress(min(1.0, (loop.now() - world.begun) / (world.over - world.begun)))
        loop.at(loop.now() + TICK, tick)

    tick()
    while loop.now() < world.over:
        loop.turn()
