"""A seeded run of one sharded service with faults, whose decisions are those of 4f929ce, recorded anew with later versions.

It has servers of different speeds, a moving region of popular keys, lost and rejected calls, changes of the server list
and changes of leader. All random numbers come from the run's seed, so versions that decide alike give equal digests.
Only `Subject` uses names of the code under test.
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
GRANT_RESULTS = [(True, 200)] * 92 + [(True, None)] * 3 + [(False, None)] * 2 + [(True, 409), (True, 500), (True, 421)]
RELEASE_RESULTS = [(200, "h")] * 18 + [(200, None), (None, None)]


class RecordedRun:
    """One run. `subject_type` wraps the code under test, see `Subject` in test_recorded_run.py."""

    def __init__(self, subject_type, seed):
        self.subject_type, self.seed, self.random = subject_type, seed, Random(seed)
        self.now, self.term = 100 * SECOND, 0
        # by name: address, zone, slots, ready, warming_until, speed
        self.servers = {f"s{number}": self.server(number, speed) for number, speed in enumerate(SPEEDS)}
        self.next_server = len(SPEEDS)
        self.first_popular_key = self.random.randrange(KEY_COUNT)
        self.calls = []  # end time, a number that breaks ties, request, sent, status, handover
        self.call_count = 0
        self.committed, self.commit_at = None, None
        self.proposed = None
        self.digest, self.digests = sha256(), []
        self.start_leader()

    def server(self, number, speed, address=None, warming_until=0):
        return [address or f"10.0.0.{number}:80", f"z{number % 3}", 2, True, warming_until, speed]

    def observe(self, *observation):
        self.digest.update(repr(observation).encode())

    def start_leader(self):
        """Start a new leader with the newest committed record; results of the former leader's calls are discarded."""
        self.term += 1
        self.calls, self.commit_at, self.proposed = [], None, None
        self.subject = self.subject_type(self.now, self.term, self.committed, self.servers, self.random.getrandbits(32))
        self.observe("update", self.subject.update())

    def run(self):
        for tick in range(1, TICKS + 1):
            self.now += TICK_NS
            self.inject_events(tick)
            if tick % 10 == 0:
                self.report()
            self.end_calls()
            if self.commit_at is not None and self.now >= self.commit_at:
                self.committed, self.commit_at = self.proposed, None
                self.observe("committed", self.subject.record_committed(self.now))
            self.apply_due_effects()
            if tick % TICKS_PER_DIGEST == 0:
                self.observe("update", self.subject.update(), self.subject.counters())
                self.digests.append(self.digest.hexdigest()[:16])
        return self.digests

    def inject_events(self, tick):
        if tick % 200 == 0:
            self.first_popular_key = self.random.randrange(KEY_COUNT)
        if tick % 60 == 0:
            self.change_servers()
        if tick % 1300 == 0:
            self.start_leader()

    def change_servers(self):
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
        self.subject.servers_listed(self.now, self.servers)

    def add_server(self, speed, address):
        number = self.next_server
        self.next_server += 1
        self.servers[f"s{number}"] = self.server(number, speed, address, self.now + 3 * SECOND)

    def report(self):
        """Send the reports of two edge machines: keys near the popular region, times by the servers' speeds."""
        for _ in range(2):
            keys, measurements = [], {}
            for _ in range(15):
                keys.append((self.first_popular_key + int(KEY_COUNT * self.random.random() ** 3)) % KEY_COUNT)
            for name, server in self.servers.items():
                answers = self.random.randrange(5)
                log = self.random.gauss(-2.0, 0.5)
                seconds = sum([log - server[5] for _ in range(answers)])
                failed = int(self.random.random() < 0.05)
                if answers:
                    measurements[name] = (answers, failed, answers * 1.5 / server[5], answers, seconds, answers)
            self.subject.report(self.now, keys, measurements)

    def apply_due_effects(self):
        for kind, *fields in self.subject.due_effects(self.now):
            if kind == "record":
                self.proposed, self.commit_at = fields[0], self.now + self.random.randrange(3) * TICK_NS
                self.observe(kind, fields[0])
            elif kind in ("grant", "release"):
                server, address, keys, request = fields
                self.observe(kind, server, address, keys)
                self.call(kind, request)
            else:
                self.observe(kind, *fields)

    def call(self, action, request):
        if action == "grant":
            (sent, status), handover = self.random.choice(GRANT_RESULTS), None
            delay = self.random.randrange(2) if status else 16
        else:
            sent, (status, handover) = True, self.random.choice(RELEASE_RESULTS)
            delay = self.random.randrange(8) if status else 40
        self.call_count += 1
        self.calls.append((self.now + delay * TICK_NS, self.call_count, request, sent, status, handover))

    def end_calls(self):
        ended = sorted((call for call in self.calls if call[0] <= self.now), key=lambda call: call[:2])
        self.calls = [call for call in self.calls if call[0] > self.now]
        for _, _, request, sent, status, handover in ended:
            self.observe("at once", self.subject.call_ended(self.now, request, sent, status, handover))


def recorded_digests():
    """Return the recorded digests by seed."""
    return json.loads(FIXTURE.read_text())
