"""Which machines of a soak were in touch at a time, by its records of trouble."""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate

from kestrelplank.rehearsal.soak_records import Disturbance, SoakRecords
from kestrelplank.rehearsal.soak_terms import BOUNDS

PLANNED_KINDS = ("SIGTERM", "SIGHUP")
ALL_MACHINES, LATE_LOOP = "all", "late loop"  # a delay of the soak's own loop
CHOKED_S = 0.5  # a delay of this length is trouble of all machines


class _Intervals:
    """Intervals of time that may overlap, for quick look-ups."""

    def __init__(self, intervals: Iterable[tuple[float, float]]) -> None:
        ordered = sorted(intervals)
        self._starts = [start for start, _ in ordered]
        self._ends = list(accumulate((end for _, end in ordered), max))

    def overlap(self, start: float, end: float) -> bool:
        """Whether one of them has a time in common with this span."""
        count = bisect_right(self._starts, end)
        return count > 0 and self._ends[count - 1] >= start


class Trouble:
    """The disturbances of a soak, by machine."""

    def __init__(self, records: SoakRecords) -> None:
        self._records = records
        machines = [*records.members, *records.edges]
        self._any = {name: self._of(name, planned=True) for name in machines}
        self._unplanned = {name: self._of(name, planned=False) for name in machines}
        self._late_loop = _Intervals((d.start, d.end) for d in records.disturbances if d.kind == LATE_LOOP)

    def _of(self, machine: str, planned: bool) -> _Intervals:
        return _Intervals(
            (disturbance.start, disturbance.end)
            for disturbance in self._records.disturbances
            if disturbance.machine in (machine, ALL_MACHINES)
            and (planned or disturbance.kind not in PLANNED_KINDS)
            and disturbance.kind != "SIGHUP"
            and (disturbance.kind != LATE_LOOP or disturbance.end - disturbance.start >= CHOKED_S)
        )

    def is_untroubled(self, machine: str, start: float, end: float) -> bool:
        """Whether nothing happened to the machine from `contact_s` before the start of this span to its end."""
        return not self._any[machine].overlap(start - BOUNDS.contact_s, end)

    def has_unplanned(self, machine: str, start: float, end: float) -> bool:
        """Whether trouble that was not planned struck the machine from `contact_s` before this span to its end."""
        return self._unplanned[machine].overlap(start - BOUNDS.contact_s, end)

    def is_loop_late(self, start: float, end: float) -> bool:
        """Whether the soak itself was late in this span, so that it can't tell how late a process was."""
        return self._late_loop.overlap(start, end)

    def is_settled(self, start: float, end: float) -> bool:
        """Whether nothing happened to the core from `contact_s` before this span to its end."""
        return all(self.is_untroubled(member, start, end) for member in self._records.members)

    def has_majority(self, start: float, end: float) -> bool:
        """Whether more than half of the core surely ran during the whole span."""
        running = [member for member in self._records.members if not self._any[member].overlap(start, end)]
        return len(running) * 2 > len(self._records.members)

    def is_in_touch(self, machine: str, start: float, end: float) -> bool:
        """Whether the machine was in touch during the whole span."""
        return self.is_untroubled(machine, start, end) and self.is_settled(start, end)

    def configuration_bound_s(self, edge: str, start: float, end: float) -> float | None:
        """Return the bound for a new configuration at an edge; None if there is none."""
        if not self.is_untroubled(edge, start, end):
            return None
        if self.is_settled(start, end):
            return BOUNDS.config_apply_s
        stretched_s = BOUNDS.config_apply_s + BOUNDS.max_stretch_s
        return stretched_s if self.has_majority(start - stretched_s, end) else None

    def planned(self, machine: str, kind: str) -> list[Disturbance]:
        """Return the planned work of that kind on a machine."""
        return [d for d in self._records.disturbances if d.machine == machine and d.kind == kind]
