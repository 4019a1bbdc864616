"""The operators of a soak: they send configurations until one is answered clearly, and read the newest back."""

import asyncio
from http import HTTPStatus
from random import Random

from kestrelplank.rehearsal.gateway_processes import Machine, Role
from kestrelplank.rehearsal.loopback import call
from kestrelplank.rehearsal.soak_configurations import PlannedConfiguration
from kestrelplank.rehearsal.soak_processes import SoakProcesses
from kestrelplank.rehearsal.soak_records import ConfigurationCall, ConfigurationRead, SoakRecords

GIVE_UP_S = 20.0
FIRST_PAUSE_S, MAX_PAUSE_S = 0.1, 1.0
READ_INTERVAL_S = 1.7
CLEAR_REFUSALS = (400, 409, 412, 413, 422)


class SoakOperator:
    """Calls control members, any of them after a failure."""

    def __init__(self, processes: SoakProcesses, records: SoakRecords, random: Random) -> None:
        self._processes, self._records, self._random = processes, records, random

    async def send(self, planned: PlannedConfiguration, first_member: Machine, give_up_s: float = GIVE_UP_S) -> bool:
        """Send a configuration, unchanged again after no clear answer; return whether it was acknowledged."""
        member, pause_s = first_member, FIRST_PAUSE_S
        until = self._records.now() + give_up_s
        while self._records.now() < until:
            sent = ConfigurationCall(planned, member.settings_path.stem, self._records.now())
            self._records.configurations.append(sent)
            answer = await call(self._address(member), "POST", "/api/configuration/replace", planned.text())
            if answer is not None:
                sent.answered_at, sent.status = self._records.now(), answer.status
                if answer.status == HTTPStatus.OK or answer.status in CLEAR_REFUSALS:
                    return sent.acknowledged
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
            member = self._random.choice(self._processes.with_role(Role.CONTROL))
        return False

    async def read_now_and_then(self) -> None:
        """Read the newest configuration at one member after the other, until cancelled."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            read = await self.read(self._random.choice(self._processes.with_role(Role.CONTROL)))
            if read is not None:
                self._records.reads.append(read)

    async def read_at_the_end(self, timeout_s: float) -> None:
        """Read the newest configuration at each member, until all have answered or the time is over."""
        until = self._records.now() + timeout_s
        missing = self._processes.with_role(Role.CONTROL)
        while missing and self._records.now() < until:
            reads = await asyncio.gather(*(self.read(member) for member in missing))
            self._records.final_reads += [read for read in reads if read is not None]
            missing = [member for member, read in zip(missing, reads) if read is None]
            await asyncio.sleep(FIRST_PAUSE_S)

    async def read(self, member: Machine) -> ConfigurationRead | None:
        """Return the newest configuration as that member has it, None if it is not sure."""
        sent_at = self._records.now()
        answer = await call(self._address(member), "GET", "/api/configuration/show")
        if answer is None or answer.status != HTTPStatus.OK:
            return None
        return ConfigurationRead(member.settings_path.stem, sent_at, answer.body)

    def _address(self, member: Machine) -> tuple[str, int]:
        return member.ip, self._processes.network.port
