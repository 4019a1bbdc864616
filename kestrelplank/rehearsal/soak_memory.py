"""The memory of a soak's processes."""

import asyncio
from pathlib import Path

from kestrelplank.rehearsal.soak_processes import SoakProcesses

INTERVAL_S = 2.0
PROPORTIONAL_SET_SIZE = "Pss:"


class MemoryWatch:
    """Measures the memory of all processes together; `max_mb` is the most that was seen."""

    def __init__(self, processes: SoakProcesses) -> None:
        self._processes, self.max_mb = processes, 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            total_kb = sum(_memory_kb(process_id) for process_id in self._processes.process_ids())
            self.max_mb = max(self.max_mb, round(total_kb / 1024, 1))
            await asyncio.sleep(INTERVAL_S)


def _memory_kb(process_id: int) -> int:
    """Return the memory of a process with its part of what it shares; 0 if it has ended."""
    try:
        text = Path(f"/proc/{process_id}/smaps_rollup").read_text()
    except OSError:
        return 0
    return next((int(line.split()[1]) for line in text.splitlines() if line.startswith(PROPORTIONAL_SET_SIZE)), 0)
