"""A sharded service on a simulated clock, without sockets: servers with queues, requests, and the placement of keys.

Requests and their work are drawn at random; waiting times, moves and late answers follow from them. Times are in
seconds, except those of the code under test, which are in ns.
"""

import math
from bisect import bisect
from collections.abc import Mapping, Sequence
from itertools import accumulate
from random import Random

from kestrelplank.emulator.queueing_server import QueueingServer
from kestrelplank.sharding.effects import GrantKeyRange, RecordKeyRanges, ReleaseKeyRange, ServerCallResult
from kestrelplank.sharding.key_range import KEY_COUNT, KeyRangeState, RecordedKeyRange
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.placement import Placement
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import SECOND

WORK_SPREAD = 0.8  # standard deviation of the logarithm of a request's work
MAX_WORK_FACTOR = 6  # a request's work is at most this multiple of the mean
REPORT_PERIOD_S, TICKS_PER_REPORT = 0.5, 10
TICK_S = REPORT_PERIOD_S / TICKS_PER_REPORT
STARTED_AT = 100 * SECOND  # on the clock of the code under test


class ShardedService:
    """All servers of one service, their `KeyRanges` and `Placement`, and a stream of requests.

    The keys of requests follow a Zipf law over a contiguous block of keys.

    :ivar hot_key: a key and the share of all requests that are for it.
    :ivar request_count: requests since the last `run` began; `late_count` and `requests_by_server` likewise.
    :param speeds: of the servers, relative to the usual speed.
    :param mean_work_s: of a request, at the usual speed.
    :param latency_target_s: an answer that takes longer is late.
    :param moves_keys: if False, keys stay at the server that first owned them.
    :param skew: exponent of the Zipf law.
    :param popular_keys: number of keys that are requested.
    """

    def __init__(
        self,
        seed: int,
        speeds: Sequence[float],
        requests_per_s: float,
        mean_work_s: float,
        latency_target_s: float,
        *,
        moves_keys: bool = True,
        skew: float = 0.64,
        popular_keys: int = 60_000,
    ) -> None:
        self.random = Random(seed)
        self.servers = {f"s{number}": QueueingServer(2, speed) for number, speed in enumerate(speeds)}
        self.first_popular_key = self.random.randrange(KEY_COUNT)
        self.hot_key = (0, 0.0)
        self.request_count = self.late_count = 0
        self.requests_by_server = dict.fromkeys(self.servers, 0)
        self._requests_per_s = requests_per_s
        self._mean_work_s = mean_work_s
        self._latency_target_s = latency_target_s
        self._moves_keys = moves_keys
        self._popularity = list(accumulate(1 / (rank + 1) ** skew for rank in range(popular_keys)))
        self._time_s = 0.0
        self._next_request_at = 0.0
        self._waiting: list[tuple[float, int]] = []  # requests for keys without an owner: arrival time and key
        self._releases: list[tuple[float, ReleaseKeyRange]] = []  # time of each answer, and the release
        self.begin_term(1, None, None)
        self.key_ranges.create_initial_ranges(4 * len(speeds))

    def begin_term(
        self,
        term: int,
        recorded: Sequence[RecordedKeyRange] | None,
        learned_speeds: Mapping[str, Sequence[float]] | None,
    ) -> None:
        """Start the term of another leader, with the records of its predecessor."""
        listed = [
            ShardServer(name, f"{name}:80", "abc"[number % 3], 2, True, 0) for number, name in enumerate(self.servers)
        ]
        self.key_ranges = KeyRanges(self._now(), term, recorded)
        self.key_ranges.handle_server_list(self._now(), listed)
        latency_target_ns = round(self._latency_target_s * SECOND)
        self.placement = Placement(self._now(), term, self.key_ranges, latency_target_ns, learned_speeds)

    def run(self, seconds: float) -> float:
        """Run for that time. Return the share of requests that were late."""
        self.request_count = self.late_count = 0
        for name in self.requests_by_server:
            self.requests_by_server[name] = 0
        for _ in range(round(seconds / REPORT_PERIOD_S)):
            self._run_report_period()
        return self.late_count / max(1, self.request_count)

    def busiest_over_mean(self) -> float:
        """Return the busiest server's requests divided by the mean of all servers, since the last `run` began."""
        return max(self.requests_by_server.values()) * len(self.servers) / max(1, self.request_count)

    def owner_of_key(self, firsts: list[int], key: int) -> str:
        """Return the server that owns this key, "" while none does.

        :param firsts: the first keys of all ranges.
        """
        key_range = self.key_ranges.ranges[bisect(firsts, key) - 1]
        return key_range.server if key_range.state is KeyRangeState.HELD and key_range.recorded else ""

    def _now(self) -> int:
        return STARTED_AT + round(self._time_s * SECOND)

    def _run_report_period(self) -> None:
        keys: list[int] = []
        for _ in range(TICKS_PER_REPORT):
            self._time_s += TICK_S
            keys += self._send_requests()
            if self._moves_keys or not self.key_ranges.ranges[0].server:
                self.placement.tick(self._now())
            self._carry_out_effects()
        for server in self.servers.values():
            server.finish_until(self._time_s)
        reports = {name: server.report() for name, server in self.servers.items() if server.attempts or server.answers}
        self.placement.handle_load_report(self._now(), keys, reports)
        for server in self.servers.values():
            server.begin_report()

    def _send_requests(self) -> list[int]:
        """Send requests that waited for an owner, and those that arrive in this tick; return the keys of the latter."""
        firsts = [key_range.first for key_range in self.key_ranges.ranges]
        keys: list[int] = []
        waiting, self._waiting = self._waiting, []
        for arrived_at, key in waiting:
            self._send(firsts, self._time_s - TICK_S, arrived_at, key)
        while self._next_request_at < self._time_s:
            keys.append(self._draw_key())
            self._send(firsts, self._next_request_at, self._next_request_at, keys[-1])
            self.request_count += 1
            self._next_request_at += self.random.expovariate(self._requests_per_s)
        return keys

    def _draw_key(self) -> int:
        if self.random.random() < self.hot_key[1]:
            return self.hot_key[0]
        rank = bisect(self._popularity, self.random.random() * self._popularity[-1])
        return (self.first_popular_key + rank) % KEY_COUNT

    def _send(self, firsts: list[int], at: float, arrived_at: float, key: int) -> None:
        """Send a request to the owner of its key, or queue it until there is one."""
        name = self.owner_of_key(firsts, key)
        if not name:
            self._waiting.append((arrived_at, key))
            return
        log_mean = math.log(self._mean_work_s) - WORK_SPREAD**2 / 2
        work = min(self.random.lognormvariate(log_mean, WORK_SPREAD), MAX_WORK_FACTOR * self._mean_work_s)
        self.late_count += self.servers[name].serve(at, work, key) - arrived_at > self._latency_target_s
        self.requests_by_server[name] += 1

    def _carry_out_effects(self) -> None:
        """Commit records and answer grants at once; answer a release when the requests for its keys have ended."""
        now = self._now()
        for release in [release for release in self._releases if release[0] <= self._time_s]:
            self._releases.remove(release)
            self.key_ranges.handle_call_ended(now, release[1], ServerCallResult(True, 200, "h"))
        for effect in self.key_ranges.tick(now):
            if isinstance(effect, RecordKeyRanges):
                self.key_ranges.handle_recorded(now)
            elif isinstance(effect, GrantKeyRange):
                self.key_ranges.handle_call_ended(now, effect, ServerCallResult(True, 200))
            elif isinstance(effect, ReleaseKeyRange):
                keys = effect.key_range
                idle_at = self.servers[keys.server].keys_idle_at(keys.first, keys.last)
                self._releases.append((idle_at, effect))
