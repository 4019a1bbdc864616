"""How much of all requests each server should take, by what was learned of its speed.

A server's weight is the share by which the mean time of all requests is least: what it can do a second, less its share
of the spare capacity, which goes by the square root of what it can do. So fast servers keep less spare capacity for
each request than slow ones, where a request that queues waits for longer.

Source: the square-root rule of Bell and Stidham (1983) for servers side by side.
"""

import math
from collections.abc import Mapping, Sequence

from kestrelplank.sharding.attempt_window import ServerReport
from kestrelplank.sharding.service_time import ServiceTimeEstimate
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import SECOND

PRIOR_ANSWERS = 14.0  # the median speed weighs as much as so many answers of the server itself
MIN_RELATIVE_SPEED, MAX_RELATIVE_SPEED = 0.4, 2.0  # bounds of a server's speed against the median
MIN_USED_SHARE = 0.1  # of what a server can do, that it should take at least
SIGNIFICANT_CHANGE = 0.1  # a weight that changes by more than this share of it is passed on to the pass


class ServerWeights:
    """What was learned of all servers' speed, and the weights that follow.

    `slot_weights`: by server, the weight of each of its slots; 1.0 where nothing is known.

    :param learned: what the former leader had learned, as its `learned` returned it.
    """

    def __init__(self, now: int, learned: Mapping[str, Sequence[float]] | None) -> None:
        self.slot_weights: dict[str, float] = {}
        self._estimates = {name: ServiceTimeEstimate(known) for name, known in (learned or {}).items()}
        self._period_began_at = now
        self._reported: dict[str, list[float]] = {}  # by server: sums over this period's reports

    def learned(self) -> dict[str, list[float]]:
        """Return what is known of each server, for the record: otherwise each new leader would begin with nothing."""
        return {name: estimate.to_record() for name, estimate in self._estimates.items() if estimate.evidence() >= 1}

    def add(self, servers: Mapping[str, ServerReport]) -> None:
        """Take an edge machine's report."""
        for name, (_, _, *measured) in servers.items():
            sums = self._reported.setdefault(name, [0.0, 0.0, 0.0, 0.0])
            for field, value in enumerate(measured):
                sums[field] += value

    def close_period(self, now: int, servers: Mapping[str, ShardServer], request_rate: float) -> bool:
        """Weigh the servers by this period's reports and all before it.

        :param request_rate: requests a second to all of them.
        :returns: whether weights have changed.
        """
        self._learn(now, servers)
        self._period_began_at = now
        estimates = {name: estimate for name, estimate in self._estimates.items() if estimate.evidence() >= 1}
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

    def _learn(self, now: int, servers: Mapping[str, ShardServer]) -> None:
        """Add this period's reports to the estimates, and forget servers that are not listed any more."""
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
    """Return the requests a second that a slot does: the median server's, and each server's.

    A server of which little is known counts as nearly the median one. All is done in logarithms of seconds, as
    `ServiceTimeEstimate` is; `log_offset` makes its two methods comparable.
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
        evidence = estimates[name].evidence()
        log_speed = (median_log_time - log_time) * evidence / (evidence + PRIOR_ANSWERS)
        rates[name] *= min(MAX_RELATIVE_SPEED, max(MIN_RELATIVE_SPEED, math.exp(log_speed)))
    return median_rate, rates


def square_root_weights(
    servers: Mapping[str, ShardServer], median_rate: float, rates: Mapping[str, float], request_rate: float
) -> dict[str, float]:
    """Return the weight of each server's slots at that rate of requests, by the rule in the module's docstring."""
    capacities = {name: rates[name] * server.slots for name, server in servers.items()}
    spare = max(0.0, sum(capacities.values()) - request_rate)
    spare /= sum(math.sqrt(capacity) for capacity in capacities.values())
    return {
        name: rates[name] / median_rate * max(MIN_USED_SHARE, 1 - spare / math.sqrt(capacity))
        for name, capacity in capacities.items()
    }
