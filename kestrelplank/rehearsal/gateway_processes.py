"""The programs of a small gateway as processes on loopback, each on its own address 127.0.x.y."""

import asyncio
import contextlib
import random
import signal
import sys
from enum import Enum
from pathlib import Path
from typing import NamedTuple

import msgspec

from kestrelplank.rehearsal.loopback import PortReservations
from kestrelplank.rehearsal.simulated_platform import ZONE

STOP_TIMEOUT_S = 8.0  # for a process to end after SIGTERM
PLATFORM_HOST, FIRST_SERVER_HOST = 99, 100  # last octets of addresses


class Role(Enum):
    """The role of a process of the gateway. The values are commands of `kestrelplank.gateway`."""

    CONTROL = "control"
    EDGE = "edge"


class Machine(NamedTuple):
    """One process of the gateway: its role, address and settings file."""

    role: Role
    ip: str
    settings_path: Path


class LoopbackNetwork:
    """The addresses of one rehearsal, and their ports, which are reserved until they are released."""

    def __init__(self, machines: int) -> None:
        self._prefix = f"127.0.{random.SystemRandom().randrange(1, 250)}"
        self.machine_ips = [f"{self._prefix}.{number}" for number in range(1, 1 + machines)]
        self._reservations = PortReservations()
        self.port, self.internal_port, self.readiness_port = (
            self._reservations.reserve(self.machine_ips) for _ in range(3)
        )
        self.platform_address = self._address(PLATFORM_HOST)

    def server_address(self, number: int) -> tuple[str, int]:
        """Return an address for the server with that number, with a reserved port."""
        return self._address(FIRST_SERVER_HOST + number)

    def release_ports(self) -> None:
        """Release all ports, once all processes have ended."""
        self._reservations.release()

    def _address(self, host: int) -> tuple[str, int]:
        ip = f"{self._prefix}.{host}"
        return ip, self._reservations.reserve([ip])


class GatewayProcesses:
    """The gateway's machines and their running processes.

    :param folder: for settings files and the data of control members.
    :param log_level: of the processes.
    """

    def __init__(self, folder: Path, network: LoopbackNetwork, control_members: int, log_level: str) -> None:
        self._folder, self.network, self._log_level = folder, network, log_level
        ips = network.machine_ips
        self._seed_nodes = [f"{ip}:{network.port}" for ip in ips[:control_members]]
        roles = [Role.CONTROL if number < control_members else Role.EDGE for number in range(len(ips) - 1)]
        self.machines = [self._machine(role, ip, number) for number, (role, ip) in enumerate(zip(roles, ips))]
        self.replacement = self._machine(Role.CONTROL, ips[-1], len(roles))
        self._running: dict[Machine, asyncio.subprocess.Process] = {}

    def _machine(self, role: Role, ip: str, number: int) -> Machine:
        machine = Machine(role, ip, self._folder / f"{role.value}-{number}.toml")
        machine.settings_path.write_text(self._settings(machine))
        return machine

    def _settings(self, machine: Machine) -> str:
        network, name = self.network, machine.settings_path.stem
        if machine.role is Role.CONTROL:
            listen_addresses = f'control_plane = "{machine.ip}:{network.port}"'
        else:
            listen_addresses = f'frontend = "{machine.ip}:{network.port}"\n'
            listen_addresses += f'readiness = "{machine.ip}:{network.readiness_port}"'
        return f"""[local_system]
node_name = "{name}"
ip_address = "{machine.ip}"
zone = "{ZONE}"
initial_boot = true
data_directory = "{self._folder}/{name}"
[network]
internal_port_range = [{network.internal_port}, {network.internal_port}]
seed_nodes = {msgspec.json.encode(self._seed_nodes).decode()}
[network.listen_addresses]
{listen_addresses}
[platform.cloud_api]
address = "{network.platform_address[0]}:{network.platform_address[1]}"
"""

    def with_role(self, role: Role) -> list[Machine]:
        """Return all machines of that role, running or not, except the replacement."""
        return [machine for machine in self.machines if machine.role is role]

    def running(self, role: Role) -> list[Machine]:
        """Return the machines of that role whose process has been started and not stopped."""
        return [machine for machine in self._running if machine.role is role]

    def is_running(self, machine: Machine) -> bool:
        """Whether the machine's process has been started and not stopped."""
        return machine in self._running

    async def start(self, machine: Machine) -> None:
        """Start the machine's process."""
        self._running[machine] = await asyncio.create_subprocess_exec(*self.command(machine))

    def command(self, machine: Machine) -> list[str]:
        """Return the program and arguments of the machine's process."""
        program = [sys.executable, "-m", "kestrelplank.gateway", machine.role.value]
        return [*program, f"--settings={machine.settings_path}", f"--level={self._log_level}"]

    async def restart(self, machine: Machine) -> None:
        """Start the machine's process to join a gateway that already exists."""
        settings = machine.settings_path.read_text()
        changed = machine.settings_path.with_suffix(".new")
        changed.write_text(settings.replace("initial_boot = true", "initial_boot = false"))
        changed.replace(machine.settings_path)  # at once, as a process of this machine may be reading it
        await self.start(machine)

    def kill(self, machine: Machine) -> None:
        """End the machine's process at once."""
        self._signal(machine, signal.SIGKILL)

    def terminate(self, machine: Machine) -> None:
        """Shut the machine's process down gracefully."""
        self._signal(machine, signal.SIGTERM)

    def _signal(self, machine: Machine, number: signal.Signals) -> None:
        process = self._running.pop(machine)
        if process.returncode is None:
            process.send_signal(number)

    async def stop_all(self) -> None:
        """Shut all processes down gracefully, and wait for them for a limited time."""
        for machine, process in list(self._running.items()):
            self.terminate(machine)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
