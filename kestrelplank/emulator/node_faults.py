"""The faults that hold at an emulated node."""

from enum import Enum


class NodeFaultKind(Enum):
    """What a fault does. The values are the users' words in scripts."""

    STALL = "stall"  # nothing advances, and nothing is read
    SILENT = "silent"  # the machine is out of reach: as stalled, and all that is sent is swallowed
    SLOW = "slow"  # so many times slower
    FAIL = "fail"  # that share of ops fails at once
    MUTE = "mute"  # that share of answers is lost


class NodeFaults:
    """Several faults may hold at once; each is removed by the name under which it was added."""

    def __init__(self) -> None:
        self._faults: dict[object, tuple[NodeFaultKind, float]] = {}

    def add(self, name: object, kind: NodeFaultKind, strength: float) -> None:
        """Let a fault hold."""
        self._faults[name] = kind, strength

    def remove(self, name: object) -> None:
        """Let a fault end, if it holds."""
        self._faults.pop(name, None)

    def has(self, kind: NodeFaultKind) -> bool:
        """Whether a fault of that kind holds."""
        return any(other is kind for other, _ in self._faults.values())

    @property
    def is_frozen(self) -> bool:
        """Whether nothing advances."""
        return any(kind in (NodeFaultKind.STALL, NodeFaultKind.SILENT) for kind, _ in self._faults.values())

    def strongest(self, kind: NodeFaultKind) -> float:
        """Return the greatest strength of faults of that kind."""
        return max((strength for other, strength in self._faults.values() if other is kind), default=0.0)

    def slowdown(self) -> float:
        """Return how many times slower the node is."""
        factor = 1.0
        for kind, strength in self._faults.values():
            if kind is NodeFaultKind.SLOW:
                factor *= strength
        return factor

    def effective_slowdown(self) -> float:
        """Return how many times less is of use, failed ops counted as none."""
        factor = 1.0
        for kind, strength in self._faults.values():
            factor *= strength if kind is NodeFaultKind.SLOW else 1.0
            if kind is NodeFaultKind.FAIL:
                factor /= max(0.01, 1 - strength)
        return factor
