"""What a placement reaches that knows the truth: the laboratory's upper mark for a script and a seed.

It sees at once which nodes run, how fast and how warm they are and what each slice asks for, and changes all relays'
tables on the spot, with no channel, no reports and no list between. Clients, relays' attempts, nodes and faults are the
same as ever, so what is lost at the moment of a fault is lost here too.
"""

from typing import Any

from kestrelplank.emulator.conductors import Standing
from kestrelplank.emulator.script import MS, Script
from kestrelplank.emulator.world import World

LOOK = 50 * MS
BAND = 1.25  # over the mean, from which a slice leaves the fullest node
COLD_PART = 0.5  # of the multiple of its present capacity that a cold node is given at the most


class Idle(Standing):
    """A conductor that orders nothing."""

    def round(self, now: int, events: list[tuple], out: Any) -> None:
        """Somebody else knows better."""


class OracleWorld(World):
    def __init__(self, script: Script, seed: int, clock: Any) -> None:
        super().__init__(script, seed, clock, Idle)

    def start(self) -> None:
        super().start()
        self.clock.at(self.clock.now(), self._look)

    def _capacity(self, number: int, now: int) -> float:
        node, kind = self.nodes[number], self.script.kind
        if node.down or node.silent:
            return 0.0
        slow = 1.0
        for what, strength in node.faults():
            slow *= strength if what == "slow" else 1.0
            if what == "fail":
                slow /= max(0.01, 1 - strength)
        return kind.cores * kind.speed * node.warmth(now) / slow

    def _look(self) -> None:
        now = self.clock.now()
        self.clock.at(now + LOOK, self._look)
        if now >= self.begun + self.script.site.length:
            return
        capacity = [self._capacity(number, now) for number in range(len(self.nodes))]
        heats = self.clients.heats(now)
        held = [0.0] * len(self.nodes)
        where = {}
        for table, lines in enumerate(self.hub.lines):
            where[table] = next(iter(lines), None)
            if where[table] is not None:
                held[where[table]] += heats[table]
        live = [number for number, can in enumerate(capacity) if can > 0]
        if not live:
            return
        full = self.script.kind.cores * self.script.kind.speed
        multiple = self.script.kind.fall_multiple * COLD_PART

        def fill(number: int, more: float = 0.0) -> float:
            # A cold node may be asked for more than it does by now, as it grows; the rule on cold nodes is the limit.
            can = capacity[number]
            return (held[number] + more) / (can if can >= full else min(full, can * multiple))

        for table in sorted(where, key=lambda table: -heats[table]):
            if where[table] is None or capacity[where[table]] <= 0:
                self._move(table, min(live, key=lambda number: (fill(number, heats[table]), number)), held, heats)
        for _ in range(4):
            fullest = max(live, key=lambda number: (fill(number), -number))
            mean = sum(map(fill, live)) / len(live)
            mine = [table for table in where if next(iter(self.hub.lines[table])) == fullest]
            if fill(fullest) <= BAND * mean or len(mine) < 2:
                break
            target = min(live, key=lambda number: (fill(number), number))
            fits = [table for table in mine if fill(target, heats[table]) < fill(fullest)]
            if not fits:
                break
            best = min(fits, key=lambda table: (abs(fill(target, heats[table]) - mean), table))
            self._move(best, target, held, heats)

    def _move(self, table: int, node: int, held: list[float], heats: list[float]) -> None:
        old = next(iter(self.hub.lines[table]), None)
        if old is not None:
            held[old] -= heats[table]
        held[node] += heats[table]
        self.hub.moves += 1
        self.hub.lines[table] = {node: 1.0}
        for relay in self.relays:
            if relay.alive:
                relay.tables.read(table, self.hub.owner[table] or 0, {node: 1.0})
                relay.when_awake(relay.tables_changed, [table])
