"""Members that are replaced, planned and unplanned, with the next fault at each step: the real core and the real policy
in a simulated cluster, which holds all invariants after every event.

Machines are `a`, `b`, `c` and so on; those that count at the first start come first. In CI each point of a change meets
each victim with one kind of loss; `python tests/consensus/test_replacement.py [SEEDS]` plays all kinds with several seeds.
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
    every_point,
    started,
)
from consensus.simulated_cluster import IN_FORCE
from kestrelplank.consensus.identity import FIRST_INCARNATION, identity_of
from kestrelplank.consensus.log_entries import ChangeMembership, Entry, HardState, Noop
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.roles import Role
from kestrelplank.consensus.timing import LEASE_NS
from kestrelplank.time_units import MILLISECOND, SECOND


def seeded(**settings):
    return started(seed=COVERAGE.seed, **settings)


def planned_replacement(leaver):
    """Begins with the newcomer d up for a second as `leaver` (0: the leader) is told to end."""

    def begin():
        cluster, leader, others = seeded()
        cluster.start("d")
        cluster.run(SECOND)
        cluster.terminate([leader, *others][leaver])
        return cluster

    return begin


def d_is_a_voter(cluster):
    return cluster.has_replaced("d")


# A second loss at each step.


@pytest.mark.parametrize("leaver", [0, 1], ids=["leader", "follower"])
def test_a_loss_at_each_step_of_a_planned_replacement(leaver):
    """The newcomer runs before the SIGTERM. Whoever is lost, at whichever step: orders are taken, and also after the
    leaver has ended, which does not count as lost, as its successor ran in time."""
    for play in every_point(planned_replacement(leaver), d_is_a_voter, "abcd"):
        play.cluster.serves(2)
        if play.loss is GONE:
            play.cluster.run(RECOVERY_TIMEOUT_NS)
            play.cluster.serves(3)


def test_a_loss_at_each_step_of_an_unplanned_replacement():
    """c dies, d starts a second later. A second loss before d counts is one too many, so the machine comes back with its
    disk; nothing acknowledged is lost, and the replacement is carried through."""

    def begin():
        cluster, _, _ = seeded()
        cluster.kill("c")
        cluster.run(SECOND)
        cluster.start("d")
        return cluster

    for play in every_point(begin, d_is_a_voter, "abd", (KILLED, ISOLATED, FROZEN), stride=2):
        play.cluster.until_replaced("d", 30 * SECOND)
        play.cluster.serves(2)


@pytest.mark.parametrize("wait", [0, 500 * MILLISECOND, SECOND, 5 * SECOND])
@pytest.mark.parametrize("victim", "abc")
def test_the_next_loss_is_borne_once_a_newcomer_has_run_for_the_platforms_time(victim, wait):
    """Whoever is lost first, and whether the newcomer starts at once or later: then any other may go for good."""
    for second in "abcd".replace(victim, ""):
        cluster, _, _ = seeded()
        cluster.kill(victim)
        cluster.run(wait)
        cluster.start("d")
        cluster.run(SYNC_TIMEOUT_NS)
        assert cluster.voters() == "abcd".replace(victim, "")
        cluster.wipe(second)
        cluster.serves(2)


def test_all_lose_power_at_each_step_of_a_change():
    for leaver in (0, 1):
        for play in every_point(planned_replacement(leaver), d_is_a_voter, "-", (POWER_LOST,)):
            play.cluster.run(SECOND)
            play.cluster.serves(2)
            play.cluster.until(lambda cluster=play.cluster: cluster.has_voters(cluster.voters()), RECOVERY_TIMEOUT_NS)


def test_a_wiped_member_at_each_step_of_anothers_joining():
    """Five count, two losses are borne. c is dead and f joins for it; a second machine loses its disk."""

    def begin():
        cluster, _, _ = seeded(counted=5, losses=2, spare=1)
        cluster.kill("c")
        cluster.run(1500 * MILLISECOND)
        cluster.start("f")
        return cluster

    for play in every_point(begin, lambda cluster: cluster.has_voters("abdef"), "abdef", (WIPED, GONE), stride=5):
        play.cluster.serves(2)
        if play.loss is WIPED:
            play.cluster.run(play.loss.lasts)
            play.cluster.until_voters("abdef", SYNC_TIMEOUT_NS)


def test_a_wiped_member_at_each_step_of_anothers_planned_joining():
    """Three count. c leaves for d, and a or b loses its disk, and comes back as another member, which takes its place."""

    def kept(cluster):
        return len(cluster.voters()) == 3 and cluster.has_voters(cluster.voters())

    for play in every_point(planned_replacement(1), d_is_a_voter, "abcd", (WIPED,), stride=3):
        play.cluster.run(play.loss.lasts)
        play.cluster.until(lambda cluster=play.cluster: kept(cluster), RECOVERY_TIMEOUT_NS)
        play.cluster.serves(2)


def test_growth_from_three_to_five_with_a_loss_at_each_step():
    """Eleven machines start together, three of them are named at the first start; two losses are to be borne."""

    def begin():
        cluster = ReplacingCluster(losses=2, spare=8, seed=COVERAGE.seed)
        for name in "defghijk":
            cluster.at(cluster.random.randrange(300 * MILLISECOND), lambda name=name: cluster.start(name))
        cluster.elect()
        return cluster

    def five(cluster):
        return len(cluster.voters()) == 5 and cluster.has_voters(cluster.voters())

    for play in every_point(begin, five, "abcde", (GONE, WIPED), stride=60):
        play.cluster.serves(1)
        play.cluster.run(SYNC_TIMEOUT_NS)
        assert len(play.cluster.voters()) == 5
        play.cluster.serves(2)


# Who leaves, who comes.


@pytest.mark.parametrize("leaving, lost", [("c", "a"), ("a", "c")])
def test_a_leaving_member_holds_the_newest_entry(leaving, lost):
    """b was partitioned while version 2 came to a and c. One of these leaves, d joins for it, and the other is lost at each
    step: version 2 is in force on all the rest."""

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

    for play in every_point(begin, d_is_a_voter, lost, (GONE, WIPED)):
        play.cluster.until(lambda cluster=play.cluster: cluster.leader(), RECOVERY_TIMEOUT_NS)
        assert play.cluster.leader().replica.text == b"second"
        play.cluster.run(RECOVERY_TIMEOUT_NS)
        play.cluster.serves(3)


def test_a_member_replaced_twice_in_ten_seconds_loses_nothing():
    """c is lost, d replaces it and is lost too, e takes that; then c is back with its old disk and does not count."""
    cluster, _, _ = seeded()
    begun_at = cluster.time
    for lost, newcomer in (("c", "d"), ("d", "e")):
        cluster.kill(lost)
        cluster.start(newcomer)
        cluster.until_replaced(newcomer, SYNC_TIMEOUT_NS)
    assert cluster.time - begun_at < 10 * SECOND
    cluster.start("c")
    cluster.until_voters("abe")
    cluster.run(3 * SECOND)
    assert cluster.has_voters("abe")
    cluster.kill("a")
    cluster.serves(2)


@pytest.mark.parametrize("gap", [0, 1 * MILLISECOND, 100 * MILLISECOND])
def test_two_newcomers_for_one_voter(gap):
    """One is taken; the other waits, and replaces the next that is lost."""
    cluster, _, _ = seeded()
    cluster.kill("c")
    cluster.start("d")
    cluster.run(gap)
    cluster.start("e")
    cluster.run(SYNC_TIMEOUT_NS)
    assert cluster.has_voters("abd") or cluster.has_voters("abe")
    assert len(cluster.changes) == 1
    taken, waits = ("d", "e") if "d" in cluster.voters() else ("e", "d")
    cluster.kill("b")
    cluster.until_voters("ade", SYNC_TIMEOUT_NS)
    cluster.wipe(taken)
    cluster.serves(2)
    assert waits in cluster.voters()


def test_a_newcomer_of_the_same_zone_is_taken_first():
    cluster, _, _ = seeded(zones={"a": "x", "b": "y", "c": "z", "d": "y", "e": "z"})
    cluster.kill("c")
    cluster.start("d")
    cluster.start("e")
    cluster.until_voters("abe", SYNC_TIMEOUT_NS)


def test_two_wiped_at_once_of_five_again_and_again():
    cluster, _, _ = seeded(counted=5, losses=2, spare=0)
    for version, lost in enumerate(("ab", "cd", "ea", "bc"), 2):
        cluster.serves(version)
        for name in lost:
            cluster.wipe(name)
            cluster.at(SECOND, lambda name=name: cluster.start(name))
        cluster.run(SECOND)
        cluster.until_voters("abcde", SYNC_TIMEOUT_NS)
    cluster.serves(6)


def test_a_flapping_voter_without_a_standby_stays():
    cluster, _, others = seeded()
    for _ in range(4):
        cluster.isolate(others[0])
        cluster.run(2500 * MILLISECOND)
        cluster.heal()
        cluster.run(2500 * MILLISECOND)
    assert not cluster.changes and cluster.has_voters("abc")


def test_a_member_that_is_stopped_and_started_stays_a_voter_without_a_standby():
    cluster, leader, others = seeded()
    for name in (*others, leader):
        cluster.terminate(name, grace=SECOND)
        cluster.run(2 * SECOND)
        cluster.start(name)
        cluster.until(cluster.caught_up)
    assert not cluster.changes and cluster.has_voters("abc")


# Old epochs.


@pytest.mark.parametrize("keep", [False, True], ids=["lost", "held up"])
def test_an_old_leader_returns_after_a_partition_believing_in_the_old_epoch_with_clients(keep):
    """The leader is partitioned with a client, and replaced. Orders that it takes then are never in force, nor does it answer
    reads; once the partition is healed it follows, under the newest epoch."""
    cluster, leader, others = seeded()
    cluster.start("d")
    cluster.run(SECOND)
    cluster.isolate(leader, keep=keep)
    old = cluster.machines[leader]
    stale = [cluster.order(leader, 2, b"stale")]
    cluster.run(LEASE_NS)
    members = "".join(sorted([*others, "d"]))
    cluster.until(lambda: cluster.voters() == members, RECOVERY_TIMEOUT_NS)
    for version in (2, 3):
        stale.append(cluster.order(leader, version, b"stale"))
        assert cluster.put(version, b"%d" % version, at="d") == IN_FORCE
        assert cluster.read(leader).answer != IN_FORCE
    assert old.node.epoch < cluster.machines["d"].node.epoch
    cluster.heal()
    cluster.until(cluster.caught_up)
    cluster.run(3 * SECOND)
    assert all(attempt.answer != IN_FORCE for attempt in stale)
    assert old.node.epoch == cluster.machines["d"].node.epoch
    assert not old.node.is_voter and old.replica.text == b"3"
    assert cluster.has_voters(members)


def test_a_change_proposed_by_two_members_at_once():
    """The leader proposes that d replaces the silent c, and from some point on reaches nobody but d. The others
    elect, where they can, one that proposes a change of its own, of the same epoch. Once all partitions are healed, one membership
    counts, and all follow it."""
    rivals = 0
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

        cluster.watch(point, separate)
        cluster.run(6 * SECOND)
        epochs = [change.membership.epoch for change in cluster.changes]
        rivals += len(epochs) > len(set(epochs))
        cluster.heal()
        cluster.until(lambda cluster=cluster: cluster.has_voters(cluster.voters()), RECOVERY_TIMEOUT_NS)
        cluster.serves(2)
        assert len({machine.node.epoch for machine in cluster.running()}) == 1
    assert rivals > 0


# Worlds that the search in `test_membership_model` finds where a safeguard is left out.


def has_final(machine):
    """Whether the newest membership in the log there is one that ends a change."""
    return machine.node.epoch > 1 and not machine.node.membership.joint


def test_removed_voter_is_sent_only_committed_entries():
    """c leaves for d. The leader has the last entry of the change and reaches only c with it, then is lost. If c took it,
    c's log were newer than that of b, which needs the vote of c, and c could not be elected: nobody could be elected."""
    cluster, leader, _ = started()
    assert leader == "a"
    cluster.start("d")
    cluster.run(SECOND)
    cluster.terminate("c")
    cluster.until(lambda: has_final(cluster.machines["a"]))
    cluster.partition_off("a", "bd")
    cluster.run(600 * MILLISECOND)
    cluster.kill("a")
    cluster.serves(2)
    cluster.run(RECOVERY_TIMEOUT_NS)
    cluster.serves(3)


@pytest.mark.parametrize("power_lost", [False, True])
def test_removed_leader_leaves_the_final_membership_entry_to_its_successor(power_lost):
    """The one member that counts leaves for d and is partitioned from it once both have the joint membership. Were the last
    entry in its log alone, it could not be elected any more, nor vote for d, whose log were older."""
    cluster, _, _ = started(counted=1, losses=0, spare=3)
    cluster.start("d")
    cluster.run(SECOND)
    cluster.terminate("a", grace=60 * SECOND)
    old = cluster.machines["a"]
    cluster.until(lambda: has_final(old) or old.node.role != Role.LEADER, 2 * SECOND)
    cluster.partition_off("a", "d")
    cluster.run(500 * MILLISECOND)
    if power_lost:
        cluster.restart("a")
        cluster.restart("d")
    cluster.heal()
    cluster.run(SECOND)
    cluster.serves(2)
    cluster.until_voters("d")


def test_a_sole_member_is_replaced_with_power_lost_at_each_step():
    """No loss is to be borne, so one member counts; it leaves for d."""

    def begin():
        cluster, _, _ = seeded(counted=1, losses=0, spare=3)
        cluster.start("d")
        cluster.run(SECOND)
        cluster.terminate("a", grace=60 * SECOND)
        return cluster

    for play in every_point(begin, lambda cluster: cluster.has_voters("d"), "-", (POWER_LOST,)):
        play.cluster.run(SECOND)
        play.cluster.serves(2)


def test_votes_are_not_denied_by_a_membership_that_is_not_committed():
    """a has a change that nobody else has, (a, b, d); b, elected after it, made another of the same epoch, (b, c, e), and
    one more entry, which only e has; b is lost. Only e can be elected, and needs the vote of a."""
    cluster = ReplacingCluster(start=False)
    a, b, c = cluster.first.voters
    d, e = (identity_of(name, "new") for name in "de")
    first = Entry(1, 1, Noop())
    change_of_a = Entry(2, 1, ChangeMembership(Membership(2, (a, b, d), (a, b, c))))
    change_of_b = Entry(2, 2, ChangeMembership(Membership(2, (b, c, e), (a, b, c))))
    more = Entry(3, 2, Noop())
    logs = {
        "a": (HardState(1, a, a), [first, change_of_a]),
        "c": (HardState(2, b, b), [first, change_of_b]),
        "d": (HardState(1, "", a), [first]),
        "e": (HardState(2, "", b), [first, change_of_b, more]),
    }
    for name, (hard_state, entries) in logs.items():
        disk = cluster.machines[name].disk
        disk.incarnation = FIRST_INCARNATION if name in "abc" else "new"
        disk.membership = cluster.first if name in "abc" else None
        disk.hard_state, disk.entries = hard_state, entries
        cluster.start(name)
    assert cluster.elect().address == "e"


# By hand.


def until_borne(lost, wait, seed):
    """Two times in ms until a change that took the newcomer in was over: from the loss, and from the newcomer's start.
    `lost`: place of who goes, 0 for the leader. `wait`: ns from the loss to the newcomer's start; None: the member at its
    address comes back empty after a second."""
    cluster, leader, others = started(seed=seed)
    name = [leader, *others][lost]
    lost_at = cluster.time
    newcomer = name if wait is None else "d"
    (cluster.wipe if wait is None else cluster.kill)(name)
    cluster.run(SECOND if wait is None else wait)
    cluster.start(newcomer)
    started_at = cluster.time
    cluster.until(lambda: cluster.changes and cluster.has_replaced(newcomer))
    return (cluster.time - lost_at) // MILLISECOND, (cluster.time - started_at) // MILLISECOND


def until_handed_over(leaver, seed):
    """Time in ms from a SIGTERM, with a newcomer up and caught up, until a change that took it in was over."""
    cluster, leader, others = started(seed=seed)
    cluster.start("d")
    cluster.run(SECOND)
    told_at = cluster.time
    cluster.terminate([leader, *others][leaver])
    cluster.until(lambda: cluster.has_replaced("d"))
    return (cluster.time - told_at) // MILLISECOND


def print_times(seeds):
    """Middle and longest times over `seeds` plays, for each case."""
    for who, leaver in (("leader", 0), ("follower", 1)):
        times = sorted(until_handed_over(leaver, seed) for seed in range(1, seeds + 1))
        print(f"{who} leaves, newcomer there: since the SIGTERM {times[seeds // 2]}, at most {times[-1]} ms")
    for who, lost in (("leader", 0), ("follower", 1)):
        for what, wait in (
            ("at once", 0),
            ("after 1 s", SECOND),
            ("after 5 s", 5 * SECOND),
            ("wiped, back after 1 s", None),
        ):
            plays = [until_borne(lost, wait, seed) for seed in range(1, seeds + 1)]
            told = [f"{sorted(times)[len(times) // 2]}, at most {max(times)} ms" for times in zip(*plays)]
            print(f"{who} lost, newcomer {what}: since the loss {told[0]}; since the newcomer's start {told[1]}")


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
