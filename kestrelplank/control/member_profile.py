"""The platform's settings for one control member."""

from dataclasses import dataclass

from kestrelplank.state.role_table import RoleId
from kestrelplank.time_units import SECOND
from kestrelplank.usage.policy import UsagePolicy


@dataclass(frozen=True, slots=True)
class MemberProfile:
    """Properties of a member's machine, and the platform's requirements on the system.

    :param zone: the failure domain of the machine.
    :param eligible: whether the member may be a voter (`quorum_member` in the settings).
    :param seeds: control addresses listed in the platform settings.
    :param machine_losses: the number of simultaneous machine losses to tolerate.
    :param stop_grace_ns: how long a member may take to stop after SIGTERM.
    :param max_key_lease_ns: the longest lease on keys that servers accept.
    :param roles: the singleton roles that members hold.
    :param role_lease_ns: a role comes back to a former holder only after more than this time.
    :param usage: None if the platform wants no usage reports.
    """

    zone: str
    eligible: bool
    seeds: tuple[str, ...]
    machine_losses: int
    stop_grace_ns: int
    max_key_lease_ns: int = 10 * SECOND
    roles: tuple[RoleId, ...] = ()
    role_lease_ns: int = 3 * SECOND
    usage: UsagePolicy | None = None

    @property
    def target_voters(self) -> int:
        """The number of voters that keeps a majority after `machine_losses`."""
        return 2 * self.machine_losses + 1
