"""What one member may do in singleton roles, by the assignments that it has applied. No I/O."""

from dataclasses import dataclass

from kestrelplank.consensus.member_messages import ReleasedRole, ReleaseReason
from kestrelplank.roles.timing import HANDOVER_WAIT_NS
from kestrelplank.state.role_table import RoleAssignment, RoleId, RoleTable


@dataclass(frozen=True, slots=True)
class AppliedAssignment:
    """The newest assignment of a role that was applied here, and when."""

    token: int
    applied_at: int


class RoleHolder:
    """Decides whether this member's process may act in a role, and under which fencing token.

    It may while the member is current, the newest assignment names this process, it has not given the token up, and
    the former holder has stopped. A current member's knowledge is at most `CURRENT_TIMEOUT_NS` old, so a former
    holder knows of its loss that long after another member has applied the new assignment: the wait of the new
    holder. docs/roles.md has the argument.

    :param identity: of this member.
    :param start_id: of this process.
    """

    def __init__(self, identity: str, start_id: int, table: RoleTable) -> None:
        self.start_id = start_id
        self._identity = identity
        self._table = table
        self._applied: dict[RoleId, AppliedAssignment] = {}
        self._released: dict[RoleId, ReleasedRole] = {}  # the newest release of each role

    def handle_applied(self, now: int) -> None:
        """Note the time of every assignment in the table that is new; call it after each change of the table."""
        for role, assignment in self._table.assignments.items():
            applied = self._applied.get(role)
            if applied is None or applied.token != assignment.token:
                self._applied[role] = AppliedAssignment(assignment.token, now)
            if self._holds_of_former_process(assignment):
                self.release(role, assignment.token, ReleaseReason.RESTARTED)

    def token(self, now: int, role: RoleId, *, current: bool) -> int | None:
        """Return the fencing token under which this member may act in a role at this moment; None: it may not.

        :param current: whether the member is current (`ConsensusNode.current`).
        """
        assignment = self._table.get(role)
        if assignment is None or not current or not self.holds(assignment):
            return None
        if assignment.former_may_act and now < self._applied[role].applied_at + HANDOVER_WAIT_NS:
            return None
        return assignment.token

    def holds(self, assignment: RoleAssignment) -> bool:
        """Whether an assignment is to this process, which has not given it up."""
        if (assignment.holder, assignment.start_id) != (self._identity, self.start_id):
            return False
        released = self._released.get(assignment.role_id)
        return released is None or released.token != assignment.token

    def held(self) -> list[RoleAssignment]:
        """Return the newest assignments that are to this process and not given up."""
        return [assignment for assignment in self._table.assignments.values() if self.holds(assignment)]

    def release(self, role: RoleId, token: int, reason: ReleaseReason) -> bool:
        """Give an assignment up for good; return False, and change nothing, if it is not this member's newest."""
        assignment = self._table.get(role)
        if assignment is None or assignment.token != token or assignment.holder != self._identity:
            return False
        released = self._released.get(role)
        if released is not None and released.token == token:
            return False
        self._released[role] = ReleasedRole(role.role, role.partition, token, reason)
        return True

    def unassigned_releases(self) -> tuple[ReleasedRole, ...]:
        """Return the releases that no newer assignment has followed yet, which the leader is to be told."""
        releases = [self._released.get(role) for role in self._table.assignments]
        tokens = {role: assignment.token for role, assignment in self._table.assignments.items()}
        return tuple(
            released
            for released in releases
            if released is not None and tokens[RoleId(released.role, released.partition)] == released.token
        )

    def _holds_of_former_process(self, assignment: RoleAssignment) -> bool:
        return assignment.holder == self._identity and assignment.start_id != self.start_id
