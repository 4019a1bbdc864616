"""Guards against changes in load balancing decisions, or in the order in which random numbers are drawn.

The digests in `recorded_load_balancing.json` were recorded with this file's `run_...` functions at commit 4f929ce.
"""

import hashlib
import json
from pathlib import Path
from random import Random

import pytest

from kestrelplank.load_balancing.admission import Admission, AdmissionSettings, ConnectionState
from kestrelplank.load_balancing.attempts import Attempts, AttemptSettings, OverloadControl
from kestrelplank.load_balancing.canary_analysis import CanaryAnalysis, CanarySettings, rollout_stages
from kestrelplank.load_balancing.concurrency_limits import ConcurrencyLimits, ConcurrencyLimitSettings
from kestrelplank.load_balancing.connection_pool import ConnectionPool, NoConnection, PoolSettings
from kestrelplank.load_balancing.flap_damping import FlapDamping, FlapDampingSettings
from kestrelplank.load_balancing.operations import AttemptOutcome, Send, Wait
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.load_balancing.placement import place_blocks
from kestrelplank.load_balancing.placement_search import Node
from kestrelplank.load_balancing.retry_budget import RetryBudget
from kestrelplank.load_balancing.selection import SelectionMethod
from kestrelplank.load_balancing.slow_start import SlowStart, SlowStartSettings
from kestrelplank.load_balancing.spillover import SpilloverSwitch, plan_spillover, shed
from kestrelplank.load_balancing.waiting_queue import WaitingQueue
from kestrelplank.load_balancing.zone_distances import ZoneDistances, distance_tiers
from kestrelplank.load_balancing.zone_preference import ZonePreference, ZonePreferenceSettings
from kestrelplank.state.table_orders import SetEndpoint
from kestrelplank.state.tables import Tables
from kestrelplank.time_units import MILLISECOND as MS
from kestrelplank.time_units import SECOND as S

RECORDED = json.loads((Path(__file__).parent / "recorded_load_balancing.json").read_text())
TABLES, NODES = 3, 9
OUTCOMES = (*[AttemptOutcome.SUCCEEDED] * 3, *AttemptOutcome)


def step_record(op, step):
    if isinstance(step, Send):
        return ["send", op.number, step.node]
    if isinstance(step, Wait):
        return ["wait", op.number, step.until]
    return ["end", op.number, str(step.verdict), str(step.reason)]


def zone_record(status):
    return {
        "zone": status.zone,
        "tier": status.tier,
        "state": status.state.value,
        "out": status.in_flight,
        "held_for": status.held_for_ns,
    }


def build_attempts(seed, pick, extras):
    random, tables = Random(seed), Tables(TABLES, 2, 1)
    tables.begin_stream(0)
    for table in range(TABLES):
        tables.set_table(table, 0, {node: 0.5 + node % 4 for node in range(table, NODES)})
    settings = AttemptSettings((4 * S, 2 * S), SelectionMethod(pick), 0 if extras else S // 2)
    ejection = OutlierEjection(random, 3, (1 * S, 2 * S))
    if not extras:
        return Attempts(random, tables, settings, ejection), tables
    limits = ConcurrencyLimits(ConcurrencyLimitSettings(initial=4, minimum=2, maximum=12))
    zones = ZonePreference(0, ZonePreferenceSettings(), FlapDampingSettings(), 4, lambda node: limits.usage(node, 2))
    for node in range(NODES):
        zones.set_node_zone(node, node % 3)
    zones.set_distance(1, 1 * MS)
    zones.set_distance(2, 9 * MS)
    queue = WaitingQueue(6, (S, 700 * MS), (1.0, 5.0), 0.5)
    overload = OverloadControl(RetryBudget(2, 0.1, 5.0), limits, queue)
    weight_factor = {4: 0.3}
    attempts = Attempts(random, tables, settings, ejection, overload, lambda node: weight_factor.get(node, 1.0), zones)
    return attempts, tables


class AttemptsScenario:
    """Submits, ends, abandons and expires ops at random while tables change."""

    def __init__(self, seed, pick, extras):
        self.random, self.now, self.number = Random(seed + 1), 0, 0
        self.attempts, self.tables = build_attempts(seed, pick, extras)
        self.in_flight, self.waiting, self.records, self.messages = {}, {}, [], 0

    def record_step(self, op, step):
        self.records.append(step_record(op, step))
        self.in_flight.pop(op.number, None)
        self.waiting.pop(op.number, None)
        if isinstance(step, Send):
            self.in_flight[op.number] = op
        elif isinstance(step, Wait):
            self.waiting[op.number] = op

    def change_tables(self):
        table, node = self.random.randrange(TABLES), self.random.randrange(NODES)
        order = SetEndpoint(table, node, float(self.random.randrange(3)))
        changed, _ = self.tables.apply(0, self.messages, [order])
        self.messages += 1
        for op, step in self.attempts.tables_changed(self.now, changed):
            self.record_step(op, step)

    def take_random_step(self):
        self.now += self.random.randrange(20 * MS)
        chance = self.random.random()
        if chance < 0.45:
            self.number += 1
            self.record_step(
                *self.attempts.submit(
                    self.now, self.number, self.number % 2, self.number % TABLES, None, f"k{self.number}"
                )
            )
        elif chance < 0.85 and self.in_flight:
            op = self.in_flight[min(self.in_flight)]
            self.record_step(op, self.attempts.attempt_ended(self.now, op, self.random.choice(OUTCOMES)))
        elif chance < 0.90 and self.in_flight:
            op = self.in_flight[max(self.in_flight)]
            self.record_step(op, self.attempts.abandon(self.now, op))
        elif chance < 0.95 and self.waiting:
            op = self.waiting[min(self.waiting)]
            self.record_step(op, self.attempts.wait_expired(op))
        else:
            self.change_tables()
        for op, step in self.attempts.take_queued_steps(self.now):
            self.record_step(op, step)


def run_attempts(pick, extras):
    records = []
    for seed in range(3):
        scenario = AttemptsScenario(seed, pick, extras)
        for _ in range(3000):
            scenario.take_random_step()
        records += scenario.records
        records.append(sorted(scenario.attempts.counts.items()))
        records.append([scenario.attempts.waiting_count(), sorted(scenario.attempts.in_flight.items())])
        if extras:
            records.append(scenario.attempts._limits.snapshot())
            records.append([zone_record(status) for status in scenario.attempts._zones.status(scenario.now)])
            records.append(sorted(scenario.attempts._zones.counts.items()))
    return records


def run_admission():
    random, admission, records, number, present = (
        Random(5),
        Admission(AdmissionSettings(12, 5, 2 * S, 6 * S)),
        [],
        0,
        [],
    )
    for turn in range(4000):
        now, chance = turn * 90 * MS, random.random()
        if chance < 0.4 or not present:
            number += 1
            decision = admission.connect(now, number, random.choice("abcd"))
            records.append(["admit" if decision.admitted else "refuse", decision.evicted])
            present = [other for other in present if other != decision.evicted] + [number] * decision.admitted
        elif chance < 0.7:
            admission.enter_state(now, random.choice(present), ConnectionState(random.choice(("head", "busy", "idle"))))
        elif chance < 0.8:
            admission.disconnect(present.pop(random.randrange(len(present))))
        else:
            expired = admission.expired_connections(now, stopping=chance > 0.95)
            records.append(expired)
            for connection, _ in expired:
                admission.disconnect(connection)
                present.remove(connection)
    return records


def run_pool():
    random, records, number, busy, dialling = Random(6), [], 0, [], 0
    settings = PoolSettings(5, idle_timeout_ns=2 * S, max_uses=4, withdrawal_grace_ns=1 * S, slow_start_ns=10 * S)
    pool = ConnectionPool(0, settings)
    for turn in range(6000):
        now, chance = turn * 40 * MS, random.random()
        if chance < 0.4:
            connection = pool.acquire(now)
            if isinstance(connection, NoConnection):
                dialling += connection is NoConnection.DIAL
                records.append([connection.value])
            else:
                busy.append(connection)
                records.append(["use", connection])
        elif chance < 0.6 and dialling:
            dialling -= 1
            number += 1
            if chance < 0.57:
                pool.dial_succeeded(number)
                busy.append(number)
            else:
                pool.dial_failed()
        elif chance < 0.9 and busy:
            records.append(pool.release(now, busy.pop(random.randrange(len(busy))), chance < 0.85))
        elif chance < 0.91:
            records.append(sorted(pool.withdraw(now)))
        elif chance < 0.94:
            pool.restore(now)
        else:
            records.append([pool.expire_idle(now), pool.overdue(now), round(pool.weight_factor(now), 9)])
        records.append(list(pool.counts()))
    return records


def run_zone_planning():
    random, records = Random(7), []
    for _ in range(400):
        zones = list(range(random.randrange(1, 6)))
        distances = {(zone, other): random.random() * 10 for zone in zones for other in zones if random.random() < 0.8}
        tiers = {zone: distance_tiers(zone, zones, distances, 1.5) for zone in zones}
        demand = {zone: random.random() * 100 for zone in zones if random.random() < 0.9}
        capacity = {zone: random.random() * 150 for zone in zones if random.random() < 0.9}
        plan = plan_spillover(demand, capacity, tiers, [random.random() for _ in range(random.randrange(3))])
        records.append([tiers[zone] for zone in zones])
        records.append(
            [sorted((list(pair), amount) for pair, amount in flows.items()) for flows in (plan.flows, plan.used_shares)]
        )
        records.append(sorted(plan.unserved.items()))
        types = [(number, random.random() * 40, float(random.randrange(3))) for number in range(4)]
        records.append(shed(random.random() * 100, types))
    switch, distances = SpilloverSwitch(0.9, 0.7), ZoneDistances()
    records.append([switch.update(random.random() * 120, 100.0) for _ in range(200)])
    for _ in range(60):
        for zone in range(3):
            for other in range(3):
                distances.add(zone, other, random.randrange(4), random.random() * 100 * MS)
        distances.close_period()
        records.append([distances.between(zone, other) for zone in range(3) for other in range(3)])
    return records


def run_placement():
    random, records = Random(8), []
    for turn in range(150):
        large = turn % 5 == 0
        loads = [random.random() * 9 for _ in range(random.randrange(30, 50) if large else random.randrange(1, 6))]
        nodes = [
            Node(random.choice((0.0, 3.0, 8.0, 20.0)), random.randrange(3), random.choice((None, None, 2, 9)))
            for _ in range(7 if large else random.randrange(1, 4))
        ]
        placed = place_blocks(loads, nodes, random.choice((None, 0.7, 1.0)), random.choice((1.0, 0.6)))
        records.append([list(placed.nodes), placed.peak, placed.unplaced_load, placed.is_exact, placed.unmet])
    return records


def run_slow_start_and_flap_damping():
    random, records = Random(9), []
    slow_start, damping = SlowStart(SlowStartSettings(0.2, 10 * S, 3.0), 0, 0), FlapDamping(FlapDampingSettings())
    for turn in range(2000):
        now = turn * 300 * MS
        if turn % 60 == 0:
            slow_start = SlowStart(SlowStartSettings(0.2, 10 * S, 3.0), now, now + S)
        slow_start.report(now, random.randrange(20), random.randrange(3), random.choice((None, 40.0, 90.0)), 40.0)
        records.append(
            [
                slow_start.age_ns(now),
                slow_start.capacity_share(now),
                slow_start.allowance(now, 60.0, 2),
                slow_start.is_warm(now),
            ]
        )
        if random.random() < 0.03:
            damping.lost(now)
        elif random.random() < 0.1:
            records.append(damping.recovered(now))
        records.append([damping.is_usable(now), damping.held_until])
    return records


def canary_record(status):
    return {
        "verdict": str(status.verdict),
        "ops": status.ops,
        "others": status.baseline_ops,
        "near": status.progress,
        "in_time": status.share_in_time,
        "usual": status.baseline_share,
    }


def run_canary_analysis():
    random, records = Random(10), []
    for seed in range(40):
        analysis, chance = CanaryAnalysis(CanarySettings(max_ops=4000), 0.97), random.choice((0.97, 0.95, 0.8))
        for _ in range(60):
            if seed % 2:
                analysis.add_baseline(50, sum(random.random() < 0.96 for _ in range(50)))
            analysis.add_canary(50, sum(random.random() < chance for _ in range(50)))
            records.append([canary_record(analysis.status()), analysis.ops])
    records.append(
        [rollout_stages(list(range(9)), {proxy: proxy % 3 for proxy in range(9)}, canary) for canary in range(10)]
    )
    return records


SCENARIOS = {
    **{f"attempts, pick {pick}": lambda pick=pick: run_attempts(pick, False) for pick in ("random", "rotate", "two", "key")},
    **{f"attempts with limits, queue, budget and zones, pick {pick}": lambda pick=pick: run_attempts(pick, True) for pick in ("random", "rotate", "two", "key")},
    "admission": run_admission,
    "pool": run_pool,
    "zone planning": run_zone_planning,
    "placement": run_placement,
    "returning": run_slow_start_and_flap_damping,
    "gate": run_canary_analysis,
}  # fmt: skip


def digest(records):
    return hashlib.sha256(json.dumps(records).encode()).hexdigest()


@pytest.mark.parametrize("name", SCENARIOS)
def test_decisions_match_the_recorded_digest(name):
    assert digest(SCENARIOS[name]()) == RECORDED[name]


def test_every_recorded_digest_has_a_scenario():
    assert set(RECORDED) == set(SCENARIOS)
