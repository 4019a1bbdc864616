"""Computes from measured speeds which share of all requests each server should take.

These weights minimize the mean time of all requests: a server's weight is its capacity in requests a second, minus its
share of the total spare capacity, which is divided in proportion to the square root of capacity. So fast servers
keep relatively less spare capacity than slow ones, where a queued request waits longer.

Source: the square-root rule of Bell and Stidham (1983) for parallel servers.
"""

import math
from collections.abc import Mapping, Sequence

from kestrelplank.sharding.attempt_window import ServerReport
from kestrelplank.sharding.service_time import ServiceTimeEstimate
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import SECOND

PRIOR_ANSWERS = 14.0  # weight of the median speed, in answers of the server itself
MIN_RELATIVE_SPEED, MAX_RELATIVE_SPEED = 0.4, 2.0  # bounds of a server's speed relative to the median
MIN_USED_SHARE = 0.1  # smallest share of its capacity that a server should use
SIGNIFICANT_CHANGE = 0.1  # relative change of a weight above which new weights take effect


class ServerWeights:
    """Estimates of all servers' speeds, and the weights computed from them.

    `slot_weights`: by server, the weight of each of its slots; 1.0 where missing.

    :param recorded: the former leader's estimates, as returned by its `to_record`.
    """

    def __init__(self, now: int, recorded: Mapping[str, Sequence[float]] | None) -> None:
        self.slot_weights: dict[str, float] = {}
        self._estimates = {name: ServiceTimeEstimate(sums) for name, sums in (recorded or {}).items()}
        self._period_began_at = now
        self._reported: dict[str, list[float]] = {}  # by server: sums over this period's reports

    def to_record(self) -> dict[str, list[float]]:
        """Return each server's estimate, which is recorded so that a new leader can start with it."""
        return {name: estimate.to_record() for name, estimate in self._estimates.items() if estimate.sample_size() >= 1}

    def add(self, servers: Mapping[str, ServerReport]) -> None:
        """Add an edge machine's report."""
        for name, (_, _, *measured) in servers.items():
            sums = self._reported.setdefault(name, [0.0, 0.0, 0.0, 0.0])
            for field, value in enumerate(measured):
                sums[field] += value

    def close_period(self, now: int, servers: Mapping[str, ShardServer], request_rate: float) -> bool:
        """Update the weights by the reports of this period and all earlier ones.

        :param request_rate: requests a second to all servers together.
        :returns: whether weights have changed.
        """
        self._update_estimates(now, servers)
        self._period_began_at = now
        estimates = {name: estimate for name, estimate in self._estimates.items() if estimate.sample_size() >= 1}
        if not estimates:
            return False
        median_rate, rates = slot_rates(servers, estimates)
        weights = square_root_weights(servers, median_rate, rates, request_rate)
        changed = any(
            abs(weight / self.slot_weights.get(name, 1.0) - 1) > SIGNIFICANT_CHANGE for name, weight in weights.items()
        )
        if changed:
            self.slot_weights = weights
        return changed

    def _update_estimates(self, now: int, servers: Mapping[str, ShardServer]) -> None:
        """Add this period's reports to the estimates, and remove those of servers that are no longer listed."""
        for name in [name for name in self._estimates if name not in servers]:
            del self._estimates[name]
        period_s = (now - self._period_began_at) / SECOND
        for name in servers if self._reported else ():
            reported = self._reported.get(name, (0.0, 0.0, 0.0, 0.0))
            self._estimates.setdefault(name, ServiceTimeEstimate()).add(period_s, *reported)
        self._reported.clear()


def slot_rates(
    servers: Mapping[str, ShardServer], estimates: Mapping[str, ServiceTimeEstimate]
) -> tuple[float, dict[str, float]]:
    """Return the requests a second that one slot can serve: at the median server, and by server.

    A server with few measured answers gets nearly the median rate. Computed with logarithms of seconds, as in
    `ServiceTimeEstimate`; `log_offset` makes its two methods comparable.
    """
    unqueued = sum(estimate.unqueued_answers for estimate in estimates.values())
    total_busy_s = sum(estimate.busy_s for estimate in estimates.values())
    log_offset = math.log(total_busy_s / sum(estimate.answers for estimate in estimates.values()))
    log_offset -= sum(estimate.log_seconds for estimate in estimates.values()) / unqueued if unqueued else 0.0
    log_times = {name: estimate.log_service_time(log_offset) for name, estimate in estimates.items()}
    median_log_time = sorted(log_times.values())[len(log_times) // 2]
    median_rate = math.exp(-median_log_time)
    rates = dict.fromkeys(servers, median_rate)
    for name, log_time in log_times.items():
        sample_size = estimates[name].sample_size()
        log_speed = (median_log_time - log_time) * sample_size / (sample_size + PRIOR_ANSWERS)
        rates[name] *= min(MAX_RELATIVE_SPEED, max(MIN_RELATIVE_SPEED, math.exp(log_speed)))
    return median_rate, rates


def square_root_weights(
    servers: Mapping[str, ShardServer], median_rate: float, rates: Mapping[str, float], request_rate: float
) -> dict[str, float]:
    """Return each server's slot weight at this request rate, by the rule in the module's docstring."""
    capacities = {name: rates[name] * server.slots for name, server in servers.items()}
    spare = max(0.0, sum(capacities.values()) - request_rate)
    spare /= sum(math.sqrt(capacity) for capacity in capacities.values())
    return {
        name: rates[name] / median_rate * max(MIN_USED_SHARE, 1 - spare / math.sqrt(capacity))
        for name, capacity in capacities.items()
    }
