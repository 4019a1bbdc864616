"""The platform's choice of edges for new connections, by their readiness."""

import asyncio
from http import HTTPStatus
from random import Random

from kestrelplank.rehearsal.gateway_processes import Machine, Role
from kestrelplank.rehearsal.loopback import call
from kestrelplank.rehearsal.soak_processes import SoakProcesses

CHECK_INTERVAL_S = 1.0
MISSES = 2


class EdgeEntry:
    """Asks each edge once a second whether it is ready; after two misses it gets no new connections."""

    def __init__(self, processes: SoakProcesses) -> None:
        self._processes = processes
        self._misses = dict.fromkeys(processes.with_role(Role.EDGE), MISSES)

    async def run(self) -> None:
        """Check the edges until cancelled."""
        while True:
            await asyncio.gather(*(self._check(edge) for edge in self._misses), asyncio.sleep(CHECK_INTERVAL_S))

    async def _check(self, edge: Machine) -> None:
        if await self.is_ready(edge):
            self._misses[edge] = 0
        else:
            self._misses[edge] += 1

    async def is_ready(self, edge: Machine) -> bool:
        """Whether the edge says that it is ready."""
        answer = await call((edge.ip, self._processes.network.readiness_port), "GET", "/api/readiness")
        return answer is not None and answer.status == HTTPStatus.OK

    def choose(self, random: Random) -> Machine:
        """Return an edge for a new connection: a ready one, or any if fewer than half are ready."""
        edges = list(self._misses)
        ready = [edge for edge in edges if self._misses[edge] < MISSES]
        return random.choice(ready if len(ready) * 2 >= len(edges) else edges)
