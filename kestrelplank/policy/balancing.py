"""The ordinary balancing pass. Mirador paper: greedy solver, a single pass, costliest first.

Departures: new nodes get slices and hot slices get more endpoints before slices move, the number of moves in a pass is
limited, and differences that are within statistical noise cause no move.
"""

from collections.abc import Iterable

from kestrelplank.interface import SECOND
from kestrelplank.policy.fleet_load import FleetLoad
from kestrelplank.policy.parameters import BALANCE_TOLERANCE, LOAD_PERIODS, MOVES_DIVISOR, SIGNIFICANT_DEVIATIONS
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState


def balance(state: AssignerState, now: int) -> None:
    """Run one pass if loads are known."""
    fleet = FleetLoad(state, now)
    if now >= state.moves_allowed_at and fleet.weights:
        balancing = BalancingPass(state, now, fleet)
        balancing.fill_new_nodes()
        if not state.settings.exclusive_slices:
            balancing.adjust_endpoint_counts()
        balancing.move_slices()


class BalancingPass:
    """One pass, which updates loads and levels with every move.

    `levels`: each node's load divided by its weight. `mean`: their mean. `ceiling`: the level above which slices move.
    """

    def __init__(self, state: AssignerState, now: int, fleet: FleetLoad) -> None:
        self._state, self._now, self._fleet = state, now, fleet
        self.levels = {index: fleet.loads[index] / weight for index, weight in fleet.weights.items()}
        self.mean = sum(self.levels.values()) / len(self.levels)
        mean_load = sum(fleet.loads[index] for index in fleet.weights) / len(fleet.weights)
        ops = max(1.0, mean_load * state.load_window_ns / SECOND)
        self.ceiling = self.mean * (1 + max(BALANCE_TOLERANCE, SIGNIFICANT_DEVIATIONS / ops**0.5))
        self._slice_loads = {owned.number: owned.load(state.period_ns) for owned in state.slices.values()}

    def _fits(self, load: float, index: int, max_level: float) -> bool:
        """Whether, with this load added, a node stays within its own limit and its level within `max_level`."""
        fleet = self._fleet
        if fleet.loads[index] + load > fleet.limits[index]:
            return False
        return self.levels[index] + load / fleet.weights[index] <= max_level

    def _least_loaded(self, load: float, nodes: Iterable[int]) -> int | None:
        """Return the least loaded of the nodes that stay below the ceiling with this load added; None if none does."""
        levels, weights = self.levels, self._fleet.weights
        candidates = [index for index in nodes if self._fits(load, index, self.ceiling)]
        return min(candidates, key=lambda index: levels[index] + load / weights[index], default=None)

    def _add_endpoint(self, owned: Slice, load: float, target: int) -> None:
        owned.desired[target] = 1.0
        self._fleet.loads[target] += load
        self.levels[target] += load / self._fleet.weights[target]

    def _remove_endpoint(self, owned: Slice, load: float, source: int) -> None:
        """Remove an endpoint and lower its node's level; `_move` in contrast counts a slice on both nodes."""
        del owned.desired[source]
        self.levels[source] -= load / self._fleet.weights[source]

    def fill_new_nodes(self) -> None:
        """Move one endpoint to each new node: from the most loaded node, the busiest that fits below the mean."""
        nodes = self._state.nodes
        new = sorted((index for index in self.levels if nodes[index].awaiting_load), key=self.levels.__getitem__)
        candidates = self._endpoints_above_mean() if new else []
        for index in new:
            nodes[index].awaiting_load = self.levels[index] < self.mean * (1 - BALANCE_TOLERANCE)
            if nodes[index].awaiting_load:
                self._fill(index, candidates)

    def _endpoints_above_mean(self) -> list[tuple[float, int, Slice]]:
        """Return load, node and slice of endpoints on nodes above the mean, those of the most loaded nodes first."""
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

    def adjust_endpoint_counts(self) -> None:
        """Add an endpoint to slices too busy for their node, and remove one from slices that no longer need several."""
        for owned in self._state.slices.values():
            node = owned.first_node()
            if node is None or node not in self.levels:
                continue
            load, endpoints = self._slice_loads[owned.number], len(owned.desired)
            share_of_mean = load / (self.mean * self._fleet.weights[node]) if self.mean else 0
            threshold = self._state.hot_slice_threshold
            can_add = endpoints < self._state.max_endpoints and share_of_mean > threshold * (2 * endpoints - 1)
            if can_add and self.levels[node] > self.ceiling:
                self._add_another_endpoint(owned, load / (endpoints + 1))
            elif endpoints > 1 and share_of_mean < threshold / 2:
                self._remove_most_loaded_endpoint(owned, load / endpoints)

    def _add_another_endpoint(self, owned: Slice, load: float) -> None:
        target = self._least_loaded(load, [index for index in self.levels if index not in owned.desired])
        if target is not None:
            self._add_endpoint(owned, load, target)

    def _remove_most_loaded_endpoint(self, owned: Slice, load: float) -> None:
        """Remove the endpoint on the most loaded node if that node is above the ceiling; otherwise keep it."""
        most_loaded = max(owned.desired, key=lambda index: self.levels.get(index, 0))
        if self.levels.get(most_loaded, 0) > self.ceiling:
            self._remove_endpoint(owned, load, most_loaded)

    def move_slices(self) -> None:
        """Move slices off nodes above the ceiling, costliest first, up to the limit of moves in a pass."""
        remaining = max(1, len(self._state.slices) // MOVES_DIVISOR)
        for source, owned in self._slices_above_ceiling():
            if not remaining:
                return
            remaining -= self._move(source, owned)

    def _slices_above_ceiling(self) -> list[tuple[int, Slice]]:
        """Return node and slice, most loaded nodes and busiest slices first; only slices with one endpoint move."""
        movable = [
            (next(iter(owned.desired)), owned)
            for owned in self._state.slices.values()
            if len(owned.desired) == 1 and self.levels.get(next(iter(owned.desired)), 0) > self.ceiling
        ]
        levels, loads = self.levels, self._slice_loads
        movable.sort(key=lambda entry: (-levels[entry[0]], -loads[entry[1].number], entry[1].number))
        return movable

    def _move(self, source: int, owned: Slice) -> bool:
        """Move one slice to the least loaded node that stays below the ceiling; return whether it moved."""
        nodes, now, load = self._state.nodes, self._now, self._slice_loads[owned.number]
        drops_below_mean = self.levels[source] - load / self._fleet.weights[source] < self.mean
        if now < nodes[source].moves_allowed_at or drops_below_mean:
            return False
        target = self._least_loaded(
            load, [index for index in self.levels if index != source and now >= nodes[index].moves_allowed_at]
        )
        if target is None:
            return False
        del owned.desired[source]
        self._add_endpoint(owned, load, target)
        self._delay_moves(source)
        self._delay_moves(target)
        return True

    def _delay_moves(self, index: int) -> None:
        """Keep a node out of further moves until reports show this one; a warming node waits for only one second."""
        node = self._state.nodes[index]
        warming_up = self._state.capacity_share(node, self._now) < 1.0
        node.moves_allowed_at = self._now + SECOND + (0 if warming_up else LOAD_PERIODS * self._state.period_ns)
