"""The control program: one `ControlMember` on sockets, disk and the steady clock. It translates, sends and writes, and
decides nothing."""

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from random import Random, SystemRandom

import msgspec

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.effects import Persist
from kestrelplank.control.bootstrap import started
from kestrelplank.control.calls import Shown, application
from kestrelplank.control.disk import LogWriter
from kestrelplank.control.effects import (
    AnswerOrder,
    AnswerRead,
    CallServer,
    Effect,
    KeepCopy,
    LogLine,
    PushToEdges,
    SendMessage,
    SendToAddress,
)
from kestrelplank.control.member import ControlMember
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.member_sessions import MemberSessions
from kestrelplank.control.platform_list import PlatformList
from kestrelplank.control.server_calls import ServerCalls
from kestrelplank.control.status import EdgeStatus, MemberStatus
from kestrelplank.http.critical_tasks import CriticalTasks
from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.settings.platform import PlatformSettings
from kestrelplank.sharding.effects import ServerCallResult
from kestrelplank.storage.log_file import LogFile
from kestrelplank.time_units import seconds_to_ns
from kestrelplank.transport.messages import EdgeHeartbeat, Envelope, LoadReport, decode_at_member
from kestrelplank.transport.sessions import Sessions
from kestrelplank.transport.wire import FrameConnection, encode_frame

S = 1_000_000_000
TICK = 0.05  # s
LIST_AGAIN = 0.3  # s until the platform's list is asked for again where it could not be had
LIST_LOOK = 0.5  # s at most between looks at whether the list is ours to fetch
START_AGAIN = 0.3  # s until a disk that refused at the start is asked again
SILENT = 2 * S  # a connection that came in and says nothing for so long is ended
IDLE, ANSWERING = 15, 1  # s, of connections of operators: between calls, and to finish when we stop
log = logging.getLogger("control")


class ControlProgram:
    """The program. One loop; the disk has a thread of its own."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        local = settings.local_system
        host, port = settings.listen_address("control_plane")
        self.address = f"{host}:{port}"
        self.random = Random(SystemRandom().getrandbits(64))
        self.place = MemberProfile(
            local.zone,
            local.quorum_member,
            tuple(settings.network.seed_nodes),
            settings.fault_tolerance.machine_losses,
            seconds_to_ns(settings.bounds.grace_s),
        )
        self.file = LogFile(local.data_directory or f"/tmp/{local.node_name}")
        self.member: ControlMember | None = None
        self.writer = LogWriter(self.file, self.persisted)
        self.members: MemberSessions | None = None
        self.edges = Sessions()
        self.inbound: dict[FrameConnection, int] = {}  # when each last said anything
        self.servers: dict[str, ServerCalls] = {}
        self.list = PlatformList(settings.cloud_api.address)
        self.calls: dict[int, asyncio.Future[AnswerOrder | AnswerRead]] = {}
        self.ticket = 0

    # What the member wants done.

    def carry_out(self, effects: list[Effect]) -> None:
        """Does these in order."""
        for effect in effects:
            self._carry_out_one(effect)

    def _carry_out_one(self, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self.members.send(effect.to, effect.message)
        elif isinstance(effect, Persist):
            self.writer.write(effect)
        elif isinstance(effect, SendToAddress):
            self.members.send_to_address(effect.address, effect.message)
        elif isinstance(effect, PushToEdges):
            self._push(effect)
        elif isinstance(effect, CallServer):
            self._call_server(effect)
        elif isinstance(effect, AnswerOrder | AnswerRead):
            future = self.calls.pop(effect.ticket, None)
            if future is not None and not future.done():
                future.set_result(effect)
        elif isinstance(effect, KeepCopy):
            self.writer.copy(effect.version, effect.text)
        elif isinstance(effect, LogLine):
            log.info("Control: %s", effect.text)

    def _push(self, effect: PushToEdges) -> None:
        data = encode_frame(effect.message)
        for wire in self.edges.connections():
            wire.send(data)

    def _call_server(self, effect: CallServer) -> None:
        address = effect.request.address
        calls = self.servers.get(address)
        if calls is None:
            calls = self.servers[address] = ServerCalls(self.server_call_ended, address)
        calls.put(effect)

    def persisted(self, number: int) -> None:
        """A write is durable."""
        self.carry_out(self.member.persisted(time.monotonic_ns(), number))

    def server_call_ended(self, call: CallServer, result: ServerCallResult) -> None:
        """A grant or release has ended."""
        self.carry_out(self.member.handle_server_call_ended(time.monotonic_ns(), call, result))

    # Calls of the operator.

    async def put(self, configuration: Configuration) -> AnswerOrder:
        """What became of an order."""
        answer = await self._wait_for(
            lambda now, ticket: self.member.put(now, ticket, configuration), AnswerOrder(0, False)
        )
        return answer if isinstance(answer, AnswerOrder) else AnswerOrder(0, False)

    async def show(self) -> Shown:
        """The newest configuration."""
        answer = await self._wait_for(lambda now, ticket: self.member.show(now, ticket), AnswerRead(0, False, None))
        if not isinstance(answer, AnswerRead):
            return Shown(False, None)
        return Shown(answer.known, answer.text)

    async def _wait_for(
        self, start: Callable[[int, int], list[Effect]], otherwise: AnswerOrder | AnswerRead
    ) -> AnswerOrder | AnswerRead:
        """The answer to a call that `start(now, ticket)` begins; `otherwise` before there is a member."""
        if self.member is None:
            return otherwise
        self.ticket += 1
        ticket = self.ticket
        future = self.calls[ticket] = asyncio.get_running_loop().create_future()
        try:
            self.carry_out(start(time.monotonic_ns(), ticket))
            return await future
        finally:
            self.calls.pop(ticket, None)

    def status(self) -> MemberStatus:
        """This member as an operator sees it."""
        now = time.monotonic_ns()
        edges = {
            name: EdgeStatus(
                None if session.reported_version is None else f"{session.reported_version:08x}",
                round(session.silence_ns(now) / S, 3),
            )
            for name, session in sorted(self.edges.by_name.items())
        }
        return msgspec.structs.replace(self.member.status(now), edges=edges)

    # Connections that came in.

    def on_message(self, wire: FrameConnection, message: Envelope | EdgeHeartbeat | LoadReport) -> None:
        """A message of another member or of an edge machine."""
        now = time.monotonic_ns()
        self.inbound[wire] = now
        if isinstance(message, Envelope):
            self.members.on_inbound(wire, message)
        elif isinstance(message, EdgeHeartbeat):
            self._on_edge_beat(now, wire, message)
        else:
            self.member.load_report(now, message)

    def _on_edge_beat(self, now: int, wire: FrameConnection, beat: EdgeHeartbeat) -> None:
        session = self.edges.on_message(now, wire, beat.edge)
        if session is None:
            return
        session.reported_version = beat.configuration_version
        for answer in self.member.on_edge_heartbeat(now, beat, len(self.edges.by_name)):
            wire.send(answer)

    def on_end(self, wire: FrameConnection) -> None:
        self.inbound.pop(wire, None)
        self.edges.on_closed(wire)
        self.members.on_inbound_end(wire)

    # Duties.

    async def ticking(self) -> None:
        """Lets the member do what is due, and ends connections that stand silent."""
        while True:
            await asyncio.sleep(TICK)
            now = time.monotonic_ns()
            self.carry_out(self.member.tick(now, self.writer.size))
            self.members.dial(self.member.addresses_to_dial(now))
            for wire, heard_at in list(self.inbound.items()):
                if now - heard_at > SILENT:
                    wire.reset()

    async def fetching(self) -> None:
        """Fetches the platform's list where nobody in front of us has lately."""
        while True:
            due = self.member.list_due(time.monotonic_ns())
            if due is None or due > 0:
                await asyncio.sleep(LIST_LOOK if due is None else min(LIST_LOOK, due / S + 0.01))
                continue
            entries = await self.list.fetch()
            if entries is None:
                await asyncio.sleep(LIST_AGAIN + self.random.random() * 0.2)
            else:
                self.carry_out(self.member.fetched(time.monotonic_ns(), entries))

    async def leaving(self) -> None:
        """Stops in order: until nothing more can be done for what this member holds."""
        self.carry_out(self.member.stop(time.monotonic_ns()))
        while not self.member.may_stop(time.monotonic_ns()):
            await asyncio.sleep(TICK)

    async def run(self) -> int:
        """Runs until SIGTERM. Returns the exit code."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        self.member = await self._started()
        self.members = MemberSessions(self.member.identity, self.settings.internal_port(), self.receive)
        peers = await loop.create_server(
            lambda: FrameConnection(decode_at_member, self.on_message, self.on_end),
            self.settings.local_system.ip_address,
            self.settings.internal_port(),
        )
        front = create_server(application(self), IDLE, ANSWERING)
        serving = asyncio.create_task(front.serve([listening_socket(*self.settings.listen_address("control_plane"))]))
        log.info("Control: member %s", self.member.identity)
        critical_tasks = CriticalTasks("Control", stop)
        for duty in (self.writer.run(), self.ticking(), self.fetching()):
            critical_tasks.add(duty)
        await stop.wait()
        if not critical_tasks.failed:
            log.info("Control: stopping")
            await self.leaving()
        front.should_exit = True
        await serving
        peers.close()
        critical_tasks.cancel()
        self.members.close()
        log.info("Control: stopped")
        return 1 if critical_tasks.failed else 0

    async def _started(self) -> ControlMember:
        """The member as its disk has it; a disk that refuses is asked again."""
        initial_boot = self.settings.local_system.initial_boot
        while True:
            try:
                return started(time.monotonic_ns(), self.random, self.address, self.place, self.file, initial_boot)
            except OSError as err:
                log.warning("Storage: can't begin: %s", err)
                await asyncio.sleep(START_AGAIN)

    def receive(self, sender: str, message: object) -> None:
        """A message of the member `sender`."""
        self.carry_out(self.member.receive(time.monotonic_ns(), sender, message))


async def run(settings: PlatformSettings) -> int:
    """Runs the program until SIGTERM. Returns the exit code."""
    return await ControlProgram(settings).run()
