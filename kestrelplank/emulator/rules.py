"""The five rules held against what happens in a rehearsal: for each its worst figure, its limit and the margin left.

Nothing here steers; the world tells what it did. Times are whole ns.
"""

from collections import Counter
from collections.abc import Callable


class Rules:
    """`bare_limit`, `grace` and `most_waiting` are the settings' figures. `slack` is what the bench grants on top of
    time limits for the way there."""

    def __init__(self, bare_limit: int, grace: int, most_waiting: float, slack: int) -> None:
        self.limits = {
            "bare": (bare_limit + slack) / 1e9,
            "repeats": 0,
            "drains": (grace + slack) / 1e9,
            "cold": 1.0,
            "queue": most_waiting,
        }
        self.worst: dict[str, float] = dict.fromkeys(self.limits, 0.0)
        self.where: dict[str, str] = {}
        self._grace = grace
        self._bare: dict[tuple[int, int], int] = {}  # relay and slice: since when it has had no line
        self._told_gone: dict[tuple[int, int], int] = {}  # conductor and node: since when it drains or is gone
        self._told_start: dict[tuple[int, int], int] = {}  # conductor and node: when told of its last start
        self._runs: Counter[int] = Counter()
        self.duplicates: Counter[str] = Counter()  # by op type, whatever its effect

    def _note(self, rule: str, figure: float, where: str) -> None:
        if figure > self.worst[rule]:
            self.worst[rule], self.where[rule] = figure, where

    # Rule 1.

    def lines(self, now: int, relay: int, table: int, some: bool, due: Callable[[int], bool]) -> None:
        """A relay has some open line of a table now, or none. `due` says of a table whether a warm open node is
        listed by who has charge of it, so that the time without one counts."""
        if some or not due(table):
            since = self._bare.pop((relay, table), None) if self._bare else None
            if since is not None:
                self._note("bare", (now - since) / 1e9, f"relay {relay}, slice {table}")
        else:
            self._bare.setdefault((relay, table), now)

    def given(self, now: int, table: int, relays: range) -> None:
        """The slice has a new conductor: its time begins anew. With nobody in charge no time runs."""
        for relay in relays:
            if (relay, table) in self._bare:
                self._bare[relay, table] = now

    def left(self, relay: int, tables: range) -> None:
        """The relay has ended, or is joined to nobody in charge."""
        for table in tables:
            self._bare.pop((relay, table), None)

    # Rule 2.

    def ran(self, number: int, op_type: str, once_only: bool) -> None:
        """An op of a relay begins to run at some node."""
        self._runs[number] += 1
        if self._runs[number] > 1:
            self.duplicates[op_type] += 1
            if once_only:
                self._note("repeats", self.worst["repeats"] + 1, f"{op_type} {number}")

    def runs(self, number: int) -> int:
        return self._runs[number]

    # Rules 3 and 4.

    def told(self, now: int, conductor: int, node: int, condition: str, started: bool) -> None:
        """The conductor has been told that the node is up, draining or removed, and whether it is a new start."""
        if condition == "up":
            self._told_gone.pop((conductor, node), None)
            if started:
                self._told_start[conductor, node] = now
        else:
            self._told_gone.setdefault((conductor, node), now)

    def ended(self, conductor: int, nodes: range) -> None:
        """A conductor's life is over, and with it what it was told."""
        for node in nodes:
            self._told_gone.pop((conductor, node), None)
            self._told_start.pop((conductor, node), None)

    def sent(self, now: int, relay: int, conductor: int, node: int, since: int) -> None:
        """A relay sends to a node for a slice of that conductor's. Since `since` (joined, or given if that is later)
        the time of the drain runs."""
        told = self._told_gone.get((conductor, node))
        if told is not None:
            self._note("drains", (now - max(told, since)) / 1e9, f"relay {relay}, node {node}")

    def knowing(self, now: int, conductor: int, node: int, ordered_at: int) -> bool:
        """Whether a send for that conductor's slice knows of the node's last start: the relay's last message was
        ordered after it was told, or the conductor has known for the grace."""
        told = self._told_start.get((conductor, node))
        return told is not None and (ordered_at >= told or now - told >= self._grace)

    def pushed(self, node: int, figure: float) -> None:
        """Of what was mostly sent knowingly to a cold node, the most against what it may be sent."""
        self._note("cold", figure, f"node {node}")

    # Rule 5.

    def queue(self, conductor: int, waiting: float) -> None:
        self._note("queue", waiting, f"conductor {conductor}")

    # At the end.

    def close(self, now: int) -> None:
        """Whoever is bare still has been so until now."""
        for (relay, table), since in self._bare.items():
            self._note("bare", (now - since) / 1e9, f"relay {relay}, slice {table}")

    def broken(self) -> list[str]:
        return [rule for rule, limit in self.limits.items() if self.worst[rule] > limit]

    def report(self) -> dict[str, dict]:
        """By rule: worst, limit, margin (the share of the limit that was left), kept, and where the worst was."""
        return {
            rule: {
                "worst": round(self.worst[rule], 6),
                "limit": limit,
                "kept": self.worst[rule] <= limit,
                "margin": round(1 - self.worst[rule] / limit, 4) if limit else float(not self.worst[rule]),
                "where": self.where.get(rule, ""),
            }
            for rule, limit in self.limits.items()
        }
