"""The active faults of an emulated node."""

from enum import Enum


class NodeFaultKind(Enum):
    """The effect of a fault. The values are the kinds of faults in scripts."""

    STALL = "stall"  # no op advances, and nothing is read
    SILENT = "silent"  # unreachable: as STALL, and nothing is answered
    SLOW = "slow"  # slower by a factor
    FAIL = "fail"  # a share of ops fails at once
    MUTE = "mute"  # a share of answers is lost


class NodeFaults:
    """A set of active faults; each is removed by the name under which it was added."""

    def __init__(self) -> None:
        self._faults: dict[object, tuple[NodeFaultKind, float]] = {}

    def add(self, name: object, kind: NodeFaultKind, strength: float) -> None:
        """Add a fault."""
        self._faults[name] = kind, strength

    def remove(self, name: object) -> None:
        """Remove a fault, if it is active."""
        self._faults.pop(name, None)

    def has(self, kind: NodeFaultKind) -> bool:
        """Whether a fault of that kind is active."""
        return any(other is kind for other, _ in self._faults.values())

    @property
    def is_frozen(self) -> bool:
        """Whether no op advances."""
        return any(kind in (NodeFaultKind.STALL, NodeFaultKind.SILENT) for kind, _ in self._faults.values())

    def strongest(self, kind: NodeFaultKind) -> float:
        """Return the greatest strength of the faults of that kind, 0 if there are none."""
        return max((strength for other, strength in self._faults.values() if other is kind), default=0.0)

    def slowdown(self) -> float:
        """Return how many times slower the node is."""
        factor = 1.0
        for kind, strength in self._faults.values():
            if kind is NodeFaultKind.SLOW:
                factor *= strength
        return factor

    def effective_slowdown(self) -> float:
        """Return the factor by which useful work is reduced by slowdowns and by failing ops, which count as useless."""
        factor = 1.0
        for kind, strength in self._faults.values():
            factor *= strength if kind is NodeFaultKind.SLOW else 1.0
            if kind is NodeFaultKind.FAIL:
                factor /= max(0.01, 1 - strength)
        return factor
