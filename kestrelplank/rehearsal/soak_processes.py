"""The processes of a soak: with logs in files, signals of all kinds, and ends that were not asked for."""

import asyncio
import contextlib
import signal
from pathlib import Path

import msgspec

from kestrelplank.rehearsal.gateway_processes import GatewayProcesses, LoopbackNetwork, Machine, Role
from kestrelplank.rehearsal.soak_records import Disturbance, ProcessEnd, SoakRecords
from kestrelplank.rehearsal.soak_script import SoakForm
from kestrelplank.rehearsal.soak_terms import BOUNDS

DUTY_RATE_PER_S = 5
HANDLER_TIMEOUT_S, HANDLER_POLL_S = 5.0, 0.02
SIGNAL_MASKS = ("SigIgn:", "SigCgt:")  # lines of /proc/PID/status


class SoakProcesses(GatewayProcesses):
    """The processes of the gateway, by machine."""

    def __init__(self, folder: Path, network: LoopbackNetwork, form: SoakForm, records: SoakRecords) -> None:
        self.logs = folder / "logs"
        self.logs.mkdir()
        super().__init__(folder, network, form.members, "INFO")
        self.by_name = {machine.settings_path.stem: machine for machine in self.machines}
        self._records = records
        self._processes: dict[Machine, asyncio.subprocess.Process] = {}  # the newest of each machine
        self._started: list[asyncio.subprocess.Process] = []
        self._starting: set[Machine] = set()
        self._watching: dict[Machine, asyncio.Task[None]] = {}
        self._asked_to_end: set[int] = set()  # ids of processes
        for machine in self.machines:
            self._extend_settings(machine)

    def _extend_settings(self, machine: Machine) -> None:
        """Add usage reports and the platform's bounds to the settings file."""
        bounds = msgspec.to_builtins(BOUNDS)
        lines = [f"{name} = {msgspec.json.encode(value).decode()}" for name, value in bounds.items()]
        duties = f'duties = ["usage_report"]\nduty_rate_s = {DUTY_RATE_PER_S}\n'
        text = machine.settings_path.read_text() + duties + "[policy_terms.bounds]\n" + "\n".join(lines) + "\n"
        machine.settings_path.write_text(text)

    def is_running(self, machine: Machine) -> bool:
        """Whether the machine's process runs; it may be frozen."""
        process = self._processes.get(machine)
        return process is not None and process.returncode is None

    def accepting(self, role: Role) -> list[Machine]:
        """Return the machines of that role whose process runs."""
        return [machine for machine in self.with_role(role) if self.is_running(machine)]

    async def start(self, machine: Machine) -> None:
        """Start the machine's process unless it runs; faults that overlap may both want it back."""
        if self.is_running(machine) or machine in self._starting:
            return
        self._starting.add(machine)
        try:
            process = await self._start_process(machine)
        finally:
            self._starting.discard(machine)
        self._started.append(process)
        self._processes[machine] = self._running[machine] = process
        self._watching[machine] = asyncio.create_task(self._watch(machine, process))

    async def _start_process(self, machine: Machine) -> asyncio.subprocess.Process:
        """Start a process, with its log appended to a file."""
        with (self.logs / f"{machine.settings_path.stem}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(*self.command(machine), stdout=log, stderr=log)

    async def _watch(self, machine: Machine, process: asyncio.subprocess.Process) -> None:
        """Record an end that was not asked for."""
        exit_code = await process.wait()
        if process.pid not in self._asked_to_end:
            name = machine.settings_path.stem
            self._records.process_ends.append(ProcessEnd(name, self._records.now(), exit_code))
            self._records.disturb(name, "ended")

    def send(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the machine's process, if it runs."""
        process = self._processes.get(machine)
        if process is None or process.returncode is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._asked_to_end.add(process.pid)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def wait_for_handler(self, machine: Machine, number: signal.Signals) -> None:
        """Wait, for a limited time, until the process handles the signal: none can while its interpreter starts."""
        until = self._records.now() + HANDLER_TIMEOUT_S
        while self._records.now() < until and self.is_running(machine):
            if _handles(self._processes[machine].pid, number):
                return
            await asyncio.sleep(HANDLER_POLL_S)

    def rewrite_settings(self, machine: Machine) -> None:
        """Change the settings file, as an update of the platform does, without a change of meaning."""
        with machine.settings_path.open("a") as file:
            file.write("# read again\n")

    async def wait_for_end(self, machine: Machine, timeout_s: float) -> bool:
        """Wait until the machine's process has ended; return whether it has in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._processes[machine].wait()
        except TimeoutError:
            return False
        return True

    async def stop_all(self) -> None:
        """End all processes: in order, and by force after the grace period."""
        for machine in self._processes:
            self.send(machine, signal.SIGCONT)
            self.send(machine, signal.SIGTERM)
        await asyncio.gather(*(self.wait_for_end(machine, BOUNDS.grace_s + 1) for machine in self._processes))
        self.kill_all()
        await asyncio.gather(*(process.wait() for process in self._started))

    def kill_all(self) -> None:
        """End all processes at once."""
        for process in self._started:
            if process.returncode is None:
                self._asked_to_end.add(process.pid)
                with contextlib.suppress(ProcessLookupError):
                    process.kill()

    def process_ids(self) -> list[int]:
        """Return the ids of the processes that run."""
        return [process.pid for process in self._started if process.returncode is None]

    def disturb(self, machine: Machine, kind: str) -> Disturbance:
        """Record the beginning of trouble or of planned work on a machine."""
        return self._records.disturb(machine.settings_path.stem, kind)


def _handles(process_id: int, number: signal.Signals) -> bool:
    """Whether the process handles or ignores the signal."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(SIGNAL_MASKS)]
    return any(mask >> (number - 1) & 1 for mask in masks)
