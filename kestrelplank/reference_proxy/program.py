"""`kestrelplank relay --config FILE`: makes the parts of a relay and joins them, takes signals, keeps its tables."""

import signal
import sys
import time
from random import Random
from zlib import crc32

from kestrelplank.__main__ import Signals
from kestrelplank.assigner.counters import Counters, logger
from kestrelplank.decode import Ids, Malformed, text
from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.load_balancing.admission import Admission, AdmissionSettings
from kestrelplank.load_balancing.attempts import Attempts, AttemptSettings, OverloadControl
from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits, ConcurrencyLimitSettings
from kestrelplank.load_balancing.connection_pool import PoolSettings
from kestrelplank.load_balancing.flap_damping import FlapDampingSettings
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.retry_budget import RetryBudget
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.load_balancing.waiting_queue import WaitingQueue
from kestrelplank.load_balancing.zone_distances import ZoneDistances
from kestrelplank.load_balancing.zone_preference import ZonePreference, ZonePreferenceSettings
from kestrelplank.reference_proxy.hub import PERIOD, HubClient
from kestrelplank.reference_proxy.proxy import Bounds, OpType, Proxy
from kestrelplank.reference_proxy.request import Request
from kestrelplank.reference_proxy.takeover import SuccessorListener, confirm_listening, receive_socket
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import parse_fraction
from kestrelplank.settings.reference_proxy import ReferenceProxySettings, read_reference_proxy_settings
from kestrelplank.sockets.buffers import Pool
from kestrelplank.sockets.connection import address
from kestrelplank.sockets.loop import Loop
from kestrelplank.state import idempotency_cache
from kestrelplank.state.sealed import sealed, unsealed
from kestrelplank.state.tables import Refused, Tables

BUFFER, BUFFERS = 1 << 16, 64
FORM = 1  # of kept tables
IDLE_LOOK = 20_000_000  # ns between looks whether all clients are gone, while it stops


def op_types(file: ReferenceProxySettings) -> list[OpType]:
    return [
        OpType(name, op.method.upper().encode(), op.path_prefix.encode(), op.effect == "deduplicated", op.timeout_ns)
        for name, op in file.op_types.items()
    ]


def bounds(file: ReferenceProxySettings) -> Bounds:
    clients = file.clients
    return Bounds(
        head=clients.max_header_bytes,
        kept=clients.kept_body_bytes,
        body=clients.max_body_bytes,
        dial=file.attempts.connect_timeout_ns,
        key=clients.idempotency_header.lower().encode(),
    )


def admission_settings(file: ReferenceProxySettings) -> AdmissionSettings:
    return AdmissionSettings(
        file.clients.max_connections,
        file.clients.max_connections_per_client,
        file.clients.header_timeout_ns,
        file.clients.idle_timeout_ns,
    )


def pool_settings(file: ReferenceProxySettings) -> PoolSettings:
    nodes = file.nodes
    return PoolSettings(
        nodes.max_connections,
        nodes.idle_timeout_ns,
        nodes.max_requests_per_connection,
        nodes.grace_ns,
        nodes.slow_start_ns,
        nodes.slow_start_from,
    )


class Relay:
    """All parts of one relay. `listening`: a predecessor's socket, or the address of the file."""

    def __init__(self, loop: Loop, counters: Counters, file: ReferenceProxySettings, listening: object) -> None:
        self.loop, self.counters, self.file = loop, counters, file
        process, ops = file.process, list(file.op_types.values())
        self.pool, self.ids = Pool(BUFFER, BUFFERS), Ids(text)
        self.tables = Tables(process.slices, len(ops), int(file.attempts.retry))
        self.addresses: dict[int, str] = {}
        self._zone_of: dict[int, int] = {}
        self._dirty = False
        tries = file.attempts
        limits = ConcurrencyLimits(
            ConcurrencyLimitSettings(
                tries.first_limit, tries.least_limit, tries.greatest_limit, tries.latency_tolerance
            )
        )
        self.zones = self._preference(limits) if file.zones.prefer_near else None
        self.distances = ZoneDistances()
        self.attempts = self._made_attempts(limits)
        self._by = b"" if process.slice_key == "path" else process.slice_key.lower().encode()
        self.kept_at: float | None = self._restore()
        self.proxy = self._made_proxy(listening)
        self.hub = self._made_hub_client() if process.update_source_address else None
        self._looks = loop.at(loop.now() + PERIOD, self._look_at_distances)
        self._timer = loop.at(loop.now() + process.state_interval_ns, self._keep)

    def _made_attempts(self, limits: ConcurrencyLimits) -> Attempts:
        tries, ops, random = self.file.attempts, list(self.file.op_types.values()), Random(self.file.process.seed)
        values, targets = [op.value for op in ops], [op.target_latency_ns for op in ops]
        return Attempts(
            random,
            self.tables,
            AttemptSettings([op.timeout_ns for op in ops], SelectionMethod(tries.pick), tries.hold_ns),
            OutlierEjection(random, tries.failures_to_avoid, tries.avoidance_ns),
            OverloadControl(
                RetryBudget(len(ops), tries.retry_budget, tries.saved_retries),
                limits if tries.limited else None,
                WaitingQueue(tries.queue_length, targets, values, tries.queue_wait_fraction),
            ),
            weight_factor=self._weigh if self.file.nodes.slow_start_ns else None,
            zones=self.zones,
        )

    def _made_proxy(self, listening: object) -> Proxy:
        file, clients = self.file, self.file.clients
        return Proxy(
            self.loop,
            self.pool,
            self.counters,
            listening,
            op_types(file),
            bounds(file),
            self.tables,
            self.attempts,
            Admission(admission_settings(file)),
            idempotency_cache.IdempotencyCache(
                idempotency_cache.CacheLimits(
                    clients.kept_answers, clients.kept_answers_bytes, clients.kept_answer_age_ns
                )
            ),
            pool_settings(file),
            self.addresses,
            self._table_of,
            self._on_try,
            self._on_op,
        )

    def _made_hub_client(self) -> HubClient:
        process = self.file.process
        return HubClient(
            self.loop,
            self.pool,
            self.counters,
            process.update_source_address,
            process.number,
            process.zone,
            self.ids,
            self.tables,
            list(self.file.op_types),
            self.addresses,
            self._changed,
            self._placed,
        )

    def _preference(self, limits: ConcurrencyLimits) -> ZonePreference:
        file, own = self.file.zones, self.ids.zone(self.file.process.zone)
        settings = ZonePreferenceSettings(
            tuple(map(parse_fraction, file.spill_fractions)),
            file.tier_width_ns,
            file.spill_begins_at,
            file.spill_ends_at,
            file.panic_threshold,
        )
        damping = FlapDampingSettings(
            file.loss_window_ns, file.free_losses, file.first_hold_ns, file.longest_hold_ns, file.forget_after_ns
        )
        count = len(self.file.op_types)
        return ZonePreference(
            own, settings, damping, file.failures_to_lose_zone, lambda node: limits.usage(node, count)
        )

    def _placed(self, node: int, zone: int) -> None:
        self._zone_of[node] = zone
        if self.zones:
            self.zones.set_node_zone(node, zone)

    def _look_at_distances(self) -> None:
        """What the last second's answers say of how far zones are."""
        self._looks = self.loop.at(self.loop.now() + PERIOD, self._look_at_distances)
        self.distances.close_period()
        own = self.ids.zones.get(self.file.process.zone, 0)
        for zone in self.ids.zones.values():
            distance = self.distances.between(own, zone) if self.zones and zone != own else None
            if distance is not None:
                self.zones.set_distance(zone, distance)

    def _weigh(self, node: int) -> float:
        pool = self.proxy.upstream.pools.get(node)
        return 1.0 if pool is None else pool.weight_share(self.loop.now())

    def _table_of(self, request: Request) -> int:
        """The slice of an op: by the header that the file names, or its path."""
        found = request.header(self._by) if self._by else request.target.partition(b"?")[0]
        return crc32(found or b"") % self.tables.size

    def _on_try(self, table: int, node: int, op_type: int, good: bool, time: int) -> None:
        if self.hub:
            self.hub.on_try(table, node, op_type, good, time)
        if self.zones and good and node in self._zone_of:
            self.distances.add(self.ids.zone(self.file.process.zone), self._zone_of[node], 1, time)

    def _on_op(self, *told: object) -> None:
        if self.hub:
            self.hub.on_op(*told)

    def _changed(self, tables: list[int]) -> None:
        self._dirty = True
        self.proxy.changed(tables)

    # Tables that survive.

    def _restore(self) -> float | None:
        path = self.file.process.state_path
        if not path:
            return None
        try:
            with open(path, "rb") as kept:
                found = unsealed(FORM, kept.read())
            self.tables.restore(found["tables"], self.ids.node)
            self.addresses.update((self.ids.node(name), at) for name, at in found["addresses"].items())
        except FileNotFoundError:
            return None
        except (OSError, Malformed, Refused) as err:
            self.counters.trouble("tables_not_restored", f"{path}: {err}")
            return None
        self.counters.info("tables_restored", age_s=round(time.time() - found["at"], 1))
        return found["at"]

    def keep(self) -> None:
        """Writes the tables that hold, if any have changed since."""
        path = self.file.process.state_path
        if not (self._dirty and path):
            return
        self._dirty = False
        names = self.ids.node_ids
        data = sealed(
            FORM,
            {
                "at": time.time(),
                "tables": self.tables.kept(names.__getitem__),
                "addresses": {names[node]: at for node, at in self.addresses.items()},
            },
        )
        try:
            write_atomically(path, data)
        except OSError as err:
            self.counters.trouble("tables_not_kept", f"{path}: {err.strerror}")

    def _keep(self) -> None:
        self.keep()
        self._timer = self.loop.at(self.loop.now() + self.file.process.state_interval_ns, self._keep)

    def reload(self, file: ReferenceProxySettings) -> None:
        """Terms of clients, bodies and op types hold from now on; no connection is dropped. Places, tables and the
        terms of limits wait for a restart, which a successor can be."""
        if list(file.op_types) != list(self.file.op_types):
            raise InvalidSettingsError(
                "op types can't be added, taken away or put in another order while the relay runs"
            )
        self.file = file
        self.proxy.reconfigure(op_types(file), bounds(file))
        self.proxy.admission.settings = admission_settings(file)

    def close(self) -> None:
        self._timer.cancel()
        self._looks.cancel()
        self.keep()
        if self.hub:
            self.hub.close()
        self.proxy.close()


class Program:
    """A relay as a process: it takes signals, may take over a predecessor's socket, and hands its own to a successor.
    Raises OSError where it can't listen."""

    def __init__(self, loop: Loop, counters: Counters, path: str, file: ReferenceProxySettings) -> None:
        self._loop, self._counters, self._path = loop, counters, path
        at, self._stop_within = file.process.successor_socket_path, file.process.stop_timeout_ns
        self._taken = receive_socket(at) if at else None
        listening = self._taken[0] if self._taken else address(file.process.listen_address)
        self._relay = Relay(loop, counters, file, listening)
        descriptor = self._relay.proxy.descriptor
        self._successor = SuccessorListener(loop, at, descriptor, lambda: self.stop("successor")) if at else None

    def run(self) -> None:
        """Until it is told to stop, and then until requests in hand have their answers."""
        handlers = {
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGHUP: self._reload,
            signal.SIGUSR1: self._counters.report,
        }
        signals = Signals(self._loop, handlers)
        self._counters.info(
            "started",
            listen="%s:%d" % self._relay.proxy.at,
            tables="kept" if self._relay.kept_at else "none yet",
            predecessor=bool(self._taken),
        )
        if self._taken:
            confirm_listening(self._taken[1])
        self._loop.run()
        self._relay.close()
        if self._successor:
            self._successor.close()
        signals.close()
        self._loop.close()
        self._report()

    def stop(self, why: str = "signal") -> None:
        """Takes no new connection, and ends once all are closed, or it has waited long enough."""
        self._counters.info("stopping", why=why)
        self._relay.proxy.stop()
        self._end_when_idle(self._loop.now() + self._stop_within)

    def _end_when_idle(self, deadline: int) -> None:
        now = self._loop.now()
        if self._relay.proxy.idle() or now >= deadline:
            self._loop.stop()
        else:
            self._loop.at(now + IDLE_LOOK, lambda: self._end_when_idle(deadline))

    def _reload(self) -> None:
        try:
            self._relay.reload(read_reference_proxy_settings(IniFile.load(self._path)))
        except InvalidSettingsError as err:
            self._counters.trouble("reloads_refused", err)
            return
        self._counters.add("reloads")
        self._counters.info("reloaded")

    def _report(self) -> None:
        relay, counters = self._relay, self._counters
        for verdict, number in sorted(relay.proxy.outcomes.items()):
            counters.add(f"ops_{verdict}", number)
        for name, number in sorted(relay.zones.counts.items()) if relay.zones else ():
            counters.add(name, number)
        counters.add("second_tries", relay.attempts.counts["second_tries"])
        counters.report()


def main(path: str) -> int:
    """Runs until SIGTERM, or until a successor has taken over. Returns the exit code: 2 where the file can't be used, 1
    where the relay can't listen."""
    try:
        file = read_reference_proxy_settings(IniFile.load(path))
    except InvalidSettingsError as err:
        print(f"kestrelplank: {err}", file=sys.stderr)
        return 2
    loop = Loop(lambda err: counters.defect(err))
    counters = Counters(logger(f"relay-{file.process.number}"), loop.now)
    try:
        program = Program(loop, counters, path, file)
    except OSError as err:
        print(f"kestrelplank: can't listen: {err.strerror or err}", file=sys.stderr)
        return 1
    program.run()
    return 0
