"""The leader's choice of holders, and what a holder may do, case by case. Times are in seconds."""

import pytest

from kestrelplank.consensus.log_entries import AssignRole, Entry
from kestrelplank.consensus.member_messages import ReleasedRole, ReleaseReason, RoleReport
from kestrelplank.consensus.membership_planning import KnownMember
from kestrelplank.consensus.timing import CURRENT_TIMEOUT_NS
from kestrelplank.roles.role_assigner import RoleAssigner
from kestrelplank.roles.role_history import RoleHistory
from kestrelplank.roles.role_holder import RoleHolder
from kestrelplank.roles.role_names import USAGE_REPORT
from kestrelplank.roles.timing import HANDOVER_WAIT_NS, HOLDER_TIMEOUT_NS
from kestrelplank.state.role_table import RoleTable
from kestrelplank.time_units import SECOND

A, B, C = "a:1/first", "b:1/first", "c:1/first"  # A leads
ALL = (A, B, C)
LEASE_NS = 3 * SECOND


class Leader:
    """The assigner of member A, which was elected at 0, with the state of its table."""

    def __init__(self, holders=(), roles=(USAGE_REPORT,)):
        """`holders`: (time, identity, former may act) of each assignment, in order."""
        self.table = RoleTable()
        self.history = RoleHistory(-100 * SECOND, self.table, LEASE_NS)
        self.assigner = RoleAssigner(0, A, roles, self.table, self.history, LEASE_NS)
        self.released = {}
        self.index = 0
        for at, holder, former_may_act in holders:
            self.apply(at, holder, former_may_act)

    def apply(self, at, holder, former_may_act=False):
        self.index += 1
        command = AssignRole(*USAGE_REPORT, holder, 7, former_may_act)
        self.table.apply(Entry(self.index, 1, command), command)
        self.history.handle_applied(round(at * SECOND))

    def release(self, identity, reason):
        self.released[identity] = (ReleasedRole(*USAGE_REPORT, self.index, reason),)

    def plan(self, at, silent_s=0, members=ALL, **changes):
        """`silent_s`: time since B was heard; `changes`: fields of B as the leader knows it."""
        now = round(at * SECOND)
        for identity in members:
            self.assigner.handle_report(now, identity, RoleReport(7, True, self.released.get(identity, ())))
        known = [KnownMember(identity, "", True, False, now, True) for identity in members if identity != B]
        if B in members:
            fields = {"leaving": False, "heard_at": now - round(silent_s * SECOND), "caught_up": True, **changes}
            known.append(KnownMember(B, "", True, **fields))
        return self.assigner.plan(now, known, members)


@pytest.mark.parametrize(
    "at, members, chosen",
    [(0.1, ALL, B), (0.1, (A,), None), (0.6, (A,), A), (0.6, ALL, B)],
)
def test_first_holder_is_not_the_leader_if_another_has_reported(at, members, chosen):
    planned = Leader().plan(at, members=members)
    assert (planned and planned.command) == (chosen and AssignRole(*USAGE_REPORT, chosen, 7, False))


@pytest.mark.parametrize(
    "silent_s, changes, reason",
    [
        (0.9, {}, None),
        (1.0, {}, f"{B} was last heard 1.0 s ago"),
        (0, {"leaving": True}, f"{B} is stopping"),
        (0, {"caught_up": False}, None),
    ],
)
def test_holder_is_replaced_once_it_is_silent_or_stopping_and_may_act_until_it_knows(silent_s, changes, reason):
    planned = Leader([(0, B, False)]).plan(20, silent_s, **changes)
    assert (planned and planned.reason) == reason
    assert planned is None or (planned.command.holder, planned.command.former_may_act) == (C, True)


@pytest.mark.parametrize("reason, may_follow_at", [("stopping", 0.2), ("restarted", 0.2), ("token rejected", 3)])
def test_release_is_followed_at_once_if_the_holder_is_lost_and_else_once_per_lease(reason, may_follow_at):
    leader = Leader([(0, B, False)])
    leader.release(B, ReleaseReason(reason))
    assert leader.plan(may_follow_at - 0.01) is None or may_follow_at < 1
    planned = leader.plan(may_follow_at)
    assert (planned.command.holder, planned.command.former_may_act) == (C, False)


@pytest.mark.parametrize("at, former_may_act", [(10.5, True), (10 + HANDOVER_WAIT_NS / SECOND, False)])
def test_holder_before_the_one_that_gave_up_is_waited_for(at, former_may_act):
    leader = Leader([(0, A, False), (10, B, True)])
    leader.release(B, ReleaseReason.STOPPING)
    planned = leader.plan(at)
    assert (planned.command.holder, planned.command.former_may_act) == (C, former_may_act)


def test_role_does_not_come_back_within_the_lease_of_a_holders_last_possible_act():
    leader = Leader([(0, A, False), (10, B, True)])
    wait_s = 1.05 * (CURRENT_TIMEOUT_NS + LEASE_NS) / SECOND
    assert leader.plan(10 + wait_s - 0.01, 2, members=(A, B)) is None
    assert leader.plan(10 + wait_s, 2, members=(A, B)).command.holder == A


def test_wiped_member_at_a_former_holders_address_counts_as_that_holder():
    leader = Leader([(0, C, False), (10, B, True)])
    assert leader.plan(12, 2, members=(B, "c:1/other")) is None


def test_leader_that_does_not_know_former_holders_waits_as_if_each_had_just_lost_the_role():
    leader = Leader([(0, B, False)])
    leader.history.handle_restored(10 * SECOND)
    assert leader.plan(14, 2) is None
    assert leader.plan(14.2, 2).command.holder == C


def test_assignment_that_is_not_applied_yet_is_not_proposed_again():
    leader = Leader()
    planned = leader.plan(1)
    leader.assigner.handle_proposed(planned, 5)
    assert leader.plan(2) is None


# What a holder may do.


def test_holder_acts_while_current_and_after_the_former_holder_has_stopped():
    leader = Leader([(0, A, False), (10, B, True)])
    holder = RoleHolder(B, 7, leader.table)
    holder.handle_applied(10 * SECOND)
    acts_from = 10 * SECOND + HANDOVER_WAIT_NS
    assert holder.token(acts_from - 1, USAGE_REPORT, current=True) is None
    assert holder.token(acts_from, USAGE_REPORT, current=True) == 2
    assert holder.token(acts_from, USAGE_REPORT, current=False) is None
    assert RoleHolder(A, 7, leader.table).token(acts_from, USAGE_REPORT, current=True) is None


def test_released_token_is_never_used_again_and_reported_until_a_newer_assignment():
    leader = Leader([(0, B, False)])
    holder = RoleHolder(B, 7, leader.table)
    holder.handle_applied(0)
    assert holder.release(USAGE_REPORT, 1, ReleaseReason.REJECTED)
    assert not holder.release(USAGE_REPORT, 1, ReleaseReason.REJECTED)
    assert holder.token(SECOND, USAGE_REPORT, current=True) is None
    assert holder.unassigned_releases() == (ReleasedRole(*USAGE_REPORT, 1, ReleaseReason.REJECTED),)
    leader.apply(2, B)
    holder.handle_applied(2 * SECOND)
    assert holder.token(2 * SECOND, USAGE_REPORT, current=True) == 2 and not holder.unassigned_releases()


def test_restarted_process_gives_up_the_token_of_its_former_process():
    leader = Leader([(0, B, False)])
    holder = RoleHolder(B, 8, leader.table)
    holder.handle_applied(0)
    assert holder.token(SECOND, USAGE_REPORT, current=True) is None
    assert holder.unassigned_releases() == (ReleasedRole(*USAGE_REPORT, 1, ReleaseReason.RESTARTED),)


# Waits.


def test_waits_suffice_if_the_former_holders_clock_is_2_percent_slow_and_the_waiting_one_2_percent_fast():
    assert HANDOVER_WAIT_NS / 1.02 > CURRENT_TIMEOUT_NS * 1.02
    assert HOLDER_TIMEOUT_NS >= CURRENT_TIMEOUT_NS
