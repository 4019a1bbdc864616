"""What a rehearsal measures: service, tail, losses by cause, and a timeline of each node. Figures are simulated."""

from collections import Counter
from math import isfinite

from kestrelplank.emulator.script import Script
from kestrelplank.state.sums import TrySum

SECOND = 1_000_000_000
WINDOW = 5 * SECOND


class Score:
    """Service is value acked within the target latency over value asked, an op counted once over all its tries."""

    def __init__(self, script: Script, begun: int) -> None:
        self._types, self._names = list(script.op_types.values()), list(script.op_types)
        self._begun, self._counts_from = begun, begun + script.site.settle
        self._value_asked, self._value_in_time = 0.0, 0.0
        self._windows: dict[int, list[float]] = {}
        self._by_type = {name: Counter() for name in self._names}
        self._times: list[list[int]] = [[] for _ in self._names]
        self.lost_for: Counter[str] = Counter()
        self._timeline: list[dict[int, TrySum]] = [{} for _ in range(script.site.nodes)]
        self.events: list[list] = []
        self.falls: list[int] = []
        self.ends, self.latest = 0, 0  # of a relay's ops; by how much the latest came after its op timeout (ns)
        self.unproved = 0  # acked ops that no node ran: there must be none

    def _window(self, begun: int) -> list[float]:
        return self._windows.setdefault((begun - self._begun) // WINDOW, [0.0, 0.0])

    def asked(self, now: int, op_type: int) -> None:
        if now >= self._counts_from:
            value = self._types[op_type].value
            self._value_asked += value
            self._window(now)[0] += value
            self._by_type[self._names[op_type]]["asked"] += 1

    def acked(self, now: int, op_type: int, begun: int, runs: int) -> None:
        self.unproved += not runs
        if begun >= self._counts_from:
            kind, counts = self._types[op_type], self._by_type[self._names[op_type]]
            counts["acked"] += 1
            self._times[op_type].append(now - begun)
            if now - begun <= kind.target:
                counts["in_time"] += 1
                self._value_in_time += kind.value
                self._window(begun)[1] += kind.value

    def ended(self, late: int) -> None:
        self.ends += 1
        self.latest = max(self.latest, late)

    def lost(self, now: int, op_type: int, verdict: str, why: str) -> None:
        if now >= self._counts_from:
            self._by_type[self._names[op_type]][verdict] += 1
            self.lost_for[f"{verdict}: {why}"] += 1

    def tried(self, now: int, node: int, good: bool, time: int) -> None:
        self._timeline[node].setdefault((now - self._begun) // SECOND, TrySum()).add(good, time)

    def event(self, now: int, what: str, nodes: list[int]) -> None:
        self.events.append([round((now - self._begun) / SECOND, 3), what, nodes])

    @property
    def service(self) -> float:
        return self._value_in_time / self._value_asked if self._value_asked else 1.0

    def report(self) -> dict:
        worst = min((won / asked for asked, won in self._windows.values() if asked), default=1.0)
        return {
            "service": round(self.service, 6),
            "worst_5s": round(worst, 6),
            "op_types": {
                name: {
                    **{key: counts[key] for key in ("asked", "in_time", "acked", "rejected", "aborted")},
                    **{f"p{part:g}_ms": quantile(times, part) for part in (50, 95, 99)},
                }
                for (name, counts), times in zip(self._by_type.items(), map(sorted, self._times))
            },
            "ended": self.ends,
            "latest_end_ms": self.latest / 1e6,
            "lost": dict(sorted(self.lost_for.items())),
            "fallen_nodes": self.falls,
        }

    def timelines(self) -> list[list[list]]:
        """By node, rows of second, tries, failures and mean ms of the good."""
        return [
            [
                [second, sums.count, sums.failed, None if sums.mean() is None else round(sums.mean() / 1e6, 3)]
                for second, sums in sorted(seconds.items())
            ]
            for seconds in self._timeline
        ]


def quantile(times: list[int], part: float) -> float | None:
    """In ms, of sorted times in ns: the least that is not below so many in a hundred."""
    if not times:
        return None
    found = times[min(len(times) - 1, int(part / 100 * len(times)))] / 1e6
    return round(found, 3) if isfinite(found) else None
