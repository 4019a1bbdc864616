"""The load of a script: how many ops clients request over time, of which op types and for which slices."""

from bisect import bisect
from itertools import accumulate
from math import log, sqrt
from random import Random

from kestrelplank.emulator.client_op import ClientOp
from kestrelplank.emulator.script import Script
from kestrelplank.time_units import SECOND


def lognormal_parameters(mean: float, spread: float) -> tuple[float, float]:
    """Return mean and standard deviation of the logarithm of a value whose deviation is `spread` times its mean."""
    sigma = sqrt(log(1 + spread * spread))
    return log(mean) - sigma * sigma / 2, sigma


class LoadProfile:
    """The load over time; the share of each slice is drawn once, by `draw_slices`."""

    def __init__(self, script: Script, started_at: int) -> None:
        self._script, self._started_at = script, started_at
        op_types = list(script.op_types.values())
        self._cumulative_shares = list(accumulate(op_type.share for op_type in op_types))
        self._work = [lognormal_parameters(op_type.work, op_type.spread) for op_type in op_types]
        self._mean_work_ns = sum(op_type.share * op_type.work for op_type in op_types)
        capacity = script.site.nodes * script.node_kind.cores * script.node_kind.speed * 1e9
        self._ops_per_s_at_full_load = capacity / self._mean_work_ns
        self._cumulative_slices: list[float] = []

    def draw_slices(self, random: Random) -> None:
        """Draw the share of the load that each slice has."""
        _, sigma = lognormal_parameters(1.0, self._script.clients.slice_spread)
        draws = (random.lognormvariate(0, sigma) for _ in range(self._script.site.slices))
        self._cumulative_slices = list(accumulate(draws))

    def ops_per_s(self, now: int) -> float:
        """Return how many ops clients request per second."""
        loads = self._script.loads
        position = bisect(loads, now - self._started_at, key=lambda load: load[0]) - 1
        return loads[position][1] * self._ops_per_s_at_full_load

    def work_per_slice(self, now: int) -> list[float]:
        """Return the expected work per second (in cores at speed 1) that clients request of each slice."""
        cumulative = self._cumulative_slices
        unit = self.ops_per_s(now) * self._mean_work_ns / SECOND / cumulative[-1]
        return [unit * (upper - lower) for upper, lower in zip(cumulative, [0.0, *cumulative])]

    def draw_op(self, random: Random, now: int) -> ClientOp:
        """Draw an op that is requested now."""
        keys = self._script.clients.keys
        op_type = self._draw_index(random, self._cumulative_shares)
        slice_ = self._draw_index(random, self._cumulative_slices)
        key = slice_ * keys + int(keys ** random.random()) - 1
        return ClientOp(op_type, slice_, key, random.lognormvariate(*self._work[op_type]), now)

    @staticmethod
    def _draw_index(random: Random, cumulative: list[float]) -> int:
        return min(bisect(cumulative, random.random() * cumulative[-1]), len(cumulative) - 1)
