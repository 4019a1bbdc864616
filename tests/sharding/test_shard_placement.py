"""Placement on emulated servers with queues: speed estimates, server weights, handover to a new leader, windows."""

import math
from collections import Counter
from random import Random
from statistics import mean

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.emulator.queueing_server import QueueingServer
from kestrelplank.emulator.sharded_service import ShardedService
from kestrelplank.sharding.attempt_window import AttemptSums
from kestrelplank.sharding.key_range import KEY_COUNT
from kestrelplank.sharding.key_ranges import KeyRanges
from kestrelplank.sharding.placement import Placement
from kestrelplank.sharding.request_window import REPORT_PERIOD_NS, WINDOW_NS, without_expired
from kestrelplank.sharding.service_time import ServiceTimeEstimate
from kestrelplank.sharding.shard_server import ShardServer
from kestrelplank.time_units import SECOND

SPEEDS = [0.7, 1.0, 1.0, 1.5] * 3


def servers_at(speed):
    return [f"s{number}" for number, other in enumerate(SPEEDS) if other == speed]


@pytest.mark.parametrize("load", [0.3, 0.6, 0.85])
@pytest.mark.parametrize("speed", [0.7, 1.5])
def test_relative_speed_is_estimated_with_and_without_queueing(load, speed):
    log_speeds = []
    for seed in range(8):
        random, estimates, at = Random(seed), [ServiceTimeEstimate(), ServiceTimeEstimate()], 0.0
        servers, next_at = [QueueingServer(2, speed), QueueingServer(2, 1.0)], [0.0, 0.0]
        for _ in range(60):
            at += 0.5
            for number, server in enumerate(servers):
                while next_at[number] < at:
                    server.serve(next_at[number], random.lognormvariate(-2.2, 0.8))
                    next_at[number] += random.expovariate(load * 2 * server.speed / math.exp(-2.2 + 0.32))
                server.finish_until(at)
                estimates[number].add(0.5, *server.report()[2:])
                server.begin_report()
        log_speeds.append(estimates[1].log_service_time(0.32) - estimates[0].log_service_time(0.32))
    assert abs(mean(log_speeds) - math.log(speed)) < 0.12


def test_slow_servers_get_less_than_their_proportional_share_at_low_load():
    """At low load a slow server gets less than in proportion to its speed; at high load nearly in proportion."""
    shares = []
    for requests_per_s in (40, 110):
        slow_shares = []
        for seed in range(3):
            service = ShardedService(seed, SPEEDS, requests_per_s, 0.16, 0.6)
            service.run(40)
            service.run(40)
            slow_shares.append(
                sum(service.requests_by_server[name] for name in servers_at(0.7)) / service.request_count
            )
        shares.append(mean(slow_shares))
    proportional = 3 * 0.7 / sum(SPEEDS)
    assert shares[0] < 0.9 * proportional and shares[0] < shares[1] < 1.1 * proportional


def test_new_leader_uses_recorded_speed_estimates():
    ratios = []
    for recorded in (False, True):
        service = ShardedService(3, SPEEDS, 80, 0.16, 0.6)
        service.run(30)
        learned_speeds = service.placement.learned_speeds() if recorded else None
        service.begin_term(2, service.key_ranges.to_record(), learned_speeds)
        service.run(1)
        weights = service.placement.server_weights.slot_weights
        fast, slow = ([weights.get(name, 1.0) for name in servers_at(speed)] for speed in (1.5, 0.7))
        ratios.append(mean(fast) / mean(slow))
    assert 1.5 * ratios[0] < ratios[1]


@pytest.mark.parametrize("seed", [0, 1, 25])
def test_ranges_cover_all_keys_while_the_popular_region_moves(seed):
    """Guards against a range that the policy does not know: a neighbour whose merge was cancelled."""
    service = ShardedService(seed, [1.0] * 6, 60, 0.08, 0.6, popular_keys=2000)
    for _ in range(8):
        service.first_popular_key = service.random.randrange(KEY_COUNT)
        service.run(6)
        ranges = service.key_ranges.ranges
        assert [keys.first for keys in ranges] == [0, *(keys.last + 1 for keys in ranges[:-1])]
        assert ranges[-1].last == KEY_COUNT - 1 and len(ranges) <= 6 * len(service.servers)


def test_recorded_estimate_gives_the_same_service_time():
    estimate = ServiceTimeEstimate()
    estimate.add(0.5, 7.0, 4, -8.25, 3)
    assert ServiceTimeEstimate(estimate.to_record()).log_service_time(0.3) == pytest.approx(
        estimate.log_service_time(0.3), rel=0.01
    )
    assert ServiceTimeEstimate().sample_size() == 0
    assert round(SECOND * 0.5) == SECOND // 2


reports_in_time = st.lists(
    st.tuples(
        st.integers(0, 3 * REPORT_PERIOD_NS),
        st.lists(st.integers(0, 40), max_size=12),
        st.dictionaries(st.sampled_from("abc"), st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=3),
    ),
    max_size=60,
)


@given(reports_in_time)
def test_window_sums_equal_the_sums_of_the_reports_in_the_window(reports_in_time):
    """For random reports, the sorted keys and the sums equal those of the reports within the window."""
    now = 100 * SECOND
    key_ranges = KeyRanges(now, 1, None)
    key_ranges.handle_server_list(now, [ShardServer(name, f"{name}:80", "z", 2, True, 0) for name in "abc"])
    key_ranges.create_initial_ranges(6)
    placement, reports = Placement(now, 1, key_ranges, SECOND), []
    for later, keys, attempts in reports_in_time:
        now += later
        placement.tick(now)
        servers = {name: (*counts, 1.0, 1, -1.0, 1) for name, counts in attempts.items()}
        placement.handle_load_report(now, keys, servers)
        reports.append((now, keys, servers))
    now += REPORT_PERIOD_NS
    placement.tick(now)
    assert placement.requests.sorted_keys == sorted(
        key for at, keys, _ in reports if now - at <= WINDOW_NS for key in keys
    )
    sums = {}
    for at, _, servers in reports:
        for name, (attempts, failures, *_) in servers.items() if now - at < WINDOW_NS else ():
            previous = sums.get(name, AttemptSums(0, 0, 0))
            sums[name] = AttemptSums(previous.attempts + attempts, previous.failures + failures, previous.reports + 1)
    assert placement.attempts.sums == sums


@given(st.lists(st.integers(0, 20)), st.data())
def test_each_expired_key_removes_one_equal_key(keys, data):
    keys.sort()
    expired = sorted(data.draw(st.lists(st.sampled_from(keys), max_size=len(keys)))) if keys else []
    expired = sorted((Counter(expired) & Counter(keys)).elements())
    assert without_expired(keys, expired) == sorted((Counter(keys) - Counter(expired)).elements())
