"""Plays the script of a soak's faults: each at its time, whatever else is in progress."""

import asyncio
import signal
from collections import Counter

from kestrelplank.rehearsal.gateway_processes import Machine, Role
from kestrelplank.rehearsal.soak_operator import SoakOperator
from kestrelplank.rehearsal.soak_platform import PlatformState, SoakPlatform
from kestrelplank.rehearsal.soak_processes import SoakProcesses
from kestrelplank.rehearsal.soak_records import SoakRecords
from kestrelplank.rehearsal.soak_script import PLATFORM_FAULTS, Fault, FaultKind, SoakScript
from kestrelplank.rehearsal.soak_servers import SoakServers
from kestrelplank.rehearsal.soak_terms import BOUNDS

PLATFORM_STATES = dict(
    zip(
        PLATFORM_FAULTS,
        (PlatformState.DOWN, PlatformState.SLOW, PlatformState.BUSY, PlatformState.LOSES_ANSWERS),
    )
)


class FaultPlayer:
    """Plays a script; `played` counts the faults by kind, without those that found their machine down."""

    def __init__(
        self,
        script: SoakScript,
        processes: SoakProcesses,
        servers: SoakServers,
        platform: SoakPlatform,
        operator: SoakOperator,
        records: SoakRecords,
    ) -> None:
        self._script, self._processes, self._servers = script, processes, servers
        self._platform, self._operator, self._records = platform, operator, records
        self.played: Counter[str] = Counter()

    async def play(self) -> None:
        """Play all faults, and wait until what they began has ended."""
        async with asyncio.TaskGroup() as group:
            for fault in self._script.faults:
                group.create_task(self._play(fault))

    async def _play(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self._records.now()))
        if fault.kind in (FaultKind.CONFIGURE, FaultKind.RESEND):
            self.played[fault.kind.value] += 1
            member = self._processes.by_name[fault.target]
            await self._operator.send(self._script.configuration(fault.version), member)
        elif fault.kind is FaultKind.REPLACE_SERVER:
            self.played[fault.kind.value] += 1
            await self._servers.replace(int(fault.target))
        elif fault.kind in PLATFORM_STATES:
            await self._trouble_platform(fault)
        elif fault.kind is FaultKind.CORE_OUTAGE:
            members = self._processes.with_role(Role.CONTROL)
            await asyncio.gather(*(self._kill(member, fault) for member in members))
        else:
            await self._strike(self._processes.by_name[fault.target], fault)

    async def _trouble_platform(self, fault: Fault) -> None:
        """Set the platform's state for a time; a later fault overrides an earlier one."""
        self.played[fault.kind.value] += 1
        self._platform.state = state = PLATFORM_STATES[fault.kind]
        await asyncio.sleep(fault.duration_s)
        if self._platform.state is state:
            self._platform.state = PlatformState.UP

    async def _strike(self, machine: Machine, fault: Fault) -> None:
        """Play a fault of one machine, unless its process is down."""
        if not self._processes.is_running(machine):
            return
        if fault.kind is FaultKind.TERMINATE:
            await self._terminate(machine, fault)
        elif fault.kind is FaultKind.KILL:
            await self._kill(machine, fault)
        elif fault.kind is FaultKind.FREEZE:
            await self._freeze(machine, fault)
        else:
            await self._reload(machine, fault)

    async def _reload(self, machine: Machine, fault: Fault) -> None:
        """Change the settings file, and send SIGHUP."""
        await self._processes.wait_for_handler(machine, signal.SIGHUP)
        self.played[fault.kind.value] += 1
        self._processes.rewrite_settings(machine)
        self._processes.disturb(machine, "SIGHUP").end = self._records.now() + BOUNDS.config_apply_s
        self._processes.send(machine, signal.SIGHUP)

    async def _terminate(self, machine: Machine, fault: Fault) -> None:
        """SIGTERM, SIGKILL after the grace period, then a restart."""
        self.played[fault.kind.value] += 1
        disturbance = self._processes.disturb(machine, "SIGTERM")
        self._processes.send(machine, signal.SIGTERM)
        if not await self._processes.wait_for_end(machine, BOUNDS.grace_s):
            self.played["SIGKILL after the grace period"] += 1
            self._processes.send(machine, signal.SIGKILL)
            await self._processes.wait_for_end(machine, BOUNDS.grace_s)
        await self._restart(machine, fault.duration_s)
        disturbance.end = self._records.now()

    async def _kill(self, machine: Machine, fault: Fault) -> None:
        if not self._processes.is_running(machine):
            return
        self.played[fault.kind.value] += 1
        disturbance = self._processes.disturb(machine, "SIGKILL")
        self._processes.send(machine, signal.SIGKILL)
        await self._processes.wait_for_end(machine, BOUNDS.grace_s)
        await self._restart(machine, fault.duration_s)
        disturbance.end = self._records.now()

    async def _restart(self, machine: Machine, after_s: float) -> None:
        """Start the process again after some time, unless the restart of another fault came first."""
        await asyncio.sleep(after_s)
        await self._processes.restart(machine)

    async def _freeze(self, machine: Machine, fault: Fault) -> None:
        self.played[fault.kind.value] += 1
        disturbance = self._processes.disturb(machine, "SIGSTOP")
        self._processes.send(machine, signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        self._processes.send(machine, signal.SIGCONT)
        disturbance.end = self._records.now()
