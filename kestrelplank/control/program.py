"""The control program: runs one `ControlMember` with sockets, disk and the monotonic clock.

It only does I/O; all decisions are made by `ControlMember`.
"""

import asyncio
import itertools
import logging
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from random import Random, SystemRandom
from typing import assert_never

import msgspec

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.member_messages import Message
from kestrelplank.control.bootstrap import start_member
from kestrelplank.control.effects import (
    AnswerOrder,
    AnswerRead,
    CallServer,
    Effect,
    LogLine,
    PushToEdges,
    ReportUsage,
    SendMessage,
    SendToAddress,
    WriteConfigurationCopy,
)
from kestrelplank.control.inbound_connections import InboundConnections
from kestrelplank.control.log_writer import LogWriter
from kestrelplank.control.member import ControlMember
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.member_sessions import MemberConnection, MemberSessions
from kestrelplank.control.operator_api import application
from kestrelplank.control.platform_client import PlatformClient
from kestrelplank.control.server_calls import ServerCalls
from kestrelplank.control.status import MemberStatus
from kestrelplank.control.usage_calls import UsageCalls
from kestrelplank.control.waiting_calls import WaitingCalls
from kestrelplank.http.critical_tasks import CriticalTasks
from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.settings.platform import PlatformSettings
from kestrelplank.sharding.effects import ServerCallResult
from kestrelplank.state.role_table import RoleId
from kestrelplank.storage.disk_thread import DiskThread
from kestrelplank.storage.log_file import LogFile
from kestrelplank.time_units import SECOND, seconds_to_ns
from kestrelplank.transport.messages import EdgeHeartbeat, Envelope, LoadReport, ToMember, decode_at_member
from kestrelplank.transport.wire import FrameConnection
from kestrelplank.usage.messages import UsageCounts
from kestrelplank.usage.policy import usage_policy
from kestrelplank.usage.usage_reporter import CallResult, PlatformCall
from kestrelplank.wall_clock import wall_time_ns

TICK_INTERVAL_S = 0.05
SERVER_FETCH_CHECK_INTERVAL_S = 0.5
"""Maximum delay between checks whether this member should fetch the platform's list of servers."""
SERVER_FETCH_RETRY_S, SERVER_FETCH_RETRY_JITTER_S = 0.3, 0.2
"""A failed fetch is retried after the first value plus a random share of the second."""
START_RETRY_INTERVAL_S = 0.3
"""Delay before opening the log is retried after a disk error."""
OPERATOR_IDLE_S = 15
"""How long an operator's connection may be idle between calls."""
OPERATOR_DRAIN_S = 1
"""How long calls in flight may take to finish when the program stops."""

ROLE_BY_DUTY = {"usage": USAGE_REPORT, "usage_report": USAGE_REPORT}
"""The singleton role for each name in `platform.cloud_api.duties`."""

log = logging.getLogger("control")


async def run(settings: PlatformSettings) -> int:
    """Run the program until SIGTERM or SIGINT. Return the exit code: 1 if a critical task failed, else 0."""
    stop = stop_on_signals()
    random = Random(SystemRandom().getrandbits(64))
    disk = DiskThread()
    starting = asyncio.create_task(start_from_disk(settings, random, disk))
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not starting.done():
        starting.cancel()
        log.info("Control: stopped before the start, as SIGTERM or SIGINT came while the disk was read")
        return 0
    file, member = starting.result()
    return await ControlProgram(settings, random, disk, file, member).run(stop)


def configured_roles(duties: list[str]) -> tuple[RoleId, ...]:
    """Return the singleton roles that the platform's settings list; unknown names are logged and ignored."""
    unknown = [name for name in duties if name not in ROLE_BY_DUTY]
    if unknown:
        log.warning("Control: platform.cloud_api.duties: ignored, as unknown: %s", ", ".join(unknown))
    return tuple(dict.fromkeys(ROLE_BY_DUTY[name] for name in duties if name in ROLE_BY_DUTY))


def stop_on_signals() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets. SIGHUP is ignored, as settings are only read at the start."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    return stop


async def start_from_disk(
    settings: PlatformSettings, random: Random, disk: DiskThread
) -> tuple[LogFile, ControlMember]:
    """Return the log and the member restored from disk; disk errors are retried until they stop."""
    local = settings.local_system
    host, port = settings.listen_address("control_plane")
    usage = usage_policy(settings)
    profile = MemberProfile(
        zone=local.zone,
        eligible=local.quorum_member,
        seeds=tuple(settings.network.seed_nodes),
        machine_losses=settings.fault_tolerance.machine_losses,
        stop_grace_ns=seconds_to_ns(settings.bounds.grace_s),
        max_key_lease_ns=seconds_to_ns(settings.bounds.max_hold_s),
        roles=configured_roles(settings.cloud_api.duties),
        role_lease_ns=seconds_to_ns(settings.bounds.lease_s),
        usage=usage,
    )
    folder, address = local.data_directory or f"/tmp/{local.node_name}", f"{host}:{port}"

    def start() -> tuple[LogFile, ControlMember]:
        file = LogFile(folder)
        return file, start_member(time.monotonic_ns(), random, address, profile, file, local.initial_boot)

    while True:
        try:
            return await disk.call(start)
        except OSError as err:
            log.warning("Storage: can't open the log, trying again in %s s: %s", START_RETRY_INTERVAL_S, err)
            await asyncio.sleep(START_RETRY_INTERVAL_S)


class ControlProgram:
    """Runs a started member on one event loop; the disk has its own thread.

    Owners of resources, in the order in which `run` releases them:

    - the operators' HTTP server: their connections, closed once calls in flight are answered;
    - the members' listener (`_listen_for_peers`): accepts connections; `_inbound` tracks them;
    - `CriticalTasks`: the tasks of `_log_writer`, `_tick` and `_fetch_servers`;
    - `_sessions`: outbound connections to other members;
    - `_usage_calls`: the connection to the platform for usage reports;
    - `_server_calls`: connections to servers, one `ServerCalls` per address; they end with the process.
    """

    def __init__(
        self, settings: PlatformSettings, random: Random, disk: DiskThread, file: LogFile, member: ControlMember
    ) -> None:
        self._settings = settings
        self._random = random
        self._member = member
        self._log_writer = LogWriter(file, disk, self._handle_persisted)
        self._sessions = MemberSessions(member.identity, settings.internal_port(), self._handle_peer_message)
        self._inbound = InboundConnections()
        self._platform = PlatformClient(settings.cloud_api.address)
        self._usage_calls = UsageCalls(
            settings.cloud_api.address,
            settings.local_system.node_name,
            lambda call: member.may_report_usage(time.monotonic_ns(), call),
            self._handle_usage_call_ended,
        )
        self._server_calls: dict[str, ServerCalls] = {}  # by address
        tickets = itertools.count(1)
        self._orders = WaitingCalls[AnswerOrder](tickets)
        self._reads = WaitingCalls[AnswerRead](tickets)

    async def run(self, stop: asyncio.Event) -> int:
        """Run until `stop` is set, then shut down gracefully. Return the exit code."""
        tasks = CriticalTasks("Control", stop)
        with closing(self._sessions), closing(self._usage_calls):
            try:
                async with self._listen_for_peers(), self._serve_operators():
                    log.info("Control: member %s starts", self._member.identity)
                    for task in (self._log_writer.run(), self._tick(), self._fetch_servers()):
                        tasks.add(task)
                    await stop.wait()
                    if not tasks.failed:
                        log.info("Control: stopping, as SIGTERM or SIGINT came")
                        await self._stop_member()
            finally:
                tasks.cancel()
        log.info("Control: stopped")
        return 1 if tasks.failed else 0

    # Resources.

    @asynccontextmanager
    async def _listen_for_peers(self) -> AsyncIterator[None]:
        """Accept connections from other members and edge machines."""
        listening = await asyncio.get_running_loop().create_server(
            lambda: FrameConnection(decode_at_member, self._handle_inbound_message, self._handle_inbound_ended),
            self._settings.local_system.ip_address,
            self._settings.internal_port(),
        )
        try:
            yield
        finally:
            listening.close()

    @asynccontextmanager
    async def _serve_operators(self) -> AsyncIterator[None]:
        """Serve the operators' API; on exit, calls in flight are answered first."""
        http_server = create_server(application(self), OPERATOR_IDLE_S, OPERATOR_DRAIN_S)
        serving = asyncio.create_task(
            http_server.serve([listening_socket(*self._settings.listen_address("control_plane"))])
        )
        try:
            yield
        finally:
            http_server.should_exit = True
            await serving

    # Tasks.

    async def _tick(self) -> None:
        """Tick the member regularly, update its sessions, and reset idle connections."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic_ns()
            self._carry_out(self._member.tick(now, self._log_writer.log_size_bytes, wall_time_ns()))
            self._sessions.keep_sessions_with(self._member.addresses_to_dial(now))
            self._sessions.reset_unanswered(now)
            self._inbound.reset_idle(now)

    async def _fetch_servers(self) -> None:
        """Fetch the platform's list of servers whenever this member should."""
        while True:
            due_in_ns = self._member.server_fetch_due_in_ns(time.monotonic_ns())
            if due_in_ns is None:
                await asyncio.sleep(SERVER_FETCH_CHECK_INTERVAL_S)
            elif due_in_ns > 0:
                await asyncio.sleep(min(SERVER_FETCH_CHECK_INTERVAL_S, due_in_ns / SECOND + 0.01))
            else:
                await self._fetch_servers_once()

    async def _fetch_servers_once(self) -> None:
        entries = await self._platform.fetch_servers()
        if entries is None:
            await asyncio.sleep(SERVER_FETCH_RETRY_S + self._random.random() * SERVER_FETCH_RETRY_JITTER_S)
        else:
            self._carry_out(self._member.handle_servers_fetched(time.monotonic_ns(), entries))

    async def _stop_member(self) -> None:
        """Start the member's shutdown and wait until it may exit."""
        self._carry_out(self._member.begin_stop(time.monotonic_ns()))
        while not self._member.may_stop(time.monotonic_ns()):
            await asyncio.sleep(TICK_INTERVAL_S)

    # Effects of the member.

    def _carry_out(self, effects: list[Effect]) -> None:
        """Carry out the effects, in order."""
        for effect in effects:
            self._carry_out_effect(effect)

    def _carry_out_effect(self, effect: Effect) -> None:
        match effect:
            case SendMessage() | SendToAddress():
                self._send_to_member(effect)
            case Persist():
                self._log_writer.write(effect)
            case PushToEdges():
                self._inbound.send_to_edges(effect.message)
            case CallServer():
                self._call_server(effect)
            case ReportUsage():
                self._usage_calls.put(effect.call)
            case AnswerOrder():
                self._orders.resolve(effect)
            case AnswerRead():
                self._reads.resolve(effect)
            case WriteConfigurationCopy():
                self._log_writer.write_configuration_copy(effect.version, effect.text)
            case LogLine():
                log.info("Control: %s", effect.text)
            case _:
                assert_never(effect)

    def _send_to_member(self, effect: SendMessage | SendToAddress) -> None:
        if isinstance(effect, SendMessage):
            self._sessions.send(effect.to, effect.message)
        else:
            self._sessions.send_to_address(effect.address, effect.message)

    def _call_server(self, effect: CallServer) -> None:
        address = effect.request.address
        calls = self._server_calls.get(address)
        if calls is None:
            calls = self._server_calls[address] = ServerCalls(self._handle_server_call_ended, address)
        calls.put(effect)

    # Events for the member.

    def _handle_persisted(self, number: int) -> None:
        self._carry_out(self._member.handle_persisted(time.monotonic_ns(), number))

    def _handle_server_call_ended(self, call: CallServer, result: ServerCallResult) -> None:
        self._carry_out(self._member.handle_server_call_ended(time.monotonic_ns(), call, result))

    def _handle_usage_call_ended(self, call: PlatformCall, result: CallResult) -> None:
        self._carry_out(self._member.handle_usage_call_ended(time.monotonic_ns(), call, result))

    def _handle_peer_message(self, sender: str, message: Message) -> None:
        """Handle a message from the member `sender`, on an inbound or outbound connection."""
        self._carry_out(self._member.handle_message(time.monotonic_ns(), sender, message))

    def _handle_inbound_message(self, connection: MemberConnection, message: ToMember) -> None:
        """Handle a message on an inbound connection."""
        now = time.monotonic_ns()
        self._inbound.record_activity(now, connection)
        match message:
            case Envelope():
                self._sessions.handle_inbound(connection, message)
            case EdgeHeartbeat():
                self._handle_edge_heartbeat(now, connection, message)
            case LoadReport():
                self._member.handle_load_report(now, message)
            case UsageCounts():
                self._handle_usage_counts(now, connection, message)
            case _:
                assert_never(message)

    def _handle_edge_heartbeat(self, now: int, connection: MemberConnection, heartbeat: EdgeHeartbeat) -> None:
        session = self._inbound.handle_edge_heartbeat(
            now, connection, heartbeat.edge, heartbeat.configuration_version, self._member.state.version
        )
        if session is None:
            return
        edge_count, sent_version = self._inbound.edge_count, session.sent_version
        for answer in self._member.handle_edge_heartbeat(now, heartbeat, edge_count, sent_version):
            self._inbound.send_to_edge(session, answer)

    def _handle_usage_counts(self, now: int, connection: MemberConnection, counts: UsageCounts) -> None:
        reply = self._member.handle_usage_counts(now, counts)
        if reply is not None:
            connection.send(reply)

    def _handle_inbound_ended(self, connection: MemberConnection) -> None:
        self._inbound.handle_ended(connection)
        self._sessions.handle_inbound_ended(connection)

    # Calls of an operator (`operator_api.OperatorCallTarget`).

    async def replace_configuration(self, configuration: Configuration) -> AnswerOrder:
        """Submit a configuration and return the outcome."""
        return await self._orders.call(
            lambda ticket: self._carry_out(self._member.handle_replace_call(time.monotonic_ns(), ticket, configuration))
        )

    async def show_configuration(self) -> AnswerRead:
        """Return the newest configuration, if this member can determine it."""
        return await self._reads.call(
            lambda ticket: self._carry_out(self._member.handle_show_call(time.monotonic_ns(), ticket))
        )

    def status(self) -> MemberStatus:
        """Return the status of this member for operators."""
        now = time.monotonic_ns()
        return msgspec.structs.replace(self._member.status(now), edges=self._inbound.edge_statuses(now))
