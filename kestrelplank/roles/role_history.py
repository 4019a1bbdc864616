"""When roles were assigned and lost, as far as one member's process knows. No I/O; nothing here is durable."""

from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.timing import CURRENT_TIMEOUT_NS
from kestrelplank.roles.timing import with_clock_drift
from kestrelplank.state.role_table import RoleAssignment, RoleId, RoleTable


class RoleHistory:
    """Decides whether a role may come back to a member that held it before.

    It may only once more than `lease_ns` has passed since that member could last act, so that within `lease_ns` no
    holder acts, then another, then the first again. Times are those at which this member applied the assignments,
    which are never earlier than they were committed. What happened before `_known_since` is not known.

    :param lease_ns: the platform's bound.
    """

    def __init__(self, now: int, table: RoleTable, lease_ns: int) -> None:
        self._table = table
        self._return_wait_ns = with_clock_drift(CURRENT_TIMEOUT_NS + lease_ns)
        self._newest: dict[RoleId, RoleAssignment] = {}
        self._assigned_at: dict[RoleId, int] = {}
        self._lost_at: dict[tuple[RoleId, str], int] = {}  # by role and control address
        self._known_since = now
        self.handle_applied(now)

    def handle_applied(self, now: int) -> None:
        """Note each assignment in the table that is new; call it after each change of the table."""
        for role, assignment in self._table.assignments.items():
            former = self._newest.get(role)
            if former is not None and former.token == assignment.token:
                continue
            self._newest[role], self._assigned_at[role] = assignment, now
            if former is not None:
                self._lost_at[role, address_of(former.holder)] = now

    def handle_restored(self, now: int) -> None:
        """Note that a snapshot has replaced the table: holders in between are not known."""
        self._known_since = now
        self._lost_at.clear()
        self.handle_applied(now)

    def assigned_at(self, role: RoleId) -> int:
        """Return when this member applied the newest assignment of a role; 0: it was never assigned."""
        return self._assigned_at.get(role, 0)

    def lost_at(self, role: RoleId, identity: str) -> int:
        """Return the latest time at which the member at that address may have lost the role."""
        return self._lost_at.get((role, address_of(identity)), self._known_since)

    def may_return(self, now: int, role: RoleId, identity: str) -> bool:
        """Whether a role may be assigned to a member, which may have held it before the present holder."""
        newest = self._newest.get(role)
        if newest is None or address_of(newest.holder) == address_of(identity):
            return True
        return now - self.lost_at(role, identity) >= self._return_wait_ns
