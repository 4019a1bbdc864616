"""What a placement reaches that knows the truth: the upper mark for a script and a seed.

It sees at once which nodes run, how fast and how warm they are and what each slice asks for, and changes all proxies'
tables on the spot, with no channel, no reports and no list between. Clients, proxies' attempts, nodes and faults are
the same as ever, so what is lost at the moment of a fault is lost here too.
"""

from collections.abc import Sequence

from kestrelplank.emulator.baseline_policies import IdlePolicy
from kestrelplank.emulator.proxies import EmulatedProxy
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.simulation import Simulation
from kestrelplank.emulator.virtual_clock import Clock
from kestrelplank.time_units import MILLISECOND

INTERVAL_NS = 50 * MILLISECOND
REBALANCE_FACTOR = 1.25  # over the mean, from which a slice leaves the fullest node
MAX_MOVES = 4  # for load, at a time
COLD_SHARE = 0.5  # of the overload multiple, that a cold node is given at the most


class NodeFills:
    """How much of its capacity each node is given.

    :param capacities: by node, as they are at present; 0 for one that does not run.
    :param full_capacity: of a warm node without faults.
    """

    def __init__(
        self, capacities: Sequence[float], slice_work: Sequence[float], full_capacity: float, cold_multiple: float
    ) -> None:
        self.capacities, self.slice_work = capacities, slice_work
        self._full_capacity, self._cold_multiple = full_capacity, cold_multiple
        self.work = [0.0] * len(capacities)
        self.live = [node for node, capacity in enumerate(capacities) if capacity > 0]

    def fill(self, node: int, more: float = 0.0) -> float:
        """Return the node's work, and so much more, over what it may be given.

        A cold node may be asked for more than it does by now, as it grows; the rule on cold nodes is the limit.
        """
        capacity = self.capacities[node]
        if capacity < self._full_capacity:
            capacity = min(self._full_capacity, capacity * self._cold_multiple)
        return (self.work[node] + more) / capacity

    def mean(self) -> float:
        """Return the mean fill of nodes that run."""
        return sum(map(self.fill, self.live)) / len(self.live)

    def fullest(self) -> int:
        """Return the fullest node that runs."""
        return max(self.live, key=lambda node: (self.fill(node), -node))

    def emptiest(self, more: float = 0.0) -> int:
        """Return the node that runs and is the least full with so much more."""
        return min(self.live, key=lambda node: (self.fill(node, more), node))


class IdealPlacementSimulation(Simulation):
    """A site whose slices are placed by who knows the truth."""

    def __init__(self, script: Script, seed: int, clock: Clock) -> None:
        super().__init__(script, seed, clock, IdlePolicy)

    def start(self) -> None:
        """Start the site, and place slices from now on."""
        super().start()
        self.clock.at(self.clock.now(), self._place)

    def _place(self) -> None:
        now = self.clock.now()
        self.clock.at(now + INTERVAL_NS, self._place)
        if now >= self.environment.ends_at:
            return
        fills = self._measure(now)
        if fills.live:
            self._place_lost_slices(fills)
            self._rebalance(fills)

    def _measure(self, now: int) -> NodeFills:
        kind = self.script.node_kind
        capacities = [self._capacity(node, now) for node in range(len(self.environment.nodes))]
        fills = NodeFills(
            capacities, self.load.work_per_slice(now), kind.cores * kind.speed, kind.fall_multiple * COLD_SHARE
        )
        for slice_ in range(self.script.site.slices):
            node = self._node_of(slice_)
            if node is not None:
                fills.work[node] += fills.slice_work[slice_]
        return fills

    def _capacity(self, number: int, now: int) -> float:
        node, kind = self.environment.nodes[number], self.script.node_kind
        if node.down or node.silent:
            return 0.0
        return kind.cores * kind.speed * node.capacity_share(now) / node.faults.effective_slowdown()

    def _node_of(self, slice_: int) -> int | None:
        return next(iter(self.store.weights[slice_]), None)

    def _place_lost_slices(self, fills: NodeFills) -> None:
        """Move slices off nodes that don't run, those of most work first."""
        for slice_ in sorted(range(self.script.site.slices), key=lambda slice_: -fills.slice_work[slice_]):
            node = self._node_of(slice_)
            if node is None or fills.capacities[node] <= 0:
                self._move(slice_, fills.emptiest(fills.slice_work[slice_]), fills)

    def _rebalance(self, fills: NodeFills) -> None:
        """Move slices off the fullest node while it is far over the mean."""
        for _ in range(MAX_MOVES):
            fullest, mean = fills.fullest(), fills.mean()
            slices = [slice_ for slice_ in range(self.script.site.slices) if self._node_of(slice_) == fullest]
            if fills.fill(fullest) <= REBALANCE_FACTOR * mean or len(slices) <= 1:
                return
            target = fills.emptiest()
            fitting = [
                slice_ for slice_ in slices if fills.fill(target, fills.slice_work[slice_]) < fills.fill(fullest)
            ]
            if not fitting:
                return
            self._move(min(fitting, key=lambda slice_: self._distance(slice_, target, mean, fills)), target, fills)

    @staticmethod
    def _distance(slice_: int, target: int, mean: float, fills: NodeFills) -> tuple[float, int]:
        """Return how far from the mean the slice would bring the target."""
        return abs(fills.fill(target, fills.slice_work[slice_]) - mean), slice_

    def _move(self, slice_: int, node: int, fills: NodeFills) -> None:
        old = self._node_of(slice_)
        if old is not None:
            fills.work[old] -= fills.slice_work[slice_]
        fills.work[node] += fills.slice_work[slice_]
        self.store.moves += 1
        self.store.weights[slice_] = {node: 1.0}
        for proxy in self.proxies:
            if proxy.alive:
                self._update_table(proxy, slice_)

    def _update_table(self, proxy: EmulatedProxy, slice_: int) -> None:
        proxy.tables.set_table(slice_, self.store.owner[slice_] or 0, self.store.weights[slice_])
        proxy.when_awake(lambda: proxy.tables_changed([slice_]))
