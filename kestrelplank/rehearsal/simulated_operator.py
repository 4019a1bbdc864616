"""The operator of the small gateway: it sends a configuration and queries the status of members."""

import asyncio
from http import HTTPStatus

import msgspec

from kestrelplank.control.status import MemberStatus
from kestrelplank.rehearsal.gateway_processes import GatewayProcesses, Machine, Role
from kestrelplank.rehearsal.loopback import HOST_NAME, call
from kestrelplank.rehearsal.services import SERVICES, RehearsedService
from kestrelplank.rehearsal.tenants import API_KEYS

CONFIGURE_ATTEMPTS, CONFIGURE_INTERVAL_S = 60, 0.2


def route(service: RehearsedService) -> dict[str, str | int | float]:
    """Return the route to that service as it stands in the configuration."""
    return {
        "name": service.name,
        "path_prefix": service.path_prefix,
        "route_type": service.route_type,
        "timeout_s": 1.5,
        "target_latency_s": 0.5,
        "priority": 1,
        "target_service": service.name,
        "max_attempts": 2,
    }


class SimulatedOperator:
    """Calls the control members of a rehearsal."""

    def __init__(self, processes: GatewayProcesses) -> None:
        self._processes = processes

    async def configure(self, version: int) -> bool:
        """Send the configuration with that version until a member accepts it; return whether one has."""
        configuration = msgspec.json.encode(
            {
                "config_version": f"{version:08x}",
                "service_table": [{"name": service.name, "sharded": service.is_sharded} for service in SERVICES],
                "tenants": [{"name": tenant, "api_keys": [api_key]} for tenant, api_key in API_KEYS.items()],
                "virtual_hosts": [{"host_name": HOST_NAME, "host_routes": [route(service) for service in SERVICES]}],
            }
        )
        for _ in range(CONFIGURE_ATTEMPTS):
            for machine in self._processes.with_role(Role.CONTROL):
                if self._processes.is_running(machine):
                    address = machine.ip, self._processes.network.port
                    answer = await call(address, "POST", "/api/configuration/replace", configuration)
                    if answer is not None and answer.status == HTTPStatus.OK:
                        return True
            await asyncio.sleep(CONFIGURE_INTERVAL_S)
        return False

    async def status(self, machine: Machine) -> MemberStatus | None:
        """Return the status of that control member, None if it does not answer."""
        answer = await call((machine.ip, self._processes.network.port), "GET", "/api/status")
        if answer is None or answer.status != HTTPStatus.OK:
            return None
        return msgspec.json.decode(answer.body, type=MemberStatus)

    async def assigns_shards(self, machine: Machine) -> bool:
        """Whether that member assigns the keys of a service."""
        status = await self.status(machine)
        return status is not None and any(service.assigned_here for service in status.services.values())

    async def is_current(self, machine: Machine) -> bool:
        """Whether that member has all committed entries."""
        status = await self.status(machine)
        return status is not None and status.current

    async def is_voter(self, machine: Machine) -> bool:
        """Whether that member is a voter, and has all committed entries."""
        status = await self.status(machine)
        return status is not None and status.current and status.member in status.voters
