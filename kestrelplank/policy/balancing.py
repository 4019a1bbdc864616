"""The ordinary balancing pass. Paper: greedy solver, a single pass, costliest first.

Departures: fresh nodes are filled and hot slices split before slices move, a batch of moves is capped, and a difference
that chance alone may have made moves nothing.
"""

from collections.abc import Iterable

from kestrelplank.interface import SECOND
from kestrelplank.policy.fleet_load import FleetLoad
from kestrelplank.policy.parameters import BAND, CHANCE_DEVIATIONS, MOVES_DIVISOR, PERIODS
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState


def balance(state: AssignerState, now: int) -> None:
    """Run one pass, where loads are known."""
    fleet = FleetLoad(state, now)
    if now >= state.moves_from_at and fleet.weights:
        balancing = BalancingPass(state, now, fleet)
        balancing.fill_fresh_nodes()
        if not state.settings.exclusive_slices:
            balancing.split_and_join_slices()
        balancing.move_slices()


class BalancingPass:
    """One pass, which keeps account of every move it makes.

    `levels` is a node's load for its weight, `mean` the mean of these, `ceiling` the level above which slices move.
    """

    def __init__(self, state: AssignerState, now: int, fleet: FleetLoad) -> None:
        self._state, self._now, self._fleet = state, now, fleet
        self.levels = {index: fleet.loads[index] / weight for index, weight in fleet.weights.items()}
        self.mean = sum(self.levels.values()) / len(self.levels)
        mean_load = sum(fleet.loads[index] for index in fleet.weights) / len(fleet.weights)
        ops = max(1.0, mean_load * state.load_window_ns / SECOND)
        self.ceiling = self.mean * (1 + max(BAND, CHANCE_DEVIATIONS / ops**0.5))
        self._slice_loads = {owned.number: owned.load(state.period_ns) for owned in state.slices.values()}

    def _fits(self, load: float, index: int, limit: float) -> bool:
        """Whether a node with this load added stays within its own limit, and below this level."""
        fleet = self._fleet
        if fleet.loads[index] + load > fleet.limits[index]:
            return False
        return self.levels[index] + load / fleet.weights[index] <= limit

    def _least_loaded(self, load: float, nodes: Iterable[int]) -> int | None:
        """Return the least loaded of the nodes that with this load added stay below the ceiling."""
        levels, weights = self.levels, self._fleet.weights
        fitting = [index for index in nodes if self._fits(load, index, self.ceiling)]
        return min(fitting, key=lambda index: levels[index] + load / weights[index], default=None)

    def _add_endpoint(self, owned: Slice, load: float, target: int) -> None:
        owned.desired[target] = 1.0
        self._fleet.loads[target] += load
        self.levels[target] += load / self._fleet.weights[target]

    def _remove_endpoint(self, owned: Slice, load: float, source: int) -> None:
        """Remove an endpoint and lower its node's level; `_move` instead lets a slice count on both nodes."""
        del owned.desired[source]
        self.levels[source] -= load / self._fleet.weights[source]

    def fill_fresh_nodes(self) -> None:
        """Give each fresh node the hottest endpoint that keeps it below the mean, from the fullest node with one."""
        nodes = self._state.nodes
        fresh = sorted((index for index in self.levels if nodes[index].filling), key=self.levels.__getitem__)
        candidates = self._endpoints_above_mean() if fresh else []
        for index in fresh:
            nodes[index].filling = self.levels[index] < self.mean * (1 - BAND)
            if nodes[index].filling:
                self._fill(index, candidates)

    def _endpoints_above_mean(self) -> list[tuple[float, int, Slice]]:
        """Return load, node and slice of endpoints on nodes above the mean, of the fullest nodes first."""
        endpoints = [
            (self.levels[index], self._slice_loads[owned.number] / len(owned.desired), index, owned)
            for owned in self._state.slices.values()
            for index in owned.desired
            if self.levels.get(index, 0) > self.mean
        ]
        endpoints.sort(key=lambda endpoint: (-endpoint[0], -endpoint[1], endpoint[3].number))
        return [endpoint[1:] for endpoint in endpoints]

    def _fill(self, target: int, candidates: list[tuple[float, int, Slice]]) -> None:
        for load, source, owned in candidates:
            if source not in owned.desired or target in owned.desired or self.levels[source] <= self.mean:
                continue
            if self._fits(load, target, self.mean):
                self._remove_endpoint(owned, load, source)
                self._add_endpoint(owned, load, target)
                return

    def split_and_join_slices(self) -> None:
        """Give a slice that pins its node another endpoint, and take one from a split slice that has cooled."""
        for owned in self._state.slices.values():
            node = owned.first_node()
            if node is None or node not in self.levels:
                continue
            load, endpoints = self._slice_loads[owned.number], len(owned.desired)
            part_of_mean = load / (self.mean * self._fleet.weights[node]) if self.mean else 0
            threshold = self._state.split_threshold
            splittable = endpoints < self._state.most_endpoints and part_of_mean > threshold * (2 * endpoints - 1)
            if splittable and self.levels[node] > self.ceiling:
                self._split(owned, load / (endpoints + 1))
            elif endpoints > 1 and part_of_mean < threshold / 2:
                self._join(owned, load / endpoints)

    def _split(self, owned: Slice, load: float) -> None:
        target = self._least_loaded(load, [index for index in self.levels if index not in owned.desired])
        if target is not None:
            self._add_endpoint(owned, load, target)

    def _join(self, owned: Slice, load: float) -> None:
        """Take the endpoint on the fullest node away, if that is above the ceiling; else it may stay."""
        fullest = max(owned.desired, key=lambda index: self.levels.get(index, 0))
        if self.levels.get(fullest, 0) > self.ceiling:
            self._remove_endpoint(owned, load, fullest)

    def move_slices(self) -> None:
        """Move slices off nodes above the ceiling, costliest first, in a capped batch."""
        remaining = max(1, len(self._state.slices) // MOVES_DIVISOR)
        for source, owned in self._slices_above_ceiling():
            if not remaining:
                return
            remaining -= self._move(source, owned)

    def _slices_above_ceiling(self) -> list[tuple[int, Slice]]:
        """Return node and slice, of the fullest nodes and the hottest slices first; split slices stay."""
        movable = [
            (next(iter(owned.desired)), owned)
            for owned in self._state.slices.values()
            if len(owned.desired) == 1 and self.levels.get(next(iter(owned.desired)), 0) > self.ceiling
        ]
        levels, loads = self.levels, self._slice_loads
        movable.sort(key=lambda entry: (-levels[entry[0]], -loads[entry[1].number], entry[1].number))
        return movable

    def _move(self, source: int, owned: Slice) -> bool:
        """Move one slice to the least loaded node that stays below the ceiling; return whether there was one."""
        nodes, now, load = self._state.nodes, self._now, self._slice_loads[owned.number]
        below_mean_without = self.levels[source] - load / self._fleet.weights[source] < self.mean
        if now < nodes[source].settled_at or below_mean_without:
            return False
        target = self._least_loaded(
            load, [index for index in self.levels if index != source and now >= nodes[index].settled_at]
        )
        if target is None:
            return False
        del owned.desired[source]
        self._add_endpoint(owned, load, target)
        self._settle(source)
        self._settle(target)
        return True

    def _settle(self, index: int) -> None:
        """Let a node take part in no move until reports show this one; a cold node can't wait for so many."""
        node = self._state.nodes[index]
        cold = self._state.capacity_share(node, self._now) < 1.0
        node.settled_at = self._now + SECOND + (0 if cold else PERIODS * self._state.period_ns)
