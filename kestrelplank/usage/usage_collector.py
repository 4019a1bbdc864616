"""Counts of all edges at one control member, for windows that are not fixed yet. No I/O."""

from dataclasses import dataclass

from kestrelplank.time_units import SECOND
from kestrelplank.usage.messages import UsageCounts
from kestrelplank.usage.windows import NO_WINDOW

MAX_WINDOWS = 24  # not fixed yet; beyond that the oldest is dropped
EDGE_TIMEOUT_NS = 15 * SECOND  # an edge silent for longer is not expected to return


@dataclass(slots=True)
class EdgeProgress:
    """What the newest process of an edge has told."""

    heard_at: int
    incarnation: int
    final_through: int


class UsageCollector:
    """All counts that this member was told.

    Invariants, each with its test in `tests/usage/test_usage_collector.py`:

    - A repeated message changes nothing (`test_a_repeated_message_changes_nothing`).
    - The counts of a restarted edge are added to those of its former process
      (`test_the_counts_of_a_restarted_edge_are_added_to_those_of_its_former_process`).
    - A window is complete once all edges heard recently have it final
      (`test_a_window_is_complete_once_every_edge_has_it_final`,
      `test_a_silent_edge_is_waited_for_until_its_time_out`).
    - Memory is bounded (`test_the_oldest_window_is_dropped_beyond_the_limit`).

    `late_counts` counts tenants' counts that arrived after their window was fixed; `dropped_windows`, windows dropped
    beyond `MAX_WINDOWS`.
    """

    def __init__(self) -> None:
        self._edges: dict[str, EdgeProgress] = {}
        self._windows: dict[int, dict[tuple[str, int], dict[str, int]]] = {}  # by window, edge process, tenant
        self._fixed_through = NO_WINDOW
        self.late_counts = self.dropped_windows = 0

    @property
    def edge_count(self) -> int:
        """The number of edges heard recently."""
        return len(self._edges)

    def handle_counts(self, now: int, message: UsageCounts) -> None:
        """Record an edge's message."""
        self._edges[message.edge] = EdgeProgress(now, message.incarnation, message.final_through)
        process = (message.edge, message.incarnation)
        for changed in message.windows:
            if changed.window <= self._fixed_through:
                self.late_counts += len(changed.counts)
                continue
            self._windows.setdefault(changed.window, {}).setdefault(process, {}).update(changed.counts)
        while len(self._windows) > MAX_WINDOWS:
            del self._windows[min(self._windows)]
            self.dropped_windows += 1

    def tick(self, now: int) -> None:
        """Forget edges that are not expected to return."""
        for edge in [name for name, state in self._edges.items() if now - state.heard_at > EDGE_TIMEOUT_NS]:
            del self._edges[edge]

    def first_counted_window(self) -> int | None:
        """Return the first window in which any request was counted."""
        return min((window for window in self._windows if self.totals(window)), default=None)

    def is_complete(self, window: int) -> bool:
        """Whether no edge is expected to tell anything new on that window."""
        return bool(self._edges) and all(state.final_through >= window for state in self._edges.values())

    def totals(self, window: int) -> dict[str, int]:
        """Return the executed requests of a window by tenant, in the order of their names, without zeros."""
        totals: dict[str, int] = {}
        for counts in self._windows.get(window, {}).values():
            for tenant, count in counts.items():
                totals[tenant] = totals.get(tenant, 0) + count
        return {tenant: totals[tenant] for tenant in sorted(totals) if totals[tenant] > 0}

    def drop_through(self, fixed_through: int) -> None:
        """Drop all windows up to that one, whose content is fixed."""
        self._fixed_through = max(self._fixed_through, fixed_through)
        for window in [window for window in self._windows if window <= self._fixed_through]:
            del self._windows[window]
