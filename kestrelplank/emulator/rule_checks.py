"""Checks of the five rules in a rehearsal: for each rule the worst figure, the limit and the remaining margin.

The checks only observe: the simulation reports to them and is not influenced by them.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from kestrelplank.interface import NodeCondition
from kestrelplank.time_units import SECOND


class Rule(Enum):
    """The rules, by the names that reports use."""

    SLICE_WITHOUT_NODE = "bare"  # how long a proxy has no node for a slice (s)
    REPEATED_OP = "repeats"  # repeated runs of ops that may run at most once
    DRAIN = "drains"  # how long ops are still sent to a node that drains or has been removed (s)
    COLD_NODE = "cold"  # work sent to a cold node, as a multiple of its budget
    CHANNEL_QUEUE = "queue"  # orders queued in an assigner's channel


class RuleReport(msgspec.Struct, frozen=True):
    """One rule in a report; `margin`: the unused share of the limit; `where`: process, slice or op of the worst."""

    worst: float
    limit: float
    kept: bool
    margin: float
    where: str


class RuleChecks:
    """The worst figure of each rule so far.

    :param max_without_node_ns, withdrawal_deadline_ns, max_queued_orders: limits from the script.
    :param tolerance_ns: added to time limits for transmission.
    """

    def __init__(
        self, max_without_node_ns: int, withdrawal_deadline_ns: int, max_queued_orders: float, tolerance_ns: int
    ) -> None:
        self.limits: dict[Rule, float] = {
            Rule.SLICE_WITHOUT_NODE: (max_without_node_ns + tolerance_ns) / SECOND,
            Rule.REPEATED_OP: 0,
            Rule.DRAIN: (withdrawal_deadline_ns + tolerance_ns) / SECOND,
            Rule.COLD_NODE: 1.0,
            Rule.CHANNEL_QUEUE: max_queued_orders,
        }
        self.worst: dict[Rule, float] = dict.fromkeys(self.limits, 0.0)
        self._where: dict[Rule, str] = {}
        self._withdrawal_deadline_ns = withdrawal_deadline_ns
        self._without_node_since: dict[tuple[int, int], int] = {}  # by proxy and slice
        # By assigner and node: when the assigner learned that the node drains or is removed, and of its last start.
        self._gone_since: dict[tuple[int, int], int] = {}
        self._start_known_at: dict[tuple[int, int], int] = {}
        self._runs: Counter[int] = Counter()  # by op
        self.duplicates: Counter[str] = Counter()  # repeated runs by op type, retryable ones included

    def _record(self, rule: Rule, figure: float, where: str) -> None:
        if figure > self.worst[rule]:
            self.worst[rule], self._where[rule] = figure, where

    # No slice without a node.

    def slice_changed(
        self, now: int, proxy: int, slice_: int, has_node: bool, rule_applies: Callable[[int], bool]
    ) -> None:
        """Record whether a proxy now has an available node for a slice.

        :param rule_applies: whether the time without a node counts: the slice's owner is alive and a warm node is up.
        """
        if has_node or not rule_applies(slice_):
            since = self._without_node_since.pop((proxy, slice_), None) if self._without_node_since else None
            if since is not None:
                self._record_time_without_node(now, proxy, slice_, since)
        else:
            self._without_node_since.setdefault((proxy, slice_), now)

    def _record_time_without_node(self, now: int, proxy: int, slice_: int, since: int) -> None:
        self._record(Rule.SLICE_WITHOUT_NODE, (now - since) / SECOND, f"relay {proxy}, slice {slice_}")

    def owner_changed(self, now: int, slice_: int, proxies: Iterable[int]) -> None:
        """Restart the time that a slice has been without a node, as it has a new owner."""
        for proxy in proxies:
            if (proxy, slice_) in self._without_node_since:
                self._without_node_since[proxy, slice_] = now

    def proxy_ended(self, proxy: int, slices: Iterable[int]) -> None:
        """Delete the state kept for a proxy that has ended."""
        for slice_ in slices:
            self._without_node_since.pop((proxy, slice_), None)

    # No op twice.

    def op_ran(self, number: int, op_type: str, *, once_only: bool) -> None:
        """Record that an op begins to run at a node."""
        self._runs[number] += 1
        if self._runs[number] > 1:
            self.duplicates[op_type] += 1
            if once_only:
                self._record(Rule.REPEATED_OP, self.worst[Rule.REPEATED_OP] + 1, f"{op_type} {number}")

    def runs(self, number: int) -> int:
        """Return how many times an op has begun to run."""
        return self._runs[number]

    def max_runs(self) -> int:
        """Return the largest number of runs of one op."""
        return max(self._runs.values())

    # Draining and cold nodes.

    def assigner_learned(self, now: int, assigner: int, node: int, condition: str, started: bool) -> None:
        """Record that an assigner has received a node's condition, and whether the node has started anew."""
        if condition == NodeCondition.UP:
            self._gone_since.pop((assigner, node), None)
            if started:
                self._start_known_at[assigner, node] = now
        else:
            self._gone_since.setdefault((assigner, node), now)

    def assigner_ended(self, assigner: int, nodes: Iterable[int]) -> None:
        """Delete the state kept for an assigner that has ended."""
        for node in nodes:
            self._gone_since.pop((assigner, node), None)
            self._start_known_at.pop((assigner, node), None)

    def attempt_sent(self, now: int, proxy: int, assigner: int, node: int, since: int) -> None:
        """Record an attempt for a slice that the assigner owns.

        :param since: when the proxy joined the assigner or the assigner became the owner, whichever is later; the time
            of a drain is counted from then at the earliest.
        """
        known_at = self._gone_since.get((assigner, node))
        if known_at is not None:
            self._record(Rule.DRAIN, (now - max(known_at, since)) / SECOND, f"relay {proxy}, node {node}")

    def knows_last_start(self, now: int, assigner: int, node: int, ordered_at: int) -> bool:
        """Whether a proxy that sends for a slice of that assigner could know of the node's last start.

        This holds if the proxy's last orders were issued after the assigner learned of the start, or if the assigner
        learned of it at least the withdrawal deadline ago.
        """
        known_at = self._start_known_at.get((assigner, node))
        return known_at is not None and (ordered_at >= known_at or now - known_at >= self._withdrawal_deadline_ns)

    def cold_node_loaded(self, node: int, share: float) -> None:
        """Record the work sent to a cold node, divided by its budget, if most senders could know of its start."""
        self._record(Rule.COLD_NODE, share, f"node {node}")

    # The channel.

    def channel_queued(self, assigner: int, orders: float) -> None:
        """Record the number of orders queued in an assigner's channel."""
        self._record(Rule.CHANNEL_QUEUE, orders, f"conductor {assigner}")

    # At the end.

    def close(self, now: int) -> None:
        """Record the time of slices that are still without a node."""
        for (proxy, slice_), since in self._without_node_since.items():
            self._record_time_without_node(now, proxy, slice_, since)

    def _is_kept(self, rule: Rule) -> bool:
        return self.worst[rule] <= self.limits[rule]

    def broken(self) -> list[str]:
        """Return the names of the broken rules."""
        return [rule.value for rule in self.limits if not self._is_kept(rule)]

    def report(self) -> dict[str, RuleReport]:
        """Return the report of each rule by its name."""
        return {rule.value: self._report_of(rule) for rule in self.limits}

    def _report_of(self, rule: Rule) -> RuleReport:
        worst, limit = self.worst[rule], self.limits[rule]
        margin = round(1 - worst / limit, 4) if limit else float(not worst)
        return RuleReport(round(worst, 6), limit, self._is_kept(rule), margin, self._where.get(rule, ""))
