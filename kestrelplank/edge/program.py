"""The edge program on sockets, round `forwarding` and `transport.edge_view`: it translates and sends, no more."""

import asyncio
import logging
import signal
import time
from random import Random, SystemRandom

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.edge.client_requests import ClientRequests
from kestrelplank.edge.server_connections import ServerConnections
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.http.serve import Duties, listener
from kestrelplank.http.serve import server as http_server
from kestrelplank.settings.platform import PlatformSettings, parse_address
from kestrelplank.time_units import seconds_to_ns
from kestrelplank.transport.edge_view import SESSION_TIMEOUT_NS, Change, EdgeView
from kestrelplank.transport.messages import LoadReport, ToEdge, decode_at_edge
from kestrelplank.transport.wire import FrameConnection

S = 1_000_000_000
DIAL = 0.6  # s for a session to come up
AGAIN = 0.25  # s between dials
BEAT = 0.4  # s between our words to each member
REPORT = 0.5  # s between reports of load
LEAVE = 2.3  # s after SIGTERM in which the platform learns that we take nothing new
LAST_WORDS = 0.5  # s before the platform kills us in which what is still in hand is answered
BODIES = 0.25  # of this machine's memory may be bodies that are on their way
log = logging.getLogger("edge")


class EdgeProgram:
    """The program: one loop, one application for clients and for the platform's question."""

    def __init__(self, settings: PlatformSettings, trace: int = 0) -> None:
        self.settings = settings
        local, bounds = settings.local_system, settings.bounds
        self.random = Random(SystemRandom().getrandbits(64))
        self.view = EdgeView(local.node_name, tuple(settings.network.seed_nodes))
        self.forwarder = Forwarder(
            self.random,
            self.view,
            local.zone,
            bounds.retry_budget_ratio,
            bounds.retry_allowance,
            seconds_to_ns(bounds.drain_s),
        )
        self.connections = ServerConnections(time.monotonic_ns)
        self.requests = ClientRequests(
            self.forwarder,
            self.connections,
            settings.listen_address("readiness")[1],
            int(local.limits.memory_mb * (1 << 20) * BODIES),
            trace,
        )
        self.sessions: dict[str, asyncio.Task[None]] = {}
        self.wires: dict[str, FrameConnection] = {}
        self.heard: dict[FrameConnection, int] = {}

    def set_limits(self, configuration: Configuration) -> None:
        """What the configuration allows clients holds from now on, on all connections."""
        limits = self.front.limits
        limits.header_bytes = configuration.max_header_bytes
        limits.header_s = configuration.header_timeout_ns / S
        limits.idle_s = configuration.idle_timeout_ns / S

    def tell(self) -> None:
        """What this member has counted and sees, as one line of the log."""
        now = time.monotonic_ns()
        log.info(
            "Edge: counts",
            extra={
                "counts": self.requests.counts,
                "held": self.requests.held,
                "ready": self.view.ready(),
                "sessions": {
                    member: (now - self.heard.get(wire, now)) // 1_000_000 for member, wire in self.wires.items()
                },
                "busy": {
                    name: round(endpoint.load(now), 1)
                    for name, endpoint in self.forwarder.endpoints.by_name.items()
                    if endpoint.load(now) >= 1
                },
            },
        )

    # Sessions.

    def on_message(self, wire: FrameConnection, message: ToEdge) -> None:
        """A message of the member at the address `wire.peer`."""
        now = time.monotonic_ns()
        self.heard[wire] = now
        change = self.view.receive(now, wire.peer, message)
        if change is None:
            return
        if change is Change.CONFIGURATION:
            configuration = self.view.configuration
            self.set_limits(configuration)
            log.info("Edge: configuration %08x", configuration.key.version)
        elif change is Change.SERVERS:
            self.forwarder.endpoints.update(self.view.servers.fetched_at, self.view.servers.entries.values())
        elif change is Change.MEMBERS:
            self.meet()
        self.forwarder.retry_budget.edges = self.view.edge_count
        self.requests.wake()

    async def meeting(self) -> None:
        """Looks now and then whom a session is wanted with: seeds are asked again when all members are silent."""
        while True:
            await asyncio.sleep(AGAIN)
            self.meet()

    def meet(self) -> None:
        """Sessions with all members that count, or with those that may say who does, and with nobody else."""
        wanted = self.view.addresses_to_dial(time.monotonic_ns())
        for member in wanted:
            if member not in self.sessions:
                self.sessions[member] = asyncio.create_task(self.session(member))
        for member in [member for member in self.sessions if member not in wanted]:
            self.sessions.pop(member).cancel()

    async def session(self, member: str) -> None:
        """A session with that member, begun anew whenever it has ended or stands silent."""
        host = parse_address(member)[0]
        loop = asyncio.get_running_loop()
        while True:
            wire = None
            try:
                async with asyncio.timeout(DIAL):
                    _, wire = await loop.create_connection(
                        lambda: FrameConnection(decode_at_edge, self.on_message, self.on_end),
                        host,
                        self.settings.internal_port(),
                    )
                wire.peer, self.wires[member] = member, wire
                self.heard[wire] = time.monotonic_ns()
                while wire.is_open and time.monotonic_ns() - self.heard[wire] < SESSION_TIMEOUT_NS:
                    wire.send(self.view.heartbeat(time.monotonic_ns()))
                    await asyncio.sleep(BEAT)
            except (OSError, TimeoutError):
                pass
            finally:
                if wire is not None:
                    wire.reset()
                    self.heard.pop(wire, None)
                    if self.wires.get(member) is wire:
                        del self.wires[member]
            await asyncio.sleep(AGAIN * (1 + self.random.random()))

    def on_end(self, wire: FrameConnection) -> None:
        """The session's own task sees that it has ended."""

    async def reporting(self) -> None:
        """Tells deciders what was seen, and closes what has been idle too long."""
        while True:
            await asyncio.sleep(REPORT)
            for service, (keys, servers) in self.forwarder.take_load_reports().items():
                wire = self.wires.get(self.view.assigner_address(service) or "")
                if wire is not None and (keys or servers):
                    wire.send(LoadReport(service, keys, servers))
            endpoints = self.forwarder.endpoints.by_name.values()
            for server in endpoints:
                server.idle_connections = self.connections.unused(server.address)
            self.connections.tidy({server.address for server in endpoints if server.ready})

    # The whole.

    def listen(self) -> None:
        """Takes connections from now on."""
        sockets = [listener(*self.settings.listen_address(name)) for name in ("frontend", "readiness")]
        self.front = http_server(self.requests.app, None, self.settings.bounds.grace_s - LEAVE - LAST_WORDS)
        self.serving = asyncio.create_task(self.front.serve(sockets))

    async def leave(self, within: float) -> None:
        """Stops in order: for so many seconds we say that we are not ready, and each answer that its connection ends;
        then nothing new is taken, and what is in hand is finished."""
        self.requests.stopping = True
        await asyncio.sleep(within)
        self.front.should_exit = True
        await self.serving
        await self.front.answered(LAST_WORDS / 2)

    def watch_signals(self, stop: asyncio.Event) -> None:
        """SIGTERM and SIGINT set `stop`, SIGHUP changes nothing, SIGUSR1 prints what this member has counted."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        loop.add_signal_handler(signal.SIGUSR1, self.tell)

    async def run(self) -> int:
        stop = asyncio.Event()
        self.watch_signals(stop)
        self.listen()
        self.meet()
        duties = Duties("Edge", stop)
        duties.add(self.reporting())
        duties.add(self.meeting())
        log.info("Edge: started")
        await stop.wait()
        log.info("Edge: stopping")
        await self.leave(LEAVE)
        duties.cancel()
        for task in self.sessions.values():
            task.cancel()
        log.info("Edge: stopped", extra={"counts": self.requests.counts})
        return 1 if duties.failed else 0


async def run(settings: PlatformSettings, trace: int = 0) -> int:
    """Runs the program until SIGTERM; `trace`: one in so many requests is logged, 0 for none. Returns the exit code."""
    return await EdgeProgram(settings, trace).run()
