"""The clients of a rehearsal: what they ask for and when, and what they ask for again."""

from bisect import bisect
from itertools import accumulate
from math import log, sqrt
from random import Random

from kestrelplank.emulator.part import Part
from kestrelplank.emulator.relays import ClientOp, Relay
from kestrelplank.load_balancing.operations import Op, Verdict


def lognormal(mean: float, spread: float) -> tuple[float, float]:
    """Mean and deviation of the logarithm, where the deviation of the value is `spread` times its mean."""
    sigma = sqrt(log(1 + spread * spread))
    return log(mean) - sigma * sigma / 2, sigma


class Clients(Part):
    """Each op goes to a relay that lives, drawn by chance. How much each slice is asked for is drawn once."""

    def __init__(self, world) -> None:
        super().__init__(world, "clients")
        script = world.script
        self.relay_of: dict[int, Relay] = {}  # op to the relay that it waits for
        self._asked = 0
        self._op_types = world.op_types
        self._shares = list(accumulate(op_type.share for op_type in self._op_types))
        self._work = [lognormal(op_type.work, op_type.spread) for op_type in self._op_types]
        self._mean_work = sum(op_type.share * op_type.work for op_type in self._op_types)
        capacity = script.site.nodes * script.kind.cores * script.kind.speed * 1e9
        self._per_load = capacity / self._mean_work

    def draw_slices(self, random: Random) -> None:
        """What the day is like: how much each slice is asked for."""
        _, sigma = lognormal(1.0, self.world.script.clients.slice_spread)
        draws = (random.lognormvariate(0, sigma) for _ in range(self.world.script.site.slices))
        self._slices = list(accumulate(draws))

    def rate(self, now: int) -> float:
        """Ops a second that clients ask for."""
        loads = self.world.script.loads
        place = bisect(loads, now - self.world.begun, key=lambda load: load[0]) - 1
        return loads[place][1] * self._per_load

    def heats(self, now: int) -> list[float]:
        """The work a second that clients ask of each slice, as it truly is."""
        sums = self._slices
        work = self.rate(now) * self._mean_work / 1e9 / sums[-1]
        return [work * (whole - before) for whole, before in zip(sums, [0.0, *sums])]

    def arrive(self, asks: bool = True) -> None:
        """A new op, and the time of the next; `asks` is False where only the time is wanted."""
        world, now = self.world, self.clock.now()
        if now >= world.begun + world.script.site.length:
            return  # the day is over; what was asked for may end yet
        if asks:
            asked = self._draw_op(now)
            world.score.asked(now, asked.op_type)
            self._ask(asked)
        rate = self.rate(now)
        wait = self.random.expovariate(rate) * 1e9 if rate else 100e6
        self.clock.at(now + max(1, round(wait)), lambda: self.arrive(rate > 0))

    def _draw_op(self, now: int) -> ClientOp:
        random, keys = self.random, self.world.script.clients.keys
        op_type = min(bisect(self._shares, random.random() * self._shares[-1]), len(self._shares) - 1)
        table = min(bisect(self._slices, random.random() * self._slices[-1]), len(self._slices) - 1)
        key = table * keys + int(keys ** random.random()) - 1
        return ClientOp(op_type, table, key, random.lognormvariate(*self._work[op_type]), now)

    def _ask(self, asked: ClientOp) -> None:
        """A client turns to some relay that lives; with none, nobody answers."""
        relays = self.world.relays
        relay = relays[self.random.randrange(len(relays))]
        for _ in range(len(relays)):
            if relay.alive:
                break
            relay = relays[(relay.number + 1) % len(relays)]
        asked.tries += 1
        self._asked += 1
        owner = self.world.hub.owner[asked.table]
        if owner is not None:
            self.world.reports.op(owner, asked.table, asked.op_type).count += 1
        if relay.alive:
            self.relay_of[self._asked] = relay
            relay.when_awake(relay.ask, asked, self._asked)

    def answered(self, asked: ClientOp, op: Op, verdict: Verdict, why: str) -> None:
        """The client hears of its op; it may come again by itself, but not with what may have run and must not
        run again."""
        del self.relay_of[op.number]
        world, clients, now = self.world, self.world.script.clients, self.clock.now()
        world.score.ended(now - op.deadline)
        op_type = self._op_types[asked.op_type]
        if verdict is Verdict.ACKED:
            world.score.acked(now, asked.op_type, asked.begun, world.rules.runs(op.number))
            return
        owner = world.hub.owner[asked.table]
        if verdict is Verdict.ABORTED and owner is not None:
            world.reports.op(owner, asked.table, asked.op_type).aborted += 1
        again = (
            asked.tries <= clients.retries
            and now + clients.wait - asked.begun < op_type.timeout
            and (verdict is Verdict.REJECTED or op_type.effect == "retryable")
        )
        if again:
            self.clock.at(now + clients.wait, lambda: self._ask(asked))
        else:
            world.score.lost(now, asked.op_type, verdict, why)
