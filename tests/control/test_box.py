"""Three control members, their disks, servers and an operator on one clock that the test turns: kills, empty disks, cuts,
frozen members and late calls, and after each step the rules: no key held twice, nothing acknowledged lost."""

import re
from pathlib import Path
from random import Random

import pytest
from configuration.test_plan import encoded
from storage.memory import Memory

import kestrelplank
from kestrelplank.configuration.keeping import SETTLED
from kestrelplank.configuration.plan import read
from kestrelplank.control.box import Box
from kestrelplank.sharding.lines import HELD, HOLD, KEYS
from kestrelplank.transport.outlook import EdgeView

NAMES = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
MS, S = 1_000_000, 1_000_000_000
PROBES = range(0, KEYS, 1024)  # keys that are watched


class Holding:
    """A server's fences and holds, on a clock 2% slow."""

    def __init__(self):
        self.fences, self.until, self.up = dict.fromkeys(PROBES, -1), dict.fromkeys(PROBES, 0), True

    def take(self, now, word, body):
        keys = [key for key in PROBES if body["first"] <= key <= body["last"]]
        if word == "grant":
            if any(self.fences[key] > body["fence"] for key in keys):
                return 409
            for key in keys:
                self.fences[key], self.until[key] = body["fence"], now + HOLD * 102 // 100
        else:
            for key in keys:
                self.fences[key], self.until[key] = max(self.fences[key], body["fence"]), 0
        return 200


class Yard:
    def __init__(self, seed, servers=4):
        self.random, self.now = Random(seed), 1000 * S
        self.disks = {name: Memory() for name in NAMES}
        self.boxes, self.lives = {}, dict.fromkeys(NAMES, 0)
        self.events, self.count = [], 0
        self.cut, self.frozen, self.refuses = set(), {}, 0.0  # the last: part of all writes that a disk refuses
        self.ended, self.acknowledged = {}, 0
        self.servers = {f"i-{number}": Holding() for number in range(servers)}
        self.state, self.addresses = dict.fromkeys(self.servers, "ready"), {}
        self.bare = 0
        self.edge, self.hot = EdgeView("edge", NAMES), None  # an edge member in session with all; where it sends most
        for name in NAMES:
            self.start(name, first=True)

    # The machines.

    def start(self, name, first=False):
        disk = self.disks[name]
        self.lives[name] += 1
        if first:
            disk.keep_roll(NAMES)
        self.boxes[name] = Box(
            self.now,
            Random(self.random.random()),
            name,
            NAMES,
            disk.roll() is not None,
            first,
            disk.word(),
            disk.registers(),
        )

    def kill(self, name, wipe=False):
        del self.boxes[name]
        self.lives[name] += 1
        if wipe:
            self.disks[name] = Memory()

    def later(self, delay, what, *given):
        self.count += 1
        self.events.append((self.now + delay, self.count, what, given))

    def reaches(self, one, other):
        return one == other or frozenset((one, other)) not in self.cut

    def run(self, name, effects):
        life = self.lives[name]
        for effect in effects:
            if effect[0] == "send":
                self.later(self.random.choice((1, 2, 9)) * MS, self.arrive, name, effect[1], effect[2])
            elif effect[0] == "disk":
                self.later(self.random.choice((3, 5, 40)) * MS, self.written, name, life, *effect[1:])
            elif effect[0] == "call":
                _, word, service, server, address, line, until = effect
                body = {"first": line.first, "last": line.last, "fence": line.fence}
                self.later(
                    self.random.choice((1, 3)) * MS, self.called, name, life, word, service, server, line, body, until
                )
            elif effect[0] == "frames":
                for frame in effect[1]:
                    self.edge.frame(self.now, name, frame)
            elif effect[0] in ("answer", "show"):
                self.ended[effect[1]] = effect[2]

    def arrive(self, sender, name, frame):
        if name in self.boxes and self.reaches(sender, name):
            if name in self.frozen:
                self.later(10 * MS, self.arrive, sender, name, frame)
            else:
                self.run(name, self.boxes[name].frame(self.now, sender, frame))

    def written(self, name, life, what, payload, then):
        if self.lives[name] != life:
            return
        disk = self.disks[name]
        if self.random.random() < self.refuses:
            self.later(300 * MS, self.written, name, life, what, payload, then)  # tried again after later ones
            return
        if what == "word":
            disk.keep_word(payload)
        elif what == "register":
            disk.keep_registers(dict([payload]))
        else:
            disk.keep_registers(payload[1])
            if payload[2] is not None:
                disk.keep_word(payload[2])
            disk.keep_roll(NAMES)
        for effect in then:
            if effect[0] == "stored":
                self.run(name, self.boxes[name].stored(self.now, effect[1]))
            elif effect[0] == "adopted":
                self.run(name, self.boxes[name].adopted(self.now))
            else:
                self.run(name, [effect])

    def called(self, name, life, word, service, server, line, body, until):
        if self.lives[name] != life:
            return
        if name in self.frozen:  # it looks at its claim when it is thawed, as the adapter does
            self.later(10 * MS, self.called, name, life, word, service, server, line, body, until)
            return
        holding = self.servers[server]
        sent = (word == "release" or self.now < until) and holding.up  # nobody answers the dial of one that is down
        status = None
        if sent and holding.up and frozenset((name, server)) not in self.cut:
            status = holding.take(self.now, word, body)
            if self.random.random() < 0.05:
                status = None  # it arrived, and its answer is lost
        handover = "h" if status == 200 and word == "release" else None
        self.later((5 if status else 800) * MS, self.answered, name, life, service, word, line, sent, status, handover)

    def answered(self, name, life, *given):
        if self.lives[name] == life and name in self.boxes:
            self.run(name, self.boxes[name].called(self.now, *given))

    # Time.

    def step(self):
        self.now += 10 * MS
        for name in [name for name, until in self.frozen.items() if until <= self.now]:
            del self.frozen[name]
        while True:
            due = [event for event in self.events if event[0] <= self.now]
            if not due:
                break
            event = min(due)
            self.events.remove(event)
            event[2](*event[3])
        for name in list(self.boxes):
            if name not in self.frozen:
                if self.now % (500 * MS) == 0:
                    self.boxes[name].listed(
                        self.now,
                        0,
                        [
                            (server, "views", self.addresses.get(server, f"{server}:80"), "z", 2, state, 0)
                            for server, state in self.state.items()
                        ],
                    )
                if self.now % (50 * MS) == 0:
                    self.run(name, self.boxes[name].tick(self.now))
        if self.now % (500 * MS) == 0 and self.hot is not None:
            self.report()
        for key in PROBES:
            holders = [
                server for server, holding in self.servers.items() if holding.up and holding.until[key] > self.now
            ]
            assert len(holders) <= 1, (key, holders, self.now)
            self.bare += not holders

    def report(self):
        """The edge member's beat and report to each: 40 requests, most of them for the keys from `hot` on."""
        for name, box in self.boxes.items():
            if name not in self.frozen:
                for frame in box.lacking(self.now, self.edge.stand()):
                    self.edge.frame(self.now, name, frame)
                keys = [
                    self.hot + self.random.randrange(300) if self.random.random() < 0.8 else self.random.randrange(KEYS)
                    for _ in range(40)
                ]
                box.report(self.now, {"service": "views", "keys": keys, "servers": {}})

    def lines(self):
        """The decider's lines: key ranges and servers."""
        return [
            (line.first, line.last, line.server)
            for decision in self.boxes[self.decider()].decisions.values()
            for line in decision.lines.lines
        ]

    def moving(self):
        """Lines of the decider, and whether each is held."""
        decision = next(iter(self.boxes[self.decider()].decisions.values())) if self.decider() else None
        return [
            ((line.first, line.last, line.server), line.state == HELD)
            for line in (decision.lines.lines if decision else ())
        ]

    def turn(self, seconds):
        for _ in range(round(seconds * 100)):
            self.step()

    def put(self, name, version):
        ticket = version
        timetable = read(encoded(version=f"{version:08x}")).unwrap()
        self.run(name, self.boxes[name].put(self.now, ticket, timetable))

    def settled(self, version):
        return self.ended.get(version) == SETTLED

    def decider(self):
        return next(
            (
                name
                for name, box in self.boxes.items()
                for decision in box.decisions.values()
                if decision.claimer.decides(self.now)
            ),
            None,
        )

    def all_held(self):
        return all(
            any(holding.up and holding.until[key] > self.now for holding in self.servers.values()) for key in PROBES
        )

    def begin(self):
        self.turn(0.5)
        self.put(NAMES[0], 1)
        self.turn(4)
        assert self.settled(1) and self.all_held()
        self.bare = 0


def test_a_first_start_gives_out_all_keys():
    Yard(1).begin()


def test_a_lost_decider_leaves_no_key_bare():
    yard = Yard(2)
    yard.begin()
    lost = yard.decider()
    yard.kill(lost)
    yard.turn(6)
    assert yard.decider() not in (None, lost) and yard.bare == 0
    yard.start(lost)
    yard.turn(3)
    assert yard.all_held()


def test_all_killed_and_back_leave_no_key_bare():
    yard = Yard(3)
    yard.begin()
    for name in NAMES:
        yard.kill(name)
    yard.turn(1.5)
    for name in NAMES:
        yard.start(name)
    yard.turn(6)
    assert yard.decider() and yard.bare == 0


def test_keys_of_a_server_that_is_gone_wait_for_its_hold_and_no_longer():
    yard = Yard(4)
    yard.begin()
    yard.servers["i-1"].up = False
    del yard.state["i-1"]
    yard.turn(0.6)
    assert not yard.all_held()
    yard.turn(HOLD / S + 1.5)
    assert yard.all_held()


def test_keys_of_a_draining_server_go_over_at_once():
    yard = Yard(5)
    yard.begin()
    yard.state["i-1"] = "draining"
    yard.turn(2.5)  # an answer may be lost on the way
    assert yard.all_held() and not any(until > yard.now for until in yard.servers["i-1"].until.values())


def test_a_server_behind_a_cut_keeps_its_keys_until_they_have_run_out():
    yard = Yard(6)
    yard.begin()
    yard.cut = {frozenset((name, "i-1")) for name in NAMES}
    yard.state["i-1"] = "draining"
    yard.turn(HOLD / S + 2)
    yard.cut = set()
    yard.turn(2)
    assert yard.all_held()


def test_a_decider_frozen_beyond_its_claim_does_no_harm():
    yard = Yard(7)
    yard.begin()
    lost = yard.decider()
    yard.frozen[lost] = yard.now + 8 * S
    yard.state["i-1"] = "draining"
    yard.turn(12)
    assert yard.decider() != lost and yard.all_held()


def test_both_sides_of_a_cut_core():
    yard = Yard(8)
    yard.begin()
    lost = yard.decider()
    others = [name for name in NAMES if name != lost]
    yard.cut = {frozenset((lost, other)) for other in others}
    yard.turn(1)
    yard.put(others[0], 5)
    yard.put(lost, 9)
    yard.turn(5)
    assert yard.settled(5) and not yard.settled(9) and yard.decider() in others
    yard.cut = set()
    yard.turn(3)
    assert len({box.keeper.force.key for box in yard.boxes.values()}) == 1 and yard.all_held()


def test_all_power_lost_right_after_a_move_leaves_the_key_with_one_server():
    yard = Yard(11)
    yard.begin()
    yard.state["i-1"] = "draining"
    while all(held for _, held in yard.moving()):
        yard.step()
    for _ in range(3):  # the move is under way, at another step each time
        for name in NAMES:
            yard.kill(name)
        yard.turn(0.5)
        for name in NAMES:
            yard.start(name)
        yard.turn(0.93)
    yard.turn(4)
    assert yard.all_held() and not any(until > yard.now for until in yard.servers["i-1"].until.values())


def test_servers_that_appear_one_by_one_at_a_first_start_all_get_keys():
    yard = Yard(12, servers=0)
    yard.turn(0.5)
    yard.put(NAMES[0], 1)
    for number in range(6):
        yard.servers[f"i-{number}"], yard.state[f"i-{number}"] = Holding(), "ready"
        yard.turn(0.7)
    yard.turn(4)
    held = [sum(until > yard.now for until in holding.until.values()) for holding in yard.servers.values()]
    assert yard.all_held() and min(held) >= len(PROBES) / 6 / 2


def test_another_life_at_an_address_ends_the_former_ones_hold_at_once():
    yard = Yard(13)
    yard.begin()
    del yard.state["i-1"]
    yard.servers["i-1"].up = False
    yard.servers["n-1"], yard.state["n-1"] = Holding(), "ready"
    yard.addresses["n-1"] = "i-1:80"
    yard.turn(1.5)  # far below a hold
    assert yard.all_held()


def test_no_core_and_no_program_of_the_gateway_heeds_the_time_of_day():
    """It steps; only the steady clock counts."""
    folder = Path(kestrelplank.__file__).parent
    rooms = ("sharding", "configuration", "forwarding", "transport", "storage", "http", "edge", "control")
    sources = [path for room in rooms for path in (folder / room).glob("*.py")]
    assert len(sources) > 20
    assert not [path for path in sources if re.search(r"\btime\.time(_ns)?\(|datetime", path.read_text())]


def test_who_lost_its_disk_vouches_for_nothing_until_it_has_heard_the_others():
    yard = Yard(9)
    yard.begin()
    one, two, three = NAMES
    yard.kill(three)
    yard.put(one, 5)
    yard.turn(0.5)
    assert yard.settled(5)
    for name in (one, two):
        yard.kill(name, wipe=name == one)
    for name in (one, three):  # `two` alone has 5 now
        yard.start(name)
    yard.turn(2)
    assert not yard.boxes[one].whole
    yard.start(two)
    yard.turn(4)
    assert yard.boxes[one].whole and {box.keeper.force.key.version for box in yard.boxes.values()} == {5}


def test_lines_are_cut_where_the_heat_is_and_joined_where_it_was_and_an_edge_follows_by_what_changed():
    yard, most = Yard(10), 0
    yard.begin()
    began = len(yard.lines())
    for hot in (5_000, 30_000, 60_000):
        yard.hot = hot
        yard.turn(15)
        lines = yard.lines()
        most = max(most, len(lines))
        assert len([line for line in lines if hot <= line[1] and line[0] < hot + 300]) >= 4
        assert [line[0] for line in lines] == [0, *(line[1] + 1 for line in lines[:-1])] and lines[-1][1] == KEYS - 1
    cool = [line for line in yard.lines() if line[1] < 31_000]
    assert most > began and len(cool) < len(yard.lines()) / 2 and most <= 6 * len(yard.servers)
    for key in PROBES:
        held = yard.edge.holders["views"].of(key)
        assert held is None or yard.servers[held.server].until[key] > yard.now


@pytest.mark.parametrize("seed", range(12))
def test_whatever_happens_no_key_is_held_twice_and_nothing_acknowledged_is_lost(seed):
    """Kills, empty disks within what is borne, cuts, freezes, servers that go, drain and come, for a minute."""
    yard, chance = Yard(seed), Random(seed)
    yard.begin()
    yard.hot, yard.refuses = seed * 5_000, 0.1 * (seed % 3)
    version, back, fresh = 1, {}, 0
    for second in range(60):
        kind = chance.randrange(9)
        if kind == 0 and len(yard.boxes) == 3 and not yard.frozen and all(box.whole for box in yard.boxes.values()):
            name = chance.choice(NAMES)
            yard.kill(name, wipe=chance.random() < 0.5)
            back[name] = second + chance.randrange(1, 6)
        elif kind == 1 and len(yard.boxes) == 3 and all(box.whole for box in yard.boxes.values()):
            for name in NAMES:
                yard.kill(name)
                back[name] = second + 1
        elif kind == 2 and not yard.cut:
            lone = chance.choice(NAMES)
            yard.cut = {frozenset((lone, other)) for other in NAMES if other != lone}
            yard.cut |= {frozenset((lone, server)) for server in chance.sample(sorted(yard.servers), 2)}
        elif kind == 3:
            yard.cut = set()
        elif kind == 4 and len(yard.boxes) == 3:
            yard.frozen[chance.choice(NAMES)] = yard.now + chance.randrange(1, 7) * S
        elif kind == 5:
            ready = [server for server, state in yard.state.items() if state == "ready"]
            if len(ready) > 2:
                yard.state[chance.choice(ready)] = "draining"
        elif kind == 6:
            ready = [server for server, state in yard.state.items() if state == "ready"]
            if len(ready) > 2:
                lost = chance.choice(ready)
                yard.servers[lost].up = False
                del yard.state[lost]
        elif kind == 7:
            fresh += 1
            yard.servers[f"n-{fresh}"], yard.state[f"n-{fresh}"] = Holding(), "ready"
        elif yard.boxes:
            version += 1
            yard.put(chance.choice(sorted(yard.boxes)), version)
        yard.turn(1)
        for name in [name for name, at in back.items() if at <= second]:
            del back[name]
            yard.start(name)
    yard.cut, yard.frozen, yard.refuses = set(), {}, 0.0
    for name in back:
        yard.start(name)
    yard.turn(HOLD / S + 8)
    acknowledged = max(number for number in range(1, version + 1) if yard.settled(number))
    assert all(box.keeper.force.key.version >= acknowledged for box in yard.boxes.values())
    assert yard.all_held()


def test_a_record_laid_down_by_a_former_version_is_read_and_its_lines_kept():
    """Before servers were weighed a record was lines alone."""
    yard = Yard(4)
    yard.begin()
    for name, disk in yard.disks.items():
        yard.kill(name)
        for service, register in disk.registers().items():
            disk.keep_registers({service: register._replace(record=register.record[0], seq=register.seq + 1)})
    before = {name: disk.registers()["views"].record for name, disk in yard.disks.items()}
    assert all(isinstance(parts[0], int) for record in before.values() for parts in record)
    for name in NAMES:
        yard.start(name)
    yard.turn(6)
    assert yard.decider() and yard.all_held() and yard.bare == 0
