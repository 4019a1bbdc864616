"""An assigner of a live rehearsal: the real program as a process, with stubs of its relay and its agent."""

import json
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from kestrelplank.emulator.assigner_settings import assigner_settings
from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.environment import Environment
from kestrelplank.emulator.load_profile import LoadProfile
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.slice_store import SliceStore
from kestrelplank.interface import (
    ALL_TABLES,
    EndpointStored,
    Event,
    NodeEntry,
    NodeListKind,
    NodeListUpdate,
    NodeReport,
    ProxyJoined,
    ProxyLeft,
    SliceOwnership,
    SliceReport,
    WatermarkAcknowledged,
)
from kestrelplank.rehearsal.program_process import ASSIGNER, ProgramProcess
from kestrelplank.rehearsal.relay_messages import JsonObject, instance, message, node_list
from kestrelplank.rehearsal.stub_server import SocketKit, StubConnection, StubServer
from kestrelplank.rehearsal.telemetry_connection import TelemetryConnection
from kestrelplank.sockets.loop import Timer
from kestrelplank.state.table_orders import (
    ClearTable,
    RequestAcknowledgement,
    SetAdmission,
    SetEndpoint,
    SetWithdrawn,
    TableOrder,
)
from kestrelplank.time_units import MILLISECOND, SECOND

HEARTBEAT_INTERVAL_NS = 1 * SECOND
LISTEN_CHECK_INTERVAL_NS = 20 * MILLISECOND  # between checks whether a process listens
LIFECYCLES = {"up": "in_service", "draining": "terminating", "removed": "terminated"}


class AssignerProcess(Assigner):
    """An assigner's process, and its relay (`hub` in its settings) and agent, which outlive its incarnations.

    :param node_addresses: of the nodes, by number.
    :param folder: for the process's settings file.
    """

    def __init__(
        self,
        environment: Environment,
        number: int,
        kit: SocketKit,
        store: SliceStore,
        load: LoadProfile,
        proxies: Sequence[EmulatedProxy],
        node_addresses: Sequence[str],
        folder: Path,
    ) -> None:
        super().__init__(environment, number)
        self._kit, self._store, self._load, self._proxies = kit, store, load, proxies
        self._node_addresses, self._settings_path = node_addresses, folder / f"n{number}.json"
        self._relay = StubServer(kit, self._answer_relay_request)
        self._agent = StubServer(kit, self._answer_agent_request)
        self._streams: list[StubConnection] = []  # open streams of the relay
        self._watches: list[StubConnection] = []  # open watches of the agent
        self._listed: dict[int, JsonObject] = {}
        self._list_version = 0
        self._heartbeat: Timer | None = None
        self._process: ProgramProcess | None = None
        self._telemetry: list[TelemetryConnection] = []
        self._address: tuple[str, int] | None = None
        self.logs: list[bytes] = []  # of ended incarnations

    def _zone_name(self, zone: int | None) -> str:
        return self.environment.script.site.zones[zone or 0]

    # The process.

    def start(self) -> None:
        """Start a new incarnation."""
        self.alive, self.incarnation, self._address = True, self.incarnation + 1, None
        self._settings_path.write_text(json.dumps(self._settings()))
        self._process = ProgramProcess(self._kit.loop, ASSIGNER, NODE_CONFIG=str(self._settings_path))
        self._connect_telemetry()
        self._send_heartbeats()

    def _settings(self) -> JsonObject:
        seed = self.environment.seed * 977 + self.number * 31 + self.incarnation
        return {
            "name": f"n{self.number}",
            "listen": "127.0.0.1:0",
            "discovery": self._agent.at,
            "hub": {"address": self._relay.at},
            "known": self._complete_list(),
            "seed": f"{seed:x}",
            "settings": assigner_settings(self.environment.script, self.number),
        }

    def _connect_telemetry(self) -> None:
        """Open a telemetry connection for each zone, once the process listens."""
        if not self.alive or self._process is None:
            return
        address = self._address = self._process.address()
        if address is None:
            self.clock.at(self.clock.now() + LISTEN_CHECK_INTERVAL_NS, self._connect_telemetry)
            return
        zones = self.environment.script.site.zones
        self._telemetry = [TelemetryConnection(self._kit, lambda: address, zone.encode()) for zone in zones]

    def _send_heartbeats(self) -> None:
        for stream in self._streams:
            stream.send({})
        for watch in self._watches:
            watch.send(b"\n")
        self._heartbeat = self.clock.at(self.clock.now() + HEARTBEAT_INTERVAL_NS, self._send_heartbeats)

    def kill(self) -> None:
        """End the process at once."""
        self.alive = False
        for connection in self._telemetry:
            connection.close()
        self._telemetry = []
        if self._heartbeat:
            self._heartbeat.cancel()
        if self._process:
            self._process.kill()
            self._process.close()
            self.logs.append(self._process.log)
            self._process = None

    def pause(self, until: int) -> None:
        """Pause the process until that time."""
        process = self._process
        if process:
            process.kill(signal.SIGSTOP)
            self.clock.at(until, lambda: process.kill(signal.SIGCONT))

    def close(self) -> None:
        """End the process, its relay and its agent."""
        self.kill()
        self._relay.close()
        self._agent.close()

    # Events of the simulation.

    def receive(self, event: Event) -> None:
        """Send the process an event in its protocol."""
        match event:
            case NodeReport():
                self._report_attempts(event)
            case SliceReport():
                self._report_ops(event)
            case NodeListUpdate():
                self._update_list(event)
            case _:
                line = self._stream_message(event)
                for stream in self._streams:
                    stream.send(line)

    def _stream_message(self, event: Event) -> JsonObject:
        match event:
            case ProxyJoined(proxy, zone, ops_per_s, fresh):
                return message("attach", node=proxy, locality=self._zone_name(zone), w=ops_per_s, cold=fresh)
            case ProxyLeft(proxy):
                return message("detach", node=proxy)
            case WatermarkAcknowledged(proxy, watermark, latency_ns):
                return message("done", node=proxy, nonce=watermark, latency=(latency_ns or 0) / MILLISECOND)
            case SliceOwnership(slice_, owned):
                return message("owner", shard=slice_, set=owned)
            case EndpointStored(slice_, node, weight):
                return message("entry", shard=slice_, endpoint=f"s-{node}", w=weight)
            case _:
                raise ValueError(f"event {event!r} has no message in the relay's stream")

    def _report_attempts(self, report: NodeReport) -> None:
        where = "locality", self._zone_name(report.zone), "endpoint", f"s-{report.node}"
        mean_ns = report.mean_latency_ns
        rtt = ("rtt", f"{mean_ns / MILLISECOND:.3f}") if mean_ns else ()
        words = "upstream_stats", *where, "total", report.attempts, "errors", report.failures, *rtt
        self._send_telemetry(report.zone or 0, report.window_ns, *words)

    def _report_ops(self, report: SliceReport) -> None:
        where = "shard", report.slice, "route", self.environment.op_type_names[report.op_type]
        words = "range_stats", *where, "total", report.ops, "errors", report.aborted
        self._send_telemetry(0, report.window_ns, *words)

    def _send_telemetry(self, zone: int, window_ns: int, *words: object) -> None:
        if self._telemetry:
            all_words = *words, "interval", f"{window_ns / MILLISECOND:.1f}"
            self._telemetry[zone].send(*(str(word).encode() for word in all_words))

    # The relay.

    def _answer_relay_request(self, connection: StubConnection, path: str, body: bytes) -> None:
        if path == "/api/stream":
            self._begin_stream(connection)
            return
        orders = [self._read_order(order) for order in json.loads(body)["ops"]]
        if self.alive:
            self._store.execute(self.number, orders)
        connection.reply({"ok_count": len(orders)})

    def _begin_stream(self, connection: StubConnection) -> None:
        """Begin a stream with the complete state."""
        ops_per_s = self._load.ops_per_s(self._kit.loop.now()) / len(self._proxies)
        joined = [proxy for proxy in self._proxies if self.number in proxy.streams]
        events: list[Event] = [ProxyJoined(proxy.number, proxy.zone, ops_per_s, False) for proxy in joined]
        for slice_, owner in enumerate(self._store.owner):
            if owner == self.number:
                events.append(SliceOwnership(slice_, True))
                weights = self._store.weights[slice_]
                events += [EndpointStored(slice_, node, weight) for node, weight in weights.items()]
        lines = [*map(self._stream_message, events), {}]
        connection.begin_stream()
        connection.send(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
        self._streams = [stream for stream in self._streams if stream.closed_because is None] + [connection]

    def _read_order(self, order: dict[str, Any]) -> TableOrder:
        """Parse an order of the process."""
        verb = order["verb"]
        if verb == "put":
            return SetEndpoint(order["cluster"], int(order["endpoint"][2:]), order["w"])
        if verb == "wipe":
            return ClearTable(order["cluster"])
        if verb in ("eject", "uneject"):
            return SetWithdrawn(int(order["endpoint"][2:]), verb == "eject")
        if verb == "fence":
            return RequestAcknowledgement(order["stamp"])
        table = ALL_TABLES if order.get("cluster", "*") == "*" else order["cluster"]
        names = self.environment.op_type_names
        op_types = sum(1 << names.index(name) for name in order.get("for", ()))
        return SetAdmission(table, op_types, order["gate"], order["again"])

    # The agent.

    def _update_list(self, update: NodeListUpdate) -> None:
        changed = {entry.node: self._instance(entry) for entry in update.entries}
        self._listed.update(changed)
        self._list_version += 1
        if update.kind == NodeListKind.DELTA:
            self._watches = [watch for watch in self._watches if watch.closed_because is None]
            for watch in self._watches:
                watch.send(node_list(self._list_version, *changed.values()))

    def _instance(self, entry: NodeEntry) -> JsonObject:
        unix_offset_ns = time.time_ns() - self.clock.now()
        started_ms = (entry.started_at + unix_offset_ns) / MILLISECOND if entry.started_at else 0
        return instance(f"s-{entry.node}", LIFECYCLES[entry.condition], started_ms) | {
            "hostPort": self._node_addresses[entry.node],
            "zone": self._zone_name(entry.zone),
            "cell": entry.cell,
            "weight": entry.weight,
        }

    def _complete_list(self) -> JsonObject:
        listed = [node for node in self._listed.values() if node["lifecycle"] != "terminated"]
        return node_list(self._list_version, *listed, reset=True)

    def _answer_agent_request(self, connection: StubConnection, path: str, body: bytes) -> None:  # noqa: ARG002 - a callback
        query = dict(parse_qsl(urlsplit(path).query))
        if "follow" not in query:
            connection.reply(self._complete_list())
            return
        connection.begin_stream()
        is_current = query.get("since") == str(self._list_version)
        connection.send(b"\n" if is_current else self._complete_list())
        self._watches.append(connection)
