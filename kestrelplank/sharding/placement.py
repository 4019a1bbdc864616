"""Decides which server each key range of a service should be assigned to.

The greedy pass decides by the reports of edge machines and the measured speed of servers. This module adds: request
rates over a longer window than the pass averages over; server weights that minimize the mean request time; and
splitting of busy ranges, as moving one as a whole would only move the overload.
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

    :param seed: of the pass's random number generator.
    :param latency_target_ns: time within which the service's requests should be answered.
    :param learned_speeds: the former leader's estimates of server speeds, as returned by its `learned_speeds`.
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
        """Return the estimates of server speeds, to be recorded for the next leader."""
        return self.server_weights.to_record()

    def handle_load_report(self, now: int, keys: Sequence[int], servers: Mapping[str, ServerReport]) -> None:
        """Add an edge machine's report.

        :param keys: the key of each request.
        :param servers: its measurements by server name.
        """
        self.requests.add(now, keys)
        self.attempts.add(now, servers)
        self.server_weights.add(servers)

    def handle_server_list(self) -> None:
        """Mark the list of servers as changed; the next tick passes it on to the pass."""
        self._servers_changed = True

    def tick(self, now: int) -> None:
        """Run the pass over the events since the last tick, and move ranges as it decides.

        A range that is to move is released first; it is assigned to its successor in the tick that finds it unowned.
        """
        if not self._pass.started:
            self._pass.start(now)
            self._assign_initially()
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

    def _assign_initially(self) -> None:
        """Spread ranges without a former server evenly by slots, neighbours apart, as busy keys lie close together."""
        servers = [server for server in self._key_ranges.servers.values() if server.ready]
        # A heap of each server's load with one more range, least first.
        loads = [((position + 1) / len(servers) / server.slots, position) for position, server in enumerate(servers)]
        heapify(loads)
        for key_range in self._key_ranges.ranges if servers else ():
            if not key_range.server:
                load, position = loads[0]
                self._key_ranges.assign(key_range, servers[position])
                heapreplace(loads, (load + 1 / servers[position].slots, position))

    def _move(self, now: int, key_range: KeyRange, server: str) -> None:
        """Start the release of the range for `server`; if it is not held, make `server` its successor."""
        if key_range.state is not KeyRangeState.HELD:
            key_range.successor = server
        elif key_range.server != server:
            self._key_ranges.start_release(now, key_range, server)

    def _close_period(self, now: int) -> None:
        """Close a report period: update server weights, split and merge ranges, and report loads to the pass."""
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

        A server's load is the requests to its present ranges, not its attempts: so a moved range counts at its old
        server for the five periods that the pass averages over, instead of the longer request window.
        """
        loads: dict[str, float] = {}
        for key_range, rate in rates.items():
            requests = rate * REPORT_PERIOD_NS / SECOND
            self._pass.add_requests(key_range, requests)
            loads[key_range.server] = loads.get(key_range.server, 0.0) + requests
        for name, sums in self.attempts.sums.items():
            if name in self._key_ranges.servers:
                load = loads.get(name, 0.0)
                failures = load * sums.failures / sums.attempts if sums.attempts else 0.0
                self._pass.add_attempts(self._key_ranges.servers[name], load, failures)
