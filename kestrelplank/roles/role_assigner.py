"""The leader's choice of the members that hold the singleton roles. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from kestrelplank.consensus.log_entries import AssignRole
from kestrelplank.consensus.member_messages import ReleasedRole, ReleaseReason, RoleReport
from kestrelplank.consensus.membership_planning import KnownMember
from kestrelplank.roles.role_history import RoleHistory
from kestrelplank.roles.timing import (
    CANDIDATE_TIMEOUT_NS,
    ELECTION_WAIT_NS,
    HANDOVER_WAIT_NS,
    HOLDER_TIMEOUT_NS,
    REPORT_TIMEOUT_NS,
)
from kestrelplank.state.role_table import RoleAssignment, RoleId, RoleTable
from kestrelplank.time_units import SECOND

VOLUNTARY_RELEASES = frozenset({ReleaseReason.REJECTED, ReleaseReason.UNREACHABLE})
"""Releases by holders that could go on; they are followed by a new assignment at most once per `lease_ns`."""


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A member's newest `RoleReport`, and when it arrived."""

    report: RoleReport
    arrived_at: int


@dataclass(frozen=True, slots=True)
class Vacancy:
    """A role that needs a holder.

    :param reason: why, for the log line.
    :param former_may_act: whether the present holder, or one before it, may act until it knows of its loss.
    """

    reason: str
    former_may_act: bool


@dataclass(frozen=True, slots=True)
class PlannedAssignment:
    """An assignment to propose, and the reason for the log line."""

    role: RoleId
    command: AssignRole
    reason: str


@dataclass(frozen=True, slots=True)
class ProposedAssignment:
    """An assignment in the log that may not be committed yet."""

    log_index: int
    holder: str


class RoleAssigner:
    """Assigns each role that has no holder, or whose holder failed, is stopping or gave it up.

    The choice is the candidate with the fewest roles, of those the one that lost this role longest ago; the former
    holder only if there is no other. The leader counts as having one role more.

    :param identity: of this member.
    :param roles: the roles that exist.
    :param lease_ns: minimum time between assignments of a role whose holders give it up, though they run.
    """

    def __init__(
        self, now: int, identity: str, roles: tuple[RoleId, ...], table: RoleTable, history: RoleHistory, lease_ns: int
    ) -> None:
        self._identity = identity
        self._roles = roles
        self._table = table
        self._history = history
        self._lease_ns = lease_ns
        self._elected_at = now
        self._reports: dict[str, ReceivedReport] = {}  # by identity
        self._proposed: dict[RoleId, ProposedAssignment] = {}

    def handle_report(self, now: int, sender: str, report: RoleReport) -> None:
        """Store a member's report, and forget those of members that have long been silent."""
        self._reports[sender] = ReceivedReport(report, now)
        for identity, received in list(self._reports.items()):
            if now - received.arrived_at > REPORT_TIMEOUT_NS + self._lease_ns:
                del self._reports[identity]

    def handle_elected(self, now: int) -> None:
        """Begin to lead: members are candidates once they have reported again."""
        self._elected_at = now
        self._proposed.clear()

    def handle_proposed(self, planned: PlannedAssignment, log_index: int) -> None:
        """Note that an assignment is in the log at that index, and will be applied."""
        self._proposed[planned.role] = ProposedAssignment(log_index, planned.command.holder)

    def plan(self, now: int, members: Iterable[KnownMember], voters: tuple[str, ...]) -> PlannedAssignment | None:
        """Return the next assignment to propose; None if none is needed or possible.

        :param members: what the leader knows of the members that vote or ask to, including itself.
        """
        known = {member.identity: member for member in members if member.identity in voters}
        for role in self._roles:
            proposed = self._proposed.get(role)
            assignment = self._table.get(role)
            if proposed is not None and (assignment is None or assignment.token < proposed.log_index):
                continue
            vacancy = self._vacancy(now, assignment, known)
            chosen = None if vacancy is None else self._choose(now, role, assignment, known)
            if vacancy is not None and chosen is not None:
                start_id = self._reports[chosen].report.start_id
                command = AssignRole(role.role, role.partition, chosen, start_id, vacancy.former_may_act)
                return PlannedAssignment(role, command, vacancy.reason)
        return None

    # Whether a role needs a holder.

    def _vacancy(self, now: int, assignment: RoleAssignment | None, known: dict[str, KnownMember]) -> Vacancy | None:
        if assignment is None:
            return Vacancy("it had no holder", False)
        released = self._release_of(assignment)
        if released is not None:
            return self._vacancy_after_release(now, assignment, released)
        reason = holder_failure(now, assignment.holder, known.get(assignment.holder))
        return None if reason is None else Vacancy(reason, True)

    def _vacancy_after_release(self, now: int, assignment: RoleAssignment, released: ReleasedRole) -> Vacancy | None:
        """Return the vacancy, for which the holder before the one that gave up may have to be waited for still."""
        held_for_ns = now - self._history.assigned_at(assignment.role_id)
        if released.reason in VOLUNTARY_RELEASES and held_for_ns < self._lease_ns:
            return None
        former_may_act = assignment.former_may_act and held_for_ns < HANDOVER_WAIT_NS
        return Vacancy(f"{assignment.holder} gave it up ({released.reason})", former_may_act)

    def _release_of(self, assignment: RoleAssignment) -> ReleasedRole | None:
        """Return the holder's release of this very assignment, if it has reported one."""
        received = self._reports.get(assignment.holder)
        if received is None:
            return None
        wanted = (assignment.role, assignment.partition, assignment.token)
        releases = received.report.released
        return next((one for one in releases if (one.role, one.partition, one.token) == wanted), None)

    # Who is to hold it.

    def _choose(
        self, now: int, role: RoleId, assignment: RoleAssignment | None, known: dict[str, KnownMember]
    ) -> str | None:
        former = assignment.holder if assignment is not None else ""
        load = self._load()

        def rank(identity: str) -> tuple[bool, int, int, str]:
            own_load = load.get(identity, 0) + (identity == self._identity)
            return identity == former, own_load, self._history.lost_at(role, identity), identity

        candidates = [
            identity
            for identity, member in known.items()
            if self._is_candidate(now, member) and self._history.may_return(now, role, identity)
        ]
        return min(candidates, key=rank, default=None)

    def _is_candidate(self, now: int, member: KnownMember) -> bool:
        received = self._reports.get(member.identity)
        if received is None or not received.report.available or member.leaving:
            return False
        if member.identity == self._identity:
            return now - self._elected_at >= ELECTION_WAIT_NS
        if received.arrived_at < self._elected_at or now - received.arrived_at >= REPORT_TIMEOUT_NS:
            return False
        return member.caught_up and now - member.heard_at < CANDIDATE_TIMEOUT_NS

    def _load(self) -> dict[str, int]:
        """Return the number of roles of each member, those in the log but not yet applied included."""
        holders = {role: assignment.holder for role, assignment in self._table.assignments.items()}
        for role, proposed in self._proposed.items():
            assignment = self._table.get(role)
            if assignment is None or assignment.token < proposed.log_index:
                holders[role] = proposed.holder
        load: dict[str, int] = {}
        for holder in holders.values():
            load[holder] = load.get(holder, 0) + 1
        return load


def holder_failure(now: int, holder: str, member: KnownMember | None) -> str | None:
    """Return why a holder must be replaced; None: it need not.

    :param member: what the leader knows of it; None if it is not a voter.
    """
    if member is None:
        return f"{holder} is no voter"
    if member.leaving:
        return f"{holder} is stopping"
    if now - member.heard_at >= HOLDER_TIMEOUT_NS:
        return f"{holder} was last heard {(now - member.heard_at) / SECOND:.1f} s ago"
    return None
