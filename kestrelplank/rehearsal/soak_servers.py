"""The servers behind the gateway of a soak; each may be drained, stopped, and replaced by a new one."""

import asyncio
from random import Random

from kestrelplank.rehearsal.gateway_processes import LoopbackNetwork
from kestrelplank.rehearsal.services import SERVICES
from kestrelplank.rehearsal.soak_records import SoakRecords
from kestrelplank.rehearsal.soak_server import SoakServer
from kestrelplank.rehearsal.soak_terms import BOUNDS

AFTER_DRAIN_S = 1.0
ADDRESS_REUSE_S = 2.0
UNLISTED_S = 3.0  # a server that has ended stays on the platform's list for so long


class SoakServers:
    """All servers; `listed` holds those that the platform lists."""

    def __init__(self, network: LoopbackNetwork, records: SoakRecords, random: Random, count: int) -> None:
        self._network, self._records, self._random = network, records, random
        self.listed: list[SoakServer] = []
        self._lives = 0
        self._free_addresses: list[tuple[float, tuple[str, int]]] = []  # since when (s), address
        kinds = [service.name for service in SERVICES for _ in range(service.servers)]
        self._slots = [self._new(kinds[number % len(kinds)]) for number in range(count)]

    def _new(self, service: str) -> SoakServer:
        """Return a new life of a server, at an address that a server of any service may have had before."""
        reusable = [entry for entry in self._free_addresses if self._records.now() - entry[0] >= ADDRESS_REUSE_S]
        if reusable:
            self._free_addresses.remove(reusable[0])
            address = reusable[0][1]
        else:
            address = self._network.server_address(self._lives)
        name = f"{service}-{self._lives}"
        self._lives += 1
        random = Random(self._random.getrandbits(64))
        server = SoakServer(name, service, address, self._records, self.listed, random)
        self.listed.append(server)
        return server

    async def start(self) -> None:
        """Start all servers."""
        for server in self._slots:
            await server.start()

    async def replace(self, number: int) -> None:
        """Drain a server, stop it, and start another in its place."""
        leaving = self._slots[number]
        if leaving.state != "ready":
            return
        leaving.state = "draining"
        self._slots[number] = joining = self._new(leaving.service)
        await joining.start()
        await asyncio.sleep(BOUNDS.drain_s + AFTER_DRAIN_S)
        self._records.disturb(leaving.name, "ended")
        await leaving.stop()
        self._free_addresses.append((self._records.now(), leaving.address))
        await asyncio.sleep(UNLISTED_S)
        leaving.state = "gone"
        self.listed.remove(leaving)

    async def stop(self) -> None:
        """Stop all servers."""
        for server in list(self.listed):
            await server.stop()
