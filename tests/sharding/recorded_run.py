"""A seeded run of one sharded service with faults, whose decisions were recorded at 4f929ce.

Twelve servers of different speeds, keys whose popular region moves, calls that are lost or refused, servers that drain,
go, come back or are replaced, and leaders that follow each other. All chance is the run's own, so two versions of the
code that decide alike leave the same digests. `Subject` is the only class that knows names of the code under test.
"""

import json
from hashlib import sha256
from pathlib import Path
from random import Random

FIXTURE = Path(__file__).with_name("recorded_run.json")
SECOND = 1_000_000_000
TICK_NS = SECOND // 20
KEY_COUNT = 65536
TICKS, TICKS_PER_DIGEST = 4000, 100
SPEEDS = [0.7, 1.0, 1.0, 1.5] * 3
GRANT_ENDS = [(True, 200)] * 92 + [(True, None)] * 3 + [(False, None)] * 2 + [(True, 409), (True, 500), (True, 421)]
RELEASE_ENDS = [(200, "h")] * 18 + [(200, None), (None, None)]


class RecordedRun:
    """One run. `subject_type`: makes the code under test, see `Subject` in test_recorded_run.py."""

    def __init__(self, subject_type, seed):
        self.subject_type, self.seed, self.random = subject_type, seed, Random(seed)
        self.now, self.term = 100 * SECOND, 0
        # name: address, zone, slots, ready, warm_at, speed
        self.servers = {f"s{number}": self.server(number, speed) for number, speed in enumerate(SPEEDS)}
        self.next_server = len(SPEEDS)
        self.hottest = self.random.randrange(KEY_COUNT)
        self.calls = []  # ends at, a number that keeps ties apart, request, sent, status, handover
        self.call_count = 0
        self.committed, self.commit_at = None, None
        self.proposed = None
        self.digest, self.digests = sha256(), []
        self.elect()

    def server(self, number, speed, address=None, warm_at=0):
        return [address or f"10.0.0.{number}:80", f"z{number % 3}", 2, True, warm_at, speed]

    def note(self, *observation):
        self.digest.update(repr(observation).encode())

    def elect(self):
        """A new leader begins with the newest committed record; answers to the former leader's calls reach nobody."""
        self.term += 1
        self.calls, self.commit_at, self.proposed = [], None, None
        self.subject = self.subject_type(self.now, self.term, self.committed, self.servers, self.random.getrandbits(32))
        self.note("update", self.subject.update())

    def run(self):
        for tick in range(1, TICKS + 1):
            self.now += TICK_NS
            self.disturb(tick)
            if tick % 10 == 0:
                self.report()
            self.end_calls()
            if self.commit_at is not None and self.now >= self.commit_at:
                self.committed, self.commit_at = self.proposed, None
                self.note("committed", self.subject.recorded(self.now))
            self.work()
            if tick % TICKS_PER_DIGEST == 0:
                self.note("update", self.subject.update(), self.subject.counters())
                self.digests.append(self.digest.hexdigest()[:16])
        return self.digests

    def disturb(self, tick):
        if tick % 200 == 0:
            self.hottest = self.random.randrange(KEY_COUNT)
        if tick % 60 == 0:
            self.change_list()
        if tick % 1300 == 0:
            self.elect()

    def change_list(self):
        name = self.random.choice(list(self.servers))
        kind = self.random.choice(["drain", "remove", "replace", "return", "return"])
        if kind == "drain":
            self.servers[name][3] = False
        elif kind == "remove" and len(self.servers) > 8:
            del self.servers[name]
        elif kind == "replace":
            address, speed = self.servers[name][0], self.servers[name][5]
            del self.servers[name]
            self.add_server(speed, address)
        elif kind == "return":
            for server in self.servers.values():
                server[3] = True
            if len(self.servers) < len(SPEEDS):
                self.add_server(self.random.choice(SPEEDS), None)
        self.subject.listed(self.now, self.servers)

    def add_server(self, speed, address):
        number = self.next_server
        self.next_server += 1
        self.servers[f"s{number}"] = self.server(number, speed, address, self.now + 3 * SECOND)

    def report(self):
        """Two edge members' reports: keys by a region of interest, times by the servers' speeds."""
        for _ in range(2):
            keys, met = [], {}
            for _ in range(15):
                keys.append((self.hottest + int(KEY_COUNT * self.random.random() ** 3)) % KEY_COUNT)
            for name, server in self.servers.items():
                answers = self.random.randrange(5)
                log = self.random.gauss(-2.0, 0.5)
                seconds = sum([log - server[5] for _ in range(answers)])
                failed = int(self.random.random() < 0.05)
                if answers:
                    met[name] = (answers, failed, answers * 1.5 / server[5], answers, seconds, answers)
            self.subject.report(self.now, keys, met)

    def work(self):
        for kind, *fields in self.subject.work(self.now):
            if kind == "record":
                self.proposed, self.commit_at = fields[0], self.now + self.random.randrange(3) * TICK_NS
                self.note(kind, fields[0])
            elif kind in ("grant", "release"):
                server, address, keys, request = fields
                self.note(kind, server, address, keys)
                self.call(kind, request)
            else:
                self.note(kind, *fields)

    def call(self, action, request):
        if action == "grant":
            (sent, status), handover = self.random.choice(GRANT_ENDS), None
            delay = self.random.randrange(2) if status else 16
        else:
            sent, (status, handover) = True, self.random.choice(RELEASE_ENDS)
            delay = self.random.randrange(8) if status else 40
        self.call_count += 1
        self.calls.append((self.now + delay * TICK_NS, self.call_count, request, sent, status, handover))

    def end_calls(self):
        ended = sorted((call for call in self.calls if call[0] <= self.now), key=lambda call: call[:2])
        self.calls = [call for call in self.calls if call[0] > self.now]
        for _, _, request, sent, status, handover in ended:
            self.note("at once", self.subject.called(self.now, request, sent, status, handover))


def recorded():
    """The digests by seed."""
    return json.loads(FIXTURE.read_text())
