"""Singleton roles of one member: which it may act in, and, while it leads, to whom they are assigned. No I/O."""

from kestrelplank.consensus.member_messages import ReleaseReason, RoleReport
from kestrelplank.consensus.membership_planning import KnownMember
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.replica import Replica
from kestrelplank.roles.role_assigner import RoleAssigner
from kestrelplank.roles.role_history import RoleHistory
from kestrelplank.roles.role_holder import RoleHolder
from kestrelplank.roles.timing import MAX_STOP_WAIT_NS, REPORT_INTERVAL_NS
from kestrelplank.state.role_table import RoleAssignment, RoleId


class SingletonRoles:
    """Reports to the leader, assigns roles while this member leads, and checks whether this member may act.

    Without configured roles it does nothing.

    :param start_id: id of this process, drawn at random.
    """

    def __init__(self, now: int, profile: MemberProfile, replica: Replica, start_id: int) -> None:
        self._roles = profile.roles
        self._replica = replica
        self._node = replica.node
        table = replica.state.roles
        self._table = table
        self._holder = RoleHolder(self._node.identity, start_id, table)
        self._history = RoleHistory(now, table, profile.role_lease_ns)
        self._assigner = RoleAssigner(
            now, self._node.identity, profile.roles, table, self._history, profile.role_lease_ns
        )
        self._held: dict[RoleId, RoleAssignment] = {}
        self._next_report_at = now
        self._reported_to = ""
        self._stop_requested_at: int | None = None
        self._holder.handle_applied(now)

    @property
    def configured(self) -> tuple[RoleId, ...]:
        """The roles that the platform's settings list."""
        return self._roles

    # Acting in a role.

    def token(self, now: int, role: RoleId) -> int | None:
        """Return the fencing token under which this member may act in a role at this moment; None: it may not."""
        if role not in self._roles or self._stop_requested_at is not None:
            return None
        return self._holder.token(now, role, current=self._node.current(now))

    def release(self, now: int, role: RoleId, token: int, reason: ReleaseReason) -> None:
        """Give up a role that is held under that token, for good, and tell the leader at once."""
        if self._holder.release(role, token, reason):
            self._held.pop(role, None)
            self._replica.log(f"role {role}: given up under token {token} ({reason})")
            self._send_report(now)

    def begin_stop(self, now: int) -> None:
        """Give up all roles, as this member is about to stop."""
        if self._stop_requested_at is not None or not self._roles:
            return
        self._stop_requested_at = now
        for assignment in self._holder.held():
            self.release(now, assignment.role_id, assignment.token, ReleaseReason.STOPPING)
        self._send_report(now)

    def may_stop(self, now: int) -> bool:
        """Whether a stopping member need not wait any longer for its roles to be assigned to others."""
        if self._stop_requested_at is None or not self._holder.unassigned_releases():
            return True
        return now >= self._stop_requested_at + MAX_STOP_WAIT_NS

    # Events.

    def handle_report(self, now: int, sender: str, report: RoleReport) -> None:
        """Handle another member's report."""
        self._assigner.handle_report(now, sender, report)

    def handle_applied(self, now: int) -> None:
        """Handle a new assignment in the replicated state."""
        self._holder.handle_applied(now)
        self._history.handle_applied(now)
        self._log_changes()

    def handle_restored(self, now: int) -> None:
        """Handle the replacement of the replicated state by a snapshot."""
        self._history.handle_restored(now)
        self.handle_applied(now)

    def handle_elected(self, now: int) -> None:
        """Begin to assign roles."""
        self._assigner.handle_elected(now)

    def tick(self, now: int) -> None:
        """Report to the leader if it is due, or if there is a new leader."""
        if now >= self._next_report_at or self._node.leader != self._reported_to:
            self._send_report(now)

    def assign(self, now: int, members: list[KnownMember]) -> None:
        """Propose the assignments that are needed. Only called while this member leads.

        :param members: what the leader knows of the members that vote or ask to, including itself.
        """
        self._assigner.handle_report(now, self._node.identity, self._report())
        planned = self._assigner.plan(now, members, self._replica.voters())
        while planned is not None:
            index = self._replica.propose(now, planned.command)
            if index is None:
                return
            self._assigner.handle_proposed(planned, index)
            self._replica.log(
                f"role {planned.role}: assigned to {planned.command.holder} under token {index}: {planned.reason}"
            )
            planned = self._assigner.plan(now, members, self._replica.voters())

    def _report(self) -> RoleReport:
        available = self._stop_requested_at is None
        return RoleReport(self._holder.start_id, available, self._holder.unassigned_releases())

    def _send_report(self, now: int) -> None:
        self._next_report_at = now + REPORT_INTERVAL_NS
        self._reported_to = self._node.leader
        if self._roles and self._node.leader not in ("", self._node.identity):
            self._replica.send(self._node.leader, self._report())

    def _log_changes(self) -> None:
        held = {assignment.role_id: assignment for assignment in self._holder.held()}
        for role, former in self._held.items():
            newest = self._table.get(role)
            if role not in held and newest is not None:
                self._replica.log(
                    f"role {role}: lost, token {former.token}: {newest.holder} holds it under token {newest.token}"
                )
        for role, assignment in held.items():
            if self._held.get(role) != assignment:
                wait = ", once the former holder has stopped" if assignment.former_may_act else ""
                self._replica.log(f"role {role}: held by this member under token {assignment.token}{wait}")
        self._held = held
