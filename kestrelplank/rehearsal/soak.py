"""A soak: the gateway's processes on loopback, under load, through a seeded script of faults that overlap.

The rules are checked at the end, against what servers, clients, operators and platform saw.
"""

import asyncio
import shutil
import signal
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

from kestrelplank.http.server import create_server
from kestrelplank.http.socket_options import listening_socket
from kestrelplank.rehearsal.gateway_processes import LoopbackNetwork, Role
from kestrelplank.rehearsal.simulated_server import GRACE_S, IDLE_TIMEOUT_S
from kestrelplank.rehearsal.soak_clients import REQUESTS_PER_S_AND_CLIENT, SoakClient
from kestrelplank.rehearsal.soak_entry import EdgeEntry
from kestrelplank.rehearsal.soak_fault_player import FaultPlayer
from kestrelplank.rehearsal.soak_memory import MemoryWatch
from kestrelplank.rehearsal.soak_operator import SoakOperator
from kestrelplank.rehearsal.soak_platform import SoakPlatform
from kestrelplank.rehearsal.soak_processes import SoakProcesses
from kestrelplank.rehearsal.soak_records import Disturbance, SoakRecords
from kestrelplank.rehearsal.soak_report import SoakReport, write_report
from kestrelplank.rehearsal.soak_script import SoakForm, draw_script
from kestrelplank.rehearsal.soak_servers import SoakServers
from kestrelplank.rehearsal.soak_terms import BOUNDS
from kestrelplank.rehearsal.soak_trouble import ALL_MACHINES, LATE_LOOP

READY_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.1
LOOP_CHECK_S, LOOP_DELAY_S = 0.05, 0.05  # a loop later than this can't tell a late process from a late look


class SoakIncompleteError(Exception):
    """The gateway did not become ready, or the soak was stopped by a signal."""


class Soak:
    """One soak.

    :param folder: for settings files, logs and the data of control members.
    """

    def __init__(self, folder: Path, seed: int, form: SoakForm) -> None:
        self._form, self._script = form, draw_script(seed, form)
        random = Random(seed)
        self._records = SoakRecords(members=form.member_names, edges=form.edge_names)
        network = LoopbackNetwork(form.members + form.edges + 1)
        self._processes = SoakProcesses(folder, network, form, self._records)
        self._servers = SoakServers(network, self._records, Random(random.getrandbits(64)), form.servers)
        self._platform = SoakPlatform(self._servers, self._records, Random(random.getrandbits(64)))
        self._operator = SoakOperator(self._processes, self._records, Random(random.getrandbits(64)))
        self._entry = EdgeEntry(self._processes)
        count = max(1, round(form.load_per_s / REQUESTS_PER_S_AND_CLIENT))
        self._clients = [
            SoakClient(Random(random.getrandbits(64)), self._entry, network.port, self._records) for _ in range(count)
        ]
        self._memory = MemoryWatch(self._processes)
        self._player = FaultPlayer(
            self._script, self._processes, self._servers, self._platform, self._operator, self._records
        )

    async def run(self) -> SoakReport:
        """Run the soak, and return its report; no process is left, also after a failure or when cancelled.

        :raises SoakIncompleteError: the gateway did not become ready.
        :raises asyncio.CancelledError: this process got SIGTERM.
        """
        this_task = asyncio.current_task()
        assert this_task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        try:
            async with self._surroundings():
                await self._start()
                await self._play()
                await self._processes.stop_all()
        finally:
            self._processes.kill_all()
            self._processes.network.release_ports()
        wall_offset_s = time.time() - self._records.now()
        report = write_report(self._records, self._script, self._form, self._processes.logs, wall_offset_s)
        report.played = dict(sorted(self._player.played.items()))
        report.max_memory_mb, report.left_behind = self._memory.max_mb, self._processes.process_ids()
        return report

    @asynccontextmanager
    async def _surroundings(self) -> AsyncIterator[None]:
        """Serve the platform and the servers."""
        http_server = create_server(self._platform.app, IDLE_TIMEOUT_S, GRACE_S)
        serving = asyncio.create_task(http_server.serve([listening_socket(*self._processes.network.platform_address)]))
        await self._servers.start()
        try:
            yield
        finally:
            http_server.should_exit = True
            await serving
            await self._servers.stop()

    async def _start(self) -> None:
        """Start the processes, send the first configuration, and wait until all edges are ready."""
        for machine in self._processes.machines:
            self._processes.disturb(machine, "start")
            await self._processes.start(machine)
        first = self._processes.with_role(Role.CONTROL)[0]
        until = time.monotonic() + READY_TIMEOUT_S
        ready = await self._operator.send(self._script.configurations[0], first, READY_TIMEOUT_S)
        while ready and time.monotonic() < until:
            edges = self._processes.with_role(Role.EDGE)
            if all(await asyncio.gather(*(self._entry.is_ready(edge) for edge in edges))):
                self._begin()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise SoakIncompleteError("the gateway did not become ready")

    def _begin(self) -> None:
        """Let the time of the records begin now; what came before keeps its place, at negative times."""
        passed_s = self._records.now()
        self._records.started_at += passed_s
        for start in self._records.disturbances:
            start.start, start.end = start.start - passed_s, 0.0
        for call in self._records.configurations:
            call.sent_at -= passed_s
            call.answered_at = None if call.answered_at is None else call.answered_at - passed_s

    async def _play(self) -> None:
        """Send requests while the faults are played, then read the configuration back."""
        background = [self._entry.run(), self._operator.read_now_and_then(), self._watch_loop(), self._memory.run()]
        tasks = [asyncio.create_task(coroutine) for coroutine in background]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._player.play())
                for client in self._clients:
                    group.create_task(client.run(self._form.duration_s))
            self._records.ended_at = self._form.duration_s
            await self._operator.read_at_the_end(BOUNDS.contact_s)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _watch_loop(self) -> None:
        """Record it when this process itself is late, as then no bound can be checked."""
        while True:
            before = self._records.now()
            await asyncio.sleep(LOOP_CHECK_S)
            now = self._records.now()
            if now - before > LOOP_CHECK_S + LOOP_DELAY_S:
                self._records.disturbances.append(Disturbance(ALL_MACHINES, LATE_LOOP, before, now))


def play(seed: int, form: SoakForm) -> SoakReport:
    """Run a soak; the logs of its processes are kept if it fails.

    :raises SoakIncompleteError: it was not played to its end; the message names the folder of the logs.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"kestrelplank-soak-{seed}-"))
    keep = True
    try:
        report = asyncio.run(Soak(folder, seed, form).run())
        keep = report.failed
        report.kept_logs = str(folder) if keep else None
        return report
    except SoakIncompleteError as err:
        raise SoakIncompleteError(f"{err}; logs are in {folder}") from err
    except asyncio.CancelledError as err:
        raise SoakIncompleteError(f"stopped by a signal; logs are in {folder}") from err
    finally:
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)
