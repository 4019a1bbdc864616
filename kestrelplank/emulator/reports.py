"""What conductors of a rehearsal are told of tries and ops: sums, late, and only so many lines a second."""

from kestrelplank.emulator.part import Part
from kestrelplank.state.sums import OpSum, TrySum


class Reports(Part):
    """By conductor: `tries` by zone of the relay and node, `heat` by slice and op type."""

    def __init__(self, world) -> None:
        super().__init__(world, "reports")
        count = world.script.site.conductors
        self.tries: list[dict[tuple[int, int], TrySum]] = [{} for _ in range(count)]
        self.heat: list[dict[tuple[int, int], OpSum]] = [{} for _ in range(count)]
        self._queues: list[list[tuple]] = [[] for _ in range(count)]

    def tried(self, owner: int, zone: int, node: int, good: bool, time: int) -> None:
        self.tries[owner].setdefault((zone, node), TrySum()).add(good, time)

    def op(self, owner: int, table: int, op_type: int) -> OpSum:
        """The sum that such an op counts in."""
        return self.heat[owner].setdefault((table, op_type), OpSum())

    def close(self) -> None:
        """The span is over: tells each conductor its lines, as many as it takes in."""
        world, script = self.world, self.world.script.reports
        for conductor in world.conductors:
            tries, self.tries[conductor.number] = self.tries[conductor.number], {}
            heat, self.heat[conductor.number] = self.heat[conductor.number], {}
            queue = self._queues[conductor.number]
            if not conductor.alive:
                queue.clear()
                continue
            for (zone, node), sums in tries.items():
                mean = round((sums.mean() or 0) * (1 + script.noise * self.random.uniform(-1, 1)))
                queue.append(("tries", node, zone, sums.count, sums.failed, mean or None, script.every, {}))
            queue += [("heat", *key, sums.count, sums.aborted, script.every) for key, sums in heat.items()]
            most = max(1, script.intake_per_s * script.every // 1_000_000_000)
            late = self.random.randint(*script.late)
            for event in queue[:most]:
                conductor.tell(event, late)
            del queue[:most]
        self.clock.at(self.clock.now() + script.every, self.close)
