"""The clients of the small gateway: they send requests, and check the answers."""

import asyncio
from http import HTTPStatus
from random import Random

from kestrelplank.http.answer import Answer
from kestrelplank.rehearsal.gateway_processes import GatewayProcesses, Role
from kestrelplank.rehearsal.loopback import call
from kestrelplank.rehearsal.observations import Observations
from kestrelplank.rehearsal.services import REQUEST_MIX, RehearsedService
from kestrelplank.rehearsal.soak_terms import REJECTIONS
from kestrelplank.rehearsal.tenants import API_KEYS, TENANTS, UNKNOWN_API_KEY, authorization

MAX_ATTEMPTS, RETRY_INTERVAL_S = 3, 0.1
KEYS = 1 << 16
UNKNOWN_KEY_INTERVAL = 10  # one request in this many is first sent with a key that no tenant has


class SimulatedClients:
    """Clients that each send one request, and retry it where an answer guarantees that it has not run."""

    def __init__(self, random: Random, processes: GatewayProcesses, observations: Observations) -> None:
        self._random, self._processes, self._observations = random, processes, observations

    async def send_requests(self, requests: int, per_s: float) -> None:
        """Send that many requests at that rate, and wait until they have ended."""
        tasks = []
        for number in range(requests):
            tasks.append(asyncio.create_task(self._request(number)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def _request(self, number: int) -> None:
        service = self._random.choice(REQUEST_MIX)
        body, observations = b"x" * service.body_bytes, self._observations
        observations.requests += 1
        if number % UNKNOWN_KEY_INTERVAL == 0:
            await self._attempt(service, number, f"r-{number}-unknown", body, tenant=None)
        tenant = self._random.choice(TENANTS)
        for attempt in range(MAX_ATTEMPTS):
            attempt_id = f"r-{number}-{attempt}"
            answer = await self._attempt(service, number, attempt_id, body, tenant)
            status = answer.status if answer else 0
            observations.answers[status] += 1
            if answer is not None and status == HTTPStatus.OK and answer.body == b"%d" % len(body):
                observations.served += 1
                return
            if status in REJECTIONS:
                observations.rejected_but_ran += service.runs_at_most_once and attempt_id in observations.runs
            elif service.runs_at_most_once and status:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _attempt(
        self, service: RehearsedService, number: int, attempt_id: str, body: bytes, tenant: str | None
    ) -> Answer | None:
        """Send the request as that tenant, and claim to be any; None: with a key that no tenant has."""
        self._observations.tenants[attempt_id] = tenant or ""
        edge = self._random.choice(self._processes.running(Role.EDGE))
        if service.runs_at_most_once:
            self._observations.at_most_once.add(attempt_id)
        headers = [
            (b"X-Attempt-Id", attempt_id.encode()),
            (b"X-Deadline-Remaining", b"1500"),
            (b"X-Shard-Key", str(self._random.randrange(KEYS)).encode()),
            (b"X-Tenant-Name", self._random.choice(TENANTS).encode()),
            authorization(UNKNOWN_API_KEY if tenant is None else API_KEYS[tenant]),
        ]
        address = edge.ip, self._processes.network.port
        return await call(address, service.method, f"{service.path_prefix}{number}", body, headers)
