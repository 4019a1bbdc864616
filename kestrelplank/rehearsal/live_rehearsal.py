"""The same site over real sockets and in real time: nodes behind HTTP/1.1 on loopback, assigners as processes.

Proxies, clients, the store and its channels, discovery and the faults are those of `emulator/simulation.py`. Attempts
travel over kept connections. Delays between zones are waited for.
"""

import tempfile
from collections.abc import Callable
from pathlib import Path

from kestrelplank.emulator.assigners import Assigner
from kestrelplank.emulator.network import EmulatedNetwork
from kestrelplank.emulator.rehearsal import report
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.simulation import Simulation
from kestrelplank.rehearsal.assigner_process import AssignerProcess
from kestrelplank.rehearsal.live_network import LiveNetwork
from kestrelplank.rehearsal.node_server import NodeServer
from kestrelplank.rehearsal.stub_server import SocketKit
from kestrelplank.sockets.loop import Loop
from kestrelplank.time_units import MILLISECOND

PROGRESS_INTERVAL_NS = 200 * MILLISECOND


class LiveSimulation(Simulation):
    """A site on loopback.

    :param folder: for the assigners' settings files.
    """

    def __init__(self, script: Script, seed: int, kit: SocketKit, folder: Path) -> None:
        self._kit, self._folder = kit, folder
        self.processes: list[AssignerProcess] = []
        super().__init__(script, seed, kit.loop)

    def make_network(self) -> EmulatedNetwork:
        """Make the network, and a server for each node."""
        self._live_network = LiveNetwork(self.environment, self.store, self.clients, self._kit)
        self._live_network.servers += [
            NodeServer(self.environment, self._kit, node, self._live_network) for node in range(self.script.site.nodes)
        ]
        return self._live_network

    def make_assigner(self, number: int) -> Assigner:
        """Make an assigner that is a process."""
        process = AssignerProcess(
            self.environment,
            number,
            self._kit,
            self.store,
            self.load,
            self.proxies,
            self._live_network.addresses,
            self._folder,
        )
        self.processes.append(process)
        return process

    def close(self) -> None:
        """End all processes, connections and servers."""
        for process in self.processes:
            process.close()
        self._live_network.close()


def play(script: Script, seed: int, on_progress: Callable[[float], None] = lambda _share: None) -> dict[str, object]:
    """Play a script in real time and return its report. Everything it started has ended by then."""
    kit = SocketKit()
    with tempfile.TemporaryDirectory() as folder:
        simulation = LiveSimulation(script, seed, kit, Path(folder))
        try:
            simulation.play(lambda until: _run(kit.loop, until), PROGRESS_INTERVAL_NS, on_progress)
            found = report(simulation, "live")
        finally:
            simulation.close()
            kit.loop.close()
    logs = [log for process in simulation.processes for log in process.logs]
    found["defects"] = sum(log.count(b"event=defects") for log in logs)
    return found


def _run(loop: Loop, until: int) -> None:
    """Let the loop turn until that instant."""
    loop.at(until, lambda: None)
    while loop.now() < until:
        loop.run_once()
