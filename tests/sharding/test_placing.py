"""Where keys go, over servers with queues: what is learnt of servers, what they are worth, and that it outlives who
decides."""

import math
from collections import Counter
from random import Random
from statistics import mean

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelplank.emulator.queues import S, Server, Service
from kestrelplank.sharding.key_ranges import KEYS, KeyRanges
from kestrelplank.sharding.key_ranges import Server as Listed
from kestrelplank.sharding.placement import PERIOD, WINDOW, Pace, Placement, without

SPEEDS = [0.7, 1.0, 1.0, 1.5] * 3


@pytest.mark.parametrize("load", [0.3, 0.6, 0.85])
@pytest.mark.parametrize("speed", [0.7, 1.5])
def test_a_servers_pace_is_told_with_and_without_a_queue(load, speed):
    found = []
    for seed in range(8):
        random, paces, at = Random(seed), [Pace(), Pace()], 0.0
        servers, nexts = [Server(2, speed), Server(2, 1.0)], [0.0, 0.0]
        for _ in range(60):
            at += 0.5
            for place, server in enumerate(servers):
                while nexts[place] < at:
                    server.take(nexts[place], random.lognormvariate(-2.2, 0.8))
                    nexts[place] += random.expovariate(load * 2 * server.speed / math.exp(-2.2 + 0.32))
                server.drain(at)
                paces[place].add(0.5, *server.met()[2:])
                server.forget()
        found.append(paces[1].log(0.32) - paces[0].log(0.32))
    assert abs(mean(found) - math.log(speed)) < 0.12


def test_the_mean_time_is_least_where_slow_servers_keep_more_room():
    """At little load a slow server is worth less than its speed; the busier all are, the nearer to it."""
    shares = []
    for per_s in (40, 110):
        parts = []
        for seed in range(3):
            service = Service(seed, SPEEDS, per_s, 0.16, 0.6)
            service.play(40)
            service.play(40)
            parts.append(
                sum(service.by_server[f"s{at}"] for at, speed in enumerate(SPEEDS) if speed == 0.7) / service.came
            )
        shares.append(mean(parts))
    proportional = 3 * 0.7 / sum(SPEEDS)
    assert shares[0] < 0.9 * proportional and shares[0] < shares[1] < 1.1 * proportional


def test_who_decides_next_begins_with_what_was_learnt():
    worths = []
    for kept in (False, True):
        service = Service(3, SPEEDS, 80, 0.16, 0.6)
        service.play(30)
        service.decide(2, service.lines.record(), service.placement.learnt() if kept else None)
        service.play(1)
        worth = service.placement._worth
        worths.append(
            mean(worth.get(f"s{at}", 1.0) for at, speed in enumerate(SPEEDS) if speed == 1.5)
            / mean(worth.get(f"s{at}", 1.0) for at, speed in enumerate(SPEEDS) if speed == 0.7)
        )
    assert 1.5 * worths[0] < worths[1]


@pytest.mark.parametrize("seed", [0, 1, 25])
def test_wandering_heat_is_followed_and_no_line_is_lost_on_the_way(seed):
    """Guards against a pass that meets a line which it was not told of: a neighbour that was to join and did not."""
    service = Service(seed, [1.0] * 6, 60, 0.08, 0.6, things=2000)
    for _ in range(8):
        service.first = service.random.randrange(KEYS)
        service.play(6)
        lines = service.lines.lines
        assert [line.first for line in lines] == [0, *(line.last + 1 for line in lines[:-1])]
        assert lines[-1].last == KEYS - 1 and len(lines) <= 6 * len(service.servers)


def test_a_pace_is_told_on_in_whole():
    pace = Pace()
    pace.add(0.5, 7.0, 4, -8.25, 3)
    assert Pace(pace.parts()).log(0.3) == pytest.approx(pace.log(0.3), rel=0.01) and Pace().known() == 0
    assert round(S * 0.5) == S // 2


keys_told = st.lists(
    st.tuples(
        st.integers(0, 3 * PERIOD),
        st.lists(st.integers(0, 40), max_size=12),
        st.dictionaries(st.sampled_from("abc"), st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=3),
    ),
    max_size=60,
)


@given(keys_told)
def test_the_window_holds_what_all_reports_in_it_come_to(told):
    """Whatever is told when: the sorted keys and the sums are those of the reports that the window still has."""
    now = 100 * S
    ranges = KeyRanges(now, 1, None)
    ranges.listed(now, [Listed(name, f"{name}:80", "z", 2, True, 0) for name in "abc"])
    ranges.divide(6)
    placement, reports = Placement(now, 1, ranges, S), []
    for later, keys, met in told:
        now += later
        placement.turn(now)
        servers = {name: (*parts, 1.0, 1, -1.0, 1) for name, parts in met.items()}
        placement.report(now, keys, servers)
        reports.append((now, keys, servers))
    now += PERIOD
    placement.turn(now)
    assert placement._sorted == sorted(key for at, keys, _ in reports if now - at <= WINDOW for key in keys)
    sums = {}
    for at, _, servers in reports:
        for name, parts in servers.items() if now - at < WINDOW else ():
            tries, failed, count = sums.get(name, (0, 0, 0))
            sums[name] = (tries + parts[0], failed + parts[1], count + 1)
    assert {name: tuple(parts) for name, parts in placement._sums.items()} == sums


@given(st.lists(st.integers(0, 20)), st.data())
def test_keys_are_taken_out_one_for_one(keys, data):
    keys.sort()
    expired = sorted(data.draw(st.lists(st.sampled_from(keys), max_size=len(keys)))) if keys else []
    expired = sorted((Counter(expired) & Counter(keys)).elements())
    assert without(keys, expired) == sorted((Counter(keys) - Counter(expired)).elements())
