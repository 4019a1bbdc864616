"""Which member holds each singleton role: the newest assignment of each, as the log has it. No I/O."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from kestrelplank.consensus.log_entries import AssignRole, Entry


class RoleId(NamedTuple):
    """A partition of a singleton role. At most one member acts in it at a time.

    :param role: name of the role.
    :param partition: number of the partition; 0 for a role that is not split.
    """

    role: str
    partition: int

    def __str__(self) -> str:
        return f"{self.role}/{self.partition}"


class RoleAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The newest assignment of a role; the order of the fields is the format in snapshots.

    :param holder: identity of the member that holds the role.
    :param start_id: id of that member's process: a restarted one does not hold the role.
    :param token: fencing token, the log index of the entry: it grows, and no two assignments share one.
    :param former_may_act: whether a former holder may act until it knows of its loss.
    """

    role: str
    partition: int
    holder: str
    start_id: int
    token: int
    former_may_act: bool

    @property
    def role_id(self) -> RoleId:
        """The role that is assigned."""
        return RoleId(self.role, self.partition)


class RoleTable:
    """The newest assignment of each role that was ever assigned."""

    def __init__(self) -> None:
        self._assignments: dict[RoleId, RoleAssignment] = {}

    @property
    def assignments(self) -> Mapping[RoleId, RoleAssignment]:
        """The newest assignment of each role."""
        return MappingProxyType(self._assignments)

    def get(self, role: RoleId) -> RoleAssignment | None:
        """Return the newest assignment of a role; None if it was never assigned."""
        return self._assignments.get(role)

    def apply(self, entry: Entry, command: AssignRole) -> None:
        """Apply a committed assignment; entries are applied in the order of the log."""
        assignment = RoleAssignment(
            command.role, command.partition, command.holder, command.start_id, entry.index, command.former_may_act
        )
        self._assignments[assignment.role_id] = assignment

    def content(self) -> tuple[RoleAssignment, ...]:
        """Return all assignments in the order of the roles, for a snapshot."""
        return tuple(self._assignments[role] for role in sorted(self._assignments))

    def restore(self, content: Iterable[RoleAssignment]) -> None:
        """Replace all assignments by those of a snapshot."""
        self._assignments = {assignment.role_id: assignment for assignment in content}
