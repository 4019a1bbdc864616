"""Claims: at most one member decides at a time, whatever is lost, late or restarted."""

from random import Random

from kestrelplank.sharding.claims import LEASE, Claimer, Promiser, Register

NAMES = ("a", "b", "c")
MS = 1_000_000


class Yard:
    """Three members on one clock. Frames take their time; a member may be down or cut off, and come back."""

    def __init__(self, seed, loss=0.0):
        self.random, self.now, self.loss = Random(seed), 1_000 * MS, loss
        self.registers = {name: {} for name in NAMES}
        self.claimers, self.promisers, self.life = {}, {}, dict.fromkeys(NAMES, 0)
        self.frames, self.away, self.offices = [], set(), {}
        for name in NAMES:
            self.start(name, first=True)

    def start(self, name, first=False):
        self.life[name] += 1
        self.claimers[name] = Claimer(self.now, Random(self.random.random()), name, NAMES, "views")
        self.promisers[name] = Promiser(self.now, dict(self.registers[name]), True, first)
        self.offices.pop(name, None)

    def run(self, name, effects):
        for effect in effects:
            if effect[0] == "send":
                self.post(name, effect[1], effect[2])
            elif effect[0] == "register":
                self.registers[name][effect[1]] = effect[2]
                self.post(name, effect[3], effect[4])
            elif effect[0] == "office":
                self.offices[name] = effect[1]
                self.run(name, self.claimers[name].lay_down(self.now, (effect[1] or 0) + 1))
            elif effect[0] == "lost":
                self.offices.pop(name, None)

    def post(self, sender, name, frame):
        if sender == name or self.random.random() >= self.loss:
            late = self.random.choice((1, 2, 5, 5, 30, 700)) if self.loss and sender != name else 1
            self.frames.append((self.now + late * MS, sender, self.life[sender], name, frame))

    def step(self):
        self.now += 10 * MS
        due = sorted((one for one in self.frames if one[0] <= self.now), key=lambda one: one[0])
        self.frames = [one for one in self.frames if one[0] > self.now]
        for _, sender, _, name, frame in due:
            if sender in self.away or name in self.away:
                continue
            if frame["t"] == "promised":
                self.run(name, self.claimers[name].answered(self.now, sender, frame))
            else:
                self.run(name, self.promisers[name].take(self.now, sender, frame))
        for name in NAMES:
            if name not in self.away:
                free = self.promisers[name].free_at("views", name)
                self.run(name, self.claimers[name].tick(self.now, free, len(NAMES) - len(self.away), True))

    def deciders(self):
        return [name for name in NAMES if self.claimers[name].decides(self.now)]

    def until(self, condition, within):
        for _ in range(within // (10 * MS)):
            if condition():
                return True
            self.step()
        return False


def test_one_decides_and_stays():
    yard = Yard(1)
    assert yard.until(yard.deciders, LEASE)
    first = yard.deciders()
    for _ in range(600):
        yard.step()
        assert yard.deciders() == first


def test_who_takes_over_finds_the_last_record_after_the_claim_has_run_out():
    yard = Yard(2)
    yard.until(yard.deciders, LEASE)
    first = yard.deciders()[0]
    yard.until(lambda: all(yard.registers[name]["views"].record == 1 for name in NAMES), LEASE)
    yard.away.add(first)
    lost_at = yard.now
    assert yard.until(lambda: any(name != first for name in yard.deciders()), 3 * LEASE)
    assert yard.now - lost_at >= LEASE - 500 * MS  # it may have renewed up to the moment
    second = next(name for name in yard.deciders() if name != first)
    assert yard.offices[second] == 1
    yard.away.clear()
    for _ in range(300):  # who comes back does not take it from who holds it
        yard.step()
        assert first not in yard.deciders()


def test_all_killed_at_once_are_back_well_within_a_hold():
    yard = Yard(3)
    yard.until(yard.deciders, LEASE)
    for name in NAMES:
        yard.start(name)
    assert yard.until(yard.deciders, 2 * LEASE)


def test_a_member_that_starts_promises_nothing_while_its_former_life_may_have():
    promiser = Promiser(0, {"views": Register(promised=(4, "a"))}, True, False)
    frame = {"t": "claim", "service": "views", "ballot": (9, "b"), "nonce": 1}
    assert promiser.take(LEASE - 1, "b", frame)[0][2]["ok"] is False
    assert promiser.take(LEASE, "b", frame)[0][4]["ok"] is True
    again = Promiser(0, {"views": Register(promised=(4, "a"))}, True, False)
    assert again.take(1, "a", {**frame, "ballot": (9, "a")})[0][4]["ok"] is True  # its former life is over


def test_a_member_with_an_empty_disk_promises_nothing():
    frame = {"t": "claim", "service": "views", "ballot": (9, "b"), "nonce": 1}
    assert Promiser(0, {}, False, False).take(9 * LEASE, "b", frame) == []


def test_never_two_deciders_and_never_a_record_forgotten():
    """Loss, delay, members away and back, started anew: two never decide at once, and whoever comes into office finds a
    record at least as new as any that a majority had."""
    terms = 0
    for seed in range(30):
        yard = Yard(seed, loss=0.1)
        chance = Random(seed)
        known = 0
        for _ in range(1500):
            was = dict(yard.offices)
            yard.step()
            assert len(yard.deciders()) <= 1, seed
            for name, record in yard.offices.items():
                if name not in was:
                    terms += 1
                    assert (record or 0) >= known, seed
            records = sorted(
                (reg.get("views", Register()).record or 0 for reg in yard.registers.values()), reverse=True
            )
            known = max(known, records[1])
            if chance.random() < 0.01:
                yard.away = {chance.choice(NAMES)} if not yard.away else set()
            if chance.random() < 0.005:
                yard.start(chance.choice(NAMES))
    assert terms > 45
