"""The decisions of this package on drawn inputs are those of 4f929ce, the last commit before its code was rewritten.

The digests in `recorded_decisions.json` were made by this file's `play_...` functions in a clone at 4f929ce. Each covers
thousands of decisions, so that a change of one of them, or of the order in which chance is asked, shows.
"""

import hashlib
import json
from pathlib import Path
from random import Random

import pytest

from kestrelplank.load_balancing.admission import Admission
from kestrelplank.load_balancing.admission import Terms as AdmissionTerms
from kestrelplank.load_balancing.attempts import (
    CUT,
    FAILED,
    GOOD,
    NOT_STARTED,
    REFUSED,
    RESET,
    SILENT,
    UNSENT,
    Attempts,
    Avoidance,
    Budget,
    Send,
    Wait,
)
from kestrelplank.load_balancing.gate import Gate, steps
from kestrelplank.load_balancing.gate import Terms as GateTerms
from kestrelplank.load_balancing.limits import Limits, Queue
from kestrelplank.load_balancing.limits import Terms as LimitTerms
from kestrelplank.load_balancing.placement import Node, place
from kestrelplank.load_balancing.pools import DIAL, USE, Pool
from kestrelplank.load_balancing.pools import Terms as PoolTerms
from kestrelplank.load_balancing.returning import Damping, Flaps, Ramp, Warmth
from kestrelplank.load_balancing.tiers import Distances, Switch, by_distance, shed, spread
from kestrelplank.load_balancing.zones import Preference
from kestrelplank.load_balancing.zones import Terms as ZoneTerms
from kestrelplank.state.tables import Tables

RECORDED = json.loads((Path(__file__).parent / "recorded_decisions.json").read_text())
MS, S = 1_000_000, 1_000_000_000
TABLES, NODES = 3, 9
OUTCOMES = (GOOD, GOOD, GOOD, GOOD, FAILED, NOT_STARTED, REFUSED, UNSENT, RESET, CUT, SILENT)


def step_record(op, step):
    if isinstance(step, Send):
        return ["send", op.number, step.node]
    if isinstance(step, Wait):
        return ["wait", op.number, step.until]
    return ["end", op.number, str(step.verdict), str(step.why)]


def made_attempts(seed, pick, extras):
    random, tables = Random(seed), Tables(TABLES, 2, 1)
    tables.joined(0)
    for table in range(TABLES):
        tables.read(table, 0, {node: 0.5 + node % 4 for node in range(table, NODES)})
    avoidance = Avoidance(random, 3, (1 * S, 2 * S))
    if not extras:
        return Attempts(random, tables, (4 * S, 2 * S), pick, S // 2, avoidance), tables
    limits = Limits(LimitTerms(first=4, least=2, most=12))
    zones = Preference(0, ZoneTerms(), Damping(), 4, lambda node: limits.room_of(node, 2))
    for node in range(NODES):
        zones.placed(node, node % 3)
    zones.far(1, 1 * MS)
    zones.far(2, 9 * MS)
    queue = Queue(6, (S, 700 * MS), (1.0, 5.0), 0.5)
    weigh = lambda node: 0.3 if node == 4 else 1.0  # noqa: E731
    more = dict(budget=Budget(2, 0.1, 5.0), limits=limits, queue=queue, weigh=weigh, zones=zones)
    return Attempts(random, tables, (4 * S, 2 * S), pick, 0, avoidance, **more), tables


class AttemptsPlay:
    """Ops asked for, ended, given up and expired by chance, and tables that change meanwhile."""

    def __init__(self, seed, pick, extras):
        self.random, self.now, self.number = Random(seed + 1), 0, 0
        self.made, self.tables = made_attempts(seed, pick, extras)
        self.out, self.waiting, self.found, self.messages = {}, {}, [], 0

    def note(self, op, step):
        self.found.append(step_record(op, step))
        self.out.pop(op.number, None)
        self.waiting.pop(op.number, None)
        if isinstance(step, Send):
            self.out[op.number] = op
        elif isinstance(step, Wait):
            self.waiting[op.number] = op

    def change_tables(self):
        table, node = self.random.randrange(TABLES), self.random.randrange(NODES)
        order = ("line", table, node, float(self.random.randrange(3)))
        changed, _ = self.tables.apply(0, self.messages, [order])
        self.messages += 1
        for op, step in self.made.changed(self.now, changed):
            self.note(op, step)

    def turn(self):
        self.now += self.random.randrange(20 * MS)
        chance = self.random.random()
        if chance < 0.45:
            self.number += 1
            self.note(
                *self.made.ask(self.now, self.number, self.number % 2, self.number % TABLES, None, f"k{self.number}")
            )
        elif chance < 0.85 and self.out:
            op = self.out[min(self.out)]
            self.note(op, self.made.ended(self.now, op, self.random.choice(OUTCOMES)))
        elif chance < 0.90 and self.out:
            op = self.out[max(self.out)]
            self.note(op, self.made.give_up(self.now, op))
        elif chance < 0.95 and self.waiting:
            op = self.waiting[min(self.waiting)]
            self.note(op, self.made.expire(self.now, op))
        else:
            self.change_tables()
        for op, step in self.made.settled(self.now):
            self.note(op, step)


def play_attempts(pick, extras):
    found = []
    for seed in range(3):
        play = AttemptsPlay(seed, pick, extras)
        for _ in range(3000):
            play.turn()
        found += play.found
        found.append(sorted(play.made.counts.items()))
        found.append([play.made.waiting(), sorted(play.made.own.items())])
        if extras:
            found.append(play.made._limits.shown())
            found.append(play.made._zones.shown(play.now))
            found.append(sorted(play.made._zones.counts.items()))
    return found


def play_admission():
    random, admission, found, number, present = Random(5), Admission(AdmissionTerms(12, 5, 2 * S, 6 * S)), [], 0, []
    for turn in range(4000):
        now, chance = turn * 90 * MS, random.random()
        if chance < 0.4 or not present:
            number += 1
            how, push = admission.came(now, number, random.choice("abcd"))
            found.append([str(how), push])
            present = [one for one in present if one != push] + ([number] if str(how) == "admit" else [])
        elif chance < 0.7:
            admission.state(now, random.choice(present), random.choice(("head", "busy", "idle")))
        elif chance < 0.8:
            admission.gone(present.pop(random.randrange(len(present))))
        else:
            late = admission.late(now, chance > 0.95)
            found.append(late)
            for connection, _ in late:
                admission.gone(connection)
                present.remove(connection)
    return found


def play_pool():
    random, found, number, busy, dialling = Random(6), [], 0, [], 0
    pool = Pool(0, PoolTerms(most=5, idle=2 * S, uses=4, grace=1 * S, warm_up=10 * S))
    for turn in range(6000):
        now, chance = turn * 40 * MS, random.random()
        if chance < 0.4:
            step = pool.take(now)
            if step[0] == USE:
                busy.append(step[1])
            dialling += step[0] == DIAL
            found.append(list(step))
        elif chance < 0.6 and dialling:
            dialling -= 1
            number += 1
            if chance < 0.57:
                pool.opened(number)
                busy.append(number)
            else:
                pool.failed()
        elif chance < 0.9 and busy:
            found.append(pool.done(now, busy.pop(random.randrange(len(busy))), chance < 0.85))
        elif chance < 0.91:
            found.append(sorted(pool.withdraw(now)))
        elif chance < 0.94:
            pool.restore(now)
        else:
            found.append([pool.expired(now), pool.overdue(now), round(pool.share(now), 9)])
        found.append(list(pool.counts()))
    return found


def play_zone_planning():
    random, found = Random(7), []
    for _ in range(400):
        zones = list(range(random.randrange(1, 6)))
        distances = {(a, b): random.random() * 10 for a in zones for b in zones if random.random() < 0.8}
        tiers = {zone: by_distance(zone, zones, distances, 1.5) for zone in zones}
        demand = {zone: random.random() * 100 for zone in zones if random.random() < 0.9}
        capacity = {zone: random.random() * 150 for zone in zones if random.random() < 0.9}
        plan = spread(demand, capacity, tiers, [random.random() for _ in range(random.randrange(3))])
        found.append([tiers[zone] for zone in zones])
        found.append(
            [sorted((list(pair), amount) for pair, amount in part.items()) for part in (plan.flows, plan.used)]
        )
        found.append(sorted(plan.unserved.items()))
        types = [(number, random.random() * 40, float(random.randrange(3))) for number in range(4)]
        found.append(shed(random.random() * 100, types))
    switch, distances = Switch(0.9, 0.7), Distances()
    found.append([switch.look(random.random() * 120, 100.0) for _ in range(200)])
    for _ in range(60):
        for zone in range(3):
            for other in range(3):
                distances.seen(zone, other, random.randrange(4), random.random() * 100 * MS)
        distances.close()
        found.append([distances.between(zone, other) for zone in range(3) for other in range(3)])
    return found


def play_placement():
    random, found = Random(8), []
    for turn in range(150):
        large = turn % 5 == 0
        loads = [random.random() * 9 for _ in range(random.randrange(30, 50) if large else random.randrange(1, 6))]
        nodes = [
            Node(random.choice((0.0, 3.0, 8.0, 20.0)), random.randrange(3), random.choice((None, None, 2, 9)))
            for _ in range(7 if large else random.randrange(1, 4))
        ]
        placed = place(loads, nodes, random.choice((None, 0.7, 1.0)), random.choice((1.0, 0.6)))
        found.append([list(placed.where), placed.peak, placed.unplaced, placed.exact, placed.why])
    return found


def play_returning():
    random, found = Random(9), []
    ramp, flaps = Ramp(Warmth(0.2, 10 * S, 3.0), 0, 0), Flaps(Damping())
    for turn in range(2000):
        now = turn * 300 * MS
        if turn % 60 == 0:
            ramp = Ramp(Warmth(0.2, 10 * S, 3.0), now, now + S)
        ramp.report(now, random.randrange(20), random.randrange(3), random.choice((None, 40.0, 90.0)), 40.0)
        found.append([ramp.age(now), ramp.warmth(now), ramp.allowance(now, 60.0, 2), ramp.warm(now)])
        if random.random() < 0.03:
            flaps.lost(now)
        elif random.random() < 0.1:
            found.append(flaps.back(now))
        found.append([flaps.feeds(now), flaps.held_until])
    return found


def play_gate():
    random, found = Random(10), []
    for seed in range(40):
        gate, chance = Gate(GateTerms(most=4000), 0.97), random.choice((0.97, 0.95, 0.8))
        for _ in range(60):
            if seed % 2:
                gate.without(50, sum(random.random() < 0.96 for _ in range(50)))
            gate.with_it(50, sum(random.random() < chance for _ in range(50)))
            found.append(
                [{key: value if key != "verdict" else str(value) for key, value in gate.shown().items()}, gate.ops]
            )
    found.append([steps(list(range(9)), {relay: relay % 3 for relay in range(9)}, canary) for canary in range(10)])
    return found


PLAYS = {
    **{f"attempts, pick {pick}": lambda pick=pick: play_attempts(pick, False) for pick in ("random", "rotate", "two", "key")},
    **{f"attempts with limits, queue, budget and zones, pick {pick}": lambda pick=pick: play_attempts(pick, True) for pick in ("random", "rotate", "two", "key")},
    "admission": play_admission,
    "pool": play_pool,
    "zone planning": play_zone_planning,
    "placement": play_placement,
    "returning": play_returning,
    "gate": play_gate,
}  # fmt: skip


def digest(found):
    return hashlib.sha256(json.dumps(found).encode()).hexdigest()


@pytest.mark.parametrize("name", PLAYS)
def test_decisions_are_as_recorded_before_the_rewriting(name):
    assert digest(PLAYS[name]()) == RECORDED[name]


def test_every_recording_is_played():
    assert set(RECORDED) == set(PLAYS)
