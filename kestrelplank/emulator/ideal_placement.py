"""Placement with complete knowledge of the simulated state: an upper bound on the service for a script and a seed.

It reads which nodes run, their speed and warm-up and the load of each slice directly, and updates the tables of all
proxies at once, without channel, reports or node list. Clients, attempts of proxies, nodes and faults are those of
every simulation, so ops that are lost when a fault begins are lost here too.
"""

from collections.abc import Sequence

from kestrelplank.emulator.baseline_policies import IdlePolicy
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.simulation import Simulation
from kestrelplank.emulator.virtual_clock import Clock
from kestrelplank.time_units import MILLISECOND

INTERVAL_NS = 50 * MILLISECOND
REBALANCE_FACTOR = 1.25  # above this multiple of the mean load, slices are moved off the most loaded node
MAX_MOVES = 4  # of slices off loaded nodes, per interval
COLD_SHARE = 0.5  # a cold node is given at most this share of `fall_multiple` times its present capacity


class NodeLoads:
    """The load that is placed on each node, relative to its capacity.

    :param capacities: by node, at present; 0 for one that does not run.
    :param full_capacity: of a warm node without faults.
    """

    def __init__(
        self, capacities: Sequence[float], slice_work: Sequence[float], full_capacity: float, cold_multiple: float
    ) -> None:
        self.capacities, self.slice_work = capacities, slice_work
        self._full_capacity, self._cold_multiple = full_capacity, cold_multiple
        self.work = [0.0] * len(capacities)
        self.live = [node for node, capacity in enumerate(capacities) if capacity > 0]

    def load(self, node: int, extra_work: float = 0.0) -> float:
        """Return the node's work, with that much extra, divided by the work that may be placed on it.

        A cold node may be given more than its present capacity, which grows; the rule on cold nodes sets the limit.
        """
        capacity = self.capacities[node]
        if capacity < self._full_capacity:
            capacity = min(self._full_capacity, capacity * self._cold_multiple)
        return (self.work[node] + extra_work) / capacity

    def mean(self) -> float:
        """Return the mean load of the nodes that run."""
        return sum(map(self.load, self.live)) / len(self.live)

    def most_loaded(self) -> int:
        """Return the most loaded node that runs."""
        return max(self.live, key=lambda node: (self.load(node), -node))

    def least_loaded(self, extra_work: float = 0.0) -> int:
        """Return the running node that is the least loaded with that much extra work."""
        return min(self.live, key=lambda node: (self.load(node, extra_work), node))


class IdealPlacementSimulation(Simulation):
    """A site whose slices are placed with complete knowledge of its state."""

    def __init__(self, script: Script, seed: int, clock: Clock) -> None:
        super().__init__(script, seed, clock, IdlePolicy)

    def start(self) -> None:
        """Start the site and the placement of slices."""
        super().start()
        self.clock.at(self.clock.now(), self._place)

    def _place(self) -> None:
        now = self.clock.now()
        self.clock.at(now + INTERVAL_NS, self._place)
        if now >= self.environment.ends_at:
            return
        node_loads = self._measure(now)
        if node_loads.live:
            self._place_lost_slices(node_loads)
            self._rebalance(node_loads)

    def _measure(self, now: int) -> NodeLoads:
        kind = self.script.node_kind
        capacities = [self._capacity(node, now) for node in range(len(self.environment.nodes))]
        node_loads = NodeLoads(
            capacities, self.load.work_per_slice(now), kind.cores * kind.speed, kind.fall_multiple * COLD_SHARE
        )
        for slice_ in range(self.script.site.slices):
            node = self._node_of(slice_)
            if node is not None:
                node_loads.work[node] += node_loads.slice_work[slice_]
        return node_loads

    def _capacity(self, number: int, now: int) -> float:
        node, kind = self.environment.nodes[number], self.script.node_kind
        if node.down or node.silent:
            return 0.0
        return kind.cores * kind.speed * node.capacity_share(now) / node.faults.effective_slowdown()

    def _node_of(self, slice_: int) -> int | None:
        return next(iter(self.store.weights[slice_]), None)

    def _place_lost_slices(self, node_loads: NodeLoads) -> None:
        """Move slices off nodes that don't run, those with the most work first."""
        for slice_ in sorted(range(self.script.site.slices), key=lambda slice_: -node_loads.slice_work[slice_]):
            node = self._node_of(slice_)
            if node is None or node_loads.capacities[node] <= 0:
                self._move(slice_, node_loads.least_loaded(node_loads.slice_work[slice_]), node_loads)

    def _rebalance(self, node_loads: NodeLoads) -> None:
        """Move slices off the most loaded node while it is far above the mean."""
        for _ in range(MAX_MOVES):
            most_loaded, mean = node_loads.most_loaded(), node_loads.mean()
            slices = [slice_ for slice_ in range(self.script.site.slices) if self._node_of(slice_) == most_loaded]
            if node_loads.load(most_loaded) <= REBALANCE_FACTOR * mean or len(slices) <= 1:
                return
            target = node_loads.least_loaded()
            fitting = [
                slice_
                for slice_ in slices
                if node_loads.load(target, node_loads.slice_work[slice_]) < node_loads.load(most_loaded)
            ]
            if not fitting:
                return
            self._move(
                min(fitting, key=lambda slice_: self._distance(slice_, target, mean, node_loads)), target, node_loads
            )

    @staticmethod
    def _distance(slice_: int, target: int, mean: float, node_loads: NodeLoads) -> tuple[float, int]:
        """Return how far from the mean load the target would be with the slice."""
        return abs(node_loads.load(target, node_loads.slice_work[slice_]) - mean), slice_

    def _move(self, slice_: int, node: int, node_loads: NodeLoads) -> None:
        old = self._node_of(slice_)
        if old is not None:
            node_loads.work[old] -= node_loads.slice_work[slice_]
        node_loads.work[node] += node_loads.slice_work[slice_]
        self.store.moves += 1
        self.store.weights[slice_] = {node: 1.0}
        for proxy in self.proxies:
            if proxy.alive:
                self._update_table(proxy, slice_)

    def _update_table(self, proxy: EmulatedProxy, slice_: int) -> None:
        proxy.tables.set_table(slice_, self.store.owner[slice_] or 0, self.store.weights[slice_])
        proxy.call_when_resumed(lambda: proxy.tables_changed([slice_]))
