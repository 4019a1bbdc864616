"""Builds a reference proxy from its settings: proxy, decision components, tables, and the update client."""

import socket
from random import Random
from zlib import crc32

from kestrelplank.decode import Ids, text
from kestrelplank.load_balancing.admission import Admission
from kestrelplank.load_balancing.attempts import Attempts, OverloadControl
from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.retry_budget import RetryBudget
from kestrelplank.load_balancing.waiting_queue import WaitingQueue
from kestrelplank.load_balancing.zone_distances import ZoneDistances
from kestrelplank.load_balancing.zone_preference import ZonePreference
from kestrelplank.reference_proxy import core_settings
from kestrelplank.reference_proxy.client_request import ClientRequest
from kestrelplank.reference_proxy.proxy import Proxy, ProxyCores, ProxyHooks
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.reference_proxy.tables_file import TablesFile
from kestrelplank.reference_proxy.update_client import REPORT_INTERVAL_NS, UpdateClient, UpdateSourceSettings
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.reference_proxy import ReferenceProxySettings
from kestrelplank.state.idempotency_cache import IdempotencyCache
from kestrelplank.state.tables import Tables

SLICE_BY_PATH = "path"


class ReferenceProxy:
    """All components of one proxy.

    :param listening: a predecessor's listening socket, or the address to listen on.
    :raises OSError: it can't listen.
    """

    def __init__(
        self, io: ProxyIo, settings: ReferenceProxySettings, listening: tuple[str, int] | socket.socket
    ) -> None:
        self._io, self._settings = io, settings
        process = settings.process
        self._ids = Ids(text)
        self._tables = Tables(process.slices, len(settings.op_types), int(settings.attempts.retry))
        self._addresses: dict[int, str] = {}
        self._node_zones: dict[int, int] = {}
        limits = ConcurrencyLimits(core_settings.concurrency_limit_settings(settings))
        self.zones = self._make_zone_preference(limits) if settings.zones.prefer_near else None
        self._distances = ZoneDistances()
        self.attempts = self._make_attempts(limits)
        by_path = process.slice_key == SLICE_BY_PATH
        self._slice_header = b"" if by_path else process.slice_key.lower().encode()
        self._tables_file = TablesFile(process.state_path, io.counters, self._ids, self._tables, self._addresses)
        self.has_restored_tables = self._tables_file.restore()
        self.proxy = self._make_proxy(listening)
        self._update_client = self._make_update_client() if process.update_source_address else None
        self._distances_timer = io.loop.at(io.loop.now() + REPORT_INTERVAL_NS, self._update_distances)
        self._save_timer = io.loop.at(io.loop.now() + process.state_interval_ns, self._save_regularly)

    # Components

    def _make_attempts(self, limits: ConcurrencyLimits) -> Attempts:
        settings, ops = self._settings.attempts, list(self._settings.op_types.values())
        random = Random(self._settings.process.seed)
        targets_ns, values = [op.target_latency_ns for op in ops], [op.value for op in ops]
        overload = OverloadControl(
            RetryBudget(len(ops), settings.retry_budget, settings.max_saved_retries),
            limits if settings.limited else None,
            WaitingQueue(settings.queue_length, targets_ns, values, settings.queue_wait_fraction),
        )
        return Attempts(
            random,
            self._tables,
            core_settings.attempt_settings(self._settings),
            OutlierEjection(random, settings.failures_to_eject, settings.ejection_time_ns),
            overload,
            self._weight_factor if self._settings.nodes.slow_start_ns else None,
            self.zones,
        )

    def _make_zone_preference(self, limits: ConcurrencyLimits) -> ZonePreference:
        settings, op_types = self._settings, len(self._settings.op_types)
        return ZonePreference(
            self._ids.zone(settings.process.zone),
            core_settings.zone_preference_settings(settings),
            core_settings.flap_damping_settings(settings),
            settings.zones.failures_to_lose_zone,
            lambda node: limits.usage(node, op_types),
        )

    def _make_proxy(self, listening: tuple[str, int] | socket.socket) -> Proxy:
        settings = self._settings
        cores = ProxyCores(
            self._tables,
            self.attempts,
            Admission(core_settings.admission_settings(settings)),
            IdempotencyCache(core_settings.answer_cache_limits(settings)),
        )
        return Proxy(
            self._io,
            listening,
            core_settings.op_types(settings),
            core_settings.exchange_limits(settings),
            cores,
            core_settings.pool_settings(settings),
            self._addresses,
            ProxyHooks(self._table_of, self._attempt_ended, self._op_ended),
        )

    def _make_update_client(self) -> UpdateClient:
        process = self._settings.process
        return UpdateClient(
            self._io,
            UpdateSourceSettings(
                process.update_source_address, process.number, process.zone, list(self._settings.op_types)
            ),
            self._ids,
            self._tables,
            self._addresses,
            self._tables_changed,
            self._set_node_zone,
        )

    # Callbacks of the update client

    def _tables_changed(self, tables: list[int]) -> None:
        self._tables_file.mark_changed()
        self.proxy.tables_changed(tables)

    def _set_node_zone(self, node: int, zone: int) -> None:
        self._node_zones[node] = zone
        if self.zones:
            self.zones.set_node_zone(node, zone)

    # Callbacks of the proxy (`ProxyHooks`)

    def _table_of(self, request: ClientRequest) -> int:
        """Return the table of a request, by a hash of the configured header or of the path."""
        key = request.header(self._slice_header) if self._slice_header else request.target.partition(b"?")[0]
        return crc32(key or b"") % self._tables.size

    def _attempt_ended(self, table: int, node: int, _op_type: int, succeeded: bool, latency_ns: int) -> None:
        if self._update_client:
            self._update_client.record_attempt(table, node, succeeded, latency_ns)
        if self.zones and succeeded and node in self._node_zones:
            own_zone = self._ids.zone(self._settings.process.zone)
            self._distances.add(own_zone, self._node_zones[node], 1, latency_ns)

    def _op_ended(self, table: int, op_type: int, verdict: Verdict) -> None:
        if self._update_client:
            self._update_client.record_op(table, op_type, verdict)

    def _weight_factor(self, node: int) -> float:
        pool = self.proxy.nodes.pools.get(node)
        return 1.0 if pool is None else pool.weight_factor(self._io.loop.now())

    # Periodic tasks

    def _update_distances(self) -> None:
        """Update the distances of zones from the latencies of the last period."""
        loop = self._io.loop
        self._distances_timer = loop.at(loop.now() + REPORT_INTERVAL_NS, self._update_distances)
        self._distances.close_period()
        own_zone = self._ids.zones.get(self._settings.process.zone, 0)
        for zone in self._ids.zones.values() if self.zones else ():
            distance_ns = self._distances.between(own_zone, zone) if zone != own_zone else None
            if distance_ns is not None and self.zones:
                self.zones.set_distance(zone, distance_ns)

    def _save_regularly(self) -> None:
        self._tables_file.save()
        loop = self._io.loop
        self._save_timer = loop.at(loop.now() + self._settings.process.state_interval_ns, self._save_regularly)

    # Reload and shutdown

    def reload(self, settings: ReferenceProxySettings) -> None:
        """Apply changed settings of clients, bodies and op types without dropping a connection.

        Settings of the process, tables and limits take effect only after a restart or a handover to a successor.

        :raises InvalidSettingsError: the names or the order of op types have changed.
        """
        if list(settings.op_types) != list(self._settings.op_types):
            raise InvalidSettingsError("op types can't be added, removed or reordered while the relay runs")
        self._settings = settings
        self.proxy.reconfigure(core_settings.op_types(settings), core_settings.exchange_limits(settings))
        self.proxy.admission.settings = core_settings.admission_settings(settings)

    def close(self) -> None:
        """Save the tables and close every connection."""
        self._save_timer.cancel()
        self._distances_timer.cancel()
        self._tables_file.save()
        if self._update_client:
            self._update_client.close()
        self.proxy.close()
