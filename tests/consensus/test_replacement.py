"""Planned and unplanned replacement of members with another fault before each event, on a simulated cluster: no
acknowledged order is lost, and the change completes.

Machines are `a`, `b`, `c` and so on; the initial voters come first. In CI each event and victim gets one kind of loss;
`python tests/consensus/test_replacement.py [SEEDS]` runs all kinds with several seeds.
"""

import pytest

from consensus.replacing_cluster import (
    COVERAGE,
    FROZEN,
    GONE,
    ISOLATED,
    KILLED,
    POWER_LOST,
    RECOVERY_TIMEOUT_NS,
    SYNC_TIMEOUT_NS,
    WIPED,
    ReplacingCluster,
    scenarios_with_loss,
    started_cluster,
)
from consensus.simulated_cluster import IN_FORCE
from kestrelplank.consensus.identity import FIRST_INCARNATION, identity_of
from kestrelplank.consensus.log_entries import ChangeMembership, Entry, HardState, Noop
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.roles import Role
from kestrelplank.consensus.timing import LEASE_NS
from kestrelplank.time_units import MILLISECOND, SECOND


def seeded(**settings):
    return started_cluster(seed=COVERAGE.seed, **settings)


def planned_replacement(leaver):
    """A scenario whose new member d has run for a second when `leaver` (0: the leader) gets SIGTERM."""

    def begin():
        cluster, leader, others = seeded()
        cluster.start("d")
        cluster.run(SECOND)
        cluster.terminate([leader, *others][leaver])
        return cluster

    return begin


def d_is_a_voter(cluster):
    return cluster.has_joined("d")


# Another loss before each event.


@pytest.mark.parametrize("leaver", [0, 1], ids=["leader", "follower"])
def test_planned_replacement_tolerates_a_loss_before_any_event(leaver):
    """The new member runs before the SIGTERM. Orders are acknowledged after any other loss, and again after the leaver has
    stopped, which does not count as a loss."""
    for scenario in scenarios_with_loss(planned_replacement(leaver), d_is_a_voter, "abcd"):
        scenario.cluster.check_serves(2)
        if scenario.loss is GONE:
            scenario.cluster.run(RECOVERY_TIMEOUT_NS)
            scenario.cluster.check_serves(3)


def test_unplanned_replacement_completes_after_a_second_fault_before_any_event():
    """c is killed, d starts a second later. A second loss before d is a voter exceeds the tolerated losses, so that machine
    returns with its disk; then no acknowledged order is lost and the replacement completes."""

    def begin():
        cluster, _, _ = seeded()
        cluster.kill("c")
        cluster.run(SECOND)
        cluster.start("d")
        return cluster

    for scenario in scenarios_with_loss(begin, d_is_a_voter, "abd", (KILLED, ISOLATED, FROZEN), stride=2):
        scenario.cluster.until_joined("d", 30 * SECOND)
        scenario.cluster.check_serves(2)


@pytest.mark.parametrize("wait", [0, 500 * MILLISECOND, SECOND, 5 * SECOND])
@pytest.mark.parametrize("victim", "abc")
def test_another_loss_is_tolerated_once_a_new_member_has_run_for_the_sync_time(victim, wait):
    """After any first loss, and a new member that starts at once or later, any other member may be lost for good."""
    for second in "abcd".replace(victim, ""):
        cluster, _, _ = seeded()
        cluster.kill(victim)
        cluster.run(wait)
        cluster.start("d")
        cluster.run(SYNC_TIMEOUT_NS)
        assert cluster.voters() == "abcd".replace(victim, "")
        cluster.wipe(second)
        cluster.check_serves(2)


def test_change_completes_after_power_loss_of_all_before_any_event():
    for leaver in (0, 1):
        for scenario in scenarios_with_loss(planned_replacement(leaver), d_is_a_voter, "-", (POWER_LOST,)):
            scenario.cluster.run(SECOND)
            scenario.cluster.check_serves(2)
            scenario.cluster.until(
                lambda cluster=scenario.cluster: cluster.has_voters(cluster.voters()), RECOVERY_TIMEOUT_NS
            )


def test_disk_loss_before_any_event_of_an_unplanned_replacement_is_tolerated():
    """Five voters, two tolerated losses. f replaces the stopped c, and another machine loses its disk."""

    def begin():
        cluster, _, _ = seeded(voter_count=5, losses=2, spare=1)
        cluster.kill("c")
        cluster.run(1500 * MILLISECOND)
        cluster.start("f")
        return cluster

    for scenario in scenarios_with_loss(
        begin, lambda cluster: cluster.has_voters("abdef"), "abdef", (WIPED, GONE), stride=5
    ):
        scenario.cluster.check_serves(2)
        if scenario.loss is WIPED:
            scenario.cluster.run(scenario.loss.lasts)
            scenario.cluster.until_voters("abdef", SYNC_TIMEOUT_NS)


def test_disk_loss_before_any_event_of_a_planned_replacement_is_tolerated():
    """Three voters. d replaces the leaving c while a machine loses its disk and returns with a new identity."""

    def has_three_voters(cluster):
        return len(cluster.voters()) == 3 and cluster.has_voters(cluster.voters())

    for scenario in scenarios_with_loss(planned_replacement(1), d_is_a_voter, "abcd", (WIPED,), stride=3):
        scenario.cluster.run(scenario.loss.lasts)
        scenario.cluster.until(lambda cluster=scenario.cluster: has_three_voters(cluster), RECOVERY_TIMEOUT_NS)
        scenario.cluster.check_serves(2)


def test_growth_from_three_to_five_voters_tolerates_a_loss_before_any_event():
    """Eleven machines start together, three as initial voters; two losses are to be tolerated."""

    def begin():
        cluster = ReplacingCluster(losses=2, spare=8, seed=COVERAGE.seed)
        for name in "defghijk":
            cluster.schedule(cluster.random.randrange(300 * MILLISECOND), lambda name=name: cluster.start(name))
        cluster.elect()
        return cluster

    def has_five_voters(cluster):
        return len(cluster.voters()) == 5 and cluster.has_voters(cluster.voters())

    for scenario in scenarios_with_loss(begin, has_five_voters, "abcde", (GONE, WIPED), stride=60):
        scenario.cluster.check_serves(1)
        scenario.cluster.run(SYNC_TIMEOUT_NS)
        assert len(scenario.cluster.voters()) == 5
        scenario.cluster.check_serves(2)


# Leaving and joining members.


@pytest.mark.parametrize("leaving, lost", [("c", "a"), ("a", "c")])
def test_newest_entry_survives_when_one_of_its_two_holders_leaves_and_the_other_is_lost(leaving, lost):
    """b is partitioned while a and c get version 2. d replaces one of these, and the other is lost before each event: version
    2 stays in force."""

    def begin():
        cluster, leader, _ = seeded()
        cluster.start("d")
        cluster.run(SECOND)
        cluster.isolate("b")
        cluster.isolate("d")
        assert cluster.put(2, b"second", at=leader if leader in "ac" else "a") == IN_FORCE
        cluster.heal()
        cluster.terminate(leaving)
        return cluster

    for scenario in scenarios_with_loss(begin, d_is_a_voter, lost, (GONE, WIPED)):
        scenario.cluster.until(lambda cluster=scenario.cluster: cluster.leader(), RECOVERY_TIMEOUT_NS)
        assert scenario.cluster.leader().replica.text == b"second"
        scenario.cluster.run(RECOVERY_TIMEOUT_NS)
        scenario.cluster.check_serves(3)


def test_replaced_voter_that_returns_after_two_replacements_is_not_a_voter():
    """d replaces the lost c, e replaces the lost d; then c returns with its old disk and is not a voter."""
    cluster, _, _ = seeded()
    begun_at = cluster.time
    for lost, new_member in (("c", "d"), ("d", "e")):
        cluster.kill(lost)
        cluster.start(new_member)
        cluster.until_joined(new_member, SYNC_TIMEOUT_NS)
    assert cluster.time - begun_at < 10 * SECOND
    cluster.start("c")
    cluster.until_voters("abe")
    cluster.run(3 * SECOND)
    assert cluster.has_voters("abe")
    cluster.kill("a")
    cluster.check_serves(2)


@pytest.mark.parametrize("gap", [0, 1 * MILLISECOND, 100 * MILLISECOND])
def test_of_two_new_members_one_replaces_the_lost_voter_and_one_stays_standby(gap):
    """One becomes a voter; the other stays a standby, and replaces the next voter that is lost."""
    cluster, _, _ = seeded()
    cluster.kill("c")
    cluster.start("d")
    cluster.run(gap)
    cluster.start("e")
    cluster.run(SYNC_TIMEOUT_NS)
    assert cluster.has_voters("abd") or cluster.has_voters("abe")
    assert len(cluster.changes) == 1
    new_voter, standby = ("d", "e") if "d" in cluster.voters() else ("e", "d")
    cluster.kill("b")
    cluster.until_voters("ade", SYNC_TIMEOUT_NS)
    cluster.wipe(new_voter)
    cluster.check_serves(2)
    assert standby in cluster.voters()


def test_new_member_of_the_same_zone_is_preferred():
    cluster, _, _ = seeded(zones={"a": "x", "b": "y", "c": "z", "d": "y", "e": "z"})
    cluster.kill("c")
    cluster.start("d")
    cluster.start("e")
    cluster.until_voters("abe", SYNC_TIMEOUT_NS)


def test_five_voters_tolerate_repeated_loss_of_two_disks():
    cluster, _, _ = seeded(voter_count=5, losses=2, spare=0)
    for version, lost in enumerate(("ab", "cd", "ea", "bc"), 2):
        cluster.check_serves(version)
        for name in lost:
            cluster.wipe(name)
            cluster.schedule(SECOND, lambda name=name: cluster.start(name))
        cluster.run(SECOND)
        cluster.until_voters("abcde", SYNC_TIMEOUT_NS)
    cluster.check_serves(6)


def test_flapping_voter_without_a_standby_stays_a_voter():
    cluster, _, others = seeded()
    for _ in range(4):
        cluster.isolate(others[0])
        cluster.run(2500 * MILLISECOND)
        cluster.heal()
        cluster.run(2500 * MILLISECOND)
    assert not cluster.changes and cluster.has_voters("abc")


def test_restarted_member_without_a_standby_stays_a_voter():
    cluster, leader, others = seeded()
    for name in (*others, leader):
        cluster.terminate(name, grace=SECOND)
        cluster.run(2 * SECOND)
        cluster.start(name)
        cluster.until(cluster.caught_up)
    assert not cluster.changes and cluster.has_voters("abc")


# Former epochs.


@pytest.mark.parametrize("keep", [False, True], ids=["lost", "delayed"])
def test_partitioned_former_leader_acknowledges_nothing_and_adopts_the_newest_epoch(keep):
    """The leader is partitioned together with a client, and replaced. Orders that it receives meanwhile never come into force,
    and it answers no reads; once the partition is healed it follows, in the newest epoch."""
    cluster, leader, others = seeded()
    cluster.start("d")
    cluster.run(SECOND)
    cluster.isolate(leader, keep=keep)
    former = cluster.machines[leader]
    stale = [cluster.order(leader, 2, b"stale")]
    cluster.run(LEASE_NS)
    members = "".join(sorted([*others, "d"]))
    cluster.until(lambda: cluster.voters() == members, RECOVERY_TIMEOUT_NS)
    for version in (2, 3):
        stale.append(cluster.order(leader, version, b"stale"))
        assert cluster.put(version, b"%d" % version, at="d") == IN_FORCE
        assert cluster.read(leader).answer != IN_FORCE
    assert former.node.epoch < cluster.machines["d"].node.epoch
    cluster.heal()
    cluster.until(cluster.caught_up)
    cluster.run(3 * SECOND)
    assert all(attempt.answer != IN_FORCE for attempt in stale)
    assert former.node.epoch == cluster.machines["d"].node.epoch
    assert not former.node.is_voter and former.replica.text == b"3"
    assert cluster.has_voters(members)


def test_two_rival_changes_in_one_epoch_end_in_one_membership():
    """The leader proposes that d replaces a killed voter, and from some event on reaches only d. Another leader may propose
    a different change in the same epoch. After all partitions are healed, all members have the same membership."""
    rival_changes = 0
    for point in range(40):
        cluster, leader, (second, third) = seeded()
        cluster.kill(third)
        cluster.start("d")
        cluster.start("e")
        cluster.until(lambda cluster=cluster: cluster.changes)

        def separate(cluster=cluster, leader=leader, second=second, third=third):
            cluster.partition_off(leader, second + third + "e")
            cluster.partition_off("d", second + third + "e")
            cluster.start(third)

        cluster.count_events(point, separate)
        cluster.run(6 * SECOND)
        epochs = [change.membership.epoch for change in cluster.changes]
        rival_changes += len(epochs) > len(set(epochs))
        cluster.heal()
        cluster.until(lambda cluster=cluster: cluster.has_voters(cluster.voters()), RECOVERY_TIMEOUT_NS)
        cluster.check_serves(2)
        assert len({machine.node.epoch for machine in cluster.running()}) == 1
    assert rival_changes > 0


# Situations that the search in `test_membership_model` finds if a safeguard is removed.


def has_final(machine):
    """Whether the newest membership in that member's log completes a change."""
    return machine.node.epoch > 1 and not machine.node.membership.joint


def test_removed_voter_is_sent_only_committed_entries():
    """d replaces c. The leader appends the last entry of the change, reaches only c and is lost. If c had received that
    entry, its log would be newer than that of b, which needs the vote of c, and no member could be elected."""
    cluster, leader, _ = started_cluster()
    assert leader == "a"
    cluster.start("d")
    cluster.run(SECOND)
    cluster.terminate("c")
    cluster.until(lambda: has_final(cluster.machines["a"]))
    cluster.partition_off("a", "bd")
    cluster.run(600 * MILLISECOND)
    cluster.kill("a")
    cluster.check_serves(2)
    cluster.run(RECOVERY_TIMEOUT_NS)
    cluster.check_serves(3)


@pytest.mark.parametrize("power_lost", [False, True])
def test_removed_leader_leaves_the_final_membership_entry_to_its_successor(power_lost):
    """d replaces the only voter, which is partitioned from d once both have the joint membership. If only the old voter had
    the last entry, it could not be elected again, nor vote for d, whose log would be older."""
    cluster, _, _ = started_cluster(voter_count=1, losses=0, spare=3)
    cluster.start("d")
    cluster.run(SECOND)
    cluster.terminate("a", grace=60 * SECOND)
    former = cluster.machines["a"]
    cluster.until(lambda: has_final(former) or former.node.role != Role.LEADER, 2 * SECOND)
    cluster.partition_off("a", "d")
    cluster.run(500 * MILLISECOND)
    if power_lost:
        cluster.restart("a")
        cluster.restart("d")
    cluster.heal()
    cluster.run(SECOND)
    cluster.check_serves(2)
    cluster.until_voters("d")


def test_sole_voter_is_replaced_despite_power_loss_before_any_event():
    """No losses are tolerated, so there is one voter; d replaces it."""

    def begin():
        cluster, _, _ = seeded(voter_count=1, losses=0, spare=3)
        cluster.start("d")
        cluster.run(SECOND)
        cluster.terminate("a", grace=60 * SECOND)
        return cluster

    for scenario in scenarios_with_loss(begin, lambda cluster: cluster.has_voters("d"), "-", (POWER_LOST,)):
        scenario.cluster.run(SECOND)
        scenario.cluster.check_serves(2)


def test_uncommitted_membership_does_not_deny_votes():
    """Only a has a change to (a, b, d). b, the next leader, proposed another one in the same epoch, to (b, c, e), and one more
    entry, which only e has; b is lost. Only e can be elected, and needs the vote of a."""
    cluster = ReplacingCluster(start=False)
    a, b, c = cluster.initial_membership.voters
    d, e = (identity_of(name, "new") for name in "de")
    first = Entry(1, 1, Noop())
    change_of_a = Entry(2, 1, ChangeMembership(Membership(2, (a, b, d), (a, b, c))))
    change_of_b = Entry(2, 2, ChangeMembership(Membership(2, (b, c, e), (a, b, c))))
    last = Entry(3, 2, Noop())
    logs = {
        "a": (HardState(1, a, a), [first, change_of_a]),
        "c": (HardState(2, b, b), [first, change_of_b]),
        "d": (HardState(1, "", a), [first]),
        "e": (HardState(2, "", b), [first, change_of_b, last]),
    }
    for name, (hard_state, entries) in logs.items():
        disk = cluster.machines[name].disk
        disk.incarnation = FIRST_INCARNATION if name in "abc" else "new"
        disk.membership = cluster.initial_membership if name in "abc" else None
        disk.hard_state, disk.entries = hard_state, entries
        cluster.start(name)
    assert cluster.elect().address == "e"


# Measurements, printed by `main`.


def measure_replacement(lost, wait, seed):
    """Two times in ms until the change that adds the new member is complete: since the loss, and since the new member's start.
    `lost`: index of the lost member, 0 for the leader. `wait`: ns from the loss to the new member's start; None: the lost
    machine returns with an empty disk after a second."""
    cluster, leader, others = started_cluster(seed=seed)
    name = [leader, *others][lost]
    lost_at = cluster.time
    new_member = name if wait is None else "d"
    (cluster.wipe if wait is None else cluster.kill)(name)
    cluster.run(SECOND if wait is None else wait)
    cluster.start(new_member)
    started_at = cluster.time
    cluster.until(lambda: cluster.changes and cluster.has_joined(new_member))
    return (cluster.time - lost_at) // MILLISECOND, (cluster.time - started_at) // MILLISECOND


def measure_handover(leaver, seed):
    """Time in ms from a SIGTERM, with a new member caught up, until the change that adds it is complete."""
    cluster, leader, others = started_cluster(seed=seed)
    cluster.start("d")
    cluster.run(SECOND)
    terminated_at = cluster.time
    cluster.terminate([leader, *others][leaver])
    cluster.until(lambda: cluster.has_joined("d"))
    return (cluster.time - terminated_at) // MILLISECOND


def print_times(seeds):
    """Print median and longest times over `seeds` runs for each case."""
    for role, leaver in (("leader", 0), ("follower", 1)):
        times = sorted(measure_handover(leaver, seed) for seed in range(1, seeds + 1))
        print(f"{role} leaves, new member ready: {times[seeds // 2]} ms since the SIGTERM, at most {times[-1]} ms")
    for role, lost in (("leader", 0), ("follower", 1)):
        for start, wait in (
            ("at once", 0),
            ("after 1 s", SECOND),
            ("after 5 s", 5 * SECOND),
            ("wiped, back after 1 s", None),
        ):
            times_by_seed = [measure_replacement(lost, wait, seed) for seed in range(1, seeds + 1)]
            results = [f"{sorted(times)[len(times) // 2]}, at most {max(times)} ms" for times in zip(*times_by_seed)]
            print(
                f"{role} lost, new member {start}: since the loss {results[0]}; since the new member's start {results[1]}"
            )


def main(seeds):
    print_times(300)
    COVERAGE.thorough = True
    for COVERAGE.seed in range(1, seeds + 1):
        print("seed", COVERAGE.seed, flush=True)
        if pytest.main(["-q", "-p", "no:cacheprovider", "--tb=short", "--durations=12", __file__]):
            return 1
    return 0


if __name__ == "__main__":
    import sys

    sys.exit(main(int(sys.argv[1]) if sys.argv[1:] else 3))
