"""The edge program: composes, starts and stops its components, and applies messages of control members.

Forwarding decisions are made in `forwarding.forwarder`; the edge's view of members, servers and key ranges is in
`transport.edge_view`.
"""

import asyncio
import logging
import signal
import time
from random import Random, SystemRandom

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.edge.client_application import client_application
from kestrelplank.edge.control_sessions import ControlSessions
from kestrelplank.edge.exchange_context import ExchangeContext
from kestrelplank.edge.readiness import Readiness
from kestrelplank.edge.server_connections import ServerConnections
from kestrelplank.forwarding.forwarder import Forwarder
from kestrelplank.http.critical_tasks import CriticalTasks
from kestrelplank.http.server import Server, create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.settings.platform import PlatformSettings
from kestrelplank.time_units import MILLISECOND, SECOND, seconds_to_ns
from kestrelplank.transport.edge_view import Change, EdgeView
from kestrelplank.transport.messages import LoadReport, ViewUpdate
from kestrelplank.usage.edge_usage import EdgeUsage
from kestrelplank.usage.policy import usage_policy

REPORT_INTERVAL_S = 0.5  # between load reports, and between sweeps of idle connections
DRAIN_DELAY_S = 2.3  # from SIGTERM until connections are refused, for the platform's readiness check to fail
AFTER_GRACE_S = 1.0  # a planned stop lasts from SIGTERM until so long after the platform's grace period
FINAL_ANSWERS_S = 0.5  # end of the platform's grace period, reserved for answering unfinished requests
BODY_MEMORY_FRACTION = 0.25  # of this machine's memory, for buffered request bodies
BYTES_PER_MB = 1 << 20
INCARNATION_BITS = 63
log = logging.getLogger("edge")


class EdgeProgram:
    """One edge: one event loop, one HTTP server for clients and for the platform's readiness check.

    :param trace_one_in: one request in this many is logged with its attempts; 0: none.
    """

    def __init__(self, settings: PlatformSettings, trace_one_in: int = 0) -> None:
        self.settings = settings
        local, bounds = settings.local_system, settings.bounds
        random = Random(SystemRandom().getrandbits(64))
        self.view = EdgeView(local.node_name, tuple(settings.network.seed_nodes))
        self.forwarder = Forwarder(
            random,
            self.view,
            local.zone,
            bounds.retry_budget_ratio,
            bounds.retry_allowance,
            seconds_to_ns(bounds.drain_s),
            seconds_to_ns(bounds.revoke_s) if bounds.revocation_closed else None,
        )
        # A planned stop may still last, in which clients are owed the answers that servers are working on. This process
        # listens at the address of the stopped one, so at least `DRAIN_DELAY_S` have passed since its SIGTERM.
        stop_s = bounds.grace_s + AFTER_GRACE_S - DRAIN_DELAY_S
        self.forwarder.early_retries_from = time.monotonic_ns() + seconds_to_ns(stop_s)
        self.connections = ServerConnections(time.monotonic_ns)
        self.usage = edge_usage(settings, random)
        self.readiness = Readiness(self.view)
        self.context = ExchangeContext(
            self.forwarder,
            self.connections,
            self.readiness,
            int(local.limits.memory_mb * BYTES_PER_MB * BODY_MEMORY_FRACTION),
            trace_one_in,
            self.usage,
        )
        self.sessions = ControlSessions(self.view, settings.internal_port(), random, self.receive, self.usage)
        self.server: Server = create_server(
            client_application(self.context, settings.listen_address("readiness")[1]),
            idle_timeout_s=None,  # until a configuration has been received
            grace_s=bounds.grace_s - DRAIN_DELAY_S - FINAL_ANSWERS_S,
        )

    # Start and shutdown.

    async def run(self) -> int:
        """Run until SIGTERM, or until a critical task fails. Return the exit code."""
        stop = asyncio.Event()
        self.watch_signals(stop)
        self.listen()
        self.sessions.reconcile()
        critical_tasks = CriticalTasks("Edge", stop)
        critical_tasks.add(self._report_and_close_idle())
        critical_tasks.add(self.sessions.reconcile_periodically())
        log.info("Edge: started")
        await stop.wait()
        log.info("Edge: stopping, not ready from now on")
        await self.drain(DRAIN_DELAY_S)  # while the control sessions are open: requests in progress need updates
        await self.sessions.send_last_counts()
        critical_tasks.cancel()
        self.sessions.close()
        log.info("Edge: stopped", extra={"counters": self.context.counters.values})
        return 1 if critical_tasks.failed else 0

    def watch_signals(self, stop: asyncio.Event) -> None:
        """Handle signals: SIGTERM and SIGINT set `stop`, SIGHUP is ignored, SIGUSR1 logs the counters."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counters)

    def listen(self) -> None:
        """Start to accept connections of clients and of the platform."""
        sockets = [listening_socket(*self.settings.listen_address(name)) for name in ("frontend", "readiness")]
        self._serving = asyncio.create_task(self.server.serve(sockets))

    async def drain(self, delay_s: float) -> None:
        """Shut down gracefully, so that no request is lost.

        First the readiness check fails and each answer closes its connection, so that clients move to other edges.
        After the delay no connection is accepted, and requests in progress are finished.

        :param delay_s: between the two phases.
        """
        self.readiness.begin_drain()
        self.forwarder.shutting_down = True
        await asyncio.sleep(delay_s)
        await self.close()
        await self.server.wait_until_answered(FINAL_ANSWERS_S / 2)  # the other half is for the process to exit

    async def close(self) -> None:
        """Stop accepting connections, and return once requests in progress are finished or the grace period is over."""
        self.server.should_exit = True
        await self._serving

    # Messages from control members.

    def receive(self, member: str, message: ViewUpdate) -> None:
        """Apply a message from the control member at that address; if it changes anything, wake waiting requests."""
        now = time.monotonic_ns()
        change = self.view.receive(now, member, message)
        if change is None:
            return
        if change is Change.CONFIGURATION and self.view.configuration is not None:
            self.set_limits(self.view.configuration)
            self.log_configuration(self.view.configuration)
        elif change is Change.SERVERS and self.view.servers.fetched_at is not None:
            self.forwarder.endpoints.update(self.view.servers.fetched_at, self.view.servers.entries.values())
        elif change is Change.MEMBERS:
            self.sessions.reconcile()
        self.forwarder.retry_budget.edge_count = self.view.edge_count
        self.context.wake_pending()

    def log_configuration(self, configuration: Configuration) -> None:
        """Log that the configuration is in force, and how it arrived; docs/oncall.md explains the fields."""
        tenants, arrival = configuration.tenants, self.view.configuration_arrival
        extra: dict[str, object] = {"tenants": None if tenants is None else len(tenants.tenants)}
        if arrival is not None:
            former_confirmed_ms = _whole_ms(arrival.former_confirmed_ns)
            extra |= {"member": arrival.member, "by": arrival.delivery, "former_confirmed_ms": former_confirmed_ms}
        log.info("Edge: configuration %08x is in force", configuration.key.version, extra=extra)

    def set_limits(self, configuration: Configuration) -> None:
        """Apply the configuration's client limits, also to open connections."""
        limits = self.server.limits
        limits.header_bytes = configuration.max_header_bytes
        limits.header_timeout_s = configuration.header_timeout_ns / SECOND
        limits.idle_timeout_s = configuration.idle_timeout_ns / SECOND

    # Load reports and logs.

    async def _report_and_close_idle(self) -> None:
        """Send load reports and close idle connections, every `REPORT_INTERVAL_S`."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._report_load()
            self._close_idle_connections()

    def _report_load(self) -> None:
        """Send the load of each sharded service to the member that assigns its key ranges."""
        for service, (keys, servers) in self.forwarder.take_load_reports().items():
            if keys or servers:
                self.sessions.send_report(self.view.assigner_address(service), LoadReport(service, keys, servers))

    def _close_idle_connections(self) -> None:
        """Record each server's idle connections, then close those idle too long or whose server is no longer ready."""
        endpoints = self.forwarder.endpoints.by_name.values()
        for endpoint in endpoints:
            endpoint.idle_connections = self.connections.idle_count(endpoint.address)
        self.connections.close_unused({endpoint.address for endpoint in endpoints if endpoint.ready})

    def log_counters(self) -> None:
        """Log the counters and gauges of this edge in one line; docs/oncall.md explains each."""
        now, endpoints = time.monotonic_ns(), self.forwarder.endpoints
        loads = {name: endpoint.load(now) for name, endpoint in endpoints.by_name.items()}
        log.info(
            "Edge: counters",
            extra={
                "counters": self.context.counters.values,
                "readiness": self.readiness.state.value,
                "downstream_rq_body_bytes": self.context.buffered_body_bytes,
                "upstream_rq_active": {name: round(load, 1) for name, load in loads.items() if load >= 1},
                "outlier_ejected": endpoints.ejected(now),
                "control_session_silent_ms": self.sessions.silent_ms(),
                "configuration_version": _version_text(self.view.configuration),
                "configuration_confirmed_ms": _whole_ms(self.view.confirmation_age_ns(now)),
                "configuration_rejected": self.view.rejected_configurations,
                **self.usage_counters(),
            },
        )

    def usage_counters(self) -> dict[str, int]:
        """Return the counters of usage; docs/oncall.md explains each."""
        if self.usage is None:
            return {}
        counter = self.usage.counter
        return {"usage_windows_dropped": counter.dropped_windows, "usage_attempts_late": counter.late_attempts}


def edge_usage(settings: PlatformSettings, random: Random) -> EdgeUsage | None:
    """Return an empty usage for this process; None if the platform wants no usage reports."""
    policy = usage_policy(settings)
    if policy is None:
        return None
    return EdgeUsage(settings.local_system.node_name, random.getrandbits(INCARNATION_BITS), policy.interval_ns)


def _version_text(configuration: Configuration | None) -> str | None:
    """Return the version as operators write it; None if there is no configuration."""
    return None if configuration is None else f"{configuration.key.version:08x}"


def _whole_ms(duration_ns: int | None) -> int | None:
    """Return a duration in whole milliseconds; None for None."""
    return None if duration_ns is None else duration_ns // MILLISECOND


async def run(settings: PlatformSettings, trace_one_in: int = 0) -> int:
    """Run an edge until SIGTERM, and return the exit code.

    :param trace_one_in: one request in this many is logged with its attempts; 0: none.
    """
    return await EdgeProgram(settings, trace_one_in).run()
