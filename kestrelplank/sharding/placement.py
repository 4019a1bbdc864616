"""Which server each key range of a service should be at.

The greedy pass decides that, by what edge machines report and the speed that servers show. What is added to it here:
request rates are taken from a longer window than it averages over; a server's weight is the share of all requests that
it can take without its queue costing more than another's; and ranges with much load are split, as a busy range that is
moved in one piece only moves the overload.
"""

from collections.abc import Mapping, Sequence
from heapq import heapify, heapreplace

from kestrelplank.sharding.attempt_window import AttemptWindow, ServerReport
from kestrelplank.sharding.greedy_pass import GreedyPass
from kestrelplank.sharding.key_range import KeyRange, KeyRangeState
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.range_resizing import RangeResizing
from kestrelplank.sharding.request_window import REPORT_PERIOD_NS, RequestWindow
from kestrelplank.sharding.server_weights import ServerWeights
from kestrelplank.time_units import SECOND


class Placement:
    """One service's placement while this member leads.

    :param seed: of the pass's random draws.
    :param latency_target_ns: within which the service's requests should be answered.
    :param learned_speeds: what the former leader had learned of servers, as its `learned_speeds` returned it.
    """

    def __init__(
        self,
        now: int,
        seed: int,
        key_ranges: KeyRanges,
        latency_target_ns: int,
        learned_speeds: Mapping[str, Sequence[float]] | None = None,
    ) -> None:
        self.requests = RequestWindow()
        self.attempts = AttemptWindow()
        self.server_weights = ServerWeights(now, learned_speeds)
        self._key_ranges = key_ranges
        self._pass = GreedyPass(seed, latency_target_ns)
        self._resizing = RangeResizing(key_ranges, self._pass, self.requests)
        self._period_began_at = now
        self._servers_changed = True

    def learned_speeds(self) -> dict[str, list[float]]:
        """Return what is known of each server's speed, for the record."""
        return self.server_weights.learned()

    def handle_load_report(self, now: int, keys: Sequence[int], servers: Mapping[str, ServerReport]) -> None:
        """Take an edge machine's report: the keys that it was asked for, and what it met of servers."""
        self.requests.add(now, keys)
        self.attempts.add(now, servers)
        self.server_weights.add(servers)

    def handle_server_list(self) -> None:
        """Have the next tick give the pass the platform's list, as it has changed."""
        self._servers_changed = True

    def tick(self, now: int) -> None:
        """Have the pass decide by what has come since the last tick, and move ranges as it says.

        A range that is to move is released first; it is assigned to its successor in the tick that finds it unowned.
        """
        if not self._pass.started:
            self._pass.start(now)
            self._assign_first()
        if self._servers_changed:
            self._servers_changed = False
            self._pass.set_servers(now, self._key_ranges.servers, self.server_weights.slot_weights)
        self._pass.add_new_ranges(self._key_ranges.ranges, self._resizing.merging)
        if now - self._period_began_at >= REPORT_PERIOD_NS:
            self._close_period(now)
            self._period_began_at = now
        self._pass.run(now, self._move)
        for key_range in self._key_ranges.assignable():
            server = self._key_ranges.servers.get(key_range.successor or "")
            if server is not None and server.ready:
                self._key_ranges.assign(key_range, server)

    def _assign_first(self) -> None:
        """Spread keys that no server ever held evenly by slots, neighbours apart, as busy keys lie close together."""
        servers = [server for server in self._key_ranges.servers.values() if server.ready]
        # The load that each would have with one more range, least first.
        loads = [((position + 1) / len(servers) / server.slots, position) for position, server in enumerate(servers)]
        heapify(loads)
        for key_range in self._key_ranges.ranges if servers else ():
            if not key_range.server:
                load, position = loads[0]
                self._key_ranges.assign(key_range, servers[position])
                heapreplace(loads, (load + 1 / servers[position].slots, position))

    def _move(self, now: int, key_range: KeyRange, server: str) -> None:
        """Release the range for `server`; where it is being released already, `server` becomes its successor."""
        if key_range.state is not KeyRangeState.HELD:
            key_range.successor = server
        elif key_range.server != server:
            self._key_ranges.start_release(now, key_range, server)

    def _close_period(self, now: int) -> None:
        """Sum up a period of reports: weigh servers, split and merge ranges, and report to the pass."""
        servers = self._key_ranges.servers
        self.requests.advance(now)
        self.attempts.advance(now)
        rates = self.requests.range_rates(now, self._key_ranges.ranges, len(servers))
        if self.server_weights.close_period(now, servers, self.requests.total_rate(now)):
            self._servers_changed = True
        total_rate = sum(rates.values())
        ready = sum(server.ready for server in servers.values())
        if total_rate and ready:
            self._resizing.split(rates, total_rate / ready)
            self._resizing.merge(now, rates, total_rate / ready)
        self._report_to_pass(rates)

    def _report_to_pass(self, rates: Mapping[KeyRange, float]) -> None:
        """Report the requests to the pass, by range and by server.

        A server counts for the requests to its ranges now, not for its attempts: so a range that has moved counts at
        its old server for the pass's own average of five periods, and not for as long as the request window.
        """
        loads: dict[str, float] = {}
        for key_range, rate in rates.items():
            requests = rate * REPORT_PERIOD_NS / SECOND
            self._pass.add_requests(key_range, requests)
            loads[key_range.server] = loads.get(key_range.server, 0.0) + requests
        for name, sums in self.attempts.sums.items():
            if name in self._key_ranges.servers:
                load = loads.get(name, 0.0)
                failing = load * sums.failures / sums.attempts if sums.attempts else 0.0
                self._pass.add_attempts(self._key_ranges.servers[name], load, failing)
