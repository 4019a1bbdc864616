"""What the platform says of one control member."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberProfile:
    """Its zone, whether its machine's loss counts, the control addresses that the platform names, how many machines may
    be lost at once, and how long a member may take to stop (ns)."""

    zone: str
    eligible: bool
    seeds: tuple[str, ...]
    machine_losses: int
    grace: int

    @property
    def target_voters(self) -> int:
        """How many members must count so that the losses are borne."""
        return 2 * self.machine_losses + 1
