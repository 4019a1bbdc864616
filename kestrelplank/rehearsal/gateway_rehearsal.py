"""A rehearsal of a small gateway on loopback: its real programs run through a scenario of faults.

The platform, the servers, the operator and the clients are simulated; they record what the rules are checked against.
"""

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from http import HTTPStatus
from pathlib import Path
from random import Random

import msgspec

from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.rehearsal.gateway_processes import GatewayProcesses, LoopbackNetwork, Machine, Role
from kestrelplank.rehearsal.gateway_report import GatewayReport
from kestrelplank.rehearsal.loopback import call
from kestrelplank.rehearsal.observations import Observations
from kestrelplank.rehearsal.services import SERVICES
from kestrelplank.rehearsal.simulated_clients import KEYS, SimulatedClients
from kestrelplank.rehearsal.simulated_operator import SimulatedOperator
from kestrelplank.rehearsal.simulated_platform import SimulatedPlatform
from kestrelplank.rehearsal.simulated_server import GRACE_S, IDLE_TIMEOUT_S, SimulatedServer

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
KEY_SAMPLE_STEP = 512  # between the keys that are checked for an owner


class GatewayRehearsal:
    """A gateway of control members and edge machines, with one more control member as a replacement.

    :param folder: for settings files and the data of control members.
    :param seed: of the requests of clients.
    :param log_level: of the gateway's processes.
    """

    def __init__(
        self, folder: Path, seed: int = 1, control_members: int = 3, edges: int = 2, log_level: str = "WARNING"
    ) -> None:
        network = LoopbackNetwork(control_members + edges + 1)
        self._processes = GatewayProcesses(folder, network, control_members, log_level)
        self._observations = Observations()
        self._servers: list[SimulatedServer] = []
        for service in SERVICES:
            for number in range(service.servers):
                name, address = f"{service.name}-{number}", network.server_address(len(self._servers))
                self._servers.append(SimulatedServer(name, service.name, address, self._observations, self._servers))
        self._operator = SimulatedOperator(self._processes)
        self._clients = SimulatedClients(Random(seed), self._processes, self._observations)

    async def run(self, requests: int, per_s: float) -> GatewayReport:
        """Run the scenario while clients send requests; return the report."""
        async with self._platform():
            try:
                return await self._run(requests, per_s)
            finally:
                await self._processes.stop_all()
                self._processes.network.release_ports()

    async def _run(self, requests: int, per_s: float) -> GatewayReport:
        for simulated in self._servers:
            await simulated.start()
        started_at = time.monotonic()
        for machine in self._processes.machines:
            await self._processes.start(machine)
        if not await self._operator.configure(1) or not await self._wait_until_ready():
            return GatewayReport(ready=False, replaced=False)
        ready_s = time.monotonic() - started_at
        sending = asyncio.create_task(self._clients.send_requests(requests, per_s))
        faults = await self._play_faults()
        await sending
        replaced = await self._wait_until(lambda: self._operator.is_voter(self._processes.replacement))
        return self._report(ready_s, faults, replaced)

    @asynccontextmanager
    async def _platform(self) -> AsyncIterator[None]:
        """Serve the list of servers; at the end, after all requests, stop the servers too."""
        http_server = create_server(SimulatedPlatform(self._servers).app, IDLE_TIMEOUT_S, GRACE_S)
        address = self._processes.network.platform_address
        serving = asyncio.create_task(http_server.serve([listening_socket(*address)]))
        try:
            yield
        finally:
            http_server.should_exit = True
            await serving
            for simulated in self._servers:
                await simulated.stop()

    # Readiness.

    async def _wait_until_ready(self) -> bool:
        return await self._wait_until(self._is_ready)

    async def _is_ready(self) -> bool:
        """Whether all edges report ready, and all sampled keys have an owner."""
        port = self._processes.network.readiness_port
        edges = self._processes.running(Role.EDGE)
        answers = [await call((edge.ip, port), "GET", "/api/readiness") for edge in edges]
        now = time.monotonic()
        all_owned = all(
            any(simulated.holds_key(key, now) for simulated in self._servers) for key in range(0, KEYS, KEY_SAMPLE_STEP)
        )
        return (
            all_owned
            and bool(answers)
            and all(answer is not None and answer.status == HTTPStatus.OK for answer in answers)
        )

    async def _wait_until(self, condition: Callable[[], Awaitable[bool]]) -> bool:
        """Wait until the condition holds; return whether it did within the time-out."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if await condition():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    # The scenario.

    async def _play_faults(self) -> list[str]:
        """Inject the faults one after the other; return a description of each."""
        members, edges = self._processes.with_role(Role.CONTROL), self._processes.with_role(Role.EDGE)
        assigning = [member for member in members if await self._operator.assigns_shards(member)]
        killed = (assigning or members)[0]
        faults = [self._kill_assigning_member(killed)]
        await asyncio.sleep(0.5)
        faults.append(self._drain(self._servers[0]))
        await asyncio.sleep(1.0)
        faults.append(self._terminate_edge(edges[0]))
        await asyncio.sleep(1.0)
        await self._processes.restart(killed)
        faults.append(await self._lose_server(self._servers[1]))
        await self._wait_until(lambda: self._operator.is_current(killed))
        faults.append(await self._replace(next(member for member in members if member is not killed)))
        return faults

    def _kill_assigning_member(self, member: Machine) -> str:
        self._processes.kill(member)
        return f"{member.ip}, which assigned keys, was killed"

    def _drain(self, simulated: SimulatedServer) -> str:
        simulated.state = "draining"
        return f"{simulated.name} is draining"

    def _terminate_edge(self, edge: Machine) -> str:
        self._processes.terminate(edge)
        return f"{edge.ip} was sent SIGTERM"

    async def _lose_server(self, simulated: SimulatedServer) -> str:
        simulated.state = "gone"
        await simulated.stop()
        return f"{simulated.name} was removed and stopped"

    async def _replace(self, member: Machine) -> str:
        self._processes.kill(member)
        await self._processes.restart(self._processes.replacement)
        return f"{member.ip} was killed for good, {self._processes.replacement.ip} replaces it without data"

    # The report.

    def _report(self, ready_s: float, faults: list[str], replaced: bool) -> GatewayReport:
        observed, now = self._observations, time.monotonic()
        return GatewayReport(
            ready=True,
            ready_s=round(ready_s, 2),
            faults=faults,
            replaced=replaced,
            requests=observed.requests,
            served=observed.served,
            answers=dict(sorted(observed.answers.items())),
            run_twice=observed.run_twice(),
            rejected_but_ran=observed.rejected_but_ran,
            keys_with_two_owners=observed.keys_with_two_owners,
            wrong_tenant=observed.wrong_tenant,
            keys_by_server={
                simulated.name: simulated.keys_held(now)
                for simulated in self._servers
                if simulated.is_running and simulated.service == "views"
            },
        )


def play(requests: int = 300, per_s: float = 60.0, log_level: str = "WARNING") -> dict[str, object]:
    """Run the scenario on a small gateway; return the report under its printed names."""
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = GatewayRehearsal(Path(folder), log_level=log_level)
        report = asyncio.run(rehearsal.run(requests, per_s))
    printed: dict[str, object] = msgspec.to_builtins(report)
    return printed
