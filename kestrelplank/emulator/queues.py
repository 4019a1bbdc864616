"""Servers with queues, on a clock of their own, for what decides where keys go: how long requests take is drawn, how
long they wait follows. No sockets; times in seconds."""

import math
from bisect import bisect
from heapq import heappop, heappush
from itertools import accumulate
from random import Random
from typing import Any

from kestrelplank.sharding.key_ranges import HELD, KEYS, KeyRanges
from kestrelplank.sharding.key_ranges import Server as Listed
from kestrelplank.sharding.placement import Met, Placement

S = 1_000_000_000
SPREAD = 0.8  # of the logarithm of the work of a request
TICKS = 10  # a report of half a second


class Server:
    """`speed`: what it does a second, as a multiple of the usual; what it met since the last report."""

    def __init__(self, slots: int, speed: float) -> None:
        self.slots, self.speed = slots, speed
        self.free = [0.0] * slots  # when each slot is
        self.out: list[tuple[float, float, int]] = []  # of each in hand: when it ends, how long it takes, its key
        self.forget()

    def forget(self) -> None:
        self.tries, self.busy, self.told, self.logs, self.alone = 0, 0, 0, 0.0, 0

    def drain(self, until: float) -> None:
        """What ends by then tells what it leaves behind."""
        while self.out and self.out[0][0] <= until:
            took = heappop(self.out)[1]
            self.busy += min(len(self.out), self.slots)
            self.told += 1
            if len(self.out) < self.slots:
                self.logs += math.log(took)
                self.alone += 1

    def take(self, at: float, work: float, key: int = 0) -> float:
        """A request comes; returns when it ends."""
        self.drain(at)
        ends = max(at, heappop(self.free)) + work / self.speed
        heappush(self.free, ends)
        heappush(self.out, (ends, ends - at, key))
        self.tries += 1
        return ends

    def done_with(self, first: int, last: int) -> float:
        """When all that it has in hand of these keys ends."""
        return max((ends for ends, _, key in self.out if first <= key <= last), default=0.0)

    def met(self) -> Met:
        return self.tries, 0, float(self.busy), self.told, self.logs, self.alone


class Service:
    """All servers of one service, `KeyRanges` and `Placement` over them, and a stream of requests by a Zipf law over
    neighbouring keys; `hot`: a key that takes a part of all (key, part)."""

    def __init__(
        self,
        seed: int,
        speeds: list[float],
        per_s: float,
        work: float,
        aim: float,
        moves: bool = True,
        skew: float = 0.64,
        things: int = 60_000,
    ) -> None:
        self.random, self.per_s, self.work, self.aim, self.moves = Random(seed), per_s, work, aim, moves
        self.servers = {f"s{number}": Server(2, speed) for number, speed in enumerate(speeds)}
        self.listed = [Listed(name, f"{name}:80", "abc"[at % 3], 2, True, 0) for at, name in enumerate(self.servers)]
        self.sums = list(accumulate(1 / (rank + 1) ** skew for rank in range(things)))
        self.first, self.hot = self.random.randrange(KEYS), (0, 0.0)
        self.at, self.next, self.came, self.late = 0.0, 0.0, 0, 0
        self.waiting: list[tuple[float, int]] = []  # requests for keys on their way: when they came, and the key
        self.releases: list[tuple[float, Any]] = []  # when each is answered, and its line
        self.by_server = dict.fromkeys(self.servers, 0)
        self.decide(1, None, None)
        self.lines.divide(4 * len(speeds))

    def decide(self, ballot: int, found: Any, known: Any) -> None:
        """Another decider begins, with what the former left."""
        self.lines = KeyRanges(self.now(), ballot, found)
        self.lines.listed(self.now(), self.listed)
        self.placement = Placement(self.now(), ballot, self.lines, round(self.aim * S), known)

    def now(self) -> int:
        return 100 * S + round(self.at * S)

    def key(self) -> int:
        if self.random.random() < self.hot[1]:
            return self.hot[0]
        return (self.first + bisect(self.sums, self.random.random() * self.sums[-1])) % KEYS

    def play(self, seconds: float) -> float:
        """Goes on for so long. Returns the share of requests that took longer than the aim."""
        self.came = self.late = 0
        for name in self.by_server:
            self.by_server[name] = 0
        for _ in range(round(2 * seconds)):
            keys: list[int] = []
            for _ in range(TICKS):
                self.at += 0.5 / TICKS
                firsts = [line.first for line in self.lines.lines]
                waiting, self.waiting = self.waiting, []
                for came, key in waiting:
                    self.carry(firsts, self.at - 0.5 / TICKS, came, key)
                while self.next < self.at:
                    keys.append(self.key())
                    self.carry(firsts, self.next, self.next, keys[-1])
                    self.came += 1
                    self.next += self.random.expovariate(self.per_s)
                if self.moves or not self.lines.lines[0].server:
                    self.placement.turn(self.now())
                self.settle()
            for server in self.servers.values():
                server.drain(self.at)
            self.placement.report(
                self.now(),
                keys,
                {name: server.met() for name, server in self.servers.items() if server.tries or server.told},
            )
            for server in self.servers.values():
                server.forget()
        return self.late / max(1, self.came)

    def carry(self, firsts: list[int], at: float, came: float, key: int) -> None:
        """A request that came then goes to who holds its key, or waits for the move to end."""
        name = self.holder(firsts, key)
        if not name:
            self.waiting.append((came, key))
            return
        work = min(self.random.lognormvariate(math.log(self.work) - SPREAD**2 / 2, SPREAD), 6 * self.work)
        self.late += self.servers[name].take(at, work, key) - came > self.aim
        self.by_server[name] += 1

    def holder(self, firsts: list[int], key: int) -> str:
        """The server that holds this key, "" while it is on its way."""
        line = self.lines.lines[bisect(firsts, key) - 1]
        return line.server if line.state == HELD and line.laid else ""

    def settle(self) -> None:
        """Records are kept and grants answered at once, releases when what runs on their keys has ended."""
        for due, line in [release for release in self.releases if release[0] <= self.at]:
            self.releases.remove((due, line))
            self.lines.called(self.now(), "release", line, True, 200, "h")
        for effect in self.lines.tick(self.now()):
            if effect[0] == "lay":
                self.lines.laid(self.now())
            elif effect[0] == "grant":
                self.lines.called(self.now(), "grant", effect[3], True, 200, None)
            elif effect[0] == "release":
                line = effect[3]
                self.releases.append((self.servers[line.server].done_with(line.first, line.last), line))

    def busiest(self) -> float:
        """The busiest server's requests over the mean, since the last `play` began."""
        return max(self.by_server.values()) * len(self.servers) / max(1, self.came)
